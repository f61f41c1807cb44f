package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// ackedPosition returns the mark of all that was acknowledged in the group.
func (p *pool) ackedPosition() token.Mark {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acked
}

// connectionLost returns the error for a connection that ended before the answer did. Reads on a
// replica leave no effect, and neither does a transaction whose commit was not sent.
func (w *Work) connectionLost(b *wire.Batch, a *reply, err error) error {
	verdict := fault.MayHaveRun
	harmless := !w.onPrimary || (a.inTransaction && !b.Commits)
	if harmless && !a.forwarded {
		verdict = fault.NotRun
	}
	return fault.New(verdict, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
}

// checkReadOnly turns a server's word that it takes no writes into an error to try again, where the
// batch was not inside a transaction and nothing was passed on.
func (w *Work) checkReadOnly(ctx context.Context, a *reply) error {
	if a.sqlState != sqlStateReadOnly || a.forwarded || a.inTransaction || a.status != Idle {
		return nil
	}
	s := w.conn.server
	if !w.onPrimary {
		w.releaseConn(ctx)
		return fault.New(fault.NotRun, fault.ReadOnly, "replica refused a write")
	}
	if !w.awaitReplacement(ctx, s) {
		return nil
	}
	w.releaseConn(ctx)
	return fault.New(fault.NotRun, fault.Sealed, "primary refused a write, since it was replaced")
}

// replacementTimeout is how long to wait for the news that a server which refused a write is not
// the primary any more.
const replacementTimeout = 100 * time.Millisecond

// awaitReplacement reports whether the server turns out not to be the primary of the term.
func (w *Work) awaitReplacement(ctx context.Context, s *server) bool {
	p := w.pool
	timeout := time.After(replacementTimeout)
	for {
		p.mu.Lock()
		st, known := s.probe.Status()
		replaced := p.run.Term != w.term || !known || !st.Primary || st.Term != w.term
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

// finish waits until a commit is replicated, passes the answer on and gives the connection
// back unless a transaction is open.
func (w *Work) finish(ctx context.Context, a *reply, sink Sink) (Outcome, error) {
	out := Outcome{Status: a.status, Position: a.position}
	if a.barrier != (token.Mark{}) {
		out.Position = a.barrier
	}
	if err := w.awaitDurable(ctx, a); err != nil {
		w.closeConn()
		return Outcome{}, err
	}
	if a.status == Idle && a.ready {
		w.releaseConn(ctx)
	}
	return out, sink(a.buf)
}

// awaitDurable waits until what the answer shows is replicated: the unit's own commit or, for a
// unit that only read at the primary, all that it can have seen. Else a read could show a
// write that a failover takes back.
func (w *Work) awaitDurable(ctx context.Context, a *reply) error {
	if a.position != (token.Mark{}) {
		return w.pool.awaitReplication(ctx, a.position)
	}
	if !w.onPrimary || a.status != Idle || !a.ready || a.sqlState != "" {
		return nil
	}
	st, err := w.conn.server.adapter.Status(ctx)
	if err != nil || !st.Primary || st.Term != w.term {
		return fault.New(fault.MayHaveRun, fault.NotReplicated, "primary was replaced before its answer was certain to last")
	}
	return w.pool.awaitReplication(ctx, token.Mark{Term: st.Term, Position: st.Position})
}

// sqlStateReadOnly is the SQLSTATE of a write on a server that takes none.
const sqlStateReadOnly = "25006"
