package front

import (
	"time"

	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

// logCut counts and logs a connection that the host closes while it owes its caller something: the
// answer to a running statement, bytes of answers, or answers to messages that have arrived. The event
// loop must call it before the connection is released.
func (c *caller) logCut(now time.Time) {
	unsent, unhandled := c.conn.OutboundBuffered(), c.conn.InboundBuffered()
	c.mu.Lock()
	busy, running, startedAt := c.busy && !c.abandoned, c.running, c.startedAt
	c.mu.Unlock()
	if !busy && unsent == 0 && unhandled == 0 {
		return
	}
	c.srv.Meter.AddCounter("callers.cut", 1)
	fields := log.Fields{"request": running, "busy": busy, "unsent": unsent, "unhandled": unhandled, "age": now.Sub(c.connectedAt).String()}
	if busy {
		fields["took"] = now.Sub(startedAt).String()
	}
	if schedule := c.srv.drainSchedule(); schedule.Active() {
		fields["draining"] = now.Sub(schedule.Started).String()
	}
	c.srv.Log.WithFields(fields).Warn(sess.EventCut)
}
