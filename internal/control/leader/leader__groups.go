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

// stepFailovers advances the failovers of groups and executes the actions that follow. The caller
// holds mu.
func (l *Leader) stepFailovers(ctx context.Context, now time.Time, s *state.State, groups []*wire.Resource) {
	if len(groups) == 0 {
		return
	}
	if l.Platform != nil {
		l.stepPlatformFailovers(ctx, now, s, groups)
		return
	}
	instances, addrs := l.announcedInstances(s)
	hosts := l.liveEntryHosts(now, s)
	for _, r := range groups {
		if r.Group.GetPhase() != wire.Phase_OPEN {
			l.failingOver[r.Name] = true
		}
		v := l.failoverView(now, r, instances[r.Name], hosts)
		failover := l.failovers[r.Name]
		if failover == nil {
			failover = &group.Failover{Options: l.FailoverOptions}
			l.failovers[r.Name] = failover
		}
		for _, a := range failover.Step(now, v) {
			l.execute(ctx, r.Name, addrs, a)
		}
	}
}

// announcedInstances returns the announced backend servers by group, and their addresses by name.
func (l *Leader) announcedInstances(s *state.State) (map[string][]group.Instance, map[string]string) {
	instances := map[string][]group.Instance{}
	addrs := map[string]string{}
	for _, r := range s.List(spec.Backends) {
		b := r.Backend
		if b == nil {
			continue
		}
		addrs[r.Name] = b.Addr
		instances[b.Group] = append(instances[b.Group], group.Instance{Name: r.Name, Center: b.Center, Draining: spec.Leaving(r.Spec)})
	}
	return instances, addrs
}

// liveEntryHosts returns the entry hosts with a live lease. The caller holds mu.
func (l *Leader) liveEntryHosts(now time.Time, s *state.State) []place.Host {
	var list []place.Host
	for _, h := range place.EntryHosts(s.List(spec.Hosts)) {
		if l.grantor.HasLease(now, h.Name) {
			list = append(list, h)
		}
	}
	return list
}

// failoverView returns what the leader knows of a group. The caller holds mu.
func (l *Leader) failoverView(now time.Time, r *wire.Resource, instances []group.Instance, hosts []place.Host) group.View {
	declared := spec.DecodeGroup(r.Spec)
	gs := r.Group
	if gs == nil {
		gs = &wire.GroupState{}
	}
	return group.View{
		Name: r.Name, State: gs, Size: declared.Size, Acks: declared.Acks, PreferredCenter: declared.PreferredCenter, AcceptLossInTerm: declared.AcceptLossInTerm,
		Instances: instances, Reports: l.instanceReports[r.Name],
		PrimaryFailed: l.observersReportFailure(r.Name, gs, hosts),
		SealInForce:   l.allReleased(now, r.Name, gs),
	}
}

// observersReportFailure reports whether a majority of the observers with a lease report the
// primary of the current term as failed. The caller holds mu.
func (l *Leader) observersReportFailure(name string, gs *wire.GroupState, hosts []place.Host) bool {
	observers := place.Observers(name, gs.Holder, hosts)
	votes := 0
	for _, o := range observers {
		health := l.primaryHealth[o][name]
		if health != nil && health.Term == gs.Term && health.Primary == gs.Primary {
			votes++
		}
	}
	return votes > 0 && votes >= len(observers)/2+1
}

// allReleased reports whether no host serves the group under a term before the sealed one: each
// present or former holder has reported so or has no lease. The caller holds mu.
func (l *Leader) allReleased(now time.Time, name string, gs *wire.GroupState) bool {
	holders := gs.Prior
	if gs.Holder != "" {
		holders = append([]string{gs.Holder}, gs.Prior...)
	}
	for _, host := range holders {
		if l.grantor.Expired(now, host) {
			continue
		}
		if l.released[host][name].GetTerm() < gs.Term {
			return false
		}
	}
	return true
}

// execute performs one action of a group.Failover. The caller holds mu.
func (l *Leader) execute(ctx context.Context, name string, addrs map[string]string, a group.Action) {
	switch a := a.(type) {
	case group.Propose:
		l.propose(ctx, "group "+name, a.Command)
	case group.Fence:
		l.sendServerRequest(ctx, name, a.Instance, addrs[a.Instance], func(ctx context.Context, s adapt.Server) (adapt.Status, error) {
			return s.Fence(ctx, a.Term)
		})
	case group.QueryStatus:
		l.sendServerRequest(ctx, name, a.Instance, addrs[a.Instance], func(ctx context.Context, s adapt.Server) (adapt.Status, error) {
			return s.Status(ctx)
		})
	case group.Promote:
		l.sendServerRequest(ctx, name, a.Instance, addrs[a.Instance], func(ctx context.Context, s adapt.Server) (adapt.Status, error) {
			return s.Promote(ctx, a.Term, a.Start)
		})
	}
}

// sendServerRequest sends a request to a backend server in the background and stores its answer. If
// the request fails, it asks for the server's status and stores that. The caller holds mu.
func (l *Leader) sendServerRequest(ctx context.Context, name, instance, addr string, send func(context.Context, adapt.Server) (adapt.Status, error)) {
	if addr == "" {
		return
	}
	term := l.term
	l.background("order "+instance, func() {
		ctx, cancel := context.WithTimeout(ctx, serverRequestTimeout)
		defer cancel()
		sentAt := l.Now()
		st, err := send(ctx, l.Server(addr))
		if err != nil {
			l.Log.WithError(err).WithField("instance", instance).Debug("request to backend server failed")
			st, err = l.Server(addr).Status(ctx)
		}
		if err != nil || st.Name != instance {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.term == term {
			l.storeReport(name, sentAt, st)
		}
	})
}

func (l *Leader) storeReport(name string, sentAt time.Time, st adapt.Status) {
	if l.instanceReports[name] == nil {
		l.instanceReports[name] = map[string]group.Report{}
	}
	l.instanceReports[name][st.Name] = group.Report{QueriedAt: sentAt, DiskID: st.Disk, Term: st.Term, LastTerm: st.LastTerm, Position: st.Position, Primary: st.Primary}
}
