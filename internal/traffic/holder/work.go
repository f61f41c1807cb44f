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

// minRetryInterval is the least time between two tries of a request.
const minRetryInterval = 5 * time.Millisecond

// The states of a connection that the protocol reports.
const (
	Idle                = 'I'
	InTransaction       = 'T'
	InFailedTransaction = 'E'
)

// Outcome is what a batch left behind.
type Outcome struct {
	// Status is the state of the connection: Idle, InTransaction or InFailed.
	Status byte
	// Position is the place that the session must see from now on; zero without a commit.
	Position token.Mark
}

// Work is a unit of work: one transaction, or statements outside of one. It keeps its
// connection while a transaction is open. It is used by one goroutine, but for Cancel.
type Work struct {
	pool *pool
	req  *wire.Work

	conn            *conn
	term            uint64
	onPrimary       bool
	closed          bool
	countedAsWriter bool
	sessionDirty    bool
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
		return w.runOnBoundConn(ctx, b, sink)
	}
	return w.runWithRetry(ctx, b, sink)
}

// Close ends the work. A transaction that is open is rolled back with its connection.
func (w *Work) Close() {
	if w.conn != nil {
		w.closeConn()
	}
	if w.closed {
		return
	}
	w.closed = true
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openWorks--
	p.notify()
}

// closeConn closes the connection.
func (w *Work) closeConn() {
	w.setWriter(false)
	w.unbind().put(false)
}

// releaseConn gives the connection back, reset where statements may have changed its settings.
func (w *Work) releaseConn(ctx context.Context) {
	w.setWriter(false)
	reusable := !w.sessionDirty || w.resetSession(ctx)
	w.sessionDirty = false
	w.unbind().put(reusable)
}

// resetSession brings the connection's session back to its defaults.
func (w *Work) resetSession(ctx context.Context) bool {
	a, err := w.query(ctx, "DISCARD ALL")
	return err == nil && a.sqlState == "" && a.status == Idle
}

func (w *Work) unbind() *conn {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	c := w.conn
	w.conn = nil
	delete(w.pool.bound, w)
	return c
}

func (w *Work) setWriter(on bool) {
	if w.countedAsWriter == on {
		return
	}
	w.countedAsWriter = on
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.writers++
	} else {
		p.writers--
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

// runWithRetry runs a batch that needs a connection, on another server where the first one cannot.
func (w *Work) runWithRetry(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	p := w.pool
	started := p.h.Now()
	read := b.Mayread
	for {
		s, term, err := w.awaitServer(ctx, b, read, started)
		if err != nil {
			return Outcome{}, err
		}
		out, err := w.attempt(ctx, s, term, b, sink)
		if err == nil {
			return out, nil
		}
		e := fault.Of(err)
		if e.Verdict != fault.NotRun || !retryable(e.Reason) || ctx.Err() != nil {
			return Outcome{}, err
		}
		p.h.Meter.Retried(e.Reason)
		if e.Reason == fault.ReadOnly {
			read = false
			continue
		}
		clock.Sleep(ctx, minRetryInterval)
	}
}

// retryable reports whether a request that did not run for this reason may find a server that
// takes it.
func retryable(r fault.Reason) bool {
	switch r {
	case fault.ReadOnly, fault.Sealed, fault.NoBackend, fault.ConnectionLost:
		return true
	}
	return false
}

// runOnBoundConn runs a batch on the connection of the open transaction.
func (w *Work) runOnBoundConn(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	p := w.pool
	s := w.conn.server
	p.mu.Lock()
	replaced := w.onPrimary && !p.mayAcknowledge(p.h.Now(), w.term)
	p.mu.Unlock()
	if replaced {
		w.closeConn()
		return Outcome{}, fault.New(fault.NotRun, fault.Sealed, "primary was replaced; the transaction was rolled back").WithHint("run the transaction again")
	}
	release, err := s.acquireSlot(ctx, queue.Ticket{Class: spec.Class(w.req.Class), Caller: w.req.Caller, Pinned: true})
	if err != nil {
		w.closeConn()
		return Outcome{}, err
	}
	if b.Key != "" {
		if err := w.insertKey(ctx, b); err != nil {
			release()
			w.closeConn()
			return Outcome{}, err
		}
	}
	return w.send(ctx, b, sink, release)
}

// send passes a batch to the connection and its answer to sink. It gives the slot back as
// soon as the server has answered.
func (w *Work) send(ctx context.Context, b *wire.Batch, sink Sink, release func()) (Outcome, error) {
	w.sessionDirty = w.sessionDirty || b.Dirty
	a, err := w.exchange(ctx, b.Data, b.Expect, sink)
	release()
	if err != nil {
		w.closeConn()
		return Outcome{}, w.connectionLost(b, a, err)
	}
	if err := w.checkReadOnly(ctx, a); err != nil {
		return Outcome{}, err
	}
	if b.Barrier && a.position == (token.Mark{}) {
		a.barrier = w.pool.ackedPosition()
	}
	return w.finish(ctx, a, sink)
}
