package route

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Copy is an instance of a group as a candidate for one host.
type Copy struct {
	Name string
	// Primary is set for the primary of the group's open term.
	Primary bool
	// Leaving is set for an instance that gets no new work.
	Leaving bool
	// Down is set while the host cannot reach the instance.
	Down bool
	// Near is set for an instance in the host's data centre.
	Near bool
	// Load is the number of the host's requests that run or wait there.
	Load int
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Latency is the mean time that an answer takes.
	Latency time.Duration
	// Behind is set while the instance is known to lack what the request needs.
	Behind bool
	// Seen is the last position that the instance has reported.
	Seen token.Position
	// Tried is set for an instance that has failed the same request already.
	Tried bool
}

// Demand is what a statement or a transaction asks of an instance.
type Demand struct {
	// Primary is set for what must run at the primary.
	Primary bool
}

// Costs are the weights of the choice between instances.
type Costs struct {
	// Far is what another data centre costs beside its latency: bytes between data centres
	// are paid for.
	Far time.Duration
	// Primary is what the primary costs a read that a replica can serve; its slots are the
	// only ones for writes.
	Primary time.Duration
	// Queue is what each request of this host that runs there already costs in slots.
	Queue time.Duration
}

// DefaultCosts returns the weights that hosts use.
func DefaultCosts() Costs {
	return Costs{Far: 6 * time.Millisecond, Primary: 8 * time.Millisecond, Queue: 8 * time.Millisecond}
}

// Pick returns the instance with the least cost that can serve the demand.
func (c Costs) Pick(d Demand, list []Copy) (string, bool) {
	best, found := "", false
	var least time.Duration
	for _, one := range list {
		if one.Down || one.Tried || (one.Leaving && !one.Primary) || (d.Primary && !one.Primary) {
			continue
		}
		if one.Behind && !one.Primary {
			continue
		}
		cost := c.of(one)
		if !found || cost < least {
			best, least, found = one.Name, cost, true
		}
	}
	return best, found
}

func (c Costs) of(one Copy) time.Duration {
	cost := one.Latency + c.Queue*time.Duration(one.Load)/time.Duration(max(1, one.Slots))
	if !one.Near {
		cost += c.Far
	}
	if one.Primary {
		cost += c.Primary
	}
	return cost
}
