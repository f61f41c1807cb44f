// Package topo keeps the topology that a host routes statements by: the declared databases, the
// instances with their connections, the primaries, and the positions that reads must wait for.
// It is updated from the host's view of the replicated resources.
package topo

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
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

const (
	// maintenanceInterval is the time between two rounds of connection maintenance.
	maintenanceInterval = 100 * time.Millisecond
	// positionRetention is how long positions are kept; reads that allow older data use the oldest
	// one that is kept.
	positionRetention = 12 * time.Second
	// primaryDownAfter is how long a primary must be unreachable before it is reported as unhealthy.
	primaryDownAfter = 120 * time.Millisecond
	// healthyWithin is the maximum age of the last answer of a primary that is reported as healthy.
	healthyWithin = time.Second
	// deposedWindow is how long a refused write counts as evidence that the primary was replaced.
	deposedWindow = time.Second
	// minLagBackoff is the first backoff of a replica that lacked the position a read needed. The
	// backoff doubles up to maxLagBackoff until the replica serves a read.
	minLagBackoff = 25 * time.Millisecond
	maxLagBackoff = 200 * time.Millisecond
	// catchUpLimit is the longest lag for which reads wait for a replica; usual replica lag is
	// shorter. A replica that lags for longer does not catch up within the time callers expect.
	catchUpLimit = 200 * time.Millisecond
	// minFailureBackoff is the first backoff of an instance that failed a statement. The backoff
	// doubles up to maxFailureBackoff with each further failure before a success.
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
)

// Topology is a host's current knowledge of databases, groups and instances. It also maintains the
// host's connections to the instances. The exported fields are set before Prepare.
type Topology struct {
	// Host is the name of this host and Center its data centre.
	Host   string
	Center string
	// LendOnly is set for a host that has no callers of its own and only lends connections.
	LendOnly bool
	Agent    *agent.Agent
	// NewPool returns the connection pool of an instance; tests replace it. The flag local is set
	// for an instance in this host's data centre, and slots is the number of requests that the
	// instance runs at once.
	NewPool func(group, instance, addr string, local bool, slots int) *pool.Pool
	Log     *logs.Logger
	Meter   *meter.Meter
	// Borrow, if set, borrows a connection to an instance from the host at addr, waiting at most
	// waitLimit for a free one; a lower rank is served first.
	Borrow func(addr, group, instance string, prio pool.Priority, waitLimit time.Duration) (pool.Handle, error)
	// Shares, if set, holds this host's shares of the limits of client accounts.
	Shares *share.Holder
	// LeaveBound is how long after its announcement a leaving instance may get new requests.
	LeaveBound spec.LeaveBound
	// Now returns the current time; tests replace it.
	Now func() time.Time

	snapshot atomic.Pointer[Snapshot]
	// manifestLoaded is closed once a snapshot with a manifest is stored.
	manifestLoaded chan struct{}
	mu             sync.Mutex
	members        map[string]*Member
	positions      map[string]*positionCache
	// unhealthyPrimary records by group whether the primary was unhealthy at the last check.
	unhealthyPrimary map[string]bool
	manifestResource *wire.Resource
	manifest         spec.Manifest
	databases        map[string]spec.Database
	accounts         map[spec.KeyDigest]string
	// accountMetrics are the gauges of connections by account, last set at accountsReportedAt. Only Run uses
	// them.
	accountMetrics     map[string]int
	accountsReportedAt time.Time
	// limitMetrics are the gauges of refused operations by account, last set at limitsReportedAt.
	limitMetrics     map[string]int
	limitsReportedAt time.Time
	// chosenLenders are the lenders of lentInstances, chosen from lenderCandidates.
	chosenLenders    map[string][]place.Lender
	lentInstances    []place.Instance
	lenderCandidates []place.Lender
	positionQueries  sync.WaitGroup
	// largestLoads has the instance with the largest known load by group. Only maintain uses it.
	largestLoads map[string]string
}

// Snapshot is the topology at a revision of the resources. It is immutable.
type Snapshot struct {
	Revision uint64
	// ManifestNumber is zero until the first manifest is known.
	ManifestNumber uint64
	Databases      map[string]spec.Database
	Groups         map[string]*Group
	// TxIdleLimit is how long a transaction may be idle; zero means no limit.
	TxIdleLimit time.Duration
	// Accounts has the names of the client accounts by the digests of their keys. It is nil if
	// callers need no key.
	Accounts map[spec.KeyDigest]string
}

// AccountOf returns the client account for which a caller with a key uses a database; "" if it needs
// none. It reports false if the caller may not use the database.
func (s *Snapshot) AccountOf(db spec.Database, key spec.KeyDigest) (string, bool) {
	if s.Accounts == nil {
		return "", true
	}
	name, ok := s.Accounts[key]
	return name, ok || db.Public
}

// Group is a database group at a revision.
type Group struct {
	Name string
	// Term is the group's term in the replicated control log.
	Term uint64
	// Open is set while the primary accepts requests.
	Open bool
	// Primary is the name of the primary instance.
	Primary string
	// PrimaryTerm is the term that the primary uses in its own positions, and Fork the last
	// position that it took over from earlier terms.
	PrimaryTerm uint64
	Fork        token.Position
	// Revoked is the term below which no write counts as carried out any more.
	Revoked uint64
	// RequiredCopies is the number of replicas that must have received a write before it is acknowledged.
	RequiredCopies int
	Members        []*Member

	positions *positionCache
}

// Member is an instance of a group, with this host's connection pool for it.
type Member struct {
	*pool.Pool
	// Draining is set for an instance that gets no new requests unless it is the primary, and none at
	// all once its pool HasLeft.
	Draining bool
	// lenders are the addresses of the hosts that this host borrows connections from, if it holds
	// none of its own.
	lenders []string
	// dedicatedCount is the number of control hosts at the head of lenders. They are asked first,
	// in order.
	dedicatedCount int
	// fallbackLenders are the addresses of the hosts that this host may borrow from while the
	// instance accepts no more connections.
	fallbackLenders []string
	// center is the instance's data centre, and connectionLimit the number of connections that the
	// instance accepts.
	center          string
	connectionLimit int
	// share is the number of those connections that this host may keep.
	share int

	topology *Topology
	state    *memberState
}

// memberState is the state of an instance that is kept across snapshots. Times are in Unix
// nanoseconds unless noted.
type memberState struct {
	// backoffUntil is the end of the current backoff.
	backoffUntil atomic.Int64
	// failures counts lags and failures since the last success, and failingSince is the time of the
	// first of them.
	failures     atomic.Int64
	failingSince atomic.Int64
	// deposedUntil is the end of the time for which a refused write counts as evidence that the
	// primary was replaced.
	deposedUntil atomic.Int64
	// noLenderUntil is the end of the time for which an instance that no lender reached is avoided.
	noLenderUntil atomic.Int64
	// lastLender is the address of the host that lent a connection last.
	lastLender atomic.Pointer[string]
	// reached is the position that the instance reported last.
	reached atomic.Pointer[token.Position]
	// lagging is set while the backoff is for a lag.
	lagging atomic.Bool
	// view is what this host knows of the instance's load.
	view even.View
	// avoidance is why the instance gets fewer requests, as logged last.
	avoidance avoidance
	addr      string
	// startTime is the start of the instance in Unix milliseconds.
	startTime int64
}

// positionCache holds the observed positions of a group's primary.
type positionCache struct {
	mu      sync.Mutex
	history route.PositionHistory
	// queryDone is closed when the pending position query ends; it is nil if none is pending.
	queryDone chan struct{}
}

// Prepare initializes the topology and registers it with the agent. Call it before Run.
func (t *Topology) Prepare() {
	t.members = map[string]*Member{}
	t.positions = map[string]*positionCache{}
	t.unhealthyPrimary = map[string]bool{}
	t.largestLoads = map[string]string{}
	t.snapshot.Store(&Snapshot{})
	t.manifestLoaded = make(chan struct{})
	t.Agent.OnView = t.applyView
	t.Agent.PrimaryHealth = t.PrimaryHealthReports
}

// ManifestLoaded returns a channel that is closed once the first manifest is applied.
func (t *Topology) ManifestLoaded() <-chan struct{} { return t.manifestLoaded }

// Snapshot returns the current snapshot. It is empty, never nil, before the first manifest.
func (t *Topology) Snapshot() *Snapshot { return t.snapshot.Load() }

// Ready reports whether the host can serve callers: it holds a lease and knows a manifest.
func (t *Topology) Ready(now time.Time) bool {
	return t.Agent.LeaseValid(now) && t.Snapshot().ManifestNumber > 0
}

// leaseLapsedAfter is how long a host must be without a lease before its callers should use other
// hosts; the control quorum recovers from a restart of all its hosts in less.
const leaseLapsedAfter = 2 * time.Second

// LeaseLapsed reports whether the host's lease ended more than leaseLapsedAfter ago, so that it has
// been unable to serve fresh reads since. It is false before the first lease.
func (t *Topology) LeaseLapsed(now time.Time) bool {
	until := t.Agent.LeaseEnd()
	return !until.IsZero() && now.Sub(until) > leaseLapsedAfter
}

// Run maintains connections until ctx ends, and then closes them. It sends nil on the channel when
// done.
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
		m.Shutdown()
	}
}

func (t *Topology) maintain(now time.Time) {
	for _, g := range t.Snapshot().Groups {
		for _, m := range g.Members {
			m.Maintain(now)
		}
		t.measureBalance(now, g)
	}
	t.reportAccounts(now)
	t.reportLimits(now)
	if t.primaryHealthChanged(now) {
		t.Agent.RenewNow()
	}
}

// applyView builds and stores the snapshot of a view. After it returns, new statements use that
// snapshot.
func (t *Topology) applyView(v *agent.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadManifest(v.Get(spec.Manifests, spec.CurrentManifest))
	next := &Snapshot{Revision: v.Revision, ManifestNumber: t.manifest.Number, Databases: t.databases, TxIdleLimit: t.manifest.TransactionIdleTimeout, Accounts: t.accounts, Groups: map[string]*Group{}}
	hosts := connectionHosts(v)
	seen := map[string]bool{}
	for _, declared := range t.manifest.Groups {
		next.Groups[declared.Name] = t.buildGroup(v, declared, hosts, seen)
	}
	t.assignLenders(next, hosts)
	for _, g := range next.Groups {
		for _, m := range g.Members {
			m.SetConnLimits(m.connectionLimit, m.share)
		}
	}
	for name, m := range t.members {
		if !seen[name] {
			m.Shutdown()
			delete(t.members, name)
		}
	}
	first := t.Snapshot().ManifestNumber == 0 && next.ManifestNumber > 0
	t.snapshot.Store(next)
	if first {
		close(t.manifestLoaded)
	}
	t.Meter.SetGauge("plan.number", int64(next.ManifestNumber))
}

// loadManifest decodes the manifest if it has changed. An invalid manifest is logged, and the
// previous one is kept.
func (t *Topology) loadManifest(r *wire.Resource) {
	if r == nil || r == t.manifestResource {
		return
	}
	m, err := spec.DecodeManifest(r.Spec)
	if err != nil {
		t.Log.WithError(err).WithField("number", r.Version).Error("cannot decode manifest; keeping the previous one")
		return
	}
	t.manifestResource, t.manifest = r, m
	t.databases = map[string]spec.Database{}
	for _, db := range m.Databases {
		if current, duplicate := t.databases[db.Name]; !duplicate || db.Path < current.Path {
			t.databases[db.Name] = db
		}
	}
	if t.Shares != nil {
		t.Shares.SetAccounts(t.Now(), m.Accounts)
	}
	t.accounts = nil
	if m.NeedsKeys() {
		t.accounts = map[spec.KeyDigest]string{}
	}
	for _, a := range m.Accounts {
		for _, key := range a.Keys {
			t.accounts[key] = a.Name
		}
	}
	t.Log.WithField("number", m.Number).WithField("databases", len(m.Databases)).WithField("accounts", len(m.Accounts)).Info("manifest applied")
}

func (t *Topology) buildGroup(v *agent.View, declared spec.ManifestGroup, hosts []place.Lender, seen map[string]bool) *Group {
	gs := v.Get(spec.Groups, declared.Name).GetGroup()
	g := &Group{
		Name: declared.Name, Term: gs.GetTerm(), Open: gs.GetPhase() == wire.Phase_OPEN, Primary: gs.GetPrimary(),
		Revoked: gs.GetRevoked(), RequiredCopies: declared.SyncReplicas,
		PrimaryTerm: gs.GetReign(), Fork: token.Position{Term: gs.GetFork().GetTerm(), Position: gs.GetFork().GetNumber()},
	}
	if t.positions[declared.Name] == nil {
		t.positions[declared.Name] = &positionCache{history: route.PositionHistory{Retention: positionRetention}}
	}
	g.positions = t.positions[declared.Name]
	for _, r := range v.Instances(declared.Name) {
		backend := r.Backend
		if backend.Standing == wire.LifecycleState_GONE || state.Successor(v.Instances(declared.Name), r) != r {
			continue
		}
		m := t.ensureMember(r)
		if m.Draining {
			since, _ := v.LeavingSince(r.Name, r.Backend.Born)
			m.SetLeaveDeadline(t.LeaveBound.Deadline(since))
		}
		m.share = t.directShare(declared.MaxConnections, hosts)
		m.center, m.connectionLimit = r.Backend.Center, declared.MaxConnections
		m.suspendFormer(declared, gs)
		seen[r.Name] = true
		g.Members = append(g.Members, m)
	}
	slices.SortFunc(g.Members, func(a, backend *Member) int { return strings.Compare(a.Instance, backend.Instance) })
	return g
}

// suspendFormer gives up this host's connections to the instance while it is the former primary of a group whose writes
// require copies, and which has no primary yet.
func (m *Member) suspendFormer(declared spec.ManifestGroup, gs *wire.GroupState) {
	if declared.SyncReplicas > 0 && gs.GetPhase() != wire.Phase_OPEN && m.Instance == gs.GetFormer() {
		m.Suspend(gs.Revoked == gs.Term)
		return
	}
	m.Resume()
}

// directShare returns this host's share of connections if every entry host holds its own.
func (t *Topology) directShare(connectionLimit int, hosts []place.Lender) int {
	if t.LendOnly {
		return 0
	}
	return pool.ConnShare(connectionLimit, countEntryHosts(hosts))
}

// ensureMember returns the member for an instance. It keeps the connection pool unless the instance
// has restarted or changed its address.
func (t *Topology) ensureMember(r *wire.Resource) *Member {
	backend := r.Backend
	current := t.members[r.Name]
	draining := backend.Standing == wire.LifecycleState_DRAINING
	if current != nil && current.state.addr == backend.Addr && current.state.startTime == backend.Born {
		m := &Member{Pool: current.Pool, Draining: draining, state: current.state, topology: t}
		t.members[r.Name] = m
		return m
	}
	if current != nil {
		current.Shutdown()
	}
	p := t.NewPool(backend.Group, r.Name, backend.Addr, backend.Center == t.Center, int(max(1, backend.Slots)))
	p.OnUnreachable = t.reportConnectionLoss
	m := &Member{Pool: p, Draining: draining, topology: t, state: &memberState{addr: backend.Addr, startTime: backend.Born}}
	t.members[r.Name] = m
	return m
}

// reportConnectionLoss sends health reports to the control leader if an instance stays unreachable
// for primaryDownAfter.
func (t *Topology) reportConnectionLoss() {
	time.Sleep(primaryDownAfter)
	if t.primaryHealthChanged(t.Now()) {
		t.Agent.RenewNow()
	}
}

// Candidates returns the instances as candidates for routing, with those in tried marked as such.
func (g *Group) Candidates(now time.Time, tried map[string]bool) []route.Candidate {
	list := make([]route.Candidate, 0, len(g.Members))
	for _, m := range g.Members {
		list = append(list, route.Candidate{
			Name: m.Instance, Primary: g.Open && m.Instance == g.Primary, Draining: m.Draining, Left: m.HasLeft(now), Down: m.unreachable(now),
			Local: m.Local, Load: m.Load(), Slots: m.Slots, Latency: m.Latency(),
			InBackoff: now.UnixNano() < m.state.backoffUntil.Load(), Lagging: m.state.lagging.Load(), ReportedPosition: m.ReachedPosition(), Tried: tried[m.Instance],
		})
	}
	return list
}

// Member returns the instance with the given name, or nil.
func (g *Group) Member(name string) *Member {
	for _, m := range g.Members {
		if m.Instance == name {
			return m
		}
	}
	return nil
}

// CatchingUp reports whether a read should wait because a reachable instance is only in backoff, and
// has been failing or lagging for less than catchUpLimit.
func (g *Group) CatchingUp(now time.Time, tried map[string]bool) bool {
	return slices.ContainsFunc(g.Candidates(now, tried), func(c route.Candidate) bool {
		return c.InBackoff && !c.Down && !c.Left && !c.Tried && !c.Draining && now.Sub(g.Member(c.Name).failingSince()) < catchUpLimit
	})
}

// RecordReached records the log position that the instance reported with an answer. A zero position is
// not recorded.
func (m *Member) RecordReached(p token.Position) {
	if p != (token.Position{}) {
		m.state.reached.Store(&p)
	}
}

// ReachedPosition returns the position that the instance reported last, zero if there is none.
func (m *Member) ReachedPosition() token.Position {
	if p := m.state.reached.Load(); p != nil {
		return *p
	}
	return token.Position{}
}

// failingSince returns the time of the first lag or failure since the last success.
func (m *Member) failingSince() time.Time { return time.Unix(0, m.state.failingSince.Load()) }

// RecordLag starts a backoff for a replica that lacked the position a read needed.
func (m *Member) RecordLag(now time.Time) {
	m.state.lagging.Store(true)
	m.backOff(now, minLagBackoff, maxLagBackoff)
}

// RecordFailure starts a backoff for an instance that failed a statement that others may serve.
func (m *Member) RecordFailure(now time.Time) {
	m.state.lagging.Store(false)
	m.state.view.Judge(now, true)
	m.backOff(now, minFailureBackoff, maxFailureBackoff)
}

// backOff makes reads avoid the instance for a time that starts at initial and doubles with each
// call before a success, up to maximum.
func (m *Member) backOff(now time.Time, initial, maximum time.Duration) {
	n := m.state.failures.Add(1)
	if n == 1 {
		m.state.failingSince.Store(now.UnixNano())
	}
	backoff := min(initial<<min(n-1, 8), maximum)
	m.state.backoffUntil.Store(now.Add(backoff).UnixNano())
}

// RecordSuccess resets the growth of the backoff after the instance served a request.
func (m *Member) RecordSuccess() { m.state.failures.Store(0) }

// RecordWriteRefusal records that the primary refused a write as read-only.
func (m *Member) RecordWriteRefusal(now time.Time) {
	m.state.deposedUntil.Store(now.Add(deposedWindow).UnixNano())
}

// MinPosition returns the position that a replica must have reached to serve a read whose data may
// be up to age old. It returns false if none is known.
func (g *Group) MinPosition(now time.Time, age time.Duration) (token.Position, bool) {
	g.positions.mu.Lock()
	defer g.positions.mu.Unlock()
	p, ok := g.positions.history.MinPosition(now, age)
	return route.ClipToFork(p, g.PrimaryTerm, g.Fork), ok
}

// PositionAge returns the age of the latest observed position of the group, zero if there is none.
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

// RecordPosition records a position that the primary of g reported to a request sent at sent. It
// returns false and records nothing if TermStillOpen is false: a position covers all writes
// acknowledged before the request was sent only while no later primary can have acknowledged any.
// A zero position is not recorded.
func (t *Topology) RecordPosition(now, sent time.Time, g *Group, p token.Position) bool {
	if !t.TermStillOpen(now, g) {
		return false
	}
	g.RecordProvenPosition(sent, p)
	return true
}

// RecordProvenPosition records a position that an instance reported, after sent, in an answer that only
// a primary gives: to a write, or to the opening of a transaction that may write. The platform
// takes the role away at the moment of a promotion, so no lease is needed. A zero position is not
// recorded.
func (g *Group) RecordProvenPosition(sent time.Time, p token.Position) {
	if p == (token.Position{}) {
		return
	}
	g.positions.mu.Lock()
	defer g.positions.mu.Unlock()
	g.positions.history.Record(sent, p)
}

// MissesNoWrite reports whether a read that the primary of g answered at the position read has missed
// no acknowledged write, given the position current at which the instance was primary afterwards.
// If the positions are equal, the read saw all that the primary had. If both are of the primary's
// own term, no other instance has had writes acknowledged in between, since its positions would be
// of a later term. An unknown position shows nothing.
func (g *Group) MissesNoWrite(read, current token.Position) bool {
	if read == (token.Position{}) {
		return false
	}
	return read == current || read.Term == g.PrimaryTerm && current.Term == g.PrimaryTerm
}

// TermStillOpen reports whether the term of g was open in the snapshot that g is from, is still
// open, and the host holds a lease. If so, no later primary can have acknowledged a write. A term
// that opened after that snapshot does not count: its primary may have been a replica when the
// request was sent.
func (t *Topology) TermStillOpen(now time.Time, g *Group) bool {
	current := t.Snapshot().Groups[g.Name]
	return g.Open && current != nil && current.Open && current.Term == g.Term && t.Agent.LeaseValid(now)
}

// MayAcknowledge reports whether a write that the primary of g has answered may be passed on as carried out. It may not
// once the term is revoked: the primary was replaced without having stepped down, and the next one may lack the write.
// A host without a lease does not learn of that.
func (t *Topology) MayAcknowledge(now time.Time, g *Group) bool {
	current := t.Snapshot().Groups[g.Name]
	return current == nil || g.Term >= current.Revoked && (g.RequiredCopies == 0 || t.Agent.LeaseValid(now))
}

// PrimaryHealthReports returns this host's health reports on primaries for the next lease renewal.
// Primaries whose health is unknown are left out.
func (t *Topology) PrimaryHealthReports(now time.Time) []*wire.PrimaryHealth {
	var list []*wire.PrimaryHealth
	for _, g := range t.Snapshot().Groups {
		if healthy, known := g.primaryHealth(now); known {
			list = append(list, &wire.PrimaryHealth{Group: g.Name, Term: g.Term, Primary: g.Primary, Well: healthy})
		}
	}
	return list
}

// primaryHealth reports whether the primary is healthy, and whether this host knows. A host that
// borrows its connections to the primary doesn't.
func (g *Group) primaryHealth(now time.Time) (healthy, known bool) {
	m := g.Member(g.Primary)
	if !g.Open || m == nil || len(m.lenders) > 0 {
		return false, false
	}
	failingSince, lastAnswer := m.Health()
	switch {
	case now.UnixNano() < m.state.deposedUntil.Load():
		return false, true
	case m.Down() && !failingSince.IsZero() && now.Sub(failingSince) >= primaryDownAfter:
		return false, true
	case failingSince.IsZero() && now.Sub(lastAnswer) < healthyWithin:
		return true, true
	}
	return false, false
}

// primaryHealthChanged reports whether a primary has failed or recovered since the last call.
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
