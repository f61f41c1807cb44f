package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// ackedPosition returns the position up to which the group's log is acknowledged.
func (p *pool) ackedPosition() token.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acked
}

// connectionLost returns the error for a connection that was lost before the response was complete.
// Reads on a replica have no effect, and neither does what was not sent or a transaction whose commit was
// not sent: the verdict is NotRun then, unless part of the response was forwarded.
func (w *Work) connectionLost(b *wire.Batch, r *reply, err error) error {
	verdict := fault.MayHaveRun
	noEffect := r.unsent || !w.onPrimary || (r.inTransaction && !r.unsynced && !b.Commits)
	if noEffect && !r.forwarded {
		verdict = fault.NotRun
	}
	return fault.New(verdict, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
}

// checkReadOnly returns a retryable error if the server rejected a write as read-only, outside a
// transaction and before any part of the response was forwarded. A primary's rejection is retryable
// only if the primary turns out to have been replaced; otherwise the caller gets its error.
func (w *Work) checkReadOnly(ctx context.Context, r *reply) error {
	if r.sqlState != sqlStateReadOnly || r.forwarded || r.inTransaction || r.status != Idle {
		return nil
	}
	s := w.conn.server
	if !w.onPrimary {
		w.releaseConn(ctx)
		return fault.New(fault.NotRun, fault.ReadOnly, "replica rejected a write")
	}
	if !w.awaitReplacement(ctx, s) {
		return nil
	}
	w.releaseConn(ctx)
	return fault.New(fault.NotRun, fault.TermSealed, "primary rejected a write because it was replaced")
}

// replacementTimeout limits the wait for confirmation that a server which rejected a write is no
// longer the primary.
const replacementTimeout = 100 * time.Millisecond

// awaitReplacement waits for confirmation that the server is no longer the primary of the unit's
// term, and reports whether it came.
func (w *Work) awaitReplacement(ctx context.Context, s *server) bool {
	p := w.pool
	timeout := time.After(replacementTimeout)
	for {
		p.mu.Lock()
		st, known := s.probe.Status()
		replaced := p.state.Term != w.term || !known || !st.Primary || st.Term != w.term
		changed := p.changed
		p.mu.Unlock()
		if replaced {
			return true
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// finish waits until a commit is replicated, forwards the rest of the response and releases the
// connection unless a transaction is open.
func (w *Work) finish(ctx context.Context, r *reply, sink Sink) (Outcome, error) {
	out := Outcome{Status: r.status, Position: r.position}
	if r.barrier != (token.Position{}) {
		out.Position = r.barrier
	}
	if err := w.awaitDurable(ctx, r); err != nil {
		w.closeConn()
		return Outcome{}, err
	}
	if r.status == Idle && r.ready {
		w.releaseConn(ctx)
	}
	return out, sink(r.buf)
}

// awaitDurable waits until all data that the response depends on is replicated: the unit's own
// commit or, for a unit that only read on the primary, everything that it may have read. Otherwise
// a read could return a write that is lost in a failover.
func (w *Work) awaitDurable(ctx context.Context, r *reply) error {
	if r.position != (token.Position{}) {
		return w.pool.awaitReplication(ctx, r.position)
	}
	if !w.onPrimary || r.status != Idle || !r.ready || r.sqlState != "" {
		return nil
	}
	st, err := w.conn.server.adapter.Status(ctx)
	if err != nil || !st.Primary || st.Term != w.term {
		return fault.New(fault.MayHaveRun, fault.NotReplicated, "primary was replaced before the data it returned was confirmed as replicated")
	}
	return w.pool.awaitReplication(ctx, token.Position{Term: st.Term, Position: st.Position})
}

// sqlStateReadOnly is the SQLSTATE of a write rejected by a read-only server.
const sqlStateReadOnly = "25006"
