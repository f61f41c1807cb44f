// Package desk provides what a host knows of the groups that it sends statements to: the
// declared databases, the instances with their connections, the primaries and the positions
// that reads ask for. It follows the host's view of the resources.
package desk

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

const (
	// maintenanceInterval is the time between two rounds of upkeep.
	maintenanceInterval = 100 * time.Millisecond
	// positionRetention is how far back positions are kept; reads that may be older find the oldest.
	positionRetention = 12 * time.Second
	// primaryDownAfter is how long a primary must have been out of reach to be reported.
	primaryDownAfter = 120 * time.Millisecond
	// healthyWithin is how recent an answer must be for a primary to be reported as well.
	healthyWithin = time.Second
	// deposedWindow is how long a refused write counts as a sign that the primary was replaced.
	deposedWindow = time.Second
	// minLagBackoff is how long a replica that lacked a position is passed over; it doubles up to
	// behindMost while that goes on.
	minLagBackoff = 25 * time.Millisecond
	maxLagBackoff = 200 * time.Millisecond
	// catchUpLimit is how long a replica may have lacked what reads need for them to wait for it:
	// usual lag. One that lags for longer won't have it within the time that callers expect.
	catchUpLimit = 200 * time.Millisecond
	// minFailureBackoff is how long an instance that failed a statement is passed over by reads; it
	// doubles up to ailingMost with each further failure before a success.
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
)

// Topology follows the view. The exported fields are set before Run.
type Topology struct {
	Host   string
	Center string
	// LendOnly is set for a host that has no callers of its own and only lends.
	LendOnly bool
	Agent    *agent.Agent
	// NewServer returns the connections to an instance; it is a seam for tests.
	NewServer func(group, instance, addr string, near bool, slots int) *pool.Server
	Log       *logs.Logger
	Meter     *meter.Meter
	// Borrow, where set, opens the use of another host's connection to an instance.
	Borrow func(addr, group, instance string, rank int, patience time.Duration) (pool.Unit, error)
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	snapshot atomic.Pointer[Snapshot]
	// manifestLoaded is closed with the first plan that has a manifest.
	manifestLoaded   chan struct{}
	mu               sync.Mutex
	members          map[string]*Member
	positions        map[string]*positionCache
	unhealthyPrimary map[string]bool
	manifestResource *wire.Resource
	manifest         spec.Manifest
	databases        map[string]spec.Database
	// chosenLenders are the lenders for spots among peers.
	chosenLenders    map[string][]place.Peer
	lentInstances    []place.Spot
	lenderCandidates []place.Peer
	positionQueries  sync.WaitGroup
}

// Snapshot is what the host does at a revision. It is immutable.
type Snapshot struct {
	Revision       uint64
	ManifestNumber uint64
	Databases      map[string]spec.Database
	Groups         map[string]*Group
	// TxIdleLimit is how long a transaction may rest; zero sets no bound.
	TxIdleLimit time.Duration
}

// Group is a database group at a revision.
type Group struct {
	Name string
	// Term is the term of the group's primary by the log.
	Term uint64
	// Open is set while the primary takes work.
	Open    bool
	Primary string
	// PrimaryTerm and Fork are the primary's own term and where it took over.
	PrimaryTerm uint64
	Fork        token.Mark
	Members     []*Member

	positions *positionCache
}

// Member is an instance of a group.
type Member struct {
	*pool.Server
	Draining bool
	// lenders are the hosts that use their connections for this one, where it has none.
	lenders []string
	// dedicatedLenders is the number of lenders that are asked before the others, in order.
	dedicatedLenders int
	// fallbackLenders are the hosts that may help out while the instance has no room for this one.
	fallbackLenders []string
	// center and room are the instance's data centre and the connections that it accepts.
	center          string
	connectionLimit int

	topology *Topology
	state    *memberState
}

// memberState is what is kept of an instance over revisions.
type memberState struct {
	backoffUntil atomic.Int64
	failures     atomic.Int64
	// failingSince is when the streak began.
	failingSince atomic.Int64
	deposedUntil atomic.Int64
	// noLenderUntil is until when no other host could reach the instance.
	noLenderUntil atomic.Int64
	// lastLender is the host that lent a connection last.
	lastLender atomic.Pointer[string]
	addr       string
	startTime  int64
}

// positionCache keeps the positions of a group.
type positionCache struct {
	mu      sync.Mutex
	history route.PositionHistory
	// queryDone is closed at the end of the question for the primary's position that is on its
	// way; it is nil while there is none.
	queryDone chan struct{}
}

// Prepare makes the desk ready; Run must follow.
func (t *Topology) Prepare() {
	t.members = map[string]*Member{}
	t.positions = map[string]*positionCache{}
	t.unhealthyPrimary = map[string]bool{}
	t.snapshot.Store(&Snapshot{})
	t.manifestLoaded = make(chan struct{})
	t.Agent.Learned = t.applyView
	t.Agent.Suspects = t.PrimaryHealthReports
}

// ManifestLoaded returns a channel that is closed once the host knows the declared databases.
func (t *Topology) ManifestLoaded() <-chan struct{} { return t.manifestLoaded }

// Snapshot returns what the host does now.
func (t *Topology) Snapshot() *Snapshot { return t.snapshot.Load() }

// AwaitingFirstLease reports whether the host has had no lease since its start. It gets its first one within
// some tens of milliseconds of the first manifest.
func (t *Topology) AwaitingFirstLease() bool { return t.Agent.Until().IsZero() }

// Ready reports whether the host can serve callers.
func (t *Topology) Ready(now time.Time) bool {
	return t.Agent.Valid(now) && t.Snapshot().ManifestNumber > 0
}

// leaseLapsedAfter is how long a host must have been without a lease for its callers to be better
// off elsewhere; the control quorum recovers from a restart of all its hosts in less.
const leaseLapsedAfter = 2 * time.Second

// LeaseLapsed reports whether the host has been unable to serve fresh reads for long.
func (t *Topology) LeaseLapsed(now time.Time) bool {
	until := t.Agent.Until()
	return !until.IsZero() && now.Sub(until) > leaseLapsedAfter
}

// Run looks after connections until ctx ends; the end is reported on the channel.
func (t *Topology) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(maintenanceInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
				t.maintain(t.Now())
			}
		}
		t.closeConnections()
		t.positionQueries.Wait()
		done <- nil
	}()
	return done
}

func (t *Topology) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		m.Shut()
	}
}

func (t *Topology) maintain(now time.Time) {
	for _, g := range t.Snapshot().Groups {
		for _, m := range g.Members {
			m.Warm(now)
		}
	}
	if t.primaryHealthChanged(now) {
		t.Agent.Kick()
	}
}

// applyView takes in a view. When it returns, no new statement is sent by an older one.
func (t *Topology) applyView(v *agent.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadManifest(v.Get(spec.Manifests, spec.Current))
	next := &Snapshot{Revision: v.Revision, ManifestNumber: t.manifest.Number, Databases: t.databases, TxIdleLimit: t.manifest.Idle, Groups: map[string]*Group{}}
	hosts := connectionHosts(v)
	seen := map[string]bool{}
	for _, c := range t.manifest.Groups {
		next.Groups[c.Name] = t.buildGroup(v, c, hosts, seen)
	}
	t.assignLenders(next, hosts)
	for name, m := range t.members {
		if !seen[name] {
			m.Shut()
			delete(t.members, name)
		}
	}
	first := t.Snapshot().ManifestNumber == 0 && next.ManifestNumber > 0
	t.snapshot.Store(next)
	if first {
		close(t.manifestLoaded)
	}
	t.Meter.Set("plan.number", int64(next.ManifestNumber))
}

// loadManifest reads the manifest where it has changed.
func (t *Topology) loadManifest(r *wire.Resource) {
	if r == nil || r == t.manifestResource {
		return
	}
	m, err := spec.ReadManifest(r.Spec)
	if err != nil {
		t.Log.WithError(err).WithField("number", r.Version).Error("manifest cannot be read; the one before stays in force")
		return
	}
	t.manifestResource, t.manifest = r, m
	t.databases = map[string]spec.Database{}
	for _, db := range m.Databases {
		if current, duplicate := t.databases[db.Name]; !duplicate || db.Path < current.Path {
			t.databases[db.Name] = db
		}
	}
	t.Log.WithField("number", m.Number).WithField("databases", len(m.Databases)).Info("manifest in use")
}

func (t *Topology) buildGroup(v *agent.View, c spec.Cluster, hosts []place.Peer, seen map[string]bool) *Group {
	run := v.Get(spec.Groups, c.Name).GetGroup()
	g := &Group{
		Name: c.Name, Term: run.GetTerm(), Open: run.GetPhase() == wire.Phase_OPEN, Primary: run.GetPrimary(),
		PrimaryTerm: run.GetReign(), Fork: token.Mark{Term: run.GetFork().GetTerm(), Position: run.GetFork().GetNumber()},
	}
	if t.positions[c.Name] == nil {
		t.positions[c.Name] = &positionCache{history: route.PositionHistory{Retention: positionRetention}}
	}
	g.positions = t.positions[c.Name]
	for _, r := range v.Instances(c.Name) {
		b := r.Backend
		if b.Standing == wire.Standing_GONE || superseded(v.Instances(c.Name), r) {
			continue
		}
		m := t.ensureMember(r)
		m.Resize(c.Connections, t.directShare(c.Connections, hosts))
		m.center, m.connectionLimit = r.Backend.Center, c.Connections
		seen[r.Name] = true
		g.Members = append(g.Members, m)
	}
	slices.SortFunc(g.Members, func(a, b *Member) int { return strings.Compare(a.Instance, b.Instance) })
	return g
}

// directShare returns this host's share where every entry host has connections.
func (t *Topology) directShare(connections int, hosts []place.Peer) int {
	if t.LendOnly {
		return 0
	}
	return pool.Share(connections, countEntryHosts(hosts))
}

// superseded reports whether a later instance has taken over the address of r.
func superseded(list []*wire.Resource, r *wire.Resource) bool {
	return slices.ContainsFunc(list, func(other *wire.Resource) bool {
		return other.Backend.Addr == r.Backend.Addr && other.Backend.Born > r.Backend.Born
	})
}

// ensureMember returns an instance with its connections, new ones where it has started anew.
func (t *Topology) ensureMember(r *wire.Resource) *Member {
	b := r.Backend
	current := t.members[r.Name]
	draining := b.Standing == wire.Standing_DRAINING
	if current != nil && current.state.addr == b.Addr && current.state.startTime == b.Born {
		m := &Member{Server: current.Server, Draining: draining, state: current.state, topology: t}
		t.members[r.Name] = m
		return m
	}
	if current != nil {
		current.Shut()
	}
	s := t.NewServer(b.Group, r.Name, b.Addr, b.Center == t.Center, int(max(1, b.Slots)))
	s.Lost = t.reportConnectionLoss
	m := &Member{Server: s, Draining: draining, topology: t, state: &memberState{addr: b.Addr, startTime: b.Born}}
	t.members[r.Name] = m
	return m
}

// reportConnectionLoss tells control soon that an instance is out of reach, if it stays so.
func (t *Topology) reportConnectionLoss() {
	time.Sleep(primaryDownAfter)
	if t.primaryHealthChanged(t.Now()) {
		t.Agent.Kick()
	}
}

// Candidates returns the instances as routing sees them; those in tried are passed over.
func (g *Group) Candidates(now time.Time, tried map[string]bool) []route.Candidate {
	list := make([]route.Candidate, 0, len(g.Members))
	for _, m := range g.Members {
		list = append(list, route.Candidate{
			Name: m.Instance, Primary: g.Open && m.Instance == g.Primary, Draining: m.Draining, Down: m.unreachable(now),
			Local: m.Near, Load: m.Load(), Slots: m.Slots, Latency: m.Latency(),
			InBackoff: now.UnixNano() < m.state.backoffUntil.Load(), Tried: tried[m.Instance],
		})
	}
	return list
}

// Member returns an instance, or nil.
func (g *Group) Member(name string) *Member {
	for _, m := range g.Members {
		if m.Instance == name {
			return m
		}
	}
	return nil
}

// CatchingUp reports whether an instance in reach lacks nothing but a position, and is not known
// to have lacked what reads needed for long.
func (g *Group) CatchingUp(now time.Time, tried map[string]bool) bool {
	return slices.ContainsFunc(g.Candidates(now, tried), func(c route.Candidate) bool {
		return c.InBackoff && !c.Down && !c.Tried && !c.Draining && now.Sub(g.Member(c.Name).failingSince()) < catchUpLimit
	})
}

// failingSince returns when the instance began to lack what reads needed.
func (m *Member) failingSince() time.Time { return time.Unix(0, m.state.failingSince.Load()) }

// RecordLag takes note of a replica that lacked a position.
func (m *Member) RecordLag(now time.Time) { m.backOff(now, minLagBackoff, maxLagBackoff) }

// RecordFailure takes note of an instance that failed a statement that others may serve.
func (m *Member) RecordFailure(now time.Time) { m.backOff(now, minFailureBackoff, maxFailureBackoff) }

// backOff makes reads use other instances for a while that doubles with each call.
func (m *Member) backOff(now time.Time, shortest, longest time.Duration) {
	n := m.state.failures.Add(1)
	if n == 1 {
		m.state.failingSince.Store(now.UnixNano())
	}
	backoff := min(shortest<<min(n-1, 8), longest)
	m.state.backoffUntil.Store(now.Add(backoff).UnixNano())
}

// RecordSuccess takes note of a replica that had what a read needed.
func (m *Member) RecordSuccess() { m.state.failures.Store(0) }

// RecordWriteRefusal takes note of a primary that refused a write.
func (m *Member) RecordWriteRefusal(now time.Time) {
	m.state.deposedUntil.Store(now.Add(deposedWindow).UnixNano())
}

// MinPosition returns the position that a read of an age needs; false where none is known.
func (g *Group) MinPosition(now time.Time, age time.Duration) (token.Mark, bool) {
	g.positions.mu.Lock()
	defer g.positions.mu.Unlock()
	m, ok := g.positions.history.MinPosition(now, age)
	return route.ClipToFork(m, g.PrimaryTerm, g.Fork), ok
}

// PositionAge returns how old the latest position of the group is that the host knows.
func (g *Group) PositionAge(now time.Time) time.Duration {
	if g.positions == nil {
		return 0
	}
	g.positions.mu.Lock()
	defer g.positions.mu.Unlock()
	at := g.positions.history.NewestTime()
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// RecordPosition takes note of a position that the primary reported to a request sent at a moment, if
// the host may still use the primary of that term: only then does the position hold all that
// was acknowledged before.
func (t *Topology) RecordPosition(now, sent time.Time, g *Group, m token.Mark) bool {
	if !t.TermStillOpen(now, g) {
		return false
	}
	if m != (token.Mark{}) {
		g.positions.mu.Lock()
		g.positions.history.Record(sent, m)
		g.positions.mu.Unlock()
	}
	return true
}

// TermStillOpen reports whether the term of g was open when g was taken, is open still, and the host
// holds a lease: no later primary can have acknowledged anything yet. A term that has opened
// since does not count, since its primary may have been a replica when the request was sent.
func (t *Topology) TermStillOpen(now time.Time, g *Group) bool {
	current := t.Snapshot().Groups[g.Name]
	return g.Open && current != nil && current.Open && current.Term == g.Term && t.Agent.Valid(now)
}

// PrimaryHealthReports returns what this host observes of primaries, for the next renewal.
func (t *Topology) PrimaryHealthReports(now time.Time) []*wire.Suspect {
	var list []*wire.Suspect
	for _, g := range t.Snapshot().Groups {
		if healthy, known := g.primaryHealth(now); known {
			list = append(list, &wire.Suspect{Group: g.Name, Term: g.Term, Primary: g.Primary, Well: healthy})
		}
	}
	return list
}

// primaryHealth reports whether the primary serves, where that is known.
func (g *Group) primaryHealth(now time.Time) (healthy, known bool) {
	m := g.Member(g.Primary)
	if !g.Open || m == nil || len(m.lenders) > 0 {
		return false, false
	}
	failed, served := m.Standing()
	switch {
	case now.UnixNano() < m.state.deposedUntil.Load():
		return false, true
	case m.Down() && !failed.IsZero() && now.Sub(failed) >= primaryDownAfter:
		return false, true
	case failed.IsZero() && now.Sub(served) < healthyWithin:
		return true, true
	}
	return false, false
}

// primaryHealthChanged reports whether a primary has failed since the last call, or has come back.
func (t *Topology) primaryHealthChanged(now time.Time) bool {
	changed := false
	for _, g := range t.Snapshot().Groups {
		healthy, known := g.primaryHealth(now)
		unhealthy := known && !healthy
		t.mu.Lock()
		if t.unhealthyPrimary[g.Name] != unhealthy {
			t.unhealthyPrimary[g.Name] = unhealthy
			changed = true
		}
		t.mu.Unlock()
	}
	return changed
}
