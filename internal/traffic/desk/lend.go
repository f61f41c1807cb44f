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

// unlentFor is how long an instance is passed over that no lender could reach.
const unlentFor = 150 * time.Millisecond

// holders returns the hosts of a view that can hold connections and do not leave: entry hosts,
// and control hosts, which only lend. They are in the order of their names, as in the view.
func holders(v *agent.View) []place.Peer {
	var list []place.Peer
	for _, r := range v.List(spec.Hosts) {
		if r.Host == nil || r.Host.Draining || spec.Leaving(r.Spec) {
			continue
		}
		list = append(list, place.Peer{
			Name: r.Name, Center: r.Host.Center, Link: r.Host.Link, Strong: !slices.Contains(r.Host.Roles, string(conf.RoleEntry)),
		})
	}
	return list
}

// weak returns the number of hosts that use connections for callers of their own.
func weak(hosts []place.Peer) int {
	n := 0
	for _, h := range hosts {
		if !h.Strong {
			n++
		}
	}
	return n
}

// maxDirect is the number of hosts up to which each holds connections of its own where no control
// host lends. Opening one takes 12 ms of a slot, so that more hosts that start together keep an
// instance busy for 100 ms; and with more hosts none sees enough of an instance's load.
const maxDirect = 16

// lent reports whether a few hosts hold the connections to an instance for all: where control hosts
// can, however few entry hosts there are, since one place then orders what an instance gets and
// knows how many connections it has; else where there are too few connections or too many hosts.
func lent(room int, hosts []place.Peer) bool {
	n := weak(hosts)
	return n < len(hosts) || n > maxDirect || pool.Room(room) < n
}

// lend settles which hosts hold connections to which instances: a few for all, or each its own.
func (d *Desk) lend(p *Plan, hosts []place.Peer) {
	var spots []place.Spot
	for _, g := range p.Groups {
		for _, m := range g.Members {
			if lent(m.room, hosts) {
				spots = append(spots, place.Spot{Instance: m.Instance, Center: m.center})
			}
		}
	}
	if d.Borrow == nil {
		return
	}
	others := d.others(hosts)
	for _, g := range p.Groups {
		for _, m := range g.Members {
			m.others = others
		}
	}
	if len(spots) == 0 {
		return
	}
	chosen := d.lenders(spots, hosts)
	for _, g := range p.Groups {
		for _, m := range g.Members {
			if list, scarce := chosen[m.Instance]; scarce {
				d.share(m, list)
			}
		}
	}
}

// lenders returns the hosts that hold connections to instances. Most changes leave the choice as it
// was: it is made anew only where an instance, or a host that may be chosen, came or went.
func (d *Desk) lenders(spots []place.Spot, hosts []place.Peer) map[string][]place.Peer {
	slices.SortFunc(spots, func(a, b place.Spot) int { return strings.Compare(a.Instance, b.Instance) })
	if d.chosen != nil && slices.Equal(spots, d.spots) && slices.Equal(hosts, d.peers) {
		return d.chosen
	}
	d.spots, d.peers, d.chosen = spots, hosts, place.Lenders(spots, hosts)
	d.Meter.AddCounter("lenders.chosen", 1)
	return d.chosen
}

// others returns the addresses of the other hosts that hold connections for themselves.
func (d *Desk) others(hosts []place.Peer) []string {
	var list []string
	for _, h := range hosts {
		if h.Name != d.Host && !h.Strong {
			list = append(list, h.Link)
		}
	}
	return list
}

// share makes this host hold its part of the connections to an instance, or borrow. An entry host
// that is on standby for control hosts sends its own callers' statements over those as well: what goes
// past them is neither ordered nor counted there.
func (d *Desk) share(m *Member, lenders []place.Peer) {
	shares := place.Shares(pool.Room(m.room), lenders)
	lenders = lenders[:len(shares)]
	m.strong = 0
	for m.strong < len(lenders) && lenders[m.strong].Strong {
		m.strong++
	}
	own := 0
	for i, h := range lenders {
		if h.Name != d.Host {
			m.lenders = append(m.lenders, h.Link)
			continue
		}
		own = shares[i]
		m.lenders = m.lenders[:min(i, m.strong)]
		if i < m.strong {
			m.lenders = nil
		}
		m.Guard()
		m.Standby(i > 0)
		break
	}
	m.Resize(m.room, own)
}

// Find returns an instance of a group, or nil.
func (d *Desk) Find(group, instance string) *Member {
	g := d.Plan().Groups[group]
	if g == nil {
		return nil
	}
	return g.Member(instance)
}

// Own opens the use of a connection of this host.
func (m *Member) Own(ctx context.Context, patience time.Duration, rank int) (pool.Unit, error) {
	return m.Unit(ctx, patience, rank)
}

// Open opens the use of a connection to the instance, of this host or of another one.
func (m *Member) Open(ctx context.Context, patience time.Duration, rank int) (pool.Unit, error) {
	if len(m.lenders) > 0 {
		return m.errand(m.order(), patience, rank), nil
	}
	u, err := m.Own(ctx, patience, rank)
	if err == nil || fault.From(err).Reason != fault.InstanceFull || len(m.others) == 0 {
		return u, err
	}
	return m.errand(m.helpers(), patience, rank), nil
}

// order returns the lenders in the order in which they are asked: the strong ones in an order
// that all hosts share, then the others in turn.
func (m *Member) order() []string {
	list := slices.Clone(m.lenders)
	shuffle(list[min(m.strong, len(list)):])
	return list
}

// maxHelpers is the number of hosts that are asked for a connection that this host should have
// itself; about half of them have one when connections run short.
const maxHelpers = 3

// helpers returns the hosts that are asked while the instance has no room for this one: the
// one that helped last comes first.
func (m *Member) helpers() []string {
	list := slices.Clone(m.others)
	shuffle(list)
	if last := m.shared.helper.Load(); last != nil {
		if i := slices.Index(list, *last); i > 0 {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list[:min(len(list), maxHelpers)]
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Unlent takes note that no lender reaches the instance.
func (m *Member) Unlent(now time.Time) { m.shared.unlent.Store(now.Add(unlentFor).UnixNano()) }

// unreachable reports whether the instance could not be reached at the last try.
func (m *Member) unreachable(now time.Time) bool {
	if len(m.lenders) > 0 {
		return now.UnixNano() < m.shared.unlent.Load()
	}
	return m.Down()
}
