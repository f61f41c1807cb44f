package sess

import (
	"time"

	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// Log messages about requests. Package story (the explain command) looks for them in logs.
const (
	// EventTryFailed is a failed try of a statement at one instance.
	EventTryFailed = "try failed"
	// EventRefused is a statement that failed after all its tries.
	EventRefused = "request refused"
	// EventTransactionEnded is a transaction that ended because of a lost connection or an error answer.
	EventTransactionEnded = "transaction ended"
	// EventCallerLeft is a statement whose caller closed the connection before the answer, for
	// instance because its deadline had passed.
	EventCallerLeft = "caller left"
	// EventServed is a successful statement; only a sample of these is logged.
	EventServed = "request served"
)

// NewLogBudget returns the rate limit of a host's log lines about requests: 50 lines per second, 200
// in a burst. A line costs about 10 µs and 400 bytes.
func NewLogBudget() *logs.RateLimiter { return &logs.RateLimiter{PerSecond: 50, Burst: 200} }

// logRequest logs an event of a request, unless the log budget is used up.
func (m *Manager) logRequest(now time.Time, event string, fields log.Fields) {
	skipped, ok := m.LogBudget.Allow(now)
	if !ok {
		m.Meter.AddCounter("log.skipped", 1)
		return
	}
	if skipped > 0 {
		fields["skipped"] = skipped
	}
	m.Log.WithFields(fields).Info(event)
}

// logFailedTry logs a failed try.
func (e *execution) logFailedTry(now time.Time, m *topo.Member, stage flow.Stage, cause string) {
	e.session.mgr.logRequest(now, EventTryFailed, e.placementFields(log.Fields{
		"request": e.requestID, "database": e.db.Name, "group": e.db.Group, "instance": m.Instance, "stage": stage.String(), "cause": cause,
		"try": e.tries, "needed": e.minPosition.Position, "reached": m.ReachedPosition().Position, "term": e.group.Term, "took": now.Sub(e.started).String(), "viewage": e.session.mgr.Topology.Agent.ViewAge(now),
	}))
}

// logRefusal logs a statement that failed after its last try.
func (e *execution) logRefusal(now time.Time, code flow.Code) {
	topology := e.session.mgr.Topology
	e.session.mgr.logRequest(now, EventRefused, log.Fields{
		"leavein": e.primaryLeavesIn(now),
		"request": e.requestID, "database": e.db.Name, "group": e.db.Group, "code": code.String(), "tries": e.tries, "took": now.Sub(e.started).String(),
		"term": e.group.Term, "open": e.group.Open, "primary": e.group.Primary, "leased": topology.Agent.LeaseValid(now), "number": topology.Snapshot().ManifestNumber,
		"positionage": e.group.PositionAge(now).String(), "viewage": e.session.mgr.Topology.Agent.ViewAge(now),
	})
}

// primaryLeavesIn returns how long the primary may still get new requests, negative after its deadline,
// as text for log lines; "" if it is not leaving.
func (e *execution) primaryLeavesIn(now time.Time) string {
	primary := e.group.Member(e.group.Primary)
	if primary == nil {
		return ""
	}
	deadline, leaving := primary.LeaveDeadline()
	if !leaving {
		return ""
	}
	return deadline.Sub(now).String()
}

// logServed logs a successful statement if it belongs to the sample.
func (e *execution) logServed(now time.Time, m *topo.Member) {
	if !logs.Sampled(e.requestID) {
		return
	}
	e.session.mgr.logRequest(now, EventServed, e.placementFields(log.Fields{
		"request": e.requestID, "database": e.db.Name, "group": e.db.Group, "instance": m.Instance, "try": e.tries,
		"needed": e.minPosition.Position, "term": e.group.Term, "took": now.Sub(e.started).String(), "viewage": e.session.mgr.Topology.Agent.ViewAge(now),
	}))
}

// CallerLeft counts and logs a statement, started at started, whose caller closed the connection before
// the answer.
func (s *Session) CallerLeft(now, started time.Time, st flow.Statement) {
	s.mgr.Meter.AddCounter("callers.left", 1)
	group := s.mgr.Topology.Snapshot().Databases[s.database].Group
	s.mgr.logRequest(now, EventCallerLeft, log.Fields{
		"request": st.ID, "kind": st.Kind.String(), "database": s.database, "group": group, "code": "left", "took": now.Sub(started).String(),
	})
}

// logTransactionEnd logs and counts a transaction that ended with an error.
func (s *Session) logTransactionEnd(st flow.Statement, code flow.Code, cause string) {
	tx := s.tx
	now := s.mgr.Now()
	s.mgr.Meter.AddCounter("refused."+code.String(), 1)
	s.mgr.logRequest(now, EventTransactionEnded, log.Fields{
		"request": st.ID, "kind": st.Kind.String(), "database": tx.db.Name, "group": tx.db.Group, "instance": tx.member.Instance,
		"code": code.String(), "cause": cause, "wrote": tx.wrote, "term": tx.group.Term,
	})
}
