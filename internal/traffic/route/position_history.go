package route

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// PositionHistory tells from which position of a group on data is young enough. Each sight pairs a
// position that the primary reported with the moment at which the request was sent that
// brought it: the position holds every write that was acknowledged before that moment. All
// times come from this host's clock. It is not safe for concurrent use.
type PositionHistory struct {
	// Retention is how far back sights are kept.
	Retention time.Duration

	observations []observation
}

type observation struct {
	sentAt   time.Time
	position token.Mark
}

// minObservationInterval is the least time between two sights that are kept; it bounds their number and
// makes reads ask for a position that is this much newer than they could.
const minObservationInterval = 20 * time.Millisecond

// Record records a position that the primary of the open term reported to a request sent at a
// moment.
func (h *PositionHistory) Record(sent time.Time, p token.Mark) {
	n := len(h.observations)
	if n > 0 && sent.Sub(h.observations[n-1].sentAt) < minObservationInterval {
		return
	}
	h.observations = append(h.observations, observation{sent, p})
	cutoff := sent.Add(-h.Retention)
	expired := 0
	for expired < len(h.observations)-1 && h.observations[expired].sentAt.Before(cutoff) {
		expired++
	}
	if expired > 0 {
		h.observations = append(h.observations[:0], h.observations[expired:]...)
	}
}

// MinPosition returns the earliest position known to hold all that was acknowledged until age ago.
// It reports false where none is.
func (h *PositionHistory) MinPosition(now time.Time, age time.Duration) (token.Mark, bool) {
	cutoff := now.Add(-age)
	for _, o := range h.observations {
		if !o.sentAt.Before(cutoff) {
			return o.position, true
		}
	}
	return token.Mark{}, false
}

// NewestTime returns when the latest sight was taken.
func (h *PositionHistory) NewestTime() time.Time {
	if len(h.observations) == 0 {
		return time.Time{}
	}
	return h.observations[len(h.observations)-1].sentAt
}

// ClipToFork returns what is left of a mark once a later term has taken over the log up to fork:
// what lies beyond was rolled back.
func ClipToFork(p token.Mark, primaryTerm uint64, fork token.Mark) token.Mark {
	if p.Term < primaryTerm && fork.Before(p) {
		return fork
	}
	return p
}
