// Package group decides the steps of a database group's failover: seal the term, fence the
// instances, choose the primary, promote it, open the term. Each step is committed to the
// replicated log before the next one is taken, so a new leader can continue from any step.
//
// Sealing a term ends it. The seal is in force once every host that serves the group has confirmed
// it, or its lease has expired; from then on no host uses the primary of that term.
//
// Failover serves groups whose instances the leader fences and promotes itself;
// PlatformFailover serves groups whose instances the platform promotes.
package group

import (
	"sort"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Reasons for ending a term, as shown in the group's status.
const (
	// ReasonBootstrap starts the first term of a new group.
	ReasonBootstrap = "first"
	// ReasonPrimaryFailed means that the primary, or the instance chosen as primary, failed.
	ReasonPrimaryFailed = "failed"
	// ReasonPrimaryDraining means that the primary is being drained (planned failover).
	ReasonPrimaryDraining = "leaving"
	// ReasonHigherTerm means that an instance has already accepted a higher term.
	ReasonHigherTerm = "raised"
)

// Options are the timing settings of a Failover.
type Options struct {
	// ResendInterval is the time after which a request to an instance is sent again.
	ResendInterval time.Duration
	// FailoverBackoff is the initial minimum time between two failovers of a group, applied
	// after several failovers in quick succession. It doubles with each further one.
	FailoverBackoff time.Duration
}

// DefaultOptions returns the options that the leader uses.
func DefaultOptions() Options {
	return Options{ResendInterval: 100 * time.Millisecond, FailoverBackoff: time.Second}
}

// View is what the leader knows about a group at one moment.
type View struct {
	// Name is the name of the group.
	Name string
	// State is the group's term, phase and primary in the replicated state.
	State *wire.GroupState
	// Size is the declared number of instances.
	Size int
	// Acks is the number of instances, including the primary, that must hold a write before
	// it is acknowledged.
	Acks int
	// PreferredCenter is the preferred data centre of the primary, or "".
	PreferredCenter string
	// AcceptLossInTerm is the sealed term for which an operator accepts the loss of writes,
	// or 0.
	AcceptLossInTerm uint64
	// Instances are the instances that have announced themselves.
	Instances []Instance
	// PrimaryFailed is set when enough observers report the primary of the term as failed.
	PrimaryFailed bool
	// SealInForce is set when the seal is in force on every host that holds connections.
	SealInForce bool
	// Reports are the latest reports of instances, by instance name.
	Reports map[string]Report
}

// Instance is a backend server of the group.
type Instance struct {
	Name string
	// Center is the instance's data centre.
	Center string
	// Draining is set when the instance is to be removed from the group.
	Draining bool
}

// Report is an instance's answer to a Fence, Promote or QueryStatus request.
type Report struct {
	// QueriedAt is when the leader sent the request.
	QueriedAt time.Time
	// DiskID identifies the instance's disk; an instance that lost its data has a new one.
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

// Action is something that the leader must do after a step: Propose, Fence, Promote,
// QueryStatus or RequestPromotion.
type Action interface{ action() }

// Propose proposes a command to the replicated log.
type Propose struct{ Command *wire.Command }

// Fence tells an instance to accept a term and to reject lower ones.
type Fence struct {
	Instance string
	Term     uint64
}

// Promote tells an instance to become the primary of a term.
type Promote struct {
	Instance string
	Term     uint64
	// Start is the position at which the term starts.
	Start uint64
}

func (Propose) action() {}
func (Fence) action()   {}
func (Promote) action() {}

// Failover decides the failover steps of one group. It is not safe for concurrent use.
type Failover struct {
	Options Options

	term                 uint64
	phase                wire.Phase
	phaseSince           time.Time
	lastSent             map[string]time.Time // by instance
	lastProposed         time.Time
	lastOpened           time.Time
	backoff              time.Duration
	consecutiveFailovers int
	handOvers            handOverPacer
}

// Step returns the actions that follow from a view. It is called after every change and at
// short intervals. Actions may be repeated safely.
func (f *Failover) Step(now time.Time, v View) []Action {
	f.resetOnPhaseChange(now, v)
	switch v.State.GetPhase() {
	case wire.Phase_NONE:
		return f.bootstrap(now, v)
	case wire.Phase_SEALED:
		return f.fenceAndChoose(now, v)
	case wire.Phase_CHOSEN:
		return f.promote(now, v)
	case wire.Phase_OPEN:
		return f.checkPrimary(now, v)
	}
	return nil
}

// resetOnPhaseChange resets the send and proposal timers when the term or phase has changed.
func (f *Failover) resetOnPhaseChange(now time.Time, v View) {
	if f.lastSent != nil && f.term == v.State.GetTerm() && f.phase == v.State.GetPhase() {
		return
	}
	if v.State.GetPhase() == wire.Phase_OPEN {
		f.handOvers.termOpened(now, f.phase, v.instance(v.State.Primary).Draining)
	}
	f.term = v.State.GetTerm()
	f.phase = v.State.GetPhase()
	f.phaseSince = now
	f.lastSent = map[string]time.Time{}
	f.lastProposed = time.Time{}
	if f.phase == wire.Phase_OPEN {
		f.updateBackoff(now)
	}
}

// backoffResetAfter is how long a group must stay open before the failover backoff resets.
const backoffResetAfter = time.Minute

// maxFailoverBackoff is the upper limit of the failover backoff.
const maxFailoverBackoff = 30 * time.Second

// failoversBeforeBackoff is the number of consecutive failovers without backoff.
const failoversBeforeBackoff = 5

// updateBackoff doubles the minimum time to the next failover after several in quick
// succession, so that a flapping group does not fail over continuously.
func (f *Failover) updateBackoff(now time.Time) {
	if f.lastOpened.IsZero() || now.Sub(f.lastOpened) > backoffResetAfter {
		f.backoff = 0
		f.consecutiveFailovers = 0
	}
	f.consecutiveFailovers++
	if f.consecutiveFailovers > failoversBeforeBackoff {
		f.backoff = min(max(2*f.backoff, f.Options.FailoverBackoff), maxFailoverBackoff)
	}
	f.lastOpened = now
}

// shouldSend reports whether a request to an instance is due, and records it as sent if so.
func (f *Failover) shouldSend(now time.Time, instance string) bool {
	if last, ok := f.lastSent[instance]; ok && now.Sub(last) < f.Options.ResendInterval {
		return false
	}
	f.lastSent[instance] = now
	return true
}

// propose returns a proposal unless one was made within the last five resend intervals.
func (f *Failover) propose(now time.Time, cmd *wire.Command) []Action {
	if !f.lastProposed.IsZero() && now.Sub(f.lastProposed) < 5*f.Options.ResendInterval {
		return nil
	}
	f.lastProposed = now
	return []Action{Propose{cmd}}
}

// bootstrap seals the first term once all declared instances have announced themselves.
func (f *Failover) bootstrap(now time.Time, v View) []Action {
	if len(v.Instances) < v.Size {
		return nil
	}
	return f.seal(now, v, ReasonBootstrap)
}

// checkPrimary ends an open term if the primary has failed or is being drained.
func (f *Failover) checkPrimary(now time.Time, v View) []Action {
	if v.PrimaryFailed && now.Sub(f.phaseSince) >= f.backoff {
		return f.seal(now, v, ReasonPrimaryFailed)
	}
	if v.instance(v.State.Primary).Draining && f.handOvers.due(now) {
		return f.handOver(now, v)
	}
	return nil
}

// handOver ends the term of a draining primary once another instance can take over and enough
// instances for a choice have answered. Until then the primary serves on, and they are queried.
func (f *Failover) handOver(now time.Time, v View) []Action {
	var actions []Action
	answered, successor := 0, false
	for _, in := range v.Instances {
		r, ok := v.Reports[in.Name]
		if !ok || now.Sub(r.QueriedAt) >= successorAnswerAge || !v.trustsDisk(in.Name, r) {
			if f.shouldSend(now, in.Name) {
				actions = append(actions, QueryStatus{Instance: in.Name})
			}
			continue
		}
		answered++
		successor = successor || !in.Draining
	}
	if successor && answered >= v.RequiredCount() {
		return f.seal(now, v, ReasonPrimaryDraining)
	}
	return actions
}

// seal proposes to end the term for the given reason. The next term is higher than any that
// an instance has reported.
func (f *Failover) seal(now time.Time, v View, reason string) []Action {
	return f.propose(now, &wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{
		Group: v.Name, Term: v.State.GetTerm(), Reason: reason, Past: highestTerm(v.Reports),
	}}})
}

func highestTerm(reports map[string]Report) uint64 {
	var term uint64
	for _, r := range reports {
		term = max(term, r.Term)
	}
	return term
}

// Primary returns the name of the primary of an open term, or "" while the group has none that
// accepts writes.
func Primary(gs *wire.GroupState) string {
	if gs.GetPhase() != wire.Phase_OPEN {
		return ""
	}
	return gs.Primary
}

// FailoverQuorum returns how many of size instances must report before a primary can be chosen
// safely. An acknowledged write is on at least acks instances, so at least one of any
// size-acks+1 instances holds it.
func FailoverQuorum(size, acks int) int { return size - acks + 1 }

func sortedNames(reports map[string]Report) []string {
	names := make([]string, 0, len(reports))
	for name := range reports {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
