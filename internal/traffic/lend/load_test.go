package lend_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// TestLenderDeclinesMovableRequests is the load of many hosts that know late that an instance is full: a
// request that another instance can serve must not wait behind it.
func TestLenderDeclinesMovableRequests(t *testing.T) {
	Convey("Given a lender whose instance has all of its slots in use", t, func() {
		h := startLendingHost(t, 500*time.Millisecond)
		reports := make(chan even.Report, 16)
		h.borrower.OnLoad = func(_ time.Time, group, instance string, r even.Report) {
			if group == "g" && instance == "i" {
				reports <- r
			}
		}
		open := func(movable bool) pool.Handle {
			handle, err := h.borrower.Open(h.addr, "g", "i", pool.Priority{Rank: 2, Database: "d", Movable: movable}, time.Second)
			So(err, ShouldBeNil)
			return handle
		}
		var running []<-chan outcome
		for i := range 4 {
			running = append(running, run(open(true), flow.Request{ID: fmt.Sprint("r", i), Text: "READ x"}, true))
		}
		member := h.Topology.Member("g", "i")
		for end := time.Now().Add(2 * time.Second); !member.Busy() && time.Now().Before(end); {
			runtime.Gosched()
		}
		Convey("A movable read is declined, with the load; nothing is sent, and the stream serves the next request", func() {
			handle := open(true)
			a, stage, err := handle.Run(statementLimit, flow.Values{}, flow.Request{ID: "m", Text: "READ x"}, true)
			So(err, ShouldBeNil)
			So(stage, ShouldEqual, flow.Answered)
			So(a.Code, ShouldEqual, flow.Declined)
			So(a.Code.NotRun(), ShouldBeTrue)
			r := <-reports
			So(r.Running, ShouldEqual, 4)
			So(r.Lender, ShouldEqual, h.addr)
			So(r.Version, ShouldBeGreaterThan, 0)
			handle.Release()
			So(<-run(open(false), flow.Request{ID: "n", Text: "READ x"}, true), ShouldResemble, outcome{flow.OK, flow.Answered, nil})
		})
		Convey("All others are served, and their answers tell the load and the service time", func() {
			So(<-run(open(false), flow.Request{ID: "o", Text: "READ x"}, true), ShouldResemble, outcome{flow.OK, flow.Answered, nil})
			for _, done := range running {
				So((<-done).code, ShouldEqual, flow.OK)
			}
			r := <-reports
			So(r.Kind, ShouldEqual, "d")
			So(r.Service, ShouldBeBetween, 400*time.Millisecond, 2*time.Second)
			So(r.KindService, ShouldBeBetween, 400*time.Millisecond, 2*time.Second)
		})
	})
}
