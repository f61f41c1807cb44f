package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// queryAndChoose queries all instances in a sealed term and proposes the next primary.
func (f *PlatformFailover) queryAndChoose(now time.Time, v PlatformView) []Action {
	if !v.SealInForce {
		return nil
	}
	if f.sealInForceAt.IsZero() {
		f.sealInForceAt = now
	}
	var actions []Action
	for _, c := range v.Candidates {
		actions = f.queryStatus(now, c.Name, actions)
	}
	if v.RequiredCopies > 0 {
		actions = f.addOrders(now, v, actions)
	}
	f.trackAnswers(now, v)
	name, ok := f.pickPrimary(now, v)
	if !ok && f.mustRevoke(now, v) {
		return append(actions, f.proposeSeal(now, v, v.State.Reason, true)...)
	}
	if !ok {
		return append(actions, f.reportWait(now, v)...)
	}
	proposal := f.proposeChoice(now, v, name)
	if len(proposal) > 0 && name != f.formerPrimary(v) && !f.holdsAcked(now, v, name) {
		actions = append(actions, IncompleteChoice{name})
	}
	return append(actions, proposal...)
}

// IncompleteChoice reports that the instance chosen may lack acknowledged writes: the logs that may alone
// hold them are taken to be lost.
type IncompleteChoice struct{ Instance string }

func (IncompleteChoice) action() {}

// proposeChoice proposes an instance as the primary. The index of the choice in the log is the new
// fencing token of its promotion.
func (f *PlatformFailover) proposeChoice(now time.Time, v PlatformView, name string) []Action {
	return f.propose(now, &wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{
		Group: v.Name, Term: v.State.GetTerm(), Primary: name, Chooser: v.ControlHost,
	}}})
}

// answers is what the instances have answered since the seal came into force.
type answers struct {
	// best is the preferred instance to promote, "" if there is none: of those that may be promoted and
	// are not deprioritized, the one with the highest received position.
	best string
	// behind is set if such an instance lacks acknowledged writes or may hold discarded entries.
	behind bool
	// formerEnd is the position that the former primary has reported.
	formerEnd LogPosition
	// missing is set while an answer is missing that the choice waits for, and complete once all
	// instances have answered.
	missing, complete bool
}

func (f *PlatformFailover) readAnswers(now time.Time, v PlatformView, ackedEnd LogPosition) answers {
	a := answers{complete: true}
	for _, c := range v.Candidates {
		status := v.Statuses[c.Name]
		if !f.answered(status) {
			a.complete = false
			a.missing = a.missing || c.Name != v.State.Primary || v.State.Reason == ReasonPrimaryDraining
			continue
		}
		if c.Name == v.State.Primary {
			a.formerEnd = status.Received
		}
		switch {
		case f.deprioritized(now, v, c):
		case status.Received.Before(ackedEnd) || v.mayHoldDiscarded(status):
			a.behind = true
		case a.best == "" || v.Statuses[a.best].Received.Before(status.Received):
			a.best = c.Name
		}
	}
	return a
}

// pickPrimary returns the instance to promote: among those that hold every acknowledged write, the one
// with the highest received position that is not deprioritized. It reports false while it waits for
// more answers (AnswerTimeout) or, in a planned failover or if writes require copies, for the instance
// to receive the whole log of the former primary (CatchUpTimeout). If writes require copies and no
// instance catches up in time, it returns the former primary again, unless that one leaves.
func (f *PlatformFailover) pickPrimary(now time.Time, v PlatformView) (string, bool) {
	requiredEnd, known := f.requiredEnd(now, v)
	if !known {
		return f.pickFormer(now, v)
	}
	a := f.readAnswers(now, v, requiredEnd)
	waited := now.Sub(f.sealInForceAt)
	lacksEnd := a.best != "" && v.Statuses[a.best].Received.Before(a.formerEnd)
	if lacksEnd && v.RequiredCopies > 0 && waited >= f.Options.CatchUpTimeout && !v.formerLeaves(now) {
		return v.State.Primary, true
	}
	switch {
	case a.missing && waited < f.Options.AnswerTimeout:
		return "", false
	case a.best == "" && a.behind && f.mayCatchUp(now, v):
		return "", false
	case a.best == "":
		return f.pickFallback(now, v, requiredEnd, a.complete || waited >= 2*f.Options.AnswerTimeout)
	case lacksEnd && (v.State.Reason == ReasonPrimaryDraining || v.RequiredCopies > 0) && waited < f.Options.CatchUpTimeout:
		return "", false
	}
	return a.best, true
}

// pickFormer returns the former primary where it is not known which writes were acknowledged: it alone
// is sure to have them. It reports false until CatchUpTimeout, and if that instance leaves.
func (f *PlatformFailover) pickFormer(now time.Time, v PlatformView) (string, bool) {
	former := f.formerPrimary(v)
	status := v.Statuses[former]
	waited := now.Sub(f.sealInForceAt)
	if former != v.primaryLog() || !f.answered(status) || !v.hasLog(status) || v.formerLeaves(now) || waited < f.Options.CatchUpTimeout {
		return "", false
	}
	return former, true
}

// deprioritized reports whether an instance is chosen only if there is no other: it is draining,
// is the former primary, or could not be promoted recently.
func (f *PlatformFailover) deprioritized(now time.Time, v PlatformView, c Candidate) bool {
	return c.Draining || c.Name == v.State.Primary || f.failedRecently(now, c)
}

// failedRecently reports whether an instance could not be promoted recently.
func (f *PlatformFailover) failedRecently(now time.Time, c Candidate) bool {
	at, failed := f.promotionFailedAt[c.Name]
	return failed && now.Sub(at) < promotionRetryDelay
}

// pickFallback returns the instance with the highest received position among all that have answered
// and received the log up to ackedEnd, including the former primary and other deprioritized
// instances. Of equal ones it returns one that did not fail to be promoted recently. It reports false
// while others may still answer, or while another promotion of the same instance would follow too soon.
func (f *PlatformFailover) pickFallback(now time.Time, v PlatformView, ackedEnd LogPosition, complete bool) (string, bool) {
	var best Candidate
	found := false
	for _, c := range f.withoutDiscarded(now, v, f.fallbackCandidates(now, v, ackedEnd)) {
		received, highest := v.Statuses[c.Name].Received, v.Statuses[best.Name].Received
		if !found || highest.Before(received) || highest == received && f.failedRecently(now, best) && !f.failedRecently(now, c) {
			best, found = c, true
		}
	}
	waited := now.Sub(f.sealInForceAt)
	if !complete || f.failedRecently(now, best) && waited < 2*f.Options.AnswerTimeout {
		return "", false
	}
	return best.Name, found
}

// fallbackCandidates returns the instances that have answered, have received the log up to ackedEnd and
// do not leave too soon.
func (f *PlatformFailover) fallbackCandidates(now time.Time, v PlatformView, ackedEnd LogPosition) []Candidate {
	var list []Candidate
	for _, c := range v.Candidates {
		status := v.Statuses[c.Name]
		if f.answered(status) && !status.Received.Before(ackedEnd) && !c.leavesBefore(now.Add(minLeavingTerm)) {
			list = append(list, c)
		}
	}
	return list
}
