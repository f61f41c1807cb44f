package node_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// leaveBound is how long a leaving instance of these tests may get requests.
const leaveBound = 3 * time.Second

// TestLeavingInstanceGetsNoRequestsPastItsBound guards against requests at an instance longer after its
// announcement that it leaves than the platform allows.
func TestLeavingInstanceGetsNoRequestsPastItsBound(t *testing.T) {
	Convey("Given a group under load whose primary leaves", t, func() {
		c := startCluster(t, 3, 2, false, func(g *mimic.Group) { g.LeaveBound = leaveBound })
		c.declareAndAwaitReady(2)
		primary := c.group.Instance(c.group.Primary())
		leave := func() time.Time {
			primary.Leave()
			c.eventually("acknowledgment", func() bool { return !primary.LeavingAcked().IsZero() })
			return primary.LeavingAcked()
		}
		crashOthers := func() {
			for _, name := range []string{"i-0", "i-1", "i-2"} {
				if name != primary.Name {
					c.group.Instance(name).Crash()
				}
			}
		}
		waitUntil := func(at time.Time) { time.Sleep(time.Until(at)) }

		Convey("While no other instance lives it serves on, and gets nothing after its bound", func() {
			crashOthers()
			l := c.startLoad(6, 2)
			acked := leave()
			waitUntil(acked.Add(leaveBound / 2))
			served := countServed(c, 2)
			waitUntil(acked.Add(leaveBound * 2))
			l.stopAndCollect()
			So(served, ShouldEqual, 2)
			So(countServed(c, 2), ShouldEqual, 0)
			So(c.group.LateRequests(), ShouldBeEmpty)
		})
		Convey("A host that restarts after the announcement sends nothing after the bound either", func() {
			crashOthers()
			acked := leave()
			So(c.stopHost("edge-0"), ShouldBeNil)
			c.startHost("edge-0", c.ip(50), false, false)
			for i := range 3 {
				So(c.stopHost(fmt.Sprintf("core-%d", i)), ShouldBeNil)
				c.restartControl(i)
			}
			l := c.startLoad(6, 2)
			waitUntil(acked.Add(leaveBound * 2))
			l.stopAndCollect()
			So(c.group.LateRequests(), ShouldBeEmpty)
		})
		Convey("Another instance that answers takes over before the bound", func() {
			acked := leave()
			c.eventually("another primary", func() bool { return c.group.Primary() != primary.Name })
			So(time.Since(acked), ShouldBeLessThan, leaveBound)
			c.eventually("service", func() bool { return countServed(c, 2) == 2 })
			So(c.group.LateRequests(), ShouldBeEmpty)
		})
	})
}

// countServed returns how many of the first n entry hosts serve a write.
func countServed(c *cluster, n int) int {
	served := 0
	for i := range n {
		s, err := openSession(c.callerAddr(i), "orders")
		if err != nil {
			continue
		}
		if s.query("WRITE probe 1").ok() {
			served++
		}
		s.Close()
	}
	return served
}
