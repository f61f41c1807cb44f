// Package leader provides the duties of the control leader: leases, calls, failovers, the
// holders of groups and the membership of the quorum.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/lease"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

const (
	// dutyInterval is the longest time between two rounds of duties.
	dutyInterval = 20 * time.Millisecond
	// sweepInterval is the longest time between two looks at all groups.
	sweepInterval = 500 * time.Millisecond
	// callLimit bounds a command on behalf of a caller of the leader.
	callLimit = 3 * time.Second
	// orderLimit bounds an order to a backend server.
	orderLimit = 500 * time.Millisecond
	// forgetAfter is how long a host may be without a lease before it is dropped.
	forgetAfter = 10 * time.Minute
	// forgetShared is the same where hosts use one another's connections: one that is down
	// must not be asked for long, and joins again when it is back.
	forgetShared = 3 * time.Second
)

// Leader serves the duties while its driver leads. The exported fields are set before Run.
type Leader struct {
	Driver *driver.Driver
	Log    *logs.Logger
	Meter  *meter.Meter
	// Length is the length of a host's lease.
	Length time.Duration
	// Server returns the adapter for a backend server; it is a seam for tests.
	Server func(addr string) adapt.Server
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
	// Groups are the times of a failover.
	Groups group.Options
	// Host is the name of this control host.
	Host string
	// Platform, where set, replaces primaries in deployments that declare their groups in a
	// manifest.
	Platform *Platform

	mu      sync.Mutex
	term    uint64
	grantor *lease.Grantor
	groups  map[string]*group.Group
	// successions decide for the groups of a manifest.
	successions map[string]*group.Succession
	sights      map[string]map[string]group.Sight
	orders      map[string]order
	// manifest is the one from which copied, the copies by group, was read.
	manifest *wire.Resource
	copied   map[string]int
	reports  map[string]map[string]group.Report
	// suspects are the primaries that each host holds for failed, by host and group.
	suspects map[string]map[string]*wire.Suspect
	released map[string]map[string]*wire.Released
	absent   map[string]time.Time
	asked    map[string]time.Time
	busy     map[string]bool
	joining  map[string]*wire.Member
	// changedAt is when a membership was proposed last.
	changedAt time.Time
	// silent is since when members have confirmed nothing.
	silent  map[string]time.Time
	inforce uint64
	// raised is closed when inforce moves.
	raised chan struct{}
	// open are the groups whose failover is under way.
	open    map[string]bool
	swept   uint64
	sweptAt time.Time
	kick    chan struct{}
	wg      sync.WaitGroup
}

// Prepare makes the leader ready for streams and calls; Run must follow.
func (l *Leader) Prepare() {
	l.kick = make(chan struct{}, 1)
	l.raised = make(chan struct{})
	l.reset(0, time.Time{})
}

// reset forgets what was known in another term. Released and suspects come anew with each
// renewal, reports with each order.
func (l *Leader) reset(term uint64, elected time.Time) {
	l.term = term
	l.open = map[string]bool{}
	l.swept = 0
	l.grantor = &lease.Grantor{Length: l.Length, Elected: elected}
	l.groups = map[string]*group.Group{}
	l.successions = map[string]*group.Succession{}
	l.sights = map[string]map[string]group.Sight{}
	l.orders = map[string]order{}
	l.reports = map[string]map[string]group.Report{}
	l.suspects = map[string]map[string]*wire.Suspect{}
	l.released = map[string]map[string]*wire.Released{}
	l.absent = map[string]time.Time{}
	l.asked = map[string]time.Time{}
	l.busy = map[string]bool{}
	l.joining = map[string]*wire.Member{}
	l.silent = map[string]time.Time{}
}

// Run carries out the duties until ctx ends; the end is reported on the channel.
func (l *Leader) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		l.loop(ctx)
		l.wg.Wait()
		done <- nil
	}()
	return done
}

func (l *Leader) loop(ctx context.Context) {
	tick := time.NewTicker(dutyInterval)
	defer tick.Stop()
	for {
		changed := l.Driver.Changes()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.duties(ctx, l.Now(), false)
		case <-changed:
			l.duties(ctx, l.Now(), false)
		case <-l.kick:
			l.duties(ctx, l.Now(), true)
		}
	}
}

// wake makes the next round of duties start at once.
func (l *Leader) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// duties is one round. The driver's status may be a moment old; everything that is decided
// on it goes through the log, which refuses a leader that was replaced.
// A whole one looks at all groups, others only at those whose failover is under way.
func (l *Leader) duties(ctx context.Context, now time.Time, whole bool) {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads(st) {
		return
	}
	l.Driver.View(func(s *state.State) {
		l.grantor.Committed(now, s.Revision())
		l.raiseInForce(now, s)
		if !whole && s.Revision() == l.swept && now.Sub(l.sweptAt) < sweepInterval {
			l.failovers(ctx, now, s, l.unsettled(s))
			return
		}
		l.swept, l.sweptAt = s.Revision(), now
		l.failovers(ctx, now, s, s.List(spec.Groups))
		if l.Platform == nil {
			l.holders(ctx, now, s)
		}
		l.forget(ctx, now, s)
	})
	l.members(ctx, now, st)
	l.Meter.Set("control.inforce", int64(l.inforce))
}

// raiseInForce moves the revision in force forward as far as hosts have confirmed, and lets
// them know. The caller holds mu.
func (l *Leader) raiseInForce(now time.Time, s *state.State) {
	if s.Revision() <= l.inforce {
		return
	}
	revision := l.grantor.InForce(now, hostNames(s), s.Revision())
	if revision <= l.inforce {
		return
	}
	l.inforce = revision
	close(l.raised)
	l.raised = make(chan struct{})
}

// inForceRaised returns a channel that is closed when the revision in force moves.
func (l *Leader) inForceRaised() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.raised
}

// unsettled returns the groups whose term is not open. The caller holds mu.
func (l *Leader) unsettled(s *state.State) []*wire.Resource {
	var list []*wire.Resource
	for name := range l.open {
		r := s.Get(spec.Groups, name)
		if r == nil || r.Group.GetPhase() == wire.Phase_OPEN {
			delete(l.open, name)
			continue
		}
		list = append(list, r)
	}
	return list
}

// leads reports whether this host leads, after taking note of a new term. The caller holds mu.
func (l *Leader) leads(st driver.Status) bool {
	if !st.Leading {
		return false
	}
	if st.Term != l.term {
		l.reset(st.Term, st.ElectedAt)
	}
	return true
}

func hostNames(s *state.State) []string {
	var names []string
	for _, r := range s.List(spec.Hosts) {
		if r.Host != nil {
			names = append(names, r.Name)
		}
	}
	return names
}

// propose puts a command into the log in the background; one at a time for each key.
// The caller holds mu.
func (l *Leader) propose(ctx context.Context, key string, cmd *wire.Command) {
	l.background(key, func() {
		ctx, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		out, err := l.Driver.Propose(ctx, cmd)
		if err != nil {
			l.Log.WithError(err).WithField("key", key).Warn("proposal failed")
			return
		}
		if !out.Ok {
			l.Log.WithField("key", key).WithField("reason", out.Text).Debug("proposal refused")
		}
	})
}

// background runs fn unless one with the same key runs. The caller holds mu.
func (l *Leader) background(key string, fn func()) {
	if l.busy[key] {
		return
	}
	busy := l.busy
	busy[key] = true
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		fn()
		l.mu.Lock()
		delete(busy, key)
		l.mu.Unlock()
		l.wake()
	}()
}

// forget drops hosts that have been without a lease for long. The caller holds mu.
func (l *Leader) forget(ctx context.Context, now time.Time, s *state.State) {
	l.grantor.Retain(func(host string) bool { return s.Get(spec.Hosts, host).GetHost() != nil })
	for _, r := range s.List(spec.Hosts) {
		if r.Host == nil || !l.grantor.Expired(now, r.Name) {
			delete(l.absent, r.Name)
			continue
		}
		since, known := l.absent[r.Name]
		if !known {
			l.absent[r.Name] = now
			continue
		}
		if now.Sub(since) > l.forgetting() {
			// A host that joins again is given the whole time anew.
			delete(l.absent, r.Name)
			l.propose(ctx, "leave "+r.Name, leave(r.Name, r.Host.Instance))
		}
	}
}

func (l *Leader) forgetting() time.Duration {
	if l.Platform != nil {
		return forgetShared
	}
	return forgetAfter
}

func leave(host, instance string) *wire.Command {
	return &wire.Command{Body: &wire.Command_Leave{Leave: &wire.Leave{Host: host, Instance: instance}}}
}
