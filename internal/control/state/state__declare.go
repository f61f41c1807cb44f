package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// runDeclared applies the commands of deployments that declare all groups in one manifest.
func (s *State) runDeclared(index uint64, cmd *wire.Command) *wire.Outcome {
	switch b := cmd.Body.(type) {
	case *wire.Command_Declare:
		return s.declare(index, b.Declare)
	case *wire.Command_Withdraw:
		return s.withdraw(index, b.Withdraw)
	case *wire.Command_Adopt:
		return s.adopt(index, b.Adopt)
	}
	return refusal(fault.Unsupported, "command is not known to this version")
}

// declare puts a manifest in force if its number is higher than the one that is. A lower or
// an equal number changes nothing and is no mistake: it is a resent or an overtaken one.
func (s *State) declare(index uint64, d *wire.DeclareManifest) *wire.Outcome {
	have := s.Get(spec.Manifests, spec.Current)
	if have != nil && d.Number <= have.Version {
		return &wire.Outcome{Ok: true, Revision: have.Revision, Resource: have}
	}
	m, err := spec.ReadManifest(d.Spec)
	if err != nil {
		return refusal(fault.Invalid, err.Error())
	}
	for _, c := range m.Groups {
		if s.Get(spec.Groups, c.Name) == nil {
			s.change(index, &wire.Resource{Kind: string(spec.Groups), Name: c.Name, Group: &wire.GroupState{}})
		}
	}
	s.change(index, &wire.Resource{Kind: string(spec.Sources), Name: spec.Current, Version: d.Number, Spec: d.Source})
	return s.change(index, &wire.Resource{Kind: string(spec.Manifests), Name: spec.Current, Version: d.Number, Spec: d.Spec})
}

// outdated refuses what an earlier life of an instance said, also where another instance has
// taken over its address since, or what it said before a later word.
func (s *State) outdated(a *wire.AnnounceInstance) *wire.Outcome {
	if a.Run.GetBorn() == 0 {
		return nil
	}
	if have := s.Get(spec.Backends, a.Name).GetBackend(); have != nil {
		late := a.Run.Born < have.Born || (a.Run.Born == have.Born && (a.Run.Seq < have.Seq || have.Standing == wire.LifecycleState_GONE))
		if late {
			return refusal(fault.TooOld, fmt.Sprintf("instance %s has said something later", a.Name))
		}
	}
	for _, r := range s.List(spec.Backends) {
		if r.Name != a.Name && r.Backend.GetAddr() == a.Run.Addr && r.Backend.GetBorn() > a.Run.Born {
			return refusal(fault.TooOld, fmt.Sprintf("address %s belongs to instance %s now", a.Run.Addr, r.Name))
		}
	}
	return nil
}

// withdraw marks an instance as gone. The mark stays, so that a late word of the same life
// does not bring it back.
func (s *State) withdraw(index uint64, w *wire.WithdrawInstance) *wire.Outcome {
	have := s.Get(spec.Backends, w.Name)
	if have == nil || have.Backend == nil {
		return refusal(fault.NotFound, "instance "+w.Name+" is not known")
	}
	if w.Born != 0 && w.Born < have.Backend.Born {
		return refusal(fault.TooOld, "instance "+w.Name+" has started again")
	}
	if have.Backend.Standing == wire.LifecycleState_GONE {
		return &wire.Outcome{Ok: true, Revision: have.Revision, Resource: have}
	}
	r := proto.Clone(have).(*wire.Resource)
	r.Backend.Standing = wire.LifecycleState_GONE
	return s.change(index, r)
}

// adopt opens a term for the instance that leads the group already.
func (s *State) adopt(index uint64, c *wire.AdoptPrimary) *wire.Outcome {
	r, refused := s.group(c.Group, c.Term)
	if refused != nil {
		return refused
	}
	if r.Group.Phase != wire.Phase_NONE {
		return refusal(fault.Conflict, "group has had a primary")
	}
	r.Group.Term = c.Term + 1
	r.Group.Phase = wire.Phase_OPEN
	r.Group.Primary = c.Primary
	r.Group.Reign = c.Reign
	r.Group.Fork = c.Fork
	return s.change(index, r)
}
