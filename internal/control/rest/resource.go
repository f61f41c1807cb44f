package rest

import (
	"encoding/json"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// Resource is a resource as the API shows it.
type Resource struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version changes with each accepted change of the spec; a change may name the one that
	// it expects.
	Version uint64 `json:"version"`
	// Revision changes with each change, those by the system included.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   *Status         `json:"status,omitempty"`
}

// Status is what the system says of a resource.
type Status struct {
	// Accepted is the revision of the latest accepted change.
	Accepted uint64 `json:"accepted"`
	// InForce is set once every serving host acts on that revision.
	InForce bool           `json:"inForce"`
	Group   *GroupStatus   `json:"group,omitempty"`
	Backend *BackendStatus `json:"backend,omitempty"`
	Host    *HostStatus    `json:"host,omitempty"`
}

// GroupStatus is the state of a database group.
type GroupStatus struct {
	Phase   string `json:"phase"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary,omitempty"`
	Start   uint64 `json:"start"`
	Holder  string `json:"holder,omitempty"`
	// Prior are former holders that have not released their connections.
	Prior  []string `json:"prior,omitempty"`
	Reason string   `json:"reason,omitempty"`
	// Disks are the disks whose answers count in a failover, by backend server.
	Disks map[string]string `json:"disks,omitempty"`
	// Waiting tells what a failover waits for.
	Waiting *Waiting `json:"waiting,omitempty"`
}

// Waiting is what a failover waits for.
type Waiting struct {
	Answers  uint64 `json:"answers"`
	Needed   uint64 `json:"needed"`
	Released bool   `json:"released"`
}

// BackendStatus is what a backend server announced.
type BackendStatus struct {
	Group   string `json:"group"`
	Address string `json:"address"`
	Center  string `json:"center"`
}

// HostStatus is the state of a host of the system.
type HostStatus struct {
	Center   string   `json:"center"`
	Roles    []string `json:"roles"`
	Link     string   `json:"link"`
	API      string   `json:"api"`
	Applied  uint64   `json:"applied"`
	Lease    string   `json:"lease"`
	Draining bool     `json:"draining,omitempty"`
}

// List is the resources of a kind.
type List struct {
	Kind     string     `json:"kind"`
	Revision uint64     `json:"revision"`
	InForce  uint64     `json:"inForce"`
	Items    []Resource `json:"items"`
}

// Event is one line of a watch.
type Event struct {
	// Type is added, changed, deleted or bookmark.
	Type     string    `json:"type"`
	Revision uint64    `json:"revision"`
	InForce  uint64    `json:"inForce"`
	Resource *Resource `json:"resource,omitempty"`
}

// Quorum is the state of the control quorum.
type Quorum struct {
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Revision uint64   `json:"revision"`
	InForce  uint64   `json:"inForce"`
	Voters   uint64   `json:"voters"`
	Margin   uint64   `json:"margin"`
	Members  []Member `json:"members"`
}

// Member is a control host.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// shown returns a resource as the API shows it, without what only the leader knows.
func shown(r *wire.Resource, inforce uint64) Resource {
	out := Resource{
		Kind: r.Kind, Name: r.Name, Version: r.Version, Revision: r.Revision, Spec: r.Spec,
		Status: &Status{Accepted: r.Revision, InForce: r.Revision <= inforce},
	}
	if g := r.Group; g != nil && r.Kind == string(spec.Groups) {
		out.Status.Group = &GroupStatus{
			Phase: phaseName(g.Phase), Term: g.Term, Primary: g.Primary, Start: g.Start,
			Holder: g.Holder, Prior: g.Prior, Reason: g.Reason, Disks: g.Disks,
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

// withViews adds what only the leader knows.
func (r Resource) withViews(reply *wire.ControlReply) Resource {
	for _, g := range reply.Groups {
		if r.Status.Group != nil && g.Group == r.Name && r.Status.Group.Phase != "open" {
			r.Status.Group.Waiting = &Waiting{Answers: g.Answers, Needed: g.Needed, Released: g.Released}
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
