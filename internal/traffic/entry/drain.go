package entry

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/traffic/drain"
)

const (
	// drainPollInterval is the time between two checks for idle sessions while draining.
	drainPollInterval = 20 * time.Millisecond
	// maxDrain is the length of a drain without a limit.
	maxDrain = time.Hour
)

// Drain stops admitting sessions and ends the existing ones by the rules of package drain. It returns when
// no connection is left or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	length := maxDrain
	if deadline, ok := ctx.Deadline(); ok {
		length = time.Until(deadline)
	}
	now := s.Now()
	schedule := drain.New(now, 0, length, now.Add(length))
	s.schedule.Store(&schedule)
	s.Log.WithField("sessions", s.Sessions()).Info("draining caller connections")
	for ctx.Err() == nil && s.Sessions() > 0 {
		for _, sess := range s.listSessions() {
			sess.drain()
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.schedule.Load() != nil }

// drainSchedule returns the schedule of the drain; the zero value if the host does not drain.
func (s *Server) drainSchedule() drain.Schedule {
	if p := s.schedule.Load(); p != nil {
		return *p
	}
	return drain.Schedule{}
}

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

// drain has the session ended if it is idle.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy && !s.closed && !s.ended {
		// The event loop alone knows whether all answers have been sent.
		_ = s.conn.Wake(nil)
	}
}
