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

// caller is one connection of a caller. Between two statements it has no goroutine; while
// one runs, busy is set and the session belongs to the goroutine that runs it.
type caller struct {
	srv   *Server
	conn  gnet.Conn
	since time.Time

	mu      sync.Mutex
	busy    bool
	closed  bool
	session *sess.Session
	out     []byte
	// partial is since when the first part of a message waits for the rest.
	partial time.Time
}

// traffic handles the messages that have arrived whole. It runs in the event loop. The
// engine may close the connection, and call end, while an answer is written, so that mu is
// not held then.
func (c *caller) traffic(now time.Time) gnet.Action {
	for {
		out, again, act := c.step(now)
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

// step handles one message. It returns what is to be written, whether another message may
// follow, and whether the connection ends.
func (c *caller) step(now time.Time) (out []byte, again bool, act gnet.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed {
		return nil, false, gnet.None
	}
	if most := c.srv.Bounds.Unread; most > 0 && c.conn.OutboundBuffered() > most {
		c.srv.Meter.AddCounter("refused.unread", 1)
		return nil, false, gnet.Close
	}
	b, err := c.conn.Peek(-1)
	if err != nil || len(b) == 0 {
		return nil, false, gnet.None
	}
	m, n, err := c.srv.Codec.Next(b)
	if err != nil {
		return c.reject(err), false, gnet.Close
	}
	if n == 0 {
		if c.partial.IsZero() {
			c.partial = now
		}
		return nil, false, gnet.None
	}
	c.partial = time.Time{}
	if _, err := c.conn.Discard(n); err != nil {
		return nil, false, gnet.Close
	}
	out, act = c.handle(now, m)
	return out, true, act
}

func (c *caller) reject(err error) []byte {
	c.srv.Meter.AddCounter("refused.badmessage", 1)
	code := flow.Invalid
	if errors.Is(err, ErrTooLarge) {
		code = flow.TooLarge
	}
	return c.srv.Codec.Welcome(nil, flow.Refuse(code, flow.Idle, err.Error()))
}

// handle handles a message. The caller holds mu.
func (c *caller) handle(now time.Time, m Message) ([]byte, gnet.Action) {
	switch {
	case m.Quit:
		return nil, gnet.Close
	case m.Open != nil:
		return c.open(now, m.Open)
	case c.session == nil:
		c.srv.Meter.AddCounter("refused.nosession", 1)
		return nil, gnet.Close
	}
	if a, ok := c.session.Local(now, *m.Ask); ok {
		c.out = c.srv.Codec.Put(c.out[:0], a)
		return c.out, gnet.None
	}
	c.busy = true
	c.srv.wg.Add(1)
	go c.run(*m.Ask)
	return nil, gnet.None
}

// open opens a session. A host that has just started holds the opening for a moment: it learns
// the declared databases soon, and other hosts may have started with it.
func (c *caller) open(now time.Time, o *Opening) ([]byte, gnet.Action) {
	if c.session != nil {
		return nil, gnet.Close
	}
	if c.srv.Serves(now) || c.srv.Informed == nil {
		return c.begin(now, o)
	}
	c.srv.Meter.AddCounter("callers.held", 1)
	c.busy = true
	c.srv.wg.Add(1)
	go c.await(*o)
	return nil, gnet.None
}

// begin opens a session, or says why there is none. The caller holds mu.
func (c *caller) begin(now time.Time, o *Opening) ([]byte, gnet.Action) {
	if !c.srv.Serves(now) {
		c.srv.Meter.AddCounter("refused.notready", 1)
		return c.srv.Codec.Welcome(nil, flow.Refuse(flow.Busy, flow.Idle, "host is not ready")), gnet.Close
	}
	session, ok := c.srv.Broker.Open(o.Database)
	if !ok {
		c.srv.Meter.AddCounter("refused.nodatabase", 1)
		return c.srv.Codec.Welcome(nil, flow.Refuse(flow.NoDatabase, flow.Idle, o.Database)), gnet.Close
	}
	c.session = session
	return c.srv.Codec.Welcome(nil, flow.Done(flow.Idle)), gnet.None
}

// await answers an opening once the host knows the declared databases, or after openingWait.
func (c *caller) await(o Opening) {
	defer c.srv.wg.Done()
	ctx, cancel := context.WithTimeout(c.srv.ctx, openingWait)
	defer cancel()
	clock.Await(ctx, c.srv.Informed)
	c.mu.Lock()
	out, act := c.begin(c.srv.Now(), &o)
	c.mu.Unlock()
	c.reply(out, act)
}

// run runs one statement in a goroutine of its own.
func (c *caller) run(st flow.Statement) {
	defer c.srv.wg.Done()
	a := c.session.Run(c.srv.ctx, st)
	c.mu.Lock()
	c.out = c.srv.Codec.Put(c.out[:0], a)
	out := c.out
	c.mu.Unlock()
	c.reply(out, gnet.None)
}

// reply sends an answer and lets the next message in, or ends the connection.
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
		if act == gnet.Close || c.traffic(c.srv.Now()) == gnet.Close {
			return c.conn.Close()
		}
		return nil
	})
	if err != nil {
		c.finish()
	}
}

// finish lets the next statement in, or ends a session whose caller has gone.
func (c *caller) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.closed && c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// end ends the session of a connection that is gone.
func (c *caller) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.busy && c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// expire ends a transaction that has rested for too long.
func (c *caller) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && c.session != nil {
		c.session.Expire(now)
	}
}

// limit closes a connection that takes too long over a message, or over asking for a session.
func (c *caller) limit(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.srv.Bounds.Message
	if c.busy || c.closed || most == 0 {
		return
	}
	switch {
	case !c.partial.IsZero() && now.Sub(c.partial) > most:
		c.srv.Meter.AddCounter("refused.slowmessage", 1)
	case c.session == nil && now.Sub(c.since) > most:
		c.srv.Meter.AddCounter("refused.noopening", 1)
	default:
		return
	}
	c.leave()
}

// leave ends the session and closes the connection. The caller holds mu.
func (c *caller) leave() {
	c.closed = true
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
	_ = c.conn.Close()
}

// dismiss closes the connection if nothing runs on it. An open transaction stays unless force
// is set.
func (c *caller) dismiss(force bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed || (c.session != nil && c.session.State() != flow.Idle && !force) {
		return
	}
	c.leave()
}
