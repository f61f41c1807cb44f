// Package sess provides callers' sessions: session values, prepared statements, transactions, and
// the routing of each statement to an instance, with retries.
package sess

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

const (
	// readAnswerTimeout is how long a read waits at least for an answer before another instance is tried. It
	// is well above the longest execution time behind a full queue, unless statements are slow.
	readAnswerTimeout = 450 * time.Millisecond
	// slowAnswerFactor is the number of mean answer times that a read waits at least for an answer.
	slowAnswerFactor = 3
	// busyRetryDelay is the delay before a busy instance is retried.
	busyRetryDelay = 8 * time.Millisecond
	// catchUpPollInterval is the interval between checks of whether a replica has caught up.
	catchUpPollInterval = 25 * time.Millisecond
	// maxTries is the maximum number of tries of one statement.
	maxTries = 8
	// setupTimeout limits setting session values and opening a transaction, which need no admission
	// slot.
	setupTimeout = 400 * time.Millisecond
	// minQueueWait is the lower bound on how long a statement may wait for a connection.
	minQueueWait = 100 * time.Millisecond
	// queueWaitDivisor divides the target latency; a statement may wait for its admission slot for the
	// result. The rest is for execution and for the network to and from the caller.
	queueWaitDivisor = 2
	// positionRefreshDivisor divides the maximum staleness of a database; a position older than the
	// result is refreshed.
	positionRefreshDivisor = 3
)

// Manager opens sessions and holds what the sessions of a host share. The exported fields are set
// before the first session is opened.
type Manager struct {
	Topology *topo.Topology
	Costs    route.Costs
	// Placer, if set, chooses among instances whose lenders report their load; others are chosen by Costs.
	Placer *even.Placer
	Log    *logs.Logger
	// LogBudget limits the rate of log lines about requests.
	LogBudget *logs.RateLimiter
	Meter     *meter.Meter
	// Now returns the current time. Tests may replace it.
	Now func() time.Time
}

// Session is the session of one caller connection. It is not safe for concurrent use.
type Session struct {
	mgr *Manager
	// database is the name of the database that the caller connected to.
	database string
	// key is the digest of the caller's key; empty if no key was needed when the session was opened.
	key      spec.KeyDigest
	values   flow.Values
	prepared map[string]prepared
	// positions holds the log positions of the session's own writes.
	positions token.Token
	state     flow.State
	tx        *transaction
}

// prepared is a prepared statement.
type prepared struct {
	template string
	writes   bool
}

// Open opens a session on a database for a caller with a key, which may be empty. Its code is flow.OK, or
// the reason why there is no session: flow.NoDatabase if no such database is declared, and flow.Denied if
// the database needs the key of a client account and this is none.
func (m *Manager) Open(database, key string) (*Session, flow.Code) {
	snapshot := m.Topology.Snapshot()
	db, ok := snapshot.Databases[database]
	if !ok {
		return nil, flow.NoDatabase
	}
	s := &Session{mgr: m, database: database, prepared: map[string]prepared{}}
	if key != "" {
		s.key = spec.DigestOf(key)
	}
	if _, ok := snapshot.AccountOf(db, s.key); !ok {
		return nil, flow.Denied
	}
	return s, flow.OK
}

// State returns the transaction state of the session.
func (s *Session) State() flow.State { return s.state }

// RunLocal runs a statement that needs no instance, such as a Set or Begin. It reports false for
// other statements, which must be passed to Run.
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

// invalidStatement returns the error answer to a statement that is invalid or not allowed now.
func (s *Session) invalidStatement(text string) flow.Answer {
	return flow.ErrorAnswer(flow.Invalid, s.state, text)
}

// rejectCommit answers a commit when no transaction is open or the open one has failed.
func (s *Session) rejectCommit() flow.Answer {
	if s.state == flow.Idle {
		return s.invalidStatement("no transaction is open")
	}
	s.state = flow.Idle
	return flow.ErrorAnswer(flow.Aborted, s.state, "transaction had failed and was rolled back")
}

// begin starts a transaction. No instance is involved before its first statement.
func (s *Session) begin(now time.Time, readOnly bool) flow.Answer {
	if s.state != flow.Idle {
		return s.invalidStatement("a transaction is open already")
	}
	snapshot := s.mgr.Topology.Snapshot()
	db, ok := snapshot.Databases[s.database]
	if !ok {
		return flow.ErrorAnswer(flow.NoDatabase, flow.Idle, s.database)
	}
	account, ok := snapshot.AccountOf(db, s.key)
	if !ok {
		return s.deny()
	}
	s.tx = &transaction{db: db, account: account, readOnly: readOnly, lastUsed: now, idleTimeout: snapshot.TxIdleLimit}
	s.state = flow.InTransaction
	return flow.SuccessAnswer(flow.InTransaction)
}

// rollback answers a rollback statement.
func (s *Session) rollback() flow.Answer {
	if s.state == flow.Idle {
		return s.invalidStatement("no transaction is open")
	}
	s.discardTransaction()
	s.state = flow.Idle
	return flow.SuccessAnswer(flow.Idle)
}

// Run runs a statement for which RunLocal reported false.
func (s *Session) Run(ctx context.Context, st flow.Statement) flow.Answer {
	req, effect, refusal := s.buildRequest(st)
	if refusal != nil {
		return *refusal
	}
	started := s.mgr.Now()
	consistency := s.mgr.Topology.Snapshot().Databases[s.database].Consistency
	run := s.runAutocommit
	if s.state == flow.InTransaction {
		run = s.runInTransaction
	}
	a := run(ctx, st, req, effect)
	s.mgr.Meter.RecordDuration("latency."+string(consistency)+"."+a.Code.String(), s.mgr.Now().Sub(started))
	return a
}

// buildRequest returns the request to an instance and the effect that the statement has outside of a
// transaction, or an error answer if no prepared statement has the given name.
func (s *Session) buildRequest(st flow.Statement) (flow.Request, flow.Effect, *flow.Answer) {
	req := flow.Request{Op: flow.Forward, ID: st.ID, Text: st.Text, Writes: st.Kind == flow.Write || st.Kind == flow.Commit}
	switch st.Kind {
	case flow.Write:
		return req, flow.Writes, nil
	case flow.Exec:
		p, ok := s.prepared[st.Name]
		if !ok {
			a := flow.ErrorAnswer(flow.NoStatement, s.state, st.Name)
			return req, flow.Reads, &a
		}
		req = flow.Request{Op: flow.ExecPrepared, ID: st.ID, Text: st.Args, Template: p.template, Writes: p.writes}
		if p.writes {
			return req, flow.Writes, nil
		}
	}
	return req, flow.Reads, nil
}

// Timeout returns the time limit of the session's next statement.
func (s *Session) Timeout() time.Duration {
	if s.tx != nil {
		return s.tx.db.StatementTimeout
	}
	return s.mgr.Topology.Snapshot().Databases[s.database].StatementTimeout
}

// Refuse returns the answer to a statement that is not started, because the host shuts down. An open
// transaction is rolled back.
func (s *Session) Refuse(st flow.Statement) flow.Answer {
	if s.state != flow.Idle {
		s.discardTransaction()
		s.state = flow.InFailedTransaction
		if st.Kind == flow.Commit || st.Kind == flow.Rollback {
			s.state = flow.Idle
		}
	}
	return flow.ErrorAnswer(flow.Busy, s.state, "host is shutting down")
}

// AnswerIfAbandoned returns the answer to a statement, passed to Run later, if that does not end in time:
// what is certain of a statement that may have been sent.
func (s *Session) AnswerIfAbandoned(st flow.Statement) flow.Answer {
	_, effect, _ := s.buildRequest(st)
	state := flow.Idle
	if s.tx != nil {
		commit := st.Kind == flow.Commit
		effect = effectInTransaction(s.tx, commit, effect)
		if !commit {
			state = flow.InFailedTransaction
		}
	}
	return flow.ErrorAnswer(flow.VerdictFor(flow.Sent, effect, flow.OK).Code, state, "host is shutting down")
}

// ExpireTransaction rolls back a transaction that has exceeded its idle timeout. The next statement
// fails and tells the caller.
func (s *Session) ExpireTransaction(now time.Time) {
	if s.tx == nil || s.tx.idleTimeout <= 0 || now.Sub(s.tx.lastUsed) < s.tx.idleTimeout {
		return
	}
	s.mgr.Meter.AddCounter("transactions.expired", 1)
	s.discardTransaction()
	s.tx = nil
	s.state = flow.InFailedTransaction
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() { s.discardTransaction() }
