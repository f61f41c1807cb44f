package holder

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// rate is a token bucket that holds one second's worth; a rate of zero sets no bound.
type rate struct {
	perSecond float64
	left      float64
	last      time.Time
}

func (r *rate) take(now time.Time) bool {
	if r.perSecond == 0 {
		return true
	}
	r.left = min(r.perSecond, r.left+r.perSecond*now.Sub(r.last).Seconds())
	r.last = now
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}

// rate returns the bucket of the work's caller. The caller holds mu.
func (h *Holder) rate(w *wire.WorkRequest) *rate {
	r := h.rates[w.Caller]
	if r == nil || r.perSecond != float64(w.Rate) {
		r = &rate{perSecond: float64(w.Rate), left: float64(w.Rate)}
		h.rates[w.Caller] = r
	}
	return r
}
