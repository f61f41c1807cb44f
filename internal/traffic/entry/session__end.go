package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
)

const (
	// endingPollInterval is the time between two checks whether the connection of an ended session can be
	// closed.
	endingPollInterval = 20 * time.Millisecond
	// lingerTime is how long such a connection stays open after its last byte was sent, for messages that
	// the caller sent before it learned of the end. If they arrived after the close, the kernel would
	// reset the connection, and callers on some systems would lose the answers that they had not read.
	lingerTime = 500 * time.Millisecond
	// deliveryTimeout is how long a connection stays open while its caller's system receives nothing of the
	// last bytes. The kernel goes on sending them after the close, unless further messages arrive.
	deliveryTimeout = 3 * time.Second
	// partialTimeout is how long a drain waits for the rest of a request, or the Sync of a batch, of which
	// a part has arrived. Nothing of it has run.
	partialTimeout = time.Second
)

// ending is the state of a session that takes no further messages. Its connection is closed once all
// answers have arrived at the caller.
type ending struct {
	ended bool
	// silent is set if the session ended at the caller's own wish.
	silent bool
	// written is set once the last message has been passed to the event loop's buffer.
	written bool
	// shutAt is when the last byte was sent and the sending side of the connection closed, or zero.
	shutAt   time.Time
	progress drain.Progress
}

// end ends the session with a FATAL error response, or without one if e is nil. mu must be held.
func (s *session) end(e *fault.Error) {
	if s.ended || s.closed {
		return
	}
	s.ended, s.silent = true, e == nil
	s.srv.trackEnding(s)
	s.releaseWork()
	if e == nil {
		s.written = true
		_ = s.conn.Wake(nil)
		return
	}
	s.srv.Meter.CountRefusal(e.Reason)
	b, err := errorResponse(e, "FATAL").Encode(nil)
	if err != nil {
		b = nil
	}
	_ = s.conn.AsyncWrite(b, func(c gnet.Conn, _ error) error {
		s.mu.Lock()
		s.written = true
		s.mu.Unlock()
		return c.Wake(nil)
	})
}

// releaseWork closes the unit of work unless a request uses it; then finishRequest does. mu must be held.
func (s *session) releaseWork() {
	w := s.work
	if s.busy || w == nil {
		return
	}
	s.work = nil
	s.srv.wg.Add(1)
	go func() {
		defer s.srv.wg.Done()
		w.Close()
	}()
}

// write passes bytes to the event loop. It fails once the session has ended: nothing may follow its last
// message.
func (s *session) write(b []byte, callback gnet.AsyncCallback) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.closed {
		return net.ErrClosed
	}
	return s.conn.AsyncWrite(b, callback)
}

// endIfDue ends the session if its caller has sent too much or the host drains, and closes the connection
// of an ended one when that loses nothing. mu must be held, and the event loop must call it.
func (s *session) endIfDue(now time.Time) gnet.Action {
	if s.failure == nil && !s.ended && s.conn.InboundBuffered() > maxBatchBytes+maxStartupBytes {
		s.failure = fault.New(fault.NotRun, fault.BadMessage, "too many bytes were sent while a request was running")
	}
	if s.ended || s.failure != nil {
		s.conn.Discard(-1)
	}
	if n := s.conn.InboundBuffered() + len(s.pendingBatch); n != s.partialBytes {
		s.partialBytes, s.partialSince = n, now
	}
	switch {
	case s.ended:
		return s.closeWhenSent(now)
	case s.failure != nil && !s.busy:
		s.end(s.failure)
	case s.srv.drain.Schedule().Closes(now, s.state(now)):
		s.end(s.drainError(fault.NotRun))
	}
	return gnet.None
}

// drainError returns the error that ends the session because the host shuts down.
func (s *session) drainError(v fault.Verdict) *fault.Error {
	return fault.New(v, fault.Draining, "host %s is shutting down", s.srv.Host).WithHint("reconnect; another host will serve you")
}

// state returns the state of the connection for the decision to close it. mu must be held, and the event
// loop must call it.
func (s *session) state(now time.Time) drain.Conn {
	if s.busy {
		return drain.Conn{Running: true}
	}
	c := drain.Conn{Opened: s.openedAt, Used: s.used, Unsent: s.conn.OutboundBuffered(), InTransaction: s.txStatus != holder.Idle}
	if now.Sub(s.partialSince) < partialTimeout {
		c.Received = s.partialBytes
	}
	return c
}

// closeWhenSent closes the connection of an ended session once its answers have arrived and nothing more
// is on its way from the caller, or if the caller does not read them. mu must be held, and the event loop
// must call it.
func (s *session) closeWhenSent(now time.Time) gnet.Action {
	unsent, unacknowledged := s.conn.OutboundBuffered(), s.unacknowledged()
	timeout := max(s.srv.readTimeout(), lingerTime)
	if unsent == 0 {
		timeout = min(timeout, deliveryTimeout)
	}
	switch {
	case s.progress.Stalled(now, unsent+unacknowledged, timeout):
		return gnet.Close
	case !s.written || unsent > 0:
		return gnet.None
	case s.silent:
		return gnet.Close
	case s.shutAt.IsZero():
		s.shutAt = now
		if syscall.Shutdown(s.conn.Fd(), syscall.SHUT_WR) != nil {
			return gnet.Close
		}
		return gnet.None
	case now.Sub(s.shutAt) < lingerTime || unacknowledged > 0:
		return gnet.None
	}
	return gnet.Close
}

// unacknowledged returns the number of sent bytes that the caller's system has not received, or zero if
// that is not known.
func (s *session) unacknowledged() int {
	_, n, _ := drain.Pending(s.conn.Fd(), s.srv.Log, s.srv.Meter)
	return n
}

// logCut logs the connection if the host closes it while it owes its caller something. The event loop
// must call it before the connection is released.
func (s *session) logCut(now time.Time) {
	s.mu.Lock()
	cut := drain.Cut{Caller: s.user, Running: s.busy && !s.ended, StartedAt: s.startedAt, OpenedAt: s.openedAt, Unsent: s.conn.OutboundBuffered(), Unhandled: s.conn.InboundBuffered()}
	s.mu.Unlock()
	cut.Log(now, s.srv.drain.Schedule(), s.srv.Log, s.srv.Meter)
}
