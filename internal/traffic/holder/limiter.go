package holder

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// rateLimiter is a token bucket that holds one second's worth of tokens. A perSecond of zero means
// no limit.
type rateLimiter struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

// allow takes a token and reports whether there was one.
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

// limiter returns the rate limiter of the request's caller. A changed rate starts a new, full
// bucket. The caller holds mu.
func (h *Holder) limiter(req *wire.WorkRequest) *rateLimiter {
	l := h.limiters[req.Caller]
	if l == nil || l.perSecond != float64(req.Rate) {
		l = &rateLimiter{perSecond: float64(req.Rate), tokens: float64(req.Rate)}
		h.limiters[req.Caller] = l
	}
	return l
}
