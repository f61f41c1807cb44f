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

// holders gives each group a live holder and takes note of released ones. A holder keeps its
// groups while it lives: a better placed host that appears later gets new groups only.
// The caller holds mu.
func (l *Leader) holders(ctx context.Context, now time.Time, s *state.State) {
	hosts := l.staying(now, s)
	for _, r := range s.List(spec.Groups) {
		run := r.Group
		if run == nil {
			continue
		}
		l.releases(ctx, now, r.Name, run)
		if l.keeps(now, run.Holder, hosts) || len(hosts) == 0 {
			continue
		}
		best := place.Rank(r.Name, l.center(s, r), hosts)[0]
		l.propose(ctx, "hold "+r.Name, &wire.Command{Body: &wire.Command_Hold{Hold: &wire.Hold{
			Group: r.Name, Holder: best, From: run.Holder,
		}}})
	}
}

// staying returns the live entry hosts that do not leave. The caller holds mu.
func (l *Leader) staying(now time.Time, s *state.State) []place.Host {
	return slices.DeleteFunc(l.entries(now, s), func(h place.Host) bool { return h.Leaving })
}

// keeps reports whether the holder stays: it has not left and its lease may still run.
func (l *Leader) keeps(now time.Time, holder string, hosts []place.Host) bool {
	if holder == "" {
		return false
	}
	if slices.ContainsFunc(hosts, func(h place.Host) bool { return h.Name == holder }) {
		return true
	}
	return !l.grantor.Expired(now, holder) && !l.grantor.Live(now, holder)
}

// center returns the data centre of the group's primary, or its home.
func (l *Leader) center(s *state.State, r *wire.Resource) string {
	if b := s.Get(spec.Backends, r.Group.Primary); b.GetBackend() != nil {
		return b.Backend.Center
	}
	return spec.DecodeGroup(r.Spec).PreferredCenter
}

// releases takes hosts that have closed their connections off the list of former holders.
func (l *Leader) releases(ctx context.Context, now time.Time, name string, run *wire.GroupRun) {
	for _, host := range run.Prior {
		if l.released[host][name].GetHeld() < run.Held && !l.grantor.Expired(now, host) {
			continue
		}
		l.propose(ctx, "release "+name, &wire.Command{Body: &wire.Command_Release{Release: &wire.Release{Group: name, Host: host}}})
	}
}
