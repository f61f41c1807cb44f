package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
)

const (
	// callerLimit bounds a caller's wait for an answer.
	callerLimit = 2 * time.Second
	// between is the mean time between two statements of a caller.
	between = 6 * time.Millisecond
	// roam is the number of statements after which a caller goes to another host.
	roam = 40
)

// errRefused tells of a session that was not opened.
var errRefused = errors.New("session was refused")

// session is a caller's connection to an entry host.
type session struct {
	conn net.Conn
	r    *bufio.Reader
}

func openSession(addr, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", addr, callerLimit)
	if err != nil {
		return nil, err
	}
	s := &session{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(callerLimit))
	fmt.Fprintf(conn, "STARTUP %s soak\r\n", database)
	line, err := s.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, errRefused
	}
	return s, nil
}

// ask sends a statement and returns its last row, what the caller was told, and whether the
// session goes on.
func (s *session) ask(id, text string) (row string, out Outcome, goesOn bool) {
	_ = s.conn.SetDeadline(time.Now().Add(callerLimit))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", Doubt, false
	}
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return "", Doubt, false
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			row = rest
		case "DONE":
			out = Acked
		case "ERR":
			out = promise(rest)
		case "READY":
			return row, out, strings.HasPrefix(rest, "I")
		}
	}
}

// promise returns what an error answer tells of a write.
func promise(text string) Outcome {
	code, _, _ := strings.Cut(text, " ")
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "RDONLY", "WRONGNODE", "MAXCONN":
		return Promised
	}
	return Doubt
}

// crowd is the callers of a run and what they have seen.
type crowd struct {
	fronts []string

	mu      sync.Mutex
	history History
	wg      sync.WaitGroup
}

func (c *crowd) start(ctx context.Context, seed uint64, writers int) {
	for i := range writers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wg.Add(2)
		go func() {
			defer c.wg.Done()
			c.write(ctx, rng, i)
		}()
		other := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		go func() {
			defer c.wg.Done()
			c.read(ctx, other, i)
		}()
	}
}

// write is a caller that owns an item: it writes it and reads it back, from host to host.
func (c *crowd) write(ctx context.Context, rng *rand.Rand, i int) {
	var s *session
	item := fmt.Sprint("item", i)
	for n := 1; ctx.Err() == nil; n++ {
		if s == nil || n%roam == 0 {
			s = c.reopen(ctx, rng, s, "notes")
		}
		if s == nil {
			continue
		}
		id := fmt.Sprintf("w%d-%d", i, n)
		_, out, ok := s.ask(id, fmt.Sprintf("WRITE %s %d", item, n))
		c.wrote(Write{ID: id, Item: item, Value: n, Outcome: out, Ended: time.Now()})
		if ok {
			ok = c.readBack(s, id, item, 0, true)
		}
		if !ok {
			s.conn.Close()
			s = nil
		}
		clock.Sleep(ctx, time.Duration(rng.Int64N(int64(2*between))))
	}
	if s != nil {
		s.conn.Close()
	}
}

// read is a caller that reads another one's item, fresh or as old as its database allows.
func (c *crowd) read(ctx context.Context, rng *rand.Rand, i int) {
	databases := []string{"orders", "parts"}
	ages := []time.Duration{0, partsAge}
	var s *session
	kind := 0
	for n := 1; ctx.Err() == nil; n++ {
		if s == nil || n%roam == 0 {
			kind = rng.IntN(len(databases))
			s = c.reopen(ctx, rng, s, databases[kind])
		}
		if s != nil && !c.readBack(s, fmt.Sprintf("r%d-%d", i, n), fmt.Sprint("item", i), ages[kind], false) {
			s.conn.Close()
			s = nil
		}
		clock.Sleep(ctx, time.Duration(rng.Int64N(int64(2*between))))
	}
	if s != nil {
		s.conn.Close()
	}
}

// reopen goes to another host.
func (c *crowd) reopen(ctx context.Context, rng *rand.Rand, old *session, database string) *session {
	if old != nil {
		old.conn.Close()
	}
	s, err := openSession(c.fronts[rng.IntN(len(c.fronts))], database)
	if err != nil {
		clock.Sleep(ctx, 10*between)
		return nil
	}
	return s
}

// readBack reads an item. own is set for its writer, over the session of its latest write: what
// was acknowledged there must be seen.
func (c *crowd) readBack(s *session, id, item string, age time.Duration, own bool) bool {
	began := time.Now()
	row, out, ok := s.ask(id+"r", "READ "+item)
	if out != Acked {
		return ok
	}
	value, _ := strconv.Atoi(row)
	if own {
		age = notesAge
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	own = own && lastAcked(c.history.Writes, item)
	c.history.Reads = append(c.history.Reads, Read{Item: item, Value: value, Began: began, Age: age, Own: own})
	return ok
}

// lastAcked reports whether the latest write of an item was acknowledged.
func lastAcked(list []Write, item string) bool {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Item == item {
			return list[i].Outcome == Acked
		}
	}
	return false
}

func (c *crowd) wrote(w Write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Writes = append(c.history.Writes, w)
}
