package route

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// PositionHistory finds the position of a group that a replica must have reached to be fresh enough
// for a read with bounded staleness. Each observation pairs a position that the primary reported
// with the time at which the request for it was sent: the position covers every write that was
// acknowledged before that time. All times come from this host's clock.
// It is not safe for concurrent use.
type PositionHistory struct {
	// Retention is how long observations are kept.
	Retention time.Duration

	observations []observation
}

// observation is a position that the primary reported to a request sent at sentAt.
type observation struct {
	sentAt   time.Time
	position token.Position
}

// minObservationInterval is the minimum time between two observations that are kept. It limits their
// number, at the cost that reads may require a position newer than necessary by this much.
const minObservationInterval = 20 * time.Millisecond

// Record records a position that the primary of the open term reported to a request sent at sent.
func (h *PositionHistory) Record(sent time.Time, p token.Position) {
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

// MinPosition returns the earliest position known to cover all writes acknowledged up to age before
// now. It returns false if none is known.
func (h *PositionHistory) MinPosition(now time.Time, age time.Duration) (token.Position, bool) {
	cutoff := now.Add(-age)
	for _, o := range h.observations {
		if !o.sentAt.Before(cutoff) {
			return o.position, true
		}
	}
	return token.Position{}, false
}

// NewestTime returns the time of the latest observation, or the zero time if there is none.
func (h *PositionHistory) NewestTime() time.Time {
	if len(h.observations) == 0 {
		return time.Time{}
	}
	return h.observations[len(h.observations)-1].sentAt
}

// ClipToFork returns the part of position p that remains after a primary with the term primaryTerm
// has taken over the log up to fork. Positions of earlier terms beyond fork were rolled back, so
// they become fork.
func ClipToFork(p token.Position, primaryTerm uint64, fork token.Position) token.Position {
	if p.Term < primaryTerm && fork.Before(p) {
		return fork
	}
	return p
}
