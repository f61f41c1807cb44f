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
	ReasonBootstrap       = "first"
	ReasonPrimaryFailed   = "failed"
	ReasonPrimaryDraining = "leaving"
	ReasonHigherTerm      = "raised"
)

// Options are the times of a failover.
type Options struct {
	// ResendInterval is after how long an order to an instance is sent again.
	ResendInterval time.Duration
	// FailoverBackoff is the least time between two failovers of a group once several have followed
	// each other closely; it doubles with each further one.
	FailoverBackoff time.Duration
}

// DefaultOptions returns the times that the leader uses.
func DefaultOptions() Options {
	return Options{ResendInterval: 100 * time.Millisecond, FailoverBackoff: time.Second}
}

// View is what the leader knows of a group at one moment.
type View struct {
	Name       string
	Run        *wire.GroupRun
	Size       int
	Acks       int
	HomeCenter string
	// AcceptLossTerm is the sealed term for which an operator accepts the loss of writes.
	AcceptLossTerm uint64
	// Instances are the announced instances.
	Instances []Instance
	// PrimaryFailed is set when enough observers hold the primary of the term for failed.
	PrimaryFailed bool
	// SealInForce is set when the seal is in force on every host that holds connections.
	SealInForce bool
	// Reports are the answers of instances, by name.
	Reports map[string]Report
}

// Instance is a backend server of the group.
type Instance struct {
	Name     string
	Center   string
	Draining bool
}

// Report is an instance's answer to an order.
type Report struct {
	// DiskID is the identity of the instance's disk.
	DiskID string
	// Term is the highest term that the instance has accepted.
	Term uint64
	// LastTerm is the term of its last log entry.
	LastTerm uint64
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

// Failover decides for one group. It is not safe for concurrent use.
type Failover struct {
	Options Options

	term         uint64
	phase        wire.Phase
	phaseSince   time.Time
	lastSent     map[string]time.Time
	lastProposed time.Time
	lastOpened   time.Time
	backoff      time.Duration
	consecutive  int
}

// Step returns the orders that follow from a view. It is called whenever something changed
// and at short intervals; orders that are repeated do no harm.
func (g *Failover) Step(now time.Time, v View) []Action {
	g.resetOnPhaseChange(now, v)
	switch v.Run.GetPhase() {
	case wire.Phase_NONE:
		return g.bootstrap(now, v)
	case wire.Phase_SEALED:
		return g.fenceAndChoose(now, v)
	case wire.Phase_CHOSEN:
		return g.promote(now, v)
	case wire.Phase_OPEN:
		return g.checkPrimary(now, v)
	}
	return nil
}

// resetOnPhaseChange notes a change of term or phase.
func (g *Failover) resetOnPhaseChange(now time.Time, v View) {
	if g.lastSent != nil && g.term == v.Run.GetTerm() && g.phase == v.Run.GetPhase() {
		return
	}
	g.term = v.Run.GetTerm()
	g.phase = v.Run.GetPhase()
	g.phaseSince = now
	g.lastSent = map[string]time.Time{}
	g.lastProposed = time.Time{}
	if g.phase == wire.Phase_OPEN {
		g.updateBackoff(now)
	}
}

// backoffResetAfter is how long a group must stay open for the damping to end.
const backoffResetAfter = time.Minute

// maxFailoverBackoff bounds the damping.
const maxFailoverBackoff = 30 * time.Second

// failoversBeforeBackoff is the number of failovers in a row that are not damped.
const failoversBeforeBackoff = 5

// updateBackoff doubles the time to the next failover once several have followed each other closely.
func (g *Failover) updateBackoff(now time.Time) {
	if g.lastOpened.IsZero() || now.Sub(g.lastOpened) > backoffResetAfter {
		g.backoff = 0
		g.consecutive = 0
	}
	g.consecutive++
	if g.consecutive > failoversBeforeBackoff {
		g.backoff = min(max(2*g.backoff, g.Options.FailoverBackoff), maxFailoverBackoff)
	}
	g.lastOpened = now
}

// shouldSend reports whether an order to an instance is to be sent (again).
func (g *Failover) shouldSend(now time.Time, instance string) bool {
	if last, ok := g.lastSent[instance]; ok && now.Sub(last) < g.Options.ResendInterval {
		return false
	}
	g.lastSent[instance] = now
	return true
}

// propose returns a proposal unless one was made a moment ago.
func (g *Failover) propose(now time.Time, cmd *wire.Command) []Action {
	if !g.lastProposed.IsZero() && now.Sub(g.lastProposed) < 5*g.Options.ResendInterval {
		return nil
	}
	g.lastProposed = now
	return []Action{Propose{cmd}}
}

// bootstrap seals the first term once every instance has announced itself.
func (g *Failover) bootstrap(now time.Time, v View) []Action {
	if len(v.Instances) < v.Size {
		return nil
	}
	return g.seal(now, v, ReasonBootstrap)
}

// checkPrimary watches an open group: a failed or leaving primary ends its term.
func (g *Failover) checkPrimary(now time.Time, v View) []Action {
	if v.PrimaryFailed && now.Sub(g.phaseSince) >= g.backoff {
		return g.seal(now, v, ReasonPrimaryFailed)
	}
	if primaryDraining(v) {
		return g.seal(now, v, ReasonPrimaryDraining)
	}
	return nil
}

// primaryDraining reports whether the primary is leaving and another instance may follow it.
func primaryDraining(v View) bool {
	draining, successor := false, false
	for _, in := range v.Instances {
		if in.Name == v.Run.Primary {
			draining = in.Draining
			continue
		}
		successor = successor || !in.Draining
	}
	return draining && successor
}

func (g *Failover) seal(now time.Time, v View, reason string) []Action {
	return g.propose(now, &wire.Command{Body: &wire.Command_Seal{Seal: &wire.Seal{
		Group: v.Name, Term: v.Run.GetTerm(), Reason: reason, Past: highestTerm(v.Reports),
	}}})
}

func highestTerm(reports map[string]Report) uint64 {
	var term uint64
	for _, r := range reports {
		term = max(term, r.Term)
	}
	return term
}

// Primary returns the name of the primary that takes writes, or "".
func Primary(run *wire.GroupRun) string {
	if run.GetPhase() != wire.Phase_OPEN {
		return ""
	}
	return run.Primary
}

// FailoverQuorum returns how many answers make a choice safe: no write with fewer than acks
// confirmations was acknowledged, so this many of size instances hold each one that was.
func FailoverQuorum(size, acks int) int { return size - acks + 1 }

func sortedNames(reports map[string]Report) []string {
	names := make([]string, 0, len(reports))
	for name := range reports {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
