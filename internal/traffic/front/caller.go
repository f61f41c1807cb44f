package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/clock"
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
	// cancel ends the running statement, if any: its caller no longer waits for the answer.
	cancel context.CancelFunc
	// running is the ID of the running statement, or of the last one; startedAt is when it arrived.
	running   string
	startedAt time.Time
	out       []byte
	// partialSince is when the first part of an incomplete message was seen; zero if there is none.
	partialSince time.Time
	// closing is how the connection is to be closed once it is idle; ended is set once that was decided.
	closing closing
	ended   bool
}

// closing says whether a connection takes further requests.
type closing int

const (
	// staysOpen means that it does.
	staysOpen closing = iota
	// closesWhenIdle means that it is closed once the last answer has been written and no transaction is
	// open.
	closesWhenIdle
	// closesAfterAnswer means the same, whether or not a transaction is open.
	closesAfterAnswer
)

// handleTraffic handles the complete messages in the input buffer. It runs in the event loop. It
// does not hold mu while writing an answer, because the engine may close the connection, and so call
// handleClose, during the write.
func (c *caller) handleTraffic(now time.Time) gnet.Action {
	for {
		out, again, act := c.handleNext(now)
		if len(out) > 0 {
			if _, err := c.conn.Write(out); err != nil {
				return gnet.Close
			}
		}
		if !again || act == gnet.Close {
			return act
		}
	}
}

// handleNext handles one message. It returns the bytes to write, whether to look for another message,
// and whether to close the connection.
func (c *caller) handleNext(now time.Time) (out []byte, again bool, act gnet.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed || c.ended {
		return nil, false, gnet.None
	}
	b, err := c.conn.Peek(-1)
	if err != nil || len(b) == 0 {
		return nil, false, c.closeIfIdle()
	}
	m, n, err := c.srv.Codec.ParseMessage(b)
	if err != nil {
		return c.reject(err), false, gnet.Close
	}
	if n == 0 {
		if c.partialSince.IsZero() {
			c.partialSince = now
		}
		return nil, false, gnet.None
	}
	c.partialSince = time.Time{}
	// An answer may be larger than the limit; a caller that does not read gets no further one.
	if limit := c.srv.Limits.UnreadBytes; limit > 0 && c.conn.OutboundBuffered() > limit {
		c.srv.Meter.AddCounter("refused.unread", 1)
		return nil, false, gnet.Close
	}
	if _, err := c.conn.Discard(n); err != nil {
		return nil, false, gnet.Close
	}
	out, act = c.handleMessage(now, m)
	return out, true, act
}

// closeIfIdle returns gnet.Close if the connection is to be closed and nothing is left to be done for
// its caller: no answer is on its way, and no message has arrived in part. gnet drops what it has not
// sent when it closes a connection. c.mu must be held, and the event loop must call it.
func (c *caller) closeIfIdle() gnet.Action {
	inTransaction := c.session != nil && c.session.State() != flow.Idle
	if c.closing == staysOpen || c.closing == closesWhenIdle && inTransaction || c.conn.OutboundBuffered() > 0 {
		return gnet.None
	}
	c.ended = true
	return gnet.Close
}

// reject returns the error answer to a message that the codec cannot parse.
func (c *caller) reject(err error) []byte {
	c.srv.Meter.AddCounter("refused.badmessage", 1)
	code := flow.Invalid
	if errors.Is(err, ErrTooLarge) {
		code = flow.TooLarge
	}
	return c.srv.Codec.AppendStartupAnswer(nil, flow.ErrorAnswer(code, flow.Idle, err.Error()))
}

// handleMessage handles a parsed message. c.mu must be held.
func (c *caller) handleMessage(now time.Time, m Message) ([]byte, gnet.Action) {
	switch {
	case m.Quit:
		return nil, gnet.Close
	case m.Startup != nil:
		return c.handleStartup(now, m.Startup)
	case c.session == nil:
		c.srv.Meter.AddCounter("refused.nosession", 1)
		return nil, gnet.Close
	}
	if a, ok := c.session.RunLocal(now, *m.Statement); ok {
		c.out = c.srv.Codec.AppendAnswer(c.out[:0], a)
		return c.out, gnet.None
	}
	c.busy, c.running, c.startedAt = true, m.Statement.ID, now
	c.srv.wg.Add(1)
	go c.runStatement(*m.Statement)
	return nil, gnet.None
}

// handleStartup opens a session. On a host that has just started it holds the startup message for a
// moment instead of refusing it: the host learns the declared databases soon, and other hosts may
// have restarted at the same time.
func (c *caller) handleStartup(now time.Time, startup *Startup) ([]byte, gnet.Action) {
	if c.session != nil {
		return nil, gnet.Close
	}
	if c.srv.CanOpenSession(now) || c.srv.DatabasesKnown == nil {
		return c.startSession(now, startup)
	}
	c.srv.Meter.AddCounter("callers.held", 1)
	c.busy = true
	c.srv.wg.Add(1)
	go c.awaitDatabases(*startup)
	return nil, gnet.None
}

// startSession opens a session or answers why it cannot. c.mu must be held.
func (c *caller) startSession(now time.Time, startup *Startup) ([]byte, gnet.Action) {
	if !c.srv.CanOpenSession(now) {
		c.srv.Meter.AddCounter("refused.notready", 1)
		return c.srv.Codec.AppendStartupAnswer(nil, flow.ErrorAnswer(flow.Busy, flow.Idle, "host is not ready")), gnet.Close
	}
	session, ok := c.srv.Sessions.Open(startup.Database)
	if !ok {
		c.srv.Meter.AddCounter("refused.nodatabase", 1)
		return c.srv.Codec.AppendStartupAnswer(nil, flow.ErrorAnswer(flow.NoDatabase, flow.Idle, startup.Database)), gnet.Close
	}
	c.session = session
	return c.srv.Codec.AppendStartupAnswer(nil, flow.SuccessAnswer(flow.Idle)), gnet.None
}

// awaitDatabases answers a held startup message once the host knows the declared databases, or after
// startupHoldLimit.
func (c *caller) awaitDatabases(startup Startup) {
	defer c.srv.wg.Done()
	ctx, cancel := context.WithTimeout(c.srv.ctx, startupHoldLimit)
	defer cancel()
	clock.Await(ctx, c.srv.DatabasesKnown)
	c.mu.Lock()
	out, act := c.startSession(c.srv.Now(), &startup)
	c.mu.Unlock()
	c.reply(out, act)
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
	c.cancel = nil
	if c.closed {
		c.session.CallerLeft(c.srv.Now(), started, st)
	}
	c.out = c.srv.Codec.AppendAnswer(c.out[:0], a)
	out := c.out
	c.mu.Unlock()
	c.reply(out, gnet.None)
}

// reply writes an answer and then handles the next message or closes the connection.
func (c *caller) reply(out []byte, act gnet.Action) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.finish()
		return
	}
	err := c.conn.AsyncWrite(out, func(gnet.Conn, error) error {
		c.finish()
		if act == gnet.Close || c.handleTraffic(c.srv.Now()) == gnet.Close {
			return c.conn.Close()
		}
		return nil
	})
	if err != nil {
		c.finish()
	}
}

// finish clears busy and ends the session if the connection was closed in the meantime.
func (c *caller) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.closed && c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// handleClose ends the session of a closed connection. If a statement is running, it makes no further
// tries, and finish ends the session.
func (c *caller) handleClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	if !c.busy && c.session != nil {
		c.session.Close()
		c.session = nil
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

// enforceTimeouts closes the connection if a message, or the startup message, takes longer to arrive
// than Limits.MessageTimeout.
func (c *caller) enforceTimeouts(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.srv.Limits.MessageTimeout
	if c.busy || c.closed || timeout == 0 {
		return
	}
	switch {
	case !c.partialSince.IsZero() && now.Sub(c.partialSince) > timeout:
		c.srv.Meter.AddCounter("refused.slowmessage", 1)
	case c.session == nil && now.Sub(c.connectedAt) > timeout:
		c.srv.Meter.AddCounter("refused.noopening", 1)
	default:
		return
	}
	c.disconnect()
}

// disconnect ends the session and closes the connection. c.mu must be held.
func (c *caller) disconnect() {
	c.closed = true
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
	_ = c.conn.Close()
}

// closeWhenIdle has the connection closed as soon as it is idle: at once, or after the answer to the
// running statement. What the caller sends after that answer would be broken off later.
func (c *caller) closeWhenIdle(how closing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closing = max(c.closing, how)
	if !c.busy {
		// The event loop alone knows whether all answers have been sent.
		_ = c.conn.Wake(nil)
	}
}

// shed has the connection closed if it is idle now.
func (c *caller) shed() {
	c.mu.Lock()
	idle := !c.busy && (c.session == nil || c.session.State() == flow.Idle)
	c.mu.Unlock()
	if idle {
		c.closeWhenIdle(closesWhenIdle)
	}
}
