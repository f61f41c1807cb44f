package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Further reasons for which a term ends.
const (
	// ReasonPrimaryDeposed means that the primary follows another instance, or holds nothing of before.
	ReasonPrimaryDeposed = "deposed"
	// ReasonPromotionRefused means that the platform refused to promote the chosen instance.
	ReasonPromotionRefused = "refused"
)

// LogPosition is a place in the log of an instance that counts its own terms.
type LogPosition struct {
	Term   uint64
	Number uint64
}

// Before reports whether p comes earlier in the log than other.
func (p LogPosition) Before(other LogPosition) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Number < other.Number
}

// InstanceStatus is what an instance said of itself when the leader asked.
type InstanceStatus struct {
	// QueriedAt is when the leader asked.
	QueriedAt time.Time
	// Primary is set for the instance that leads.
	Primary bool
	// PrimaryTerm is the term that the instance is in.
	PrimaryTerm uint64
	// Received is the end of what the instance has received.
	Received LogPosition
}

// Candidate is an instance that has announced itself.
type Candidate struct {
	Name     string
	Draining bool
	// AnnouncedPrimary is set while the instance holds itself for the primary.
	AnnouncedPrimary bool
}

// PromotionState is what became of the order to promote the chosen instance.
type PromotionState int

// The states of an order.
const (
	// PromotionNotSent orders were not sent by this control host.
	PromotionNotSent PromotionState = iota
	// PromotionPending orders have no answer yet.
	PromotionPending
	// PromotionConfirmed orders were taken.
	PromotionConfirmed
	// PromotionDeclined orders were refused: the fencing token is outdated, or the instance is down.
	PromotionDeclined
	// PromotionUnknown orders may still be carried out.
	PromotionUnknown
)

// PlatformView is what the leader knows of a group whose primary the platform replaces.
type PlatformView struct {
	Name string
	Run  *wire.GroupRun
	// ControlHost is this control host.
	ControlHost string
	// RequiredCopies is the number of replicas that have received a write before it is acknowledged.
	RequiredCopies int
	// Candidates are the instances that have not gone.
	Candidates []Candidate
	// PrimaryFailed is set while the hosts that use the primary hold it for failed.
	PrimaryFailed bool
	// SealInForce is set once no host reads at the primary of an earlier term.
	SealInForce bool
	// Statuses are the latest answers of instances, by name.
	Statuses map[string]InstanceStatus
	// Promotion is what became of the order with the present fencing token.
	Promotion PromotionState
}

// PlatformOptions are the times of a replacement.
type PlatformOptions struct {
	// QueryInterval is the interval between two questions to an instance during a replacement.
	QueryInterval time.Duration
	// AnswerTimeout is how long the choice waits for instances that do not answer.
	AnswerTimeout time.Duration
	// CatchUpTimeout is how long a planned replacement waits for the next primary to receive all
	// that the present one holds.
	CatchUpTimeout time.Duration
	// PromotionTimeout is how long an instance may take to lead after its promotion was taken.
	PromotionTimeout time.Duration
	// ProposalInterval is the least time between two proposals of the same change.
	ProposalInterval time.Duration
}

// DefaultPlatformOptions returns the times that the leader uses.
func DefaultPlatformOptions() PlatformOptions {
	return PlatformOptions{
		QueryInterval: 60 * time.Millisecond, AnswerTimeout: 250 * time.Millisecond, CatchUpTimeout: 1500 * time.Millisecond,
		PromotionTimeout: 3 * time.Second, ProposalInterval: 400 * time.Millisecond,
	}
}

// QueryStatus asks an instance for its status.
type QueryStatus struct {
	Instance string
	// MinPrimaryTerm, where not zero, is a term above the newest: a replica receives nothing more from
	// the primary of a lower one.
	MinPrimaryTerm uint64
	// ResumeReplication lets a replica receive again.
	ResumeReplication bool
}

// RequestPromotion tells the platform to promote an instance, under a fencing token.
type RequestPromotion struct {
	Instance   string
	FenceToken uint64
}

func (QueryStatus) action()      {}
func (RequestPromotion) action() {}

// PlatformFailover decides on the primary of one group whose instances replicate by themselves and
// are promoted by a call to the platform. Its order of steps is that of Group: seal, wait
// until the seal is in force, choose, promote, open; each stands in the log before the next
// is taken. It is not safe for concurrent use.
type PlatformFailover struct {
	Options PlatformOptions

	term              uint64
	phase             wire.Phase
	fenceToken        uint64
	phaseSince        time.Time
	sealInForceAt     time.Time
	lastQueried       map[string]time.Time
	lastProposed      time.Time
	promotionFailedAt map[string]time.Time
}

// promotionRetryDelay is how long an instance whose promotion was refused is passed over while others
// can be chosen.
const promotionRetryDelay = 2 * time.Second

// Step returns the actions that follow from a view.
func (s *PlatformFailover) Step(now time.Time, v PlatformView) []Action {
	s.resetOnPhaseChange(now, v)
	switch v.Run.GetPhase() {
	case wire.Phase_NONE:
		return s.adoptPrimary(now, v)
	case wire.Phase_OPEN:
		return s.checkPrimary(now, v)
	case wire.Phase_SEALED:
		return s.queryAndChoose(now, v)
	case wire.Phase_CHOSEN:
		return s.promote(now, v)
	}
	return nil
}

func (s *PlatformFailover) resetOnPhaseChange(now time.Time, v PlatformView) {
	if s.lastQueried == nil {
		s.lastQueried = map[string]time.Time{}
		s.promotionFailedAt = map[string]time.Time{}
	} else if s.term == v.Run.GetTerm() && s.phase == v.Run.GetPhase() && s.fenceToken == v.Run.GetFence() {
		return
	}
	s.term, s.phase, s.fenceToken = v.Run.GetTerm(), v.Run.GetPhase(), v.Run.GetFence()
	s.phaseSince = now
	s.lastProposed = time.Time{}
	s.sealInForceAt = time.Time{}
}

func (s *PlatformFailover) propose(now time.Time, cmd *wire.Command) []Action {
	if !s.lastProposed.IsZero() && now.Sub(s.lastProposed) < s.Options.ProposalInterval {
		return nil
	}
	s.lastProposed = now
	return []Action{Propose{cmd}}
}

func (s *PlatformFailover) queryStatus(now time.Time, name string, actions []Action) []Action {
	if now.Sub(s.lastQueried[name]) < s.Options.QueryInterval {
		return actions
	}
	s.lastQueried[name] = now
	return append(actions, QueryStatus{Instance: name})
}

// adoptPrimary takes an instance that leads already for the first primary.
func (s *PlatformFailover) adoptPrimary(now time.Time, v PlatformView) []Action {
	var actions []Action
	for _, c := range v.Candidates {
		if !c.AnnouncedPrimary {
			continue
		}
		if status, ok := v.Statuses[c.Name]; ok && status.Primary {
			return s.propose(now, &wire.Command{Body: &wire.Command_Adopt{Adopt: &wire.Adopt{
				Group: v.Name, Term: v.Run.GetTerm(), Primary: c.Name, Reign: status.PrimaryTerm, Fork: status.Received.toWire(),
			}}})
		}
		actions = s.queryStatus(now, c.Name, actions)
	}
	return actions
}

func (p LogPosition) toWire() *wire.Place { return &wire.Place{Term: p.Term, Number: p.Number} }

// checkPrimary watches an open term.
func (s *PlatformFailover) checkPrimary(now time.Time, v PlatformView) []Action {
	primary, known := v.candidate(v.Run.Primary)
	switch {
	case v.PrimaryFailed:
		return s.seal(now, v, ReasonPrimaryFailed)
	case (!known || primary.Draining) && v.hasSuccessor():
		return s.seal(now, v, ReasonPrimaryDraining)
	case known && !primary.AnnouncedPrimary:
		return s.verifyPrimary(now, v)
	case v.RequiredCopies > 0 && now.Sub(s.phaseSince) < s.Options.PromotionTimeout:
		return s.resumeReplication(now, v)
	}
	return nil
}

// resumeReplication lets replicas receive that were held while the primary was chosen.
func (s *PlatformFailover) resumeReplication(now time.Time, v PlatformView) []Action {
	var actions []Action
	for _, c := range v.Candidates {
		if c.Name != v.Run.Primary && now.Sub(s.lastQueried[c.Name]) >= s.Options.ProposalInterval {
			s.lastQueried[c.Name] = now
			actions = append(actions, QueryStatus{Instance: c.Name, ResumeReplication: true})
		}
	}
	return actions
}

// verifyPrimary asks a primary that announces itself as a replica, and ends its term if it says so
// itself.
func (s *PlatformFailover) verifyPrimary(now time.Time, v PlatformView) []Action {
	status, ok := v.Statuses[v.Run.Primary]
	if ok && status.QueriedAt.After(s.phaseSince) && now.Sub(status.QueriedAt) < time.Second {
		if !status.Primary {
			return s.seal(now, v, ReasonPrimaryDeposed)
		}
		return nil
	}
	return s.queryStatus(now, v.Run.Primary, nil)
}

func (v PlatformView) candidate(name string) (Candidate, bool) {
	for _, c := range v.Candidates {
		if c.Name == name {
			return c, true
		}
	}
	return Candidate{}, false
}

// hasSuccessor reports whether an instance other than the primary stays.
func (v PlatformView) hasSuccessor() bool {
	for _, c := range v.Candidates {
		if c.Name != v.Run.Primary && !c.Draining {
			return true
		}
	}
	return false
}

func (s *PlatformFailover) seal(now time.Time, v PlatformView, reason string) []Action {
	return s.propose(now, &wire.Command{Body: &wire.Command_Seal{Seal: &wire.Seal{
		Group: v.Name, Term: v.Run.GetTerm(), Past: v.Run.GetTerm(), Reason: reason,
	}}})
}

// queryAndChoose asks the instances of a sealed term and chooses the next primary.
func (s *PlatformFailover) queryAndChoose(now time.Time, v PlatformView) []Action {
	if !v.SealInForce {
		return nil
	}
	if s.sealInForceAt.IsZero() {
		s.sealInForceAt = now
	}
	var actions []Action
	for _, c := range v.Candidates {
		actions = s.queryStatus(now, c.Name, actions)
	}
	if v.RequiredCopies > 0 {
		actions = holdReplication(actions, v)
	}
	name, ok := s.pickPrimary(now, v)
	if !ok || !s.coversAcknowledgedWrites(v) {
		return actions
	}
	return append(actions, s.proposeChoice(now, v, name)...)
}

// holdReplication makes each question stop a replica from receiving: a primary that is out of reach then
// acknowledges nothing after the answers from which the next one is chosen.
func holdReplication(actions []Action, v PlatformView) []Action {
	highest := v.Run.GetReign()
	for _, status := range v.Statuses {
		highest = max(highest, status.PrimaryTerm)
	}
	for i, a := range actions {
		if q, ok := a.(QueryStatus); ok && q.Instance != v.Run.Primary {
			q.MinPrimaryTerm = highest + 1
			actions[i] = q
		}
	}
	return actions
}

// coversAcknowledgedWrites reports whether the answers hold every acknowledged write: the former primary's
// does, and so do those of all but fewer replicas than hold a write.
func (s *PlatformFailover) coversAcknowledgedWrites(v PlatformView) bool {
	if v.RequiredCopies == 0 {
		return true
	}
	replicas, answered := 0, 0
	for _, c := range v.Candidates {
		status, ok := v.Statuses[c.Name]
		ok = ok && !status.QueriedAt.Before(s.sealInForceAt)
		if c.Name == v.Run.Primary {
			if ok {
				return true
			}
			continue
		}
		replicas++
		if ok {
			answered++
		}
	}
	return answered >= replicas-v.RequiredCopies+1
}

func (s *PlatformFailover) proposeChoice(now time.Time, v PlatformView, name string) []Action {
	return s.propose(now, &wire.Command{Body: &wire.Command_Choose{Choose: &wire.Choose{
		Group: v.Name, Term: v.Run.GetTerm(), Primary: name, Chooser: v.ControlHost,
	}}})
}

// pickPrimary returns the instance that is to lead: of those that stay the one that has received
// most. It waits a little for instances that have not answered yet, and in a planned
// replacement for one that has received all.
func (s *PlatformFailover) pickPrimary(now time.Time, v PlatformView) (string, bool) {
	best, found, missing := "", false, false
	var formerEnd LogPosition
	for _, c := range v.Candidates {
		status, ok := v.Statuses[c.Name]
		if !ok || status.QueriedAt.Before(s.sealInForceAt) {
			missing = missing || c.Name != v.Run.Primary || v.Run.Reason == ReasonPrimaryDraining
			continue
		}
		if c.Name == v.Run.Primary {
			formerEnd = status.Received
		}
		if s.deprioritized(now, v, c) {
			continue
		}
		if !found || v.Statuses[best].Received.Before(status.Received) {
			best, found = c.Name, true
		}
	}
	waited := now.Sub(s.sealInForceAt)
	if found && v.RequiredCopies > 0 && v.Statuses[best].Received.Before(formerEnd) && waited >= s.Options.CatchUpTimeout {
		return v.Run.Primary, true
	}
	switch {
	case missing && waited < s.Options.AnswerTimeout:
		return "", false
	case !found && waited < 2*s.Options.AnswerTimeout:
		return "", false
	case !found:
		return s.fallbackPrimary(v)
	case (v.Run.Reason == ReasonPrimaryDraining || v.RequiredCopies > 0) && v.Statuses[best].Received.Before(formerEnd) && waited < s.Options.CatchUpTimeout:
		return "", false
	}
	return best, true
}

// deprioritized reports whether an instance is not to lead while others can: it leaves, was the
// primary that failed, or could not be promoted a moment ago.
func (s *PlatformFailover) deprioritized(now time.Time, v PlatformView, c Candidate) bool {
	if c.Draining || c.Name == v.Run.Primary {
		return true
	}
	at, failed := s.promotionFailedAt[c.Name]
	return failed && now.Sub(at) < promotionRetryDelay
}

// fallbackPrimary returns the former primary where nobody else answers.
func (s *PlatformFailover) fallbackPrimary(v PlatformView) (string, bool) {
	best, found := "", false
	for _, c := range v.Candidates {
		status, ok := v.Statuses[c.Name]
		if !ok || status.QueriedAt.Before(s.sealInForceAt) {
			continue
		}
		if !found || v.Statuses[best].Received.Before(status.Received) {
			best, found = c.Name, true
		}
	}
	return best, found
}

// promote has the chosen instance promoted and opens the term once it leads. The term opens
// only after the order with the newest fencing token was confirmed: the platform refuses
// every earlier one from then on, however late it comes.
func (s *PlatformFailover) promote(now time.Time, v PlatformView) []Action {
	if v.Run.Chooser != v.ControlHost {
		return s.proposeChoice(now, v, v.Run.Primary)
	}
	switch v.Promotion {
	case PromotionNotSent:
		return []Action{RequestPromotion{Instance: v.Run.Primary, FenceToken: v.Run.Fence}}
	case PromotionUnknown:
		return s.proposeChoice(now, v, v.Run.Primary)
	case PromotionDeclined:
		s.promotionFailedAt[v.Run.Primary] = now
		return s.seal(now, v, ReasonPromotionRefused)
	case PromotionPending:
		return nil
	}
	status, ok := v.Statuses[v.Run.Primary]
	if ok && status.Primary && status.QueriedAt.After(s.phaseSince) {
		return s.propose(now, &wire.Command{Body: &wire.Command_Open{Open: &wire.Open{
			Group: v.Name, Term: v.Run.Term, Primary: v.Run.Primary, Reign: status.PrimaryTerm, Fork: status.Received.toWire(),
		}}})
	}
	if now.Sub(s.phaseSince) > s.Options.PromotionTimeout {
		s.promotionFailedAt[v.Run.Primary] = now
		return s.seal(now, v, ReasonPromotionRefused)
	}
	return s.queryStatus(now, v.Run.Primary, nil)
}
