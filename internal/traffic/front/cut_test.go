package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

const (
	// cutSlack is the age up to which a statement that reached no instance may end without an answer.
	cutSlack = 200 * time.Millisecond
	// The times of these tests are a third of those on the platform.
	cutDrainDelay       = 300 * time.Millisecond
	cutTransactionLimit = 1200 * time.Millisecond
	cutDrainLimit       = 1800 * time.Millisecond
)

// cutInstance is an instance that leads, knows transactions and records the statements that reach it.
type cutInstance struct {
	ln net.Listener
	// delay is how long a statement takes, rows are the answer to it.
	delay time.Duration
	rows  []string

	mu      sync.Mutex
	reached map[string]bool
}

func (in *cutInstance) accept() {
	for {
		c, err := in.ln.Accept()
		if err != nil {
			return
		}
		go in.serve(c)
	}
}

func (in *cutInstance) serve(c net.Conn) {
	defer c.Close()
	r, state := bufio.NewReader(c), "I"
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if fields[0] == "QUERY" {
			state = in.run(c, state, fields[1], fields[2])
		}
		fmt.Fprintf(c, "READY %s 1.1\r\n", state)
	}
}

// run runs one statement and returns the state after it.
func (in *cutInstance) run(w io.Writer, state, id, verb string) string {
	in.mu.Lock()
	in.reached[id] = true
	in.mu.Unlock()
	switch verb {
	case "BEGIN":
		fmt.Fprint(w, "DONE -\r\n")
		return "T"
	case "ROLLBACK", "RESET", "SET":
		fmt.Fprint(w, "DONE -\r\n")
		return "I"
	}
	time.Sleep(in.delay)
	for _, row := range in.rows {
		fmt.Fprintf(w, "ROW %s\r\n", row)
	}
	fmt.Fprintf(w, "DONE mac.%s\r\n", id)
	if verb == "COMMIT" {
		return "I"
	}
	return state
}

func (in *cutInstance) hasReached(id string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.reached[id]
}

// cutHost is a host whose database is served by such an instance.
type cutHost struct {
	testHost
	instance *cutInstance
}

// startCutHost starts the instance and the host.
func startCutHost(t *testing.T, delay time.Duration, rows []string, changes ...func(*front.Server)) cutHost {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { ln.Close() })
	in := &cutInstance{ln: ln, delay: delay, rows: rows, reached: map[string]bool{}}
	go in.accept()
	h := startHost(t, append([]func(*front.Server){func(s *front.Server) {
		s.DrainDelay, s.TransactionLimit = cutDrainDelay, cutTransactionLimit
		addPrimaryWithSlots(s.Sessions.Topology, ln.Addr().String(), 64)
	}}, changes...)...)
	h.stop = sync.OnceFunc(h.stop)
	return cutHost{h, in}
}

// stopAfterDrain drains the host and stops it, like the process at its shutdown.
func (h cutHost) stopAfterDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), cutDrainLimit)
	defer cancel()
	h.Drain(ctx)
	h.stop()
}

// sentStatement is a statement that a caller has sent.
type sentStatement struct {
	id string
	at time.Time
}

// cutCaller is a caller that knows which of its statements have no answer yet.
type cutCaller struct {
	net.Conn
	r       *bufio.Reader
	host    cutHost
	name    string
	n       int
	pending []sentStatement
}

// connect opens a connection and sends nothing.
func (h cutHost) connect(name string) (*cutCaller, error) {
	c, err := net.Dial("tcp", h.Addr)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	return &cutCaller{Conn: c, r: bufio.NewReader(c), host: h, name: name}, nil
}

// open opens a session.
func (h cutHost) open(name string) *cutCaller {
	c, err := h.connect(name)
	So(err, ShouldBeNil)
	fmt.Fprint(c, "STARTUP stock u\r\n")
	_, err = readAnswer(c.r)
	So(err, ShouldBeNil)
	return c
}

// line returns the line of a new statement.
func (c *cutCaller) line(text string) string {
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	c.pending = append(c.pending, sentStatement{id, time.Now()})
	return fmt.Sprintf("QUERY %s %s\r\n", id, text)
}

// send sends a statement and does not wait for its answer.
func (c *cutCaller) send(text string) error {
	_, err := fmt.Fprint(c, c.line(text))
	return err
}

// await reads the answer to the oldest statement without one.
func (c *cutCaller) await() error {
	if _, err := readAnswer(c.r); err != nil {
		return err
	}
	c.pending = c.pending[1:]
	return nil
}

// query sends a statement and reads its answer.
func (c *cutCaller) query(text string) error {
	if err := c.send(text); err != nil {
		return err
	}
	return c.await()
}

// cut returns an error that describes the statements that were cut, given that the connection has ended.
func (c *cutCaller) cut(cause error) error {
	var errs []error
	for _, s := range c.pending {
		reached, age := c.host.instance.hasReached(s.id), time.Since(s.at)
		if reached || age > cutSlack {
			errs = append(errs, fmt.Errorf("%s cut after %s, reached an instance: %v: %w", s.id, age.Round(time.Millisecond), reached, cause))
		}
	}
	return errors.Join(errs...)
}

// closedByHost reports whether the host closes the connection within a moment.
func (c *cutCaller) closedByHost() bool {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
	return errors.Is(err, io.EOF)
}

// repeat keeps that many statements without an answer until the connection ends, and returns those that
// were cut.
func (c *cutCaller) repeat(ahead int, text string) error {
	defer c.Close()
	for {
		for len(c.pending) < ahead {
			if err := c.send(text); err != nil {
				return c.cut(err)
			}
		}
		if err := c.await(); err != nil {
			return c.cut(err)
		}
		if len(c.pending) == 0 && c.closedByHost() {
			return nil
		}
	}
}

// connectAndQuery sends the startup message and a statement in one write and reads both answers. It
// returns an error if an accepted statement was cut.
func (h cutHost) connectAndQuery(name, text string) error {
	c, err := h.connect(name)
	if err != nil {
		return nil
	}
	defer c.Close()
	fmt.Fprint(c, "STARTUP stock u\r\n"+c.line(text))
	line, err := c.r.ReadString('\n')
	switch {
	case strings.HasPrefix(line, "ERR"):
		return nil
	case err == nil:
		err = c.await()
	}
	if err == nil {
		return nil
	}
	return c.cut(err)
}

// collect returns the errors of n callers.
func collect(results <-chan error, n int) error {
	var errs []error
	for range n {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// TestDrainCutsNoAnswersWhileACallerSendsAhead guards against statements that are cut at the limit of a
// drain which a caller that always sends ahead keeps from ending.
func TestDrainCutsNoAnswersWhileACallerSendsAhead(t *testing.T) {
	Convey("Given a caller that always sends ahead and others that connect during the drain", t, func() {
		h := startCutHost(t, 400*time.Millisecond, nil)
		results := make(chan error, 64)
		ahead := h.open("ahead")
		go func() { results <- ahead.repeat(4, "WRITE a b") }()
		time.Sleep(100 * time.Millisecond)
		started, callers := time.Now(), 1
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			h.stopAfterDrain()
		}()
		for at := cutDrainDelay / 2; at < cutDrainLimit; at += 100 * time.Millisecond {
			time.Sleep(time.Until(started.Add(at)))
			name := fmt.Sprintf("at%d", at.Milliseconds())
			go func() { results <- h.connectAndQuery(name, "WRITE a b") }()
			callers++
		}
		<-stopped
		So(collect(results, callers), ShouldBeNil)
	})
}

// TestDrainCutsNoTransactions covers transactions that are open when a drain begins.
func TestDrainCutsNoTransactions(t *testing.T) {
	Convey("Given transactions that are open when the drain begins", t, func() {
		const statement = 300 * time.Millisecond
		h := startCutHost(t, statement, nil)
		defer h.stop()
		// Each transaction sends a statement at each of these times after the start of the drain.
		cases := map[string]struct {
			times []time.Duration
			last  string
		}{
			"paused":    {[]time.Duration{100 * time.Millisecond, cutTransactionLimit + 400*time.Millisecond}, "COMMIT"},
			"statement": {[]time.Duration{cutTransactionLimit - statement/2, cutTransactionLimit + statement}, "WRITE a b"},
			"commit":    {[]time.Duration{100 * time.Millisecond, cutTransactionLimit - statement/2}, "COMMIT"},
			"late":      {[]time.Duration{cutTransactionLimit - 20*time.Millisecond, cutDrainLimit - statement/2}, "COMMIT"},
			"end":       {[]time.Duration{100 * time.Millisecond, cutDrainLimit - statement/2}, "COMMIT"},
		}
		results := make(chan error, len(cases))
		var opened sync.WaitGroup
		start := make(chan struct{})
		for name, tc := range cases {
			c := h.open(name)
			opened.Add(1)
			go func() {
				results <- func() error {
					defer c.Close()
					err := errors.Join(c.query("BEGIN"), c.query("WRITE a b"))
					opened.Done()
					if err != nil {
						return err
					}
					<-start
					started := time.Now()
					for i, at := range tc.times {
						time.Sleep(time.Until(started.Add(at)))
						text := "WRITE a b"
						if i == len(tc.times)-1 {
							text = tc.last
						}
						if err := c.query(text); err != nil {
							return c.cut(err)
						}
					}
					return nil
				}()
			}()
		}
		opened.Wait()
		close(start)
		h.stopAfterDrain()
		So(collect(results, len(cases)), ShouldBeNil)
	})
}

// TestDrainCutsNoTransactionsSentAhead guards against transactions that are sent ahead, go on after their
// limit, and are cut at the limit of the drain.
func TestDrainCutsNoTransactionsSentAhead(t *testing.T) {
	Convey("Given a caller that has sent a long transaction ahead when the drain begins", t, func() {
		h := startCutHost(t, 300*time.Millisecond, nil)
		defer h.stop()
		c := h.open("tx")
		defer c.Close()
		So(c.send("BEGIN"), ShouldBeNil)
		for range 8 {
			So(c.send("WRITE a b"), ShouldBeNil)
		}
		So(c.send("COMMIT"), ShouldBeNil)
		result := make(chan error, 1)
		go func() {
			for len(c.pending) > 0 {
				if err := c.await(); err != nil {
					result <- c.cut(err)
					return
				}
			}
			result <- nil
		}()
		h.stopAfterDrain()
		So(<-result, ShouldBeNil)
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestDrainAnswersHeldStartups covers callers that connect to a host which knows no databases yet and is
// stopped.
func TestDrainAnswersHeldStartups(t *testing.T) {
	Convey("Given a host that does not know the declared databases, and drains", t, func() {
		h := startCutHost(t, 50*time.Millisecond, nil, func(s *front.Server) {
			s.DatabasesKnown = make(chan struct{})
			s.CanOpenSession = func(time.Time) bool { return false }
		})
		defer h.stop()
		drained, stopped := make(chan struct{}), make(chan struct{})
		started := time.Now()
		go func() {
			defer close(stopped)
			ctx, cancel := context.WithTimeout(context.Background(), cutDrainLimit)
			defer cancel()
			h.Drain(ctx)
			close(drained)
			// The other services of a host stop first. A connection that is accepted while the engine stops is
			// closed only when the process ends.
			time.Sleep(50 * time.Millisecond)
			h.stop()
		}()
		results := make(chan error, 64)
		callers := 0
		for at := time.Duration(0); at < cutDrainLimit && !isClosed(drained); at += 60 * time.Millisecond {
			time.Sleep(time.Until(started.Add(at)))
			go func() { results <- h.connectAndQuery(fmt.Sprint("held", at), "WRITE a b") }()
			callers++
		}
		<-stopped
		So(collect(results, callers), ShouldBeNil)
	})
}

// connectWithSmallBuffer opens a session whose socket takes few bytes that are not read.
func (h cutHost) connectWithSmallBuffer(name string) *cutCaller {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
		return err
	}}
	conn, err := d.Dial("tcp", h.Addr)
	So(err, ShouldBeNil)
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	c := &cutCaller{Conn: conn, r: bufio.NewReader(conn), host: h, name: name}
	fmt.Fprint(c, "STARTUP stock u\r\n")
	_, err = readAnswer(c.r)
	So(err, ShouldBeNil)
	return c
}

// largeRows returns rows of that many MiB in all.
func largeRows(n int) []string {
	row := strings.Repeat("x", 512<<10)
	rows := make([]string, 2*n)
	for i := range rows {
		rows[i] = row
	}
	return rows
}

// TestUnreadLimitCutsNoAnswer guards against an answer that is cut because its caller sends the next
// statement before it has read the answer.
func TestUnreadLimitCutsNoAnswer(t *testing.T) {
	Convey("Given a caller that sends ahead and slowly reads an answer over the limit for unread answers", t, func() {
		rows := largeRows(12)
		h := startCutHost(t, 50*time.Millisecond, rows, func(s *front.Server) { s.Limits.UnreadBytes = 1 << 20 })
		defer h.stop()
		c := h.connectWithSmallBuffer("slow")
		defer c.Close()
		So(c.send("WRITE a b"), ShouldBeNil)
		So(c.send("WRITE a b"), ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		for range 2 {
			n, err := readAnswer(c.r)
			So(err, ShouldBeNil)
			So(n, ShouldBeGreaterThan, len(rows)*len(rows[0]))
		}
	})
}

// TestMessageTimeoutCutsNoAnswer guards against an answer that is cut because a part of the caller's next
// message has arrived long before the caller has read the answer.
func TestMessageTimeoutCutsNoAnswer(t *testing.T) {
	Convey("Given a caller of a large answer that has sent a part of its next message", t, func() {
		rows := largeRows(12)
		h := startCutHost(t, 50*time.Millisecond, rows, func(s *front.Server) { s.Limits.MessageTimeout = 300 * time.Millisecond })
		defer h.stop()
		c := h.connectWithSmallBuffer("slow")
		defer c.Close()
		So(c.send("WRITE a b"), ShouldBeNil)
		fmt.Fprint(c, "QUERY 2 WRI")
		readAll := func() {
			n, err := readAnswer(c.r)
			So(err, ShouldBeNil)
			So(n, ShouldBeGreaterThan, len(rows)*len(rows[0]))
		}
		Convey("It gets the whole answer if it begins to read late", func() {
			time.Sleep(900 * time.Millisecond)
			readAll()
		})
		Convey("And if it reads slowly, but all the time", func() {
			c.r = bufio.NewReaderSize(slowReader{c, 10 * time.Millisecond}, 64<<10)
			readAll()
		})
	})
}

// slowReader pauses after each read.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (r slowReader) Read(b []byte) (int, error) {
	defer time.Sleep(r.pause)
	return r.Reader.Read(b)
}

// TestCloseCutsNoAnswerInTheKernel guards against an answer of which the kernel drops what it has not sent
// yet: it resets a closed connection when the caller's next statement arrives.
func TestCloseCutsNoAnswerInTheKernel(t *testing.T) {
	Convey("Given a caller that has not read an answer which the kernel has taken as a whole", t, func() {
		rows := largeRows(1)
		h := startCutHost(t, 50*time.Millisecond, rows)
		defer h.stop()
		c := h.connectWithSmallBuffer("slow")
		defer c.Close()
		So(c.send("WRITE a b"), ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			h.stopAfterDrain()
		}()
		Convey("It gets the whole answer although it sends its next statement during the drain", func() {
			time.Sleep(cutDrainDelay + 200*time.Millisecond)
			So(c.send("WRITE a b"), ShouldBeNil)
			n, err := readAnswer(c.r)
			So(err, ShouldBeNil)
			So(n, ShouldBeGreaterThan, len(rows)*len(rows[0]))
		})
		Reset(func() { <-drained })
	})
}
