package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

const (
	// successorAnswerAge is the maximum age of the status by which an instance counts as able to take
	// over from a primary that leaves: longer than a status query may take.
	successorAnswerAge = 500 * time.Millisecond
	// minHandOverPause is the pause after a first hand-over that failed. It doubles with each further
	// one, up to maxHandOverPause.
	minHandOverPause = 500 * time.Millisecond
	maxHandOverPause = 4 * time.Second
	// minLeavingTerm is the least time that an instance must still be usable for to be chosen as the
	// primary. A promotion takes most of it.
	minLeavingTerm = time.Second
)

// leavesBefore reports whether the instance is draining and gets no new requests at a time.
func (c Candidate) leavesBefore(at time.Time) bool { return c.Draining && !at.Before(c.LeaveDeadline) }

// formerLeaves reports whether the former primary of a sealed term is gone, or leaves too soon to be
// chosen again.
func (v PlatformView) formerLeaves(now time.Time) bool {
	former, known := v.candidate(v.State.Primary)
	return !known || former.leavesBefore(now.Add(minLeavingTerm))
}

// handOver ends the term of a primary that leaves once another instance has answered and can take
// over. Until then the primary serves on, and the others are queried.
func (f *PlatformFailover) handOver(now time.Time, v PlatformView) []Action {
	if now.Before(f.nextHandOver) {
		return f.resumeReplication(now, v)
	}
	var actions []Action
	for _, c := range v.Candidates {
		if c.Draining || c.Name == v.State.Primary || f.failedRecently(now, c) {
			continue
		}
		if status, ok := v.Statuses[c.Name]; ok && now.Sub(status.QueriedAt) < successorAnswerAge {
			return f.seal(now, v, ReasonPrimaryDraining)
		}
		actions = f.queryStatus(now, c.Name, actions)
	}
	for i, a := range actions {
		if q, ok := a.(QueryStatus); ok {
			q.ResumeReplication = v.RequiredCopies > 0
			actions[i] = q
		}
	}
	return actions
}

// recordHandOver is called when a term has opened. A term of a primary that leaves, after one that was
// sealed, means that no other instance could take over, so that the next hand-over is put off.
func (f *PlatformFailover) recordHandOver(now time.Time, v PlatformView) {
	primary, known := v.candidate(v.State.Primary)
	if !known || !primary.Draining {
		f.failedHandOvers, f.nextHandOver = 0, time.Time{}
		return
	}
	if f.phase != wire.Phase_SEALED && f.phase != wire.Phase_CHOSEN {
		return
	}
	f.nextHandOver = now.Add(min(minHandOverPause<<min(f.failedHandOvers, 8), maxHandOverPause))
	f.failedHandOvers++
}
