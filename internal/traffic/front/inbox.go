package front

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

const (
	// keptBuffer is the number of bytes of a buffer that a caller keeps between statements.
	keptBuffer = 4 << 10
	// statementCopies is how many times a statement is held at once on its way to an instance.
	statementCopies = 4
	// answerCopies is how many times an answer is held at once: as rows, encoded, and unsent.
	answerCopies = 3
	// smallAnswer is the size in bytes up to which an answer is always sent.
	smallAnswer = 4 << 10
	// sessionStep is the step, in bytes, in which the memory of a session is counted. An ordinary session needs
	// one, and has room for a statement beside it in what each caller is always granted.
	sessionStep = 4 << 10
	// largeSession is the number of bytes of a session from which it may have to make way for others.
	largeSession = 16 << 10
	// maxLoggedID is the number of bytes of a request's ID that are kept for the log.
	maxLoggedID = 64
	// roomAge is the minimum age of an idle connection that is closed to make room for others.
	roomAge = time.Second
	// roomInterval is the minimum time between two looks for such a connection: each goes through all.
	roomInterval = 10 * time.Millisecond
)

// inbox holds what a caller has sent and the host has not handled.
type inbox struct {
	buf []byte
	// off is where the next message starts, and searched the number of bytes from there that hold no
	// complete message.
	off, searched int
}

// rest returns what is held.
func (i *inbox) rest() []byte { return i.buf[i.off:] }

// size returns the number of bytes that are held.
func (i *inbox) size() int { return len(i.buf) - i.off }

// grown returns the capacity that the inbox needs for n more bytes.
func (i *inbox) grown(n int) int {
	need := i.size() + n
	if need <= cap(i.buf) {
		return cap(i.buf)
	}
	return max(need, min(2*cap(i.buf), need+maxUnhandled/8))
}

// add appends b.
func (i *inbox) add(b []byte) {
	if need := i.grown(len(b)); need > cap(i.buf) {
		next := make([]byte, i.size(), need)
		copy(next, i.rest())
		i.buf, i.off = next, 0
	} else if len(i.buf)+len(b) > cap(i.buf) {
		i.buf, i.off = i.buf[:copy(i.buf, i.rest())], 0
	}
	i.buf = append(i.buf, b...)
}

// take removes the first n bytes.
func (i *inbox) take(n int) {
	i.off += n
	i.searched = 0
	if i.off == len(i.buf) {
		i.clear()
	}
}

// clear drops all that is held, and a large buffer.
func (i *inbox) clear() {
	i.off, i.searched = 0, 0
	if cap(i.buf) > keptBuffer {
		i.buf = nil
	}
	i.buf = i.buf[:0]
}

// receive takes what has arrived. It returns false if the host has no memory for it: it is dropped then.
// c.mu must be held, and the event loop must call it.
func (c *caller) receive() bool {
	b, err := c.conn.Next(-1)
	if err != nil || len(b) == 0 || c.flood || c.ending {
		return true
	}
	if !c.claim.Set(bounds.Received, int64(c.in.grown(len(b)))) {
		c.srv.Meter.AddCounter("refused.memory", 1)
		return false
	}
	c.in.add(b)
	return true
}

// parse parses the next message of the inbox. It does not look again at what holds no end of a message.
func (c *caller) parse() (Message, int, error) {
	rest, codec := c.in.rest(), &c.srv.Codec
	if c.in.searched > 0 && codec.MayEnd != nil && !codec.MayEnd(rest, c.in.searched) {
		c.in.searched = len(rest)
		return Message{}, 0, nil
	}
	m, n, err := codec.ParseMessage(rest)
	if n == 0 {
		c.in.searched = len(rest)
	}
	return m, n, err
}

// discard drops the first n bytes of the inbox, and gives back the memory. c.mu must be held.
func (c *caller) discard(n int) {
	c.in.take(n)
	c.claim.Force(bounds.Received, int64(cap(c.in.buf)))
}

// dropInput drops all that has been received. c.mu must be held.
func (c *caller) dropInput() { c.discard(c.in.size()) }

// account counts what the caller has not read, and whether it keeps the limits. It returns false if the host
// has no memory for that. The event loop must call it.
func (c *caller) account(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	unsent := c.conn.OutboundBuffered()
	ahead := c.sendsAhead && c.in.size() > 0 || c.in.size() > c.srv.Codec.MaxMessage
	c.unread = unsent > 0
	if !c.unread {
		c.pace = drain.Progress{}
	}
	stalled := c.unread && c.pace.Stalled(now, unsent, roomAge)
	c.claim.SetWithin(!ahead && !stalled && unsent <= DefaultUnreadBytes && c.sessionHeld <= largeSession)
	if !c.claim.Set(bounds.Unsent, int64(unsent)) {
		c.srv.Meter.AddCounter("refused.unread", 1)
		return false
	}
	return !c.claim.Evicted() && !c.unanswerable
}

// startsWithin reports whether the host has memory to run a statement, which is sent with what the session
// keeps. c.mu must be held.
func (c *caller) startsWithin(st flow.Statement) bool {
	return c.claim.Set(bounds.Running, int64(statementCopies*(len(st.Text)+c.sessionGrown)))
}

// refuseForMemory refuses a statement that the host has no memory for. c.mu must be held.
func (c *caller) refuseForMemory(st flow.Statement) []byte {
	c.srv.Meter.AddCounter("refused.memory", 1)
	a := c.session.Refuse(st)
	a.Text = "host has no memory for the statement"
	return c.srv.Codec.AppendAnswer(nil, a)
}

// holdsAnswer counts the memory of an answer in place of that of its statement. It returns false if the
// host has no memory for it: then the connection is closed without the answer. c.mu must be held.
func (c *caller) holdsAnswer(a flow.Answer) bool {
	c.claim.Force(bounds.Running, 0)
	size := len(a.Text) + a.RowBytes()
	if size <= smallAnswer || c.claim.Set(bounds.Unsent, int64(answerCopies*size)) {
		return true
	}
	c.srv.Meter.AddCounter("refused.unread", 1)
	c.unanswerable = true
	return false
}

// keepsSession counts what a statement adds to the session. It returns the refusal if that is more than a
// session may keep, or more than the host has memory for. c.mu must be held.
func (c *caller) keepsSession(st flow.Statement) (flow.Answer, bool) {
	if st.Kind != flow.Set && st.Kind != flow.Prepare {
		return flow.Answer{}, true
	}
	if limit := c.srv.Limits.SessionValues; limit > 0 && st.Kind == flow.Set && c.session.ValuesWith(st.Name) > limit {
		c.srv.Meter.AddCounter("refused.session", 1)
		return flow.ErrorAnswer(flow.TooLarge, c.session.State(), "session has too many values"), false
	}
	c.sessionGrown += c.session.KeptBytes(st)
	if c.sessionGrown <= c.sessionHeld {
		return flow.Answer{}, true
	}
	kept := c.session.Kept()
	need := kept + c.session.KeptBytes(st)
	held := (need + sessionStep - 1) / sessionStep * sessionStep
	if limit := c.srv.Limits.SessionBytes; limit > 0 && need > limit {
		c.sessionGrown = kept
		c.srv.Meter.AddCounter("refused.session", 1)
		return flow.ErrorAnswer(flow.TooLarge, c.session.State(), "session keeps too much"), false
	}
	if !c.claim.Set(bounds.Session, int64(held)) {
		c.sessionGrown = kept
		c.srv.Meter.AddCounter("refused.memory", 1)
		return flow.ErrorAnswer(flow.Busy, c.session.State(), "host has no memory for the session"), false
	}
	c.sessionGrown, c.sessionHeld = need, held
	return flow.Answer{}, true
}

// logID returns the part of a request's ID that is kept for the log.
func logID(id string) string { return string([]byte(id[:min(len(id), maxLoggedID)])) }

// makeRoom has an idle connection closed, since a new one was refused: first one without a session, one whose
// caller does not read its answers, or one without any statement, then the one that has rested longest. Callers
// reconnect when they have something to ask. The event loop must call it.
func (s *Server) makeRoom(now time.Time) {
	if now.Sub(s.madeRoomAt) < roomInterval {
		return
	}
	s.madeRoomAt = now
	var oldest *caller
	var oldestRank int
	var oldestSince time.Time
	for _, cl := range s.listCallers() {
		rank, since, ok := cl.idle()
		if !ok || now.Sub(since) < roomAge {
			continue
		}
		if oldest == nil || rank < oldestRank || rank == oldestRank && since.Before(oldestSince) {
			oldest, oldestRank, oldestSince = cl, rank, since
		}
	}
	if oldest != nil {
		s.Meter.AddCounter("callers.madeway", 1)
		oldest.makeWay()
	}
}

// makeWay has the connection closed once it is idle; one whose caller has not read its answers is closed once
// it has read them, or reads no more.
func (c *caller) makeWay() {
	c.mu.Lock()
	unread := c.unread && !c.closed
	if unread {
		c.end()
		c.wake()
	}
	c.mu.Unlock()
	if !unread {
		c.shed()
	}
}

// idle returns since when the caller has been idle, and its rank among those that may be closed: lower
// ones go first. It reports false if the caller is not idle.
func (c *caller) idle() (rank int, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ending || c.shedding || c.busy || c.session != nil && c.session.State() != flow.Idle {
		return 0, time.Time{}, false
	}
	switch {
	case c.session == nil:
		return 0, c.connectedAt, true
	case c.unread:
		return 0, c.usedAt, true
	case !c.used:
		return 1, c.connectedAt, true
	}
	return 2, c.usedAt, true
}
