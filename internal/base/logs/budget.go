package logs

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateLimiter bounds the lines that requests may cause. It is safe for concurrent use.
type RateLimiter struct {
	// PerSecond is the number of lines a second in the long run, Burst that at once.
	PerSecond float64
	Burst     float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	skipped    int64
}

// Allow reports whether a line may be written, and how many were left out since the last one
// that was.
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

// sampleInterval is the part of the requests whose success is logged: one in this many.
const sampleInterval = 256

// Sampled reports whether the success of a request is logged. All hosts choose the same ids.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleInterval == 0 }
