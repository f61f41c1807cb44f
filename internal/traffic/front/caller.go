package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

// caller is one connection from a caller. It has no goroutine of its own between statements. While a
// statement runs or a startup message is held, busy is set; the goroutine that runs the statement
// then has sole use of the session.
type caller struct {
	srv         *Server
	conn        gnet.Conn
	connectedAt time.Time

	mu      sync.Mutex
	busy    bool
	closed  bool
	session *sess.Session
	// cancel ends the running statement, if any: its caller no longer waits for the answer. For a held
	// startup message it ends the hold.
	cancel context.CancelFunc
	// running is the ID of the running statement, or of the last one; startedAt is when it arrived.
	running   string
	startedAt time.Time
	// fallback is the answer to the running statement if it does not end in time; nil if none runs.
	fallback *flow.Answer
	// overdue is set once fallback is on its way to the event loop; the statement's own answer is dropped.
	overdue bool
	// abandoned is set once fallback has been written. The statement may still run and use the session,
	// so that later messages are refused.
	abandoned bool
	// abandonedState is the transaction state that the caller was told last, once abandoned is set.
	abandonedState flow.State
	// partialSince is when the first part of an incomplete message was seen; zero if there is none.
	partialSince time.Time
	// reading is the caller's progress with answers that hold up its next message or the close, and
	// blocked is set while a message waits for it.
	reading drain.Progress
	blocked bool
	// used is set once a statement has arrived.
	used bool
	// refusingSince is when a statement was first refused because the host drains. From then on nothing is
	// started: a statement sent ahead may belong to what was refused.
	refusingSince time.Time
	// lateRefusals is the number of bytes of refusals of statements that arrived well after that.
	lateRefusals int
	// sendsAhead is set once the caller has sent a statement before the answer to the last one.
	sendsAhead bool
	// shedding is set once the connection is to be closed as soon as it is idle.
	shedding bool
	// revoked is set once the session was found to be no longer entitled to its database.
	revoked bool
	// flood is set once the caller has sent too much ahead.
	flood bool
	// ending is set once no further message is handled: the connection is closed when all answers have
	// been sent.
	ending bool
	// in is what the caller has sent and is not handled yet.
	in inbox
	// claim is what the caller holds of the host's memory.
	claim *bounds.Claim
	// sessionGrown is at least what the session keeps, and sessionHeld what is counted for it, in bytes.
	sessionGrown, sessionHeld int
	// unread is set while answers wait for the caller to read.
	unread bool
	// pace is the caller's progress with them.
	pace drain.Progress
	// unanswerable is set if the host has no memory for an answer.
	unanswerable bool
	// usedAt is when the last statement arrived.
	usedAt time.Time
}

// handleTraffic handles the complete messages in the input buffer and closes the connection if that is
// due. It runs in the event loop: only there is it certain that no message is read between that
// decision and the close. It does not hold mu while writing an answer, because the engine may close the
// connection, and so call handleClose, during the write.
func (c *caller) handleTraffic(now time.Time) gnet.Action {
	for {
		out, again := c.handleNext(now)
		if len(out) > 0 {
			if _, err := c.conn.Write(out); err != nil {
				return gnet.Close
			}
		}
		if !again || len(out) > 0 {
			if !c.account(now) {
				return gnet.Close
			}
		}
		if !again {
			return c.closeIfDone(now)
		}
	}
}

// handleNext handles one message. It returns the bytes to write and whether to look for another message.
func (c *caller) handleNext(now time.Time) (out []byte, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	if !c.receive() {
		return c.dropOverflow(), false
	}
	if c.ending || c.flooded() {
		return nil, false
	}
	if c.occupied() {
		c.sendsAhead = c.sendsAhead || c.used && c.in.size() > 0
		return nil, false
	}
	if c.in.size() == 0 || c.blocked && c.awaitsReader(now) {
		return nil, false
	}
	m, n, err := c.parse()
	if err != nil {
		c.end()
		return c.reject(err), false
	}
	if n == 0 {
		if c.partialSince.IsZero() {
			c.partialSince = now
		}
		return nil, false
	}
	c.partialSince = time.Time{}
	if c.awaitsReader(now) {
		return nil, false
	}
	c.discard(n)
	return c.handleMessage(now, m), true
}

// occupied reports whether the next message waits for the answer to a statement or a startup message.
// c.mu must be held.
func (c *caller) occupied() bool { return (c.busy || c.overdue) && !c.abandoned }

// reject returns the error answer to a message that the codec cannot parse.
func (c *caller) reject(err error) []byte {
	c.srv.Meter.AddCounter("refused.badmessage", 1)
	code := flow.Invalid
	if errors.Is(err, ErrTooLarge) {
		code = flow.TooLarge
	}
	return c.srv.Codec.AppendStartupAnswer(nil, flow.ErrorAnswer(code, flow.Idle, err.Error()))
}

// handleMessage handles a parsed message and returns the bytes to write. c.mu must be held.
func (c *caller) handleMessage(now time.Time, m Message) []byte {
	switch {
	case m.Quit:
		c.end()
		return nil
	case m.Startup != nil:
		return c.handleStartup(now, m.Startup)
	case c.abandoned:
		return c.refuseAfterAbandoned(now, *m.Statement)
	case c.session == nil:
		c.srv.Meter.AddCounter("refused.nosession", 1)
		c.end()
		return nil
	}
	return c.handleStatement(now, *m.Statement)
}

// handleStatement answers a statement that needs no instance, and starts or refuses any other. c.mu must
// be held.
func (c *caller) handleStatement(now time.Time, st flow.Statement) []byte {
	if c.used && c.in.size() > 0 {
		c.sendsAhead = true
	}
	c.used, c.usedAt = true, now
	if !c.refusingSince.IsZero() || c.refuses(now, st) {
		return c.refuse(now, c.session.Refuse(st))
	}
	if !c.session.Entitled() {
		return c.revoke(st)
	}
	if a, ok := c.session.LeaveAccount(st); ok {
		return c.srv.Codec.AppendAnswer(nil, a)
	}
	if a, ok := c.keepsSession(st); !ok {
		return c.srv.Codec.AppendAnswer(nil, a)
	}
	if a, ok := c.session.RunLocal(now, st); ok {
		return c.srv.Codec.AppendAnswer(nil, a)
	}
	if !c.startsWithin(st) {
		return c.refuseForMemory(st)
	}
	fallback := c.session.AnswerIfAbandoned(st)
	c.busy, c.running, c.startedAt, c.fallback = true, logID(st.ID), now, &fallback
	c.srv.wg.Add(1)
	go c.runStatement(st)
	return nil
}

// refuses reports whether a statement is not started because the host drains.
func (c *caller) refuses(now time.Time, st flow.Statement) bool {
	schedule := c.srv.drain.Schedule()
	if !schedule.Active() {
		return false
	}
	switch st.Kind {
	case flow.Begin, flow.BeginRead:
		return !schedule.StartsTransaction(now)
	case flow.Read, flow.Write, flow.Exec, flow.Commit:
		return !schedule.StartsRequest(now, c.session.Timeout(), c.session.State() != flow.Idle)
	}
	return false
}

// revoke answers a statement of a caller whose key was taken away, and has the connection closed. c.mu must
// be held.
func (c *caller) revoke(st flow.Statement) []byte {
	c.countRevoked()
	c.end()
	return c.srv.Codec.AppendAnswer(nil, c.session.Revoke(st))
}

// countRevoked counts a session whose caller's key was taken away, once. c.mu must be held.
func (c *caller) countRevoked() {
	if !c.revoked {
		c.revoked = true
		c.srv.Meter.AddCounter("sessions.revoked", 1)
	}
}

// settleTime is how long after the first refusal the caller may still have statements refused that it sent
// long before and that waited for the ones before them.
const settleTime = 100 * time.Millisecond

// refuse returns the encoded answer to a statement that is not started because the host drains. c.mu must
// be held.
func (c *caller) refuse(now time.Time, a flow.Answer) []byte {
	c.srv.Meter.AddCounter("refused.draining", 1)
	out := c.srv.Codec.AppendAnswer(nil, a)
	if c.refusingSince.IsZero() {
		c.refusingSince = now
	}
	if now.Sub(c.refusingSince) > settleTime {
		c.lateRefusals += len(out)
	}
	return out
}

// refuseAfterAbandoned refuses a statement that follows an abandoned one. c.mu must be held.
func (c *caller) refuseAfterAbandoned(now time.Time, st flow.Statement) []byte {
	if st.Kind == flow.Commit || st.Kind == flow.Rollback {
		c.abandonedState = flow.Idle
	}
	return c.refuse(now, flow.ErrorAnswer(flow.Busy, c.abandonedState, "host is shutting down"))
}

// handleStartup opens a session. On a host that has just started it holds the startup message for a
// moment instead of refusing it: the host learns the declared databases soon, and other hosts may
// have restarted at the same time.
func (c *caller) handleStartup(now time.Time, startup *Startup) []byte {
	if c.session != nil || c.abandoned {
		c.end()
		return nil
	}
	if c.srv.CanOpenSession(now) || c.srv.DatabasesKnown == nil {
		return c.startSession(now, startup)
	}
	c.srv.Meter.AddCounter("callers.held", 1)
	c.busy = true
	c.srv.wg.Add(1)
	go c.awaitDatabases(*startup)
	return nil
}

// startSession opens a session or answers why it cannot. c.mu must be held.
func (c *caller) startSession(now time.Time, startup *Startup) []byte {
	if !c.srv.CanOpenSession(now) {
		return c.refuseStartup("notready", flow.ErrorAnswer(flow.Busy, flow.Idle, "host is not ready"))
	}
	session, code := c.srv.Sessions.Open(startup.Database, startup.Key)
	if code != flow.OK {
		return c.refuseStartup(code.String(), flow.ErrorAnswer(code, flow.Idle, startup.Database))
	}
	if !c.srv.drain.Schedule().StartsRequest(now, session.Timeout(), false) {
		return c.refuseStartup("draining", flow.ErrorAnswer(flow.Busy, flow.Idle, "host is shutting down"))
	}
	c.session = session
	return c.srv.Codec.AppendStartupAnswer(nil, flow.SuccessAnswer(flow.Idle))
}

// refuseStartup answers a startup message with an error and has the connection closed. c.mu must be held.
func (c *caller) refuseStartup(reason string, a flow.Answer) []byte {
	c.srv.Meter.AddCounter("refused."+reason, 1)
	c.end()
	return c.srv.Codec.AppendStartupAnswer(nil, a)
}

// awaitDatabases answers a held startup message once the host knows the declared databases, or after
// startupHoldLimit.
func (c *caller) awaitDatabases(startup Startup) {
	defer c.srv.wg.Done()
	ctx, cancel := context.WithTimeout(c.srv.ctx, startupHoldLimit)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	clock.Await(ctx, c.srv.DatabasesKnown)
	c.mu.Lock()
	c.cancel = nil
	out := c.startSession(c.srv.Now(), &startup)
	c.mu.Unlock()
	c.reply(out)
}

// runStatement runs one statement. It is called in its own goroutine.
func (c *caller) runStatement(st flow.Statement) {
	defer c.srv.wg.Done()
	ctx, cancel := context.WithCancel(c.srv.ctx)
	defer cancel()
	started := c.srv.Now()
	c.mu.Lock()
	c.cancel = cancel
	if c.closed {
		cancel()
	}
	c.mu.Unlock()
	a := c.session.Run(ctx, st)
	c.mu.Lock()
	c.cancel, c.fallback = nil, nil
	if c.closed {
		c.session.CallerLeft(c.srv.Now(), started, st)
	}
	if c.overdue {
		c.mu.Unlock()
		c.finish()
		return
	}
	if !c.holdsAnswer(a) {
		c.mu.Unlock()
		c.finish()
		_ = c.conn.Wake(nil)
		return
	}
	out := c.srv.Codec.AppendAnswer(nil, a)
	c.mu.Unlock()
	c.reply(out)
}

// reply writes an answer and then handles the next message or closes the connection.
func (c *caller) reply(out []byte) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.finish()
		return
	}
	err := c.conn.AsyncWrite(out, func(gnet.Conn, error) error {
		c.finish()
		if c.handleTraffic(c.srv.Now()) == gnet.Close {
			return c.conn.Wake(nil)
		}
		return nil
	})
	if err != nil {
		c.finish()
	}
}

// finish clears busy. It ends the session if the connection was closed in the meantime, or if its
// caller was told that the statement did not end in time.
func (c *caller) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.claim.Force(bounds.Running, 0)
	if (c.closed || c.overdue) && c.session != nil {
		c.session.Close()
		c.session = nil
	}
	if c.closed {
		c.claim.Close()
	}
}

// enforceKey rolls back the open transaction of a caller whose key was taken away, and has its connection
// closed if it is idle. The caller's next statement tells it the verdict on a transaction.
func (c *caller) enforceKey() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.busy || c.session == nil || c.session.Entitled() {
		return
	}
	c.countRevoked()
	c.session.RollBackRevoked()
	if c.session.State() == flow.Idle {
		c.shedding = true
		c.wake()
	}
}

// expireTransaction rolls back a transaction that has exceeded its idle timeout.
func (c *caller) expireTransaction(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && c.session != nil {
		c.session.ExpireTransaction(now)
	}
}
