package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// executeManifestCommand applies the commands of deployments that declare all groups in one manifest.
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

// declare puts a manifest in force if its number is higher than the one that is. A lower or
// an equal number changes nothing and is no mistake: it is a resent or an overtaken one.
func (s *State) declare(index uint64, d *wire.Declare) *wire.Outcome {
	existing := s.Get(spec.Manifests, spec.Current)
	if existing != nil && d.Number <= existing.Version {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	m, err := spec.ReadManifest(d.Spec)
	if err != nil {
		return rejection(fault.Invalid, err.Error())
	}
	for _, c := range m.Groups {
		if s.Get(spec.Groups, c.Name) == nil {
			s.storeResource(index, &wire.Resource{Kind: string(spec.Groups), Name: c.Name, Group: &wire.GroupRun{}})
		}
	}
	s.storeResource(index, &wire.Resource{Kind: string(spec.Sources), Name: spec.Current, Version: d.Number, Spec: d.Source})
	return s.storeResource(index, &wire.Resource{Kind: string(spec.Manifests), Name: spec.Current, Version: d.Number, Spec: d.Spec})
}

// rejectStale refuses what an earlier life of an instance said, also where another instance has
// taken over its address since, or what it said before a later word.
func (s *State) rejectStale(a *wire.Announce) *wire.Outcome {
	if a.Run.GetBorn() == 0 {
		return nil
	}
	if existing := s.Get(spec.Backends, a.Name).GetBackend(); existing != nil {
		stale := a.Run.Born < existing.Born || (a.Run.Born == existing.Born && (a.Run.Seq < existing.Seq || existing.Standing == wire.Standing_GONE))
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

// withdraw marks an instance as gone. The mark stays, so that a late word of the same life
// does not bring it back.
func (s *State) withdraw(index uint64, w *wire.Withdraw) *wire.Outcome {
	existing := s.Get(spec.Backends, w.Name)
	if existing == nil || existing.Backend == nil {
		return rejection(fault.NotFound, "instance "+w.Name+" is not known")
	}
	if w.Born != 0 && w.Born < existing.Backend.Born {
		return rejection(fault.TooOld, "instance "+w.Name+" has started again")
	}
	if existing.Backend.Standing == wire.Standing_GONE {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	r := proto.Clone(existing).(*wire.Resource)
	r.Backend.Standing = wire.Standing_GONE
	return s.storeResource(index, r)
}

// adopt opens a term for the instance that leads the group already.
func (s *State) adopt(index uint64, c *wire.Adopt) *wire.Outcome {
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
