package sess

import (
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// Entitled reports whether the session may still use its database: its caller's key has not been taken away,
// or none is needed. Statements to a database that is no longer declared have an answer of their own. It does not use what only the goroutine of a running statement may use.
func (s *Session) Entitled() bool {
	snapshot := s.mgr.Topology.Snapshot()
	if snapshot.Accounts == nil {
		return true
	}
	db, declared := snapshot.Databases[s.database]
	_, ok := snapshot.AccountOf(db, s.key)
	return ok || !declared
}

// Revoke returns the answer to a statement of a session that is no longer entitled, and rolls back its open
// transaction. The session must not be used for further statements.
func (s *Session) Revoke(st flow.Statement) flow.Answer {
	if s.state == flow.Idle {
		return s.deny()
	}
	s.RollBackRevoked()
	if st.Kind == flow.Rollback {
		return s.rollback()
	}
	s.state = flow.InFailedTransaction
	if st.Kind == flow.Commit {
		s.state = flow.Idle
	}
	return flow.ErrorAnswer(flow.Aborted, s.state, "key is not valid any more; transaction was rolled back")
}

// RollBackRevoked rolls back the open transaction of a session that is no longer entitled.
func (s *Session) RollBackRevoked() {
	if s.tx != nil {
		s.mgr.Meter.AddCounter("transactions.revoked", 1)
		s.discardTransaction()
		s.state = flow.InFailedTransaction
	}
}

// LeaveAccount rolls back the open transaction if the caller's key has moved to another client account since
// its start: its connection belongs to the former one. It returns the answer to the statement and true if
// it has done so.
func (s *Session) LeaveAccount(st flow.Statement) (flow.Answer, bool) {
	if s.tx == nil {
		return flow.Answer{}, false
	}
	if account, ok := s.mgr.Topology.Snapshot().AccountOf(s.tx.db, s.key); !ok || account == s.tx.account {
		return flow.Answer{}, false
	}
	return s.Revoke(st), true
}

// deny returns the answer to a statement of a caller without a valid key.
func (s *Session) deny() flow.Answer {
	s.mgr.Meter.AddCounter("refused.denied", 1)
	return flow.ErrorAnswer(flow.Denied, s.state, s.database)
}
