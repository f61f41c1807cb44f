package holder

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// rateLimiter is a token bucket that holds one second's worth; a rate of zero sets no bound.
type rateLimiter struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

func (l *rateLimiter) allow(now time.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	l.tokens = min(l.perSecond, l.tokens+l.perSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// limiter returns the bucket of the work's caller. The caller holds mu.
func (h *Holder) limiter(req *wire.Work) *rateLimiter {
	l := h.limiters[req.Caller]
	if l == nil || l.perSecond != float64(req.Rate) {
		l = &rateLimiter{perSecond: float64(req.Rate), tokens: float64(req.Rate)}
		h.limiters[req.Caller] = l
	}
	return l
}
