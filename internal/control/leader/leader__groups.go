package leader

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// failovers steps groups. The caller holds mu.
func (l *Leader) failovers(ctx context.Context, now time.Time, s *state.State, groups []*wire.Resource) {
	if len(groups) == 0 {
		return
	}
	if l.Platform != nil {
		l.replacements(ctx, now, s, groups)
		return
	}
	instances, addrs := l.announced(s)
	hosts := l.entries(now, s)
	for _, r := range groups {
		if r.Group.GetPhase() != wire.Phase_OPEN {
			l.open[r.Name] = true
		}
		v := l.view(now, r, instances[r.Name], hosts)
		g := l.groups[r.Name]
		if g == nil {
			g = &group.Group{Options: l.Groups}
			l.groups[r.Name] = g
		}
		for _, a := range g.Step(now, v) {
			l.carryOut(ctx, r.Name, addrs, a)
		}
	}
}

// announced returns the backend servers by group, and their addresses.
func (l *Leader) announced(s *state.State) (map[string][]group.Instance, map[string]string) {
	instances := map[string][]group.Instance{}
	addrs := map[string]string{}
	for _, r := range s.List(spec.Backends) {
		b := r.Backend
		if b == nil {
			continue
		}
		addrs[r.Name] = b.Addr
		instances[b.Group] = append(instances[b.Group], group.Instance{Name: r.Name, Center: b.Center, Leaving: spec.Leaving(r.Spec)})
	}
	return instances, addrs
}

// entries returns the entry hosts with a live lease. The caller holds mu.
func (l *Leader) entries(now time.Time, s *state.State) []place.Host {
	var list []place.Host
	for _, h := range place.Entries(s.List(spec.Hosts)) {
		if l.grantor.Live(now, h.Name) {
			list = append(list, h)
		}
	}
	return list
}

func (l *Leader) view(now time.Time, r *wire.Resource, instances []group.Instance, hosts []place.Host) group.View {
	declared := spec.DecodeGroup(r.Spec)
	run := r.Group
	if run == nil {
		run = &wire.GroupRun{}
	}
	return group.View{
		Name: r.Name, Run: run, Size: declared.Size, Acks: declared.Acks, Home: declared.PreferredCenter, Accept: declared.AcceptLossInTerm,
		Instances: instances, Reports: l.reports[r.Name],
		Failed:   l.failed(r.Name, run, hosts),
		Released: l.isReleased(now, r.Name, run),
	}
}

// failed reports whether a majority of the observers that hold a lease hold the primary for
// failed. The caller holds mu.
func (l *Leader) failed(name string, run *wire.GroupRun, hosts []place.Host) bool {
	observers := place.Observers(name, run.Holder, hosts)
	votes := 0
	for _, o := range observers {
		s := l.suspects[o][name]
		if s != nil && s.Term == run.Term && s.Primary == run.Primary {
			votes++
		}
	}
	return votes > 0 && votes >= len(observers)/2+1
}

// isReleased reports whether no host works for the group under a term before the one that
// is sealed: each has said so or has no lease. The caller holds mu.
func (l *Leader) isReleased(now time.Time, name string, run *wire.GroupRun) bool {
	holders := run.Prior
	if run.Holder != "" {
		holders = append([]string{run.Holder}, run.Prior...)
	}
	for _, host := range holders {
		if l.grantor.Expired(now, host) {
			continue
		}
		if l.released[host][name].GetTerm() < run.Term {
			return false
		}
	}
	return true
}

// carryOut does what a group's step asks for. The caller holds mu.
func (l *Leader) carryOut(ctx context.Context, name string, addrs map[string]string, a group.Action) {
	switch a := a.(type) {
	case group.Propose:
		l.propose(ctx, "group "+name, a.Command)
	case group.Fence:
		l.order(ctx, name, a.Instance, addrs[a.Instance], func(ctx context.Context, s adapt.Server) (adapt.Status, error) {
			return s.Fence(ctx, a.Term)
		})
	case group.Promote:
		l.order(ctx, name, a.Instance, addrs[a.Instance], func(ctx context.Context, s adapt.Server) (adapt.Status, error) {
			return s.Promote(ctx, a.Term, a.Start)
		})
	}
}

// order sends an order to a backend server and keeps what it answers. The caller holds mu.
func (l *Leader) order(ctx context.Context, name, instance, addr string, send func(context.Context, adapt.Server) (adapt.Status, error)) {
	if addr == "" {
		return
	}
	term := l.term
	l.background("order "+instance, func() {
		ctx, cancel := context.WithTimeout(ctx, orderLimit)
		defer cancel()
		st, err := send(ctx, l.Server(addr))
		if err != nil {
			l.Log.WithError(err).WithField("instance", instance).Debug("order failed")
			st, err = l.Server(addr).Status(ctx)
		}
		if err != nil || st.Name != instance {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.term == term {
			l.report(name, st)
		}
	})
}

func (l *Leader) report(name string, st adapt.Status) {
	if l.reports[name] == nil {
		l.reports[name] = map[string]group.Report{}
	}
	l.reports[name][st.Name] = group.Report{Disk: st.Disk, Term: st.Term, Last: st.Last, Position: st.Position, Primary: st.Primary}
}
