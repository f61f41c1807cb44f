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
	// EventTry is a try that failed.
	EventTry = "try failed"
	// EventRefused is a statement that was given up.
	EventRefused = "request refused"
	// EventCut is a transaction whose connection was lost, or that was refused inside.
	EventCut = "transaction ended"
	// EventServed is a statement that was answered; a sample of them is logged.
	EventServed = "request served"
)

// NewBudget returns the budget of a host's lines about requests. A line costs about 10 us
// and 400 bytes.
func NewBudget() *logs.RateLimiter { return &logs.RateLimiter{PerSecond: 50, Burst: 200} }

// note writes a line about a request within the budget.
func (b *Broker) note(now time.Time, event string, fields log.Fields) {
	skipped, ok := b.Lines.Allow(now)
	if !ok {
		b.Meter.AddCounter("log.skipped", 1)
		return
	}
	if skipped > 0 {
		fields["skipped"] = skipped
	}
	b.Log.WithFields(fields).Info(event)
}

// noteTry tells of a failed try.
func (a *attempt) noteTry(now time.Time, m *desk.Member, stage flow.Stage, cause string) {
	a.s.b.note(now, EventTry, log.Fields{
		"request": a.id, "database": a.db.Name, "group": a.db.Group, "instance": m.Instance, "stage": stage.String(), "cause": cause,
		"try": a.tries, "needed": a.after.Position, "term": a.group.Term, "took": now.Sub(a.began).String(),
	})
}

// noteRefusal tells of a statement that was given up.
func (a *attempt) noteRefusal(now time.Time, code flow.Code) {
	d := a.s.b.Desk
	a.s.b.note(now, EventRefused, log.Fields{
		"request": a.id, "database": a.db.Name, "group": a.db.Group, "code": code.String(), "tries": a.tries, "took": now.Sub(a.began).String(),
		"term": a.group.Term, "open": a.group.Open, "primary": a.group.Primary, "leased": d.Agent.LeaseValid(now), "number": d.Plan().Number,
		"positionage": a.group.PositionAge(now).String(),
	})
}

// noteServed tells of a sampled statement that was answered.
func (a *attempt) noteServed(now time.Time, m *desk.Member) {
	if !logs.Sampled(a.id) {
		return
	}
	a.s.b.note(now, EventServed, log.Fields{
		"request": a.id, "database": a.db.Name, "group": a.db.Group, "instance": m.Instance, "try": a.tries,
		"needed": a.after.Position, "term": a.group.Term, "took": now.Sub(a.began).String(),
	})
}

// noteEnd tells of a transaction that was cut or refused inside.
func (s *Session) noteEnd(st flow.Statement, code flow.Code, cause string) {
	tx := s.tx
	now := s.b.Now()
	s.b.Meter.AddCounter("refused."+code.String(), 1)
	s.b.note(now, EventCut, log.Fields{
		"request": st.ID, "kind": st.Kind.String(), "database": tx.db.Name, "group": tx.db.Group, "instance": tx.member.Instance,
		"code": code.String(), "cause": cause, "wrote": tx.wrote, "term": tx.group.Term,
	})
}
