package route

import "time"

// Ages tells how old the data at a position is. It keeps the primary's position over time:
// a replica that holds position p has all that the primary had when it was last seen at or
// below p. Both times come from one clock, so no clocks are compared.
// It is not safe for concurrent use.
type Ages struct {
	// Keep is how far back positions are kept.
	Keep time.Duration

	seen []sight
}

type sight struct {
	at       time.Time
	position uint64
}

// sightGap is the least time between two sights that are kept.
const sightGap = 5 * time.Millisecond

// Saw records the primary's position. The time is from before the position was asked for or,
// for a report that came unasked, from when it came.
func (a *Ages) Saw(now time.Time, position uint64) {
	if n := len(a.seen); n > 0 && now.Sub(a.seen[n-1].at) < sightGap {
		return
	}
	a.seen = append(a.seen, sight{now, position})
	limit := now.Add(-a.Keep)
	drop := 0
	for drop < len(a.seen)-1 && a.seen[drop+1].at.Before(limit) {
		drop++
	}
	a.seen = a.seen[drop:]
}

// Least returns the least position whose data is at most age old. It reports false where the
// primary was not seen that long ago, so that nothing is known.
func (a *Ages) Least(now time.Time, age time.Duration) (uint64, bool) {
	limit := now.Add(-age)
	for _, s := range a.seen {
		if !s.at.Before(limit) {
			return s.position, true
		}
	}
	return 0, false
}

// Reset forgets everything; it is called when another primary takes over.
func (a *Ages) Reset() { a.seen = nil }
