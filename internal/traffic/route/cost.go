package route

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Candidate is an instance of a group as a candidate for one host.
type Candidate struct {
	Name string
	// Primary is set for the primary of the group's open term.
	Primary bool
	// Draining is set for an instance that gets no new work.
	Draining bool
	// Down is set while the host cannot reach the instance.
	Down bool
	// Local is set for an instance in the host's data centre.
	Local bool
	// Load is the number of the host's requests that run or wait there.
	Load int
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Latency is the mean time that an answer takes.
	Latency time.Duration
	// InBackoff is set while the instance is known to lack what the request needs.
	InBackoff bool
	// ReportedPosition is the last position that the instance has reported.
	ReportedPosition token.Mark
	// Tried is set for an instance that has failed the same request already.
	Tried bool
}

// Requirement is what a statement or a transaction asks of an instance.
type Requirement struct {
	// Primary is set for what must run at the primary.
	Primary bool
}

// Costs are the weights of the choice between instances.
type Costs struct {
	// Remote is what another data centre costs beside its latency: bytes between data centres
	// are paid for.
	Remote time.Duration
	// Primary is what the primary costs a read that a replica can serve; its slots are the
	// only ones for writes.
	Primary time.Duration
	// Queue is what each request of this host that runs there already costs in slots.
	Queue time.Duration
}

// DefaultCosts returns the weights that hosts use.
func DefaultCosts() Costs {
	return Costs{Remote: 6 * time.Millisecond, Primary: 8 * time.Millisecond, Queue: 8 * time.Millisecond}
}

// Pick returns the instance with the least cost that can serve the demand.
func (c Costs) Pick(r Requirement, candidates []Candidate) (string, bool) {
	best, found := "", false
	var lowest time.Duration
	for _, candidate := range candidates {
		if candidate.Down || candidate.Tried || (candidate.Draining && !candidate.Primary) || (r.Primary && !candidate.Primary) {
			continue
		}
		if candidate.InBackoff && !candidate.Primary {
			continue
		}
		cost := c.cost(candidate)
		if !found || cost < lowest {
			best, lowest, found = candidate.Name, cost, true
		}
	}
	return best, found
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
