package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// fenceAndChoose fences all instances and chooses the primary once the seal is in force and
// enough of them have answered.
func (g *Failover) fenceAndChoose(now time.Time, v View) []Action {
	if highest := highestTerm(v.Reports); highest > v.Run.Term {
		return g.seal(now, v, ReasonHigherTerm)
	}
	if v.Run.Reason == ReasonPrimaryDraining && !v.SealInForce {
		return nil
	}
	var actions []Action
	for _, in := range v.Instances {
		if v.Reports[in.Name].Term < v.Run.Term && g.shouldSend(now, in.Name) {
			actions = append(actions, Fence{Instance: in.Name, Term: v.Run.Term})
		}
	}
	name, r, ok := ChoosePrimary(v)
	if !ok {
		return actions
	}
	return append(actions, g.propose(now, &wire.Command{Body: &wire.Command_Choose{Choose: &wire.Choose{
		Group: v.Name, Term: v.Run.Term, Primary: name, Start: r.Position, Disks: v.trustedDisks(name),
	}}})...)
}

// trustedDisks returns the disks that count from the choice on: all of them in the first term, and
// later that of the chosen instance.
func (v View) trustedDisks(chosen string) map[string]string {
	if !v.bootstrapping() {
		return map[string]string{chosen: v.Reports[chosen].DiskID}
	}
	all := map[string]string{}
	for name, r := range v.Reports {
		all[name] = r.DiskID
	}
	return all
}

// bootstrapping reports whether no term of the group has had a primary.
func (v View) bootstrapping() bool { return len(v.Run.Forks) == 0 }

// eligibleReports returns the answers that count: an instance that lost its disk does not hold what it
// confirmed before, until the log admits it again.
func (v View) eligibleReports() map[string]Report {
	fenced := map[string]Report{}
	for name, r := range v.Reports {
		if r.Term == v.Run.Term && (v.bootstrapping() || v.lossAccepted() || v.Run.Disks[name] == r.DiskID) {
			fenced[name] = r
		}
	}
	return fenced
}

// lossAccepted reports whether an operator accepts a loss in the sealed term.
func (v View) lossAccepted() bool { return v.AcceptLossTerm != 0 && v.AcceptLossTerm == v.Run.Term }

// RequiredCount returns how many answers the choice needs.
func (v View) RequiredCount() int {
	switch {
	case v.lossAccepted():
		return 1
	case v.bootstrapping():
		return v.Size
	}
	return FailoverQuorum(v.Size, v.Acks)
}

// EligibleCount returns how many answers count towards those that are needed.
func (v View) EligibleCount() int { return len(v.eligibleReports()) }

// ChoosePrimary returns the primary of a sealed term: of the fenced instances the one with the
// highest term of the last entry, then the highest position; ties go to one that stays, then
// to the home data centre, then to the first name. It reports false while a choice could
// lose an acknowledged write and no operator has accepted that.
func ChoosePrimary(v View) (string, Report, bool) {
	if !v.SealInForce {
		return "", Report{}, false
	}
	eligible := v.eligibleReports()
	required := v.RequiredCount()
	if len(eligible) < required {
		return "", Report{}, false
	}
	eligible = v.withoutDraining(eligible, required)
	best := ""
	for _, name := range sortedNames(eligible) {
		if best == "" || v.ranksHigher(name, eligible[name], best, eligible[best]) {
			best = name
		}
	}
	return best, eligible[best], true
}

// withoutDraining drops leaving instances where the answers of the others suffice.
func (v View) withoutDraining(eligible map[string]Report, required int) map[string]Report {
	remaining := map[string]Report{}
	for name, r := range eligible {
		if !v.instance(name).Draining {
			remaining[name] = r
		}
	}
	if len(remaining) < required {
		return eligible
	}
	return remaining
}

func (v View) ranksHigher(a string, ra Report, b string, rb Report) bool {
	if ra.LastTerm != rb.LastTerm {
		return ra.LastTerm > rb.LastTerm
	}
	if ra.Position != rb.Position {
		return ra.Position > rb.Position
	}
	ia, ib := v.instance(a), v.instance(b)
	if ia.Draining != ib.Draining {
		return ib.Draining
	}
	return ia.Center == v.HomeCenter && ib.Center != v.HomeCenter
}

func (v View) instance(name string) Instance {
	for _, in := range v.Instances {
		if in.Name == name {
			return in
		}
	}
	return Instance{Name: name}
}
