package route

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Candidate is an instance of a group as one host sees it when choosing where to send a request.
type Candidate struct {
	Name string
	// Primary is set for the primary of the group's open term.
	Primary bool
	// Draining is set for an instance that gets no new requests unless it is the primary.
	Draining bool
	// Left is set for a draining instance that gets no new requests any more, even if it is the primary.
	Left bool
	// Down is set while the host cannot reach the instance.
	Down bool
	// Local is set for an instance in the host's data centre.
	Local bool
	// Load is the number of the host's requests that run or wait at the instance.
	Load int
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Latency is the mean time to an answer.
	Latency time.Duration
	// InBackoff is set while reads avoid the instance because it lagged or failed a statement.
	InBackoff bool
	// Lagging is set if it is in backoff because it lagged: reads that need no more than ReportedPosition
	// don't avoid it.
	Lagging bool
	// ReportedPosition is the last position that the instance has reported.
	ReportedPosition token.Position
	// Tried is set for an instance that has already failed the same request.
	Tried bool
}

// Requirement is what a statement or a transaction requires of an instance.
type Requirement struct {
	// Primary is set for a request that must run at the primary.
	Primary bool
	// MinPosition is the position that a replica must have reached.
	MinPosition token.Position
}

// Costs are the weights for choosing an instance, in time that is added to its mean latency.
type Costs struct {
	// Remote is the cost of an instance in another data centre in addition to its latency, since
	// traffic between data centres is billed.
	Remote time.Duration
	// Primary is the cost of the primary, which keeps reads away from it: only its slots can run
	// writes.
	Primary time.Duration
	// Queue is the cost per request of this host that already runs or waits at the instance,
	// divided by the instance's slots.
	Queue time.Duration
}

// DefaultCosts returns the default weights.
func DefaultCosts() Costs {
	return Costs{Remote: 6 * time.Millisecond, Primary: 8 * time.Millisecond, Queue: 8 * time.Millisecond}
}

// Pick returns the name of the instance with the lowest cost that satisfies the requirement. It
// returns false if none does. Only the primary may be draining, until its deadline, or in backoff.
func (c Costs) Pick(r Requirement, candidates []Candidate) (string, bool) {
	best, found := "", false
	var lowest time.Duration
	for _, candidate := range candidates {
		if !r.Allows(candidate) {
			continue
		}
		cost := c.cost(candidate)
		if !found || cost < lowest {
			best, lowest, found = candidate.Name, cost, true
		}
	}
	return best, found
}

// Allows reports whether an instance can be chosen for the request.
func (r Requirement) Allows(c Candidate) bool {
	switch {
	case c.Down || c.Left || c.Tried:
		return false
	case c.Primary:
		return true
	case c.Draining || r.Primary:
		return false
	}
	return !c.InBackoff || c.Lagging && c.ReportedPosition != (token.Position{}) && !c.ReportedPosition.Before(r.MinPosition)
}

func (c Costs) cost(candidate Candidate) time.Duration {
	total := candidate.Latency + c.Queue*time.Duration(candidate.Load)/time.Duration(max(1, candidate.Slots))
	if !candidate.Local {
		total += c.Remote
	}
	if candidate.Primary {
		total += c.Primary
	}
	return total
}
