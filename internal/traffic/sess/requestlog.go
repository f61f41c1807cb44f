package sess

import (
	"time"

	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// The events of requests, as they stand in log lines. Package story tells them.
const (
	// EventTryFailed is a try that failed.
	EventTryFailed = "try failed"
	// EventRefused is a statement that was given up.
	EventRefused = "request refused"
	// EventTransactionEnded is a transaction whose connection was lost, or that was refused inside.
	EventTransactionEnded = "transaction ended"
	// EventServed is a statement that was answered; a sample of them is logged.
	EventServed = "request served"
)

// NewLogBudget returns the budget of a host's lines about requests. A line costs about 10 us
// and 400 bytes.
func NewLogBudget() *logs.Budget { return &logs.Budget{PerSecond: 50, Burst: 200} }

// logRequest writes a line about a request within the budget.
func (b *Manager) logRequest(now time.Time, event string, fields log.Fields) {
	skipped, ok := b.LogBudget.Allow(now)
	if !ok {
		b.Meter.Add("log.skipped", 1)
		return
	}
	if skipped > 0 {
		fields["skipped"] = skipped
	}
	b.Log.WithFields(fields).Info(event)
}

// logFailedTry tells of a failed try.
func (a *execution) logFailedTry(now time.Time, m *desk.Member, stage flow.Stage, cause string) {
	a.session.mgr.logRequest(now, EventTryFailed, log.Fields{
		"request": a.requestID, "database": a.db.Name, "group": a.db.Group, "instance": m.Instance, "stage": stage.String(), "cause": cause,
		"try": a.tries, "needed": a.minPosition.Position, "term": a.group.Term, "took": now.Sub(a.started).String(),
	})
}

// logRefusal tells of a statement that was given up.
func (a *execution) logRefusal(now time.Time, code flow.Code) {
	d := a.session.mgr.Desk
	a.session.mgr.logRequest(now, EventRefused, log.Fields{
		"request": a.requestID, "database": a.db.Name, "group": a.db.Group, "code": code.String(), "tries": a.tries, "took": now.Sub(a.started).String(),
		"term": a.group.Term, "open": a.group.Open, "primary": a.group.Primary, "leased": d.Agent.Valid(now), "number": d.Plan().Number,
		"positionage": a.group.PositionAge(now).String(),
	})
}

// logServed tells of a sampled statement that was answered.
func (a *execution) logServed(now time.Time, m *desk.Member) {
	if !logs.Sampled(a.requestID) {
		return
	}
	a.session.mgr.logRequest(now, EventServed, log.Fields{
		"request": a.requestID, "database": a.db.Name, "group": a.db.Group, "instance": m.Instance, "try": a.tries,
		"needed": a.minPosition.Position, "term": a.group.Term, "took": now.Sub(a.started).String(),
	})
}

// logTransactionEnd tells of a transaction that was cut or refused inside.
func (s *Session) logTransactionEnd(st flow.Statement, code flow.Code, cause string) {
	tx := s.tx
	now := s.mgr.Now()
	s.mgr.Meter.Add("refused."+code.String(), 1)
	s.mgr.logRequest(now, EventTransactionEnded, log.Fields{
		"request": st.ID, "kind": st.Kind.String(), "database": tx.db.Name, "group": tx.db.Group, "instance": tx.member.Instance,
		"code": code.String(), "cause": cause, "wrote": tx.wrote, "term": tx.group.Term,
	})
}
