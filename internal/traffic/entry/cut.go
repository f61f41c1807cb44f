package entry

import (
	"time"

	"github.com/apex/log"
)

// logCut counts and logs a connection that the host closes while it owes its caller something: the
// answer to a running request, bytes of answers, or answers to messages that have arrived. The event
// loop must call it before the connection is released.
func (s *session) logCut(now time.Time) {
	unsent, unhandled := s.conn.OutboundBuffered(), s.conn.InboundBuffered()
	s.mu.Lock()
	busy, startedAt, ended := s.busy && !s.ended, s.startedAt, s.ended
	s.mu.Unlock()
	if !busy && unsent == 0 && unhandled == 0 {
		return
	}
	s.srv.Meter.AddCounter("callers.cut", 1)
	fields := log.Fields{"caller": s.user, "busy": busy, "ended": ended, "unsent": unsent, "unhandled": unhandled, "age": now.Sub(s.openedAt).String()}
	if busy {
		fields["took"] = now.Sub(startedAt).String()
	}
	if schedule := s.srv.drainSchedule(); schedule.Active() {
		fields["draining"] = now.Sub(schedule.Started).String()
	}
	s.srv.Log.WithFields(fields).Warn("caller connection cut")
}
