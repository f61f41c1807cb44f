// Package retry limits retries: a budget that grows with the number of requests, and exponential
// backoff with jitter.
package retry

import "time"

// Budget limits retries to a ratio of the requests. (Beyer et al., "Site Reliability
// Engineering", 2016, chapter 21.) It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget, for instance 0.2.
	Ratio float64
	// Max is the largest number of retries that the budget holds. A new budget holds Max.
	Max float64

	// spent is Max less the retries that are left.
	spent float64
}

// Deposit adds Ratio to the budget for one request, up to Max.
func (b *Budget) Deposit() { b.spent = max(0, b.spent-b.Ratio) }

// TryWithdraw removes one retry from the budget. It returns false if less than one is left.
func (b *Budget) TryWithdraw() bool {
	if b.spent+1 > b.Max {
		return false
	}
	b.spent++
	return true
}

// Backoff computes delays that double up to a maximum. Half of each delay is random: the equal
// jitter of Brooker, "Exponential backoff and jitter", 2015.
type Backoff struct {
	// Initial is the delay before the first retry.
	Initial time.Duration
	// Max is the upper limit of a delay.
	Max time.Duration
	// Jitter returns a random duration in [0, n). It is a field so that tests can replace it.
	Jitter func(n time.Duration) time.Duration
}

// Delay returns the delay before retry n, counted from zero.
func (b Backoff) Delay(n int) time.Duration {
	d := b.Max
	if n < 16 {
		d = min(b.Initial<<n, b.Max)
	}
	return d/2 + b.Jitter(d/2+1)
}
