package route

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Sights tells from which position of a group on data is young enough. Each sight pairs a
// position that the primary reported with the moment at which the request was sent that
// brought it: the position holds every write that was acknowledged before that moment. All
// times come from this host's clock. It is not safe for concurrent use.
type Sights struct {
	// Keep is how far back sights are kept.
	Keep time.Duration

	list []placed
}

type placed struct {
	at   time.Time
	mark token.Position
}

// sightSpacing is the least time between two sights that are kept; it bounds their number and
// makes reads ask for a position that is this much newer than they could.
const sightSpacing = 20 * time.Millisecond

// Saw records a position that the primary of the open term reported to a request sent at a
// moment.
func (s *Sights) Saw(sent time.Time, m token.Position) {
	n := len(s.list)
	if n > 0 && sent.Sub(s.list[n-1].at) < sightSpacing {
		return
	}
	s.list = append(s.list, placed{sent, m})
	limit := sent.Add(-s.Keep)
	drop := 0
	for drop < len(s.list)-1 && s.list[drop].at.Before(limit) {
		drop++
	}
	if drop > 0 {
		s.list = append(s.list[:0], s.list[drop:]...)
	}
}

// Least returns the earliest position known to hold all that was acknowledged until age ago.
// It reports false where none is.
func (s *Sights) Least(now time.Time, age time.Duration) (token.Position, bool) {
	limit := now.Add(-age)
	for _, one := range s.list {
		if !one.at.Before(limit) {
			return one.mark, true
		}
	}
	return token.Position{}, false
}

// Newest returns when the latest sight was taken.
func (s *Sights) Newest() time.Time {
	if len(s.list) == 0 {
		return time.Time{}
	}
	return s.list[len(s.list)-1].at
}

// Clip returns what is left of a mark once a later term has taken over the log up to fork:
// what lies beyond was rolled back.
func Clip(m token.Position, reign uint64, fork token.Position) token.Position {
	if m.Term < reign && fork.Before(m) {
		return fork
	}
	return m
}
