package route

import "time"

// AckedHistory records the position of the last acknowledged write over time, to find replicas that
// are fresh enough for a read with bounded staleness. It is kept by the host that acknowledges the
// writes, so all times come from one clock and no network delay has to be allowed for. A replica
// that holds all writes acknowledged at some time t misses none that is older than t.
// It is not safe for concurrent use.
type AckedHistory struct {
	// Retention is how long positions are kept.
	Retention time.Duration

	samples []ackedSample
	latest  ackedSample
}

// ackedSample is the position of the last write acknowledged at the time at.
type ackedSample struct {
	at       time.Time
	position uint64
}

// minSampleInterval is the minimum time between two samples that are kept.
const minSampleInterval = 5 * time.Millisecond

// Record records the position of the last write acknowledged at now. Positions must not decrease.
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

// MinPosition returns the earliest kept position that was recorded less than age before now. A
// replica that has reached it misses no write older than age. It returns false if there is none.
func (h *AckedHistory) MinPosition(now time.Time, age time.Duration) (uint64, bool) {
	cutoff := now.Add(-age)
	for _, s := range h.samples {
		if s.at.After(cutoff) {
			return s.position, true
		}
	}
	return h.latest.position, h.latest.at.After(cutoff)
}
