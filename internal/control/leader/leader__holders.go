package leader

import (
	"context"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// assignHolders assigns a live holder to each group and releases former holders. A holder keeps
// its groups while it has a lease: a better ranked host that appears later gets new groups only.
// The caller holds mu.
func (l *Leader) assignHolders(ctx context.Context, now time.Time, s *state.State) {
	hosts := l.availableEntryHosts(now, s)
	for _, r := range s.List(spec.Groups) {
		gs := r.Group
		if gs == nil {
			continue
		}
		l.releaseFormerHolders(ctx, now, r.Name, gs)
		if l.keepsHolder(now, gs.Holder, hosts) || len(hosts) == 0 {
			continue
		}
		best := place.Rank(r.Name, l.primaryCenter(s, r), hosts)[0]
		l.propose(ctx, "hold "+r.Name, &wire.Command{Body: &wire.Command_Hold{Hold: &wire.AssignHolder{
			Group: r.Name, Holder: best, From: gs.Holder,
		}}})
	}
}

// availableEntryHosts returns the live entry hosts that are not draining. The caller holds mu.
func (l *Leader) availableEntryHosts(now time.Time, s *state.State) []place.Host {
	return slices.DeleteFunc(l.liveEntryHosts(now, s), func(h place.Host) bool { return h.Draining })
}

// keepsHolder reports whether the holder stays: it is available, or it may still have a lease from
// the previous leader. The caller holds mu.
func (l *Leader) keepsHolder(now time.Time, holder string, hosts []place.Host) bool {
	if holder == "" {
		return false
	}
	if slices.ContainsFunc(hosts, func(h place.Host) bool { return h.Name == holder }) {
		return true
	}
	return !l.grantor.Expired(now, holder) && !l.grantor.HasLease(now, holder)
}

// primaryCenter returns the data centre of the group's primary, or the group's preferred data
// centre if the primary is not known.
func (l *Leader) primaryCenter(s *state.State, r *wire.Resource) string {
	if b := s.Get(spec.Backends, r.Group.Primary); b.GetBackend() != nil {
		return b.Backend.Center
	}
	return spec.DecodeGroup(r.Spec).PreferredCenter
}

// releaseFormerHolders proposes to remove former holders that have closed their connections, or
// have no lease, from the group. The caller holds mu.
func (l *Leader) releaseFormerHolders(ctx context.Context, now time.Time, name string, gs *wire.GroupState) {
	for _, host := range gs.Prior {
		if l.released[host][name].GetHeld() < gs.Held && !l.grantor.Expired(now, host) {
			continue
		}
		l.propose(ctx, "release "+name, &wire.Command{Body: &wire.Command_Release{Release: &wire.ReleaseGroup{Group: name, Host: host}}})
	}
}
