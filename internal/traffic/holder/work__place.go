package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// choose waits for a server that can take the batch, and returns it with the term that it
// was chosen in.
func (w *Work) choose(ctx context.Context, b *wire.Batch, read bool, started time.Time) (*server, uint64, error) {
	p := w.pool
	for {
		p.mu.Lock()
		now := p.h.Now()
		if err := p.servable(now); err != nil {
			p.mu.Unlock()
			return nil, 0, err
		}
		c, reason := w.pick(now, b, read, now.Sub(started))
		if c.Found {
			s, term := p.servers[c.Server], p.run.Term
			p.mu.Unlock()
			return s, term, nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(max(c.Wait, retryPause)):
		case <-ctx.Done():
			return nil, 0, fault.New(fault.NotRun, reason, "no backend server of group %s could take the request in time", p.group)
		}
	}
}

// servable reports why the pool takes no new work. The caller holds mu.
func (p *pool) servable(now time.Time) error {
	if !p.h.Agent.LeaseValid(now) {
		return fault.New(fault.NotRun, fault.NoLease, "host %s has no lease", p.h.Host)
	}
	if p.closed || !p.retired.IsZero() {
		return fault.New(fault.NotRun, fault.NotHolder, "group %s has moved to another host", p.group)
	}
	return nil
}

// pick lets routing choose. The caller holds the pool's mutex.
func (w *Work) pick(now time.Time, b *wire.Batch, read bool, waited time.Duration) (route.Choice, fault.Reason) {
	p := w.pool
	if p.settled != p.run.Held || !p.active {
		return route.Choice{}, fault.NoHolder
	}
	position, known := w.position(now, b)
	if !known {
		return route.Choice{}, fault.Behind
	}
	list := make([]route.Server, 0, len(p.servers))
	for _, s := range p.servers {
		list = append(list, s.candidate(now, p.run))
	}
	need := route.Need{Read: read, Position: position, Waited: waited}
	return p.h.Routes.Choose(need, list), fault.NoPrimary
}

// position returns the least position of a replica that may answer: all that was
// acknowledged or, for callers that may read stale data, what is young enough, but in any
// case what the session has seen. It reports false for a token of a term that is not known.
func (w *Work) position(now time.Time, b *wire.Batch) (uint64, bool) {
	p := w.pool
	own, known := token.Mark{Term: b.Term, Position: b.Position}.In(p.run)
	if !known {
		return 0, false
	}
	least, _ := p.acked.In(p.run)
	if w.req.Stale > 0 && !b.Barrier {
		if at, ok := p.ages.Least(now, time.Duration(w.req.Stale)); ok {
			least = min(least, at)
		}
	}
	return max(own, least), true
}

// attempt runs a batch on a server that was chosen in a term.
func (w *Work) attempt(ctx context.Context, s *server, term uint64, b *wire.Batch, sink Sink) (Outcome, error) {
	leave, c, err := w.admit(ctx, s)
	if err != nil {
		return Outcome{}, err
	}
	if err := w.bind(s, c, term, b.Mayread); err != nil {
		c.put(true)
		leave()
		return Outcome{}, err
	}
	if b.Mayread {
		w.countRead(b)
	}
	if b.Key != "" && w.primary {
		return w.keyed(ctx, b, sink, leave)
	}
	return w.send(ctx, b, sink, leave)
}

// countRead counts a read by the kind of server that runs it.
func (w *Work) countRead(b *wire.Batch) {
	p := w.pool
	if !w.primary {
		p.h.Meter.AddCounter("reads.replica", 1)
		return
	}
	p.h.Meter.AddCounter("reads.primary", 1)
	if p.h.PrimaryRead == nil {
		return
	}
	p.mu.Lock()
	position, _ := w.position(p.h.Now(), b)
	p.mu.Unlock()
	p.h.PrimaryRead(p.group, position)
}

// admit waits for a slot and a connection. It gives the slot back while no connection is
// free, since those who hold connections need slots to come to an end.
func (w *Work) admit(ctx context.Context, s *server) (func(), *conn, error) {
	p := w.pool
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = p.h.Now().Add(time.Hour)
	}
	for {
		leave, err := s.slot(ctx, queue.Ticket{Class: spec.Class(w.req.Class), Caller: w.req.Caller, Deadline: deadline})
		if err != nil {
			return nil, nil, err
		}
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		c, err := s.connect(ctx)
		if c != nil {
			return leave, c, nil
		}
		leave()
		if err != nil {
			return nil, nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, fault.New(fault.NotRun, fault.Deadline, "no connection to %s was free in time", s.name)
		}
	}
}

// bind takes the connection into use if what the server was chosen for still holds.
func (w *Work) bind(s *server, c *conn, term uint64, mayRead bool) error {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.h.Now()
	if err := p.servable(now); err != nil {
		return err
	}
	if p.run.Term != term || s.gone || (s.leaving && s.name != p.run.Primary) {
		return fault.New(fault.NotRun, fault.TermSealed, "group %s has another term now", p.group)
	}
	w.primary = s.name == p.run.Primary && p.run.Phase == wire.Phase_OPEN
	if !w.primary && !mayRead {
		return fault.New(fault.NotRun, fault.TermSealed, "group %s has no primary now", p.group)
	}
	w.term = term
	w.conn = c
	p.bound[w] = struct{}{}
	if w.primary && !w.writing {
		w.writing = true
		p.writing++
	}
	return nil
}
