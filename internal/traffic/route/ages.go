package route

import "time"

// Ages tells how old the data at a position is. It keeps the position of all acknowledged
// writes over time, as the one who acknowledges them knows it: a replica that holds what was
// acknowledged at a moment after the age began misses nothing older. All times come from one
// clock and no report is on its way, so nothing is guessed.
// It is not safe for concurrent use.
type Ages struct {
	// Keep is how far back positions are kept.
	Keep time.Duration

	kept   []sight
	latest sight
}

type sight struct {
	at       time.Time
	position uint64
}

// sightGap is the least time between two sights that are kept.
const sightGap = 5 * time.Millisecond

// Saw records the position of all that is acknowledged now. Positions never fall.
func (a *Ages) Saw(now time.Time, position uint64) {
	a.latest = sight{now, position}
	if n := len(a.kept); n > 0 && now.Sub(a.kept[n-1].at) < sightGap {
		return
	}
	a.kept = append(a.kept, a.latest)
	limit := now.Add(-a.Keep)
	drop := 0
	for drop < len(a.kept)-1 && a.kept[drop+1].at.Before(limit) {
		drop++
	}
	a.kept = a.kept[drop:]
}

// Least returns a position whose data is at most age old: what was acknowledged at a moment
// after the age began. It reports false where no such moment is known.
func (a *Ages) Least(now time.Time, age time.Duration) (uint64, bool) {
	limit := now.Add(-age)
	for _, s := range a.kept {
		if s.at.After(limit) {
			return s.position, true
		}
	}
	return a.latest.position, a.latest.at.After(limit)
}
