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

// minRetryInterval is the minimum time between two attempts at a request.
const minRetryInterval = 5 * time.Millisecond

// Transaction states of a connection, as the PostgreSQL protocol reports them.
const (
	Idle                = 'I'
	InTransaction       = 'T'
	InFailedTransaction = 'E'
)

// Outcome is the result of a batch.
type Outcome struct {
	// Status is the state of the connection: Idle, InTransaction or InFailedTransaction.
	Status byte
	// Position is the log position that the session must see from now on. It is zero without a
	// commit or a barrier.
	Position token.Position
}

// Work is a unit of work: one transaction, or statements outside a transaction. It keeps its
// connection while a transaction is open. One goroutine at a time may use it, except for Cancel.
type Work struct {
	pool *pool
	req  *wire.WorkRequest

	// conn is nil while the unit has no connection. term is the term in which it was bound, and
	// onPrimary is set if the server was that term's primary.
	conn      *conn
	term      uint64
	onPrimary bool
	closed    bool
	// countedAsWriter is set while pool.writers includes this unit.
	countedAsWriter bool
	// sessionDirty is set once statements may have changed the connection's settings.
	sessionDirty bool
}

// Sink receives parts of a response, as whole PostgreSQL protocol messages. It must not retain the
// slice.
type Sink func([]byte) error

// Run runs a batch and passes the response to sink. An error with verdict NotRun means that nothing
// was passed to sink and nothing took effect; an open transaction was rolled back.
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

// Close ends the unit of work. An open transaction is rolled back by closing its connection.
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

// closeConn closes the connection, which rolls back its open transaction.
func (w *Work) closeConn() {
	w.setWriter(false)
	w.unbind().put(false)
}

// releaseConn returns the connection for reuse, with its session reset if statements may have
// changed its settings.
func (w *Work) releaseConn(ctx context.Context) {
	w.setWriter(false)
	reusable := !w.sessionDirty || w.resetSession(ctx)
	w.sessionDirty = false
	w.unbind().put(reusable)
}

// resetSession restores the default settings of the connection's session. It reports whether that
// worked.
func (w *Work) resetSession(ctx context.Context) bool {
	r, err := w.query(ctx, "DISCARD ALL", "DISCARD")
	return err == nil && r.sqlState == "" && r.status == Idle
}

// unbind detaches the connection from the unit of work and returns it.
func (w *Work) unbind() *conn {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	c := w.conn
	w.conn = nil
	delete(w.pool.bound, w)
	return c
}

// setWriter adds the unit to the pool's count of writers or removes it.
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

// Cancel asks the backend server to cancel the running statement. The request may arrive after the
// statement has ended, so the connection is not reused for other work.
func (w *Work) Cancel(ctx context.Context) {
	w.pool.mu.Lock()
	c := w.conn
	if c != nil {
		c.canceled = true
	}
	w.pool.mu.Unlock()
	if c != nil {
		_ = c.ServerConn.Cancel(ctx)
	}
}

// runWithRetry runs a batch on a connection that it acquires. It retries, possibly on another
// server, if a server did not run the batch.
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
		e := fault.From(err)
		if e.Verdict != fault.NotRun || !retryable(e.Reason) || ctx.Err() != nil {
			return Outcome{}, err
		}
		p.h.Meter.CountRetry(e.Reason)
		if e.Reason == fault.ReadOnly {
			read = false
			continue
		}
		clock.Sleep(ctx, minRetryInterval)
	}
}

// retryable reports whether another attempt may succeed after a request did not run for this
// reason.
func retryable(r fault.Reason) bool {
	switch r {
	case fault.ReadOnly, fault.TermSealed, fault.NoBackend, fault.ConnectionLost:
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
		return Outcome{}, fault.New(fault.NotRun, fault.TermSealed, "primary was replaced; the transaction was rolled back").WithHint("retry the transaction")
	}
	release, err := s.acquireSlot(ctx, queue.Ticket{Class: spec.Class(w.req.Class), Caller: w.req.Caller, InTransaction: true})
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

// send sends a batch and passes the response to sink. It releases the admission slot as soon as the
// response is complete.
func (w *Work) send(ctx context.Context, b *wire.Batch, sink Sink, release func()) (Outcome, error) {
	w.sessionDirty = w.sessionDirty || b.Dirty
	r, err := w.exchange(ctx, b, sink)
	release()
	if err != nil {
		w.closeConn()
		return Outcome{}, w.connectionLost(b, r, err)
	}
	if err := w.checkReadOnly(ctx, r); err != nil {
		return Outcome{}, err
	}
	if b.Barrier && r.position == (token.Position{}) {
		r.barrier = w.pool.ackedPosition()
	}
	return w.finish(ctx, r, sink)
}
