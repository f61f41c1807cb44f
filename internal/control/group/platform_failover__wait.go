package group

import "time"

// Reasons why no primary can be chosen yet.
const (
	// WaitForAnswers means that no instance that could be promoted has answered.
	WaitForAnswers = "noanswer"
	// WaitForFormer means that the former primary answers and may still step down, or that instances may have
	// received from it which are not known yet, as control hosts are silent.
	WaitForFormer = "former"
	// WaitForHold means that the former primary may still acknowledge writes that the next primary
	// would lack.
	WaitForHold = "unheld"
	// WaitForEnded means that an instance that has ended may alone hold acknowledged writes, and that no
	// instance which took over its log has answered.
	WaitForEnded = "ended"
	// WaitForWrites means that no instance that has answered holds all acknowledged writes, or that the
	// one that does is about to end.
	WaitForWrites = "behind"
	// WaitForCleanLog means that only instances have answered that may hold discarded entries.
	WaitForCleanLog = "discarded"
)

// Waiting reports that a sealed group gets no primary for the time being.
type Waiting struct{ Reason string }

func (Waiting) action() {}

// reportWait reports why no primary can be chosen, once it has taken longer than CatchUpTimeout and
// then whenever the reason changes.
func (f *PlatformFailover) reportWait(now time.Time, v PlatformView) []Action {
	if now.Sub(f.sealInForceAt) < f.Options.CatchUpTimeout {
		return nil
	}
	reason := f.waitReason(now, v)
	if reason == f.waitReported {
		return nil
	}
	f.waitReported = reason
	return []Action{Waiting{reason}}
}

func (f *PlatformFailover) waitReason(now time.Time, v PlatformView) string {
	requiredEnd, known := f.requiredEnd(now, v)
	candidates := f.fallbackCandidates(now, v, LogPosition{})
	present := v
	present.Ended = nil
	switch {
	case !known && !f.formerExcluded(now, v, f.formerPrimary(v)):
		return WaitForFormer
	case !known && f.enoughHeld(present, f.formerPrimary(v)):
		return WaitForEnded
	case !known:
		return WaitForHold
	case len(candidates) == 0:
		return WaitForAnswers
	case len(f.fallbackCandidates(now, v, requiredEnd)) == 0:
		return WaitForWrites
	}
	return WaitForCleanLog
}
