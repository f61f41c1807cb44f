package pool_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// arrival is long enough for an answer to arrive.
const arrival = 20 * time.Millisecond

// TestAnswerToNoRequestIsNotTaken guards against an answer that came while no request was outstanding, and that
// the next statement on the connection gets.
func TestAnswerToNoRequestIsNotTaken(t *testing.T) {
	Convey("Given an instance that gives an answer again", t, func() {
		s, p := startStutterer(t)
		now := time.Now()
		p.Now = func() time.Time { return now }
		Convey("The next statement right after it gets its own answer", func() {
			So(alone(p, write("a")).ok(), ShouldBeTrue)
			s.sendAgain()
			time.Sleep(arrival)
			b := alone(p, write("b"))
			So(b.ok(), ShouldBeTrue)
			So(s.owner(b.Proof), ShouldEqual, "b")
			So(p.Meter.CounterValue("connections.surplus"), ShouldEqual, 1)
			health, _ := p.Health()
			So(health.IsZero(), ShouldBeTrue)
		})
		Convey("The greeting counts as well", func() {
			h := take(p)
			s.sendAgain()
			time.Sleep(arrival)
			a := run(h, flow.Values{}, write("a"), flow.Writes, true)
			h.Close()
			So(a.ok(), ShouldBeFalse)
			So(s.executed("a"), ShouldBeFalse)
			So(a.promised(), ShouldBeTrue)
		})
		Convey("The next statement of a transaction isn't sent", func() {
			h := take(p)
			So(run(h, flow.Values{}, flow.Request{Op: flow.BeginReadWriteTx}, flow.Reads, false).ok(), ShouldBeTrue)
			So(run(h, flow.Values{}, write("a"), flow.Pending, false).ok(), ShouldBeTrue)
			s.sendAgain()
			time.Sleep(arrival)
			b := run(h, flow.Values{}, write("b"), flow.Pending, false)
			h.Close()
			So(b.ok(), ShouldBeFalse)
			So(s.executed("b"), ShouldBeFalse)
			So(b.promised(), ShouldBeTrue)
			So(p.Meter.CounterValue("connections.surplus"), ShouldEqual, 1)
		})
		Convey("A statement that waited for the connection gets its own answer", func() {
			p.SetConnLimits(2, 1)
			h := take(p)
			So(run(h, flow.Values{}, write("a"), flow.Writes, true).ok(), ShouldBeTrue)
			s.sendAgain()
			time.Sleep(arrival)
			got := make(chan told, 1)
			go func() {
				c, err := p.Get(context.Background(), 5*time.Second, pool.Priority{Rank: 2, Database: "d"})
				if err != nil {
					got <- told{verdict: flow.Verdict{Code: flow.Failed}}
					return
				}
				b := run(c, flow.Values{}, write("b"), flow.Writes, true)
				c.Close()
				got <- b
			}()
			time.Sleep(arrival)
			h.Release()
			b := <-got
			So(b.ok(), ShouldBeTrue)
			So(s.owner(b.Proof), ShouldEqual, "b")
		})
	})
}
