package group

import "time"

// minLeavingTerm is the least time that an instance must still be usable for to be chosen as the
// primary. A promotion takes most of it.
const minLeavingTerm = time.Second

// leavesBefore reports whether the instance is draining and gets no new requests at a time.
func (c Candidate) leavesBefore(at time.Time) bool { return c.Draining && !at.Before(c.LeaveDeadline) }

// formerLeaves reports whether the former primary of a sealed term, or the instance that has its log by
// now, is gone, or leaves too soon to be chosen.
func (v PlatformView) formerLeaves(now time.Time) bool {
	former, known := v.candidate(v.primaryLog())
	return !known || former.leavesBefore(now.Add(minLeavingTerm))
}

// handOver ends the term of a primary that leaves once another instance has answered and can take
// over. Until then the primary serves on, and the others are queried.
func (f *PlatformFailover) handOver(now time.Time, v PlatformView) []Action {
	if !f.handOvers.due(now) {
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
	return append(actions, f.resumeReplication(now, v)...)
}
