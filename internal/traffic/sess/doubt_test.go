package sess_test

import (
	"context"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// stutteringConn is a connection on which, once told to, the last answer arrives again as the next one.
type stutteringConn struct {
	*net.TCPConn
	mu            sync.Mutex
	repeat        bool
	last, arrived []byte
}

// Write implements net.Conn.
func (c *stutteringConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.last = nil
	if c.repeat {
		c.last, c.repeat = c.arrived, false
	}
	c.arrived = nil
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// Read implements net.Conn.
func (c *stutteringConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if n := copy(b, c.last); n > 0 {
		c.last = c.last[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, b[:n]...)
	return n, err
}

// stutteringHost returns a host, and a function that makes the next answer on each of its connections the last one
// again.
func stutteringHost(t *testing.T) (unleasedHost, func()) {
	h := newUnleasedHost(t)
	var mu sync.Mutex
	var conns []*stutteringConn
	for _, name := range []string{"i-1", "i-2"} {
		m := h.Topology.Member("g", name)
		m.Pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			c := &stutteringConn{TCPConn: raw.(*net.TCPConn)}
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, c)
			return c, nil
		}
	}
	return h, func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.mu.Lock()
			c.repeat = true
			c.mu.Unlock()
		}
	}
}

// TestAnswerOfAnotherStatementIsNoPromise guards against "not run" for a statement that got the answer to another
// one, and against reads that end with it.
func TestAnswerOfAnotherStatementIsNoPromise(t *testing.T) {
	Convey("Given an instance that gives its last answer again after the next statement was sent", t, func() {
		h, repeat := stutteringHost(t)
		s := h.open("strong")
		So(run(s, flow.Write, "WRITE a 1").Code, ShouldEqual, flow.OK)
		Convey("A write is in doubt, and the next one is served by the same instance", func() {
			repeat()
			So(run(s, flow.Write, "WRITE a 2").Code, ShouldEqual, flow.InDoubt)
			So(run(s, flow.Write, "WRITE a 3").Code, ShouldEqual, flow.OK)
			So(h.Meter.CounterValue("tries.failed.unsent"), ShouldEqual, 0)
		})
		Convey("A read is tried again at the same instance", func() {
			repeat()
			a := run(s, flow.Read, "READ a")
			So(a.Code, ShouldEqual, flow.OK)
			So(value(a), ShouldEqual, "1")
		})
		Convey("A write in a transaction is in doubt, and the transaction ends", func() {
			So(run(s, flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
			So(run(s, flow.Write, "WRITE a 2").Code, ShouldEqual, flow.OK)
			repeat()
			a := run(s, flow.Write, "WRITE b 2")
			So(a.Code, ShouldEqual, flow.InDoubt)
			So(a.State, ShouldEqual, flow.InFailedTransaction)
			So(run(s, flow.Rollback, "ROLLBACK").Code, ShouldEqual, flow.OK)
			So(value(run(s, flow.Read, "READ a")), ShouldEqual, "1")
		})
		Convey("So is a commit", func() {
			So(run(s, flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
			So(run(s, flow.Write, "WRITE a 2").Code, ShouldEqual, flow.OK)
			repeat()
			a := run(s, flow.Commit, "COMMIT")
			So(a.Code, ShouldEqual, flow.InDoubt)
			So(a.State, ShouldEqual, flow.Idle)
		})
		Convey("A read in a transaction aborts it", func() {
			So(run(s, flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
			So(run(s, flow.Read, "READ a").Code, ShouldEqual, flow.OK)
			repeat()
			So(run(s, flow.Read, "READ a").Code, ShouldEqual, flow.Aborted)
		})
	})
}
