package topo

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

// noLenderBackoff is how long an instance is avoided after no lender could reach it.
const noLenderBackoff = 150 * time.Millisecond

// connectionHosts returns the hosts of a view that can hold connections and are not draining: entry
// hosts, and control hosts, which only lend. They are sorted by name, as in the view.
func connectionHosts(v *agent.View) []place.Lender {
	var list []place.Lender
	for _, r := range v.List(spec.Hosts) {
		if r.Host == nil || r.Host.Draining || spec.Leaving(r.Spec) {
			continue
		}
		list = append(list, place.Lender{
			Name: r.Name, Center: r.Host.Center, LinkAddr: r.Host.Link, Dedicated: !slices.Contains(r.Host.Roles, string(conf.RoleEntry)),
		})
	}
	return list
}

// countEntryHosts returns the number of hosts that use connections for their own callers.
func countEntryHosts(hosts []place.Lender) int {
	n := 0
	for _, h := range hosts {
		if !h.Dedicated {
			n++
		}
	}
	return n
}

// maxDirectHosts is the largest number of entry hosts that each hold their own connections to an
// instance if no control host lends. Opening a connection occupies a slot for 12 ms, so more hosts
// that start together would keep an instance busy for 100 ms, and none of them would see enough of
// the instance's load.
const maxDirectHosts = 16

// usesLenders reports whether a few hosts hold the connections to an instance and lend them to all
// others. Control hosts always lend, however few entry hosts there are, since a single place then
// orders the instance's requests and knows how many connections it has. Without control hosts,
// connections are lent if the instance accepts too few or there are too many entry hosts.
func usesLenders(connectionLimit int, hosts []place.Lender) bool {
	n := countEntryHosts(hosts)
	return n < len(hosts) || n > maxDirectHosts || pool.UsableConns(connectionLimit) < n
}

// assignLenders decides for each instance whether a few hosts hold its connections and lend them, or
// every entry host holds its own.
func (t *Topology) assignLenders(next *Snapshot, hosts []place.Lender) {
	var lentInstances []place.Instance
	for _, g := range next.Groups {
		for _, m := range g.Members {
			if usesLenders(m.connectionLimit, hosts) {
				lentInstances = append(lentInstances, place.Instance{Name: m.Instance, Center: m.center})
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
	if len(lentInstances) == 0 {
		return
	}
	chosen := t.chooseLenders(lentInstances, hosts)
	for _, g := range next.Groups {
		for _, m := range g.Members {
			if list, ok := chosen[m.Instance]; ok {
				t.applyShares(m, list)
			}
		}
	}
}

// chooseLenders returns the lenders of each instance. Most updates don't affect the choice, so it is
// recomputed only if the instances or the candidate hosts have changed.
func (t *Topology) chooseLenders(instances []place.Instance, hosts []place.Lender) map[string][]place.Lender {
	slices.SortFunc(instances, func(a, b place.Instance) int { return strings.Compare(a.Name, b.Name) })
	if t.chosenLenders != nil && slices.Equal(instances, t.lentInstances) && slices.Equal(hosts, t.lenderCandidates) {
		return t.chosenLenders
	}
	t.lentInstances, t.lenderCandidates, t.chosenLenders = instances, hosts, place.Lenders(instances, hosts)
	t.Meter.AddCounter("lenders.chosen", 1)
	return t.chosenLenders
}

// otherEntryHosts returns the addresses of all entry hosts except this one.
func (t *Topology) otherEntryHosts(hosts []place.Lender) []string {
	var list []string
	for _, h := range hosts {
		if h.Name != t.Host && !h.Dedicated {
			list = append(list, h.LinkAddr)
		}
	}
	return list
}

// applyShares makes this host hold its share of the connections to an instance, or borrow if it has
// no share. An entry host on standby for control hosts also borrows from them for its own callers,
// since requests that bypass the control hosts are neither ordered nor counted there.
func (t *Topology) applyShares(m *Member, lenders []place.Lender) {
	shares := place.Shares(pool.UsableConns(m.connectionLimit), lenders)
	if t.accounts != nil {
		shares = place.AccountShares(pool.UsableConns(m.connectionLimit), m.Slots, lenders)
	}
	lenders = lenders[:len(shares)]
	m.dedicatedCount = 0
	for m.dedicatedCount < len(lenders) && lenders[m.dedicatedCount].Dedicated {
		m.dedicatedCount++
	}
	own := 0
	for i, h := range lenders {
		if h.Name != t.Host {
			m.lenders = append(m.lenders, h.LinkAddr)
			continue
		}
		own = shares[i]
		m.lenders = m.lenders[:min(i, m.dedicatedCount)]
		if i < m.dedicatedCount {
			m.lenders = nil
		}
		m.EnableAdmissionControl()
		m.SetStandby(i > 0)
		break
	}
	m.share = own
}

// Member returns an instance of a group in the current snapshot, or nil.
func (t *Topology) Member(group, instance string) *Member {
	g := t.Snapshot().Groups[group]
	if g == nil {
		return nil
	}
	return g.Member(instance)
}

// Open acquires a connection to the instance from this host's own pool or from another host. It waits
// at most waitLimit for a free one, which for a borrowed connection happens in the first request. A
// lower rank is served first.
func (m *Member) Open(ctx context.Context, waitLimit time.Duration, prio pool.Priority) (pool.Handle, error) {
	if len(m.lenders) > 0 {
		return m.borrow(m.lenderOrder(), waitLimit, prio), nil
	}
	h, err := m.OpenOwn(ctx, waitLimit, prio)
	if err == nil || fault.From(err).Reason != fault.InstanceFull || len(m.fallbackLenders) == 0 {
		return h, err
	}
	return m.borrow(m.fallbackOrder(), waitLimit, prio), nil
}

// lenderOrder returns the lenders in the order in which they are asked: control hosts in an order that
// all hosts share, then the others in random order.
func (m *Member) lenderOrder() []string {
	list := slices.Clone(m.lenders)
	shuffle(list[min(m.dedicatedCount, len(list)):])
	return list
}

// maxFallbackLenders is the number of other hosts that are asked if this host cannot open a connection
// of its own; about half of them have one when connections are scarce.
const maxFallbackLenders = 3

// fallbackOrder returns the hosts that are asked while the instance accepts no more connections, in
// random order after the host that lent last.
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

// RecordNoLender makes reads avoid the instance for a short time after no lender could reach it.
func (m *Member) RecordNoLender(now time.Time) {
	m.state.noLenderUntil.Store(now.Add(noLenderBackoff).UnixNano())
}

// unreachable reports whether the instance could not be reached recently, directly or through lenders.
func (m *Member) unreachable(now time.Time) bool {
	if m.Suspended() {
		return true
	}
	if len(m.lenders) > 0 {
		return now.UnixNano() < m.state.noLenderUntil.Load()
	}
	return m.Down()
}
