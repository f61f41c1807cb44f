package route

import "time"

// AckedHistory tells how old the data at a position is. It keeps the position of all acknowledged
// writes over time, as the one who acknowledges them knows it: a replica that holds what was
// acknowledged at a moment after the age began misses nothing older. All times come from one
// clock and no report is on its way, so nothing is guessed.
// It is not safe for concurrent use.
type AckedHistory struct {
	// Retention is how far back positions are kept.
	Retention time.Duration

	samples []ackedSample
	latest  ackedSample
}

type ackedSample struct {
	at       time.Time
	position uint64
}

// minSampleInterval is the least time between two sights that are kept.
const minSampleInterval = 5 * time.Millisecond

// Record records the position of all that is acknowledged now. Positions never fall.
func (h *AckedHistory) Record(now time.Time, position uint64) {
	h.latest = ackedSample{now, position}
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < minSampleInterval {
		return
	}
	h.samples = append(h.samples, h.latest)
	cutoff := now.Add(-h.Retention)
	expired := 0
	for expired < len(h.samples)-1 && h.samples[expired+1].at.Before(cutoff) {
		expired++
	}
	h.samples = h.samples[expired:]
}

// MinPosition returns a position whose data is at most age old: what was acknowledged at a moment
// after the age began. It reports false where no such moment is known.
func (h *AckedHistory) MinPosition(now time.Time, age time.Duration) (uint64, bool) {
	cutoff := now.Add(-age)
	for _, s := range h.samples {
		if s.at.After(cutoff) {
			return s.position, true
		}
	}
	return h.latest.position, h.latest.at.After(cutoff)
}
