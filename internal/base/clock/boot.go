package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minWallStep is the least difference between the progress of the wall clock and of the
// steady clock that is looked into: smaller ones come from the adjustment of the wall clock.
const minWallStep = 20 * time.Millisecond

// processClock keeps the offset between the steady clock and the time since boot.
var processClock = newBoottimeClock(time.Now())

// boottimeClock follows the time since boot, which goes on while the host is suspended. The steady
// clock does not, and the wall clock may be stepped; only a difference between the two costs
// a system call.
type boottimeClock struct {
	mu       sync.Mutex
	start    time.Time
	offset   time.Duration
	wallLead time.Duration
}

func newBoottimeClock(now time.Time) *boottimeClock {
	b := &boottimeClock{start: now}
	b.syncOffset(now)
	return b
}

// Monotonic returns the present time on a clock that never steps back and counts the time for
// which the host was suspended. Only differences between its values mean anything.
func Monotonic() time.Time { return processClock.at(time.Now()) }

func (b *boottimeClock) at(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := wallLeadAt(b.start, now) - b.wallLead; d > minWallStep || d < -minWallStep {
		b.syncOffset(now)
	}
	return time.Unix(0, 0).Add(now.Sub(b.start) + b.offset)
}

// wallLeadAt returns by how much more the wall clock has moved than the steady clock.
func wallLeadAt(start, now time.Time) time.Duration {
	return now.Round(0).Sub(start.Round(0)) - now.Sub(start)
}

func (b *boottimeClock) syncOffset(now time.Time) {
	b.wallLead = wallLeadAt(b.start, now)
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return
	}
	b.offset = max(b.offset, time.Duration(ts.Nano())-time.Since(b.start))
}
