package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

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
	harmless := !w.primary || (a.within && !b.Commits)
	if harmless && !a.passed {
		v = fault.NotRun
	}
	return fault.New(v, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
}

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
	return fault.New(fault.NotRun, fault.TermSealed, "primary refused a write, since it was replaced")
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
	if err := w.durable(ctx, a); err != nil {
		w.drop()
		return Outcome{}, err
	}
	if a.status == Idle && a.ready {
		w.release(ctx)
	}
	return out, sink(a.buf)
}

// durable waits until what the answer shows is replicated: the unit's own commit or, for a
// unit that only read at the primary, all that it can have seen. Else a read could show a
// write that a failover takes back.
func (w *Work) durable(ctx context.Context, a *reply) error {
	if a.mark != (token.Mark{}) {
		return w.pool.replicated(ctx, a.mark)
	}
	if !w.primary || a.status != Idle || !a.ready || a.code != "" {
		return nil
	}
	st, err := w.conn.s.adapter.Status(ctx)
	if err != nil || !st.Primary || st.Term != w.term {
		return fault.New(fault.MayHaveRun, fault.NotReplicated, "primary was replaced before its answer was certain to last")
	}
	return w.pool.replicated(ctx, token.Mark{Term: st.Term, Position: st.Position})
}

// codeReadOnly is the SQLSTATE of a write on a server that takes none.
const codeReadOnly = "25006"
