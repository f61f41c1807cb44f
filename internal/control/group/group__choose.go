package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// fenceAndChoose fences all instances and proposes a primary once the seal is in force and
// enough instances have reported.
func (f *Failover) fenceAndChoose(now time.Time, v View) []Action {
	if highest := highestTerm(v.Reports); highest > v.State.Term {
		return f.seal(now, v, ReasonHigherTerm)
	}
	if v.State.Reason == ReasonPrimaryDraining && !v.SealInForce {
		return nil
	}
	var actions []Action
	for _, in := range v.Instances {
		if v.Reports[in.Name].Term < v.State.Term && f.shouldSend(now, in.Name) {
			actions = append(actions, Fence{Instance: in.Name, Term: v.State.Term})
		}
	}
	name, r, ok := ChoosePrimary(v)
	if !ok {
		return actions
	}
	return append(actions, f.propose(now, &wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{
		Group: v.Name, Term: v.State.Term, Primary: name, Start: r.Position, Disks: v.trustedDisks(name),
	}}})...)
}

// trustedDisks returns the disk identities, by instance, whose reports count after the choice:
// all of them in the first term, later only that of the chosen instance.
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

// bootstrapping reports whether the group has not yet had a primary.
func (v View) bootstrapping() bool { return len(v.State.Forks) == 0 }

// eligibleReports returns the reports that count towards a choice: those of fenced instances
// with a trusted disk. An instance that lost its disk no longer holds the writes that it
// confirmed, so its reports do not count until its new disk is admitted in the log.
func (v View) eligibleReports() map[string]Report {
	eligible := map[string]Report{}
	for name, r := range v.Reports {
		if r.Term == v.State.Term && v.trustsDisk(name, r) {
			eligible[name] = r
		}
	}
	return eligible
}

// trustsDisk reports whether the report of an instance comes from a disk that counts.
func (v View) trustsDisk(name string, r Report) bool {
	return v.bootstrapping() || v.lossAccepted() || v.State.Disks[name] == r.DiskID
}

// lossAccepted reports whether an operator accepts the loss of writes in the sealed term.
func (v View) lossAccepted() bool {
	return v.AcceptLossInTerm != 0 && v.AcceptLossInTerm == v.State.Term
}

// RequiredCount returns how many eligible reports are needed to choose a primary.
func (v View) RequiredCount() int {
	switch {
	case v.lossAccepted():
		return 1
	case v.bootstrapping():
		return v.Size
	}
	return FailoverQuorum(v.Size, v.Acks)
}

// EligibleCount returns the number of reports that count towards RequiredCount.
func (v View) EligibleCount() int { return len(v.eligibleReports()) }

// ChoosePrimary returns the name and report of the primary for a sealed term: the fenced
// instance with the highest term of the last log entry, then the highest position. Ties go to
// an instance that is not draining, then to the preferred data centre, then to the first name.
// Draining instances are considered only if the others are too few. It reports false while
// the seal is not in force, or while a choice could lose an acknowledged write and no operator
// has accepted that.
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

// withoutDraining drops the reports of draining instances if enough others remain.
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

// ranksHigher reports whether instance a with report ra is a better primary than instance b
// with report rb.
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
	return ia.Center == v.PreferredCenter && ib.Center != v.PreferredCenter
}

func (v View) instance(name string) Instance {
	for _, in := range v.Instances {
		if in.Name == name {
			return in
		}
	}
	return Instance{Name: name}
}
