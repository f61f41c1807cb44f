package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// executeManifestCommand applies the commands used by deployments that declare all groups in one
// manifest.
func (s *State) executeManifestCommand(index uint64, cmd *wire.Command) *wire.Outcome {
	switch b := cmd.Body.(type) {
	case *wire.Command_Declare:
		return s.declare(index, b.Declare)
	case *wire.Command_Withdraw:
		return s.withdraw(index, b.Withdraw)
	case *wire.Command_Adopt:
		return s.adopt(index, b.Adopt)
	}
	return rejection(fault.Unsupported, "command is not known to this version")
}

// declare stores a manifest if its number is higher than that of the current one. A lower or equal
// number has no effect and is not an error, because the manifest was resent or arrived late.
func (s *State) declare(index uint64, d *wire.DeclareManifest) *wire.Outcome {
	existing := s.Get(spec.Manifests, spec.CurrentManifest)
	if existing != nil && d.Number <= existing.Version {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	m, err := spec.DecodeManifest(d.Spec)
	if err != nil {
		return rejection(fault.Invalid, err.Error())
	}
	for _, g := range m.Groups {
		if s.Get(spec.Groups, g.Name) == nil {
			s.storeResource(index, &wire.Resource{Kind: string(spec.Groups), Name: g.Name, Group: &wire.GroupState{}})
		}
	}
	s.storeResource(index, &wire.Resource{Kind: string(spec.ManifestSources), Name: spec.CurrentManifest, Version: d.Number, Spec: d.Source})
	return s.storeResource(index, &wire.Resource{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: d.Number, Spec: d.Spec})
}

// rejectStale rejects an announcement of an earlier incarnation (start time Born) of an instance,
// an announcement older than the latest one (Seq), and one from an instance whose address has been
// taken over by a later instance. It returns nil if the announcement is current.
func (s *State) rejectStale(a *wire.AnnounceInstance) *wire.Outcome {
	if a.Run.GetBorn() == 0 {
		return nil
	}
	if existing := s.Get(spec.Backends, a.Name).GetBackend(); existing != nil {
		stale := a.Run.Born < existing.Born || (a.Run.Born == existing.Born && (a.Run.Seq < existing.Seq || existing.Standing == wire.LifecycleState_GONE))
		if stale {
			return rejection(fault.TooOld, fmt.Sprintf("instance %s has said something later", a.Name))
		}
	}
	for _, r := range s.List(spec.Backends) {
		if r.Name != a.Name && r.Backend.GetAddr() == a.Run.Addr && r.Backend.GetBorn() > a.Run.Born {
			return rejection(fault.TooOld, fmt.Sprintf("address %s belongs to instance %s now", a.Run.Addr, r.Name))
		}
	}
	return nil
}

// withdraw marks an instance as GONE, and its log as copied if the command says so. The resource is kept,
// so that a late announcement of the same incarnation does not bring the instance back.
func (s *State) withdraw(index uint64, w *wire.WithdrawInstance) *wire.Outcome {
	existing := s.Get(spec.Backends, w.Name)
	if existing == nil || existing.Backend == nil {
		return rejection(fault.NotFound, "instance "+w.Name+" is not known")
	}
	if w.Born != 0 && w.Born < existing.Backend.Born {
		return rejection(fault.TooOld, "instance "+w.Name+" has started again")
	}
	if existing.Backend.Standing == wire.LifecycleState_GONE && (existing.Backend.Copied || !w.Copied) {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	r := proto.Clone(existing).(*wire.Resource)
	r.Backend.Standing, r.Backend.Copied = wire.LifecycleState_GONE, w.Copied
	return s.storeResource(index, r)
}

// Successor returns the instance that has started last at the address of r, and so has its log. It is r itself
// if none has started there since.
func Successor(instances []*wire.Resource, r *wire.Resource) *wire.Resource {
	latest := r
	for _, other := range instances {
		if other.Backend.Addr == r.Backend.Addr && other.Backend.Born > latest.Backend.Born {
			latest = other
		}
	}
	return latest
}

// adopt opens the first term of a group with the instance that is already its primary.
func (s *State) adopt(index uint64, c *wire.AdoptPrimary) *wire.Outcome {
	r, rejected := s.groupInTerm(c.Group, c.Term)
	if rejected != nil {
		return rejected
	}
	if r.Group.Phase != wire.Phase_NONE {
		return rejection(fault.Conflict, "group has had a primary")
	}
	r.Group.Term = c.Term + 1
	r.Group.Phase = wire.Phase_OPEN
	r.Group.Primary = c.Primary
	r.Group.Reign = c.Reign
	r.Group.Fork = c.Fork
	return s.storeResource(index, r)
}
