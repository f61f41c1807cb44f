package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// promote orders the chosen instance to become the primary and opens the term once it has.
func (g *Failover) promote(now time.Time, v View) []Action {
	r := v.Reports[v.Run.Primary]
	if r.Primary && r.Term == v.Run.Term {
		return g.propose(now, &wire.Command{Body: &wire.Command_Open{Open: &wire.Open{
			Group: v.Name, Term: v.Run.Term, Primary: v.Run.Primary,
		}}})
	}
	if r.Term > v.Run.Term || (v.PrimaryFailed && now.Sub(g.phaseSince) > 10*g.Options.ResendInterval) {
		return g.seal(now, v, ReasonPrimaryFailed)
	}
	if !g.shouldSend(now, v.Run.Primary) {
		return nil
	}
	return []Action{Promote{Instance: v.Run.Primary, Term: v.Run.Term, Start: v.Run.Start}}
}

// TruncatePosition returns the position up to which an instance may keep its log when it follows a later
// term: the lowest start of all terms after the one of its last entry.
func TruncatePosition(forks []*wire.Fork, lastTerm, position uint64) uint64 {
	for _, f := range forks {
		if f.Term > lastTerm {
			position = min(position, f.Position)
		}
	}
	return position
}
