package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Further reasons for ending a term.
const (
	// ReasonPrimaryDeposed means that the primary now reports itself as a replica, or has lost its
	// data.
	ReasonPrimaryDeposed = "deposed"
	// ReasonPromotionRefused means that the platform refused to promote the chosen instance, or
	// that the instance did not become the primary in time.
	ReasonPromotionRefused = "refused"
)

// LogPosition is a position in the log of an instance. Positions are ordered by term, then by
// number.
type LogPosition struct {
	// Term is the primary's own term, which is not the term of the group.
	Term uint64
	// Number is the number of the log entry.
	Number uint64
}

// Before reports whether p is earlier in the log than other.
func (p LogPosition) Before(other LogPosition) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Number < other.Number
}

// InstanceStatus is an instance's answer to a status query of the leader.
type InstanceStatus struct {
	// QueriedAt is when the leader sent the query.
	QueriedAt time.Time
	// Primary is set when the instance is a primary.
	Primary bool
	// PrimaryTerm is the term that the instance itself is in, not the term of the group.
	PrimaryTerm uint64
	// Received is the last log position that the instance has received.
	Received LogPosition
	// Resumed is set if the query let the instance receive again.
	Resumed bool
	// Held is set while the instance receives nothing from the primary.
	Held bool
}

// Candidate is an instance that has announced itself.
type Candidate struct {
	Name string
	// Draining is set when the instance is draining.
	Draining bool
	// LeaveDeadline is the time from which a draining instance gets no new requests.
	LeaveDeadline time.Time
	// AnnouncedPrimary is set while the instance announces itself as the primary.
	AnnouncedPrimary bool
}

// EndedInstance is an instance that has ended, and whose log no other instance has taken over.
type EndedInstance struct {
	Name string
	// Born is when it had started, in Unix milliseconds.
	Born int64
	// StoppedAt is when its address was last found to refuse connections. It is zero if that is not known.
	StoppedAt time.Time
}

// PromotionState is the state of a request to the platform to promote the chosen instance.
type PromotionState int

const (
	// PromotionNotSent means that this control host has not sent the request.
	PromotionNotSent PromotionState = iota
	// PromotionPending means that the request has no answer yet.
	PromotionPending
	// PromotionConfirmed means that the platform accepted the request.
	PromotionConfirmed
	// PromotionDeclined means that the platform refused the request: the fencing token is
	// outdated, or the instance is down.
	PromotionDeclined
	// PromotionUnknown means that the request failed without an answer and may still be carried
	// out.
	PromotionUnknown
)

// PlatformView is what the leader knows about a group whose instances the platform promotes.
type PlatformView struct {
	// Name is the name of the group.
	Name string
	// State is the group's term, phase and primary in the replicated state.
	State *wire.GroupState
	// ControlHost is the name of this control host.
	ControlHost string
	// RequiredCopies is the number of replicas that must have received a write before it is
	// acknowledged; 0 for asynchronous replication.
	RequiredCopies int
	// Candidates are the instances that have not ended.
	Candidates []Candidate
	// Ended are the ended instances whose logs are not known to be copied.
	Ended []EndedInstance
	// PrimaryLog is the instance that has the log of State.Primary by now: the latest one at its address.
	// If empty, it is State.Primary itself.
	PrimaryLog string
	// PrimaryFailed is set while most hosts that use the primary report it as failed.
	PrimaryFailed bool
	// SealInForce is set once no host reads from the primary of an earlier term.
	SealInForce bool
	// Statuses are the latest status reports of instances, by instance name.
	Statuses map[string]InstanceStatus
	// OverloadedAt is when instances were last asked for a status that they were too busy to give, by name.
	OverloadedAt map[string]time.Time
	// SilentControlHosts is the number of control hosts that the leader does not reach. An instance may be
	// announced to any of them first.
	SilentControlHosts int
	// Promotion is the state of the promotion request with the current fencing token.
	Promotion PromotionState
}

// PlatformOptions are the timing settings of a PlatformFailover.
type PlatformOptions struct {
	// QueryInterval is the minimum interval between two status queries to an instance.
	QueryInterval time.Duration
	// AnswerTimeout is how long the choice of a primary waits for instances that do not answer.
	AnswerTimeout time.Duration
	// AnnouncementTimeout is how long an instance that has started waits for a control host that does not answer
	// before it announces itself to the next one.
	AnnouncementTimeout time.Duration
	// CatchUpTimeout is how long the choice waits for the best candidate to receive the whole log
	// of the former primary, in a planned failover or if writes require copies.
	CatchUpTimeout time.Duration
	// LostLogTimeout is how long the choice waits for logs that may alone hold acknowledged writes while
	// other instances answer. Servers restart and are replaced within it.
	LostLogTimeout time.Duration
	// PromotionTimeout is how long an instance may take to become the primary after the choice.
	PromotionTimeout time.Duration
	// ProposalInterval is the minimum interval between two proposals in the same phase.
	ProposalInterval time.Duration
}

// DefaultPlatformOptions returns the options that the leader uses.
func DefaultPlatformOptions() PlatformOptions {
	return PlatformOptions{
		QueryInterval: 60 * time.Millisecond, AnswerTimeout: 250 * time.Millisecond, AnnouncementTimeout: 1100 * time.Millisecond, CatchUpTimeout: 1500 * time.Millisecond,
		LostLogTimeout: 2 * time.Minute, PromotionTimeout: 3 * time.Second, ProposalInterval: 400 * time.Millisecond,
	}
}

// QueryStatus queries the status of an instance.
type QueryStatus struct {
	Instance string
	// MinPrimaryTerm, if not 0, makes a replica stop receiving from any primary whose own term is
	// lower.
	MinPrimaryTerm uint64
	// ResumeReplication lets a replica receive again after MinPrimaryTerm stopped it.
	ResumeReplication bool
	// StepDownTerm, if not 0, makes a primary whose own term is lower a replica.
	StepDownTerm uint64
}

// RequestPromotion asks the platform to promote an instance. The platform refuses a request whose
// fencing token is lower than the highest that it has seen.
type RequestPromotion struct {
	Instance   string
	FenceToken uint64
}

func (QueryStatus) action()      {}
func (RequestPromotion) action() {}

// PlatformFailover decides the failover steps of one group whose instances manage their own
// replication and are promoted by a call to the platform. The steps are those of Failover: seal,
// wait until the seal is in force, choose, promote, open. Each is committed to the log before the
// next one is taken. It is not safe for concurrent use.
type PlatformFailover struct {
	Options PlatformOptions

	term              uint64
	phase             wire.Phase
	fenceToken        uint64
	phaseSince        time.Time
	sealInForceAt     time.Time
	lastQueried       map[string]time.Time // by instance
	lastProposed      time.Time
	promotionFailedAt map[string]time.Time // by instance
	handOvers         handOverPacer
	// waitReported is the reason last reported for the wait for a primary.
	waitReported string
	// answeringSince is the time since which instances have answered without a break in a sealed term.
	answeringSince time.Time
	// ended are the ended instances whose logs are being checked for copies, by name.
	ended map[string]endedLog
}

// promotionRetryDelay is how long an instance whose promotion failed is not chosen again while
// others can be.
const promotionRetryDelay = 2 * time.Second

// Step returns the actions that follow from a view. It is called after every change and at short
// intervals.
func (f *PlatformFailover) Step(now time.Time, v PlatformView) []Action {
	f.resetOnPhaseChange(now, v)
	switch v.State.GetPhase() {
	case wire.Phase_NONE:
		return f.adoptPrimary(now, v)
	case wire.Phase_OPEN:
		return append(f.checkPrimary(now, v), f.checkCopied(now, v)...)
	case wire.Phase_SEALED:
		return f.queryAndChoose(now, v)
	case wire.Phase_CHOSEN:
		return append(f.promote(now, v), f.keepHolding(now, v)...)
	}
	return nil
}

// resetOnPhaseChange resets the timers when the term, phase or fencing token has changed.
func (f *PlatformFailover) resetOnPhaseChange(now time.Time, v PlatformView) {
	if f.lastQueried == nil {
		f.lastQueried = map[string]time.Time{}
		f.promotionFailedAt = map[string]time.Time{}
	} else if f.term == v.State.GetTerm() && f.phase == v.State.GetPhase() && f.fenceToken == v.State.GetFence() {
		return
	}
	if v.State.GetPhase() == wire.Phase_OPEN {
		primary, _ := v.candidate(v.State.Primary)
		f.handOvers.termOpened(now, f.phase, primary.Draining)
	}
	f.term, f.phase, f.fenceToken = v.State.GetTerm(), v.State.GetPhase(), v.State.GetFence()
	f.phaseSince = now
	f.lastProposed = time.Time{}
	f.sealInForceAt = time.Time{}
	f.waitReported = ""
	f.answeringSince = time.Time{}
}

// propose returns a proposal unless one was made within the proposal interval.
func (f *PlatformFailover) propose(now time.Time, cmd *wire.Command) []Action {
	if !f.lastProposed.IsZero() && now.Sub(f.lastProposed) < f.Options.ProposalInterval {
		return nil
	}
	f.lastProposed = now
	return []Action{Propose{cmd}}
}

// queryStatus appends a status query to actions unless the instance was queried within the query
// interval.
func (f *PlatformFailover) queryStatus(now time.Time, name string, actions []Action) []Action {
	if now.Sub(f.lastQueried[name]) < f.Options.QueryInterval {
		return actions
	}
	f.lastQueried[name] = now
	return append(actions, QueryStatus{Instance: name})
}

// adoptPrimary adopts an instance that already is a primary as the first primary of the group.
func (f *PlatformFailover) adoptPrimary(now time.Time, v PlatformView) []Action {
	var actions []Action
	for _, c := range v.Candidates {
		if !c.AnnouncedPrimary {
			continue
		}
		if status, ok := v.Statuses[c.Name]; ok && status.Primary {
			return f.propose(now, &wire.Command{Body: &wire.Command_Adopt{Adopt: &wire.AdoptPrimary{
				Group: v.Name, Term: v.State.GetTerm(), Primary: c.Name, Reign: status.PrimaryTerm, Fork: status.Received.toWire(),
			}}})
		}
		actions = f.queryStatus(now, c.Name, actions)
	}
	return actions
}

// toWire returns the position as a wire message.
func (p LogPosition) toWire() *wire.LogPosition {
	return &wire.LogPosition{Term: p.Term, Number: p.Number}
}

// checkPrimary ends an open term if the primary has failed, has been deposed or is gone, at its deadline
// if it leaves, or before that once another instance can replace it. Early in the term it also lets
// replicas resume replication.
func (f *PlatformFailover) checkPrimary(now time.Time, v PlatformView) []Action {
	primary, known := v.candidate(v.State.Primary)
	switch {
	case v.PrimaryFailed:
		return f.seal(now, v, ReasonPrimaryFailed)
	case !known || primary.leavesBefore(now):
		return f.seal(now, v, ReasonPrimaryDraining)
	case primary.Draining:
		return f.handOver(now, v)
	case known && !primary.AnnouncedPrimary:
		return f.verifyPrimary(now, v)
	}
	return f.resumeReplication(now, v)
}

// resumeReplication asks replicas, for a time after the term has opened, whether they are still held, and lets those
// receive again, whenever they answer. No other replica is told to: an order that gets no answer may be carried out
// late, when the replica is to be held again.
func (f *PlatformFailover) resumeReplication(now time.Time, v PlatformView) []Action {
	if v.RequiredCopies == 0 {
		return nil
	}
	recent := now.Sub(f.phaseSince) < f.Options.PromotionTimeout
	var actions []Action
	for _, c := range v.Candidates {
		status := v.Statuses[c.Name]
		if c.Name == v.State.Primary || !recent && !status.Held || now.Sub(f.lastQueried[c.Name]) < f.Options.ProposalInterval {
			continue
		}
		f.lastQueried[c.Name] = now
		actions = append(actions, QueryStatus{Instance: c.Name, ResumeReplication: status.Held && status.QueriedAt.After(f.phaseSince)})
	}
	return actions
}

// verifyPrimary queries a primary that has been announced as a replica, and ends its term if the
// answer confirms that it no longer is the primary.
func (f *PlatformFailover) verifyPrimary(now time.Time, v PlatformView) []Action {
	status, ok := v.Statuses[v.State.Primary]
	if ok && status.QueriedAt.After(f.phaseSince) && now.Sub(status.QueriedAt) < time.Second {
		if !status.Primary {
			return f.seal(now, v, ReasonPrimaryDeposed)
		}
		return nil
	}
	return f.queryStatus(now, v.State.Primary, nil)
}

func (v PlatformView) candidate(name string) (Candidate, bool) {
	for _, c := range v.Candidates {
		if c.Name == name {
			return c, true
		}
	}
	return Candidate{}, false
}

// seal proposes to end the term for the given reason. If writes require copies, it also revokes the term, unless its
// primary leaves: that one is expected to step down.
func (f *PlatformFailover) seal(now time.Time, v PlatformView, reason string) []Action {
	_, known := v.candidate(v.State.Primary)
	return f.proposeSeal(now, v, reason, v.RequiredCopies > 0 && (reason != ReasonPrimaryDraining || !known))
}

func (f *PlatformFailover) proposeSeal(now time.Time, v PlatformView, reason string, revoke bool) []Action {
	return f.propose(now, &wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{
		Group: v.Name, Term: v.State.GetTerm(), Past: v.State.GetTerm(), Reason: reason, Revoke: revoke,
	}}})
}

// promote requests the promotion of the chosen instance and opens the term once the instance is
// the primary. The term opens only after the request with the newest fencing token is confirmed:
// from then on the platform refuses every earlier request, however late it arrives.
//
// A choice of another control host, and a request without an answer, are proposed again to get a
// new fencing token. If the chosen instance has ended, the choice begins anew.
func (f *PlatformFailover) promote(now time.Time, v PlatformView) []Action {
	if _, known := v.candidate(v.State.Primary); !known {
		return f.seal(now, v, ReasonPromotionRefused)
	}
	if v.State.Chooser != v.ControlHost {
		return f.proposeChoice(now, v, v.State.Primary)
	}
	switch v.Promotion {
	case PromotionNotSent:
		return []Action{RequestPromotion{Instance: v.State.Primary, FenceToken: v.State.Fence}}
	case PromotionUnknown:
		return f.proposeChoice(now, v, v.State.Primary)
	case PromotionDeclined:
		f.promotionFailedAt[v.State.Primary] = now
		return f.seal(now, v, ReasonPromotionRefused)
	case PromotionPending:
		return nil
	}
	status, ok := v.Statuses[v.State.Primary]
	if ok && status.Primary && status.QueriedAt.After(f.phaseSince) {
		return f.propose(now, &wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{
			Group: v.Name, Term: v.State.Term, Primary: v.State.Primary, Reign: status.PrimaryTerm, Fork: status.Received.toWire(),
		}}})
	}
	if now.Sub(f.phaseSince) > f.Options.PromotionTimeout {
		f.promotionFailedAt[v.State.Primary] = now
		return f.seal(now, v, ReasonPromotionRefused)
	}
	return f.queryStatus(now, v.State.Primary, nil)
}
