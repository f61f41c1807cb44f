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

// awaitServer waits for a server that can run the batch, and returns it with the term in which it
// was chosen.
func (w *Work) awaitServer(ctx context.Context, b *wire.Batch, read bool, started time.Time) (*server, uint64, error) {
	p := w.pool
	for {
		p.mu.Lock()
		now := p.h.Now()
		if err := p.checkServable(now); err != nil {
			p.mu.Unlock()
			return nil, 0, err
		}
		c, reason := w.chooseServer(now, b, read, now.Sub(started))
		if c.Found {
			s, term := p.servers[c.Server], p.state.Term
			p.mu.Unlock()
			return s, term, nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(max(c.Wait, minRetryInterval)):
		case <-ctx.Done():
			return nil, 0, fault.New(fault.NotRun, reason, "no backend server of group %s could take the request in time", p.group)
		}
	}
}

// checkServable returns an error if the pool takes no new work. The caller holds mu.
func (p *pool) checkServable(now time.Time) error {
	if !p.h.Agent.LeaseValid(now) {
		return fault.New(fault.NotRun, fault.NoLease, "host %s has no valid lease", p.h.Host)
	}
	if p.closed || !p.retiredAt.IsZero() {
		return fault.New(fault.NotRun, fault.NotHolder, "group %s has moved to another host", p.group)
	}
	return nil
}

// chooseServer returns the server that routing chooses. If there is none, the reason says what is
// missing. The caller holds the pool's mutex.
func (w *Work) chooseServer(now time.Time, b *wire.Batch, read bool, waited time.Duration) (route.Choice, fault.Reason) {
	p := w.pool
	if p.baseEpoch != p.state.Held || !p.exclusive {
		return route.Choice{}, fault.NoHolder
	}
	position, known := w.requiredPosition(now, b)
	if !known {
		return route.Choice{}, fault.Behind
	}
	list := make([]route.Server, 0, len(p.servers))
	for _, s := range p.servers {
		list = append(list, s.routeCandidate(now, p.state))
	}
	routeReq := route.Request{Read: read, MinPosition: position, Waited: waited}
	return p.h.Routing.Choose(routeReq, list), fault.NoPrimary
}

// requiredPosition returns the position that a replica must have reached to run the batch. That is
// the acknowledged position or, for callers that allow bounded staleness, a recent enough earlier
// one, but never less than the position that the session has seen. It reports false if the session
// has seen a term that this host does not know yet. The caller holds the pool's mutex.
func (w *Work) requiredPosition(now time.Time, b *wire.Batch) (uint64, bool) {
	p := w.pool
	sessionPosition, known := token.Position{Term: b.Term, Position: b.Position}.Resolve(p.state)
	if !known {
		return 0, false
	}
	minPosition, _ := p.acked.Resolve(p.state)
	if w.req.Stale > 0 && !b.Barrier {
		if stalePosition, ok := p.ackedHistory.MinPosition(now, time.Duration(w.req.Stale)); ok {
			minPosition = min(minPosition, stalePosition)
		}
	}
	return max(sessionPosition, minPosition), true
}

// attempt runs a batch on a server that was chosen in a term.
func (w *Work) attempt(ctx context.Context, s *server, term uint64, b *wire.Batch, sink Sink) (Outcome, error) {
	release, c, err := w.acquireConn(ctx, s)
	if err != nil {
		return Outcome{}, err
	}
	if err := w.bind(s, c, term, b.Mayread); err != nil {
		c.put(true)
		release()
		return Outcome{}, err
	}
	if b.Mayread {
		w.countRead(b)
	}
	if b.Key != "" && w.onPrimary {
		return w.runKeyed(ctx, b, sink, release)
	}
	return w.send(ctx, b, sink, release)
}

// countRead counts a read as served by the primary or by a replica.
func (w *Work) countRead(b *wire.Batch) {
	p := w.pool
	if !w.onPrimary {
		p.h.Meter.AddCounter("reads.replica", 1)
		return
	}
	p.h.Meter.AddCounter("reads.primary", 1)
	if p.h.OnPrimaryRead == nil {
		return
	}
	p.mu.Lock()
	position, _ := w.requiredPosition(p.h.Now(), b)
	p.mu.Unlock()
	p.h.OnPrimaryRead(p.group, position)
}

// acquireConn waits for an admission slot and a connection. It releases the slot while no connection
// is free, since the requests that have connections need slots to finish.
func (w *Work) acquireConn(ctx context.Context, s *server) (func(), *conn, error) {
	p := w.pool
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = p.h.Now().Add(time.Hour)
	}
	for {
		release, err := s.acquireSlot(ctx, queue.Ticket{Class: spec.Class(w.req.Class), Caller: w.req.Caller, Deadline: deadline})
		if err != nil {
			return nil, nil, err
		}
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		c, err := s.getConn(ctx)
		if c != nil {
			return release, c, nil
		}
		release()
		if err != nil {
			return nil, nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, fault.New(fault.NotRun, fault.Deadline, "no connection to backend server %s was free in time", s.name)
		}
	}
}

// bind attaches the connection to the unit of work, unless the group has changed since the server
// was chosen.
func (w *Work) bind(s *server, c *conn, term uint64, mayRead bool) error {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.h.Now()
	if err := p.checkServable(now); err != nil {
		return err
	}
	if p.state.Term != term || s.closed || (s.leaving && s.name != p.state.Primary) {
		return fault.New(fault.NotRun, fault.TermSealed, "term of group %s or its backend servers changed before the request ran", p.group)
	}
	w.onPrimary = s.name == p.state.Primary && p.state.Phase == wire.Phase_OPEN
	if !w.onPrimary && !mayRead {
		return fault.New(fault.NotRun, fault.TermSealed, "group %s currently has no primary", p.group)
	}
	w.term = term
	w.conn = c
	p.bound[w] = struct{}{}
	if w.onPrimary && !w.countedAsWriter {
		w.countedAsWriter = true
		p.writers++
	}
	return nil
}
