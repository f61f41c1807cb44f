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

// retryPause is the least time between two tries of a request.
const retryPause = 5 * time.Millisecond

// The states of a connection that the protocol reports.
const (
	Idle          = 'I'
	InTransaction = 'T'
	InFailed      = 'E'
)

// Outcome is what a batch left behind.
type Outcome struct {
	// Status is the state of the connection: Idle, InTransaction or InFailed.
	Status byte
	// Mark is the place that the session must see from now on; zero without a commit.
	Mark token.Mark
}

// Work is a unit of work: one transaction, or statements outside of one. It keeps its
// connection while a transaction is open. It is used by one goroutine, but for Cancel.
type Work struct {
	pool *pool
	req  *wire.Work

	conn    *conn
	term    uint64
	primary bool
	ended   bool
	writing bool
	dirty   bool
}

// Sink takes pieces of an answer. It must not keep them.
type Sink func([]byte) error

// Run runs a batch and passes the answer to sink. An error with verdict NotRun has passed
// nothing on and left no effect; the transaction that was open, if any, is rolled back.
func (w *Work) Run(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	if b.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(b.Timeout))
		defer cancel()
	}
	if w.conn != nil {
		return w.pinned(ctx, b, sink)
	}
	return w.fresh(ctx, b, sink)
}

// Close ends the work. A transaction that is open is rolled back with its connection.
func (w *Work) Close() {
	if w.conn != nil {
		w.drop()
	}
	if w.ended {
		return
	}
	w.ended = true
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.works--
	p.notify()
}

// drop closes the connection.
func (w *Work) drop() {
	w.setWriting(false)
	w.unbind().put(false)
}

// release gives the connection back, reset where statements may have changed its settings.
func (w *Work) release(ctx context.Context) {
	w.setWriting(false)
	whole := !w.dirty || w.reset(ctx)
	w.dirty = false
	w.unbind().put(whole)
}

// reset brings the connection's session back to its defaults.
func (w *Work) reset(ctx context.Context) bool {
	a, err := w.command(ctx, "DISCARD ALL")
	return err == nil && a.code == "" && a.status == Idle
}

func (w *Work) unbind() *conn {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	c := w.conn
	w.conn = nil
	delete(w.pool.bound, w)
	return c
}

func (w *Work) setWriting(on bool) {
	if w.writing == on {
		return
	}
	w.writing = on
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.writing++
	} else {
		p.writing--
	}
	p.notify()
}

// Cancel asks the backend server to cancel what runs.
func (w *Work) Cancel(ctx context.Context) {
	w.pool.mu.Lock()
	c := w.conn
	w.pool.mu.Unlock()
	if c != nil {
		_ = c.Link.Cancel(ctx)
	}
}

// fresh runs a batch that needs a connection, on another server where the first one cannot.
func (w *Work) fresh(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	p := w.pool
	started := p.h.Now()
	read := b.Mayread
	for {
		s, term, err := w.choose(ctx, b, read, started)
		if err != nil {
			return Outcome{}, err
		}
		out, err := w.attempt(ctx, s, term, b, sink)
		if err == nil {
			return out, nil
		}
		e := fault.Of(err)
		if e.Verdict != fault.NotRun || !again(e.Reason) || ctx.Err() != nil {
			return Outcome{}, err
		}
		p.h.Meter.Retried(e.Reason)
		if e.Reason == fault.ReadOnly {
			read = false
			continue
		}
		pause(ctx, retryPause)
	}
}

// again reports whether a request that did not run for this reason may find a server that
// takes it.
func again(r fault.Reason) bool {
	switch r {
	case fault.ReadOnly, fault.Sealed, fault.NoBackend, fault.ConnectionLost:
		return true
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

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
	if !p.h.Agent.Valid(now) {
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
		p.h.Meter.Add("reads.replica", 1)
		return
	}
	p.h.Meter.Add("reads.primary", 1)
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
		return fault.New(fault.NotRun, fault.Sealed, "group %s has another term now", p.group)
	}
	w.primary = s.name == p.run.Primary && p.run.Phase == wire.Phase_OPEN
	if !w.primary && !mayRead {
		return fault.New(fault.NotRun, fault.Sealed, "group %s has no primary now", p.group)
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

// pinned runs a batch on the connection of the open transaction.
func (w *Work) pinned(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	p := w.pool
	s := w.conn.s
	p.mu.Lock()
	replaced := w.primary && !p.writable(p.h.Now(), w.term)
	p.mu.Unlock()
	if replaced {
		w.drop()
		return Outcome{}, fault.New(fault.NotRun, fault.Sealed, "primary was replaced; the transaction was rolled back").WithHint("run the transaction again")
	}
	leave, err := s.slot(ctx, queue.Ticket{Class: spec.Class(w.req.Class), Caller: w.req.Caller, Pinned: true})
	if err != nil {
		w.drop()
		return Outcome{}, err
	}
	if b.Key != "" {
		if err := w.insertKey(ctx, b); err != nil {
			leave()
			w.drop()
			return Outcome{}, err
		}
	}
	return w.send(ctx, b, sink, leave)
}

// send passes a batch to the connection and its answer to sink. It gives the slot back as
// soon as the server has answered.
func (w *Work) send(ctx context.Context, b *wire.Batch, sink Sink, leave func()) (Outcome, error) {
	w.dirty = w.dirty || b.Dirty
	a, err := w.exchange(ctx, b.Data, b.Expect, sink)
	leave()
	if err != nil {
		w.drop()
		return Outcome{}, w.lost(b, a, err)
	}
	if err := w.refused(ctx, a); err != nil {
		return Outcome{}, err
	}
	if b.Barrier && a.mark == (token.Mark{}) {
		a.barrier = w.pool.barrier()
	}
	return w.settle(ctx, a, sink)
}

// barrier returns the mark of all that was acknowledged in the group.
func (p *pool) barrier() token.Mark {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acked
}

// lost returns the error for a connection that ended before the answer did. Reads on a
// replica leave no effect, and neither does a transaction whose commit was not sent.
func (w *Work) lost(b *wire.Batch, a *reply, err error) error {
	v := fault.MayHaveRun
	harmless := !w.primary || (w.inTransaction(a) && !b.Commits)
	if harmless && !a.passed {
		v = fault.NotRun
	}
	return fault.New(v, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
}

// inTransaction reports whether the batch was sent into an open transaction.
func (w *Work) inTransaction(a *reply) bool { return a.within }

// refused turns a server's word that it takes no writes into an error to try again, where the
// batch was not inside a transaction and nothing was passed on.
func (w *Work) refused(ctx context.Context, a *reply) error {
	if a.code != codeReadOnly || a.passed || a.within || a.status != Idle {
		return nil
	}
	s := w.conn.s
	if !w.primary {
		w.release(ctx)
		return fault.New(fault.NotRun, fault.ReadOnly, "replica refused a write")
	}
	if !w.replacedSoon(ctx, s) {
		return nil
	}
	w.release(ctx)
	return fault.New(fault.NotRun, fault.Sealed, "primary refused a write, since it was replaced")
}

// replacedWait is how long to wait for the news that a server which refused a write is not
// the primary any more.
const replacedWait = 100 * time.Millisecond

// replacedSoon reports whether the server turns out not to be the primary of the term.
func (w *Work) replacedSoon(ctx context.Context, s *server) bool {
	p := w.pool
	limit := time.After(replacedWait)
	for {
		p.mu.Lock()
		st, known := s.probe.Status()
		gone := p.run.Term != w.term || !known || !st.Primary || st.Term != w.term
		changed := p.changed
		p.mu.Unlock()
		if gone {
			return true
		}
		select {
		case <-changed:
		case <-limit:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// settle waits until a commit is replicated, passes the answer on and gives the connection
// back unless a transaction is open.
func (w *Work) settle(ctx context.Context, a *reply, sink Sink) (Outcome, error) {
	out := Outcome{Status: a.status, Mark: a.mark}
	if a.barrier != (token.Mark{}) {
		out.Mark = a.barrier
	}
	if a.mark != (token.Mark{}) {
		if err := w.pool.replicated(ctx, a.mark); err != nil {
			w.drop()
			return Outcome{}, err
		}
	}
	if a.status == Idle && a.ready {
		w.release(ctx)
	}
	return out, sink(a.buf)
}

// errorCode is the SQLSTATE of a write on a server that takes none.
const codeReadOnly = "25006"
