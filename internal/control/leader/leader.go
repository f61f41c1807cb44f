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
	// reconcileInterval is the longest time between two rounds of duties.
	reconcileInterval = 20 * time.Millisecond
	// fullReconcileInterval is the longest time between two looks at all groups.
	fullReconcileInterval = 500 * time.Millisecond
	// callTimeout bounds a command on behalf of a caller of the leader.
	callTimeout = 3 * time.Second
	// orderTimeout bounds an order to a backend server.
	orderTimeout = 500 * time.Millisecond
	// defaultHostRemovalDelay is how long a host may be without a lease before it is dropped.
	defaultHostRemovalDelay = 10 * time.Minute
	// platformHostRemovalDelay is the same where hosts use one another's connections: one that is down
	// must not be asked for long, and joins again when it is back.
	platformHostRemovalDelay = 3 * time.Second
)

// Leader serves the duties while its driver leads. The exported fields are set before Run.
type Leader struct {
	Driver *driver.Driver
	Log    *logs.Logger
	Meter  *meter.Meter
	// LeaseDuration is the length of a host's lease.
	LeaseDuration time.Duration
	// Server returns the adapter for a backend server; it is a seam for tests.
	Server func(addr string) adapt.Server
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
	// FailoverOptions are the times of a failover.
	FailoverOptions group.Options
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
	statuses    map[string]map[string]group.Sight
	promotions  map[string]promotionOrder
	// manifest is the one from which copied, the copies by group, was read.
	manifest      *wire.Resource
	copiesByGroup map[string]int
	orderReports  map[string]map[string]group.Report
	// primaryHealth are the primaries that each host holds for failed, by host and group.
	primaryHealth    map[string]map[string]*wire.Suspect
	released         map[string]map[string]*wire.Released
	unavailableSince map[string]time.Time
	probedAt         map[string]time.Time
	running          map[string]bool
	joining          map[string]*wire.Member
	// membershipProposedAt is when a membership was proposed last.
	membershipProposedAt time.Time
	// unhealthySince is since when members have confirmed nothing.
	unhealthySince map[string]time.Time
	inForce        uint64
	// inForceChanged is closed when inforce moves.
	inForceChanged chan struct{}
	// failingOver are the groups whose failover is under way.
	failingOver        map[string]bool
	reconciledRevision uint64
	reconciledAt       time.Time
	wakeup             chan struct{}
	wg                 sync.WaitGroup
}

// Prepare makes the leader ready for streams and calls; Run must follow.
func (l *Leader) Prepare() {
	l.wakeup = make(chan struct{}, 1)
	l.inForceChanged = make(chan struct{})
	l.reset(0, time.Time{})
}

// reset forgets what was known in another term. Released and suspects come anew with each
// renewal, reports with each order.
func (l *Leader) reset(term uint64, elected time.Time) {
	l.term = term
	l.failingOver = map[string]bool{}
	l.reconciledRevision = 0
	l.grantor = &lease.Grantor{Length: l.LeaseDuration, Elected: elected}
	l.groups = map[string]*group.Group{}
	l.successions = map[string]*group.Succession{}
	l.statuses = map[string]map[string]group.Sight{}
	l.promotions = map[string]promotionOrder{}
	l.orderReports = map[string]map[string]group.Report{}
	l.primaryHealth = map[string]map[string]*wire.Suspect{}
	l.released = map[string]map[string]*wire.Released{}
	l.unavailableSince = map[string]time.Time{}
	l.probedAt = map[string]time.Time{}
	l.running = map[string]bool{}
	l.joining = map[string]*wire.Member{}
	l.unhealthySince = map[string]time.Time{}
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
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		changed := l.Driver.Changes()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.reconcile(ctx, l.Now(), false)
		case <-changed:
			l.reconcile(ctx, l.Now(), false)
		case <-l.wakeup:
			l.reconcile(ctx, l.Now(), true)
		}
	}
}

// wake makes the next round of duties start at once.
func (l *Leader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// reconcile is one round. The driver's status may be a moment old; everything that is decided
// on it goes through the log, which refuses a leader that was replaced.
// A whole one looks at all groups, others only at those whose failover is under way.
func (l *Leader) reconcile(ctx context.Context, now time.Time, full bool) {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkLeading(st) {
		return
	}
	l.Driver.View(func(s *state.State) {
		l.grantor.Committed(now, s.Revision())
		l.advanceInForce(now, s)
		if !full && s.Revision() == l.reconciledRevision && now.Sub(l.reconciledAt) < fullReconcileInterval {
			l.stepFailovers(ctx, now, s, l.groupsInFailover(s))
			return
		}
		l.reconciledRevision, l.reconciledAt = s.Revision(), now
		l.stepFailovers(ctx, now, s, s.List(spec.Groups))
		if l.Platform == nil {
			l.assignHolders(ctx, now, s)
		}
		l.removeExpiredHosts(ctx, now, s)
	})
	l.updateMembership(ctx, now, st)
	l.Meter.Set("control.inforce", int64(l.inForce))
}

// advanceInForce moves the revision in force forward as far as hosts have confirmed, and lets
// them know. The caller holds mu.
func (l *Leader) advanceInForce(now time.Time, s *state.State) {
	if s.Revision() <= l.inForce {
		return
	}
	revision := l.grantor.InForce(now, hostNames(s), s.Revision())
	if revision <= l.inForce {
		return
	}
	l.inForce = revision
	close(l.inForceChanged)
	l.inForceChanged = make(chan struct{})
}

// inForceChanges returns a channel that is closed when the revision in force moves.
func (l *Leader) inForceChanges() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForceChanged
}

// groupsInFailover returns the groups whose term is not open. The caller holds mu.
func (l *Leader) groupsInFailover(s *state.State) []*wire.Resource {
	var list []*wire.Resource
	for name := range l.failingOver {
		r := s.Get(spec.Groups, name)
		if r == nil || r.Group.GetPhase() == wire.Phase_OPEN {
			delete(l.failingOver, name)
			continue
		}
		list = append(list, r)
	}
	return list
}

// checkLeading reports whether this host leads, after taking note of a new term. The caller holds mu.
func (l *Leader) checkLeading(st driver.Status) bool {
	if !st.Leading {
		return false
	}
	if st.Term != l.term {
		l.reset(st.Term, st.Elected)
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
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	if l.running[key] {
		return
	}
	running := l.running
	running[key] = true
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		fn()
		l.mu.Lock()
		delete(running, key)
		l.mu.Unlock()
		l.wake()
	}()
}

// removeExpiredHosts drops hosts that have been without a lease for long. The caller holds mu.
func (l *Leader) removeExpiredHosts(ctx context.Context, now time.Time, s *state.State) {
	l.grantor.Retain(func(host string) bool { return s.Get(spec.Hosts, host).GetHost() != nil })
	for _, r := range s.List(spec.Hosts) {
		if r.Host == nil || !l.grantor.Expired(now, r.Name) {
			delete(l.unavailableSince, r.Name)
			continue
		}
		since, known := l.unavailableSince[r.Name]
		if !known {
			l.unavailableSince[r.Name] = now
			continue
		}
		if now.Sub(since) > l.hostRemovalDelay() {
			// A host that joins again is given the whole time anew.
			delete(l.unavailableSince, r.Name)
			l.propose(ctx, "leave "+r.Name, leaveCommand(r.Name, r.Host.Instance))
		}
	}
}

func (l *Leader) hostRemovalDelay() time.Duration {
	if l.Platform != nil {
		return platformHostRemovalDelay
	}
	return defaultHostRemovalDelay
}

func leaveCommand(host, instance string) *wire.Command {
	return &wire.Command{Body: &wire.Command_Leave{Leave: &wire.Leave{Host: host, Instance: instance}}}
}
