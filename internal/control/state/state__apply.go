package state

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// run applies a command whose request id is new.
func (s *State) run(index uint64, cmd *wire.Command) *wire.Outcome {
	switch b := cmd.Body.(type) {
	case *wire.Command_Put:
		return s.put(index, b.Put)
	case *wire.Command_Delete:
		return s.remove(index, b.Delete)
	case *wire.Command_Join:
		return s.join(index, b.Join)
	case *wire.Command_Leave:
		return s.leave(index, b.Leave)
	case *wire.Command_Announce:
		return s.announce(index, b.Announce)
	case *wire.Command_Seal:
		return s.seal(index, b.Seal)
	case *wire.Command_Choose:
		return s.choose(index, b.Choose)
	case *wire.Command_Open:
		return s.open(index, b.Open)
	case *wire.Command_Hold:
		return s.hold(index, b.Hold)
	case *wire.Command_Release:
		return s.release(index, b.Release)
	case *wire.Command_Admit:
		return s.admit(index, b.Admit)
	}
	return s.runDeclared(index, cmd)
}

func (s *State) put(index uint64, p *wire.PutResource) *wire.Outcome {
	k := spec.Kind(p.Kind)
	have := s.Get(k, p.Name)
	if p.Checked && have.GetVersion() != p.Expect {
		return conflict(have, p.Expect)
	}
	if have != nil && have.Version != 0 && bytes.Equal(have.Spec, p.Spec) {
		return &wire.Outcome{Ok: true, Revision: have.Revision, Resource: have}
	}
	r := s.next(k, p.Name)
	r.Spec = p.Spec
	r.Version = index
	if k == spec.Groups && r.Group == nil {
		r.Group = &wire.GroupState{}
	}
	return s.change(index, r)
}

func conflict(have *wire.Resource, expect uint64) *wire.Outcome {
	out := refusal(fault.Conflict, fmt.Sprintf("version is %d, not %d; read the resource again and decide anew", have.GetVersion(), expect))
	out.Resource = have
	return out
}

func (s *State) remove(index uint64, d *wire.DeleteResource) *wire.Outcome {
	have := s.Get(spec.Kind(d.Kind), d.Name)
	if have == nil {
		return refusal(fault.NotFound, d.Kind+" "+d.Name+" does not exist")
	}
	if d.Checked && have.Version != d.Expect {
		return conflict(have, d.Expect)
	}
	r := proto.Clone(have).(*wire.Resource)
	r.Deleted = true
	return s.change(index, r)
}

func (s *State) join(index uint64, j *wire.JoinHost) *wire.Outcome {
	have := s.Get(spec.Hosts, j.Host)
	if have != nil && proto.Equal(have.Host, j.Run) {
		return &wire.Outcome{Ok: true, Revision: have.Revision, Resource: have}
	}
	r := s.next(spec.Hosts, j.Host)
	r.Host = j.Run
	return s.change(index, r)
}

func (s *State) leave(index uint64, l *wire.LeaveHost) *wire.Outcome {
	have := s.Get(spec.Hosts, l.Host)
	if have == nil || have.Host.GetInstance() != l.Instance {
		return refusal(fault.NotFound, "host "+l.Host+" does not exist")
	}
	r := proto.Clone(have).(*wire.Resource)
	r.Deleted = true
	return s.change(index, r)
}

func (s *State) announce(index uint64, a *wire.AnnounceInstance) *wire.Outcome {
	have := s.Get(spec.Backends, a.Name)
	if have != nil && proto.Equal(have.Backend, a.Run) {
		return &wire.Outcome{Ok: true, Revision: have.Revision, Resource: have}
	}
	if refused := s.outdated(a); refused != nil {
		return refused
	}
	r := s.next(spec.Backends, a.Name)
	r.Backend = a.Run
	return s.change(index, r)
}

// group returns a copy of a group to change if its term is the one that the command saw.
func (s *State) group(name string, term uint64) (*wire.Resource, *wire.Outcome) {
	have := s.Get(spec.Groups, name)
	if have == nil {
		return nil, refusal(fault.NotFound, "group "+name+" does not exist")
	}
	if have.Group.GetTerm() != term {
		return nil, refusal(fault.Conflict, fmt.Sprintf("group %s has term %d, not %d", name, have.Group.GetTerm(), term))
	}
	return s.next(spec.Groups, name), nil
}

// seal ends a term: from here on the group has the next term and no primary in it.
func (s *State) seal(index uint64, c *wire.SealTerm) *wire.Outcome {
	r, refused := s.group(c.Group, c.Term)
	if refused != nil {
		return refused
	}
	if r.Group.Phase == wire.Phase_SEALED && c.Past < r.Group.Term {
		return refusal(fault.Conflict, "group is sealed already")
	}
	r.Group.Term = max(r.Group.Term, c.Past) + 1
	r.Group.Phase = wire.Phase_SEALED
	r.Group.Sealed = index
	r.Group.Reason = c.Reason
	return s.change(index, r)
}

// choose settles the primary of a sealed term and the position that the term starts from.
func (s *State) choose(index uint64, c *wire.ChoosePrimary) *wire.Outcome {
	r, refused := s.group(c.Group, c.Term)
	if refused != nil {
		return refused
	}
	again := r.Group.Phase == wire.Phase_CHOSEN && c.Chooser != ""
	if r.Group.Phase != wire.Phase_SEALED && !again {
		return refusal(fault.Conflict, "group is not sealed")
	}
	r.Group.Phase = wire.Phase_CHOSEN
	r.Group.Primary = c.Primary
	r.Group.Chooser = c.Chooser
	r.Group.Fence = index
	r.Group.Start = c.Start
	if c.Chooser == "" {
		r.Group.Forks = append(r.Group.Forks, &wire.TermStart{Term: c.Term, Position: c.Start})
	}
	r.Group.Disks = joined(r.Group.Disks, c.Disks)
	return s.change(index, r)
}

// joined returns the entries of both maps; those of next go before.
func joined(have, next map[string]string) map[string]string {
	all := maps.Clone(have)
	if all == nil {
		all = map[string]string{}
	}
	maps.Copy(all, next)
	return all
}

// admit lets an instance's new disk count in the failovers after this open term.
func (s *State) admit(index uint64, c *wire.AdmitDisk) *wire.Outcome {
	r, refused := s.group(c.Group, c.Term)
	if refused != nil {
		return refused
	}
	if r.Group.Phase != wire.Phase_OPEN {
		return refusal(fault.Conflict, "group is not open")
	}
	r.Group.Disks = joined(r.Group.Disks, map[string]string{c.Instance: c.Disk})
	return s.change(index, r)
}

// open lets the chosen primary take writes.
func (s *State) open(index uint64, c *wire.OpenTerm) *wire.Outcome {
	r, refused := s.group(c.Group, c.Term)
	if refused != nil {
		return refused
	}
	if r.Group.Phase != wire.Phase_CHOSEN || r.Group.Primary != c.Primary {
		return refusal(fault.Conflict, "another primary is chosen")
	}
	r.Group.Phase = wire.Phase_OPEN
	r.Group.Reign = c.Reign
	r.Group.Fork = c.Fork
	return s.change(index, r)
}

// hold gives the group's connections to another holder; the one before stays listed until
// it has released them.
func (s *State) hold(index uint64, c *wire.AssignHolder) *wire.Outcome {
	have := s.Get(spec.Groups, c.Group)
	if have == nil || have.Group.GetHolder() != c.From {
		return refusal(fault.Conflict, "group has another holder")
	}
	r := s.next(spec.Groups, c.Group)
	run := r.Group
	run.Prior = slices.DeleteFunc(run.Prior, func(h string) bool { return h == c.Holder })
	if c.From != "" && !slices.Contains(run.Prior, c.From) {
		run.Prior = append(run.Prior, c.From)
	}
	run.Holder = c.Holder
	run.Held = index
	return s.change(index, r)
}

func (s *State) release(index uint64, c *wire.ReleaseGroup) *wire.Outcome {
	have := s.Get(spec.Groups, c.Group)
	if have == nil || !slices.Contains(have.Group.GetPrior(), c.Host) {
		return refusal(fault.NotFound, "host holds nothing of the group")
	}
	r := s.next(spec.Groups, c.Group)
	r.Group.Prior = slices.DeleteFunc(r.Group.Prior, func(h string) bool { return h == c.Host })
	return s.change(index, r)
}
