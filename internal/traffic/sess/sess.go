// Package sess provides sessions: what a caller has set and prepared, its transactions, and
// the way of each of its statements to an instance and back.
package sess

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

const (
	// readAnswerTimeout is how long a read waits for an answer before another instance is asked:
	// well over the longest work behind a full queue.
	readAnswerTimeout = 450 * time.Millisecond
	// busyRetryDelay is the time before a full instance is asked again.
	busyRetryDelay = 8 * time.Millisecond
	// catchUpPollInterval is the time between two looks at replicas that lack a position.
	catchUpPollInterval = 25 * time.Millisecond
	// maxTries bounds the tries of one statement.
	maxTries = 8
	// setupTimeout bounds the setting of session values and the opening of a transaction, which
	// take no slot.
	setupTimeout = 400 * time.Millisecond
	// minQueueWait is the least time that a statement may wait for a connection.
	minQueueWait = 100 * time.Millisecond
	// queueWaitDivisor is the part of the time that callers expect that a statement may wait for its
	// slot; the rest is for the statement itself and for the way to the caller and back.
	queueWaitDivisor = 2
	// positionRefreshDivisor is the part of the age that a read allows after which a position is renewed.
	positionRefreshDivisor = 3
)

// Manager is what the sessions of a host share. The exported fields are set before the first
// session.
type Manager struct {
	Desk  *desk.Desk
	Costs route.Costs
	Log   *logs.Logger
	// LogBudget bounds the log lines about requests.
	LogBudget *logs.Budget
	Meter     *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
}

// Session is one caller's session. It is used by one goroutine at a time.
type Session struct {
	mgr *Manager
	// database is the name that the caller connected to.
	database  string
	values    flow.Values
	prepared  map[string]prepared
	positions token.Token
	state     flow.State
	tx        *transaction
}

type prepared struct {
	template string
	writes   bool
}

// Open returns a session on a database. It reports false where no such database is declared.
func (b *Manager) Open(database string) (*Session, bool) {
	if _, ok := b.Desk.Plan().Databases[database]; !ok {
		return nil, false
	}
	return &Session{mgr: b, database: database, prepared: map[string]prepared{}}, true
}

// State returns the state of the session.
func (s *Session) State() flow.State { return s.state }

// RunLocal answers a statement that needs no instance. It reports false for others.
func (s *Session) RunLocal(now time.Time, st flow.Statement) (flow.Answer, bool) {
	if s.state == flow.InFailedTransaction && st.Kind != flow.Rollback && st.Kind != flow.Commit {
		return s.invalidStatement("transaction has failed and must be ended"), true
	}
	switch st.Kind {
	case flow.Malformed:
		return s.invalidStatement("statement is not known"), true
	case flow.Set:
		s.values = s.values.With(st.Name, st.Value)
	case flow.Prepare:
		s.prepared[st.Name] = prepared{st.Template, st.Writes}
	case flow.Deallocate:
		if _, ok := s.prepared[st.Name]; !ok {
			return flow.ErrorAnswer(flow.NoStatement, s.state, st.Name), true
		}
		delete(s.prepared, st.Name)
	case flow.Begin, flow.BeginRead:
		return s.begin(now, st.Kind == flow.BeginRead), true
	case flow.Rollback:
		return s.rollback(), true
	case flow.Commit:
		if s.state != flow.InTransaction {
			return s.rejectCommit(), true
		}
		return flow.Answer{}, false
	default:
		return flow.Answer{}, false
	}
	return flow.SuccessAnswer(s.state), true
}

func (s *Session) invalidStatement(text string) flow.Answer {
	return flow.ErrorAnswer(flow.Invalid, s.state, text)
}

// rejectCommit answers a commit outside of a good transaction.
func (s *Session) rejectCommit() flow.Answer {
	if s.state == flow.Idle {
		return s.invalidStatement("no transaction is open")
	}
	s.state = flow.Idle
	return flow.ErrorAnswer(flow.Aborted, s.state, "transaction had failed and was rolled back")
}

func (s *Session) begin(now time.Time, read bool) flow.Answer {
	if s.state != flow.Idle {
		return s.invalidStatement("a transaction is open already")
	}
	plan := s.mgr.Desk.Plan()
	db, ok := plan.Databases[s.database]
	if !ok {
		return flow.ErrorAnswer(flow.NoDatabase, flow.Idle, s.database)
	}
	s.tx = &transaction{db: db, readOnly: read, lastUsed: now, idleTimeout: plan.Idle}
	s.state = flow.InTransaction
	return flow.SuccessAnswer(flow.InTransaction)
}

func (s *Session) rollback() flow.Answer {
	if s.state == flow.Idle {
		return s.invalidStatement("no transaction is open")
	}
	s.discardTransaction()
	s.state = flow.Idle
	return flow.SuccessAnswer(flow.Idle)
}

// Run answers a statement that Local does not.
func (s *Session) Run(ctx context.Context, st flow.Statement) flow.Answer {
	q, effect, refusal := s.buildRequest(st)
	if refusal != nil {
		return *refusal
	}
	began := s.mgr.Now()
	reads := s.mgr.Desk.Plan().Databases[s.database].Reads
	run := s.runAutocommit
	if s.state == flow.InTransaction {
		run = s.runInTransaction
	}
	a := run(ctx, st, q, effect)
	s.mgr.Meter.Time("latency."+string(reads)+"."+a.Code.String(), s.mgr.Now().Sub(began))
	return a
}

// buildRequest returns what is asked of an instance, and what a single statement may leave behind.
func (s *Session) buildRequest(st flow.Statement) (flow.Request, flow.Effect, *flow.Answer) {
	q := flow.Request{Op: flow.Forward, ID: st.ID, Text: st.Text, Writes: st.Kind == flow.Write || st.Kind == flow.Commit}
	switch st.Kind {
	case flow.Write:
		return q, flow.Writes, nil
	case flow.Exec:
		p, ok := s.prepared[st.Name]
		if !ok {
			a := flow.ErrorAnswer(flow.NoStatement, s.state, st.Name)
			return q, flow.Reads, &a
		}
		q = flow.Request{Op: flow.ExecPrepared, ID: st.ID, Text: st.Args, Template: p.template, Writes: p.writes}
		if p.writes {
			return q, flow.Writes, nil
		}
	}
	return q, flow.Reads, nil
}

// ExpireTransaction ends a transaction that has rested for longer than its limit allows. The next
// statement is told.
func (s *Session) ExpireTransaction(now time.Time) {
	if s.tx == nil || s.tx.idleTimeout <= 0 || now.Sub(s.tx.lastUsed) < s.tx.idleTimeout {
		return
	}
	s.mgr.Meter.Add("transactions.expired", 1)
	s.discardTransaction()
	s.tx = nil
	s.state = flow.InFailedTransaction
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() { s.discardTransaction() }
