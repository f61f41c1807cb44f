package holder

import (
	"context"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

const (
	// drainTimeout is how long open transactions may continue after the group gets another holder
	// or its primary is replaced in a planned handover.
	drainTimeout = 2 * time.Second
	// historyRetention is how long the history of acknowledged positions is kept.
	historyRetention = 10 * time.Minute
	// followRetryInterval is the minimum time between two follow commands to a backend server.
	followRetryInterval = 200 * time.Millisecond
	// admitRetryInterval is the minimum time between two requests to admit a replica's new disk.
	admitRetryInterval = 500 * time.Millisecond
	// backgroundTimeout limits a call to a backend server or to the control leader that no request
	// waits for.
	backgroundTimeout = time.Second
)

// pool holds a group's connections, admission queues and log positions on its holder.
type pool struct {
	h      *Holder
	group  string
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below and those of servers.
	mu sync.Mutex
	// changed is closed and replaced on each change that a waiting goroutine may need.
	changed chan struct{}
	// state is the group's current state in the replicated log, and declared is its spec.
	state    *wire.GroupState
	declared spec.Group
	servers  map[string]*server
	// exclusive is set once all earlier holders have released the group.
	exclusive bool
	closed    bool
	// retiredAt is when the pool learned that another host is the holder, or zero.
	retiredAt time.Time
	// termChangedAt is when the pool learned of the current term, and phaseChangedAt of its phase.
	termChangedAt  time.Time
	phaseChangedAt time.Time
	// acked is the position up to which the group's log counts as acknowledged.
	acked token.Position
	// baseEpoch is the value of state.Held, which changes with each holder, for which the base
	// position is known (see fetchBasePosition).
	baseEpoch uint64
	// ackedHistory records acked over time, for reads with bounded staleness.
	ackedHistory route.AckedHistory
	// primaryFailed is set while the primary counts as failed.
	primaryFailed bool
	// openWorks is the number of open units of work, and writers the number of those that have a
	// connection to the primary.
	openWorks int
	writers   int
	// keyedWrites is the number of writes with an idempotency key so far.
	keyedWrites int
	// bound holds the units of work that have a connection.
	bound map[*Work]struct{}
}

func newPool(h *Holder, group string) *pool {
	ctx, cancel := context.WithCancel(h.ctx)
	return &pool{
		h: h, group: group, ctx: ctx, cancel: cancel, changed: make(chan struct{}),
		servers: map[string]*server{}, bound: map[*Work]struct{}{}, ackedHistory: route.AckedHistory{Retention: historyRetention},
	}
}

// update applies the latest state of the group and its instances.
func (p *pool) update(now time.Time, r *wire.Resource, instances []*wire.Resource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retiredAt = time.Time{}
	p.declared = spec.DecodeGroup(r.Spec)
	p.applyState(now, r.Group)
	p.exclusive = len(r.Group.Prior) == 0
	seen := map[string]bool{}
	for _, in := range instances {
		seen[in.Name] = true
		p.updateServer(in)
	}
	for name, s := range p.servers {
		if !seen[name] {
			s.close()
			delete(p.servers, name)
		}
	}
	p.sendFollowCommands(now)
	p.requestDiskAdmission(now)
	p.closeReplacedConns(now)
	p.expireQueued(now)
	p.fetchBasePosition()
	p.recordAcked(now)
	p.reportFailureChange(now)
	p.notify()
}

// applyState applies a new state of the group, with its changes of term or phase. The caller holds
// mu.
func (p *pool) applyState(now time.Time, state *wire.GroupState) {
	old := p.state
	p.state = state
	if old.GetTerm() == state.Term && old.GetPhase() == state.Phase {
		return
	}
	p.phaseChangedAt = now
	if old.GetTerm() != state.Term {
		p.termChangedAt = now
	}
	p.h.Agent.RenewNow()
	if state.Phase == wire.Phase_OPEN || state.Phase == wire.Phase_CHOSEN {
		p.advanceAcked(token.Position{Term: state.Term, Position: state.Start})
	}
	if state.Phase == wire.Phase_OPEN {
		p.h.Meter.AddCounter("group.opened", 1)
	}
}

// closeReplacedConns closes the connections to a replaced primary: its writes will not be
// acknowledged, and a hung server would never respond. In a planned handover it waits until
// writes may no longer finish.
func (p *pool) closeReplacedConns(now time.Time) {
	for w := range p.bound {
		if w.onPrimary && w.term < p.state.Term && !p.finishingWrites(now) {
			w.conn.Close()
		}
	}
}

// advanceAcked moves the acknowledged position forward to the given one, never back.
func (p *pool) advanceAcked(position token.Position) {
	if p.acked.Before(position) {
		p.acked = position
	}
}

// updateServer adds or updates a backend server. A new address or incarnation replaces it.
func (p *pool) updateServer(in *wire.Resource) {
	s := p.servers[in.Name]
	if s == nil || s.addr != in.Backend.Addr || s.incarnation != in.Backend.Instance {
		if s != nil {
			s.close()
		}
		s = newServer(p, in)
		p.servers[in.Name] = s
	}
	s.leaving = spec.Leaving(in.Spec)
	s.queue.Slots = p.declared.Slots
	s.maxConns = p.declared.Connections
}

// fetchBasePosition queries the primary for the base position, from which a new holder starts. The
// query is sent after all earlier holders have released the group, so no write that they
// acknowledged is after the returned position.
func (p *pool) fetchBasePosition() {
	if !p.exclusive || p.state.Phase != wire.Phase_OPEN || p.baseEpoch == p.state.Held {
		return
	}
	s := p.servers[p.state.Primary]
	if s == nil || s.fetchingBase {
		return
	}
	s.fetchingBase = true
	held, term := p.state.Held, p.state.Term
	p.runInBackground(func(ctx context.Context) {
		st, err := s.adapter.Status(ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		s.fetchingBase = false
		if err != nil || !st.Primary || st.Term != term || p.state.Term != term || p.state.Held != held {
			return
		}
		p.advanceAcked(token.Position{Term: term, Position: st.Position})
		p.baseEpoch = held
		p.notify()
	})
}

// sendFollowCommands tells backend servers that do not follow the primary of the open term to do so.
func (p *pool) sendFollowCommands(now time.Time) {
	primary := p.servers[p.state.Primary]
	if p.state.Phase != wire.Phase_OPEN || primary == nil || !p.exclusive {
		return
	}
	f := adapt.FollowRequest{Term: p.state.Term, Primary: p.state.Primary, Addr: primary.addr}
	for _, fork := range p.state.Forks {
		f.Forks = append(f.Forks, adapt.TermStart{Term: fork.Term, Position: fork.Position})
	}
	for _, s := range p.servers {
		st, known := s.probe.Status()
		if s == primary || !known || (st.Term == p.state.Term && st.Following) || now.Sub(s.followSentAt) < followRetryInterval {
			continue
		}
		s.followSentAt = now
		p.runInBackground(func(ctx context.Context) {
			if _, err := s.adapter.Follow(ctx, f); err != nil {
				p.h.Log.WithError(err).WithField("instance", s.name).Debug("follow command failed")
			}
		})
	}
}

// requestDiskAdmission asks the control leader to count replicas with a new disk again, once they
// hold all that the primary of the open term is known to hold.
func (p *pool) requestDiskAdmission(now time.Time) {
	if !p.exclusive || p.state.Phase != wire.Phase_OPEN || p.baseEpoch != p.state.Held {
		return
	}
	for _, s := range p.servers {
		st, known := s.probe.Status()
		if !known || !st.Following || st.Term != p.state.Term || p.state.Disks[s.name] == st.Disk {
			continue
		}
		if !p.caughtUp(st.Position) || now.Sub(s.admitRequestedAt) < admitRetryInterval {
			continue
		}
		s.admitRequestedAt = now
		p.propose(&wire.Command{Body: &wire.Command_Admit{Admit: &wire.AdmitDisk{
			Group: p.group, Term: p.state.Term, Instance: s.name, Disk: st.Disk,
		}}})
	}
}

// caughtUp reports whether a position is at or past both the acknowledged position and the
// primary's latest known one.
func (p *pool) caughtUp(position uint64) bool {
	primary := p.servers[p.state.Primary]
	if primary == nil || position < p.acked.Position {
		return false
	}
	st, known := primary.probe.Status()
	return known && st.Primary && st.Term == p.state.Term && position >= st.Position
}

// propose sends a command to the control leader in the background. Failures are only logged.
func (p *pool) propose(cmd *wire.Command) {
	p.runInBackground(func(ctx context.Context) {
		if _, err := p.h.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
			p.h.Log.WithError(err).WithField("group", p.group).Debug("control command failed")
		}
	})
}

// runInBackground runs fn in a goroutine. Its context ends after backgroundTimeout or with the
// pool.
func (p *pool) runInBackground(fn func(ctx context.Context)) {
	p.h.wg.Add(1)
	go func() {
		defer p.h.wg.Done()
		ctx, cancel := context.WithTimeout(p.ctx, backgroundTimeout)
		defer cancel()
		fn(ctx)
	}()
}

// reportFailureChange renews the lease at once when the primary starts or stops counting as
// failed, since renewals carry that report to the control leader.
func (p *pool) reportFailureChange(now time.Time) {
	failed := p.hasFailedPrimary(now)
	if failed != p.primaryFailed {
		p.primaryFailed = failed
		p.h.Agent.RenewNow()
	}
}

// hasFailedPrimary reports whether the primary counts as failed. The caller holds mu.
func (p *pool) hasFailedPrimary(now time.Time) bool {
	s := p.servers[p.state.Primary]
	if s == nil {
		return false
	}
	return s.probe.Failed(now) || p.state.Phase == wire.Phase_OPEN && s.probe.LostRole(now, p.state.Term, p.phaseChangedAt)
}

// failedPrimary returns a report on the primary if it counts as failed, or nil.
func (p *pool) failedPrimary(now time.Time) *wire.PrimaryHealth {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil || !p.hasFailedPrimary(now) {
		return nil
	}
	return &wire.PrimaryHealth{Term: p.state.Term, Primary: p.state.Primary}
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// onStatus is called by probes after each new status.
func (p *pool) onStatus() {
	now := p.h.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return
	}
	p.recordAcked(now)
	p.reportFailureChange(now)
	p.fetchBasePosition()
	p.notify()
}

// recordAcked adds the acknowledged position to the history, once the base position is known.
func (p *pool) recordAcked(now time.Time) {
	if p.state != nil && p.baseEpoch == p.state.Held {
		p.ackedHistory.Record(now, p.acked.Position)
	}
}

// newWork returns a new unit of work. The caller holds the holder's mutex.
func (p *pool) newWork(req *wire.WorkRequest) *Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openWorks++
	return &Work{pool: p, req: req}
}

// retire stops new work because another host is the holder. It reports whether the pool may close:
// its work has ended or drainTimeout has passed.
func (p *pool) retire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retiredAt.IsZero() {
		p.retiredAt = now
		p.notify()
	}
	p.expireQueued(now)
	return p.openWorks == 0 || now.Sub(p.retiredAt) > drainTimeout
}

// isRetired reports whether the pool takes no new work.
func (p *pool) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.retiredAt.IsZero() || p.closed
}

// close closes all idle connections, rejects queued requests and stops the probes.
func (p *pool) close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.servers {
		s.close()
	}
	p.notify()
}

// writesEndedBefore reports whether no more writes of terms before this one will be acknowledged.
// In a planned handover, writes in flight may finish within drainTimeout.
func (p *pool) writesEndedBefore(now time.Time, term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.GetTerm() < term {
		return false
	}
	return !p.finishingWrites(now) || p.writers == 0
}

// finishingWrites reports whether writes of the sealed term may still finish. The caller holds mu.
func (p *pool) finishingWrites(now time.Time) bool {
	return isPlannedHandover(p.state) && now.Sub(p.termChangedAt) < drainTimeout
}

// isPlannedHandover reports whether the term is sealed because its primary is draining.
func isPlannedHandover(state *wire.GroupState) bool {
	return state.GetPhase() == wire.Phase_SEALED && state.GetReason() == group.ReasonPrimaryDraining
}

// mayAcknowledge reports whether a write of a term may be acknowledged. The host's view decides,
// and only under a valid lease: a renewed lease brings the changes made before it, which the pool
// may not have applied yet. The caller holds mu.
func (p *pool) mayAcknowledge(now time.Time, term uint64) bool {
	view, valid := p.h.Agent.LeasedView(now)
	if p.closed || !valid {
		return false
	}
	state := view.Get(spec.Groups, p.group).GetGroup()
	if state.GetTerm() == term {
		return state.GetPhase() == wire.Phase_OPEN
	}
	if state.GetTerm() != term+1 || !isPlannedHandover(state) {
		return false
	}
	return p.state.Term == term || p.finishingWrites(now)
}

// awaitReplication waits until enough backend servers hold the log up to a position, and then
// counts it as acknowledged. A replica counts only while it follows the primary of the position's
// term. Errors have verdict MayHaveRun.
func (p *pool) awaitReplication(ctx context.Context, position token.Position) error {
	for {
		p.mu.Lock()
		now := p.h.Now()
		if !p.mayAcknowledge(now, position.Term) {
			p.mu.Unlock()
			return fault.New(fault.MayHaveRun, fault.NotReplicated, "primary was replaced before enough replicas confirmed the write")
		}
		if p.copyCount(position) >= p.declared.Acks {
			p.advanceAcked(position)
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.MayHaveRun, fault.NotReplicated, "not enough replicas confirmed the write in time")
		}
	}
}

// copyCount returns the number of backend servers that hold the log up to a position, including the
// primary.
func (p *pool) copyCount(position token.Position) int {
	list := make([]group.ReplicaStatus, 0, len(p.servers))
	for _, s := range p.servers {
		if st, known := s.probe.Status(); known {
			list = append(list, group.ReplicaStatus{Name: s.name, Term: st.Term, Position: st.Position, Following: st.Following})
		}
	}
	return group.CopyCount(p.state.Primary, position.Term, position.Position, list)
}
