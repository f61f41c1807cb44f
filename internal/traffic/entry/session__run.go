package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/verb"
)

func unsupported(what string) *fault.Error {
	return fault.New(fault.NotRun, fault.Unsupported, "%s cannot be passed through the proxy", what)
}

// simple runs a simple query.
func (s *session) simple(text string) {
	st := verb.Of(text)
	if done, answer, err := s.local(st); done {
		if err != nil {
			s.fail(err)
			return
		}
		s.reply(append(answer, encode(nil, &pgproto3.ReadyForQuery{TxStatus: s.status})...))
		return
	}
	data, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		s.fail(fault.New(fault.NotRun, fault.BadMessage, "query does not encode"))
		return
	}
	b := &wire.Batch{Data: data, Mayread: st.MayRead(), Commits: st.Commits(), Dirty: st.Dirty()}
	s.dispatch(b, st.Kind != verb.Begin, s.pass)
}

// pass hands an answer on as it is.
func (s *session) pass(p []byte) error { return s.send(p) }

// reply sends an answer of the proxy's own.
func (s *session) reply(b []byte) { _ = s.send(b) }

// fail reports an error of the proxy's own.
func (s *session) fail(err error) {
	e := fault.From(err)
	s.spoil(e)
	s.reply(encode(nil, errorResponse(e, "ERROR"), &pgproto3.ReadyForQuery{TxStatus: s.status}))
}

// spoil counts an error. An open transaction is rolled back by it, and the caller must end
// it: what it sends next must not run outside of one.
func (s *session) spoil(e *fault.Error) {
	s.srv.Meter.CountRefusal(e.Reason)
	s.srv.Log.WithError(e).WithField("caller", s.user).WithField("verdict", e.Verdict.String()).Debug("request failed")
	if s.status == holder.Idle {
		return
	}
	s.drop()
	s.lost = true
	s.status = holder.InFailed
}

// dispatch runs a batch on the group's holder and reports what became of it.
func (s *session) dispatch(b *wire.Batch, keyed bool, sink holder.Sink) {
	if keyed && !b.Mayread {
		b.Key = s.key
		s.key = ""
	}
	mark := s.token.Mark(s.group)
	b.Term, b.Position = mark.Term, mark.Position
	b.Barrier = s.fresh
	last := &lastPiece{out: sink}
	out, err := s.deliver(b, last.take)
	if err != nil {
		_ = last.flush(nil)
		s.drop()
		if s.ctx.Err() == nil {
			s.failAnswer(err, b.Expect == 0)
		}
		return
	}
	s.status = out.Status
	s.fresh = false
	_ = last.flush(s.learn(out.Mark))
}

// failAnswer reports an error in place of an answer; a batch that no Sync ended goes on
// being dropped up to the next one.
func (s *session) failAnswer(err error, ended bool) {
	if ended {
		s.fail(err)
		return
	}
	s.failBatch(err, false)
}

// learn keeps what the session must see from now on, and returns the report of it.
func (s *session) learn(m token.Mark) []byte {
	if m == (token.Mark{}) {
		return nil
	}
	before := s.token.Mark(s.group)
	s.token = s.token.With(s.group, m)
	if s.token.Mark(s.group) == before {
		return nil
	}
	return s.report(paramSession)
}

// lastPiece holds the latest piece of an answer back, so that a report can go before the
// word that the session is ready.
type lastPiece struct {
	out  holder.Sink
	held []byte
}

func (l *lastPiece) take(b []byte) error {
	if len(l.held) > 0 {
		if err := l.out(l.held); err != nil {
			return err
		}
	}
	l.held = append(l.held[:0], b...)
	return nil
}

// readySize is the size of the message that tells that the session is ready.
const readySize = 6

// flush passes the last piece on, with report in front of its end.
func (l *lastPiece) flush(report []byte) error {
	b := l.held
	l.held = nil
	if n := len(b) - readySize; len(report) > 0 && n >= 0 && b[n] == 'Z' {
		b = append(b[:n:n], append(report, b[n:]...)...)
	}
	if len(b) == 0 {
		return nil
	}
	return l.out(b)
}

// deliver passes a batch to the holder, and again while it is certain not to have run and
// time and the budget allow.
func (s *session) deliver(b *wire.Batch, sink holder.Sink) (holder.Outcome, error) {
	deadline := s.srv.Now().Add(s.timeout)
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	s.srv.earn(s.user)
	passed := false
	counted := func(p []byte) error {
		passed = passed || len(p) > 0
		return sink(p)
	}
	pauses := backoff()
	for try := 0; ; try++ {
		b.Timeout = uint64(max(time.Millisecond, deadline.Sub(s.srv.Now())))
		out, err := s.try(ctx, b, counted)
		if err == nil {
			s.keep(out)
			return out, nil
		}
		e := fault.From(err)
		s.drop()
		if passed || s.status != holder.Idle || !elsewhere(e) || ctx.Err() != nil {
			return holder.Outcome{}, err
		}
		if !s.srv.spend(s.user) {
			s.srv.Meter.CountRefusal(fault.RetryBudget)
			return holder.Outcome{}, err
		}
		s.srv.Meter.CountRetry(e.Reason)
		clock.Sleep(ctx, pauses.Pause(try))
	}
}

// elsewhere reports whether a request that did not run may run on the holder that control
// names next.
func elsewhere(e *fault.Error) bool {
	if e.Verdict != fault.NotRun {
		return false
	}
	switch e.Reason {
	case fault.NotHolder, fault.NoHolder, fault.NoLease:
		return true
	}
	return false
}

// try runs a batch once.
func (s *session) try(ctx context.Context, b *wire.Batch, sink holder.Sink) (holder.Outcome, error) {
	w := s.work
	if w == nil {
		var err error
		if w, err = s.openUnit(ctx); err != nil {
			return holder.Outcome{}, err
		}
		s.setWork(w)
	}
	return w.Run(ctx, b, sink)
}

// openUnit opens a unit of work on the group's holder.
func (s *session) openUnit(ctx context.Context) (unit, error) {
	now := s.srv.Now()
	if !s.srv.Agent.LeaseValid(now) {
		return nil, fault.New(fault.NotRun, fault.NoLease, "host %s has no lease from control", s.srv.Host)
	}
	view := s.srv.Agent.View()
	run := view.Get(spec.Groups, s.group).GetGroup()
	if run == nil {
		return nil, fault.New(fault.NotRun, fault.UnknownDatabase, "database %q does not exist any more", s.database)
	}
	s.declared = view.Caller(s.user)
	req := &wire.WorkRequest{
		Group: s.group, Caller: s.user, Class: uint32(s.class()),
		Stale: uint64(s.declared.Age()), Rate: uint64(s.declared.Rate),
	}
	if run.Holder == s.srv.Host {
		w, err := s.srv.Holder.Open(now, req)
		if err != nil {
			return nil, err
		}
		return w, nil
	}
	addr := view.Get(spec.Hosts, run.Holder).GetHost().GetLink()
	if addr == "" {
		return nil, fault.New(fault.NotRun, fault.NoHolder, "group %s has no holder now", s.group)
	}
	s.srv.Meter.AddCounter("work.forwarded", 1)
	w, err := holder.OpenRemote(ctx, s.srv.Dialer, addr, req)
	if err != nil {
		return nil, err
	}
	return w, nil
}

// keep holds on to the unit of work while a transaction is open.
func (s *session) keep(out holder.Outcome) {
	if out.Status == holder.Idle {
		s.drop()
	}
}

func (s *session) drop() {
	s.mu.Lock()
	w := s.work
	s.work = nil
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
}
