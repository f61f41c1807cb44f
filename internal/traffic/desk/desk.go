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
	// upkeepInterval is the time between two rounds of upkeep.
	upkeepInterval = 100 * time.Millisecond
	// sightsKept is how far back positions are kept; reads that may be older find the oldest.
	sightsKept = 12 * time.Second
	// failedAfter is how long a primary must have been out of reach to be reported.
	failedAfter = 120 * time.Millisecond
	// wellWithin is how recent an answer must be for a primary to be reported as well.
	wellWithin = time.Second
	// deposedFor is how long a refused write counts as a sign that the primary was replaced.
	deposedFor = time.Second
	// behindFirst is how long a replica that lacked a position is passed over; it doubles up to
	// behindMost while that goes on.
	behindFirst = 25 * time.Millisecond
	behindMost  = 200 * time.Millisecond
	// catchesUp is how long a replica may have lacked what reads need for them to wait for it:
	// usual lag. One that lags for longer won't have it within the time that callers expect.
	catchesUp = 200 * time.Millisecond
	// ailingFirst is how long an instance that failed a statement is passed over by reads; it
	// doubles up to ailingMost with each further failure before a success.
	ailingFirst = 100 * time.Millisecond
	ailingMost  = 2 * time.Second
)

// Desk follows the view. The exported fields are set before Run.
type Desk struct {
	Host   string
	Center string
	// Lends is set for a host that has no callers of its own and only lends.
	Lends bool
	Agent *agent.Agent
	// Open returns the connections to an instance; it is a seam for tests.
	Open  func(group, instance, addr string, near bool, slots int) *pool.Server
	Log   *logs.Logger
	Meter *meter.Meter
	// Borrow, where set, opens the use of another host's connection to an instance.
	Borrow func(addr, group, instance string, rank int, patience time.Duration) (pool.Unit, error)
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	plan atomic.Pointer[Plan]
	// informed is closed with the first plan that has a manifest.
	informed chan struct{}
	mu       sync.Mutex
	servers  map[string]*Member
	books    map[string]*book
	opinion  map[string]bool
	source   *wire.Resource
	parsed   spec.Manifest
	named    map[string]spec.Database
	// chosen are the lenders for spots among peers.
	chosen map[string][]place.Peer
	spots  []place.Spot
	peers  []place.Peer
	looks  sync.WaitGroup
}

// Plan is what the host does at a revision. It is immutable.
type Plan struct {
	Revision  uint64
	Number    uint64
	Databases map[string]spec.Database
	Groups    map[string]*Group
	// Idle is how long a transaction may rest; zero sets no bound.
	Idle time.Duration
}

// Group is a database group at a revision.
type Group struct {
	Name string
	// Term is the term of the group's primary by the log.
	Term uint64
	// Open is set while the primary takes work.
	Open    bool
	Primary string
	// Reign and Fork are the primary's own term and where it took over.
	Reign   uint64
	Fork    token.Mark
	Members []*Member

	book *book
}

// Member is an instance of a group.
type Member struct {
	*pool.Server
	Leaving bool
	// lenders are the hosts that use their connections for this one, where it has none.
	lenders []string
	// strong is the number of lenders that are asked before the others, in order.
	strong int
	// others are the hosts that may help out while the instance has no room for this one.
	others []string
	// center and room are the instance's data centre and the connections that it accepts.
	center string
	room   int

	desk   *Desk
	shared *memory
}

// memory is what is kept of an instance over revisions.
type memory struct {
	behind atomic.Int64
	streak atomic.Int64
	// since is when the streak began.
	since   atomic.Int64
	deposed atomic.Int64
	// unlent is until when no other host could reach the instance.
	unlent atomic.Int64
	// helper is the host that lent a connection last.
	helper atomic.Pointer[string]
	addr   string
	born   int64
}

// book keeps the positions of a group.
type book struct {
	mu     sync.Mutex
	sights route.Sights
	// looking is closed at the end of the question for the primary's position that is on its
	// way; it is nil while there is none.
	looking chan struct{}
}

// Prepare makes the desk ready; Run must follow.
func (d *Desk) Prepare() {
	d.servers = map[string]*Member{}
	d.books = map[string]*book{}
	d.opinion = map[string]bool{}
	d.plan.Store(&Plan{})
	d.informed = make(chan struct{})
	d.Agent.OnView = d.learn
	d.Agent.PrimaryHealth = d.Opinions
}

// Informed returns a channel that is closed once the host knows the declared databases.
func (d *Desk) Informed() <-chan struct{} { return d.informed }

// Plan returns what the host does now.
func (d *Desk) Plan() *Plan { return d.plan.Load() }

// Starting reports whether the host has had no lease since its start. It gets its first one within
// some tens of milliseconds of the first manifest.
func (d *Desk) Starting() bool { return d.Agent.LeaseExpiry().IsZero() }

// Ready reports whether the host can serve callers.
func (d *Desk) Ready(now time.Time) bool {
	return d.Agent.LeaseValid(now) && d.Plan().Number > 0
}

// unfitAfter is how long a host must have been without a lease for its callers to be better
// off elsewhere; the control quorum recovers from a restart of all its hosts in less.
const unfitAfter = 2 * time.Second

// Unfit reports whether the host has been unable to serve fresh reads for long.
func (d *Desk) Unfit(now time.Time) bool {
	until := d.Agent.LeaseExpiry()
	return !until.IsZero() && now.Sub(until) > unfitAfter
}

// Run looks after connections until ctx ends; the end is reported on the channel.
func (d *Desk) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(upkeepInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
				d.upkeep(d.Now())
			}
		}
		d.shut()
		d.looks.Wait()
		done <- nil
	}()
	return done
}

func (d *Desk) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.servers {
		m.Shut()
	}
}

func (d *Desk) upkeep(now time.Time) {
	for _, g := range d.Plan().Groups {
		for _, m := range g.Members {
			m.Warm(now)
		}
	}
	if d.opinionsChanged(now) {
		d.Agent.RenewNow()
	}
}

// learn takes in a view. When it returns, no new statement is sent by an older one.
func (d *Desk) learn(v *agent.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decode(v.Get(spec.Manifests, spec.Current))
	p := &Plan{Revision: v.Revision, Number: d.parsed.Number, Databases: d.named, Idle: d.parsed.Idle, Groups: map[string]*Group{}}
	hosts := holders(v)
	seen := map[string]bool{}
	for _, c := range d.parsed.Groups {
		p.Groups[c.Name] = d.group(v, c, hosts, seen)
	}
	d.lend(p, hosts)
	for name, m := range d.servers {
		if !seen[name] {
			m.Shut()
			delete(d.servers, name)
		}
	}
	first := d.Plan().Number == 0 && p.Number > 0
	d.plan.Store(p)
	if first {
		close(d.informed)
	}
	d.Meter.SetGauge("plan.number", int64(p.Number))
}

// decode reads the manifest where it has changed.
func (d *Desk) decode(r *wire.Resource) {
	if r == nil || r == d.source {
		return
	}
	m, err := spec.ReadManifest(r.Spec)
	if err != nil {
		d.Log.WithError(err).WithField("number", r.Version).Error("manifest cannot be read; the one before stays in force")
		return
	}
	d.source, d.parsed = r, m
	d.named = map[string]spec.Database{}
	for _, one := range m.Databases {
		if have, twice := d.named[one.Name]; !twice || one.Path < have.Path {
			d.named[one.Name] = one
		}
	}
	d.Log.WithField("number", m.Number).WithField("databases", len(m.Databases)).Info("manifest in use")
}

func (d *Desk) group(v *agent.View, c spec.Cluster, hosts []place.Peer, seen map[string]bool) *Group {
	run := v.Get(spec.Groups, c.Name).GetGroup()
	g := &Group{
		Name: c.Name, Term: run.GetTerm(), Open: run.GetPhase() == wire.Phase_OPEN, Primary: run.GetPrimary(),
		Reign: run.GetReign(), Fork: token.Mark{Term: run.GetFork().GetTerm(), Position: run.GetFork().GetNumber()},
	}
	if d.books[c.Name] == nil {
		d.books[c.Name] = &book{sights: route.Sights{Keep: sightsKept}}
	}
	g.book = d.books[c.Name]
	for _, r := range v.Instances(c.Name) {
		b := r.Backend
		if b.Standing == wire.LifecycleState_GONE || replaced(v.Instances(c.Name), r) {
			continue
		}
		m := d.member(r)
		m.Resize(c.Connections, d.direct(c.Connections, hosts))
		m.center, m.room = r.Backend.Center, c.Connections
		seen[r.Name] = true
		g.Members = append(g.Members, m)
	}
	slices.SortFunc(g.Members, func(a, b *Member) int { return strings.Compare(a.Instance, b.Instance) })
	return g
}

// direct returns this host's share where every entry host has connections.
func (d *Desk) direct(connections int, hosts []place.Peer) int {
	if d.Lends {
		return 0
	}
	return pool.Share(connections, weak(hosts))
}

// replaced reports whether a later instance has taken over the address of r.
func replaced(list []*wire.Resource, r *wire.Resource) bool {
	return slices.ContainsFunc(list, func(other *wire.Resource) bool {
		return other.Backend.Addr == r.Backend.Addr && other.Backend.Born > r.Backend.Born
	})
}

// member returns an instance with its connections, new ones where it has started anew.
func (d *Desk) member(r *wire.Resource) *Member {
	b := r.Backend
	have := d.servers[r.Name]
	leaving := b.Standing == wire.LifecycleState_DRAINING
	if have != nil && have.shared.addr == b.Addr && have.shared.born == b.Born {
		m := &Member{Server: have.Server, Leaving: leaving, shared: have.shared, desk: d}
		d.servers[r.Name] = m
		return m
	}
	if have != nil {
		have.Shut()
	}
	s := d.Open(b.Group, r.Name, b.Addr, b.Center == d.Center, int(max(1, b.Slots)))
	s.Lost = d.lost
	m := &Member{Server: s, Leaving: leaving, desk: d, shared: &memory{addr: b.Addr, born: b.Born}}
	d.servers[r.Name] = m
	return m
}

// lost tells control soon that an instance is out of reach, if it stays so.
func (d *Desk) lost() {
	time.Sleep(failedAfter)
	if d.opinionsChanged(d.Now()) {
		d.Agent.RenewNow()
	}
}

// Copies returns the instances as routing sees them; those in tried are passed over.
func (g *Group) Copies(now time.Time, tried map[string]bool) []route.Copy {
	list := make([]route.Copy, 0, len(g.Members))
	for _, m := range g.Members {
		list = append(list, route.Copy{
			Name: m.Instance, Primary: g.Open && m.Instance == g.Primary, Leaving: m.Leaving, Down: m.unreachable(now),
			Near: m.Near, Load: m.Load(), Slots: m.Slots, Latency: m.Latency(),
			Behind: now.UnixNano() < m.shared.behind.Load(), Tried: tried[m.Instance],
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

// CatchesUp reports whether an instance in reach lacks nothing but a position, and is not known
// to have lacked what reads needed for long.
func (g *Group) CatchesUp(now time.Time, tried map[string]bool) bool {
	return slices.ContainsFunc(g.Copies(now, tried), func(c route.Copy) bool {
		return c.Behind && !c.Down && !c.Tried && !c.Leaving && now.Sub(g.Member(c.Name).lackingSince()) < catchesUp
	})
}

// lackingSince returns when the instance began to lack what reads needed.
func (m *Member) lackingSince() time.Time { return time.Unix(0, m.shared.since.Load()) }

// Behind takes note of a replica that lacked a position.
func (m *Member) Behind(now time.Time) { m.passOver(now, behindFirst, behindMost) }

// Ailing takes note of an instance that failed a statement that others may serve.
func (m *Member) Ailing(now time.Time) { m.passOver(now, ailingFirst, ailingMost) }

// passOver makes reads use other instances for a while that doubles with each call.
func (m *Member) passOver(now time.Time, first, most time.Duration) {
	n := m.shared.streak.Add(1)
	if n == 1 {
		m.shared.since.Store(now.UnixNano())
	}
	pause := min(first<<min(n-1, 8), most)
	m.shared.behind.Store(now.Add(pause).UnixNano())
}

// Served takes note of a replica that had what a read needed.
func (m *Member) Served() { m.shared.streak.Store(0) }

// Deposed takes note of a primary that refused a write.
func (m *Member) Deposed(now time.Time) { m.shared.deposed.Store(now.Add(deposedFor).UnixNano()) }

// Least returns the position that a read of an age needs; false where none is known.
func (g *Group) Least(now time.Time, age time.Duration) (token.Mark, bool) {
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	m, ok := g.book.sights.Least(now, age)
	return route.Clip(m, g.Reign, g.Fork), ok
}

// PositionAge returns how old the latest position of the group is that the host knows.
func (g *Group) PositionAge(now time.Time) time.Duration {
	if g.book == nil {
		return 0
	}
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	at := g.book.sights.Newest()
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// Saw takes note of a position that the primary reported to a request sent at a moment, if
// the host may still use the primary of that term: only then does the position hold all that
// was acknowledged before.
func (d *Desk) Saw(now, sent time.Time, g *Group, m token.Mark) bool {
	if !d.Current(now, g) {
		return false
	}
	if m != (token.Mark{}) {
		g.book.mu.Lock()
		g.book.sights.Saw(sent, m)
		g.book.mu.Unlock()
	}
	return true
}

// Current reports whether the term of g was open when g was taken, is open still, and the host
// holds a lease: no later primary can have acknowledged anything yet. A term that has opened
// since does not count, since its primary may have been a replica when the request was sent.
func (d *Desk) Current(now time.Time, g *Group) bool {
	have := d.Plan().Groups[g.Name]
	return g.Open && have != nil && have.Open && have.Term == g.Term && d.Agent.LeaseValid(now)
}

// Opinions returns what this host observes of primaries, for the next renewal.
func (d *Desk) Opinions(now time.Time) []*wire.PrimaryHealth {
	var list []*wire.PrimaryHealth
	for _, g := range d.Plan().Groups {
		if well, known := g.opinion(now); known {
			list = append(list, &wire.PrimaryHealth{Group: g.Name, Term: g.Term, Primary: g.Primary, Well: well})
		}
	}
	return list
}

// opinion reports whether the primary serves, where that is known.
func (g *Group) opinion(now time.Time) (well, known bool) {
	m := g.Member(g.Primary)
	if !g.Open || m == nil || len(m.lenders) > 0 {
		return false, false
	}
	failed, served := m.Standing()
	switch {
	case now.UnixNano() < m.shared.deposed.Load():
		return false, true
	case m.Down() && !failed.IsZero() && now.Sub(failed) >= failedAfter:
		return false, true
	case failed.IsZero() && now.Sub(served) < wellWithin:
		return true, true
	}
	return false, false
}

// opinionsChanged reports whether a primary has failed since the last call, or has come back.
func (d *Desk) opinionsChanged(now time.Time) bool {
	changed := false
	for _, g := range d.Plan().Groups {
		well, known := g.opinion(now)
		bad := known && !well
		d.mu.Lock()
		if d.opinion[g.Name] != bad {
			d.opinion[g.Name] = bad
			changed = true
		}
		d.mu.Unlock()
	}
	return changed
}
