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
func (b *RateLimiter) Allow(now time.Time) (skipped int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastRefill.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+b.PerSecond*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
	if b.tokens < 1 {
		b.skipped++
		return 0, false
	}
	b.tokens--
	skipped, b.skipped = b.skipped, 0
	return skipped, true
}

// sampleInterval is the sampling rate of successful requests: one in this many is logged.
const sampleInterval = 256

// Sampled reports whether the success of the request with this id is logged. All hosts sample the same
// ids, so that a sampled request is logged on each host that it passes.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleInterval == 0 }
