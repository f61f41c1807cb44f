package group

import (
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// maxAnswerGap is the longest time between two answers that count as answering without a break. An instance
// is queried every QueryInterval.
const maxAnswerGap = 2 * time.Second

// In a group whose writes require copies, a write is acknowledged once RequiredCopies replicas have
// received it. The next primary must hold all of these writes, and none may be acknowledged after it
// was chosen. That is known in two cases:
//
//   - The former primary has become a replica, or another instance has taken over its log. Nothing
//     follows the end of that log, whatever replicas there are.
//   - The former primary does not answer, and its term is revoked: no host passes on any more that a write
//     was carried out, nor does one that has no lease. What was passed on before is in the logs as they were
//     when the revocation came into force, and so many replicas have answered since that one of them has it.
//
// That replicas are held, that is, receive nothing, is not enough while the former primary leads: an instance
// that starts, or is not known yet, or is let receive by a late order, gives a write its copy.
//
// An instance that started before the revocation came into force may be known only later, if it announced itself
// to control hosts that do not answer. The second case waits for that (AnnouncementTimeout).
//
// An instance that has ended receives nothing either, but its log may alone hold acknowledged writes. It
// counts as a replica that has not answered until the instance that takes over its log answers, or until
// the log is known to be copied (checkCopied). An instance that takes over an address has the log of the
// one before it.
//
// Logs that are neither reported nor copied are waited for until other instances have answered for
// LostLogTimeout. Then they are taken to be lost: an incomplete log is better than a group without a primary.

// answered reports whether a status was queried since the seal came into force.
func (f *PlatformFailover) answered(status InstanceStatus) bool {
	return !status.QueriedAt.IsZero() && !status.QueriedAt.Before(f.sealInForceAt)
}

// primaryLog returns the instance that has the log of the primary of the term that was ended last.
func (v PlatformView) primaryLog() string {
	if v.PrimaryLog != "" {
		return v.PrimaryLog
	}
	return v.State.GetPrimary()
}

// formerPrimary returns the instance that may still act as the primary although its term was ended: one
// that says so, or else the one with the log of the primary of that term. It returns "" if it is not known:
// the platform has refused to promote the instance that was chosen last.
func (f *PlatformFailover) formerPrimary(v PlatformView) string {
	former, highest := "", uint64(0)
	for _, c := range v.Candidates {
		status := v.Statuses[c.Name]
		if f.answered(status) && status.Primary && (former == "" || status.PrimaryTerm > highest) {
			former, highest = c.Name, status.PrimaryTerm
		}
	}
	if former == "" && v.State.Reason != ReasonPromotionRefused {
		return v.primaryLog()
	}
	return former
}

// hasLog reports whether an instance still has the log that the last open term began with. An instance
// that lost its data has not.
func (v PlatformView) hasLog(status InstanceStatus) bool {
	fork := v.State.GetFork()
	return !status.Received.Before(LogPosition{Term: fork.GetTerm(), Number: fork.GetNumber()})
}

// steppedDown reports whether an instance that led has become a replica, so that its log is final.
func (f *PlatformFailover) steppedDown(v PlatformView, former string) bool {
	status := v.Statuses[former]
	return former != "" && f.answered(status) && !status.Primary && v.hasLog(status)
}

// requiredEnd returns the log position that the next primary must have received: the one of ackedEnd, or
// any once the logs that could tell it are taken to be lost.
func (f *PlatformFailover) requiredEnd(now time.Time, v PlatformView) (LogPosition, bool) {
	if !f.answeringSince.IsZero() && now.Sub(f.answeringSince) >= f.Options.LostLogTimeout {
		return LogPosition{}, true
	}
	return f.ackedEnd(now, v)
}

// trackAnswers records since when instances have answered. Without it, the first one to come back after all
// were down for long would be promoted without the others.
func (f *PlatformFailover) trackAnswers(now time.Time, v PlatformView) {
	answering := slices.ContainsFunc(v.Candidates, func(c Candidate) bool {
		status := v.Statuses[c.Name]
		return f.answered(status) && now.Sub(status.QueriedAt) < maxAnswerGap
	})
	switch {
	case !answering:
		f.answeringSince = time.Time{}
	case f.answeringSince.IsZero():
		f.answeringSince = now
	}
}

// ackedEnd returns a log position that the next primary must have received in order to hold every
// acknowledged write. It reports false if none is known, or if further writes may be acknowledged.
// Reports of instances that are gone by now count too.
func (f *PlatformFailover) ackedEnd(now time.Time, v PlatformView) (LogPosition, bool) {
	if v.RequiredCopies == 0 {
		return LogPosition{}, true
	}
	former := f.formerPrimary(v)
	var end LogPosition
	for name, status := range v.Statuses {
		if name != former && f.answered(status) && end.Before(status.Received) {
			end = status.Received
		}
	}
	if f.formerExcluded(now, v, former) && f.enoughHeld(v, former) {
		return end, true
	}
	if !f.steppedDown(v, former) {
		return LogPosition{}, false
	}
	if formerEnd := v.Statuses[former].Received; end.Before(formerEnd) {
		end = formerEnd
	}
	return end, true
}

// revoked reports whether hosts pass on no more writes of the former primary.
func (v PlatformView) revoked() bool {
	return v.State.GetRevoked() != 0 && v.State.GetRevoked() == v.State.GetTerm()
}

// mustRevoke reports whether a term without a choice is to be revoked: its primary has not stepped down in time, or no
// instance has received the end of its log since.
func (f *PlatformFailover) mustRevoke(now time.Time, v PlatformView) bool {
	limit := f.Options.AnswerTimeout
	if f.steppedDown(v, f.formerPrimary(v)) {
		limit = f.Options.CatchUpTimeout
	}
	return v.RequiredCopies > 0 && !v.revoked() && now.Sub(f.sealInForceAt) >= limit
}

// formerExcluded reports whether the choice goes on without the former primary: its term is revoked, and it has had the
// time to step down if it answers at all, as has each instance to announce itself that may have received from it.
func (f *PlatformFailover) formerExcluded(now time.Time, v PlatformView, former string) bool {
	patience := time.Duration(v.SilentControlHosts) * f.Options.AnnouncementTimeout
	if f.answers(v, former) {
		patience = max(patience, f.Options.CatchUpTimeout)
	}
	return v.revoked() && now.Sub(f.sealInForceAt) >= patience
}

// answers reports whether an instance has answered since the seal came into force, if only that it is busy.
func (f *PlatformFailover) answers(v PlatformView, name string) bool {
	at, overloaded := v.OverloadedAt[name]
	return name != "" && (f.answered(v.Statuses[name]) || overloaded && !at.Before(f.sealInForceAt))
}

// holdsAcked reports whether an instance is known to hold every acknowledged write.
func (f *PlatformFailover) holdsAcked(now time.Time, v PlatformView, name string) bool {
	end, known := f.ackedEnd(now, v)
	return known && !v.Statuses[name].Received.Before(end)
}

// enoughHeld reports whether fewer than RequiredCopies replicas may have received writes from the former
// primary that no answer tells of. If that one is unknown, it may be any of those that have not answered.
func (f *PlatformFailover) enoughHeld(v PlatformView, former string) bool {
	free := 0
	for _, name := range v.logs() {
		status := v.Statuses[name]
		if name != former && (!f.answered(status) || status.Resumed) {
			free++
		}
	}
	if former == "" {
		free--
	}
	return free < v.RequiredCopies
}

// logs returns the instances whose logs may hold acknowledged writes.
func (v PlatformView) logs() []string {
	names := make([]string, 0, len(v.Candidates)+len(v.Ended))
	for _, c := range v.Candidates {
		names = append(names, c.Name)
	}
	for _, e := range v.Ended {
		names = append(names, e.Name)
	}
	return names
}

// mayCatchUp reports whether replicas may still receive the end of the former primary's log, which is
// final. They are not held meanwhile.
func (f *PlatformFailover) mayCatchUp(now time.Time, v PlatformView) bool {
	return v.RequiredCopies > 0 && now.Sub(f.sealInForceAt) < f.Options.CatchUpTimeout && f.steppedDown(v, f.formerPrimary(v))
}

// addOrders adds orders to status queries. A former primary is told to step down; once it has, replicas that are held
// receive again, so that they get the end of its log. Until then replicas are held if the term is revoked. Before a
// revocation they receive, so that writes under way get their copies and are acknowledged.
func (f *PlatformFailover) addOrders(now time.Time, v PlatformView, actions []Action) []Action {
	former, term, catchUp := f.formerPrimary(v), v.termAboveAll(), f.mayCatchUp(now, v)
	for i, a := range actions {
		q, ok := a.(QueryStatus)
		switch {
		case !ok:
			continue
		case q.Instance == former:
			if f.mustStepDown(now, v, former) {
				q.StepDownTerm = term
			}
		case catchUp:
			q.ResumeReplication = v.Statuses[q.Instance].Held
		case v.revoked():
			q.MinPrimaryTerm = term
		}
		actions[i] = q
	}
	return actions
}

// mustStepDown reports whether the former primary is told to step down. Writes that are under way have the time of a
// query to be answered: it is told once it has answered that it leads, or that time has passed without an answer.
func (f *PlatformFailover) mustStepDown(now time.Time, v PlatformView, former string) bool {
	status := v.Statuses[former]
	if f.answered(status) {
		return status.Primary
	}
	return f.phase == wire.Phase_SEALED && now.Sub(f.sealInForceAt) >= f.Options.QueryInterval
}

// termAboveAll returns a term above the newest that an instance was primary in.
func (v PlatformView) termAboveAll() uint64 {
	highest := v.State.GetReign()
	for _, status := range v.Statuses {
		highest = max(highest, status.PrimaryTerm)
	}
	return highest + 1
}

// keepHolding holds the replicas until the chosen instance is the primary: one that has restarted since
// it was held would receive writes of the former primary again, and so have them acknowledged.
func (f *PlatformFailover) keepHolding(now time.Time, v PlatformView) []Action {
	chosen := v.Statuses[v.State.Primary]
	if v.RequiredCopies == 0 || !v.revoked() || chosen.Primary && chosen.QueriedAt.After(f.phaseSince) {
		return nil
	}
	var actions []Action
	for _, c := range v.Candidates {
		if c.Name != v.State.Primary {
			actions = f.queryStatus(now, c.Name, actions)
		}
	}
	return f.addOrders(now, v, actions)
}
