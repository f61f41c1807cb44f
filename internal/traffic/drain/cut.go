package drain

import (
	"time"

	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
)

// EventCut is the log message for a connection that a host closed although it owed its caller an answer.
const EventCut = "caller connection cut"

// Cut is the state of a connection that a host closes, at the close.
type Cut struct {
	// Request is the ID of the running request, or the last one; empty if the protocol has none.
	Request string
	Caller  string
	// Running is set while a request runs, since StartedAt.
	Running   bool
	StartedAt time.Time
	OpenedAt  time.Time
	// Unsent and Unhandled are the numbers of bytes of answers and of messages that are dropped.
	Unsent    int
	Unhandled int
}

// Log counts and logs the connection if its caller is owed something.
func (c Cut) Log(now time.Time, s Schedule, l *logs.Logger, m *meter.Meter) {
	if !c.Running && c.Unsent == 0 && c.Unhandled == 0 {
		return
	}
	m.AddCounter("callers.cut", 1)
	fields := log.Fields{"caller": c.Caller, "busy": c.Running, "unsent": c.Unsent, "unhandled": c.Unhandled, "age": now.Sub(c.OpenedAt).String()}
	if c.Request != "" {
		fields["request"] = c.Request
	}
	if c.Running {
		fields["took"] = now.Sub(c.StartedAt).String()
	}
	if s.Active() {
		fields["draining"] = now.Sub(s.Started).String()
	}
	l.WithFields(fields).Warn(EventCut)
}
