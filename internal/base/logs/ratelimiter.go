package logs

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateLimiter is a token bucket that limits the log lines caused by requests. It is safe for concurrent use.
type RateLimiter struct {
	// PerSecond is the sustained rate in lines per second, and Burst the number of lines allowed at once.
	PerSecond float64
	Burst     float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	skipped    int64
}

// Allow reports whether a line may be written at time now. If so, it also returns how many lines were
// skipped since the last one that was allowed.
func (l *RateLimiter) Allow(now time.Time) (skipped int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastRefill.IsZero() {
		l.tokens = l.Burst
	} else {
		l.tokens = min(l.Burst, l.tokens+l.PerSecond*now.Sub(l.lastRefill).Seconds())
	}
	l.lastRefill = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

// sampleInterval is the sampling interval of successful requests: one in 256 is logged.
const sampleInterval = 256

// Sampled reports whether the request with this id is logged if it succeeds. All hosts sample the same
// ids, so that a sampled request is logged on each host that it passes.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleInterval == 0 }
