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
	"github.com/agatespindle/agatespindle/internal/traffic/stmt"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// unsupported returns the error for a feature that the proxy does not forward.
func unsupported(what string) *fault.Error {
	return fault.New(fault.NotRun, fault.Unsupported, "not supported through the proxy: %s", what)
}

// runSimple runs a query of the simple query protocol.
func (s *session) runSimple(text string) {
	st := stmt.Classify(text)
	if done, answer, err := s.answerLocal(st); done {
		if err != nil {
			s.replyError(err)
			return
		}
		s.reply(append(answer, encodeMessages(nil, &pgproto3.ReadyForQuery{TxStatus: s.txStatus})...))
		return
	}
	data, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		s.replyError(fault.New(fault.NotRun, fault.BadMessage, "query cannot be encoded"))
		return
	}
	b := &wire.Batch{Data: data, Mayread: st.MayRunOnReplica(), Commits: st.MayEndTransaction(), Dirty: st.MayChangeSettings()}
	s.dispatch(b, st.Kind == stmt.Begin, s.forward)
}

// forward sends a response of the backend server to the caller unchanged.
func (s *session) forward(p []byte) error { return s.send(p) }

// reply sends a response that the proxy itself produced. Errors are ignored.
func (s *session) reply(b []byte) { _ = s.send(b) }

// replyError records an error of the proxy and sends it as the response to a request.
func (s *session) replyError(err error) {
	e := fault.From(err)
	s.recordError(e)
	s.reply(encodeMessages(nil, errorResponse(e, "ERROR"), &pgproto3.ReadyForQuery{TxStatus: s.txStatus}))
}

// recordError counts and logs an error. If a transaction is open, it is rolled back and the
// session rejects statements until the caller ends the transaction, so that none of them runs
// outside of it.
func (s *session) recordError(e *fault.Error) {
	s.srv.Meter.CountRefusal(e.Reason)
	s.srv.Log.WithError(e).WithField("caller", s.user).WithField("verdict", e.Verdict.String()).Debug("request failed")
	if s.txStatus == holder.Idle {
		return
	}
	s.closeWork()
	s.transactionLost = true
	s.txStatus = holder.InFailedTransaction
}

// dispatch runs a batch on the group's holder and sends the response or the error to the caller.
// A batch that may write and does not begin a transaction consumes the idempotency key.
func (s *session) dispatch(b *wire.Batch, beginsTransaction bool, sink holder.Sink) {
	if !s.starts(s.srv.Now(), beginsTransaction) {
		s.endDrained()
		return
	}
	if !beginsTransaction && !b.Mayread {
		b.Key = s.idempotencyKey
		s.idempotencyKey = ""
	}
	position := s.token.Position(s.group)
	b.Term, b.Position = position.Term, position.Position
	b.Barrier = s.needsBarrier
	buffered := &lastChunkBuffer{out: sink}
	out, err := s.runWithRetries(b, buffered.write)
	if err != nil {
		_ = buffered.flush(nil)
		s.closeWork()
		if s.ctx.Err() == nil {
			s.replyBatchError(err, b.Expect == 0)
		}
		return
	}
	s.txStatus = out.Status
	s.needsBarrier = false
	_ = buffered.flush(s.advanceToken(out.Position))
}

// replyBatchError sends an error as the response to a batch. If the batch does not end with
// Sync, messages are dropped up to the next Sync.
func (s *session) replyBatchError(err error, endsWithSync bool) {
	if endsWithSync {
		s.replyError(err)
		return
	}
	s.failExtended(err, false)
}

// advanceToken adds a position to the session token. It returns the parameter status message
// with the new token, or nil if the token did not change.
func (s *session) advanceToken(position token.Position) []byte {
	if position == (token.Position{}) {
		return nil
	}
	before := s.token.Position(s.group)
	s.token = s.token.With(s.group, position)
	if s.token.Position(s.group) == before {
		return nil
	}
	return s.paramStatus(paramSession)
}

// lastChunkBuffer delays the latest chunk of a response, so that a parameter status message can
// be inserted before the final ReadyForQuery.
type lastChunkBuffer struct {
	out   holder.Sink
	chunk []byte
}

func (l *lastChunkBuffer) write(b []byte) error {
	if len(l.chunk) > 0 {
		if err := l.out(l.chunk); err != nil {
			return err
		}
	}
	l.chunk = append(l.chunk[:0], b...)
	return nil
}

// flush forwards the delayed chunk, with status before its ReadyForQuery or, if it has none, at its end.
func (l *lastChunkBuffer) flush(status []byte) error {
	b := l.chunk
	l.chunk = nil
	if len(status) > 0 {
		n := lastMessage(b)
		if n < len(b) && b[n] != 'Z' {
			n = len(b)
		}
		b = append(b[:n:n], append(status, b[n:]...)...)
	}
	if len(b) == 0 {
		return nil
	}
	return l.out(b)
}

// lastMessage returns where the last of the messages in b begins. Their contents say nothing about that.
func lastMessage(b []byte) int {
	last := 0
	for at := 0; at < len(b); {
		last = at
		n := messageLength(b[at:])
		if n == 0 {
			return len(b)
		}
		at += n
	}
	return last
}

// runWithRetries runs a batch on the holder. It retries while the batch certainly did not run,
// no response was sent, and the deadline and the caller's retry budget allow it.
func (s *session) runWithRetries(b *wire.Batch, sink holder.Sink) (holder.Outcome, error) {
	deadline := s.srv.Now().Add(s.statementTimeout)
	ctx, cancel := context.WithTimeout(s.ctx, s.statementTimeout)
	defer cancel()
	s.srv.creditRetryBudget(s.user)
	answered := false
	countingSink := func(p []byte) error {
		answered = answered || len(p) > 0
		return sink(p)
	}
	backoff := newRetryBackoff()
	for attempt := 0; ; attempt++ {
		b.Timeout = uint64(max(time.Millisecond, deadline.Sub(s.srv.Now())))
		out, err := s.runOnce(ctx, b, countingSink)
		if err == nil {
			s.closeWorkIfIdle(out)
			return out, nil
		}
		e := fault.From(err)
		s.closeWork()
		if answered || s.txStatus != holder.Idle || !retryableOnNextHolder(e) || ctx.Err() != nil {
			return holder.Outcome{}, err
		}
		if !s.srv.takeRetry(s.user) {
			s.srv.Meter.CountRefusal(fault.RetryBudget)
			return holder.Outcome{}, err
		}
		s.srv.Meter.CountRetry(e.Reason)
		clock.Sleep(ctx, backoff.Delay(attempt))
	}
}

// retryableOnNextHolder reports whether the request did not run and failed because the group's
// holder is missing, has changed or has no lease, so that a retry on the next holder may succeed.
func retryableOnNextHolder(e *fault.Error) bool {
	if e.Verdict != fault.NotRun {
		return false
	}
	switch e.Reason {
	case fault.NotHolder, fault.NoHolder, fault.NoLease:
		return true
	}
	return false
}

// runOnce makes one attempt to run a batch. It opens a unit of work if there is none.
func (s *session) runOnce(ctx context.Context, b *wire.Batch, sink holder.Sink) (holder.Outcome, error) {
	w := s.work
	if w == nil {
		var err error
		if w, err = s.openWork(ctx); err != nil {
			return holder.Outcome{}, err
		}
		s.setWork(w)
	}
	return w.Run(ctx, b, sink)
}

// openWork opens a unit of work on the group's holder, this host or another one.
func (s *session) openWork(ctx context.Context) (unitOfWork, error) {
	now := s.srv.Now()
	if !s.srv.Agent.LeaseValid(now) {
		return nil, fault.New(fault.NotRun, fault.NoLease, "host %s has no valid lease", s.srv.Host)
	}
	view := s.srv.Agent.View()
	groupState := view.Get(spec.Groups, s.group).GetGroup()
	if groupState == nil {
		return nil, fault.New(fault.NotRun, fault.UnknownDatabase, "database %q no longer exists", s.database)
	}
	s.callerSpec = view.Caller(s.user)
	req := &wire.WorkRequest{
		Group: s.group, Caller: s.user, Class: uint32(s.priorityClass()),
		Stale: uint64(s.callerSpec.MaxStaleness()), Rate: uint64(s.callerSpec.Rate),
	}
	if groupState.Holder == s.srv.Host {
		w, err := s.srv.Holder.Open(now, req)
		if err != nil {
			return nil, err
		}
		return w, nil
	}
	addr := view.Get(spec.Hosts, groupState.Holder).GetHost().GetLink()
	if addr == "" {
		return nil, fault.New(fault.NotRun, fault.NoHolder, "group %s currently has no holder", s.group)
	}
	s.srv.Meter.AddCounter("work.forwarded", 1)
	w, err := holder.OpenRemote(ctx, s.srv.Dialer, addr, req)
	if err != nil {
		return nil, err
	}
	return w, nil
}

// closeWorkIfIdle closes the unit of work unless a transaction is open.
func (s *session) closeWorkIfIdle(out holder.Outcome) {
	if out.Status == holder.Idle {
		s.closeWork()
	}
}

// closeWork closes the unit of work, if there is one.
func (s *session) closeWork() {
	s.mu.Lock()
	w := s.work
	s.work = nil
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
}
