package route_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// TestSightsHoldAllThatIsOldEnough plays a primary whose position grows while requests are on
// their way, and checks that the position for an age lacks nothing that was acknowledged
// before the age began.
func TestSightsHoldAllThatIsOldEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := route.Sights{Keep: 10 * time.Second}
		now, position := start, uint64(0)
		type acked struct {
			at       time.Time
			position uint64
		}
		var history []acked
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			sent := now
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond)
			if rapid.Bool().Draw(t, "write") {
				position++
			}
			s.Saw(sent, token.Position{Term: 1, Position: position})
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "back")) * time.Millisecond)
			history = append(history, acked{now, position})
		}
		age := time.Duration(rapid.IntRange(1, 9000).Draw(t, "age")) * time.Millisecond
		least, ok := s.Least(now, age)
		for _, h := range history {
			if ok && h.at.Before(now.Add(-age)) && h.position > least.Position {
				t.Fatalf("position %d is asked for, but %d was acknowledged %s ago", least.Position, h.position, now.Sub(h.at))
			}
		}
	})
}

func TestClip(t *testing.T) {
	fork := token.Position{Term: 3, Position: 50}
	Convey("What a later term has cut off is not asked for", t, func() {
		So(route.Clip(token.Position{Term: 3, Position: 60}, 4, fork), ShouldResemble, fork)
		So(route.Clip(token.Position{Term: 3, Position: 40}, 4, fork), ShouldResemble, token.Position{Term: 3, Position: 40})
		So(route.Clip(token.Position{Term: 4, Position: 51}, 4, fork), ShouldResemble, token.Position{Term: 4, Position: 51})
	})
}

func TestPick(t *testing.T) {
	c := route.DefaultCosts()
	near := route.Copy{Name: "near", Near: true, Slots: 2, Latency: 10 * time.Millisecond}
	far := route.Copy{Name: "far", Slots: 2, Latency: 10 * time.Millisecond}
	primary := route.Copy{Name: "p", Primary: true, Near: true, Slots: 2, Latency: 10 * time.Millisecond}
	pick := func(d route.Demand, list ...route.Copy) string {
		name, _ := c.Pick(d, list)
		return name
	}
	Convey("Reads go to a near replica, and farther when it is loaded, slow, behind, down or leaving", t, func() {
		So(pick(route.Demand{}, primary, far, near), ShouldEqual, "near")
		for _, change := range []func(*route.Copy){
			func(c *route.Copy) { c.Load = 4 }, func(c *route.Copy) { c.Latency = 40 * time.Millisecond },
			func(c *route.Copy) { c.Behind = true }, func(c *route.Copy) { c.Down = true },
			func(c *route.Copy) { c.Leaving = true }, func(c *route.Copy) { c.Tried = true },
		} {
			worse := near
			change(&worse)
			So(pick(route.Demand{}, far, worse), ShouldEqual, "far")
		}
	})
	Convey("What needs the primary goes nowhere else", t, func() {
		So(pick(route.Demand{Primary: true}, near, primary), ShouldEqual, "p")
		So(pick(route.Demand{Primary: true}, near, far), ShouldEqual, "")
	})
}
