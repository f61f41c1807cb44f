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

var startTime = time.Unix(5000, 0)

func newPlatformFailover() *group.PlatformFailover {
	return &group.PlatformFailover{Options: group.DefaultPlatformOptions()}
}

// openView returns a view of an open group with primary p and replicas a and b.
func openView() group.PlatformView {
	return group.PlatformView{
		Name: "g", ControlHost: "core", State: &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "p"},
		Candidates: []group.Candidate{{Name: "a"}, {Name: "b"}, {Name: "p", AnnouncedPrimary: true}},
		Statuses:   map[string]group.InstanceStatus{},
	}
}

// sealedView returns a view of the same group after its term was ended for the given reason.
func sealedView(reason string) group.PlatformView {
	v := openView()
	v.State = sealedState(reason, "p", 2)
	v.SealInForce = true
	return v
}

// stateAfterChoice returns the state of the group once the control host "core" has chosen an instance.
func stateAfterChoice(name string) *wire.GroupState {
	return &wire.GroupState{Term: 2, Phase: wire.Phase_CHOSEN, Primary: name, Chooser: "core", Fence: 40}
}

// sealedState returns the state of the group after a term was ended whose primary was name. It is revoked unless the
// primary leaves.
func sealedState(reason, name string, term uint64) *wire.GroupState {
	gs := &wire.GroupState{Term: term, Phase: wire.Phase_SEALED, Primary: name, Reason: reason, Sealed: 9}
	if reason != group.ReasonPrimaryDraining {
		gs.Revoked = term
	}
	return gs
}

// statusAt returns the status of a replica that was queried at a time and has received the log up
// to term and number.
func statusAt(at time.Time, term, number uint64) group.InstanceStatus {
	return group.InstanceStatus{QueriedAt: at, PrimaryTerm: 1, Received: group.LogPosition{Term: term, Number: number}}
}

// proposedPrimary returns the instance that a Choose command among actions proposes, or "".
func proposedPrimary(acts []group.Action) string {
	for _, a := range acts {
		if p, ok := a.(group.Propose); ok && p.Command.GetChoose() != nil {
			return p.Command.GetChoose().Primary
		}
	}
	return ""
}

// sealReason returns the reason of a Seal command among actions, or "".
func sealReason(acts []group.Action) string {
	for _, a := range acts {
		if p, ok := a.(group.Propose); ok && p.Command.GetSeal() != nil {
			return p.Command.GetSeal().Reason
		}
	}
	return ""
}

func TestPlatformFailoverChecksPrimary(t *testing.T) {
	Convey("An open term ends only when its primary has failed, is draining or was deposed", t, func() {
		v := openView()
		So(newPlatformFailover().Step(startTime, v), ShouldBeEmpty)
		v.PrimaryFailed = true
		So(sealReason(newPlatformFailover().Step(startTime, v)), ShouldEqual, group.ReasonPrimaryFailed)
		v = openView()
		v.Candidates[2].Draining, v.Candidates[2].LeaveDeadline = true, startTime.Add(time.Second)
		draining := newPlatformFailover()
		So(draining.Step(startTime, v), ShouldResemble, []group.Action{group.QueryStatus{Instance: "a"}, group.QueryStatus{Instance: "b"}})
		v.Statuses["b"] = statusAt(startTime, 1, 5)
		So(sealReason(draining.Step(startTime.Add(time.Millisecond), v)), ShouldEqual, group.ReasonPrimaryDraining)
		v.Candidates[0].Draining, v.Candidates[1].Draining = true, true
		So(newPlatformFailover().Step(startTime, v), ShouldBeEmpty)
		So(sealReason(newPlatformFailover().Step(startTime.Add(time.Second), v)), ShouldEqual, group.ReasonPrimaryDraining)
		v = openView()
		v.Candidates[2].AnnouncedPrimary = false
		f := newPlatformFailover()
		So(f.Step(startTime, v), ShouldResemble, []group.Action{group.QueryStatus{Instance: "p"}})
		v.Statuses["p"] = statusAt(startTime.Add(time.Millisecond), 1, 5)
		So(sealReason(f.Step(startTime.Add(2*time.Millisecond), v)), ShouldEqual, group.ReasonPrimaryDeposed)
	})
}

func TestPlatformFailoverChooses(t *testing.T) {
	Convey("No primary is chosen before the seal is in force", t, func() {
		v := sealedView(group.ReasonPrimaryFailed)
		v.SealInForce = false
		So(newPlatformFailover().Step(startTime, v), ShouldBeEmpty)
	})
	Convey("Of the replicas queried after the seal came into force, the one with the highest position is chosen", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		So(proposedPrimary(f.Step(startTime, v)), ShouldBeEmpty)
		v.Statuses["a"] = statusAt(startTime.Add(-time.Second), 1, 99)
		v.Statuses["b"] = statusAt(startTime.Add(time.Millisecond), 1, 7)
		So(proposedPrimary(f.Step(startTime.Add(10*time.Millisecond), v)), ShouldBeEmpty)
		v.Statuses["a"] = statusAt(startTime.Add(11*time.Millisecond), 1, 8)
		So(proposedPrimary(f.Step(startTime.Add(20*time.Millisecond), v)), ShouldEqual, "a")
	})
	Convey("A higher term takes precedence over a higher number", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		f.Step(startTime, v)
		v.Statuses["a"], v.Statuses["b"] = statusAt(startTime.Add(1), 1, 900), statusAt(startTime.Add(1), 2, 3)
		So(proposedPrimary(f.Step(startTime.Add(time.Millisecond), v)), ShouldEqual, "b")
	})
	Convey("The choice waits for a replica that does not answer, up to AnswerTimeout", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		f.Step(startTime, v)
		v.Statuses["b"] = statusAt(startTime.Add(1), 1, 3)
		So(proposedPrimary(f.Step(startTime.Add(100*time.Millisecond), v)), ShouldBeEmpty)
		So(proposedPrimary(f.Step(startTime.Add(group.DefaultPlatformOptions().AnswerTimeout), v)), ShouldEqual, "b")
	})
	Convey("A planned failover waits until the next primary has received the whole log", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryDraining)
		v.Candidates[2].Draining = true
		f.Step(startTime, v)
		v.Statuses = map[string]group.InstanceStatus{"p": statusAt(startTime.Add(1), 1, 9), "a": statusAt(startTime.Add(1), 1, 8), "b": statusAt(startTime.Add(1), 1, 7)}
		So(proposedPrimary(f.Step(startTime.Add(time.Millisecond), v)), ShouldBeEmpty)
		v.Statuses["a"] = statusAt(startTime.Add(2), 1, 9)
		So(proposedPrimary(f.Step(startTime.Add(2*time.Millisecond), v)), ShouldEqual, "a")
	})
	Convey("If only the former primary answers, it is chosen again", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		f.Step(startTime, v)
		v.Statuses["p"] = statusAt(startTime.Add(1), 1, 9)
		So(proposedPrimary(f.Step(startTime.Add(2*group.DefaultPlatformOptions().AnswerTimeout), v)), ShouldEqual, "p")
	})
}

func TestPlatformFailoverWithRequiredCopies(t *testing.T) {
	Convey("Given a group whose writes are acknowledged after one replica has received them", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		v.RequiredCopies, v.State.Reign = 1, 4
		Convey("The query before the choice stops replication on the replicas, but not on the primary", func() {
			So(f.Step(startTime, v), ShouldResemble, []group.Action{
				group.QueryStatus{Instance: "a", MinPrimaryTerm: 5}, group.QueryStatus{Instance: "b", MinPrimaryTerm: 5}, group.QueryStatus{Instance: "p"},
			})
		})
		Convey("The answer of one of two replicas is not enough, even after a long wait", func() {
			f.Step(startTime, v)
			v.Statuses["a"] = statusAt(startTime.Add(1), 1, 9)
			So(proposedPrimary(f.Step(startTime.Add(time.Minute), v)), ShouldBeEmpty)
			v.Statuses["b"] = statusAt(startTime.Add(1), 1, 10)
			So(proposedPrimary(f.Step(startTime.Add(time.Minute+time.Second), v)), ShouldEqual, "b")
		})
		Convey("With the former primary's answer, one replica is enough once it has caught up; after CatchUpTimeout the former primary is chosen", func() {
			f.Step(startTime, v)
			v.Statuses["p"], v.Statuses["a"] = statusAt(startTime.Add(1), 1, 9), statusAt(startTime.Add(1), 1, 8)
			So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldBeEmpty)
			So(proposedPrimary(f.Step(startTime.Add(2*time.Second), v)), ShouldEqual, "p")
		})
		Convey("Replicas resume replication after the term has opened", func() {
			opened := openView()
			opened.RequiredCopies = 1
			f := newPlatformFailover()
			So(f.Step(startTime, opened), ShouldResemble, []group.Action{group.QueryStatus{Instance: "a"}, group.QueryStatus{Instance: "b"}})
			for _, name := range []string{"a", "b"} {
				status := statusAt(startTime.Add(1), 1, 9)
				status.Held = name == "b"
				opened.Statuses[name] = status
			}
			acts := f.Step(startTime.Add(time.Second), opened)
			So(acts, ShouldContain, group.QueryStatus{Instance: "b", ResumeReplication: true})
			So(acts, ShouldNotContain, group.QueryStatus{Instance: "a", ResumeReplication: true})
		})
	})
}

func TestPlatformFailoverPromotes(t *testing.T) {
	Convey("Given a primary chosen by this control host", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		v.State = stateAfterChoice("a")
		So(f.Step(startTime, v), ShouldResemble, []group.Action{group.RequestPromotion{Instance: "a", FenceToken: 40}})
		Convey("The term does not open before the request is confirmed, even if the instance already is the primary", func() {
			v.Statuses["a"] = group.InstanceStatus{QueriedAt: startTime.Add(1), Primary: true, PrimaryTerm: 2}
			v.Promotion = group.PromotionPending
			So(f.Step(startTime.Add(time.Second), v), ShouldBeEmpty)
		})
		Convey("A request without an answer is repeated with a new choice, and so a new fencing token", func() {
			v.Promotion = group.PromotionUnknown
			So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldEqual, "a")
		})
		Convey("A refused request ends the term, and another instance is chosen next", func() {
			v.Promotion = group.PromotionDeclined
			So(sealReason(f.Step(startTime.Add(time.Millisecond), v)), ShouldEqual, group.ReasonPromotionRefused)
			now := startTime.Add(10 * time.Millisecond)
			next := sealedView(group.ReasonPromotionRefused)
			next.State.Term = 3
			f.Step(now, next)
			next.Statuses["a"], next.Statuses["b"] = statusAt(now.Add(1), 1, 9), statusAt(now.Add(1), 1, 1)
			So(proposedPrimary(f.Step(now.Add(300*time.Millisecond), next)), ShouldEqual, "b")
		})
		Convey("After a confirmed request the term opens once the instance is the primary", func() {
			v.Promotion = group.PromotionConfirmed
			So(f.Step(startTime.Add(time.Millisecond), v), ShouldResemble, []group.Action{group.QueryStatus{Instance: "a"}})
			v.Statuses["a"] = group.InstanceStatus{QueriedAt: startTime.Add(1), Primary: true, PrimaryTerm: 2, Received: group.LogPosition{Term: 1, Number: 8}}
			acts := f.Step(startTime.Add(70*time.Millisecond), v)
			So(acts, ShouldHaveLength, 1)
			o := acts[0].(group.Propose).Command.GetOpen()
			So(o.Reign, ShouldEqual, 2)
			So(o.Fork.Number, ShouldEqual, 8)
		})
	})
	Convey("A choice by another control host is proposed again before any promotion is requested", t, func() {
		v := sealedView(group.ReasonPrimaryFailed)
		v.State = &wire.GroupState{Term: 2, Phase: wire.Phase_CHOSEN, Primary: "a", Chooser: "former", Fence: 40}
		So(proposedPrimary(newPlatformFailover().Step(startTime, v)), ShouldEqual, "a")
	})
}

// promotionRequest is a request in flight to the platform.
type promotionRequest struct {
	instance string
	token    uint64
}

// platformSimulation is a group whose instances the platform promotes, with two control hosts that
// may both act as leader. Promotion requests may be carried out late or lose their answers.
type platformSimulation struct {
	state        *wire.GroupState
	index        uint64
	now          time.Time
	failovers    map[string]*group.PlatformFailover
	promotions   map[string]map[uint64]group.PromotionState
	inFlight     []promotionRequest
	highestToken uint64
	primary      string
	primaryTerm  uint64
	statuses     map[string]group.InstanceStatus
	tokenHosts   map[uint64]string
}

func newPlatformSimulation() *platformSimulation {
	return &platformSimulation{
		state: &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "p"}, index: 10, now: startTime, primary: "p", primaryTerm: 1,
		failovers:  map[string]*group.PlatformFailover{"x": newPlatformFailover(), "y": newPlatformFailover()},
		promotions: map[string]map[uint64]group.PromotionState{"x": {}, "y": {}}, statuses: map[string]group.InstanceStatus{}, tokenHosts: map[uint64]string{},
	}
}

func (s *platformSimulation) view(host string, failed bool) group.PlatformView {
	v := openView()
	v.ControlHost, v.State, v.PrimaryFailed, v.SealInForce, v.Statuses = host, s.state, failed, true, s.statuses
	for i := range v.Candidates {
		v.Candidates[i].AnnouncedPrimary = v.Candidates[i].Name == s.primary
	}
	v.Promotion = s.promotions[host][s.state.Fence]
	return v
}

// apply applies a proposed command as the replicated state machine does.
func (s *platformSimulation) apply(cmd *wire.Command) {
	s.index++
	gs := &wire.GroupState{Term: s.state.Term, Phase: s.state.Phase, Primary: s.state.Primary, Chooser: s.state.Chooser, Fence: s.state.Fence, Reason: s.state.Reason, Revoked: s.state.Revoked}
	switch {
	case cmd.GetSeal() != nil && cmd.GetSeal().Term == gs.Term:
		gs.Term++
		gs.Phase, gs.Reason = wire.Phase_SEALED, cmd.GetSeal().Reason
		if cmd.GetSeal().Revoke {
			gs.Revoked = gs.Term
		}
	case cmd.GetChoose() != nil && cmd.GetChoose().Term == gs.Term && gs.Phase != wire.Phase_OPEN:
		gs.Phase, gs.Primary, gs.Chooser, gs.Fence = wire.Phase_CHOSEN, cmd.GetChoose().Primary, cmd.GetChoose().Chooser, s.index
	case cmd.GetOpen() != nil && cmd.GetOpen().Term == gs.Term && gs.Phase == wire.Phase_CHOSEN && gs.Primary == cmd.GetOpen().Primary:
		gs.Phase = wire.Phase_OPEN
	}
	s.state = gs
}

// deliver lets the platform carry out a request. It reports false if the fencing token is
// outdated.
func (s *platformSimulation) deliver(req promotionRequest) bool {
	if req.token < s.highestToken {
		return false
	}
	s.highestToken = req.token
	if s.primary != req.instance {
		s.primary = req.instance
		s.primaryTerm++
	}
	return true
}

// TestLatePromotionsCannotReplaceOpenPrimary guards against a late promotion request that replaces
// the primary of an open term. It runs two control hosts with late requests and lost answers, and
// checks that the primary of an open term is the one on the platform, that no request in flight
// can change that, and that no fencing token is used by two hosts.
func TestLatePromotionsCannotReplaceOpenPrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPlatformSimulation()
		step := func(t *rapid.T) {
			host := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host")
			failed := s.state.Phase == wire.Phase_OPEN && rapid.IntRange(0, 3).Draw(t, "failed") == 0
			for _, a := range s.failovers[host].Step(s.now, s.view(host, failed)) {
				switch a := a.(type) {
				case group.Propose:
					s.apply(a.Command)
				case group.QueryStatus:
					s.statuses[a.Instance] = group.InstanceStatus{QueriedAt: s.now, Primary: a.Instance == s.primary, PrimaryTerm: s.primaryTerm, Received: group.LogPosition{Term: 1, Number: uint64(len(a.Instance))}}
				case group.RequestPromotion:
					if by, reused := s.tokenHosts[a.FenceToken]; reused && by != host {
						t.Fatalf("fencing token %d is used by both %s and %s", a.FenceToken, by, host)
					}
					s.tokenHosts[a.FenceToken] = host
					s.promotions[host][a.FenceToken] = group.PromotionPending
					s.inFlight = append(s.inFlight, promotionRequest{a.Instance, a.FenceToken})
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":  step,
			"step2": step,
			"wait": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				if len(s.inFlight) == 0 {
					return
				}
				req := s.inFlight[len(s.inFlight)-1]
				s.inFlight = s.inFlight[:len(s.inFlight)-1]
				promotion := group.PromotionDeclined
				if s.deliver(req) {
					promotion = group.PromotionConfirmed
				}
				s.promotions[s.tokenHosts[req.token]][req.token] = promotion
			},
			"lose answer": func(t *rapid.T) {
				if len(s.inFlight) > 0 {
					req := s.inFlight[len(s.inFlight)-1]
					s.promotions[s.tokenHosts[req.token]][req.token] = group.PromotionUnknown
				}
			},
			"late": func(t *rapid.T) {
				if len(s.inFlight) > 0 {
					i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "order")
					s.deliver(s.inFlight[i])
					s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if s.state.Phase != wire.Phase_OPEN || s.state.Term == 1 {
					return
				}
				if s.primary != s.state.Primary {
					t.Fatalf("term %d is open with primary %s, but the platform's primary is %s", s.state.Term, s.state.Primary, s.primary)
				}
				for _, req := range s.inFlight {
					if req.token >= s.highestToken && req.instance != s.primary {
						t.Fatalf("promotion request %s in flight can still replace primary %s", fmt.Sprint(req), s.primary)
					}
				}
			},
		})
	})
}
