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
	db     spec.Database
	read   bool
	idle   time.Duration
	used   time.Time
	unit   pool.Unit
	member *desk.Member
	group  *desk.Group
	wrote  bool
}

// inside runs a statement of a transaction.
func (s *Session) inside(ctx context.Context, st flow.Statement, q flow.Request, effect flow.Effect) flow.Answer {
	tx := s.tx
	if tx.unit == nil {
		if refusal, ok := s.enter(ctx, st); !ok {
			return refusal
		}
	}
	commit := st.Kind == flow.Commit
	effect = effectInside(tx, commit, effect)
	began := s.b.Now()
	for {
		now := s.b.Now()
		answer, stage, err := tx.unit.Run(tx.db.Timeout-now.Sub(began), s.values, q, commit)
		tx.used = s.b.Now()
		switch {
		case err != nil:
			return s.cut(st, flow.Judge(stage, effect, flow.OK).Code, err.Error())
		case answer.Code == flow.OK && commit:
			return s.committed(now, answer)
		case answer.Code == flow.OK:
			tx.wrote = tx.wrote || q.Writes || st.Kind == flow.Write
			return flow.Answer{Rows: answer.Rows, Proof: answer.Proof, State: flow.Open}
		case answer.Code == flow.Busy && answer.State == flow.Open && tx.used.Sub(began) < tx.db.Goal:
			s.b.Meter.AddCounter("retried.busy", 1)
			clock.Sleep(ctx, busyPause)
		default:
			return s.fail(st, answer, effect, commit)
		}
	}
}

// effectInside returns what a statement of a transaction may leave behind: only the commit
// of one that wrote leaves anything.
func effectInside(tx *transaction, commit bool, effect flow.Effect) flow.Effect {
	switch {
	case commit && tx.wrote:
		return flow.Writes
	case commit || effect == flow.Reads:
		return flow.Reads
	}
	return flow.Pending
}

// enter opens the transaction on an instance. Nothing of it has run, so it may be tried on
// several.
func (s *Session) enter(ctx context.Context, st flow.Statement) (flow.Answer, bool) {
	tx := s.tx
	a := s.attempt(s.b.Now(), tx.db, st, !tx.read)
	for a.next(ctx) {
		m, ok := a.place(ctx, s.b.Now(), tx.read)
		if !ok && a.awaits(ctx) {
			continue
		}
		if !ok {
			break
		}
		if s.open(ctx, a, m) {
			return flow.Answer{}, true
		}
	}
	s.tx = nil
	s.state = flow.Broken
	refusal := a.refuse(s.b.Now())
	refusal.State = flow.Broken
	return refusal, false
}

// open tries to open the transaction on one instance.
func (s *Session) open(ctx context.Context, a *attempt, m *desk.Member) bool {
	unit, err := m.Open(ctx, a.patience(), a.db.Rank)
	if err != nil {
		a.skip(m.Instance)
		a.failed(m, flow.Unsent, err.Error(), flow.Reads)
		return false
	}
	leads := a.leads(m)
	q := flow.Request{Op: flow.OpenWrite}
	if s.tx.read {
		q.Op = flow.OpenRead
	}
	if !leads {
		q.After = a.after
	}
	sent := s.b.Now()
	answer, _, err := unit.Run(min(setupLimit, max(time.Millisecond, a.left(sent))), s.values, q, false)
	now := s.b.Now()
	switch {
	case err != nil:
		unit.Close()
		a.skip(m.Instance)
		a.failed(m, flow.Unsent, err.Error(), flow.Reads)
		return false
	case answer.Code != flow.OK:
		unit.Release()
		a.note(now, m, answer)
		if answer.Code != flow.Behind {
			a.skip(m.Instance)
		}
		a.failed(m, flow.Answered, answer.Code.String(), flow.Reads)
		a.last = flow.Judge(flow.Answered, flow.Reads, answer.Code)
		return false
	case leads && !a.guarded && !s.b.Desk.Saw(now, sent, a.group, answer.Mark):
		pool.Undo(unit)
		a.failed(m, flow.Sent, "the primary may have been replaced meanwhile", flow.Reads)
		return false
	}
	if leads && a.guarded {
		s.b.Desk.Saw(now, sent, a.group, answer.Mark)
	}
	s.b.Meter.AddCounter("transactions."+place(leads), 1)
	s.tx.unit, s.tx.member, s.tx.group = unit, m, a.group
	return true
}

func (s *Session) committed(now time.Time, answer flow.Answer) flow.Answer {
	tx := s.tx
	if tx.wrote {
		s.marks = s.marks.With(tx.group.Name, answer.Mark)
	}
	tx.unit.Release()
	s.tx = nil
	s.state = flow.Idle
	return flow.Answer{Rows: answer.Rows, Proof: answer.Proof, State: flow.Idle}
}

// cut ends a transaction whose connection is of no more use.
func (s *Session) cut(st flow.Statement, code flow.Code, cause string) flow.Answer {
	tx := s.tx
	s.noteEnd(st, code, cause)
	tx.unit.Close()
	s.tx = nil
	s.state = flow.Broken
	if st.Kind == flow.Commit {
		s.state = flow.Idle
	}
	return flow.Refuse(code, s.state, tx.member.Instance)
}

// fail ends a transaction after an error answer. What has not been committed is rolled back,
// so nothing of it is kept.
func (s *Session) fail(st flow.Statement, answer flow.Answer, effect flow.Effect, commit bool) flow.Answer {
	tx := s.tx
	if answer.Code == flow.ReadOnly && !tx.read {
		tx.member.Deposed(s.b.Now())
	}
	code := flow.Judge(flow.Answered, effect, answer.Code).Code
	if effect != flow.Writes && !code.Promises() {
		code = flow.Aborted
	}
	s.noteEnd(st, code, answer.Code.String())
	pool.Undo(tx.unit)
	s.tx = nil
	s.state = flow.Broken
	if commit {
		s.state = flow.Idle
	}
	return flow.Refuse(code, s.state, tx.member.Instance)
}

// abandon rolls an open transaction back.
func (s *Session) abandon() {
	tx := s.tx
	s.tx = nil
	if tx != nil && tx.unit != nil {
		pool.Undo(tx.unit)
	}
}
