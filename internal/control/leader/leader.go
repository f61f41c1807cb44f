// Package leader implements what the control leader does besides replicating the log: it grants
// host leases, answers calls from other hosts, runs failovers, assigns group holders and maintains
// the membership of the control quorum.
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
	"github.com/agatespindle/agatespindle/internal/control/roster"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

const (
	// reconcileInterval is the longest time between two reconcile rounds.
	reconcileInterval = 20 * time.Millisecond
	// fullReconcileInterval is the longest time between two rounds that cover all groups.
	fullReconcileInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the leader, one proposal and one membership change.
	callTimeout = 3 * time.Second
	// serverRequestTimeout bounds a Fence or Promote request to a backend server.
	serverRequestTimeout = 500 * time.Millisecond
	// defaultHostRemovalDelay is how long a host may be without a lease before it is removed from
	// the replicated state.
	defaultHostRemovalDelay = 10 * time.Minute
	// platformHostRemovalDelay applies instead where Platform is set. There hosts borrow one
	// another's connections, so a host that is down must soon stop being used as a lender. It
	// joins again when it is back.
	platformHostRemovalDelay = 3 * time.Second
)

// Leader does the work of the control leader while its driver leads the quorum; on other hosts it
// refuses leases and calls. The exported fields are set before Prepare and Run.
type Leader struct {
	Driver *driver.Driver
	Log    *logs.Logger
	Meter  *meter.Meter
	// LeaseDuration is how long a host's lease lasts after it is granted.
	LeaseDuration time.Duration
	// Server returns the adapter for the backend server at addr. Tests replace it.
	Server func(addr string) adapt.Server
	// Now returns the current time. Tests replace it.
	Now func() time.Time
	// FailoverOptions are the timing settings for failovers of groups without a manifest.
	FailoverOptions group.Options
	// QuorumOptions are the settings for changes of the quorum's membership.
	QuorumOptions roster.Options
	// Host is the name of this control host.
	Host string
	// Tolerance is by how much the operations of a client account may exceed its limit.
	Tolerance share.Tolerance
	// ControlLends is set if control hosts lend connections and serve no callers. Only they then hold shares
	// of the accounts' limits, as they send nearly all statements; otherwise entry hosts do.
	ControlLends bool
	// Platform, where set, promotes instances in deployments that declare their groups in a
	// manifest. Where it is nil, the leader fences and promotes backend servers itself.
	Platform *Platform

	mu sync.Mutex
	// term is the quorum term for which reset was last called.
	term    uint64
	grantor *lease.Grantor
	// failovers decide the failover steps where Platform is nil, by group name.
	failovers map[string]*group.Failover
	// platformFailovers decide the failover steps where Platform is set, by group name.
	platformFailovers map[string]*group.PlatformFailover
	// statuses are the latest status reports of instances, by group and instance.
	statuses map[string]map[string]group.InstanceStatus
	// stoppedAt is when an instance's address last refused connections, by name, unless it has answered since.
	stoppedAt map[string]time.Time
	// overloadedAt is when instances were last asked for a status that they were too busy to give, by name.
	overloadedAt map[string]time.Time
	// promotions are the latest promotion requests, by group.
	promotions map[string]promotionRequest
	// shares divides the limits of client accounts among the hosts.
	shares *share.Allocator
	// manifest is the manifest from which copiesByGroup and accounts were read.
	manifest *wire.Resource
	// accounts are the declared client accounts.
	accounts []spec.Account
	// copiesByGroup is the number of replicas that must have received a write before it is
	// acknowledged.
	copiesByGroup map[string]int
	// instanceReports are the latest answers to Fence and Promote requests, by group and instance.
	instanceReports map[string]map[string]group.Report
	// primaryHealth are the hosts' latest primary health reports, by host and group.
	primaryHealth map[string]map[string]*wire.PrimaryHealth
	// released are the hosts' latest release reports, by host and group: the host no longer serves
	// the group under earlier terms.
	released map[string]map[string]*wire.ReleaseReport
	// unavailableSince is the time since which a host has had no lease, by host name, or a probed primary
	// has not answered, by primaryKey.
	unavailableSince map[string]time.Time
	// probedAt is when the leader last probed a primary, by primaryKey.
	probedAt map[string]time.Time
	// running are the keys of the background tasks under way.
	running map[string]bool
	// joining are the control hosts that asked to join the quorum, by identity.
	joining map[string]*wire.Member
	// roster decides the membership of the quorum.
	roster *roster.Planner
	// membershipProposedAt is when a membership was last proposed.
	membershipProposedAt time.Time
	// inForce is the newest revision that every host with a lease has confirmed.
	inForce uint64
	// inForceChanged is closed and replaced when inForce grows.
	inForceChanged chan struct{}
	// failingOver are the groups whose phase was not OPEN when last seen.
	failingOver map[string]bool
	// reconciledRevision and reconciledAt are the revision and time of the last round that covered
	// all groups.
	reconciledRevision uint64
	reconciledAt       time.Time
	// wakeup starts a round over all groups at once.
	wakeup chan struct{}
	wg     sync.WaitGroup
}

// Prepare initializes the leader so that ServeLease and ServeCall can be called. It must be called
// before Run.
func (l *Leader) Prepare() {
	l.wakeup = make(chan struct{}, 1)
	l.inForceChanged = make(chan struct{})
	l.reset(0, time.Time{})
}

// reset discards what was learned in another quorum term. Hosts send their release and primary
// health reports again with each renewal; instances report again in answer to each request.
func (l *Leader) reset(term uint64, elected time.Time) {
	l.term = term
	l.failingOver = map[string]bool{}
	l.reconciledRevision = 0
	l.grantor = &lease.Grantor{LeaseDuration: l.LeaseDuration, ElectedAt: elected}
	l.failovers = map[string]*group.Failover{}
	l.platformFailovers = map[string]*group.PlatformFailover{}
	l.statuses = map[string]map[string]group.InstanceStatus{}
	l.stoppedAt = map[string]time.Time{}
	l.overloadedAt = map[string]time.Time{}
	l.promotions = map[string]promotionRequest{}
	l.instanceReports = map[string]map[string]group.Report{}
	l.primaryHealth = map[string]map[string]*wire.PrimaryHealth{}
	l.released = map[string]map[string]*wire.ReleaseReport{}
	l.unavailableSince = map[string]time.Time{}
	l.probedAt = map[string]time.Time{}
	l.running = map[string]bool{}
	l.joining = map[string]*wire.Member{}
	l.roster = &roster.Planner{Options: l.QuorumOptions}
	l.resetShares(term, elected)
}

// Run reconciles until ctx ends. Once all background tasks have ended it sends nil on the returned
// channel.
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

// wake makes the next reconcile round start at once and cover all groups.
func (l *Leader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// reconcile runs one round. It covers all groups if full is set, the state has changed, or the
// last such round was fullReconcileInterval ago, and otherwise only the groups in failover.
//
// The driver's status may be slightly stale. That is safe because every decision goes through the
// log, which refuses proposals of a replaced leader.
func (l *Leader) reconcile(ctx context.Context, now time.Time, full bool) {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkLeading(st) {
		return
	}
	l.Driver.View(func(s *state.State) {
		l.grantor.RecordCommit(now, s.Revision())
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
		l.updateShares(s)
		l.removeExpiredHosts(ctx, now, s)
	})
	l.updateMembership(ctx, now, st)
	l.Meter.SetGauge("control.inforce", int64(l.inForce))
}

// advanceInForce raises the revision in force as far as hosts have confirmed, and wakes the lease
// streams. The caller holds mu.
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

// inForceChanges returns a channel that is closed when the revision in force grows.
func (l *Leader) inForceChanges() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForceChanged
}

// groupsInFailover returns the groups whose phase is not OPEN. The caller holds mu.
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

// checkLeading reports whether this host leads the quorum. It resets the leader's state if the
// term is new. The caller holds mu.
func (l *Leader) checkLeading(st driver.Status) bool {
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

// propose proposes a command to the log in the background, one at a time for each key. The caller
// holds mu.
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

// background runs fn in a goroutine unless a task with the same key is running. The caller holds
// mu.
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

// removeExpiredHosts removes hosts that have been without a lease for hostRemovalDelay. The caller
// holds mu.
func (l *Leader) removeExpiredHosts(ctx context.Context, now time.Time, s *state.State) {
	l.grantor.RemoveExcept(func(host string) bool { return s.Get(spec.Hosts, host).GetHost() != nil })
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
			// If the host joins again, the delay starts anew.
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
	return &wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveHost{Host: host, Instance: instance}}}
}
