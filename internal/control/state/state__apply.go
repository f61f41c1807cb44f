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

// execute applies a command that has no request ID or a new one.
func (s *State) execute(index uint64, cmd *wire.Command) *wire.Outcome {
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
	return s.executeManifestCommand(index, cmd)
}

// put replaces the spec of a resource. An unchanged spec leaves the revision as it is.
func (s *State) put(index uint64, p *wire.PutResource) *wire.Outcome {
	k := spec.Kind(p.Kind)
	existing := s.Get(k, p.Name)
	if p.Checked && existing.GetVersion() != p.Expect {
		return versionConflict(existing, p.Expect)
	}
	if existing != nil && existing.Version != 0 && bytes.Equal(existing.Spec, p.Spec) {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	r := s.cloneOrNew(k, p.Name)
	r.Spec = p.Spec
	r.Version = index
	if k == spec.Groups && r.Group == nil {
		r.Group = &wire.GroupState{}
	}
	return s.storeResource(index, r)
}

// versionConflict returns the rejection of a change that expected another version.
func versionConflict(existing *wire.Resource, expect uint64) *wire.Outcome {
	out := rejection(fault.Conflict, fmt.Sprintf("version is %d, not %d; read the resource again and decide anew", existing.GetVersion(), expect))
	out.Resource = existing
	return out
}

// remove deletes a resource.
func (s *State) remove(index uint64, d *wire.DeleteResource) *wire.Outcome {
	existing := s.Get(spec.Kind(d.Kind), d.Name)
	if existing == nil {
		return rejection(fault.NotFound, d.Kind+" "+d.Name+" does not exist")
	}
	if d.Checked && existing.Version != d.Expect {
		return versionConflict(existing, d.Expect)
	}
	r := proto.Clone(existing).(*wire.Resource)
	r.Deleted = true
	return s.storeResource(index, r)
}

// join registers a host or updates what it reports about itself.
func (s *State) join(index uint64, j *wire.JoinHost) *wire.Outcome {
	existing := s.Get(spec.Hosts, j.Host)
	if existing != nil && proto.Equal(existing.Host, j.Run) {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	r := s.cloneOrNew(spec.Hosts, j.Host)
	r.Host = j.Run
	return s.storeResource(index, r)
}

// leave removes a host unless it has restarted since, that is, unless another process (Instance) is
// registered under its name.
func (s *State) leave(index uint64, l *wire.LeaveHost) *wire.Outcome {
	existing := s.Get(spec.Hosts, l.Host)
	if existing == nil || existing.Host.GetInstance() != l.Instance {
		return rejection(fault.NotFound, "host "+l.Host+" does not exist")
	}
	r := proto.Clone(existing).(*wire.Resource)
	r.Deleted = true
	return s.storeResource(index, r)
}

// announce registers an instance or updates what it reports about itself.
func (s *State) announce(index uint64, a *wire.AnnounceInstance) *wire.Outcome {
	existing := s.Get(spec.Backends, a.Name)
	if existing != nil && proto.Equal(existing.Backend, a.Run) {
		return &wire.Outcome{Ok: true, Revision: existing.Revision, Resource: existing}
	}
	if rejected := s.rejectStale(a); rejected != nil {
		return rejected
	}
	r := s.cloneOrNew(spec.Backends, a.Name)
	r.Backend = WithLeaving(a.Run, r.Backend)
	return s.storeResource(index, r)
}

// WithLeaving returns what an instance announces, as it is recorded after what it had announced before:
// an incarnation that leaves cannot take that back, since others count on it from then on.
func WithLeaving(announced, before *wire.BackendState) *wire.BackendState {
	leaves := before.GetStanding() == wire.LifecycleState_DRAINING && before.Born == announced.GetBorn()
	if announced == nil || !leaves || announced.Standing != wire.LifecycleState_READY {
		return announced
	}
	recorded := proto.Clone(announced).(*wire.BackendState)
	recorded.Standing = wire.LifecycleState_DRAINING
	return recorded
}

// groupInTerm returns a modifiable copy of a group if the group is still in the given term, and a
// rejection otherwise.
func (s *State) groupInTerm(name string, term uint64) (*wire.Resource, *wire.Outcome) {
	existing := s.Get(spec.Groups, name)
	if existing == nil {
		return nil, rejection(fault.NotFound, "group "+name+" does not exist")
	}
	if existing.Group.GetTerm() != term {
		return nil, rejection(fault.Conflict, fmt.Sprintf("group %s has term %d, not %d", name, existing.Group.GetTerm(), term))
	}
	return s.cloneOrNew(spec.Groups, name), nil
}

// seal ends the current term of a group. The group gets a higher term, in which it has no primary
// yet.
func (s *State) seal(index uint64, c *wire.SealTerm) *wire.Outcome {
	r, rejected := s.groupInTerm(c.Group, c.Term)
	if rejected != nil {
		return rejected
	}
	if r.Group.Phase == wire.Phase_SEALED && c.Past < r.Group.Term {
		return rejection(fault.Conflict, "group is sealed already")
	}
	if r.Group.Phase == wire.Phase_OPEN {
		r.Group.Former = r.Group.Primary
	}
	r.Group.Term = max(r.Group.Term, c.Past) + 1
	if c.Revoke {
		r.Group.Revoked = r.Group.Term
	}
	r.Group.Phase = wire.Phase_SEALED
	r.Group.Sealed = index
	r.Group.Reason = c.Reason
	return s.storeResource(index, r)
}

// choose sets the primary of a sealed term and the log position from which the term starts. With a
// Chooser set, it may replace a primary that was chosen but not opened yet.
func (s *State) choose(index uint64, c *wire.ChoosePrimary) *wire.Outcome {
	r, rejected := s.groupInTerm(c.Group, c.Term)
	if rejected != nil {
		return rejected
	}
	replacesPrimary := r.Group.Phase == wire.Phase_CHOSEN && c.Chooser != ""
	if r.Group.Phase != wire.Phase_SEALED && !replacesPrimary {
		return rejection(fault.Conflict, "group is not sealed")
	}
	r.Group.Phase = wire.Phase_CHOSEN
	r.Group.Primary = c.Primary
	r.Group.Chooser = c.Chooser
	r.Group.Fence = index
	r.Group.Start = c.Start
	if c.Chooser == "" {
		r.Group.Forks = append(r.Group.Forks, &wire.TermStart{Term: c.Term, Position: c.Start})
	}
	r.Group.Disks = mergeMaps(r.Group.Disks, c.Disks)
	return s.storeResource(index, r)
}

// mergeMaps returns the entries of both maps. Entries of overrides take precedence.
func mergeMaps(base, overrides map[string]string) map[string]string {
	merged := maps.Clone(base)
	if merged == nil {
		merged = map[string]string{}
	}
	maps.Copy(merged, overrides)
	return merged
}

// admit adds an instance's new disk to the ones that count in later failovers. The group's term
// must be open.
func (s *State) admit(index uint64, c *wire.AdmitDisk) *wire.Outcome {
	r, rejected := s.groupInTerm(c.Group, c.Term)
	if rejected != nil {
		return rejected
	}
	if r.Group.Phase != wire.Phase_OPEN {
		return rejection(fault.Conflict, "group is not open")
	}
	r.Group.Disks = mergeMaps(r.Group.Disks, map[string]string{c.Instance: c.Disk})
	return s.storeResource(index, r)
}

// open allows the chosen primary to accept writes.
func (s *State) open(index uint64, c *wire.OpenTerm) *wire.Outcome {
	r, rejected := s.groupInTerm(c.Group, c.Term)
	if rejected != nil {
		return rejected
	}
	if r.Group.Phase != wire.Phase_CHOSEN || r.Group.Primary != c.Primary {
		return rejection(fault.Conflict, "another primary is chosen")
	}
	r.Group.Phase = wire.Phase_OPEN
	r.Group.Former = ""
	r.Group.Reign = c.Reign
	r.Group.Fork = c.Fork
	return s.storeResource(index, r)
}

// hold makes another host the holder of the group's connections. The previous holder stays listed
// in Prior until it has released them.
func (s *State) hold(index uint64, c *wire.AssignHolder) *wire.Outcome {
	existing := s.Get(spec.Groups, c.Group)
	if existing == nil || existing.Group.GetHolder() != c.From {
		return rejection(fault.Conflict, "group has another holder")
	}
	r := s.cloneOrNew(spec.Groups, c.Group)
	group := r.Group
	group.Prior = slices.DeleteFunc(group.Prior, func(h string) bool { return h == c.Holder })
	if c.From != "" && !slices.Contains(group.Prior, c.From) {
		group.Prior = append(group.Prior, c.From)
	}
	group.Holder = c.Holder
	group.Held = index
	return s.storeResource(index, r)
}

// release removes a previous holder that has released the group's connections.
func (s *State) release(index uint64, c *wire.ReleaseGroup) *wire.Outcome {
	existing := s.Get(spec.Groups, c.Group)
	if existing == nil || !slices.Contains(existing.Group.GetPrior(), c.Host) {
		return rejection(fault.NotFound, "host holds nothing of the group")
	}
	r := s.cloneOrNew(spec.Groups, c.Group)
	r.Group.Prior = slices.DeleteFunc(r.Group.Prior, func(h string) bool { return h == c.Host })
	return s.storeResource(index, r)
}
