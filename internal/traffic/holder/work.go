package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
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
	req  *wire.WorkRequest

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

// Cancel asks the backend server to cancel what runs. The request may reach the server after
// the statement has ended, so the connection serves nobody else.
func (w *Work) Cancel(ctx context.Context) {
	w.pool.mu.Lock()
	c := w.conn
	if c != nil {
		c.canceled = true
	}
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
		e := fault.From(err)
		if e.Verdict != fault.NotRun || !again(e.Reason) || ctx.Err() != nil {
			return Outcome{}, err
		}
		p.h.Meter.CountRetry(e.Reason)
		if e.Reason == fault.ReadOnly {
			read = false
			continue
		}
		clock.Sleep(ctx, retryPause)
	}
}

// again reports whether a request that did not run for this reason may find a server that
// takes it.
func again(r fault.Reason) bool {
	switch r {
	case fault.ReadOnly, fault.TermSealed, fault.NoBackend, fault.ConnectionLost:
		return true
	}
	return false
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
		return Outcome{}, fault.New(fault.NotRun, fault.TermSealed, "primary was replaced; the transaction was rolled back").WithHint("run the transaction again")
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
