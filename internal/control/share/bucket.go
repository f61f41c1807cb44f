package share

import "time"

// bucket is a token bucket with one token per operation. Tokens of operations that are not settled
// yet are reserved: they may come back, so they occupy capacity until then.
type bucket struct {
	tokens, reserved float64
	// rate is in tokens per second.
	rate, capacity float64
	at             time.Time
}

// advance adds the tokens that have accrued until now.
func (b *bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += b.rate * elapsed.Seconds()
		b.at = now
	}
	b.tokens = max(0, min(b.tokens, b.capacity-b.reserved))
}

// resize changes rate and capacity. It adds no tokens.
func (b *bucket) resize(now time.Time, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.advance(now)
}

// take reserves a token, and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.reserved++
	return true
}

// settle spends a reserved token, or puts it back.
func (b *bucket) settle(now time.Time, spent bool) {
	b.advance(now)
	b.reserved--
	if !spent {
		b.tokens++
	}
	b.advance(now)
}
