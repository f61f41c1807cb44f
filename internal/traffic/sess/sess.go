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
	// readSilence is how long a read waits for an answer before another instance is asked:
	// well over the longest work behind a full queue.
	readSilence = 450 * time.Millisecond
	// busyPause is the time before a full instance is asked again.
	busyPause = 8 * time.Millisecond
	// catchUpPause is the time between two looks at replicas that lack a position.
	catchUpPause = 25 * time.Millisecond
	// maxTries bounds the tries of one statement.
	maxTries = 8
	// setupLimit bounds the setting of session values and the opening of a transaction, which
	// take no slot.
	setupLimit = 400 * time.Millisecond
	// leastWait is the least time that a statement may wait for a connection.
	leastWait = 100 * time.Millisecond
	// waitShare is the part of the time that callers expect that a statement may wait for its
	// slot; the rest is for the statement itself and for the way to the caller and back.
	waitShare = 2
	// renewShare is the part of the age that a read allows after which a position is renewed.
	renewShare = 3
)

// Broker is what the sessions of a host share. The exported fields are set before the first
// session.
type Broker struct {
	Desk  *desk.Desk
	Costs route.Costs
	Log   *logs.Logger
	// Lines bounds the log lines about requests.
	Lines *logs.RateLimiter
	Meter *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
}

// Session is one caller's session. It is used by one goroutine at a time.
type Session struct {
	b *Broker
	// database is the name that the caller connected to.
	database string
	values   flow.Values
	prepared map[string]prepared
	marks    token.Token
	state    flow.State
	tx       *transaction
}

type prepared struct {
	shape  string
	writes bool
}

// Open returns a session on a database. It reports false where no such database is declared.
func (b *Broker) Open(database string) (*Session, bool) {
	if _, ok := b.Desk.Plan().Databases[database]; !ok {
		return nil, false
	}
	return &Session{b: b, database: database, prepared: map[string]prepared{}}, true
}

// State returns the state of the session.
func (s *Session) State() flow.State { return s.state }

// Local answers a statement that needs no instance. It reports false for others.
func (s *Session) Local(now time.Time, st flow.Statement) (flow.Answer, bool) {
	if s.state == flow.Broken && st.Kind != flow.Rollback && st.Kind != flow.Commit {
		return s.malformed("transaction has failed and must be ended"), true
	}
	switch st.Kind {
	case flow.Malformed:
		return s.malformed("statement is not known"), true
	case flow.Set:
		s.values = s.values.With(st.Name, st.Value)
	case flow.Prepare:
		s.prepared[st.Name] = prepared{st.Shape, st.Writes}
	case flow.Forget:
		if _, ok := s.prepared[st.Name]; !ok {
			return flow.Refuse(flow.NoStatement, s.state, st.Name), true
		}
		delete(s.prepared, st.Name)
	case flow.Begin, flow.BeginRead:
		return s.begin(now, st.Kind == flow.BeginRead), true
	case flow.Rollback:
		return s.rollback(), true
	case flow.Commit:
		if s.state != flow.Open {
			return s.endBroken(), true
		}
		return flow.Answer{}, false
	default:
		return flow.Answer{}, false
	}
	return flow.Done(s.state), true
}

func (s *Session) malformed(text string) flow.Answer {
	return flow.Refuse(flow.Invalid, s.state, text)
}

// endBroken answers a commit outside of a good transaction.
func (s *Session) endBroken() flow.Answer {
	if s.state == flow.Idle {
		return s.malformed("no transaction is open")
	}
	s.state = flow.Idle
	return flow.Refuse(flow.Aborted, s.state, "transaction had failed and was rolled back")
}

func (s *Session) begin(now time.Time, read bool) flow.Answer {
	if s.state != flow.Idle {
		return s.malformed("a transaction is open already")
	}
	plan := s.b.Desk.Plan()
	db, ok := plan.Databases[s.database]
	if !ok {
		return flow.Refuse(flow.NoDatabase, flow.Idle, s.database)
	}
	s.tx = &transaction{db: db, read: read, used: now, idle: plan.Idle}
	s.state = flow.Open
	return flow.Done(flow.Open)
}

func (s *Session) rollback() flow.Answer {
	if s.state == flow.Idle {
		return s.malformed("no transaction is open")
	}
	s.abandon()
	s.state = flow.Idle
	return flow.Done(flow.Idle)
}

// Run answers a statement that Local does not.
func (s *Session) Run(ctx context.Context, st flow.Statement) flow.Answer {
	q, effect, refusal := s.request(st)
	if refusal != nil {
		return *refusal
	}
	began := s.b.Now()
	reads := s.b.Desk.Plan().Databases[s.database].Reads
	run := s.single
	if s.state == flow.Open {
		run = s.inside
	}
	a := run(ctx, st, q, effect)
	s.b.Meter.RecordDuration("latency."+string(reads)+"."+a.Code.String(), s.b.Now().Sub(began))
	return a
}

// request returns what is asked of an instance, and what a single statement may leave behind.
func (s *Session) request(st flow.Statement) (flow.Request, flow.Effect, *flow.Answer) {
	q := flow.Request{Op: flow.Forward, ID: st.ID, Text: st.Text, Writes: st.Kind == flow.Write || st.Kind == flow.Commit}
	switch st.Kind {
	case flow.Write:
		return q, flow.Writes, nil
	case flow.Exec:
		p, ok := s.prepared[st.Name]
		if !ok {
			a := flow.Refuse(flow.NoStatement, s.state, st.Name)
			return q, flow.Reads, &a
		}
		q = flow.Request{Op: flow.Run, ID: st.ID, Text: st.Args, Shape: p.shape, Writes: p.writes}
		if p.writes {
			return q, flow.Writes, nil
		}
	}
	return q, flow.Reads, nil
}

// Expire ends a transaction that has rested for longer than its limit allows. The next
// statement is told.
func (s *Session) Expire(now time.Time) {
	if s.tx == nil || s.tx.idle <= 0 || now.Sub(s.tx.used) < s.tx.idle {
		return
	}
	s.b.Meter.AddCounter("transactions.expired", 1)
	s.abandon()
	s.tx = nil
	s.state = flow.Broken
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() { s.abandon() }
