package drain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/sock"
)

// Current is the schedule of a server's drain. The zero value means that the server does not drain. It is safe
// for concurrent use.
type Current struct{ schedule atomic.Pointer[Schedule] }

// Begin sets the schedule.
func (c *Current) Begin(s Schedule) { c.schedule.Store(&s) }

// Schedule returns the schedule; the zero value if the server does not drain.
func (c *Current) Schedule() Schedule {
	if p := c.schedule.Load(); p != nil {
		return *p
	}
	return Schedule{}
}

// Deadline returns the deadline of ctx on the clock of now, which may not be the wall clock; the zero time
// if ctx has none.
func Deadline(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return now.Add(time.Until(deadline))
}

// Pending returns what sock.Pending returns for a caller's connection. If the kernel does not tell, it counts
// and logs that and returns false.
func Pending(fd int, l *logs.Logger, m *meter.Meter) (unread, unacknowledged int, ok bool) {
	unread, unacknowledged, err := sock.Pending(fd)
	if err != nil {
		m.AddCounter("callers.pending.unknown", 1)
		l.WithField("error", err.Error()).Debug("kernel does not tell what is pending on a caller connection")
	}
	return unread, unacknowledged, err == nil
}
