package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

const (
	// successorAnswerAge is the maximum age of the answer by which an instance counts as able to take
	// over from a primary that leaves: longer than a query may take.
	successorAnswerAge = 500 * time.Millisecond
	// minHandOverPause is the pause after a first hand-over that failed. It doubles with each further
	// one, up to maxHandOverPause.
	minHandOverPause = 500 * time.Millisecond
	maxHandOverPause = 4 * time.Second
)

// handOverPacer spaces out the hand-overs from a primary that leaves if they fail.
type handOverPacer struct {
	// failed is the number of hand-overs in a row after which the term opened with such a primary.
	failed int
	// next is the earliest time of the next one.
	next time.Time
}

// termOpened records that a term has opened, which was last seen in the given phase. If its primary
// leaves, no other instance could take over.
func (p *handOverPacer) termOpened(now time.Time, before wire.Phase, primaryLeaves bool) {
	if !primaryLeaves {
		*p = handOverPacer{}
		return
	}
	if before != wire.Phase_SEALED && before != wire.Phase_CHOSEN {
		return
	}
	p.next = now.Add(min(minHandOverPause<<min(p.failed, 8), maxHandOverPause))
	p.failed++
}

// due reports whether a hand-over may begin.
func (p *handOverPacer) due(now time.Time) bool { return !now.Before(p.next) }
