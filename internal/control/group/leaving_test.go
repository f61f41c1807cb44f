package group_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

const (
	// leavingBound is how long after its announcement an instance that leaves may get requests.
	leavingBound = 7 * time.Second
	// stepInterval is the interval of the leader's rounds.
	stepInterval = 20 * time.Millisecond
)

// leavingSimulation is a group in virtual time whose primary p announces at startTime that it leaves.
type leavingSimulation struct {
	*platformSimulation
	// answers reports whether an instance answers a status query at a time.
	answers func(name string, at time.Time) bool
	// declines reports whether the platform declines to promote an instance.
	declines func(name string) bool
	// copies is the number of replicas that must have received a write.
	copies int
	// held has the replicas that were told to receive nothing, and not to receive again since.
	held map[string]bool
	// usable is how long the term of p was open, and lastUsable the last time at which it was.
	usable     time.Duration
	lastUsable time.Time
}

// view returns what the leader knows at the present time.
func (s *leavingSimulation) view() group.PlatformView {
	v := s.platformSimulation.view("x", false)
	v.RequiredCopies = s.copies
	for i := range v.Candidates {
		if v.Candidates[i].Name == "p" {
			v.Candidates[i].Draining, v.Candidates[i].LeaveDeadline = true, spec.LeaveBound(leavingBound).Deadline(startTime)
		}
	}
	return v
}

// run steps the leader of the group for d.
func (s *leavingSimulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(stepInterval) {
		for _, a := range s.failovers["x"].Step(s.now, s.view()) {
			s.perform(a)
		}
		if s.state.Phase == wire.Phase_OPEN && s.state.Primary == "p" {
			s.usable += stepInterval
			s.lastUsable = s.now
		}
	}
}

// perform applies commands at once, and lets the platform and the instances answer at once.
func (s *leavingSimulation) perform(a group.Action) {
	switch a := a.(type) {
	case group.Propose:
		s.apply(a.Command)
	case group.QueryStatus:
		if s.answers(a.Instance, s.now) {
			s.held[a.Instance] = a.MinPrimaryTerm > 0 || s.held[a.Instance] && !a.ResumeReplication
			if a.StepDownTerm > s.primaryTerm && a.Instance == s.primary {
				s.primary = ""
			}
			s.statuses[a.Instance] = group.InstanceStatus{
				QueriedAt: s.now, Primary: a.Instance == s.primary, PrimaryTerm: s.primaryTerm, Received: group.LogPosition{Term: 1, Number: 9},
				Resumed: a.ResumeReplication, Held: s.held[a.Instance],
			}
		}
	case group.RequestPromotion:
		s.promotions["x"][a.FenceToken] = group.PromotionDeclined
		if s.answers(a.Instance, s.now) && !s.declines(a.Instance) && s.deliver(promotionRequest{a.Instance, a.FenceToken}) {
			s.promotions["x"][a.FenceToken] = group.PromotionConfirmed
		}
	}
}

// newLeavingSimulation returns a simulation in which p alone answers for the first 12 s.
func newLeavingSimulation() *leavingSimulation {
	s := &leavingSimulation{platformSimulation: newPlatformSimulation(), held: map[string]bool{}}
	s.declines = func(string) bool { return false }
	s.answers = func(name string, at time.Time) bool { return name == "p" || at.Sub(startTime) > 12*time.Second }
	return s
}

// TestHandOverWithoutSuccessorIsNotBegun guards against terms that are ended again and again, and a
// group that serves nothing, because no instance can take over from a leaving primary.
func TestHandOverWithoutSuccessorIsNotBegun(t *testing.T) {
	Convey("Given a leaving primary whose replicas are silent for 12 s", t, func() {
		s := newLeavingSimulation()
		s.run(12 * time.Second)
		Convey("It serves nearly until its deadline, and few terms are begun", func() {
			So(s.usable, ShouldBeGreaterThan, leavingBound-time.Second)
			So(s.state.Term, ShouldBeLessThanOrEqualTo, 3)
		})
		Convey("Once a replica answers, it becomes the primary", func() {
			s.run(3 * time.Second)
			So(s.state.Phase, ShouldEqual, wire.Phase_OPEN)
			So(s.state.Primary, ShouldNotEqual, "p")
		})
	})
}

// TestFailedHandOversAreSpacedOut guards against a group that is closed most of the time because the
// hand-over from a leaving primary fails again and again.
func TestFailedHandOversAreSpacedOut(t *testing.T) {
	Convey("Given a leaving primary, and replicas that answer but cannot be promoted", t, func() {
		s := newLeavingSimulation()
		s.answers = func(string, time.Time) bool { return true }
		s.declines = func(name string) bool { return name != "p" }
		s.run(6 * time.Second)
		Convey("Most of the time it serves", func() {
			So(s.usable, ShouldBeGreaterThan, 4*time.Second)
			So(s.state.Term, ShouldBeLessThanOrEqualTo, 16)
		})
	})
	Convey("Replicas receive again after a failed hand-over if writes require copies", t, func() {
		s := newLeavingSimulation()
		s.copies = 1
		s.answers = func(string, time.Time) bool { return true }
		s.declines = func(name string) bool { return name != "p" }
		for s.state.Term < 3 || s.state.Phase != wire.Phase_OPEN || s.state.Primary != "p" {
			s.run(stepInterval)
		}
		So(s.held["a"] || s.held["b"], ShouldBeTrue)
		s.run(time.Second)
		So(s.held["a"] || s.held["b"], ShouldBeFalse)
	})
}

// TestLeavingPrimaryIsNotUsedPastItsDeadline guards against requests at an instance long after its
// announcement that it leaves.
func TestLeavingPrimaryIsNotUsedPastItsDeadline(t *testing.T) {
	Convey("A leaving primary whose replicas are silent is not used after its deadline", t, func() {
		s := newLeavingSimulation()
		s.run(12 * time.Second)
		So(s.lastUsable, ShouldHappenBefore, startTime.Add(leavingBound))
	})
}

// TestLeftPrimaryIsNotChosenAgain guards against a choice, or a group that stays closed, because the only
// instance with the whole log has left.
func TestLeftPrimaryIsNotChosenAgain(t *testing.T) {
	past := startTime.Add(-time.Second)
	sealed := func(copies int) (*group.PlatformFailover, group.PlatformView) {
		v := sealedView(group.ReasonPrimaryDraining)
		if v.RequiredCopies = copies; copies > 0 {
			v.State.Revoked = v.State.Term
		}
		v.Candidates[2].Draining, v.Candidates[2].LeaveDeadline = true, past
		f := newPlatformFailover()
		f.Step(startTime, v)
		v.Statuses["p"] = statusAt(startTime.Add(1), 1, 9)
		return f, v
	}
	Convey("If it alone answers, nobody is chosen until another instance does", t, func() {
		f, v := sealed(0)
		So(proposedPrimary(f.Step(startTime.Add(time.Minute), v)), ShouldBeEmpty)
		v.Statuses["a"] = statusAt(startTime.Add(time.Minute), 1, 3)
		So(proposedPrimary(f.Step(startTime.Add(time.Minute+time.Second), v)), ShouldEqual, "a")
	})
	Convey("If writes require a copy and one replica lacks the end of its log, the choice waits for the other replica", t, func() {
		f, v := sealed(1)
		v.Statuses["a"] = statusAt(startTime.Add(1), 1, 8)
		So(proposedPrimary(f.Step(startTime.Add(time.Minute), v)), ShouldBeEmpty)
		v.Statuses["b"] = statusAt(startTime.Add(time.Minute), 1, 7)
		So(proposedPrimary(f.Step(startTime.Add(time.Minute+time.Second), v)), ShouldEqual, "a")
	})
	Convey("If writes require a copy and one replica has its whole log, that one is chosen", t, func() {
		f, v := sealed(1)
		v.Statuses["a"] = statusAt(startTime.Add(1), 1, 9)
		So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldEqual, "a")
	})
	Convey("A term whose primary is gone ends even if no successor is known", t, func() {
		v := openView()
		v.Candidates = nil
		So(sealReason(newPlatformFailover().Step(startTime, v)), ShouldEqual, group.ReasonPrimaryDraining)
	})
	Convey("A new incarnation of it can be chosen", t, func() {
		f, v := sealed(0)
		v.Candidates[2].Draining = false
		v.Statuses = map[string]group.InstanceStatus{"p": statusAt(startTime.Add(time.Second), 1, 0)}
		So(proposedPrimary(f.Step(startTime.Add(2*time.Second), v)), ShouldEqual, "p")
	})
}
