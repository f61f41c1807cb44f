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
	// or its primary leaves as planned.
	drainTimeout = 2 * time.Second
	// historyRetention is how far back acknowledged positions are known by time.
	historyRetention = 10 * time.Minute
	// followRetryInterval is the least time between two follow commands to a backend server.
	followRetryInterval = 200 * time.Millisecond
	// admitRetryInterval is the least time between two requests to admit a replica's new disk.
	admitRetryInterval = 500 * time.Millisecond
	// backgroundTimeout limits a call to a backend server or to control that no request waits for.
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
	// run is the group's current state in control's log, and declared is its specification.
	run      *wire.GroupState
	declared spec.Group
	servers  map[string]*server
	// exclusive is set once all earlier holders have released the group.
	exclusive bool
	closed    bool
	// retiredAt is when the pool learned that another host is the holder, or zero.
	retiredAt time.Time
	// termChangedAt is when the pool learned of the current term.
	termChangedAt time.Time
	// acked is the position up to which the group's log counts as acknowledged.
	acked token.Position
	// baseEpoch is the value of run.Held, new with each holder, for which the base position is
	// known (see fetchBasePosition).
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
	p.applyRun(now, r.Group)
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
	p.orderFollow(now)
	p.requestDiskAdmission(now)
	p.closeReplacedConns(now)
	p.expireQueued(now)
	p.fetchBasePosition()
	p.recordAcked(now)
	p.reportFailureChange(now)
	p.notify()
}

// applyRun applies a change of term or phase. The caller holds mu.
func (p *pool) applyRun(now time.Time, run *wire.GroupState) {
	old := p.run
	p.run = run
	if old.GetTerm() == run.Term && old.GetPhase() == run.Phase {
		return
	}
	if old.GetTerm() != run.Term {
		p.termChangedAt = now
	}
	p.h.Agent.RenewNow()
	if run.Phase == wire.Phase_OPEN || run.Phase == wire.Phase_CHOSEN {
		p.advanceAcked(token.Position{Term: run.Term, Position: run.Start})
	}
	if run.Phase == wire.Phase_OPEN {
		p.h.Meter.AddCounter("group.opened", 1)
	}
}

// closeReplacedConns closes the connections to a replaced primary: its answers will not be
// acknowledged, and a frozen server would never answer. In a planned handover it waits until
// writes may no longer finish.
func (p *pool) closeReplacedConns(now time.Time) {
	for w := range p.bound {
		if w.onPrimary && w.term < p.run.Term && !p.finishingWrites(now) {
			w.conn.Close()
		}
	}
}

// advanceAcked moves the acknowledged position forward to m, never back.
func (p *pool) advanceAcked(m token.Position) {
	if p.acked.Before(m) {
		p.acked = m
	}
}

// updateServer adds or updates a backend server. A new address or instance ID replaces it.
func (p *pool) updateServer(in *wire.Resource) {
	s := p.servers[in.Name]
	if s == nil || s.addr != in.Backend.Addr || s.instance != in.Backend.Instance {
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

// fetchBasePosition asks the primary for the position from which a new holder starts. The question
// is sent after all earlier holders have stopped, so no write that they acknowledged is beyond the
// answer.
func (p *pool) fetchBasePosition() {
	if !p.exclusive || p.run.Phase != wire.Phase_OPEN || p.baseEpoch == p.run.Held {
		return
	}
	s := p.servers[p.run.Primary]
	if s == nil || s.fetchingBase {
		return
	}
	s.fetchingBase = true
	held, term := p.run.Held, p.run.Term
	p.runInBackground(func(ctx context.Context) {
		st, err := s.adapter.Status(ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		s.fetchingBase = false
		if err != nil || !st.Primary || st.Term != term || p.run.Term != term || p.run.Held != held {
			return
		}
		p.advanceAcked(token.Position{Term: term, Position: st.Position})
		p.baseEpoch = held
		p.notify()
	})
}

// orderFollow tells backend servers that do not follow the primary of the open term to do so.
func (p *pool) orderFollow(now time.Time) {
	primary := p.servers[p.run.Primary]
	if p.run.Phase != wire.Phase_OPEN || primary == nil || !p.exclusive {
		return
	}
	f := adapt.FollowRequest{Term: p.run.Term, Primary: p.run.Primary, Addr: primary.addr}
	for _, fork := range p.run.Forks {
		f.Forks = append(f.Forks, adapt.TermStart{Term: fork.Term, Position: fork.Position})
	}
	for _, s := range p.servers {
		st, known := s.probe.Status()
		if s == primary || !known || (st.Term == p.run.Term && st.Following) || now.Sub(s.followOrderedAt) < followRetryInterval {
			continue
		}
		s.followOrderedAt = now
		p.runInBackground(func(ctx context.Context) {
			if _, err := s.adapter.Follow(ctx, f); err != nil {
				p.h.Log.WithError(err).WithField("instance", s.name).Debug("follow command failed")
			}
		})
	}
}

// requestDiskAdmission asks control to count replicas with a new disk again, once they hold
// everything that the primary of the open term was seen to have.
func (p *pool) requestDiskAdmission(now time.Time) {
	if !p.exclusive || p.run.Phase != wire.Phase_OPEN || p.baseEpoch != p.run.Held {
		return
	}
	for _, s := range p.servers {
		st, known := s.probe.Status()
		if !known || !st.Following || st.Term != p.run.Term || p.run.Disks[s.name] == st.Disk {
			continue
		}
		if !p.holdsAllKnown(st.Position) || now.Sub(s.admitRequestedAt) < admitRetryInterval {
			continue
		}
		s.admitRequestedAt = now
		p.propose(&wire.Command{Body: &wire.Command_Admit{Admit: &wire.AdmitDisk{
			Group: p.group, Term: p.run.Term, Instance: s.name, Disk: st.Disk,
		}}})
	}
}

// holdsAllKnown reports whether a position is at or past both the acknowledged position and the
// primary's latest known one.
func (p *pool) holdsAllKnown(position uint64) bool {
	primary := p.servers[p.run.Primary]
	if primary == nil || position < p.acked.Position {
		return false
	}
	st, known := primary.probe.Status()
	return known && st.Primary && st.Term == p.run.Term && position >= st.Position
}

// propose sends a command to control in the background. Failures are only logged.
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
// failed, since renewals carry that report to control.
func (p *pool) reportFailureChange(now time.Time) {
	s := p.servers[p.run.Primary]
	failed := s != nil && s.probe.Failed(now)
	if failed != p.primaryFailed {
		p.primaryFailed = failed
		p.h.Agent.RenewNow()
	}
}

// failedPrimary returns a report on the primary if it counts as failed, or nil.
func (p *pool) failedPrimary(now time.Time) *wire.PrimaryHealth {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return nil
	}
	s := p.servers[p.run.Primary]
	if s == nil || !s.probe.Failed(now) {
		return nil
	}
	return &wire.PrimaryHealth{Term: p.run.Term, Primary: s.name}
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
	if p.run == nil {
		return
	}
	p.recordAcked(now)
	p.reportFailureChange(now)
	p.fetchBasePosition()
	p.notify()
}

// recordAcked adds the acknowledged position to the history, once the base position is known.
func (p *pool) recordAcked(now time.Time) {
	if p.run != nil && p.baseEpoch == p.run.Held {
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
// When the primary leaves as planned, writes in flight may finish within drainTimeout.
func (p *pool) writesEndedBefore(now time.Time, term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run.GetTerm() < term {
		return false
	}
	return !p.finishingWrites(now) || p.writers == 0
}

// finishingWrites reports whether writes of the sealed term may still finish. The caller holds mu.
func (p *pool) finishingWrites(now time.Time) bool {
	return isPlannedHandover(p.run) && now.Sub(p.termChangedAt) < drainTimeout
}

// isPlannedHandover reports whether the term is sealed because its primary leaves as planned.
func isPlannedHandover(run *wire.GroupState) bool {
	return run.GetPhase() == wire.Phase_SEALED && run.GetReason() == group.ReasonPrimaryDraining
}

// mayAcknowledge reports whether a write of a term may be acknowledged. The host's view decides,
// and only under a valid lease: a renewed lease brings the changes made before it, which the pool
// may not have applied yet. The caller holds mu.
func (p *pool) mayAcknowledge(now time.Time, term uint64) bool {
	view, valid := p.h.Agent.LeasedView(now)
	if p.closed || !valid {
		return false
	}
	run := view.Get(spec.Groups, p.group).GetGroup()
	if run.GetTerm() == term {
		return run.GetPhase() == wire.Phase_OPEN
	}
	if run.GetTerm() != term+1 || !isPlannedHandover(run) {
		return false
	}
	return p.run.Term == term || p.finishingWrites(now)
}

// awaitReplication waits until enough backend servers hold the log up to m, and then counts m as
// acknowledged. A replica counts only while it follows the primary of m's term. Errors have
// verdict MayHaveRun.
func (p *pool) awaitReplication(ctx context.Context, m token.Position) error {
	for {
		p.mu.Lock()
		now := p.h.Now()
		if !p.mayAcknowledge(now, m.Term) {
			p.mu.Unlock()
			return fault.New(fault.MayHaveRun, fault.NotReplicated, "primary was replaced before enough replicas confirmed the write")
		}
		if p.copyCount(m) >= p.declared.Acks {
			p.advanceAcked(m)
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

// copyCount returns the number of backend servers that hold the log up to m, including the
// primary.
func (p *pool) copyCount(m token.Position) int {
	list := make([]group.ReplicaStatus, 0, len(p.servers))
	for _, s := range p.servers {
		if st, known := s.probe.Status(); known {
			list = append(list, group.ReplicaStatus{Name: s.name, Term: st.Term, Position: st.Position, Following: st.Following})
		}
	}
	return group.CopyCount(p.run.Primary, m.Term, m.Position, list)
}
