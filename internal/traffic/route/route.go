// Package route provides the choice of a backend server for a request.
package route

import (
	"time"
)

// Server is a backend server as a candidate.
type Server struct {
	Name     string
	Position uint64
	// Alive is set while the server reports its status.
	Alive bool
	// Clean is set while the log holds nothing that the group's terms cut off.
	Clean bool
	// Primary is set for the primary of an open term.
	Primary bool
	// Leaving is set for a server that gets no new work.
	Leaving bool
	// Near is set for a server in the holder's data centre.
	Near bool
	// Load is the number of requests that run or wait there.
	Load int
	// Slots is the number of requests that run there at once.
	Slots int
}

// Need is what a request asks of a server.
type Need struct {
	// Read is set for a request that may run on a replica.
	Read bool
	// Position is the least position of a replica.
	Position uint64
	// Waited is how long the request has waited for a replica.
	Waited time.Duration
}

// Choice is the outcome: a server, or for how long to wait for one.
type Choice struct {
	Server string
	Found  bool
	Wait   time.Duration
}

// Options are the limits of the choice.
type Options struct {
	// Patience is how long a read waits for a replica while the primary is busy.
	Patience time.Duration
	// Spill is the load in slots of the best replica at which an idle primary helps out.
	Spill int
	// PrimaryOnly sends every read to the primary; it is the baseline of measurements.
	PrimaryOnly bool
}

// DefaultOptions returns the limits that holders use.
func DefaultOptions() Options {
	return Options{Patience: 20 * time.Millisecond, Spill: 4}
}

// idleWait is how long a request waits for any change when no server can take it.
const idleWait = 50 * time.Millisecond

// Choose returns the server for a request.
func (o Options) Choose(need Need, servers []Server) Choice {
	primary, hasPrimary := find(servers)
	if !need.Read || o.PrimaryOnly {
		if !hasPrimary {
			return Choice{Wait: idleWait}
		}
		return Choice{Server: primary.Name, Found: true}
	}
	best, ok := bestReplica(need, servers)
	switch {
	case ok && hasPrimary && o.helps(primary, best):
		return Choice{Server: primary.Name, Found: true}
	case ok:
		return Choice{Server: best.Name, Found: true}
	case !hasPrimary:
		return Choice{Wait: idleWait}
	case need.Waited < o.Patience && primary.Load >= primary.Slots && hasReplica(servers):
		return Choice{Wait: o.Patience - need.Waited}
	}
	return Choice{Server: primary.Name, Found: true}
}

// helps reports whether an idle primary takes a read from an overloaded replica.
func (o Options) helps(primary, replica Server) bool {
	return replica.Load >= o.Spill*replica.Slots && primary.Load == 0
}

func find(servers []Server) (Server, bool) {
	for _, s := range servers {
		if s.Primary && s.Alive {
			return s, true
		}
	}
	return Server{}, false
}

func hasReplica(servers []Server) bool {
	for _, s := range servers {
		if !s.Primary && s.Alive && s.Clean && !s.Leaving {
			return true
		}
	}
	return false
}

func bestReplica(need Need, servers []Server) (Server, bool) {
	var best Server
	found := false
	for _, s := range servers {
		if s.Primary || !s.Alive || !s.Clean || s.Leaving || s.Position < need.Position {
			continue
		}
		if !found || s.better(best) {
			best = s
			found = true
		}
	}
	return best, found
}

// better compares by load in slots, then by distance, then by position.
func (s Server) better(other Server) bool {
	a, b := s.Load*other.Slots, other.Load*s.Slots
	if a != b {
		return a < b
	}
	if s.Near != other.Near {
		return s.Near
	}
	return s.Position > other.Position
}
