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

// runRandomOperations applies random operations to a simulation and fails at the first violation.
// "lead" and "rush" are one and six steps of the leader, "leader" a leader change, "fail" and
// "fine" the observers' verdict on the primary; "learn" brings the holder up to date, "lose",
// "expire" and "renew" are about its lease. rapid draws operations in the order of their names,
// so renaming one changes the runs of the fixed seed.
func runRandomOperations(t *rapid.T, s *simulation) {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	t.Repeat(map[string]func(*rapid.T){
		"lead": func(*rapid.T) { s.stepLeader() },
		"rush": func(*rapid.T) {
			for range 6 {
				s.stepLeader()
			}
		},
		"leader":    func(*rapid.T) { s.newLeader() },
		"fail":      func(*rapid.T) { s.primaryFailed = true },
		"fine":      func(*rapid.T) { s.primaryFailed = false },
		"learn":     func(*rapid.T) { s.refreshHolder() },
		"lose":      func(*rapid.T) { s.holder.leaseValid = false },
		"expire":    func(*rapid.T) { s.leaseExpired = !s.holder.leaseValid },
		"renew":     func(*rapid.T) { s.holder.leaseValid, s.leaseExpired = true, false; s.refreshHolder() },
		"write":     func(*rapid.T) { s.write() },
		"ack":       func(*rapid.T) { s.acknowledge() },
		"down":      func(t *rapid.T) { s.find(name.Draw(t, "down")).up = false },
		"up":        func(t *rapid.T) { s.find(name.Draw(t, "up")).up = true },
		"follow":    func(t *rapid.T) { s.follow(name.Draw(t, "follow")) },
		"replicate": func(t *rapid.T) { s.replicate(name.Draw(t, "replicate")) },
		"report":    func(t *rapid.T) { s.report(name.Draw(t, "report")) },
		"disk": func(t *rapid.T) {
			if s.lostDisks == 0 {
				s.loseDisk(name.Draw(t, "disk"))
			}
		},
		"admit": func(t *rapid.T) { s.admit(name.Draw(t, "admit")) },
		"work": func(t *rapid.T) {
			s.write()
			for _, n := range []string{"a", "b", "c"} {
				s.follow(n)
				s.replicate(n)
				s.replicate(n)
				s.report(n)
			}
			s.acknowledge()
		},
		"": func(t *rapid.T) {
			if len(s.violations) > 0 {
				t.Fatal(s.violations)
			}
		},
	})
}

// TestFailoverKeepsAcknowledgedWrites guards against the loss of acknowledged writes in a failover.
// It runs group.Failover with crashed instances, holders that are paused or partitioned, leader
// changes and former primaries that return.
func TestFailoverKeepsAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandomOperations(t, newSimulation(disabledSafeguards{})) })
}

func TestFailoverSteps(t *testing.T) {
	Convey("Given a new group", t, func() {
		s := newSimulation(disabledSafeguards{})
		for range 20 {
			s.stepLeader()
			s.refreshHolder()
		}
		So(s.groupState().Phase, ShouldEqual, wire.Phase_OPEN)
		So(s.groupState().Primary, ShouldEqual, "a")
		writeAndReplicate := func() {
			s.write()
			for _, n := range []string{"a", "b", "c"} {
				s.follow(n)
				for range 4 {
					s.replicate(n)
				}
				s.report(n)
			}
			s.acknowledge()
		}
		writeAndReplicate()
		So(s.acked, ShouldHaveLength, 1)

		Convey("A failed primary is replaced, and truncates its diverged log when it returns", func() {
			s.write()
			a := s.find("a")
			a.up = false
			s.failover()
			So(s.groupState().Phase, ShouldEqual, wire.Phase_OPEN)
			So(s.groupState().Primary, ShouldNotEqual, "a")
			a.up = true
			So(len(a.log), ShouldEqual, 3)
			writeAndReplicate()
			So(s.violations, ShouldBeEmpty)
			So(a.lastTerm(), ShouldEqual, s.groupState().Term)
			So(s.acked, ShouldHaveLength, 2)
		})
		Convey("With one of three instances left, failover waits until an operator accepts the loss of writes", func() {
			s.find("a").up, s.find("b").up = false, false
			s.failover()
			So(s.groupState().Phase, ShouldEqual, wire.Phase_SEALED)
			v := s.view()
			_, _, ok := group.ChoosePrimary(v)
			So(ok, ShouldBeFalse)
			v.AcceptLossInTerm = v.State.Term
			name, _, ok := group.ChoosePrimary(v)
			So(ok, ShouldBeTrue)
			So(name, ShouldEqual, "c")
			v.AcceptLossInTerm = v.State.Term - 1
			_, _, ok = group.ChoosePrimary(v)
			So(ok, ShouldBeFalse)
		})
		Convey("The choice of a primary waits until the holder has confirmed the seal", func() {
			s.primaryFailed = true
			for range 50 {
				s.stepLeader()
			}
			So(s.groupState().Phase, ShouldEqual, wire.Phase_SEALED)
			s.primaryFailed = false
			s.refreshHolder()
			for range 20 {
				s.stepLeader()
			}
			So(s.groupState().Phase, ShouldNotEqual, wire.Phase_SEALED)
		})
	})
}

func TestChoose(t *testing.T) {
	view := func(reports map[string]group.Report, instances ...group.Instance) group.View {
		return group.View{State: &wire.GroupState{Term: 5, Phase: wire.Phase_SEALED, Forks: []*wire.TermStart{{Term: 1}}}, Size: 3, Acks: 2, SealInForce: true, PreferredCenter: "k", Reports: reports, Instances: instances}
	}
	Convey("The term of the last entry takes precedence over the position", t, func() {
		name, _, ok := group.ChoosePrimary(view(map[string]group.Report{
			"a": {Term: 5, LastTerm: 3, Position: 90}, "b": {Term: 5, LastTerm: 4, Position: 70},
		}))
		So(ok, ShouldBeTrue)
		So(name, ShouldEqual, "b")
	})
	Convey("The report of an instance that is not fenced does not count", t, func() {
		_, _, ok := group.ChoosePrimary(view(map[string]group.Report{"a": {Term: 4, LastTerm: 3, Position: 90}, "b": {Term: 5, LastTerm: 3, Position: 70}}))
		So(ok, ShouldBeFalse)
	})
	Convey("Of equal logs, the one in the preferred data centre wins; a draining instance is not chosen if enough others remain", t, func() {
		r := group.Report{Term: 5, LastTerm: 4, Position: 70}
		all := map[string]group.Report{"a": r, "b": r, "c": r}
		name, _, _ := group.ChoosePrimary(view(all, group.Instance{Name: "a"}, group.Instance{Name: "b", Center: "k"}, group.Instance{Name: "c"}))
		So(name, ShouldEqual, "b")
		ahead := map[string]group.Report{"a": r, "b": {Term: 5, LastTerm: 4, Position: 99}, "c": r}
		name, _, _ = group.ChoosePrimary(view(ahead, group.Instance{Name: "a"}, group.Instance{Name: "b", Draining: true}, group.Instance{Name: "c"}))
		So(name, ShouldEqual, "a")
	})
}

func TestFlappingBacksOff(t *testing.T) {
	Convey("Backoff starts with the sixth consecutive failover", t, func() {
		f := &group.Failover{Options: group.DefaultOptions()}
		now := time.Unix(1000, 0)
		var waits []time.Duration
		for term := uint64(1); term <= 8; term++ {
			v := group.View{Name: "g", State: &wire.GroupState{Term: term, Phase: wire.Phase_OPEN, Primary: "a"}, Size: 3, Acks: 2, PrimaryFailed: true}
			at := now
			for len(f.Step(now, v)) == 0 {
				now = now.Add(100 * time.Millisecond)
			}
			waits = append(waits, now.Sub(at))
			now = now.Add(100 * time.Millisecond)
		}
		So(waits[:5], ShouldResemble, make([]time.Duration, 5))
		So(fmt.Sprint(waits[5:]), ShouldEqual, "[1s 2s 4s]")
	})
}

// failover reports the primary as failed until the term ends and runs the leader and the holder
// until the failover is complete, or as far as it can go.
func (s *simulation) failover() {
	s.primaryFailed = true
	for range 30 {
		s.stepLeader()
		s.refreshHolder()
		if s.groupState().Phase != wire.Phase_OPEN {
			s.primaryFailed = false
		}
	}
}

// divergeFormerPrimary leaves primary a with two writes that no other instance has, fails over to b,
// lets b write an entry at a position that a also has, and brings a back.
func (s *simulation) divergeFormerPrimary() {
	s.write()
	s.write()
	s.find("a").up = false
	s.failover()
	s.write()
	s.find("a").up = true
}

// TestEachSafeguardIsNeeded checks that the simulation notices a missing safeguard: for each one, a
// run that violates the guarantees without it and does not with all safeguards.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled disabledSafeguards
		run      func(s *simulation)
	}{
		{"seal in force before the choice", disabledSafeguards{sealWait: true}, func(s *simulation) {
			s.write()
			s.replicate("b")
			s.report("b")
			s.primaryFailed = true
			for range 10 {
				s.stepLeader()
			}
			s.acknowledge()
		}},
		{"reports of a quorum", disabledSafeguards{quorum: true}, func(s *simulation) {
			s.write()
			s.replicate("b")
			s.report("b")
			s.acknowledge()
			s.find("a").up, s.find("b").up = false, false
			s.failover()
		}},
		{"reports from trusted disks only", disabledSafeguards{diskCheck: true}, func(s *simulation) {
			s.write()
			s.replicate("b")
			s.report("b")
			s.acknowledge()
			s.loseDisk("b")
			s.find("a").up = false
			s.failover()
		}},
		{"copies counted only in the same term", disabledSafeguards{termCheck: true}, func(s *simulation) {
			s.divergeFormerPrimary()
			s.report("a")
			s.acknowledge()
			s.find("b").up = false
			s.failover()
		}},
		{"truncation before a replica reports", disabledSafeguards{truncation: true}, func(s *simulation) {
			s.divergeFormerPrimary()
			s.follow("a")
			s.report("a")
			s.acknowledge()
			s.find("b").up = false
			s.failover()
		}},
	} {
		Convey("The safeguard is needed: "+tc.name, t, func() {
			without, with := openSimulation(tc.disabled), openSimulation(disabledSafeguards{})
			tc.run(without)
			So(without.violations, ShouldNotBeEmpty)
			tc.run(with)
			So(with.violations, ShouldBeEmpty)
		})
	}
}

// openSimulation returns a simulation with an open term whose replicas follow the primary. The
// safeguards are disabled only from then on.
func openSimulation(disabled disabledSafeguards) *simulation {
	s := newSimulation(disabledSafeguards{})
	for range 12 {
		s.stepLeader()
		s.refreshHolder()
	}
	for _, n := range []string{"b", "c"} {
		s.follow(n)
		s.replicate(n)
	}
	s.disabled = disabled
	return s
}
