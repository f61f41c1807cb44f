package pool_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// longServiceTime is long enough for a deadline to pass while other statements wait.
const longServiceTime = 100 * time.Millisecond

// TestRequestsThatWaitedAreWithheldFromLeavingInstance guards against requests that were routed to an
// instance in time and reach it after its deadline.
func TestRequestsThatWaitedAreWithheldFromLeavingInstance(t *testing.T) {
	Convey("Given an instance with two slots", t, func() {
		g := &mimic.Group{Name: "g", MaxConns: 100, Slots: slots, QueueLimit: 4, StatementTime: longServiceTime, RecordRuns: true}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		t.Cleanup(in.Crash)
		p := newPool(in, func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		})
		defer p.Shutdown()
		leaveNow := func() { p.SetLeaveDeadline(clock.Monotonic()) }
		executed := func() int64 {
			n, _ := in.StatementCounts()
			return n
		}

		Convey("A statement that waits for its admission slot is not sent after the deadline", func() {
			p.EnableAdmissionControl()
			codes := make(chan flow.Code, 4)
			for i := range 4 {
				h, err := p.NewHandle(context.Background(), time.Second, pool.Priority{Rank: 2})
				So(err, ShouldBeNil)
				go func() {
					a, _, err := h.Run(time.Second, flow.Values{}, flow.Request{ID: fmt.Sprint("s", i), Text: "READ x"}, true)
					h.Release()
					if err != nil {
						a.Code = flow.Failed
					}
					codes <- a.Code
				}()
			}
			arrived := func() int {
				n := 0
				for i := range 4 {
					n += len(g.Runs(fmt.Sprint("s", i)))
				}
				return n
			}
			for arrived() < slots+1 {
				time.Sleep(time.Millisecond)
			}
			leaveNow()
			count := map[flow.Code]int{}
			for range 4 {
				count[<-codes]++
			}
			So(count, ShouldResemble, map[flow.Code]int{flow.OK: slots + 1, flow.Leaving: 1})
			So(executed(), ShouldEqual, slots+1)
			So(p.Meter.CounterValue("tries.withheld.leaving"), ShouldEqual, 1)
		})
		Convey("A connection that was taken in time sends nothing new, not even session values", func() {
			c, err := p.Get(context.Background(), time.Second, pool.Priority{})
			So(err, ShouldBeNil)
			leaveNow()
			for _, op := range []flow.Op{flow.Forward, flow.ExecPrepared, flow.BeginReadOnlyTx, flow.BeginReadWriteTx, flow.QueryPosition} {
				a, stage, err := c.Run(time.Second, flow.Values{}.With("a", "b"), flow.Request{Op: op, ID: "s", Text: "READ x", Template: "READ x"}, true)
				So(err, ShouldBeNil)
				So(stage, ShouldEqual, flow.Answered)
				So(a.Code, ShouldEqual, flow.Leaving)
			}
			c.Release()
			So(executed(), ShouldEqual, 0)
			So(p.Down(), ShouldBeFalse)
		})
		Convey("A transaction that is open at the deadline may end", func() {
			c, err := p.Get(context.Background(), time.Second, pool.Priority{})
			So(err, ShouldBeNil)
			defer c.Release()
			run := func(req flow.Request) flow.Code {
				a, _, err := c.Run(time.Second, flow.Values{}, req, req.Text == "COMMIT")
				So(err, ShouldBeNil)
				return a.Code
			}
			So(run(flow.Request{Op: flow.BeginReadWriteTx}), ShouldEqual, flow.OK)
			leaveNow()
			So(run(flow.Request{ID: "w", Text: "WRITE x 1", Writes: true}), ShouldEqual, flow.OK)
			So(run(flow.Request{ID: "c", Text: "COMMIT", Writes: true}), ShouldEqual, flow.OK)
			So(g.WriteCount("w/c"), ShouldEqual, 1)
			So(run(flow.Request{Op: flow.BeginReadWriteTx}), ShouldEqual, flow.Leaving)
		})
	})
}
