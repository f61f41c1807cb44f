package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// settleTerm fences all instances and chooses the primary once the seal is in force and
// enough of them have answered.
func (g *Group) settleTerm(now time.Time, v View) []Action {
	if past := highest(v.Reports); past > v.Run.Term {
		return g.seal(now, v, Raised)
	}
	if v.Run.Reason == Leaving && !v.Released {
		return nil
	}
	var acts []Action
	for _, in := range v.Instances {
		if v.Reports[in.Name].Term < v.Run.Term && g.due(now, in.Name) {
			acts = append(acts, Fence{Instance: in.Name, Term: v.Run.Term})
		}
	}
	name, r, ok := Choose(v)
	if !ok {
		return acts
	}
	return append(acts, g.propose(now, &wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{
		Group: v.Name, Term: v.Run.Term, Primary: name, Start: r.Position, Disks: v.disks(name),
	}}})...)
}

// disks returns the disks that count from the choice on: all of them in the first term, and
// later that of the chosen instance.
func (v View) disks(chosen string) map[string]string {
	if !v.first() {
		return map[string]string{chosen: v.Reports[chosen].Disk}
	}
	all := map[string]string{}
	for name, r := range v.Reports {
		all[name] = r.Disk
	}
	return all
}

// first reports whether no term of the group has had a primary.
func (v View) first() bool { return len(v.Run.Forks) == 0 }

// fenced returns the answers that count: an instance that lost its disk does not hold what it
// confirmed before, until the log admits it again.
func (v View) fenced() map[string]Report {
	fenced := map[string]Report{}
	for name, r := range v.Reports {
		if r.Term == v.Run.Term && (v.first() || v.accepted() || v.Run.Disks[name] == r.Disk) {
			fenced[name] = r
		}
	}
	return fenced
}

// accepted reports whether an operator accepts a loss in the sealed term.
func (v View) accepted() bool { return v.Accept != 0 && v.Accept == v.Run.Term }

// Needed returns how many answers the choice needs.
func (v View) Needed() int {
	switch {
	case v.accepted():
		return 1
	case v.first():
		return v.Size
	}
	return Answers(v.Size, v.Acks)
}

// Counted returns how many answers count towards those that are needed.
func (v View) Counted() int { return len(v.fenced()) }

// Choose returns the primary of a sealed term: of the fenced instances the one with the
// highest term of the last entry, then the highest position; ties go to one that stays, then
// to the home data centre, then to the first name. It reports false while a choice could
// lose an acknowledged write and no operator has accepted that.
func Choose(v View) (string, Report, bool) {
	if !v.Released {
		return "", Report{}, false
	}
	fenced := v.fenced()
	need := v.Needed()
	if len(fenced) < need {
		return "", Report{}, false
	}
	fenced = v.staying(fenced, need)
	best := ""
	for _, name := range sortedNames(fenced) {
		if best == "" || v.better(name, fenced[name], best, fenced[best]) {
			best = name
		}
	}
	return best, fenced[best], true
}

// staying drops leaving instances where the answers of the others suffice.
func (v View) staying(fenced map[string]Report, need int) map[string]Report {
	stay := map[string]Report{}
	for name, r := range fenced {
		if !v.instance(name).Leaving {
			stay[name] = r
		}
	}
	if len(stay) < need {
		return fenced
	}
	return stay
}

func (v View) better(a string, ra Report, b string, rb Report) bool {
	if ra.Last != rb.Last {
		return ra.Last > rb.Last
	}
	if ra.Position != rb.Position {
		return ra.Position > rb.Position
	}
	ia, ib := v.instance(a), v.instance(b)
	if ia.Leaving != ib.Leaving {
		return ib.Leaving
	}
	return ia.Center == v.Home && ib.Center != v.Home
}

func (v View) instance(name string) Instance {
	for _, in := range v.Instances {
		if in.Name == name {
			return in
		}
	}
	return Instance{Name: name}
}
