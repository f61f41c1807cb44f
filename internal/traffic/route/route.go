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
	// LogConsistent is set while the log holds nothing that the group's terms cut off.
	LogConsistent bool
	// Primary is set for the primary of an open term.
	Primary bool
	// Draining is set for a server that gets no new work.
	Draining bool
	// Local is set for a server in the holder's data centre.
	Local bool
	// Load is the number of requests that run or wait there.
	Load int
	// Slots is the number of requests that run there at once.
	Slots int
}

// Request is what a request asks of a server.
type Request struct {
	// Read is set for a request that may run on a replica.
	Read bool
	// MinPosition is the least position of a replica.
	MinPosition uint64
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
	// ReplicaWait is how long a read waits for a replica while the primary is busy.
	ReplicaWait time.Duration
	// SpillFactor is the load in slots of the best replica at which an idle primary helps out.
	SpillFactor int
	// PrimaryOnly sends every read to the primary; it is the baseline of measurements.
	PrimaryOnly bool
}

// DefaultOptions returns the limits that holders use.
func DefaultOptions() Options {
	return Options{ReplicaWait: 20 * time.Millisecond, SpillFactor: 4}
}

// noServerWait is how long a request waits for any change when no server can take it.
const noServerWait = 50 * time.Millisecond

// Choose returns the server for a request.
func (o Options) Choose(req Request, servers []Server) Choice {
	primary, hasPrimary := findPrimary(servers)
	if !req.Read || o.PrimaryOnly {
		if !hasPrimary {
			return Choice{Wait: noServerWait}
		}
		return Choice{Server: primary.Name, Found: true}
	}
	best, ok := bestReplica(req, servers)
	switch {
	case ok && hasPrimary && o.spillsToPrimary(primary, best):
		return Choice{Server: primary.Name, Found: true}
	case ok:
		return Choice{Server: best.Name, Found: true}
	case !hasPrimary:
		return Choice{Wait: noServerWait}
	case req.Waited < o.ReplicaWait && primary.Load >= primary.Slots && hasReplica(servers):
		return Choice{Wait: o.ReplicaWait - req.Waited}
	}
	return Choice{Server: primary.Name, Found: true}
}

// spillsToPrimary reports whether an idle primary takes a read from an overloaded replica.
func (o Options) spillsToPrimary(primary, replica Server) bool {
	return replica.Load >= o.SpillFactor*replica.Slots && primary.Load == 0
}

func findPrimary(servers []Server) (Server, bool) {
	for _, s := range servers {
		if s.Primary && s.Alive {
			return s, true
		}
	}
	return Server{}, false
}

func hasReplica(servers []Server) bool {
	for _, s := range servers {
		if !s.Primary && s.Alive && s.LogConsistent && !s.Draining {
			return true
		}
	}
	return false
}

func bestReplica(req Request, servers []Server) (Server, bool) {
	var best Server
	found := false
	for _, s := range servers {
		if s.Primary || !s.Alive || !s.LogConsistent || s.Draining || s.Position < req.MinPosition {
			continue
		}
		if !found || s.preferredOver(best) {
			best = s
			found = true
		}
	}
	return best, found
}

// preferredOver compares by load in slots, then by distance, then by position.
func (s Server) preferredOver(other Server) bool {
	a, b := s.Load*other.Slots, other.Load*s.Slots
	if a != b {
		return a < b
	}
	if s.Local != other.Local {
		return s.Local
	}
	return s.Position > other.Position
}
