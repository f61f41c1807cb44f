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
	// drainGrace is how long transactions may go on when a primary or a holder leaves.
	drainGrace = 2 * time.Second
	// ageKeep is how far back the ages of positions are known.
	ageKeep = 10 * time.Minute
	// followInterval is the time between two orders to follow.
	followInterval = 200 * time.Millisecond
	// admitInterval is the time between two requests to admit a new disk.
	admitInterval = 500 * time.Millisecond
	// backgroundLimit bounds a call to a backend server or to control that nobody waits for.
	backgroundLimit = time.Second
)

// pool is a group's connections, queues and positions on its holder.
type pool struct {
	h      *Holder
	group  string
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	changed  chan struct{}
	run      *wire.GroupState
	declared spec.Group
	servers  map[string]*server
	active   bool
	closed   bool
	retired  time.Time
	sealed   time.Time
	acked    token.Mark
	settled  uint64
	ages     route.Ages
	failed   bool
	works    int
	writing  int
	keyed    int
	// bound are the units of work that have a connection.
	bound map[*Work]struct{}
}

func newPool(h *Holder, group string) *pool {
	ctx, cancel := context.WithCancel(h.ctx)
	return &pool{
		h: h, group: group, ctx: ctx, cancel: cancel, changed: make(chan struct{}),
		servers: map[string]*server{}, bound: map[*Work]struct{}{}, ages: route.Ages{Keep: ageKeep},
	}
}

// update takes in the group's latest state.
func (p *pool) update(now time.Time, r *wire.Resource, instances []*wire.Resource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = time.Time{}
	p.declared = spec.ReadGroup(r.Spec)
	p.enter(now, r.Group)
	p.active = len(r.Group.Prior) == 0
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
	p.follow(now)
	p.admit(now)
	p.abort(now)
	p.expire(now)
	p.settle()
	p.noteAge(now)
	p.noteFailure(now)
	p.notify()
}

// enter takes in a new term or phase.
func (p *pool) enter(now time.Time, run *wire.GroupState) {
	old := p.run
	p.run = run
	if old.GetTerm() == run.Term && old.GetPhase() == run.Phase {
		return
	}
	if old.GetTerm() != run.Term {
		p.sealed = now
	}
	p.h.Agent.RenewNow()
	if run.Phase == wire.Phase_OPEN || run.Phase == wire.Phase_CHOSEN {
		p.raise(token.Mark{Term: run.Term, Position: run.Start})
	}
	if run.Phase == wire.Phase_OPEN {
		p.h.Meter.AddCounter("group.opened", 1)
	}
}

// abort cuts the connections to a replaced primary: no answer on them will be acknowledged,
// and a frozen server gives none.
func (p *pool) abort(now time.Time) {
	for w := range p.bound {
		if w.primary && w.term < p.run.Term && !p.lame(now) {
			w.conn.Close()
		}
	}
}

// raise moves the mark of acknowledged writes forward.
func (p *pool) raise(m token.Mark) {
	if p.acked.Before(m) {
		p.acked = m
	}
}

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
	s.limit = p.declared.Connections
}

// settle notes the position that a new holder starts from: what the primary had, after all
// holders before had stopped. No write that was acknowledged is beyond it.
func (p *pool) settle() {
	if !p.active || p.run.Phase != wire.Phase_OPEN || p.settled == p.run.Held {
		return
	}
	s := p.servers[p.run.Primary]
	if s == nil || s.settling {
		return
	}
	s.settling = true
	held, term := p.run.Held, p.run.Term
	p.background(func(ctx context.Context) {
		st, err := s.adapter.Status(ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		s.settling = false
		if err != nil || !st.Primary || st.Term != term || p.run.Term != term || p.run.Held != held {
			return
		}
		p.raise(token.Mark{Term: term, Position: st.Position})
		p.settled = held
		p.notify()
	})
}

// follow orders servers that do not follow the primary of the open term to do so.
func (p *pool) follow(now time.Time) {
	primary := p.servers[p.run.Primary]
	if p.run.Phase != wire.Phase_OPEN || primary == nil || !p.active {
		return
	}
	f := adapt.Following{Term: p.run.Term, Primary: p.run.Primary, Addr: primary.addr}
	for _, fork := range p.run.Forks {
		f.Forks = append(f.Forks, adapt.Fork{Term: fork.Term, Position: fork.Position})
	}
	for _, s := range p.servers {
		st, known := s.probe.Status()
		if s == primary || !known || (st.Term == p.run.Term && st.Following) || now.Sub(s.ordered) < followInterval {
			continue
		}
		s.ordered = now
		p.background(func(ctx context.Context) {
			if _, err := s.adapter.Follow(ctx, f); err != nil {
				p.h.Log.WithError(err).WithField("instance", s.name).Debug("order to follow failed")
			}
		})
	}
}

// admit asks control to let replicas with a new disk count again, once they hold all that
// the primary of the open term was seen to have.
func (p *pool) admit(now time.Time) {
	if !p.active || p.run.Phase != wire.Phase_OPEN || p.settled != p.run.Held {
		return
	}
	for _, s := range p.servers {
		st, known := s.probe.Status()
		if !known || !st.Following || st.Term != p.run.Term || p.run.Disks[s.name] == st.Disk {
			continue
		}
		if !p.holdsAll(st.Position) || now.Sub(s.admitted) < admitInterval {
			continue
		}
		s.admitted = now
		p.propose(&wire.Command{Body: &wire.Command_Admit{Admit: &wire.AdmitDisk{
			Group: p.group, Term: p.run.Term, Instance: s.name, Disk: st.Disk,
		}}})
	}
}

// holdsAll reports whether a position is at or past all that was acknowledged and seen.
func (p *pool) holdsAll(position uint64) bool {
	primary := p.servers[p.run.Primary]
	if primary == nil || position < p.acked.Position {
		return false
	}
	st, known := primary.probe.Status()
	return known && st.Primary && st.Term == p.run.Term && position >= st.Position
}

// propose sends a command to control in the background.
func (p *pool) propose(cmd *wire.Command) {
	p.background(func(ctx context.Context) {
		if _, err := p.h.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
			p.h.Log.WithError(err).WithField("group", p.group).Debug("command not recorded")
		}
	})
}

// background runs fn beside the pool, within backgroundLimit and no longer than the pool.
func (p *pool) background(fn func(ctx context.Context)) {
	p.h.wg.Add(1)
	go func() {
		defer p.h.wg.Done()
		ctx, cancel := context.WithTimeout(p.ctx, backgroundLimit)
		defer cancel()
		fn(ctx)
	}()
}

// noteFailure tells control at once when the primary's failure is noticed or over.
func (p *pool) noteFailure(now time.Time) {
	s := p.servers[p.run.Primary]
	failed := s != nil && s.probe.Failed(now)
	if failed != p.failed {
		p.failed = failed
		p.h.Agent.RenewNow()
	}
}

// suspect returns the primary if it counts as failed, or nil.
func (p *pool) suspect(now time.Time) *wire.PrimaryHealth {
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

// notify wakes all that wait for a change. The caller holds mu.
func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// seen takes in a status; it is called by probes.
func (p *pool) seen() {
	now := p.h.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return
	}
	p.noteAge(now)
	p.noteFailure(now)
	p.settle()
	p.notify()
}

// noteAge records what is acknowledged now, once this holder knows it.
func (p *pool) noteAge(now time.Time) {
	if p.run != nil && p.settled == p.run.Held {
		p.ages.Saw(now, p.acked.Position)
	}
}

// open opens a unit of work. The holder's mutex is held.
func (p *pool) open(w *wire.WorkRequest) *Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.works++
	return &Work{pool: p, req: w}
}

// retire stops new work for another holder. It reports true once the pool may close.
func (p *pool) retire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired.IsZero() {
		p.retired = now
		p.notify()
	}
	p.expire(now)
	return p.works == 0 || now.Sub(p.retired) > drainGrace
}

func (p *pool) retiring() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.retired.IsZero() || p.closed
}

// close ends all connections and whatever waits.
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

// doneBefore reports whether no write under a term before this one will be acknowledged. When
// the primary leaves by plan, writes in flight end first, within a grace.
func (p *pool) doneBefore(now time.Time, term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run.GetTerm() < term {
		return false
	}
	return !p.lame(now) || p.writing == 0
}

// lame reports whether writes of the sealed term may still end. The caller holds mu.
func (p *pool) lame(now time.Time) bool {
	return leaving(p.run) && now.Sub(p.sealed) < drainGrace
}

func leaving(run *wire.GroupState) bool {
	return run.GetPhase() == wire.Phase_SEALED && run.GetReason() == group.Leaving
}

// writable reports whether a write of a term may be acknowledged: the host's view decides,
// under its lease. A lease that comes back brings the changes before it, which the pool may
// not have taken in yet. The caller holds mu.
func (p *pool) writable(now time.Time, term uint64) bool {
	view, valid := p.h.Agent.LeasedView(now)
	if p.closed || !valid {
		return false
	}
	run := view.Get(spec.Groups, p.group).GetGroup()
	if run.GetTerm() == term {
		return run.GetPhase() == wire.Phase_OPEN
	}
	if run.GetTerm() != term+1 || !leaving(run) {
		return false
	}
	return p.run.Term == term || p.lame(now)
}

// replicated waits until enough servers hold a write, and notes it as acknowledged. The
// position of a replica counts only while it follows the write's own term.
func (p *pool) replicated(ctx context.Context, m token.Mark) error {
	for {
		p.mu.Lock()
		now := p.h.Now()
		if !p.writable(now, m.Term) {
			p.mu.Unlock()
			return fault.New(fault.MayHaveRun, fault.NotReplicated, "primary was replaced before a replica confirmed the write")
		}
		if p.copies(m) >= p.declared.Acks {
			p.raise(m)
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.MayHaveRun, fault.NotReplicated, "no replica confirmed the write in time")
		}
	}
}

// copies returns the number of servers that hold a write, the primary included.
func (p *pool) copies(m token.Mark) int {
	list := make([]group.Copy, 0, len(p.servers))
	for _, s := range p.servers {
		if st, known := s.probe.Status(); known {
			list = append(list, group.Copy{Name: s.name, Term: st.Term, Position: st.Position, Following: st.Following})
		}
	}
	return group.Copies(p.run.Primary, m.Term, m.Position, list)
}
