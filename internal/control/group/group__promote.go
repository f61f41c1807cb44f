package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// promote orders the chosen instance to become the primary and opens the term once it has.
func (g *Group) promote(now time.Time, v View) []Action {
	r := v.Reports[v.Run.Primary]
	if r.Primary && r.Term == v.Run.Term {
		return g.propose(now, &wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{
			Group: v.Name, Term: v.Run.Term, Primary: v.Run.Primary,
		}}})
	}
	if r.Term > v.Run.Term || (v.Failed && now.Sub(g.since) > 10*g.Options.Resend) {
		return g.seal(now, v, Failed)
	}
	if !g.due(now, v.Run.Primary) {
		return nil
	}
	return []Action{Promote{Instance: v.Run.Primary, Term: v.Run.Term, Start: v.Run.Start}}
}

// Cut returns the position up to which an instance may keep its log when it follows a later
// term: the lowest start of all terms after the one of its last entry.
func Cut(forks []*wire.TermStart, last, position uint64) uint64 {
	for _, f := range forks {
		if f.Term > last {
			position = min(position, f.Position)
		}
	}
	return position
}
