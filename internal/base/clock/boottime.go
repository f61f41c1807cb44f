package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minWallStep is how far the wall clock must step against the monotonic clock before CLOCK_BOOTTIME is
// read again. Smaller steps come from ordinary clock adjustment (NTP).
const minWallStep = 20 * time.Millisecond

// processClock is the clock that Monotonic reads.
var processClock = newBoottimeClock(time.Now())

// boottimeClock tracks CLOCK_BOOTTIME, which advances while the host is suspended. Go's monotonic clock
// stops during a suspend, and the wall clock may be stepped, so a difference between the two may mean
// that the host was suspended. Only then does the clock make a system call to read CLOCK_BOOTTIME.
type boottimeClock struct {
	mu    sync.Mutex
	start time.Time
	// offset is added to the monotonic time since start to get the time since boot. It never shrinks.
	offset time.Duration
	// wallLead is the result of wallLeadAt when offset was last measured.
	wallLead time.Duration
}

func newBoottimeClock(now time.Time) *boottimeClock {
	b := &boottimeClock{start: now}
	b.syncOffset(now)
	return b
}

// Monotonic returns the current time on a clock that never goes back and that includes time for which
// the host was suspended. Only differences between its values are meaningful.
func Monotonic() time.Time { return processClock.at(time.Now()) }

func (b *boottimeClock) at(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := wallLeadAt(b.start, now) - b.wallLead; d > minWallStep || d < -minWallStep {
		b.syncOffset(now)
	}
	return time.Unix(0, 0).Add(now.Sub(b.start) + b.offset)
}

// wallLeadAt returns how much further the wall clock has advanced since start than the monotonic clock.
func wallLeadAt(start, now time.Time) time.Duration {
	return now.Round(0).Sub(start.Round(0)) - now.Sub(start)
}

// syncOffset measures the offset again. It keeps the old one if CLOCK_BOOTTIME can't be read.
func (b *boottimeClock) syncOffset(now time.Time) {
	b.wallLead = wallLeadAt(b.start, now)
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return
	}
	b.offset = max(b.offset, time.Duration(ts.Nano())-time.Since(b.start))
}
