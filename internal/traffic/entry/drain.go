package entry

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
)

const (
	// drainPollInterval is the time between two checks for idle sessions while draining.
	drainPollInterval = 20 * time.Millisecond
	// maxDrain is the length of a drain without a limit.
	maxDrain = time.Hour
	// transactionDivisor sets the part of a drain in which open transactions may continue: its first half.
	transactionDivisor = 2
)

// Drain stops admitting sessions and ends the existing ones by the rules of package drain. Requests that
// still run shortly before ctx ends are answered as possibly run. It returns when no connection is left
// or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	length := maxDrain
	if deadline, ok := ctx.Deadline(); ok {
		length = time.Until(deadline)
	}
	now := s.Now()
	schedule := drain.New(now, 0, length/transactionDivisor, now.Add(length))
	s.drain.Begin(schedule)
	s.Log.WithField("sessions", s.Sessions()).Info("draining caller connections")
	for ctx.Err() == nil && s.Sessions() > 0 {
		overdue := schedule.Overdue(s.Now())
		for _, sess := range s.listSessions() {
			sess.drain(overdue)
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.drain.Schedule().Active() }

func (s *Server) listSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		list = append(list, sess)
	}
	return list
}

// trackEnding has OnTick wake the session until its connection is closed.
func (s *Server) trackEnding(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending[sess.pid] = sess
}

// OnTick implements gnet.EventHandler.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.ending {
		_ = sess.conn.Wake(nil)
	}
	return endingPollInterval, gnet.None
}

// drain has the session ended if that is due: if it is idle, or at once if it is overdue.
func (s *session) drain(overdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || s.ended:
	case overdue && s.busy:
		s.end(s.drainError(fault.MayHaveRun))
		s.cancel()
	case overdue:
		s.end(s.drainError(fault.NotRun))
	case !s.busy:
		// The event loop alone knows whether all answers have been sent.
		_ = s.conn.Wake(nil)
	}
}

// starts reports whether a request is started: a host that drains refuses those that it might have to cut.
func (s *session) starts(now time.Time, beginsTransaction bool) bool {
	schedule := s.srv.drain.Schedule()
	if beginsTransaction && !schedule.StartsTransaction(now) {
		return false
	}
	return schedule.StartsRequest(now, s.statementTimeout, s.txStatus != holder.Idle)
}

// endDrained ends the session in place of the answer to a request that is not started.
func (s *session) endDrained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(s.drainError(fault.NotRun))
}
