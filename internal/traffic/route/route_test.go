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

// TestChooseNeverPicksStaleReplica checks that a replica is only chosen when it may answer.
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
	Convey("A read goes to the least loaded replica that is far enough", t, func() {
		a, b, c := server("a", 10), server("b", 10), server("c", 9)
		a.Load = 1
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, []route.Server{primary, a, b, c}).Server, ShouldEqual, "b")
	})
	Convey("A read waits a little for a replica while the primary is busy, then goes there", t, func() {
		busy := primary
		busy.Load = 2
		list := []route.Server{busy, server("a", 9)}
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, list).Wait, ShouldEqual, o.ReplicaWait)
		So(o.Choose(route.Request{Read: true, MinPosition: 10, Waited: o.ReplicaWait}, list).Server, ShouldEqual, "p")
		list[0].Load = 0
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, list).Server, ShouldEqual, "p")
	})
	Convey("An idle primary helps overloaded replicas", t, func() {
		a := server("a", 10)
		a.Load = o.SpillFactor * a.Slots
		So(o.Choose(route.Request{Read: true}, []route.Server{primary, a}).Server, ShouldEqual, "p")
	})
	Convey("Without a primary writes wait and reads go on", t, func() {
		list := []route.Server{server("a", 10)}
		So(o.Choose(route.Request{}, list).Found, ShouldBeFalse)
		So(o.Choose(route.Request{Read: true, MinPosition: 10}, list).Server, ShouldEqual, "a")
	})
}

// TestAckedHistoryNeverReturnsStalePosition checks that data at a position that counts as young enough really is:
// a replica that holds it has all that the primary had when the age began.
func TestAckedHistoryNeverReturnsStalePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		acked := route.AckedHistory{Retention: time.Minute}
		type sample struct {
			at       time.Time
			position uint64
		}
		var history []sample
		now, position := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "sights") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			position += rapid.Uint64Range(0, 3).Draw(t, "writes")
			history = append(history, sample{now, position})
			acked.Record(now, position)
		}
		age := time.Duration(rapid.IntRange(1, 30000).Draw(t, "age")) * time.Millisecond
		least, ok := acked.MinPosition(now, age)
		if !ok {
			return
		}
		for _, s := range history {
			if !s.at.After(now.Add(-age)) && s.position > least {
				t.Fatalf("position %d counts as younger than %s, but %d was there at %s before", least, age, s.position, now.Sub(s.at))
			}
		}
	})
}

// TestAckedHistoryCountsUnkeptSamples plays the run that rapid found (seed 7037805197799156018): two
// sights at one moment, of which only the first is kept.
func TestAckedHistoryCountsUnkeptSamples(t *testing.T) {
	Convey("A position that was replaced at the start of the age is too old", t, func() {
		acked := route.AckedHistory{Retention: time.Minute}
		acked.Record(start, 0)
		acked.Record(start, 1)
		least, ok := acked.MinPosition(start.Add(2*time.Millisecond), 2*time.Millisecond)
		So(ok && least == 0, ShouldBeFalse)
	})
}
