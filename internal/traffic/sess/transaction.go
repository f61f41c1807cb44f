package sess

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// transaction is an open transaction of a session. It has a connection from its first
// statement on.
type transaction struct {
	db          spec.Database
	readOnly    bool
	idleTimeout time.Duration
	lastUsed    time.Time
	conn        pool.Unit
	member      *desk.Member
	group       *desk.Group
	wrote       bool
}

// runInTransaction runs a statement of a transaction.
func (s *Session) runInTransaction(ctx context.Context, st flow.Statement, q flow.Request, effect flow.Effect) flow.Answer {
	tx := s.tx
	if tx.conn == nil {
		if refusal, ok := s.openTransaction(ctx, st); !ok {
			return refusal
		}
	}
	commit := st.Kind == flow.Commit
	effect = effectInTransaction(tx, commit, effect)
	began := s.mgr.Now()
	for {
		now := s.mgr.Now()
		answer, stage, err := tx.conn.Run(tx.db.Timeout-now.Sub(began), s.values, q, commit)
		tx.lastUsed = s.mgr.Now()
		switch {
		case err != nil:
			return s.endAfterConnectionLoss(st, flow.VerdictFor(stage, effect, flow.OK).Code, err.Error())
		case answer.Code == flow.OK && commit:
			return s.finishCommit(now, answer)
		case answer.Code == flow.OK:
			tx.wrote = tx.wrote || q.Writes || st.Kind == flow.Write
			return flow.Answer{Rows: answer.Rows, Proof: answer.Proof, State: flow.InTransaction}
		case answer.Code == flow.Busy && answer.State == flow.InTransaction && tx.lastUsed.Sub(began) < tx.db.Goal:
			s.mgr.Meter.Add("retried.busy", 1)
			clock.Sleep(ctx, busyRetryDelay)
		default:
			return s.endAfterError(st, answer, effect, commit)
		}
	}
}

// effectInTransaction returns what a statement of a transaction may leave behind: only the commit
// of one that wrote leaves anything.
func effectInTransaction(tx *transaction, commit bool, effect flow.Effect) flow.Effect {
	switch {
	case commit && tx.wrote:
		return flow.Writes
	case commit || effect == flow.Reads:
		return flow.Reads
	}
	return flow.Pending
}

// openTransaction opens the transaction on an instance. Nothing of it has run, so it may be tried on
// several.
func (s *Session) openTransaction(ctx context.Context, st flow.Statement) (flow.Answer, bool) {
	tx := s.tx
	a := s.newExecution(s.mgr.Now(), tx.db, st, !tx.readOnly)
	for a.nextTry(ctx) {
		m, ok := a.chooseInstance(ctx, s.mgr.Now(), tx.readOnly)
		if !ok && a.waitAndRetry(ctx) {
			continue
		}
		if !ok {
			break
		}
		if s.tryOpenOn(ctx, a, m) {
			return flow.Answer{}, true
		}
	}
	s.tx = nil
	s.state = flow.InFailedTransaction
	refusal := a.refuse(s.mgr.Now())
	refusal.State = flow.InFailedTransaction
	return refusal, false
}

// tryOpenOn tries to open the transaction on one instance.
func (s *Session) tryOpenOn(ctx context.Context, a *execution, m *desk.Member) bool {
	unit, err := m.Open(ctx, a.queueWaitLimit(), a.db.Rank)
	if err != nil {
		a.exclude(m.Instance)
		a.recordFailure(m, flow.Unsent, err.Error(), flow.Reads)
		return false
	}
	leads := a.isPrimary(m)
	q := flow.Request{Op: flow.BeginReadWriteTx}
	if s.tx.readOnly {
		q.Op = flow.BeginReadOnlyTx
	}
	if !leads {
		q.MinPosition = a.minPosition
	}
	sent := s.mgr.Now()
	answer, _, err := unit.Run(min(setupTimeout, max(time.Millisecond, a.remaining(sent))), s.values, q, false)
	now := s.mgr.Now()
	switch {
	case err != nil:
		unit.Close()
		a.exclude(m.Instance)
		a.recordFailure(m, flow.Unsent, err.Error(), flow.Reads)
		return false
	case answer.Code != flow.OK:
		unit.Release()
		a.recordAnswer(now, m, answer)
		if answer.Code != flow.Behind {
			a.exclude(m.Instance)
		}
		a.recordFailure(m, flow.Answered, answer.Code.String(), flow.Reads)
		a.lastVerdict = flow.VerdictFor(flow.Answered, flow.Reads, answer.Code)
		return false
	case leads && !a.fenced && !s.mgr.Desk.Saw(now, sent, a.group, answer.Position):
		pool.Undo(unit)
		a.recordFailure(m, flow.Sent, "the primary may have been replaced meanwhile", flow.Reads)
		return false
	}
	if leads && a.fenced {
		s.mgr.Desk.Saw(now, sent, a.group, answer.Position)
	}
	s.mgr.Meter.Add("transactions."+roleName(leads), 1)
	s.tx.conn, s.tx.member, s.tx.group = unit, m, a.group
	return true
}

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

// endAfterConnectionLoss ends a transaction whose connection is of no more use.
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

// endAfterError ends a transaction after an error answer. What has not been committed is rolled back,
// so nothing of it is kept.
func (s *Session) endAfterError(st flow.Statement, answer flow.Answer, effect flow.Effect, commit bool) flow.Answer {
	tx := s.tx
	if answer.Code == flow.ReadOnly && !tx.readOnly {
		tx.member.Deposed(s.mgr.Now())
	}
	code := flow.VerdictFor(flow.Answered, effect, answer.Code).Code
	if effect != flow.Writes && !code.GuaranteesNoEffect() {
		code = flow.Aborted
	}
	s.logTransactionEnd(st, code, answer.Code.String())
	pool.Undo(tx.conn)
	s.tx = nil
	s.state = flow.InFailedTransaction
	if commit {
		s.state = flow.Idle
	}
	return flow.ErrorAnswer(code, s.state, tx.member.Instance)
}

// discardTransaction rolls an open transaction back.
func (s *Session) discardTransaction() {
	tx := s.tx
	s.tx = nil
	if tx != nil && tx.conn != nil {
		pool.Undo(tx.conn)
	}
}
