package front

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// maxUnhandled is the number of bytes of messages that a caller may send ahead, a few of the largest ones.
const maxUnhandled = 4 << 20

// flooded reports whether the caller has sent more ahead than maxUnhandled. What it has sent is dropped
// then, and the connection is closed after the answer to the running statement. c.mu must be held, and
// the event loop must call it.
func (c *caller) flooded() bool {
	if !c.flood && c.in.size() > maxUnhandled {
		reason := "refused.flood"
		if c.blocked {
			reason = "refused.unread"
		}
		c.srv.Meter.AddCounter(reason, 1)
		c.flood = true
	}
	if !c.flood {
		return false
	}
	c.dropInput()
	if !c.busy {
		c.end()
	}
	return true
}

// dropOverflow drops what the host has no memory for. A caller that waits for no answer is told, and its
// connection is closed; of another one it is closed after the answer. c.mu must be held.
func (c *caller) dropOverflow() []byte {
	c.dropInput()
	if c.occupied() {
		c.flood = true
		return nil
	}
	c.end()
	return c.srv.Codec.AppendStartupAnswer(nil, flow.ErrorAnswer(flow.Busy, flow.Idle, "host has no memory for the message"))
}

// awaitsReader reports whether a message waits until the caller has read more of the answers before it. A
// caller that stops reading is disconnected. c.mu must be held, and the event loop must call it.
func (c *caller) awaitsReader(now time.Time) bool {
	unread, limit := c.conn.OutboundBuffered(), c.srv.Limits.UnreadBytes
	c.blocked = limit > 0 && unread > limit
	switch {
	case !c.blocked:
		c.reading = drain.Progress{}
	case c.reading.Stalled(now, unread, readTimeout):
		c.srv.Meter.AddCounter("refused.unread", 1)
		c.end()
	}
	return c.blocked
}

// end has the connection closed once all answers have been sent. c.mu must be held.
func (c *caller) end() { c.ending = true }

// closeIfDone returns gnet.Close if the connection is to be closed and nothing is owed to its caller.
// gnet drops what it has not sent when it closes a connection.
func (c *caller) closeIfDone(now time.Time) gnet.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return gnet.None
	}
	if c.ending {
		unsent := c.conn.OutboundBuffered()
		if unsent > 0 && !c.flood && !c.reading.Stalled(now, unsent, readTimeout) {
			return gnet.None
		}
		return gnet.Close
	}
	schedule := c.srv.drain.Schedule()
	if !c.shedding && !schedule.ClosesIdle(now) {
		return gnet.None
	}
	state := c.state()
	if schedule.Closes(now, state) || c.shedding && state.Idle(now) {
		return gnet.Close
	}
	return gnet.None
}

// state returns the state of the connection for the decision to close it. c.mu must be held, and the
// event loop must call it.
func (c *caller) state() drain.Conn {
	st := drain.Conn{
		Opened: c.connectedAt, Used: c.used, Running: c.occupied(), Received: c.in.size() + c.conn.InboundBuffered(), Unsent: c.conn.OutboundBuffered(),
	}
	// The session of a running statement belongs to its goroutine.
	if !st.Running {
		st.InTransaction = !c.abandoned && c.session != nil && c.session.State() != flow.Idle
		c.addPending(&st)
	}
	return st
}

// initialWindow is the number of bytes that TCP sends at once on a new connection (RFC 6928).
const initialWindow = 10 * 1460

// addPending adds to st what the kernel has not delivered. If the caller's next message arrives after
// the close, the kernel resets the connection and drops what it has not sent. A caller that sends one
// statement at a time has read the last answer by then, unless that was too large to be sent at once.
func (c *caller) addPending(st *drain.Conn) {
	received, unsent, ok := drain.Pending(c.conn.Fd(), c.srv.Log, c.srv.Meter)
	if !ok {
		return
	}
	if c.lateRefusals > 0 {
		// Such a caller may never stop sending. Only its late refusals may be dropped.
		st.Unsent = max(0, st.Unsent+unsent-c.lateRefusals)
		return
	}
	st.Received += received
	if c.sendsAhead || unsent > initialWindow {
		st.Unsent += unsent
	}
}

// abandon answers a statement that still runs with what is certain of it, and a held startup message.
func (c *caller) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil && c.cancel != nil {
		c.cancel()
	}
	if c.closed || c.fallback == nil {
		return
	}
	c.srv.Meter.AddCounter("refused.overdue", 1)
	c.overdue, c.abandonedState = true, c.fallback.State
	out := c.srv.Codec.AppendAnswer(nil, *c.fallback)
	c.fallback = nil
	report := func(err error) {
		if err != nil {
			c.srv.Log.WithField("error", err.Error()).WithField("request", c.running).Info("answer to an overdue statement could not be sent")
		}
	}
	report(c.conn.AsyncWrite(out, func(_ gnet.Conn, err error) error {
		report(err)
		// Only now: the refusal of a later message must not overtake this answer.
		c.mu.Lock()
		c.abandoned = true
		c.mu.Unlock()
		return c.conn.Wake(nil)
	}))
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
	c.in = inbox{}
	c.claim.Force(bounds.Received, 0)
	c.claim.Force(bounds.Unsent, 0)
	if c.busy {
		return
	}
	c.claim.Close()
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// logCut logs the connection if the host closes it while it owes its caller something. The event loop
// must call it before the connection is released.
func (c *caller) logCut(now time.Time) {
	c.mu.Lock()
	cut := drain.Cut{Request: c.running, Running: c.occupied(), StartedAt: c.startedAt, OpenedAt: c.connectedAt, Unsent: c.conn.OutboundBuffered(), Unhandled: c.in.size() + c.conn.InboundBuffered()}
	c.mu.Unlock()
	cut.Log(now, c.srv.drain.Schedule(), c.srv.Log, c.srv.Meter)
}

// enforceTimeouts closes the connection, after its last answer, if a message, or the startup message,
// takes longer to arrive than Limits.MessageTimeout.
func (c *caller) enforceTimeouts(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.srv.Limits.MessageTimeout
	if c.closed {
		return
	}
	if c.ending || c.blocked || c.unread {
		// The caller may have read answers since.
		defer c.wake()
	}
	if c.busy || c.ending || timeout == 0 {
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
	c.end()
	c.wake()
}

// wake has the event loop decide whether to close the connection: it alone knows which answers have been
// sent and which messages have arrived.
func (c *caller) wake() { _ = c.conn.Wake(nil) }

// closeWhenIdle has the connection closed if it is idle, by the rules of the drain.
func (c *caller) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && !c.occupied() {
		c.wake()
	}
}

// shed has the connection closed once it is idle.
func (c *caller) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.busy || c.session != nil && c.session.State() != flow.Idle {
		return
	}
	c.shedding = true
	c.wake()
}
