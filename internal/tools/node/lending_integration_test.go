package node_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/tools/node"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// lendingControlHost returns the control host whose lent connections fn uses.
func lendingControlHost(c *cluster, fn func()) string {
	opened := func(name string) int64 { return c.running[name].node.Meter.CounterValue("errands.opened") }
	before := map[string]int64{}
	for i := range c.seeds {
		name := fmt.Sprintf("core-%d", i)
		before[name] = opened(name)
	}
	fn()
	for name, n := range before {
		if opened(name) > n {
			return name
		}
	}
	return ""
}

// stopInBackground stops a host, which the cluster then no longer has. It returns the result of its Run.
func stopInBackground(c *cluster, name string) <-chan error {
	stopped := make(chan error, 1)
	r := c.running[name]
	delete(c.running, name)
	go func() { stopped <- r.stopAndWait() }()
	return stopped
}

// TestStoppingControlHostKeepsLentTransactions guards against a control host that breaks off transactions on
// lent connections 1.5 s after its SIGTERM.
func TestStoppingControlHostKeepsLentTransactions(t *testing.T) {
	Convey("Given a transaction on a connection that a control host lends", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		s, err := openSession(c.callerAddr(0), "orders")
		So(err, ShouldBeNil)
		defer s.Close()
		lender := lendingControlHost(c, func() {
			So(s.query("BEGIN").ok(), ShouldBeTrue)
			So(s.query("WRITE x 1").ok(), ShouldBeTrue)
		})
		So(lender, ShouldNotBeEmpty)
		Convey("It can be committed 2 s after the host is told to stop", func() {
			stopped := stopInBackground(c, lender)
			time.Sleep(2 * time.Second)
			So(s.query("COMMIT").lastLine, ShouldStartWith, "DONE")
			So(<-stopped, ShouldBeNil)
		})
	})
}

// TestStoppingEntryHostRefusesToLend guards against an entry host that lends connections until its own
// callers are gone, and then breaks off what runs on them.
func TestStoppingEntryHostRefusesToLend(t *testing.T) {
	Convey("Given an entry host that stops while a caller has an open transaction", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		s, err := openSession(c.callerAddr(0), "orders")
		So(err, ShouldBeNil)
		defer s.Close()
		So(s.query("BEGIN").ok(), ShouldBeTrue)
		So(s.query("WRITE x 1").ok(), ShouldBeTrue)
		dialer := &link.Dialer{Host: "edge-1"}
		defer dialer.Close()
		borrow := func() (flow.Stage, error) {
			b := &lend.Borrower{Dialer: dialer, Now: clock.Monotonic}
			h, err := b.Open(c.ip(50)+":7440", "ledger", "i-0", pool.Priority{}, time.Second)
			So(err, ShouldBeNil)
			defer h.Release()
			_, stage, err := h.Run(time.Second, flow.Values{}, flow.Request{ID: "r", Text: "READ x"}, true)
			return stage, err
		}
		_, err = borrow()
		So(err, ShouldBeNil)
		stopped := stopInBackground(c, "edge-0")
		time.Sleep(100 * time.Millisecond)
		stage, err := borrow()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "shuts down")
		So(stage, ShouldEqual, flow.Unsent)
		So(s.query("COMMIT").ok(), ShouldBeTrue)
		So(<-stopped, ShouldBeNil)
	})
}

// leadingHost returns the control host that leads, or "".
func leadingHost(c *cluster) string {
	for name, r := range c.running {
		found, err := r.node.Kernel.Find(node.ServiceQuorum)
		if err == nil && found.(*driver.Driver).Status().Leading {
			return name
		}
	}
	return ""
}

// TestStoppingLeaderHandsOverWhileItLends guards against a control leader that leads on until nothing runs
// on its lent connections, and is then short of time to hand over.
func TestStoppingLeaderHandsOverWhileItLends(t *testing.T) {
	Convey("Given a transaction on a connection that the control leader lends", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		leading := leadingHost(c)
		So(leading, ShouldNotBeEmpty)
		dialer := &link.Dialer{Host: "edge-1"}
		defer dialer.Close()
		b := &lend.Borrower{Dialer: dialer, Now: clock.Monotonic}
		var n int
		_, err := fmt.Sscanf(leading, "core-%d", &n)
		So(err, ShouldBeNil)
		h, err := b.Open(c.ip(n)+":7440", "ledger", c.group.Primary(), pool.Priority{}, time.Second)
		So(err, ShouldBeNil)
		defer h.Release()
		run := func(req flow.Request, last bool) flow.Code {
			a, _, err := h.Run(time.Second, flow.Values{}, req, last)
			So(err, ShouldBeNil)
			return a.Code
		}
		So(run(flow.Request{Op: flow.BeginReadWriteTx}, false), ShouldEqual, flow.OK)
		started := time.Now()
		stopped := stopInBackground(c, leading)
		c.eventually("another leader", func() bool { return leadingHost(c) != "" })
		So(time.Since(started), ShouldBeLessThan, 2*time.Second)
		So(run(flow.Request{ID: "c", Text: "COMMIT", Writes: true}, true), ShouldEqual, flow.OK)
		So(<-stopped, ShouldBeNil)
	})
}
