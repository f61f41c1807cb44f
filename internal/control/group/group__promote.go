package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// promote tells the chosen instance to become the primary and opens the term once it has. It
// ends the term if the instance fails or has accepted a higher one.
func (f *Failover) promote(now time.Time, v View) []Action {
	r := v.Reports[v.State.Primary]
	if r.Primary && r.Term == v.State.Term {
		return f.propose(now, &wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{
			Group: v.Name, Term: v.State.Term, Primary: v.State.Primary,
		}}})
	}
	if r.Term > v.State.Term || (v.PrimaryFailed && now.Sub(f.phaseSince) > 10*f.Options.ResendInterval) {
		return f.seal(now, v, ReasonPrimaryFailed)
	}
	if !f.shouldSend(now, v.State.Primary) {
		return nil
	}
	return []Action{Promote{Instance: v.State.Primary, Term: v.State.Term, Start: v.State.Start}}
}

// TruncatePosition returns the position to which an instance must truncate its log before it
// follows a later term: the lowest start position of all terms after the term of its last entry
// (lastTerm), but no more than the position of that entry.
func TruncatePosition(forks []*wire.TermStart, lastTerm, position uint64) uint64 {
	for _, f := range forks {
		if f.Term > lastTerm {
			position = min(position, f.Position)
		}
	}
	return position
}
