package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

const (
	// askLimit bounds one question to an instance; an answer takes a few milliseconds.
	askLimit = 400 * time.Millisecond
	// promoteLimit bounds one order to the platform. An order without an answer is repeated
	// under a higher fencing token, so a short wait costs no more than another call.
	promoteLimit = time.Second
	// blindProbe is the interval at which the leader itself asks a primary that no host has
	// used lately.
	blindProbe = 500 * time.Millisecond
	// blindLimit is how long such a primary may leave the questions unanswered.
	blindLimit = 1500 * time.Millisecond
)

// ErrDeclined is returned by Platform.Promote for an order that was refused for good: its
// fencing token is outdated, or the instance does not run.
var ErrDeclined = errors.New("platform refused the promotion")

// ErrOccupied is returned by Platform.Ask for an instance that answers, but has no room for the
// question: it is alive, and nothing is known of its position.
var ErrOccupied = errors.New("instance has no room for a question")

// Instance is where the leader finds an instance of a group.
type Instance struct {
	Group string
	Name  string
	Addr  string
}

// Platform is what the leader asks of the outside to replace a primary.
type Platform struct {
	// Ask asks an instance for its status.
	Ask func(ctx context.Context, in Instance, q group.Ask) (group.Sight, error)
	// Promote has an instance promoted under a fencing token.
	Promote func(ctx context.Context, in Instance, fence uint64) error
}

// order is the order to promote that stands for a group.
type order struct {
	fence uint64
	state group.OrderState
}

// replacements steps the groups of a manifest. The caller holds mu.
func (l *Leader) replacements(ctx context.Context, now time.Time, s *state.State, groups []*wire.Resource) {
	byGroup := map[string][]*wire.Resource{}
	for _, r := range s.List(spec.Backends) {
		if r.Backend != nil && r.Backend.Standing != wire.Standing_GONE {
			byGroup[r.Backend.Group] = append(byGroup[r.Backend.Group], r)
		}
	}
	for _, r := range groups {
		if r.Group == nil {
			continue
		}
		if r.Group.Phase != wire.Phase_OPEN {
			l.open[r.Name] = true
		}
		one := l.successions[r.Name]
		if one == nil {
			one = &group.Succession{Options: group.DefaultSuccessionOptions()}
			l.successions[r.Name] = one
		}
		for _, a := range one.Step(now, l.succession(ctx, now, s, r, byGroup[r.Name])) {
			l.replace(ctx, now, r, byGroup[r.Name], a)
		}
	}
}

func (l *Leader) succession(ctx context.Context, now time.Time, s *state.State, r *wire.Resource, instances []*wire.Resource) group.SuccessionView {
	v := group.SuccessionView{Name: r.Name, Run: r.Group, Host: l.Host, Copies: l.copies(s)[r.Name], Sights: l.sights[r.Name]}
	for _, in := range instances {
		v.Candidates = append(v.Candidates, group.Candidate{
			Name: in.Name, Leaving: in.Backend.Standing == wire.Standing_DRAINING, Primary: in.Backend.Primary,
		})
	}
	if o := l.orders[r.Name]; o.fence == r.Group.Fence && o.fence != 0 {
		v.Order = o.state
	}
	if r.Group.Phase == wire.Phase_SEALED {
		v.Released = l.inForceOn(now, s, r.Group.Sealed)
	}
	if r.Group.Phase == wire.Phase_OPEN {
		v.Failed = l.voted(ctx, now, r, instances)
	}
	return v
}

// copies returns the declared number of copies by group, zeros left out.
func (l *Leader) copies(s *state.State) map[string]int {
	r := s.Get(spec.Manifests, spec.CurrentManifest)
	if r == nil || r == l.manifest {
		return l.copied
	}
	m, err := spec.DecodeManifest(r.Spec)
	if err != nil {
		l.Log.WithError(err).WithField("number", r.Version).Error("manifest cannot be read; copies stay as they were")
		return l.copied
	}
	l.manifest, l.copied = r, map[string]int{}
	for _, c := range m.Groups {
		if c.SyncReplicas > 0 {
			l.copied[c.Name] = c.SyncReplicas
		}
	}
	return l.copied
}

// inForceOn reports whether each host that sends statements has confirmed a revision or holds
// no lease.
func (l *Leader) inForceOn(now time.Time, s *state.State, revision uint64) bool {
	for _, h := range place.Entries(s.List(spec.Hosts)) {
		if !l.grantor.Holds(now, h.Name, revision) {
			return false
		}
	}
	return true
}

// voted reports whether the hosts that use the primary hold it for failed: more of them say
// so than were served a moment ago. Where no host has an opinion the leader asks by itself.
func (l *Leader) voted(ctx context.Context, now time.Time, r *wire.Resource, instances []*wire.Resource) bool {
	well, failed := 0, 0
	for host, list := range l.suspects {
		one := list[r.Name]
		if one == nil || one.Term != r.Group.Term || one.Primary != r.Group.Primary || !l.grantor.Live(now, host) {
			continue
		}
		if one.Well {
			well++
		} else {
			failed++
		}
	}
	if well+failed > 0 {
		delete(l.absent, blindKey(r.Name, r.Group.Primary))
		return failed > well
	}
	return l.blind(ctx, now, r, instances)
}

// blind asks the primary itself, and reports whether it has left that unanswered for long.
func (l *Leader) blind(ctx context.Context, now time.Time, r *wire.Resource, instances []*wire.Resource) bool {
	key := blindKey(r.Name, r.Group.Primary)
	seen := l.sights[r.Name][r.Group.Primary].Asked
	since, known := l.absent[key]
	if !known || seen.After(since) {
		l.absent[key] = now
		since = now
	}
	if now.Sub(l.asked[key]) >= blindProbe {
		l.asked[key] = now
		l.replace(ctx, now, r, instances, group.Ask{Instance: r.Group.Primary})
	}
	return now.Sub(since) > blindLimit
}

// replace carries out one action of a succession. The caller holds mu.
func (l *Leader) replace(ctx context.Context, now time.Time, r *wire.Resource, instances []*wire.Resource, a group.Action) {
	switch a := a.(type) {
	case group.Propose:
		l.Log.WithField("group", r.Name).WithField("term", r.Group.Term).WithField("phase", r.Group.Phase.String()).
			WithField("change", a.Command.String()).Info("replacement step")
		l.propose(ctx, "group "+r.Name, a.Command)
	case group.Ask:
		if in, ok := found(r.Name, a.Instance, instances); ok {
			l.askInstance(ctx, in, a)
		}
	case group.Order:
		l.promote(ctx, r.Name, a, instances)
	}
}

func found(name, instance string, instances []*wire.Resource) (Instance, bool) {
	for _, r := range instances {
		if r.Name == instance {
			return Instance{Group: name, Name: instance, Addr: r.Backend.Addr}, true
		}
	}
	return Instance{}, false
}

func (l *Leader) askInstance(ctx context.Context, in Instance, q group.Ask) {
	term := l.term
	l.background("ask "+in.Name, func() {
		ctx, cancel := context.WithTimeout(ctx, askLimit)
		defer cancel()
		asked := l.Now()
		sight, err := l.Platform.Ask(ctx, in, q)
		if errors.Is(err, ErrOccupied) {
			l.alive(term, in, asked)
			return
		}
		if err != nil {
			l.Log.WithError(err).WithField("instance", in.Name).Debug("instance does not answer")
			return
		}
		sight.Asked = asked
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.term != term {
			return
		}
		if l.sights[in.Group] == nil {
			l.sights[in.Group] = map[string]group.Sight{}
		}
		l.sights[in.Group][in.Name] = sight
	})
}

// alive takes note of an instance that answered a question of a term: overload alone is no reason
// to replace a primary.
func (l *Leader) alive(term uint64, in Instance, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.absent[blindKey(in.Group, in.Name)] = asked
	}
}

// blindKey names a primary that the leader itself watches.
func blindKey(group, primary string) string { return group + " " + primary }

// promote sends an order under its fencing token once. It must still lead by its own lease:
// a control host that was replaced orders nothing. The caller holds mu.
func (l *Leader) promote(ctx context.Context, name string, a group.Order, instances []*wire.Resource) {
	in, ok := found(name, a.Instance, instances)
	if !ok {
		l.orders[name] = order{a.Fence, group.Declined}
		return
	}
	if !l.Now().Before(l.Driver.Status().LeaseUntil) {
		return
	}
	l.orders[name] = order{a.Fence, group.Pending}
	orders := l.orders
	l.background(fmt.Sprintf("promote %s under %d", name, a.Fence), func() {
		ctx, cancel := context.WithTimeout(ctx, promoteLimit)
		defer cancel()
		err := l.Platform.Promote(ctx, in, a.Fence)
		l.Log.WithField("group", name).WithField("instance", in.Name).WithField("fence", a.Fence).WithField("error", errText(err)).Info("promotion ordered")
		l.mu.Lock()
		defer l.mu.Unlock()
		orders[name] = order{a.Fence, outcomeOf(err)}
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func outcomeOf(err error) group.OrderState {
	switch {
	case err == nil:
		return group.Confirmed
	case errors.Is(err, ErrDeclined):
		return group.Declined
	}
	return group.Unanswered
}
