// Package group provides the decisions of a database group's failover: seal the term, fence
// the instances, choose the primary, promote it. Each step stands in the replicated log
// before the next one is taken, so that any leader can go on from there.
package group

import (
	"sort"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// The reasons for which a term ends, as they stand in a group's status.
const (
	First   = "first"
	Failed  = "failed"
	Leaving = "leaving"
	Raised  = "raised"
)

// Options are the times of a failover.
type Options struct {
	// Resend is after how long an order to an instance is sent again.
	Resend time.Duration
	// Settle is the least time between two failovers of a group once several have followed
	// each other closely; it doubles with each further one.
	Settle time.Duration
}

// DefaultOptions returns the times that the leader uses.
func DefaultOptions() Options {
	return Options{Resend: 100 * time.Millisecond, Settle: time.Second}
}

// View is what the leader knows of a group at one moment.
type View struct {
	Name string
	Run  *wire.GroupState
	Size int
	Acks int
	Home string
	// Accept is the sealed term for which an operator accepts the loss of writes.
	Accept uint64
	// Instances are the announced instances.
	Instances []Instance
	// Failed is set when enough observers hold the primary of the term for failed.
	Failed bool
	// Released is set when the seal is in force on every host that holds connections.
	Released bool
	// Reports are the answers of instances, by name.
	Reports map[string]Report
}

// Instance is a backend server of the group.
type Instance struct {
	Name    string
	Center  string
	Leaving bool
}

// Report is an instance's answer to an order.
type Report struct {
	// Disk is the identity of the instance's disk.
	Disk string
	// Term is the highest term that the instance has accepted.
	Term uint64
	// Last is the term of its last log entry.
	Last uint64
	// Position is the position of its last log entry.
	Position uint64
	// Primary is set when the instance is the primary of Term.
	Primary bool
}

// Action is an order that follows from a step.
type Action interface{ action() }

// Propose asks for a command to be put into the log.
type Propose struct{ Command *wire.Command }

// Fence orders an instance to accept a term and to refuse lower ones.
type Fence struct {
	Instance string
	Term     uint64
}

// Promote orders an instance to become the primary of a term that starts at a position.
type Promote struct {
	Instance string
	Term     uint64
	Start    uint64
}

func (Propose) action() {}
func (Fence) action()   {}
func (Promote) action() {}

// Group decides for one group. It is not safe for concurrent use.
type Group struct {
	Options Options

	term     uint64
	phase    wire.Phase
	since    time.Time
	ordered  map[string]time.Time
	proposed time.Time
	opened   time.Time
	settle   time.Duration
	streak   int
}

// Step returns the orders that follow from a view. It is called whenever something changed
// and at short intervals; orders that are repeated do no harm.
func (g *Group) Step(now time.Time, v View) []Action {
	g.enter(now, v)
	switch v.Run.GetPhase() {
	case wire.Phase_NONE:
		return g.begin(now, v)
	case wire.Phase_SEALED:
		return g.settleTerm(now, v)
	case wire.Phase_CHOSEN:
		return g.promote(now, v)
	case wire.Phase_OPEN:
		return g.guard(now, v)
	}
	return nil
}

// enter notes a change of term or phase.
func (g *Group) enter(now time.Time, v View) {
	if g.ordered != nil && g.term == v.Run.GetTerm() && g.phase == v.Run.GetPhase() {
		return
	}
	g.term = v.Run.GetTerm()
	g.phase = v.Run.GetPhase()
	g.since = now
	g.ordered = map[string]time.Time{}
	g.proposed = time.Time{}
	if g.phase == wire.Phase_OPEN {
		g.damp(now)
	}
}

// dampSpan is how long a group must stay open for the damping to end.
const dampSpan = time.Minute

// maxSettle bounds the damping.
const maxSettle = 30 * time.Second

// freeFailovers is the number of failovers in a row that are not damped.
const freeFailovers = 5

// damp doubles the time to the next failover once several have followed each other closely.
func (g *Group) damp(now time.Time) {
	if g.opened.IsZero() || now.Sub(g.opened) > dampSpan {
		g.settle = 0
		g.streak = 0
	}
	g.streak++
	if g.streak > freeFailovers {
		g.settle = min(max(2*g.settle, g.Options.Settle), maxSettle)
	}
	g.opened = now
}

// due reports whether an order to an instance is to be sent (again).
func (g *Group) due(now time.Time, instance string) bool {
	if last, ok := g.ordered[instance]; ok && now.Sub(last) < g.Options.Resend {
		return false
	}
	g.ordered[instance] = now
	return true
}

// propose returns a proposal unless one was made a moment ago.
func (g *Group) propose(now time.Time, cmd *wire.Command) []Action {
	if !g.proposed.IsZero() && now.Sub(g.proposed) < 5*g.Options.Resend {
		return nil
	}
	g.proposed = now
	return []Action{Propose{cmd}}
}

// begin seals the first term once every instance has announced itself.
func (g *Group) begin(now time.Time, v View) []Action {
	if len(v.Instances) < v.Size {
		return nil
	}
	return g.seal(now, v, First)
}

// guard watches an open group: a failed or leaving primary ends its term.
func (g *Group) guard(now time.Time, v View) []Action {
	if v.Failed && now.Sub(g.since) >= g.settle {
		return g.seal(now, v, Failed)
	}
	if primaryLeaves(v) {
		return g.seal(now, v, Leaving)
	}
	return nil
}

// primaryLeaves reports whether the primary is leaving and another instance may follow it.
func primaryLeaves(v View) bool {
	leaves, stays := false, false
	for _, in := range v.Instances {
		if in.Name == v.Run.Primary {
			leaves = in.Leaving
			continue
		}
		stays = stays || !in.Leaving
	}
	return leaves && stays
}

func (g *Group) seal(now time.Time, v View, reason string) []Action {
	return g.propose(now, &wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{
		Group: v.Name, Term: v.Run.GetTerm(), Reason: reason, Past: highest(v.Reports),
	}}})
}

func highest(reports map[string]Report) uint64 {
	var term uint64
	for _, r := range reports {
		term = max(term, r.Term)
	}
	return term
}

// Primary returns the name of the primary that takes writes, or "".
func Primary(run *wire.GroupState) string {
	if run.GetPhase() != wire.Phase_OPEN {
		return ""
	}
	return run.Primary
}

// Answers returns how many answers make a choice safe: no write with fewer than acks
// confirmations was acknowledged, so this many of size instances hold each one that was.
func Answers(size, acks int) int { return size - acks + 1 }

func sortedNames(reports map[string]Report) []string {
	names := make([]string, 0, len(reports))
	for name := range reports {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
