package sess

import (
	"context"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// execution is the state of one statement, or of the opening of one transaction, over its tries at
// one or more instances.
type execution struct {
	session *Session
	db      spec.Database
	// account is the client account that the statement runs for, or "".
	account string
	group   *topo.Group
	// needsPrimary is set if the statement must run at the primary.
	needsPrimary bool
	// fenced is set if a replaced primary itself refuses the statement: for writes and for
	// transactions that are not read-only. Other statements at the primary require the host's lease, or
	// proof that the instance is still the primary.
	fenced bool
	// minPosition is the log position that a replica must have reached to serve the statement.
	minPosition token.Position
	started     time.Time
	// excluded holds the names of the instances that are not tried again.
	excluded map[string]bool
	tries    int
	// placement is the latest choice by reported loads, and declined holds the names of the instances that
	// had no free slot for the statement.
	placement even.Choice
	declined  map[string]bool
	// lastVerdict is the verdict on the latest try.
	lastVerdict flow.Verdict
	requestID   string
}

// runAutocommit runs a statement outside of a transaction, at up to maxTries instances within the
// timeout of the database.
func (s *Session) runAutocommit(ctx context.Context, st flow.Statement, req flow.Request, effect flow.Effect) flow.Answer {
	now := s.mgr.Now()
	snapshot := s.mgr.Topology.Snapshot()
	db, ok := snapshot.Databases[s.database]
	if !ok {
		return flow.ErrorAnswer(flow.NoDatabase, flow.Idle, s.database)
	}
	account, ok := snapshot.AccountOf(db, s.key)
	if !ok {
		return s.deny()
	}
	e := s.newExecution(now, db, account, st, effect == flow.Writes)
	for e.nextTry(ctx) {
		m, ok := e.chooseInstance(ctx, s.mgr.Now(), effect == flow.Reads)
		if !ok && e.waitAndRetry(ctx) {
			continue
		}
		if !ok {
			break
		}
		if answer, done := e.try(ctx, m, req, effect); done {
			answer.State = flow.Idle
			return answer
		}
	}
	return e.refuse(s.mgr.Now())
}

// newExecution returns the execution of a statement, or of the opening of a transaction, before its
// first try.
func (s *Session) newExecution(now time.Time, db spec.Database, account string, st flow.Statement, fenced bool) *execution {
	return &execution{
		session: s, db: db, account: account, group: &topo.Group{Name: db.Group}, started: now, requestID: st.ID, fenced: fenced, lastVerdict: flow.Verdict{Code: flow.Busy},
	}
}

// nextTry reports whether another try may be made, and counts it.
func (e *execution) nextTry(ctx context.Context) bool {
	if e.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	e.tries++
	return e.remaining(e.session.mgr.Now()) > 0
}

// remaining returns the time left until the statement's timeout.
func (e *execution) remaining(now time.Time) time.Duration {
	return e.db.StatementTimeout - now.Sub(e.started)
}

// refuse returns the error answer for a statement whose last try failed.
func (e *execution) refuse(now time.Time) flow.Answer {
	e.session.mgr.Meter.AddCounter("refused."+e.lastVerdict.Code.String(), 1)
	e.logRefusal(now, e.lastVerdict.Code)
	return flow.ErrorAnswer(e.lastVerdict.Code, flow.Idle, e.db.Group)
}

// chooseInstance chooses the instance for the next try. It reports false if none can serve the
// statement now.
func (e *execution) chooseInstance(ctx context.Context, now time.Time, readOnly bool) (*topo.Member, bool) {
	topology := e.session.mgr.Topology
	e.group = topology.Snapshot().Groups[e.db.Group]
	if e.group == nil {
		e.group = &topo.Group{Name: e.db.Group}
		return nil, false
	}
	if e.fenced && !topology.MayAcknowledge(now, e.group) {
		e.session.mgr.Meter.AddCounter("tries.withheld.unleased", 1)
		return nil, false
	}
	e.needsPrimary, e.minPosition = !readOnly || e.db.Consistency == spec.StrongConsistency, token.Position{}
	if !e.needsPrimary {
		e.minPosition, e.needsPrimary = e.requiredPosition(ctx, now)
	}
	name, ok := e.place(now)
	if !ok {
		if primary := e.group.Member(e.group.Primary); primary != nil && primary.HasLeft(now) {
			e.lastVerdict.Code = flow.Leaving
		}
		return nil, false
	}
	m := e.group.Member(name)
	return m, m != nil
}

// leased reports whether this host's lease assures that the group's primary has not been replaced.
func (e *execution) leased(now time.Time) bool {
	return e.session.mgr.Topology.TermStillOpen(now, e.group)
}

// waitAndRetry waits for catchUpPollInterval, without using up a try, if a reachable instance has been
// in backoff only briefly. It reports false if there is none, or if waiting would exceed the
// database's target latency.
func (e *execution) waitAndRetry(ctx context.Context) bool {
	now := e.session.mgr.Now()
	if e.fenced || now.Sub(e.started)+catchUpPollInterval > e.db.TargetLatency {
		return false
	}
	if !e.group.CatchingUp(now, e.excluded) {
		return false
	}
	e.session.mgr.Meter.AddCounter("waited.behind", 1)
	e.tries--
	clock.Sleep(ctx, catchUpPollInterval)
	return true
}

// exclude removes an instance from the candidates for later tries.
func (e *execution) exclude(name string) {
	if e.excluded == nil {
		e.excluded = map[string]bool{}
	}
	e.excluded[name] = true
}

// requiredPosition returns the log position that a replica must have reached to serve a read. If
// this host knows no position that is recent enough, it queries the primary's; if that fails, only
// the primary can serve the read and needsPrimary is true. A position older than
// MaxStaleness/positionRefreshDivisor is refreshed in the background, so that reads keep
// requiring positions that replicas have had time to receive.
func (e *execution) requiredPosition(ctx context.Context, now time.Time) (minPosition token.Position, needsPrimary bool) {
	mgr := e.session.mgr
	minPosition, ok := e.session.knownPosition(now, e.db, e.group)
	if !ok {
		clock.Await(ctx, mgr.Topology.QueryPosition(e.group))
		if g := mgr.Topology.Snapshot().Groups[e.db.Group]; g != nil {
			e.group = g
		}
		minPosition, ok = e.session.knownPosition(mgr.Now(), e.db, e.group)
		return minPosition, !ok
	}
	if e.group.PositionAge(now) > e.db.MaxStaleness/positionRefreshDivisor {
		mgr.Topology.QueryPosition(e.group)
	}
	return minPosition, false
}

// knownPosition returns the log position that a read of the database requires, from the positions
// that this host knows. It reports false if none is recent enough.
func (s *Session) knownPosition(now time.Time, db spec.Database, g *topo.Group) (token.Position, bool) {
	minPosition, ok := g.MinPosition(now, db.MaxStaleness)
	if !ok {
		return token.Position{}, false
	}
	if own := route.ClipToFork(s.positions.Position(g.Name), g.PrimaryTerm, g.Fork); db.Consistency == spec.ReadYourWrites && minPosition.Before(own) {
		minPosition = own
	}
	return minPosition, true
}

// try runs the statement at an instance. It reports false if another try should follow.
func (e *execution) try(ctx context.Context, m *topo.Member, req flow.Request, effect flow.Effect) (flow.Answer, bool) {
	conn, err := m.Open(ctx, e.queueWaitLimit(), e.priority(m))
	if err != nil {
		e.exclude(m.Instance)
		e.recordFailure(m, flow.Unsent, err.Error(), effect)
		return flow.Answer{}, false
	}
	onPrimary := e.isPrimary(m)
	if !onPrimary {
		req.MinPosition = e.minPosition
	}
	sent := e.session.mgr.Now()
	unproven := onPrimary && !e.fenced && !e.leased(sent)
	answer, stage, err := conn.Run(e.answerTimeout(m, effect), e.session.values, req, !unproven)
	now := e.session.mgr.Now()
	if err != nil {
		conn.Close()
		if stage == flow.Sent {
			m.RecordMissingAnswer(now)
		}
		e.exclude(m.Instance)
		e.recordFailure(m, stage, err.Error(), effect)
		return e.handleMissingAnswer(effect)
	}
	if unproven && answer.Code == flow.OK {
		return e.provePrimary(m, conn, answer)
	}
	conn.Release()
	if answer.Code == flow.Declined {
		e.decline(m)
		return flow.Answer{}, false
	}
	e.recordAnswer(now, m, answer)
	if answer.Code != flow.OK {
		return e.handleErrorAnswer(ctx, now, m, answer, effect)
	}
	if onPrimary && !e.fenced && !e.session.mgr.Topology.RecordPosition(now, sent, e.group, answer.Position) {
		e.recordFailure(m, flow.Sent, causePrimaryReplaced, effect)
		return flow.Answer{}, false
	}
	if effect == flow.Writes && !e.session.mgr.Topology.MayAcknowledge(now, e.group) {
		e.session.mgr.Meter.AddCounter("refused.revoked", 1)
		e.recordFailure(m, flow.Sent, causeTermRevoked, effect)
		return e.handleMissingAnswer(effect)
	}
	if onPrimary && e.fenced {
		e.group.RecordProvenPosition(sent, answer.Position)
		e.session.positions = e.session.positions.With(e.group.Name, answer.Position)
	}
	return e.served(now, m, answer)
}

// served counts an answer that is passed on to the caller, and returns it.
func (e *execution) served(now time.Time, m *topo.Member, answer flow.Answer) (flow.Answer, bool) {
	e.session.mgr.Meter.AddCounter("served."+roleName(e.isPrimary(m)), 1)
	e.logServed(now, m)
	return answer, true
}

// causeTermRevoked is the logged cause of a write whose success is not passed on.
const causeTermRevoked = "term of the primary may have been revoked before it answered"

// causePrimaryReplaced is the logged cause of a failed try whose answer may miss acknowledged writes.
const causePrimaryReplaced = "primary may have been replaced before it answered"

// provePrimary returns the answer that the primary gave to a read of a host without a lease, if it can be
// shown that the read has missed no acknowledged write: the primary is queried for its position
// afterwards, which only a primary answers. It ends the use of the connection, and reports false
// for another try.
func (e *execution) provePrimary(m *topo.Member, conn pool.Handle, answer flow.Answer) (flow.Answer, bool) {
	mgr := e.session.mgr
	sent := mgr.Now()
	proof, _, err := conn.Run(min(setupTimeout, max(time.Millisecond, e.remaining(sent))), e.session.values, flow.Request{Op: flow.QueryPosition}, true)
	now := mgr.Now()
	if err != nil {
		conn.Close()
	} else {
		conn.Release()
	}
	stillPrimary := err == nil && proof.Code == flow.OK
	if !stillPrimary && proof.Code != flow.InDoubt {
		e.exclude(m.Instance)
	}
	if !stillPrimary || !e.group.MissesNoWrite(answer.Position, proof.Position) {
		mgr.Meter.AddCounter("tries.unproven", 1)
		e.recordFailure(m, flow.Sent, causePrimaryReplaced, flow.Reads)
		return flow.Answer{}, false
	}
	m.RecordSuccess()
	mgr.Meter.AddCounter("served.proven", 1)
	e.group.RecordProvenPosition(sent, proof.Position)
	return e.served(now, m, answer)
}

// isPrimary reports whether an instance is the primary of the group's term, and that term is open,
// according to the snapshot by which the instance was chosen.
func (e *execution) isPrimary(m *topo.Member) bool {
	return e.group.Open && m.Instance == e.group.Primary
}

// roleName returns the suffix of the metrics that are counted per role.
func roleName(onPrimary bool) string {
	if onPrimary {
		return "primary"
	}
	return "replica"
}

// queueWaitLimit returns how long the statement may wait for a connection and an admission slot to be in
// time. It is bounded by the database's target latency: a statement that would miss it is better tried
// elsewhere. One that nothing else can serve may be late; see priority.
func (e *execution) queueWaitLimit() time.Duration {
	now := e.session.mgr.Now()
	return min(e.remaining(now), max(minQueueWait, e.db.TargetLatency/queueWaitDivisor-now.Sub(e.started)))
}

// priority returns the order of the statement among others that wait for the same instance.
func (e *execution) priority(m *topo.Member) pool.Priority {
	return pool.Priority{Rank: e.db.Priority, Database: e.db.Name, Account: e.account, MayBeLate: e.isLast(m), Movable: e.placement.Movable}
}

// isLast reports whether no other instance than m can serve the statement now, if m does not.
func (e *execution) isLast(m *topo.Member) bool {
	if e.needsPrimary {
		return true
	}
	others := e.group.Candidates(e.session.mgr.Now(), e.excluded)
	others = slices.DeleteFunc(others, func(c route.Candidate) bool { return c.Name == m.Instance })
	_, ok := e.session.mgr.Costs.Pick(route.Requirement{}, others)
	return !ok
}

// answerTimeout returns how long to wait for the answer. A read that a replica can serve has a shorter
// timeout, because another instance can be tried; a write can only run at the primary. The timeout is
// longer where answers take longer: a read that was abandoned still occupies its slot.
func (e *execution) answerTimeout(m *topo.Member, effect flow.Effect) time.Duration {
	left := e.remaining(e.session.mgr.Now())
	if effect == flow.Reads && !e.needsPrimary {
		return min(left, max(readAnswerTimeout, slowAnswerFactor*m.Latency()))
	}
	return left
}

// recordAnswer updates the routing state of an instance from the code of its answer.
func (e *execution) recordAnswer(now time.Time, m *topo.Member, answer flow.Answer) {
	m.RecordReached(answer.Position)
	switch answer.Code {
	case flow.OK:
		m.RecordSuccess()
		m.RecordAnswer(now)
	case flow.Behind:
		m.RecordLag(now)
	case flow.Failed, flow.Unknown:
		m.RecordFailure(now)
	case flow.ReadOnly:
		if m.Instance == e.group.Primary {
			m.RecordWriteRefusal(now)
		}
	}
}

// handleErrorAnswer decides between a retry and an error answer to the caller after an instance
// answered with an error. It reports false for a retry.
func (e *execution) handleErrorAnswer(ctx context.Context, now time.Time, m *topo.Member, answer flow.Answer, effect flow.Effect) (flow.Answer, bool) {
	e.recordFailure(m, flow.Answered, answer.Code.String(), effect)
	e.lastVerdict = flow.VerdictFor(flow.Answered, effect, answer.Code)
	if !e.lastVerdict.Retry {
		e.logRefusal(now, e.lastVerdict.Code)
		return flow.ErrorAnswer(e.lastVerdict.Code, flow.Idle, answer.Text), true
	}
	if answer.Code == flow.Limited {
		// Other instances would refuse it as well.
		e.tries = maxTries
		return flow.Answer{}, false
	}
	if answer.Code == flow.Busy && m.Instance == e.group.Primary {
		clock.Sleep(ctx, busyRetryDelay)
		if now.Sub(e.started) > e.db.TargetLatency {
			e.tries = maxTries
		}
		return flow.Answer{}, false
	}
	if answer.Code != flow.NoStatement && answer.Code != flow.Behind && answer.Code != flow.InDoubt {
		e.exclude(m.Instance)
	}
	return flow.Answer{}, false
}

// handleMissingAnswer decides between a retry and an error answer to the caller after a try without
// an answer. It reports false for a retry.
func (e *execution) handleMissingAnswer(effect flow.Effect) (flow.Answer, bool) {
	if e.lastVerdict.Retry {
		return flow.Answer{}, false
	}
	e.session.mgr.Meter.AddCounter("refused."+e.lastVerdict.Code.String(), 1)
	e.logRefusal(e.session.mgr.Now(), e.lastVerdict.Code)
	return flow.ErrorAnswer(e.lastVerdict.Code, flow.Idle, e.db.Group), true
}

// recordFailure counts and logs a failed try and sets its verdict.
func (e *execution) recordFailure(m *topo.Member, stage flow.Stage, cause string, effect flow.Effect) {
	e.lastVerdict = flow.VerdictFor(stage, effect, flow.OK)
	e.session.mgr.Meter.AddCounter("tries.failed", 1)
	e.session.mgr.Meter.AddCounter("tries.failed."+stage.String(), 1)
	e.logFailedTry(e.session.mgr.Now(), m, stage, cause)
}
