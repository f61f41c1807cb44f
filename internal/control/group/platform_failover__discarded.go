package group

import (
	"slices"
	"time"
)

// discardedLogDelay is how long an instance that may hold discarded entries is not chosen while others,
// which may lack them, do not answer. Far longer than an instance takes to restart: after it, those are
// taken to be lost, and an old log is better than none.
const discardedLogDelay = time.Minute

// mayHoldDiscarded reports whether the log of an instance may have entries that the last open term had
// discarded: the term began at a position before them. What was read in that term was read without
// them, so they must not come back into force. It is so for a log that ends in an earlier term, unless
// it ends in the part that the open term began with. Such an instance gets rid of them when it follows
// another primary.
func (v PlatformView) mayHoldDiscarded(status InstanceStatus) bool {
	fork := v.State.GetFork()
	if fork == nil || status.Received.Term >= v.State.GetReign() {
		return false
	}
	return status.Received.Term != fork.Term || status.Received.Number > fork.Number
}

// withoutDiscarded returns the candidates that hold no discarded entries. If there is none, it returns
// all of them once no instance without such entries can be expected any more.
func (f *PlatformFailover) withoutDiscarded(now time.Time, v PlatformView, candidates []Candidate) []Candidate {
	holdsNone := func(c Candidate) bool {
		status := v.Statuses[c.Name]
		return f.answered(status) && !v.mayHoldDiscarded(status)
	}
	var list []Candidate
	for _, c := range candidates {
		if holdsNone(c) {
			list = append(list, c)
		}
	}
	if len(list) > 0 {
		return list
	}
	awaited := slices.ContainsFunc(v.Candidates, func(c Candidate) bool { return holdsNone(c) || !f.answered(v.Statuses[c.Name]) })
	if awaited && now.Sub(f.sealInForceAt) < discardedLogDelay {
		return nil
	}
	return candidates
}
