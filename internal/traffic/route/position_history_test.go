package route_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// TestPositionHistoryCoversOldWrites simulates a primary whose position grows while requests are in
// flight, and checks that the position returned for an age covers all writes acknowledged before
// that age.
func TestPositionHistoryCoversOldWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		positions := route.PositionHistory{Retention: 10 * time.Second}
		now, position := start, uint64(0)
		type acked struct {
			at       time.Time
			position uint64
		}
		var history []acked
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			sent := now
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "request delay")) * time.Millisecond)
			if rapid.Bool().Draw(t, "write") {
				position++
			}
			positions.Record(sent, token.Position{Term: 1, Position: position})
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "reply delay")) * time.Millisecond)
			history = append(history, acked{now, position})
		}
		age := time.Duration(rapid.IntRange(1, 9000).Draw(t, "age")) * time.Millisecond
		minPosition, ok := positions.MinPosition(now, age)
		for _, h := range history {
			if ok && h.at.Before(now.Add(-age)) && h.position > minPosition.Position {
				t.Fatalf("position %d was returned, but %d was already acknowledged %s ago", minPosition.Position, h.position, now.Sub(h.at))
			}
		}
	})
}

func TestClipToFork(t *testing.T) {
	fork := token.Position{Term: 3, Position: 50}
	Convey("Positions that a later term has rolled back are clipped to the fork", t, func() {
		So(route.ClipToFork(token.Position{Term: 3, Position: 60}, 4, fork), ShouldResemble, fork)
		So(route.ClipToFork(token.Position{Term: 3, Position: 40}, 4, fork), ShouldResemble, token.Position{Term: 3, Position: 40})
		So(route.ClipToFork(token.Position{Term: 4, Position: 51}, 4, fork), ShouldResemble, token.Position{Term: 4, Position: 51})
	})
}

func TestPick(t *testing.T) {
	c := route.DefaultCosts()
	local := route.Candidate{Name: "local", Local: true, Slots: 2, Latency: 10 * time.Millisecond}
	remote := route.Candidate{Name: "remote", Slots: 2, Latency: 10 * time.Millisecond}
	primary := route.Candidate{Name: "p", Primary: true, Local: true, Slots: 2, Latency: 10 * time.Millisecond}
	pick := func(req route.Requirement, list ...route.Candidate) string {
		name, _ := c.Pick(req, list)
		return name
	}
	Convey("Reads go to a local replica, or to a remote one if it is loaded, slow, in backoff, down, draining or tried", t, func() {
		So(pick(route.Requirement{}, primary, remote, local), ShouldEqual, "local")
		for _, change := range []func(*route.Candidate){
			func(c *route.Candidate) { c.Load = 4 }, func(c *route.Candidate) { c.Latency = 40 * time.Millisecond },
			func(c *route.Candidate) { c.InBackoff = true }, func(c *route.Candidate) { c.Down = true },
			func(c *route.Candidate) { c.Draining = true }, func(c *route.Candidate) { c.Tried = true },
		} {
			worse := local
			change(&worse)
			So(pick(route.Requirement{}, remote, worse), ShouldEqual, "remote")
		}
	})
	Convey("A read that needs no more than what a lagging replica has reported doesn't avoid it; others do", t, func() {
		lagging := local
		lagging.InBackoff, lagging.Lagging, lagging.ReportedPosition = true, true, token.Position{Term: 1, Position: 8}
		needs := func(n uint64) route.Requirement {
			return route.Requirement{MinPosition: token.Position{Term: 1, Position: n}}
		}
		So(pick(needs(8), remote, lagging), ShouldEqual, "local")
		So(pick(needs(9), remote, lagging), ShouldEqual, "remote")
		lagging.Lagging = false
		So(pick(needs(8), remote, lagging), ShouldEqual, "remote")
	})
	Convey("Requests that must run at the primary go only there", t, func() {
		So(pick(route.Requirement{Primary: true}, local, primary), ShouldEqual, "p")
		So(pick(route.Requirement{Primary: true}, local, remote), ShouldEqual, "")
	})
}
