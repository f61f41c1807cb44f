package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// members is the number of connections of a crowd that opens sessions.
	members = 120
	// legal is the size of a message that is just legal, in bytes.
	legal = 1 << 20
	// crowdTime limits what a member of a crowd waits for.
	crowdTime = 15 * time.Second
	// stayTime is how long members that send or read slowly go on before the check.
	stayTime = 5 * time.Second
)

// crowd runs a number of members at once and returns when all have ended. Their errors are allowed: hosts
// may refuse them and close their connections.
func crowd(n int, member func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			member(ctx, i)
		}()
	}
	wg.Wait()
}

// kept holds the connections that members leave open.
type kept struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (k *kept) add(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, c)
}

func (k *kept) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.Close()
	}
}

// statement returns a message of the given size, with its end.
func statement(id string, size int) []byte {
	head := "QUERY " + id + " READ "
	return []byte(head + strings.Repeat("k", size-len(head)-2) + "\r\n")
}

// sendPieces writes b in pieces until an error or the deadline of the crowd.
func sendPieces(ctx context.Context, c net.Conn, b []byte, piece int) error {
	if end, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(end)
	}
	for len(b) > 0 {
		n, err := c.Write(b[:min(piece, len(b))])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// TestWholeMessagesAtOnce plays many callers that send the longest messages at once.
func TestWholeMessagesAtOnce(t *testing.T) {
	scene(t, "that sends messages of the longest size, each in one piece", func(d *deployment) {
		crowd(members, func(ctx context.Context, i int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			defer c.Close()
			for range 3 {
				if sendPieces(ctx, c, statement(fmt.Sprint("w", i), legal), legal) != nil {
					return
				}
				if _, err := c.readAnswer(); err != nil {
					return
				}
			}
		})
		d.check()
	})
}

// TestMessagesInPieces plays many callers whose long messages arrive in small pieces.
func TestMessagesInPieces(t *testing.T) {
	for _, piece := range []int{4 << 10, 64} {
		scene(t, fmt.Sprintf("that sends messages of the longest size in pieces of %d bytes", piece), func(d *deployment) {
			crowd(members, func(ctx context.Context, i int) {
				c, err := openSession(ctx, d.callers, database)
				if err != nil {
					return
				}
				defer c.Close()
				if sendPieces(ctx, c, statement(fmt.Sprint("p", i), legal), piece) == nil {
					_, _ = c.readAnswer()
				}
			})
			d.check()
		})
	}
}

// TestMessagesOfLineBreaks plays many callers whose long messages hold nothing but line feeds, in small pieces.
func TestMessagesOfLineBreaks(t *testing.T) {
	scene(t, "that sends line feeds in messages of the longest size, in pieces of 64 bytes", func(d *deployment) {
		crowd(members, func(ctx context.Context, i int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			defer c.Close()
			b := bytes.ReplaceAll(statement(fmt.Sprint("l", i), legal), []byte("k"), []byte("\n"))
			if sendPieces(ctx, c, b, 64) == nil {
				_, _ = c.readAnswer()
			}
		})
		d.check()
	})
}

// TestMessagesNeverFinished plays many callers that stop before the end of a long message.
func TestMessagesNeverFinished(t *testing.T) {
	scene(t, "whose members stop just before the end of the longest message", func(d *deployment) {
		var left kept
		defer left.close()
		crowd(members, func(ctx context.Context, i int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			left.add(c)
			b := statement(fmt.Sprint("n", i), legal)
			_ = sendPieces(ctx, c, b[:len(b)-2], 64<<10)
		})
		d.check()
	})
}

// TestMessagesFarOverTheLimit plays callers whose messages are many times too long.
func TestMessagesFarOverTheLimit(t *testing.T) {
	for _, ends := range []bool{true, false} {
		scene(t, fmt.Sprintf("that sends messages of 16 MiB, with an end: %t", ends), func(d *deployment) {
			b := statement("o1", 16<<20)
			if !ends {
				b = b[:len(b)-2]
			}
			crowd(members/2, func(ctx context.Context, i int) {
				c, err := openSession(ctx, d.callers, database)
				if err != nil {
					return
				}
				defer c.Close()
				_ = sendPieces(ctx, c, b, 1<<20)
			})
			crowd(members/2, func(ctx context.Context, i int) {
				c, err := dial(ctx, d.callers)
				if err != nil {
					return
				}
				defer c.Close()
				_ = sendPieces(ctx, c, b, 1<<20)
			})
			d.check()
		})
	}
}

// TestStatementsSentAhead plays callers that send thousands of statements and read no answer.
func TestStatementsSentAhead(t *testing.T) {
	small := bytes.Repeat([]byte("QUERY a1 READ a\r\n"), 50_000)
	local := bytes.Repeat([]byte("QUERY a1 SET a b\r\n"), 50_000)
	for name, b := range map[string][]byte{
		"short statements":                       small,
		"statements that need no instance":       local,
		"statements with large answers":          bytes.Repeat([]byte("QUERY a1 READ large:1000\r\n"), 1000),
		"statements of nearly the longest size":  bytes.Repeat(statement("a1", 1_000_000), 4),
		"transactions that are opened and ended": bytes.Repeat([]byte("QUERY a1 BEGIN\r\nQUERY a2 READ a\r\nQUERY a3 COMMIT\r\n"), 20_000),
	} {
		scene(t, "that sends ahead and reads no answer: "+name, func(d *deployment) {
			var left kept
			defer left.close()
			crowd(members/2, func(ctx context.Context, _ int) {
				c, err := openSession(ctx, d.callers, database)
				if err != nil {
					return
				}
				left.add(c)
				_ = sendPieces(ctx, c, b, 64<<10)
			})
			d.check()
		})
	}
}

// TestSlowCallers plays callers that send or read a byte a second.
func TestSlowCallers(t *testing.T) {
	scene(t, "that sends most of a message at once and then a byte a second", func(d *deployment) {
		var left kept
		defer left.close()
		b := statement("s1", legal)
		crowd(members, func(ctx context.Context, _ int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			left.add(c)
			if sendPieces(ctx, c, b[:legal/2], 64<<10) == nil {
				dribble(ctx, func() error {
					_, err := c.Write([]byte("k"))
					return err
				})
			}
		})
		d.check()
	})
	scene(t, "that asks for large answers and reads a byte a second", func(d *deployment) {
		var left kept
		defer left.close()
		crowd(members, func(ctx context.Context, _ int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			left.add(c)
			if sendPieces(ctx, c, []byte("QUERY r1 READ large:4000\r\n"), 64) == nil {
				dribble(ctx, func() error {
					_, err := c.Conn.Read(make([]byte, 1))
					return err
				})
			}
		})
		d.check()
	})
}

// dribble calls step once a second for stayTime, or until it fails.
func dribble(ctx context.Context, step func() error) {
	for end := time.Now().Add(stayTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(time.Second) {
		if step() != nil {
			return
		}
	}
}

// TestConnectionsLeft plays connections that never send anything, sessions that are left open, and
// connections that are reset at once.
func TestConnectionsLeft(t *testing.T) {
	const crowdSize = 2 * maxFiles
	scene(t, "of connections without a startup", func(d *deployment) {
		var left kept
		defer left.close()
		crowd(crowdSize, func(ctx context.Context, _ int) {
			if c, err := dial(ctx, d.callers); err == nil {
				left.add(c)
			}
		})
		d.check()
	})
	scene(t, "of sessions that are left open", func(d *deployment) {
		var left kept
		defer left.close()
		crowd(crowdSize, func(ctx context.Context, _ int) {
			if c, err := openSession(ctx, d.callers, database); err == nil {
				left.add(c)
			}
		})
		d.check()
	})
	scene(t, "of connections that are reset", func(d *deployment) {
		for range 3 {
			crowd(crowdSize, func(ctx context.Context, i int) {
				c, err := dial(ctx, d.callers)
				if err != nil {
					return
				}
				if i%2 == 0 {
					_, _ = fmt.Fprintf(c, "STARTUP %s crowd\r\nQUERY x1 READ a\r\n", database)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			})
		}
		d.check()
	})
}

// TestSessionsThatGrow plays sessions whose values and prepared statements never end.
func TestSessionsThatGrow(t *testing.T) {
	value := strings.Repeat("v", 900_000)
	for name, text := range map[string]string{"session values": "SET n%d %s", "prepared statements": "PREPARE n%d READ %s"} {
		scene(t, "whose sessions get more and more "+name, func(d *deployment) {
			var left kept
			defer left.close()
			crowd(members/6, func(ctx context.Context, _ int) {
				c, err := openSession(ctx, d.callers, database)
				if err != nil {
					return
				}
				left.add(c)
				for i := range 30 {
					if _, err := c.ask(crowdTime, fmt.Sprintf(text, i, value)); err != nil {
						return
					}
				}
			})
			d.check()
		})
	}
	scene(t, "whose sessions run more and more prepared statements", func(d *deployment) {
		var left kept
		defer left.close()
		crowd(members/6, func(ctx context.Context, i int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			left.add(c)
			for j := range 30 {
				if _, err := c.ask(crowdTime, fmt.Sprintf("PREPARE n READ %d.%d.%s", i, j, value)); err != nil {
					return
				}
				if _, err := c.ask(crowdTime, "EXEC n a"); err != nil {
					return
				}
			}
		})
		d.check()
	})
	scene(t, "whose sessions get thousands of short values", func(d *deployment) {
		var left kept
		defer left.close()
		var b bytes.Buffer
		for i := range 8000 {
			fmt.Fprintf(&b, "QUERY v1 SET n%d %s\r\n", i, strings.Repeat("v", 50))
		}
		crowd(members/2, func(ctx context.Context, _ int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			left.add(c)
			go func() {
				for {
					if _, err := c.readAnswer(); err != nil {
						return
					}
				}
			}()
			_ = sendPieces(ctx, c, b.Bytes(), 64<<10)
		})
		d.check()
	})
}

// TestTransactionsLeft plays transactions that are opened and left.
func TestTransactionsLeft(t *testing.T) {
	scene(t, "that opens transactions and leaves them", func(d *deployment) {
		var left kept
		defer left.close()
		crowd(members, func(ctx context.Context, i int) {
			c, err := openSession(ctx, d.callers, database)
			if err != nil {
				return
			}
			left.add(c)
			if _, err := c.ask(crowdTime, "BEGIN"); err != nil {
				return
			}
			_, _ = c.ask(crowdTime, fmt.Sprintf("WRITE t%d x", i))
			if i%3 == 0 {
				c.Close()
			}
		})
		d.check()
	})
}
