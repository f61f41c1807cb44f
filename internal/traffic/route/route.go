// Package route chooses the backend server for a request, by load, data centre and replica lag. A
// group's holder, which runs all requests of the group, uses Options.Choose; hosts that each send
// their own requests use Costs.Pick.
package route

import (
	"time"
)

// Server is a backend server as a group's holder sees it when choosing one for a request. The holder
// is the host that runs all requests of the group.
type Server struct {
	Name string
	// Position is the log position that the server has reached.
	Position uint64
	// Alive is set while the server reports its status.
	Alive bool
	// LogConsistent is set while the server's log has no entries that a later term has discarded.
	LogConsistent bool
	// Primary is set for the primary of an open term.
	Primary bool
	// Draining is set for a server that gets no new requests.
	Draining bool
	// Local is set for a server in the holder's data centre.
	Local bool
	// Load is the number of requests that run or wait at the server.
	Load int
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// Request is what a request requires of a server.
type Request struct {
	// Read is set for a request that may run on a replica.
	Read bool
	// MinPosition is the position that a replica must have reached to serve the request.
	MinPosition uint64
	// Waited is how long the request has already waited for a replica.
	Waited time.Duration
}

// Choice is the result of Options.Choose: a server, or how long to wait before choosing again.
type Choice struct {
	// Server is the name of the chosen server; it is valid only if Found is set.
	Server string
	Found  bool
	// Wait is how long to wait if Found is not set.
	Wait time.Duration
}

// Options are the limits for choosing a server.
type Options struct {
	// ReplicaWait is how long a read waits for a fresh enough replica while the primary is busy.
	ReplicaWait time.Duration
	// SpillFactor is the load of the best replica, as a multiple of its slots, from which on reads go
	// to an idle primary.
	SpillFactor int
	// PrimaryOnly sends every read to the primary. Measurements use it as their baseline.
	PrimaryOnly bool
}

// DefaultOptions returns the default limits.
func DefaultOptions() Options {
	return Options{ReplicaWait: 20 * time.Millisecond, SpillFactor: 4}
}

// noServerWait is how long a request waits before choosing again when no server can run it.
const noServerWait = 50 * time.Millisecond

// Choose returns the server for a request. Writes go to the primary. Reads go to the best replica
// that is fresh enough, else to the primary, after up to ReplicaWait if the primary is busy.
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

// spillsToPrimary reports whether a read goes to the idle primary because the replica is overloaded.
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

// preferredOver reports whether s is the better choice: by load per slot, then by data centre, then by
// position.
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
