package group_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

// explore drives a world at random and returns the first faults that it shows.
func explore(t *rapid.T, w *world) {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	t.Repeat(map[string]func(*rapid.T){
		"lead": func(*rapid.T) { w.lead() },
		"rush": func(*rapid.T) {
			for range 6 {
				w.lead()
			}
		},
		"leader":    func(*rapid.T) { w.newLeader() },
		"fail":      func(*rapid.T) { w.failed = true },
		"fine":      func(*rapid.T) { w.failed = false },
		"learn":     func(*rapid.T) { w.learn() },
		"lose":      func(*rapid.T) { w.holder.valid = false },
		"expire":    func(*rapid.T) { w.expired = !w.holder.valid },
		"renew":     func(*rapid.T) { w.holder.valid, w.expired = true, false; w.learn() },
		"write":     func(*rapid.T) { w.write() },
		"ack":       func(*rapid.T) { w.acknowledge() },
		"down":      func(t *rapid.T) { w.find(name.Draw(t, "down")).up = false },
		"up":        func(t *rapid.T) { w.find(name.Draw(t, "up")).up = true },
		"follow":    func(t *rapid.T) { w.follow(name.Draw(t, "follow")) },
		"replicate": func(t *rapid.T) { w.replicate(name.Draw(t, "replicate")) },
		"report":    func(t *rapid.T) { w.report(name.Draw(t, "report")) },
		"disk": func(t *rapid.T) {
			if w.lost == 0 {
				w.loseDisk(name.Draw(t, "disk"))
			}
		},
		"admit": func(t *rapid.T) { w.admit(name.Draw(t, "admit")) },
		"work": func(t *rapid.T) {
			w.write()
			for _, n := range []string{"a", "b", "c"} {
				w.follow(n)
				w.replicate(n)
				w.replicate(n)
				w.report(n)
			}
			w.acknowledge()
		},
		"": func(t *rapid.T) {
			if len(w.faults) > 0 {
				t.Fatal(w.faults)
			}
		},
	})
}

// TestFailoverKeepsAcknowledgedWrites drives the real decisions with crashes, frozen and cut
// holders, new leaders and returned primaries.
func TestFailoverKeepsAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { explore(t, newWorld(guards{})) })
}

func TestFailoverSteps(t *testing.T) {
	Convey("Given a new group", t, func() {
		w := newWorld(guards{})
		for range 20 {
			w.lead()
			w.learn()
		}
		So(w.run().Phase, ShouldEqual, wire.Phase_OPEN)
		So(w.run().Primary, ShouldEqual, "a")
		work := func() {
			w.write()
			for _, n := range []string{"a", "b", "c"} {
				w.follow(n)
				for range 4 {
					w.replicate(n)
				}
				w.report(n)
			}
			w.acknowledge()
		}
		work()
		So(w.acked, ShouldHaveLength, 1)

		Convey("A failed primary is replaced, and a returned one cuts its tail", func() {
			w.write()
			a := w.find("a")
			a.up = false
			w.failover()
			So(w.run().Phase, ShouldEqual, wire.Phase_OPEN)
			So(w.run().Primary, ShouldNotEqual, "a")
			a.up = true
			So(len(a.log), ShouldEqual, 3)
			work()
			So(w.faults, ShouldBeEmpty)
			So(a.last(), ShouldEqual, w.run().Term)
			So(w.acked, ShouldHaveLength, 2)
		})
		Convey("With one of three instances the failover waits until an operator accepts the loss", func() {
			w.find("a").up, w.find("b").up = false, false
			w.failover()
			So(w.run().Phase, ShouldEqual, wire.Phase_SEALED)
			v := w.view()
			_, _, ok := group.Choose(v)
			So(ok, ShouldBeFalse)
			v.Accept = v.Run.Term
			name, _, ok := group.Choose(v)
			So(ok, ShouldBeTrue)
			So(name, ShouldEqual, "c")
			v.Accept = v.Run.Term - 1
			_, _, ok = group.Choose(v)
			So(ok, ShouldBeFalse)
		})
		Convey("A seal waits for the holder", func() {
			w.failed = true
			for range 50 {
				w.lead()
			}
			So(w.run().Phase, ShouldEqual, wire.Phase_SEALED)
			w.failed = false
			w.learn()
			for range 20 {
				w.lead()
			}
			So(w.run().Phase, ShouldNotEqual, wire.Phase_SEALED)
		})
	})
}

func TestChoose(t *testing.T) {
	view := func(reports map[string]group.Report, instances ...group.Instance) group.View {
		return group.View{Run: &wire.GroupState{Term: 5, Phase: wire.Phase_SEALED, Forks: []*wire.TermStart{{Term: 1}}}, Size: 3, Acks: 2, Released: true, Home: "k", Reports: reports, Instances: instances}
	}
	Convey("The term of the last entry goes before the position", t, func() {
		name, _, ok := group.Choose(view(map[string]group.Report{
			"a": {Term: 5, Last: 3, Position: 90}, "b": {Term: 5, Last: 4, Position: 70},
		}))
		So(ok, ShouldBeTrue)
		So(name, ShouldEqual, "b")
	})
	Convey("An instance that is not fenced does not count", t, func() {
		_, _, ok := group.Choose(view(map[string]group.Report{"a": {Term: 4, Last: 3, Position: 90}, "b": {Term: 5, Last: 3, Position: 70}}))
		So(ok, ShouldBeFalse)
	})
	Convey("Of equal logs the one at home is taken, and never a leaving one where others suffice", t, func() {
		r := group.Report{Term: 5, Last: 4, Position: 70}
		all := map[string]group.Report{"a": r, "b": r, "c": r}
		name, _, _ := group.Choose(view(all, group.Instance{Name: "a"}, group.Instance{Name: "b", Center: "k"}, group.Instance{Name: "c"}))
		So(name, ShouldEqual, "b")
		ahead := map[string]group.Report{"a": r, "b": {Term: 5, Last: 4, Position: 99}, "c": r}
		name, _, _ = group.Choose(view(ahead, group.Instance{Name: "a"}, group.Instance{Name: "b", Leaving: true}, group.Instance{Name: "c"}))
		So(name, ShouldEqual, "a")
	})
}

func TestFlappingIsDamped(t *testing.T) {
	Convey("The sixth failover in a row waits, the first ones do not", t, func() {
		g := &group.Group{Options: group.DefaultOptions()}
		now := time.Unix(1000, 0)
		var waits []time.Duration
		for term := uint64(1); term <= 8; term++ {
			v := group.View{Name: "g", Run: &wire.GroupState{Term: term, Phase: wire.Phase_OPEN, Primary: "a"}, Size: 3, Acks: 2, Failed: true}
			at := now
			for len(g.Step(now, v)) == 0 {
				now = now.Add(100 * time.Millisecond)
			}
			waits = append(waits, now.Sub(at))
			now = now.Add(100 * time.Millisecond)
		}
		So(waits[:5], ShouldResemble, make([]time.Duration, 5))
		So(fmt.Sprint(waits[5:]), ShouldEqual, "[1s 2s 4s]")
	})
}

// failover lets the primary fail and the leader do what it can; the holder learns of it.
func (w *world) failover() {
	w.failed = true
	for range 30 {
		w.lead()
		w.learn()
		if w.run().Phase != wire.Phase_OPEN {
			w.failed = false
		}
	}
}

// strayTail leaves primary a, which is gone, with two writes that nobody else has, and lets
// the new primary b take one that is as far on.
func (w *world) strayTail() {
	w.write()
	w.write()
	w.find("a").up = false
	w.failover()
	w.write()
	w.find("a").up = true
}

// TestEachGuardIsNeeded plays the runs that the guards are there for: with all guards there
// is no fault, and without the one there is.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, one := range []struct {
		name   string
		guards guards
		play   func(w *world)
	}{
		{"seal in force before the choice", guards{noSeal: true}, func(w *world) {
			w.write()
			w.replicate("b")
			w.report("b")
			w.failed = true
			for range 10 {
				w.lead()
			}
			w.acknowledge()
		}},
		{"enough answers", guards{oneAnswer: true}, func(w *world) {
			w.write()
			w.replicate("b")
			w.report("b")
			w.acknowledge()
			w.find("a").up, w.find("b").up = false, false
			w.failover()
		}},
		{"answers of known disks", guards{anyDisk: true}, func(w *world) {
			w.write()
			w.replicate("b")
			w.report("b")
			w.acknowledge()
			w.loseDisk("b")
			w.find("a").up = false
			w.failover()
		}},
		{"replicas of the same term", guards{anyTerm: true}, func(w *world) {
			w.strayTail()
			w.report("a")
			w.acknowledge()
			w.find("b").up = false
			w.failover()
		}},
		{"cut before a report", guards{noCut: true}, func(w *world) {
			w.strayTail()
			w.follow("a")
			w.report("a")
			w.acknowledge()
			w.find("b").up = false
			w.failover()
		}},
	} {
		Convey("The guard is needed: "+one.name, t, func() {
			without, with := opened(one.guards), opened(guards{})
			one.play(without)
			So(without.faults, ShouldNotBeEmpty)
			one.play(with)
			So(with.faults, ShouldBeEmpty)
		})
	}
}

// opened returns a group with an open term, whose replicas follow.
func opened(g guards) *world {
	w := newWorld(guards{})
	for range 12 {
		w.lead()
		w.learn()
	}
	for _, n := range []string{"b", "c"} {
		w.follow(n)
		w.replicate(n)
	}
	w.guards = g
	return w
}
