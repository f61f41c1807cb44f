package desk

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// noLenderBackoff is how long an instance is passed over that no lender could reach.
const noLenderBackoff = 150 * time.Millisecond

// connectionHosts returns the hosts of a view that can hold connections and do not leave: entry hosts,
// and control hosts, which only lend. They are in the order of their names, as in the view.
func connectionHosts(v *agent.View) []place.Peer {
	var list []place.Peer
	for _, r := range v.List(spec.Hosts) {
		if r.Host == nil || r.Host.Draining || spec.Leaving(r.Spec) {
			continue
		}
		list = append(list, place.Peer{
			Name: r.Name, Center: r.Host.Center, Link: r.Host.Link, Strong: !slices.Contains(r.Host.Roles, string(conf.Entry)),
		})
	}
	return list
}

// countEntryHosts returns the number of hosts that use connections for callers of their own.
func countEntryHosts(hosts []place.Peer) int {
	n := 0
	for _, h := range hosts {
		if !h.Strong {
			n++
		}
	}
	return n
}

// maxDirectHosts is the number of hosts up to which each holds connections of its own where no control
// host lends. Opening one takes 12 ms of a slot, so that more hosts that start together keep an
// instance busy for 100 ms; and with more hosts none sees enough of an instance's load.
const maxDirectHosts = 16

// usesLenders reports whether a few hosts hold the connections to an instance for all: where control hosts
// can, however few entry hosts there are, since one place then orders what an instance gets and
// knows how many connections it has; else where there are too few connections or too many hosts.
func usesLenders(connectionLimit int, hosts []place.Peer) bool {
	n := countEntryHosts(hosts)
	return n < len(hosts) || n > maxDirectHosts || pool.Room(connectionLimit) < n
}

// assignLenders settles which hosts hold connections to which instances: a few for all, or each its own.
func (t *Topology) assignLenders(next *Snapshot, hosts []place.Peer) {
	var lent []place.Spot
	for _, g := range next.Groups {
		for _, m := range g.Members {
			if usesLenders(m.connectionLimit, hosts) {
				lent = append(lent, place.Spot{Instance: m.Instance, Center: m.center})
			}
		}
	}
	if t.Borrow == nil {
		return
	}
	fallbacks := t.otherEntryHosts(hosts)
	for _, g := range next.Groups {
		for _, m := range g.Members {
			m.fallbackLenders = fallbacks
		}
	}
	if len(lent) == 0 {
		return
	}
	chosen := t.chooseLenders(lent, hosts)
	for _, g := range next.Groups {
		for _, m := range g.Members {
			if list, ok := chosen[m.Instance]; ok {
				t.applyShares(m, list)
			}
		}
	}
}

// chooseLenders returns the hosts that hold connections to instances. Most changes leave the choice as it
// was: it is made anew only where an instance, or a host that may be chosen, came or went.
func (t *Topology) chooseLenders(instances []place.Spot, hosts []place.Peer) map[string][]place.Peer {
	slices.SortFunc(instances, func(a, b place.Spot) int { return strings.Compare(a.Instance, b.Instance) })
	if t.chosenLenders != nil && slices.Equal(instances, t.lentInstances) && slices.Equal(hosts, t.lenderCandidates) {
		return t.chosenLenders
	}
	t.lentInstances, t.lenderCandidates, t.chosenLenders = instances, hosts, place.Lenders(instances, hosts)
	t.Meter.Add("lenders.chosen", 1)
	return t.chosenLenders
}

// otherEntryHosts returns the addresses of the other hosts that hold connections for themselves.
func (t *Topology) otherEntryHosts(hosts []place.Peer) []string {
	var list []string
	for _, h := range hosts {
		if h.Name != t.Host && !h.Strong {
			list = append(list, h.Link)
		}
	}
	return list
}

// applyShares makes this host hold its part of the connections to an instance, or borrow. An entry host
// that is on standby for control hosts sends its own callers' statements over those as well: what goes
// past them is neither ordered nor counted there.
func (t *Topology) applyShares(m *Member, lenders []place.Peer) {
	shares := place.Shares(pool.Room(m.connectionLimit), lenders)
	lenders = lenders[:len(shares)]
	m.dedicatedLenders = 0
	for m.dedicatedLenders < len(lenders) && lenders[m.dedicatedLenders].Strong {
		m.dedicatedLenders++
	}
	own := 0
	for i, h := range lenders {
		if h.Name != t.Host {
			m.lenders = append(m.lenders, h.Link)
			continue
		}
		own = shares[i]
		m.lenders = m.lenders[:min(i, m.dedicatedLenders)]
		if i < m.dedicatedLenders {
			m.lenders = nil
		}
		m.Guard()
		m.Standby(i > 0)
		break
	}
	m.Resize(m.connectionLimit, own)
}

// Member returns an instance of a group, or nil.
func (t *Topology) Member(group, instance string) *Member {
	g := t.Snapshot().Groups[group]
	if g == nil {
		return nil
	}
	return g.Member(instance)
}

// OpenOwn opens the use of a connection of this host.
func (m *Member) OpenOwn(ctx context.Context, waitLimit time.Duration, rank int) (pool.Unit, error) {
	return m.Unit(ctx, waitLimit, rank)
}

// Open opens the use of a connection to the instance, of this host or of another one.
func (m *Member) Open(ctx context.Context, waitLimit time.Duration, rank int) (pool.Unit, error) {
	if len(m.lenders) > 0 {
		return m.borrow(m.lenderOrder(), waitLimit, rank), nil
	}
	u, err := m.OpenOwn(ctx, waitLimit, rank)
	if err == nil || fault.Of(err).Reason != fault.NoRoom || len(m.fallbackLenders) == 0 {
		return u, err
	}
	return m.borrow(m.fallbackOrder(), waitLimit, rank), nil
}

// lenderOrder returns the lenders in the order in which they are asked: the strong ones in an order
// that all hosts share, then the others in turn.
func (m *Member) lenderOrder() []string {
	list := slices.Clone(m.lenders)
	shuffle(list[min(m.dedicatedLenders, len(list)):])
	return list
}

// maxFallbackLenders is the number of hosts that are asked for a connection that this host should have
// itself; about half of them have one when connections run short.
const maxFallbackLenders = 3

// fallbackOrder returns the hosts that are asked while the instance has no room for this one: the
// one that helped last comes first.
func (m *Member) fallbackOrder() []string {
	list := slices.Clone(m.fallbackLenders)
	shuffle(list)
	if last := m.state.lastLender.Load(); last != nil {
		if i := slices.Index(list, *last); i > 0 {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list[:min(len(list), maxFallbackLenders)]
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// RecordNoLender takes note that no lender reaches the instance.
func (m *Member) RecordNoLender(now time.Time) {
	m.state.noLenderUntil.Store(now.Add(noLenderBackoff).UnixNano())
}

// unreachable reports whether the instance could not be reached at the last try.
func (m *Member) unreachable(now time.Time) bool {
	if len(m.lenders) > 0 {
		return now.UnixNano() < m.state.noLenderUntil.Load()
	}
	return m.Down()
}
