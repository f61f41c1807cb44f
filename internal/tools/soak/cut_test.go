package soak_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

// cutHistory returns a history with a SIGTERM of host "e" and a statement whose connection ended. The
// times are in milliseconds from the signal.
func cutHistory(sentAt, endedAt int, runs ...mimic.Run) soak.History {
	return soak.History{
		Signals:    []soak.Signal{{Host: "e", Signal: syscall.SIGTERM, At: afterSignal(0)}},
		Statements: []soak.Statement{{ID: "s", Host: "e", SentAt: afterSignal(sentAt), Ending: soak.ConnectionEnded, EndedAt: afterSignal(endedAt), Runs: runs}},
	}
}

func afterSignal(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

// runOf returns an execution that arrived and ended at the times.
func runOf(arrivedAt, endedAt int) mimic.Run {
	return mimic.Run{Instance: "i", ArrivedAt: afterSignal(arrivedAt), EndedAt: afterSignal(endedAt)}
}

// violations returns the number of violations in the history.
func violations(h soak.History) int {
	none := func(string) int { return 0 }
	return len(h.Check(none, none))
}

// TestCheckDetectsCutAnswers checks answers that were cut around planned work.
func TestCheckDetectsCutAnswers(t *testing.T) {
	Convey("A cut answer is a violation", t, func() {
		Convey("after the statement reached an instance", func() {
			So(violations(cutHistory(2000, 2050, runOf(2010, 2100))), ShouldEqual, 1)
			So(violations(cutHistory(-100, 50, runOf(0, 60))), ShouldEqual, 1)
			So(violations(cutHistory(5300, 5500, runOf(5310, 5600))), ShouldEqual, 1)
			So(violations(cutHistory(6800, 6900, runOf(6810, 6950))), ShouldEqual, 1)
		})
		Convey("later than the slack after it was sent", func() {
			So(violations(cutHistory(2000, 2201)), ShouldEqual, 1)
		})
		Convey("at a SIGHUP", func() {
			h := cutHistory(2900, 3600)
			h.Signals[0].Signal = syscall.SIGHUP
			So(violations(h), ShouldEqual, 1)
		})
		Convey("after a long wait for earlier answers", func() {
			h := cutHistory(2000, 3000)
			h.Statements[0].FirstAt = afterSignal(2900)
			So(violations(h), ShouldEqual, 1)
		})
	})
	Convey("An answer may be cut", t, func() {
		Convey("within the slack, if it reached no instance", func() {
			So(violations(cutHistory(2000, 2200)), ShouldEqual, 0)
		})
		Convey("before or long after the signal, or at another host's", func() {
			So(violations(cutHistory(-500, -10)), ShouldEqual, 0)
			So(violations(cutHistory(6800, 7100)), ShouldEqual, 0)
			h := cutHistory(2000, 2300)
			h.Signals[0].Host = "other"
			So(violations(h), ShouldEqual, 0)
			h = cutHistory(3100, 3600)
			h.Signals[0].Signal = syscall.SIGHUP
			So(violations(h), ShouldEqual, 0)
		})
		Convey("if the instance broke off", func() {
			run := runOf(2010, 2090)
			run.BrokeOff = true
			So(violations(cutHistory(2000, 2100, run)), ShouldEqual, 0)
		})
		Convey("once the route's timeout or the caller's limit was reached", func() {
			So(violations(cutHistory(2000, 2799, runOf(2010, 3000))), ShouldEqual, 1)
			So(violations(cutHistory(2000, 2800, runOf(2010, 3000))), ShouldEqual, 0)
			h := cutHistory(2000, 2500)
			h.Statements[0].Ending = soak.LimitReached
			So(violations(h), ShouldEqual, 0)
		})
		Convey("in the last sixth of grace, on a statement that was sent early and is still at work", func() {
			h := cutHistory(3000, 5500, runOf(4900, 5600))
			h.Statements[0].FirstAt = afterSignal(4900)
			So(violations(h), ShouldEqual, 0)
			h.Statements[0].SentAt = afterSignal(3001)
			So(violations(h), ShouldEqual, 1)
			h = cutHistory(3000, 5500, runOf(4900, 4990))
			h.Statements[0].FirstAt = afterSignal(4900)
			So(violations(h), ShouldEqual, 1)
		})
		Convey("if an unplanned fault touched the host from the stable window before the statement to its end", func() {
			h := cutHistory(2000, 2300)
			for _, c := range []struct {
				host         string
				at, expected int
			}{{"e", -2000, 0}, {"", 2300, 0}, {"e", -2001, 1}, {"e", 2301, 1}, {"other", 2100, 1}} {
				h.Faults = []soak.Fault{{Host: c.host, At: afterSignal(c.at)}}
				So(violations(h), ShouldEqual, c.expected)
			}
		})
	})
}
