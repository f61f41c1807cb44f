package drain

import "time"

// Progress tells a caller that reads its answers slowly from one that has stopped. The zero value is ready
// for use.
type Progress struct {
	unread int
	since  time.Time
}

// Stalled records the number of bytes that the caller has not read, and reports whether it has read none
// for longer than timeout.
func (p *Progress) Stalled(now time.Time, unread int, timeout time.Duration) bool {
	if p.since.IsZero() || unread < p.unread {
		p.since = now
	}
	p.unread = unread
	return now.Sub(p.since) > timeout
}
