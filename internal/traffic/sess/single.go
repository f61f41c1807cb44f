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

// attempt is one statement, or the opening of one transaction, on its way to an instance.
type attempt struct {
	s     *Session
	db    spec.Database
	group *desk.Group
	// primary is set for what must run at the primary.
	primary bool
	// guarded is set for what the primary itself refuses once it is replaced: writes and
	// plain transactions. Other reads there need the host's lease.
	guarded bool
	after   token.Mark
	began   time.Time
	tried   map[string]bool
	tries   int
	last    flow.Verdict
	id      string
}

// single runs a statement outside of a transaction.
func (s *Session) single(ctx context.Context, st flow.Statement, q flow.Request, effect flow.Effect) flow.Answer {
	now := s.b.Now()
	db, ok := s.b.Desk.Plan().Databases[s.database]
	if !ok {
		return flow.Refuse(flow.NoDatabase, flow.Idle, s.database)
	}
	a := s.attempt(now, db, st, effect == flow.Writes)
	for a.next(ctx) {
		m, ok := a.place(ctx, s.b.Now(), effect == flow.Reads)
		if !ok && a.awaits(ctx) {
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
	return a.refuse(s.b.Now())
}

// attempt returns a statement, or the opening of a transaction, before its first try.
func (s *Session) attempt(now time.Time, db spec.Database, st flow.Statement, guarded bool) *attempt {
	return &attempt{
		s: s, db: db, group: &desk.Group{Name: db.Group}, began: now, id: st.ID, guarded: guarded, last: flow.Verdict{Code: flow.Busy},
	}
}

// next reports whether another try may be made.
func (a *attempt) next(ctx context.Context) bool {
	if a.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	a.tries++
	return a.left(a.s.b.Now()) > 0
}

func (a *attempt) left(now time.Time) time.Duration { return a.db.Timeout - now.Sub(a.began) }

// refuse tells the caller that its statement was given up.
func (a *attempt) refuse(now time.Time) flow.Answer {
	a.s.b.Meter.AddCounter("refused."+a.last.Code.String(), 1)
	a.noteRefusal(now, a.last.Code)
	return flow.Refuse(a.last.Code, flow.Idle, a.db.Group)
}

// place chooses the instance for the next try. It reports false where none can serve it now.
func (a *attempt) place(ctx context.Context, now time.Time, reads bool) (*desk.Member, bool) {
	d := a.s.b.Desk
	a.group = d.Plan().Groups[a.db.Group]
	if a.group == nil {
		a.group = &desk.Group{Name: a.db.Group}
		return nil, false
	}
	a.primary, a.after = !reads || a.db.Reads == spec.AllWrites, token.Mark{}
	if !a.primary {
		a.after, a.primary = a.need(ctx, now)
	}
	if a.primary && !a.guarded && !d.Current(now, a.group) {
		return nil, false
	}
	name, ok := a.s.b.Costs.Pick(route.Demand{Primary: a.primary}, a.group.Copies(now, a.tried))
	if !ok {
		return nil, false
	}
	m := a.group.Member(name)
	if name == a.group.Primary && !a.guarded && !d.Current(now, a.group) {
		return a.replica(now)
	}
	return m, m != nil
}

// awaits waits a moment where the only thing that the instances lack is a position, which
// they receive soon, or where this host has just started and lacks its first lease. It reports
// false where that would come too late for the caller.
func (a *attempt) awaits(ctx context.Context) bool {
	now := a.s.b.Now()
	if a.guarded || now.Sub(a.began)+catchUpPause > a.db.Goal {
		return false
	}
	switch {
	case a.s.b.Desk.Starting():
		a.s.b.Meter.AddCounter("waited.lease", 1)
	case a.group.CatchesUp(now, a.tried):
		a.s.b.Meter.AddCounter("waited.behind", 1)
	default:
		return false
	}
	a.tries--
	clock.Sleep(ctx, catchUpPause)
	return true
}

// replica chooses among the instances other than the primary.
func (a *attempt) replica(now time.Time) (*desk.Member, bool) {
	a.skip(a.group.Primary)
	name, ok := a.s.b.Costs.Pick(route.Demand{}, a.group.Copies(now, a.tried))
	return a.group.Member(name), ok
}

func (a *attempt) skip(name string) {
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[name] = true
}

// need returns the position that a read asks for. Where this host knows none that is young
// enough it asks the primary for one, and where none comes the primary must serve the read. A
// position that has aged by a third of what the read allows is renewed without waiting: then
// reads go on asking for positions that replicas have had time to receive.
func (a *attempt) need(ctx context.Context, now time.Time) (after token.Mark, primary bool) {
	b := a.s.b
	after, ok := a.s.position(now, a.db, a.group)
	if !ok {
		clock.Await(ctx, b.Desk.Look(a.group))
		if g := b.Desk.Plan().Groups[a.db.Group]; g != nil {
			a.group = g
		}
		after, ok = a.s.position(b.Now(), a.db, a.group)
		return after, !ok
	}
	if a.group.PositionAge(now) > a.db.Age/renewShare {
		b.Desk.Look(a.group)
	}
	return after, false
}

// position returns the position that a read of the database asks for, where one is known.
func (s *Session) position(now time.Time, db spec.Database, g *desk.Group) (token.Mark, bool) {
	after, ok := g.Least(now, db.Age)
	if !ok {
		return token.Mark{}, false
	}
	if own := route.Clip(s.marks.Mark(g.Name), g.Reign, g.Fork); db.Reads == spec.OwnWrites && after.Before(own) {
		after = own
	}
	return after, true
}

// try sends the statement to an instance. It reports false where another try is due.
func (a *attempt) try(ctx context.Context, m *desk.Member, q flow.Request, effect flow.Effect) (flow.Answer, bool) {
	unit, err := m.Open(ctx, a.patience(), a.db.Rank)
	if err != nil {
		a.skip(m.Instance)
		a.failed(m, flow.Unsent, err.Error(), effect)
		return flow.Answer{}, false
	}
	leads := a.leads(m)
	if !leads {
		q.After = a.after
	}
	sent := a.s.b.Now()
	answer, stage, err := unit.Run(a.limit(effect), a.s.values, q, true)
	now := a.s.b.Now()
	if err != nil {
		unit.Close()
		a.skip(m.Instance)
		a.failed(m, stage, err.Error(), effect)
		return a.settle(effect)
	}
	unit.Release()
	a.note(now, m, answer)
	if answer.Code != flow.OK {
		return a.refused(ctx, now, m, answer, effect)
	}
	if leads && !a.guarded && !a.s.b.Desk.Saw(now, sent, a.group, answer.Mark) {
		a.failed(m, flow.Sent, "the primary may have been replaced meanwhile", effect)
		return flow.Answer{}, false
	}
	if leads && a.guarded {
		a.s.b.Desk.Saw(now, sent, a.group, answer.Mark)
		a.s.marks = a.s.marks.With(a.group.Name, answer.Mark)
	}
	a.s.b.Meter.AddCounter("served."+place(leads), 1)
	a.noteServed(now, m)
	return answer, true
}

// leads reports whether an instance is the primary of the open term by which it was chosen.
func (a *attempt) leads(m *desk.Member) bool { return a.group.Open && m.Instance == a.group.Primary }

func place(leads bool) string {
	if leads {
		return "primary"
	}
	return "replica"
}

// patience is how long the statement may wait for a connection and a slot: what is left of the
// time that callers expect, after which a refusal serves them better.
func (a *attempt) patience() time.Duration {
	now := a.s.b.Now()
	return min(a.left(now), max(leastWait, a.db.Goal/waitShare-now.Sub(a.began)))
}

// limit is how long the statement may wait for its answer. A read that stays unanswered is
// asked elsewhere; a write has nowhere else to go.
func (a *attempt) limit(effect flow.Effect) time.Duration {
	left := a.left(a.s.b.Now())
	if effect == flow.Reads && !a.primary {
		return min(left, readSilence)
	}
	return left
}

// note keeps what an answer tells of the instance.
func (a *attempt) note(now time.Time, m *desk.Member, answer flow.Answer) {
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

// refused decides after an error answer of an instance.
func (a *attempt) refused(ctx context.Context, now time.Time, m *desk.Member, answer flow.Answer, effect flow.Effect) (flow.Answer, bool) {
	a.failed(m, flow.Answered, answer.Code.String(), effect)
	a.last = flow.Judge(flow.Answered, effect, answer.Code)
	if !a.last.Again {
		a.noteRefusal(now, a.last.Code)
		return flow.Refuse(a.last.Code, flow.Idle, answer.Text), true
	}
	if answer.Code == flow.Busy && m.Instance == a.group.Primary {
		clock.Sleep(ctx, busyPause)
		if now.Sub(a.began) > a.db.Goal {
			a.tries = maxTries
		}
		return flow.Answer{}, false
	}
	if answer.Code != flow.NoStatement && answer.Code != flow.Behind {
		a.skip(m.Instance)
	}
	return flow.Answer{}, false
}

// settle decides after a try without an answer.
func (a *attempt) settle(effect flow.Effect) (flow.Answer, bool) {
	if a.last.Again {
		return flow.Answer{}, false
	}
	a.s.b.Meter.AddCounter("refused."+a.last.Code.String(), 1)
	a.noteRefusal(a.s.b.Now(), a.last.Code)
	return flow.Refuse(a.last.Code, flow.Idle, a.db.Group), true
}

// failed takes note of a failed try.
func (a *attempt) failed(m *desk.Member, stage flow.Stage, cause string, effect flow.Effect) {
	a.last = flow.Judge(stage, effect, flow.OK)
	a.s.b.Meter.AddCounter("tries.failed", 1)
	a.s.b.Meter.AddCounter("tries.failed."+stage.String(), 1)
	a.noteTry(a.s.b.Now(), m, stage, cause)
}
