package sess

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// execution is one statement, or the opening of one transaction, on its way to an instance.
type execution struct {
	session *Session
	db      spec.Database
	group   *desk.Group
	// needsPrimary is set for what must run at the primary.
	needsPrimary bool
	// fenced is set for what the primary itself refuses once it is replaced: writes and
	// plain transactions. Other reads there need the host's lease.
	fenced      bool
	minPosition token.Position
	started     time.Time
	excluded    map[string]bool
	tries       int
	lastVerdict flow.Verdict
	requestID   string
}

// runAutocommit runs a statement outside of a transaction.
func (s *Session) runAutocommit(ctx context.Context, st flow.Statement, q flow.Request, effect flow.Effect) flow.Answer {
	now := s.mgr.Now()
	db, ok := s.mgr.Desk.Plan().Databases[s.database]
	if !ok {
		return flow.ErrorAnswer(flow.NoDatabase, flow.Idle, s.database)
	}
	a := s.newExecution(now, db, st, effect == flow.Writes)
	for a.nextTry(ctx) {
		m, ok := a.chooseInstance(ctx, s.mgr.Now(), effect == flow.Reads)
		if !ok && a.waitAndRetry(ctx) {
			continue
		}
		if !ok {
			break
		}
		if answer, done := a.try(ctx, m, q, effect); done {
			answer.State = flow.Idle
			return answer
		}
	}
	return a.refuse(s.mgr.Now())
}

// newExecution returns a statement, or the opening of a transaction, before its first try.
func (s *Session) newExecution(now time.Time, db spec.Database, st flow.Statement, guarded bool) *execution {
	return &execution{
		session: s, db: db, group: &desk.Group{Name: db.Group}, started: now, requestID: st.ID, fenced: guarded, lastVerdict: flow.Verdict{Code: flow.Busy},
	}
}

// nextTry reports whether another try may be made.
func (a *execution) nextTry(ctx context.Context) bool {
	if a.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	a.tries++
	return a.remaining(a.session.mgr.Now()) > 0
}

func (a *execution) remaining(now time.Time) time.Duration { return a.db.Timeout - now.Sub(a.started) }

// refuse tells the caller that its statement was given up.
func (a *execution) refuse(now time.Time) flow.Answer {
	a.session.mgr.Meter.Add("refused."+a.lastVerdict.Code.String(), 1)
	a.logRefusal(now, a.lastVerdict.Code)
	return flow.ErrorAnswer(a.lastVerdict.Code, flow.Idle, a.db.Group)
}

// chooseInstance chooses the instance for the next try. It reports false where none can serve it now.
func (a *execution) chooseInstance(ctx context.Context, now time.Time, reads bool) (*desk.Member, bool) {
	d := a.session.mgr.Desk
	a.group = d.Plan().Groups[a.db.Group]
	if a.group == nil {
		a.group = &desk.Group{Name: a.db.Group}
		return nil, false
	}
	a.needsPrimary, a.minPosition = !reads || a.db.Reads == spec.AllWrites, token.Position{}
	if !a.needsPrimary {
		a.minPosition, a.needsPrimary = a.requiredPosition(ctx, now)
	}
	if a.needsPrimary && !a.fenced && !d.Current(now, a.group) {
		return nil, false
	}
	name, ok := a.session.mgr.Costs.Pick(route.Demand{Primary: a.needsPrimary}, a.group.Copies(now, a.excluded))
	if !ok {
		return nil, false
	}
	m := a.group.Member(name)
	if name == a.group.Primary && !a.fenced && !d.Current(now, a.group) {
		return a.chooseReplica(now)
	}
	return m, m != nil
}

// waitAndRetry waits a moment where the only thing that the instances lack is a position, which
// they receive soon, or where this host has just started and lacks its first lease. It reports
// false where that would come too late for the caller.
func (a *execution) waitAndRetry(ctx context.Context) bool {
	now := a.session.mgr.Now()
	if a.fenced || now.Sub(a.started)+catchUpPollInterval > a.db.Goal {
		return false
	}
	switch {
	case a.session.mgr.Desk.Starting():
		a.session.mgr.Meter.Add("waited.lease", 1)
	case a.group.CatchesUp(now, a.excluded):
		a.session.mgr.Meter.Add("waited.behind", 1)
	default:
		return false
	}
	a.tries--
	clock.Sleep(ctx, catchUpPollInterval)
	return true
}

// chooseReplica chooses among the instances other than the primary.
func (a *execution) chooseReplica(now time.Time) (*desk.Member, bool) {
	a.exclude(a.group.Primary)
	name, ok := a.session.mgr.Costs.Pick(route.Demand{}, a.group.Copies(now, a.excluded))
	return a.group.Member(name), ok
}

func (a *execution) exclude(name string) {
	if a.excluded == nil {
		a.excluded = map[string]bool{}
	}
	a.excluded[name] = true
}

// requiredPosition returns the position that a read asks for. Where this host knows none that is young
// enough it asks the primary for one, and where none comes the primary must serve the read. A
// position that has aged by a third of what the read allows is renewed without waiting: then
// reads go on asking for positions that replicas have had time to receive.
func (a *execution) requiredPosition(ctx context.Context, now time.Time) (after token.Position, primary bool) {
	b := a.session.mgr
	after, ok := a.session.knownPosition(now, a.db, a.group)
	if !ok {
		clock.Await(ctx, b.Desk.Look(a.group))
		if g := b.Desk.Plan().Groups[a.db.Group]; g != nil {
			a.group = g
		}
		after, ok = a.session.knownPosition(b.Now(), a.db, a.group)
		return after, !ok
	}
	if a.group.PositionAge(now) > a.db.Age/positionRefreshDivisor {
		b.Desk.Look(a.group)
	}
	return after, false
}

// knownPosition returns the position that a read of the database asks for, where one is known.
func (s *Session) knownPosition(now time.Time, db spec.Database, g *desk.Group) (token.Position, bool) {
	after, ok := g.Least(now, db.Age)
	if !ok {
		return token.Position{}, false
	}
	if own := route.Clip(s.positions.Position(g.Name), g.Reign, g.Fork); db.Reads == spec.OwnWrites && after.Before(own) {
		after = own
	}
	return after, true
}

// try sends the statement to an instance. It reports false where another try is due.
func (a *execution) try(ctx context.Context, m *desk.Member, q flow.Request, effect flow.Effect) (flow.Answer, bool) {
	unit, err := m.Open(ctx, a.queueWaitLimit(), a.db.Rank)
	if err != nil {
		a.exclude(m.Instance)
		a.recordFailure(m, flow.Unsent, err.Error(), effect)
		return flow.Answer{}, false
	}
	leads := a.isPrimary(m)
	if !leads {
		q.MinPosition = a.minPosition
	}
	sent := a.session.mgr.Now()
	answer, stage, err := unit.Run(a.answerTimeout(effect), a.session.values, q, true)
	now := a.session.mgr.Now()
	if err != nil {
		unit.Close()
		a.exclude(m.Instance)
		a.recordFailure(m, stage, err.Error(), effect)
		return a.handleMissingAnswer(effect)
	}
	unit.Release()
	a.recordAnswer(now, m, answer)
	if answer.Code != flow.OK {
		return a.handleErrorAnswer(ctx, now, m, answer, effect)
	}
	if leads && !a.fenced && !a.session.mgr.Desk.Saw(now, sent, a.group, answer.Position) {
		a.recordFailure(m, flow.Sent, "the primary may have been replaced meanwhile", effect)
		return flow.Answer{}, false
	}
	if leads && a.fenced {
		a.session.mgr.Desk.Saw(now, sent, a.group, answer.Position)
		a.session.positions = a.session.positions.With(a.group.Name, answer.Position)
	}
	a.session.mgr.Meter.Add("served."+roleName(leads), 1)
	a.logServed(now, m)
	return answer, true
}

// isPrimary reports whether an instance is the primary of the open term by which it was chosen.
func (a *execution) isPrimary(m *desk.Member) bool {
	return a.group.Open && m.Instance == a.group.Primary
}

func roleName(leads bool) string {
	if leads {
		return "primary"
	}
	return "replica"
}

// queueWaitLimit is how long the statement may wait for a connection and a slot: what is left of the
// time that callers expect, after which a refusal serves them better.
func (a *execution) queueWaitLimit() time.Duration {
	now := a.session.mgr.Now()
	return min(a.remaining(now), max(minQueueWait, a.db.Goal/queueWaitDivisor-now.Sub(a.started)))
}

// answerTimeout is how long the statement may wait for its answer. A read that stays unanswered is
// asked elsewhere; a write has nowhere else to go.
func (a *execution) answerTimeout(effect flow.Effect) time.Duration {
	left := a.remaining(a.session.mgr.Now())
	if effect == flow.Reads && !a.needsPrimary {
		return min(left, readAnswerTimeout)
	}
	return left
}

// recordAnswer keeps what an answer tells of the instance.
func (a *execution) recordAnswer(now time.Time, m *desk.Member, answer flow.Answer) {
	switch answer.Code {
	case flow.OK:
		m.Served()
	case flow.Behind:
		m.Behind(now)
	case flow.Failed, flow.Unknown:
		m.Ailing(now)
	case flow.ReadOnly:
		if m.Instance == a.group.Primary {
			m.Deposed(now)
		}
	}
}

// handleErrorAnswer decides after an error answer of an instance.
func (a *execution) handleErrorAnswer(ctx context.Context, now time.Time, m *desk.Member, answer flow.Answer, effect flow.Effect) (flow.Answer, bool) {
	a.recordFailure(m, flow.Answered, answer.Code.String(), effect)
	a.lastVerdict = flow.VerdictFor(flow.Answered, effect, answer.Code)
	if !a.lastVerdict.Retry {
		a.logRefusal(now, a.lastVerdict.Code)
		return flow.ErrorAnswer(a.lastVerdict.Code, flow.Idle, answer.Text), true
	}
	if answer.Code == flow.Busy && m.Instance == a.group.Primary {
		clock.Sleep(ctx, busyRetryDelay)
		if now.Sub(a.started) > a.db.Goal {
			a.tries = maxTries
		}
		return flow.Answer{}, false
	}
	if answer.Code != flow.NoStatement && answer.Code != flow.Behind {
		a.exclude(m.Instance)
	}
	return flow.Answer{}, false
}

// handleMissingAnswer decides after a try without an answer.
func (a *execution) handleMissingAnswer(effect flow.Effect) (flow.Answer, bool) {
	if a.lastVerdict.Retry {
		return flow.Answer{}, false
	}
	a.session.mgr.Meter.Add("refused."+a.lastVerdict.Code.String(), 1)
	a.logRefusal(a.session.mgr.Now(), a.lastVerdict.Code)
	return flow.ErrorAnswer(a.lastVerdict.Code, flow.Idle, a.db.Group), true
}

// recordFailure takes note of a failed try.
func (a *execution) recordFailure(m *desk.Member, stage flow.Stage, cause string, effect flow.Effect) {
	a.lastVerdict = flow.VerdictFor(stage, effect, flow.OK)
	a.session.mgr.Meter.Add("tries.failed", 1)
	a.session.mgr.Meter.Add("tries.failed."+stage.String(), 1)
	a.logFailedTry(a.session.mgr.Now(), m, stage, cause)
}
