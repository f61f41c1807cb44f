package rest

import (
	"encoding/json"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// Resource is the API representation of a resource.
type Resource struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version changes with each accepted change of the spec. A change may give the version
	// that it expects.
	Version uint64 `json:"version"`
	// Revision is the revision of the latest change, including those made by the system.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   *Status         `json:"status,omitempty"`
}

// Status is the observed state of a resource. At most one of Group, Backend and Host is set.
type Status struct {
	// Accepted is the revision of the latest accepted change.
	Accepted uint64 `json:"accepted"`
	// InForce is true once every serving host has applied that revision.
	InForce bool           `json:"inForce"`
	Group   *GroupStatus   `json:"group,omitempty"`
	Backend *BackendStatus `json:"backend,omitempty"`
	Host    *HostStatus    `json:"host,omitempty"`
}

// GroupStatus is the observed state of a database group.
type GroupStatus struct {
	// Phase is none, sealed, chosen or open.
	Phase   string `json:"phase"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary,omitempty"`
	// StartPosition is the log position at which the term starts.
	StartPosition uint64 `json:"start"`
	// Holder is the host that serves the group.
	Holder string `json:"holder,omitempty"`
	// PriorHolders are former holders that have not yet released their connections.
	PriorHolders []string `json:"prior,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	// Disks are the identities of the disks whose answers count in a failover, by backend
	// server.
	Disks map[string]string `json:"disks,omitempty"`
	// Failover is the progress of a failover; it is set unless the phase is open.
	Failover *FailoverProgress `json:"waiting,omitempty"`
}

// FailoverProgress describes what a failover is waiting for.
type FailoverProgress struct {
	// Answers and Needed are the numbers of instances that have answered and that must answer.
	Answers uint64 `json:"answers"`
	Needed  uint64 `json:"needed"`
	// Released is true once every host that served the group in an earlier term has released
	// it or has lost its lease.
	Released bool `json:"released"`
}

// BackendStatus is the latest announcement of a backend server. Center is its data centre.
type BackendStatus struct {
	Group   string `json:"group"`
	Address string `json:"address"`
	Center  string `json:"center"`
}

// HostStatus is the observed state of a proxy host.
type HostStatus struct {
	// Center is the host's data centre.
	Center string   `json:"center"`
	Roles  []string `json:"roles"`
	// Link is the address for connections from other hosts, and API that of the HTTP API.
	Link string `json:"link"`
	API  string `json:"api"`
	// Applied is the latest revision that the host has applied.
	Applied uint64 `json:"applied"`
	// Lease is the remaining time of the host's lease, as a duration such as "1.2s".
	Lease    string `json:"lease"`
	Draining bool   `json:"draining,omitempty"`
}

// List holds all resources of one kind. InForce is the latest revision that every serving host has
// applied.
type List struct {
	Kind     string     `json:"kind"`
	Revision uint64     `json:"revision"`
	InForce  uint64     `json:"inForce"`
	Items    []Resource `json:"items"`
}

// Event is one JSON line of a watch response. Resource is nil for bookmarks. InForce is as in List.
type Event struct {
	// Type is added, changed, deleted or bookmark.
	Type     string    `json:"type"`
	Revision uint64    `json:"revision"`
	InForce  uint64    `json:"inForce"`
	Resource *Resource `json:"resource,omitempty"`
}

// Quorum is the state of the control quorum. InForce is as in List.
type Quorum struct {
	Leader   string `json:"leader"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"inForce"`
	Voters   uint64 `json:"voters"`
	// Margin is the number of voters that may still fail without losing the quorum, counting
	// only voters that follow the leader.
	Margin  uint64   `json:"margin"`
	Members []Member `json:"members"`
}

// Member is a control host in the quorum; learners do not vote.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// newResource returns the API representation of r. It leaves out the status fields that only
// the leader knows.
func newResource(r *wire.Resource, inForce uint64) Resource {
	out := Resource{
		Kind: r.Kind, Name: r.Name, Version: r.Version, Revision: r.Revision, Spec: r.Spec,
		Status: &Status{Accepted: r.Revision, InForce: r.Revision <= inForce},
	}
	if g := r.Group; g != nil && r.Kind == string(spec.Groups) {
		out.Status.Group = &GroupStatus{
			Phase: phaseName(g.Phase), Term: g.Term, Primary: g.Primary, StartPosition: g.Start,
			Holder: g.Holder, PriorHolders: g.Prior, Reason: g.Reason, Disks: g.Disks,
		}
	}
	if b := r.Backend; b != nil {
		out.Status.Backend = &BackendStatus{Group: b.Group, Address: b.Addr, Center: b.Center}
	}
	if h := r.Host; h != nil {
		out.Status.Host = &HostStatus{Center: h.Center, Roles: h.Roles, Link: h.Link, API: h.Api, Draining: h.Draining}
	}
	return out
}

func phaseName(p wire.Phase) string {
	return [...]string{"none", "sealed", "chosen", "open"}[min(int(p), 3)]
}

// withLeaderStatus adds the status fields that only the leader knows, from its reply.
func (r Resource) withLeaderStatus(reply *wire.ControlReply) Resource {
	for _, g := range reply.Groups {
		if r.Status.Group != nil && g.Group == r.Name && r.Status.Group.Phase != "open" {
			r.Status.Group.Failover = &FailoverProgress{Answers: g.Answers, Needed: g.Needed, Released: g.Released}
		}
	}
	for _, h := range reply.Hosts {
		if r.Status.Host != nil && h.Host == r.Name {
			r.Status.Host.Applied = h.Applied
			r.Status.Host.Lease = time.Duration(h.Left).Round(time.Millisecond).String()
		}
	}
	return r
}
