// Package retry provides the limits of retries: a budget that grows with successes, and
// pauses with jitter.
package retry

import "time"

// Budget lets retries be a share of the requests: each request earns a part of a retry.
// (Beyer et al., "Site Reliability Engineering", 2016, chapter 21.)
// It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that a request earns.
	Ratio float64
	// Max is the number of retries that are kept at most; a budget starts with them.
	Max float64

	spent float64
}

// Deposit counts a request.
func (b *Budget) Deposit() { b.spent = max(0, b.spent-b.Ratio) }

// TryWithdraw takes one retry; it reports false where the budget has none.
func (b *Budget) TryWithdraw() bool {
	if b.spent+1 > b.Max {
		return false
	}
	b.spent++
	return true
}

// Backoff returns pauses that double up to a limit, each with full jitter (Brooker,
// "Exponential backoff and jitter", 2015).
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
	// Jitter returns a duration in [0, n); it comes from an injected source.
	Jitter func(n time.Duration) time.Duration
}

// Delay returns the pause before the retry n, which counts from zero.
func (b Backoff) Delay(n int) time.Duration {
	d := b.Max
	if n < 16 {
		d = min(b.Initial<<n, b.Max)
	}
	return d/2 + b.Jitter(d/2+1)
}
