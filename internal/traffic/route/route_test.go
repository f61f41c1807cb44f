package route_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/traffic/route"
)

var start = time.Unix(1000, 0)

func server(name string, position uint64) route.Server {
	return route.Server{Name: name, Position: position, Alive: true, LogConsistent: true, Slots: 2}
}

// TestChooseNeverPicksStaleReplica checks that a replica is chosen only if it has reached the required
// position and may serve the request.
func TestChooseNeverPicksStaleReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []route.Server
		for i := range rapid.IntRange(0, 4).Draw(t, "servers") {
			list = append(list, route.Server{
				Name: string(rune('a' + i)), Position: rapid.Uint64Range(0, 5).Draw(t, "position"),
				Alive: rapid.Bool().Draw(t, "alive"), LogConsistent: rapid.Bool().Draw(t, "clean"), Draining: rapid.Bool().Draw(t, "leaving"),
				Primary: i == 0 && rapid.Bool().Draw(t, "primary"), Load: rapid.IntRange(0, 9).Draw(t, "load"), Slots: 2,
			})
		}
		req := route.Request{Read: rapid.Bool().Draw(t, "read"), MinPosition: rapid.Uint64Range(0, 5).Draw(t, "need")}
		c := route.DefaultOptions().Choose(req, list)
		if !c.Found {
			if c.Wait <= 0 {
				t.Fatal("neither a server nor a wait")
			}
			return
		}
		for _, s := range list {
			if s.Name != c.Server {
				continue
			}
			if !s.Alive || (!s.Primary && (!req.Read || !s.LogConsistent || s.Draining || s.Position < req.MinPosition)) {
				t.Fatalf("chose %+v for %+v", s, req)
			}
		}
	})
}

func TestChoose(t *testing.T) {
	o := route.DefaultOptions()
	primary := server("p", 10)
	primary.Primary = true
	Convey("A read goes to the least loaded replica that has reached the position", t, func() {
		a, b, c := server("a", 10), server("b", 10), server("c", 9)
		a.Load = 1
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, []route.Server{primary, a, b, c}).Server, ShouldEqual, "b")
	})
	Convey("A read waits for a replica while the primary is busy, then goes to the primary", t, func() {
		busy := primary
		busy.Load = 2
		list := []route.Server{busy, server("a", 9)}
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, list).Wait, ShouldEqual, o.ReplicaWait)
		So(o.Choose(route.Request{Read: true, MinPosition: 10, Waited: o.ReplicaWait}, list).Server, ShouldEqual, "p")
		list[0].Load = 0
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, list).Server, ShouldEqual, "p")
	})
	Convey("A read goes to the idle primary if the replicas are overloaded", t, func() {
		a := server("a", 10)
		a.Load = o.SpillFactor * a.Slots
		So(o.Choose(route.Request{Read: true}, []route.Server{primary, a}).Server, ShouldEqual, "p")
	})
	Convey("Without a primary, writes wait and replicas serve reads", t, func() {
		list := []route.Server{server("a", 10)}
		So(o.Choose(route.Request{}, list).Found, ShouldBeFalse)
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, list).Server, ShouldEqual, "a")
	})
}

// TestAckedHistoryNeverReturnsStalePosition checks that a replica that has reached the returned
// position holds all writes that are older than the allowed age.
func TestAckedHistoryNeverReturnsStalePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		acked := route.AckedHistory{Retention: time.Minute}
		type sample struct {
			at       time.Time
			position uint64
		}
		var history []sample
		now, position := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			position += rapid.Uint64Range(0, 3).Draw(t, "writes")
			history = append(history, sample{now, position})
			acked.Record(now, position)
		}
		age := time.Duration(rapid.IntRange(1, 30000).Draw(t, "age")) * time.Millisecond
		minPosition, ok := acked.MinPosition(now, age)
		if !ok {
			return
		}
		for _, s := range history {
			if !s.at.After(now.Add(-age)) && s.position > minPosition {
				t.Fatalf("position %d was returned for age %s, but %d was already acknowledged %s ago", minPosition, age, s.position, now.Sub(s.at))
			}
		}
	})
}

// TestAckedHistoryCountsUnkeptSamples replays a case that rapid found (seed 7037805197799156018): two
// positions are recorded at the same time, and only the first is kept as a sample.
func TestAckedHistoryCountsUnkeptSamples(t *testing.T) {
	Convey("A position that was superseded when the allowed age began is too old", t, func() {
		acked := route.AckedHistory{Retention: time.Minute}
		acked.Record(start, 0)
		acked.Record(start, 1)
		minPosition, ok := acked.MinPosition(start.Add(2*time.Millisecond), 2*time.Millisecond)
		So(ok && minPosition == 0, ShouldBeFalse)
	})
}
