package group

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Further reasons for which a term ends.
const (
	// Deposed means that the primary follows another instance, or holds nothing of before.
	Deposed = "deposed"
	// Refused means that the platform refused to promote the chosen instance.
	Refused = "refused"
)

// Place is a place in the log of an instance that counts its own terms.
type Place struct {
	Term   uint64
	Number uint64
}

// Before reports whether p comes earlier in the log than other.
func (p Place) Before(other Place) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Number < other.Number
}

// Sight is what an instance said of itself when the leader asked.
type Sight struct {
	// Asked is when the leader asked.
	Asked time.Time
	// Primary is set for the instance that leads.
	Primary bool
	// Reign is the term that the instance is in.
	Reign uint64
	// Received is the end of what the instance has received.
	Received Place
}

// Candidate is an instance that has announced itself.
type Candidate struct {
	Name    string
	Leaving bool
	// Primary is set while the instance holds itself for the primary.
	Primary bool
}

// OrderState is what became of the order to promote the chosen instance.
type OrderState int

// The states of an order.
const (
	// Unsent orders were not sent by this control host.
	Unsent OrderState = iota
	// Pending orders have no answer yet.
	Pending
	// Confirmed orders were taken.
	Confirmed
	// Declined orders were refused: the fencing token is outdated, or the instance is down.
	Declined
	// Unanswered orders may still be carried out.
	Unanswered
)

// SuccessionView is what the leader knows of a group whose primary the platform replaces.
type SuccessionView struct {
	Name string
	Run  *wire.GroupState
	// Host is this control host.
	Host string
	// Copies is the number of replicas that have received a write before it is acknowledged.
	Copies int
	// Candidates are the instances that have not gone.
	Candidates []Candidate
	// Failed is set while the hosts that use the primary hold it for failed.
	Failed bool
	// Released is set once no host reads at the primary of an earlier term.
	Released bool
	// Sights are the latest answers of instances, by name.
	Sights map[string]Sight
	// Order is what became of the order with the present fencing token.
	Order OrderState
}

// SuccessionOptions are the times of a replacement.
type SuccessionOptions struct {
	// Ask is the interval between two questions to an instance during a replacement.
	Ask time.Duration
	// Answers is how long the choice waits for instances that do not answer.
	Answers time.Duration
	// CatchUp is how long a planned replacement waits for the next primary to receive all
	// that the present one holds.
	CatchUp time.Duration
	// Rise is how long an instance may take to lead after its promotion was taken.
	Rise time.Duration
	// Repeat is the least time between two proposals of the same change.
	Repeat time.Duration
}

// DefaultSuccessionOptions returns the times that the leader uses.
func DefaultSuccessionOptions() SuccessionOptions {
	return SuccessionOptions{
		Ask: 60 * time.Millisecond, Answers: 250 * time.Millisecond, CatchUp: 1500 * time.Millisecond,
		Rise: 3 * time.Second, Repeat: 400 * time.Millisecond,
	}
}

// Ask asks an instance for its status.
type Ask struct {
	Instance string
	// Hold, where not zero, is a term above the newest: a replica receives nothing more from
	// the primary of a lower one.
	Hold uint64
	// Resume lets a replica receive again.
	Resume bool
}

// Order tells the platform to promote an instance, under a fencing token.
type Order struct {
	Instance string
	Fence    uint64
}

func (Ask) action()   {}
func (Order) action() {}

// Succession decides on the primary of one group whose instances replicate by themselves and
// are promoted by a call to the platform. Its order of steps is that of Group: seal, wait
// until the seal is in force, choose, promote, open; each stands in the log before the next
// is taken. It is not safe for concurrent use.
type Succession struct {
	Options SuccessionOptions

	term     uint64
	phase    wire.Phase
	fence    uint64
	since    time.Time
	released time.Time
	asked    map[string]time.Time
	proposed time.Time
	avoided  map[string]time.Time
}

// avoidFor is how long an instance whose promotion was refused is passed over while others
// can be chosen.
const avoidFor = 2 * time.Second

// Step returns the actions that follow from a view.
func (s *Succession) Step(now time.Time, v SuccessionView) []Action {
	s.enter(now, v)
	switch v.Run.GetPhase() {
	case wire.Phase_NONE:
		return s.adopt(now, v)
	case wire.Phase_OPEN:
		return s.guard(now, v)
	case wire.Phase_SEALED:
		return s.choose(now, v)
	case wire.Phase_CHOSEN:
		return s.promote(now, v)
	}
	return nil
}

func (s *Succession) enter(now time.Time, v SuccessionView) {
	if s.asked == nil {
		s.asked = map[string]time.Time{}
		s.avoided = map[string]time.Time{}
	} else if s.term == v.Run.GetTerm() && s.phase == v.Run.GetPhase() && s.fence == v.Run.GetFence() {
		return
	}
	s.term, s.phase, s.fence = v.Run.GetTerm(), v.Run.GetPhase(), v.Run.GetFence()
	s.since = now
	s.proposed = time.Time{}
	s.released = time.Time{}
}

func (s *Succession) propose(now time.Time, cmd *wire.Command) []Action {
	if !s.proposed.IsZero() && now.Sub(s.proposed) < s.Options.Repeat {
		return nil
	}
	s.proposed = now
	return []Action{Propose{cmd}}
}

func (s *Succession) ask(now time.Time, name string, acts []Action) []Action {
	if now.Sub(s.asked[name]) < s.Options.Ask {
		return acts
	}
	s.asked[name] = now
	return append(acts, Ask{Instance: name})
}

// adopt takes an instance that leads already for the first primary.
func (s *Succession) adopt(now time.Time, v SuccessionView) []Action {
	var acts []Action
	for _, c := range v.Candidates {
		if !c.Primary {
			continue
		}
		if sight, ok := v.Sights[c.Name]; ok && sight.Primary {
			return s.propose(now, &wire.Command{Body: &wire.Command_Adopt{Adopt: &wire.AdoptPrimary{
				Group: v.Name, Term: v.Run.GetTerm(), Primary: c.Name, Reign: sight.Reign, Fork: sight.Received.wire(),
			}}})
		}
		acts = s.ask(now, c.Name, acts)
	}
	return acts
}

func (p Place) wire() *wire.LogPosition { return &wire.LogPosition{Term: p.Term, Number: p.Number} }

// guard watches an open term.
func (s *Succession) guard(now time.Time, v SuccessionView) []Action {
	primary, known := v.candidate(v.Run.Primary)
	switch {
	case v.Failed:
		return s.seal(now, v, Failed)
	case (!known || primary.Leaving) && v.successor():
		return s.seal(now, v, Leaving)
	case known && !primary.Primary:
		return s.doubt(now, v)
	case v.Copies > 0 && now.Sub(s.since) < s.Options.Rise:
		return s.resume(now, v)
	}
	return nil
}

// resume lets replicas receive that were held while the primary was chosen.
func (s *Succession) resume(now time.Time, v SuccessionView) []Action {
	var acts []Action
	for _, c := range v.Candidates {
		if c.Name != v.Run.Primary && now.Sub(s.asked[c.Name]) >= s.Options.Repeat {
			s.asked[c.Name] = now
			acts = append(acts, Ask{Instance: c.Name, Resume: true})
		}
	}
	return acts
}

// doubt asks a primary that announces itself as a replica, and ends its term if it says so
// itself.
func (s *Succession) doubt(now time.Time, v SuccessionView) []Action {
	sight, ok := v.Sights[v.Run.Primary]
	if ok && sight.Asked.After(s.since) && now.Sub(sight.Asked) < time.Second {
		if !sight.Primary {
			return s.seal(now, v, Deposed)
		}
		return nil
	}
	return s.ask(now, v.Run.Primary, nil)
}

func (v SuccessionView) candidate(name string) (Candidate, bool) {
	for _, c := range v.Candidates {
		if c.Name == name {
			return c, true
		}
	}
	return Candidate{}, false
}

// successor reports whether an instance other than the primary stays.
func (v SuccessionView) successor() bool {
	for _, c := range v.Candidates {
		if c.Name != v.Run.Primary && !c.Leaving {
			return true
		}
	}
	return false
}

func (s *Succession) seal(now time.Time, v SuccessionView, reason string) []Action {
	return s.propose(now, &wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{
		Group: v.Name, Term: v.Run.GetTerm(), Past: v.Run.GetTerm(), Reason: reason,
	}}})
}

// choose asks the instances of a sealed term and chooses the next primary.
func (s *Succession) choose(now time.Time, v SuccessionView) []Action {
	if !v.Released {
		return nil
	}
	if s.released.IsZero() {
		s.released = now
	}
	var acts []Action
	for _, c := range v.Candidates {
		acts = s.ask(now, c.Name, acts)
	}
	if v.Copies > 0 {
		acts = held(acts, v)
	}
	name, ok := s.pick(now, v)
	if !ok || !s.complete(v) {
		return acts
	}
	return append(acts, s.nominate(now, v, name)...)
}

// held makes each question stop a replica from receiving: a primary that is out of reach then
// acknowledges nothing after the answers from which the next one is chosen.
func held(acts []Action, v SuccessionView) []Action {
	newest := v.Run.GetReign()
	for _, sight := range v.Sights {
		newest = max(newest, sight.Reign)
	}
	for i, a := range acts {
		if q, ok := a.(Ask); ok && q.Instance != v.Run.Primary {
			q.Hold = newest + 1
			acts[i] = q
		}
	}
	return acts
}

// complete reports whether the answers hold every acknowledged write: the former primary's
// does, and so do those of all but fewer replicas than hold a write.
func (s *Succession) complete(v SuccessionView) bool {
	if v.Copies == 0 {
		return true
	}
	replicas, answered := 0, 0
	for _, c := range v.Candidates {
		sight, ok := v.Sights[c.Name]
		ok = ok && !sight.Asked.Before(s.released)
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
	return answered >= replicas-v.Copies+1
}

func (s *Succession) nominate(now time.Time, v SuccessionView, name string) []Action {
	return s.propose(now, &wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{
		Group: v.Name, Term: v.Run.GetTerm(), Primary: name, Chooser: v.Host,
	}}})
}

// pick returns the instance that is to lead: of those that stay the one that has received
// most. It waits a little for instances that have not answered yet, and in a planned
// replacement for one that has received all.
func (s *Succession) pick(now time.Time, v SuccessionView) (string, bool) {
	best, found, missing := "", false, false
	var last Place
	for _, c := range v.Candidates {
		sight, ok := v.Sights[c.Name]
		if !ok || sight.Asked.Before(s.released) {
			missing = missing || c.Name != v.Run.Primary || v.Run.Reason == Leaving
			continue
		}
		if c.Name == v.Run.Primary {
			last = sight.Received
		}
		if s.passedOver(now, v, c) {
			continue
		}
		if !found || v.Sights[best].Received.Before(sight.Received) {
			best, found = c.Name, true
		}
	}
	waited := now.Sub(s.released)
	if found && v.Copies > 0 && v.Sights[best].Received.Before(last) && waited >= s.Options.CatchUp {
		return v.Run.Primary, true
	}
	switch {
	case missing && waited < s.Options.Answers:
		return "", false
	case !found && waited < 2*s.Options.Answers:
		return "", false
	case !found:
		return s.fallback(v)
	case (v.Run.Reason == Leaving || v.Copies > 0) && v.Sights[best].Received.Before(last) && waited < s.Options.CatchUp:
		return "", false
	}
	return best, true
}

// passedOver reports whether an instance is not to lead while others can: it leaves, was the
// primary that failed, or could not be promoted a moment ago.
func (s *Succession) passedOver(now time.Time, v SuccessionView, c Candidate) bool {
	if c.Leaving || c.Name == v.Run.Primary {
		return true
	}
	at, avoided := s.avoided[c.Name]
	return avoided && now.Sub(at) < avoidFor
}

// fallback returns the former primary where nobody else answers.
func (s *Succession) fallback(v SuccessionView) (string, bool) {
	best, found := "", false
	for _, c := range v.Candidates {
		sight, ok := v.Sights[c.Name]
		if !ok || sight.Asked.Before(s.released) {
			continue
		}
		if !found || v.Sights[best].Received.Before(sight.Received) {
			best, found = c.Name, true
		}
	}
	return best, found
}

// promote has the chosen instance promoted and opens the term once it leads. The term opens
// only after the order with the newest fencing token was confirmed: the platform refuses
// every earlier one from then on, however late it comes.
func (s *Succession) promote(now time.Time, v SuccessionView) []Action {
	if v.Run.Chooser != v.Host {
		return s.nominate(now, v, v.Run.Primary)
	}
	switch v.Order {
	case Unsent:
		return []Action{Order{Instance: v.Run.Primary, Fence: v.Run.Fence}}
	case Unanswered:
		return s.nominate(now, v, v.Run.Primary)
	case Declined:
		s.avoided[v.Run.Primary] = now
		return s.seal(now, v, Refused)
	case Pending:
		return nil
	}
	sight, ok := v.Sights[v.Run.Primary]
	if ok && sight.Primary && sight.Asked.After(s.since) {
		return s.propose(now, &wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{
			Group: v.Name, Term: v.Run.Term, Primary: v.Run.Primary, Reign: sight.Reign, Fork: sight.Received.wire(),
		}}})
	}
	if now.Sub(s.since) > s.Options.Rise {
		s.avoided[v.Run.Primary] = now
		return s.seal(now, v, Refused)
	}
	return s.ask(now, v.Run.Primary, nil)
}
