package sess

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// transaction is an open transaction of a session. It is opened on an instance, and gets its
// connection, with the first statement after BEGIN.
type transaction struct {
	db spec.Database
	// account is the client account that the transaction runs for, or "".
	account  string
	readOnly bool
	// idleTimeout is how long the transaction may stay idle; zero or less means no limit.
	idleTimeout time.Duration
	lastUsed    time.Time
	conn        pool.Handle
	member      *topo.Member
	group       *topo.Group
	// wrote is set once a statement that writes has succeeded.
	wrote bool
}

// runInTransaction runs a statement of the open transaction. It retries a busy instance until the
// target latency of the database has passed.
func (s *Session) runInTransaction(ctx context.Context, st flow.Statement, req flow.Request, effect flow.Effect) flow.Answer {
	tx := s.tx
	if tx.readOnly && effect == flow.Writes {
		s.discardTransaction()
		s.state = flow.InFailedTransaction
		return flow.ErrorAnswer(flow.ReadOnly, s.state, "transaction is read-only")
	}
	if tx.conn == nil {
		if refusal, ok := s.openTransaction(ctx, st); !ok {
			return refusal
		}
	}
	commit := st.Kind == flow.Commit
	effect = effectInTransaction(tx, commit, effect)
	started := s.mgr.Now()
	for {
		now := s.mgr.Now()
		answer, stage, err := tx.conn.Run(tx.db.StatementTimeout-now.Sub(started), s.values, req, commit)
		tx.lastUsed = s.mgr.Now()
		switch {
		case err != nil:
			return s.endAfterConnectionLoss(st, flow.VerdictFor(stage, effect, flow.OK).Code, err.Error())
		case answer.Code == flow.OK && commit && tx.wrote && !s.mgr.Topology.MayAcknowledge(tx.lastUsed, tx.group):
			s.mgr.Meter.AddCounter("refused.revoked", 1)
			return s.endAfterConnectionLoss(st, flow.InDoubt, causeTermRevoked)
		case answer.Code == flow.OK && commit:
			return s.finishCommit(now, answer)
		case answer.Code == flow.OK:
			tx.wrote = tx.wrote || req.Writes || st.Kind == flow.Write
			return flow.Answer{Rows: answer.Rows, Proof: answer.Proof, State: flow.InTransaction}
		case answer.Code == flow.Busy && answer.State == flow.InTransaction && tx.lastUsed.Sub(started) < tx.db.TargetLatency:
			s.mgr.Meter.AddCounter("retried.busy", 1)
			clock.Sleep(ctx, busyRetryDelay)
		default:
			return s.endAfterError(st, answer, effect, commit)
		}
	}
}

// effectInTransaction returns the effect of a statement in a transaction: only the commit of a
// transaction that wrote takes effect immediately.
func effectInTransaction(tx *transaction, commit bool, effect flow.Effect) flow.Effect {
	switch {
	case commit && tx.wrote:
		return flow.Writes
	case commit || effect == flow.Reads:
		return flow.Reads
	}
	return flow.Pending
}

// openTransaction opens the transaction on an instance. No statement of it has run yet, so it can try
// several instances. It returns an error answer and false if none could open the transaction.
func (s *Session) openTransaction(ctx context.Context, st flow.Statement) (flow.Answer, bool) {
	tx := s.tx
	e := s.newExecution(s.mgr.Now(), tx.db, tx.account, st, !tx.readOnly)
	for e.nextTry(ctx) {
		m, ok := e.chooseInstance(ctx, s.mgr.Now(), tx.readOnly)
		if !ok && e.waitAndRetry(ctx) {
			continue
		}
		if !ok {
			break
		}
		if s.tryOpenOn(ctx, e, m) {
			return flow.Answer{}, true
		}
	}
	s.tx = nil
	s.state = flow.InFailedTransaction
	refusal := e.refuse(s.mgr.Now())
	refusal.State = flow.InFailedTransaction
	return refusal, false
}

// tryOpenOn tries to open the transaction on one instance and reports whether it is open. A
// read-only transaction on the primary also requires that no failover can have taken place before
// the answer; otherwise it could miss acknowledged writes. A host without a lease opens it as one
// that may write, which a replaced primary refuses.
func (s *Session) tryOpenOn(ctx context.Context, e *execution, m *topo.Member) bool {
	conn, err := m.Open(ctx, e.queueWaitLimit(), e.priority(m))
	if err != nil {
		e.exclude(m.Instance)
		e.recordFailure(m, flow.Unsent, err.Error(), flow.Reads)
		return false
	}
	onPrimary := e.isPrimary(m)
	sent := s.mgr.Now()
	req := flow.Request{Op: flow.BeginReadWriteTx}
	if s.tx.readOnly && !(onPrimary && !e.leased(sent)) {
		req.Op = flow.BeginReadOnlyTx
	}
	fenced := req.Op == flow.BeginReadWriteTx
	if !onPrimary {
		req.MinPosition = e.minPosition
	}
	answer, _, err := conn.Run(min(setupTimeout, max(time.Millisecond, e.remaining(sent))), s.values, req, false)
	now := s.mgr.Now()
	switch {
	case err == nil && answer.Code == flow.Declined:
		conn.Release()
		e.decline(m)
		return false
	case err != nil:
		conn.Close()
		e.exclude(m.Instance)
		e.recordFailure(m, flow.Unsent, err.Error(), flow.Reads)
		return false
	case answer.Code != flow.OK:
		conn.Release()
		e.recordAnswer(now, m, answer)
		if answer.Code != flow.Behind && answer.Code != flow.InDoubt {
			e.exclude(m.Instance)
		}
		if answer.Code == flow.Limited {
			e.tries = maxTries
		}
		e.recordFailure(m, flow.Answered, answer.Code.String(), flow.Reads)
		e.lastVerdict = flow.VerdictFor(flow.Answered, flow.Reads, answer.Code)
		return false
	case onPrimary && !fenced && !s.mgr.Topology.RecordPosition(now, sent, e.group, answer.Position):
		pool.Rollback(conn)
		e.recordFailure(m, flow.Sent, causePrimaryReplaced, flow.Reads)
		return false
	}
	if onPrimary && fenced {
		e.group.RecordProvenPosition(sent, answer.Position)
	}
	s.mgr.Meter.AddCounter("transactions."+roleName(onPrimary), 1)
	s.tx.conn, s.tx.member, s.tx.group = conn, m, e.group
	return true
}

// finishCommit returns the answer to a successful commit and records the position of its writes in
// the session.
func (s *Session) finishCommit(now time.Time, answer flow.Answer) flow.Answer {
	tx := s.tx
	if tx.wrote {
		s.positions = s.positions.With(tx.group.Name, answer.Position)
	}
	tx.conn.Release()
	s.tx = nil
	s.state = flow.Idle
	return flow.Answer{Rows: answer.Rows, Proof: answer.Proof, State: flow.Idle}
}

// endAfterConnectionLoss ends a transaction whose connection failed.
func (s *Session) endAfterConnectionLoss(st flow.Statement, code flow.Code, cause string) flow.Answer {
	tx := s.tx
	s.logTransactionEnd(st, code, cause)
	tx.conn.Close()
	s.tx = nil
	s.state = flow.InFailedTransaction
	if st.Kind == flow.Commit {
		s.state = flow.Idle
	}
	return flow.ErrorAnswer(code, s.state, tx.member.Instance)
}

// endAfterError ends a transaction after an error answer and rolls it back. Unless the failed
// statement is a commit of writes, or a write that may have run outside of the transaction, the caller gets a code
// that guarantees no effect.
func (s *Session) endAfterError(st flow.Statement, answer flow.Answer, effect flow.Effect, commit bool) flow.Answer {
	tx := s.tx
	if answer.Code == flow.ReadOnly && !tx.readOnly {
		tx.member.RecordWriteRefusal(s.mgr.Now())
	}
	code := flow.VerdictFor(flow.Answered, effect, answer.Code).Code
	if effect != flow.Writes && !code.GuaranteesNoEffect() && (effect == flow.Reads || code != flow.InDoubt) {
		code = flow.Aborted
	}
	s.logTransactionEnd(st, code, answer.Code.String())
	pool.Rollback(tx.conn)
	s.tx = nil
	s.state = flow.InFailedTransaction
	if commit {
		s.state = flow.Idle
	}
	return flow.ErrorAnswer(code, s.state, tx.member.Instance)
}

// discardTransaction rolls back the open transaction, if any, in the background.
func (s *Session) discardTransaction() {
	tx := s.tx
	s.tx = nil
	if tx != nil && tx.conn != nil {
		pool.Rollback(tx.conn)
	}
}
