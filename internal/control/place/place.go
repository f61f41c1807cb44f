// Package place assigns hosts to groups and instances by rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998): the holder and the
// observers of a group, and the hosts that keep pooled connections to an instance and lend them
// to other hosts.
package place

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// observerCount is the number of hosts that monitor the health of a group's primary.
const observerCount = 3

// Host is an entry host that can be assigned to a group.
type Host struct {
	Name string
	// Center is the host's data centre.
	Center string
	// Draining is set when the host is draining or is to be removed.
	Draining bool
}

// EntryHosts returns the hosts with the entry role, in the order of the given resources.
func EntryHosts(hosts []*wire.Resource) []Host {
	var entryHosts []Host
	for _, r := range hosts {
		if r.Host != nil && slices.Contains(r.Host.Roles, "entry") {
			entryHosts = append(entryHosts, Host{r.Name, r.Host.Center, spec.Leaving(r.Spec) || r.Host.Draining})
		}
	}
	return entryHosts
}

// Rank returns the names of hosts in order of preference for a group: hosts in
// preferredCenter first (if it is not ""), then by descending hash score.
func Rank(group, preferredCenter string, hosts []Host) []string {
	ranked := slices.Clone(hosts)
	sort.SliceStable(ranked, func(i, j int) bool {
		preferred := func(h Host) bool { return preferredCenter != "" && h.Center == preferredCenter }
		if preferred(ranked[i]) != preferred(ranked[j]) {
			return preferred(ranked[i])
		}
		return score(group, ranked[i].Name) > score(group, ranked[j].Name)
	})
	names := make([]string, len(ranked))
	for i, h := range ranked {
		names[i] = h.Name
	}
	return names
}

// score returns the rendezvous hash score of a host for a key, the name of a group or instance; the
// highest wins.
func score(key, host string) uint64 {
	return xxhash.Sum64String(key + "\x00" + host)
}

// Observers returns the names of the hosts that monitor the group's primary: the holder, if it
// is among hosts, then the highest-ranked others.
func Observers(group, holder string, hosts []Host) []string {
	var observers []string
	for _, h := range hosts {
		if h.Name == holder {
			observers = append(observers, holder)
		}
	}
	for _, name := range Rank(group, "", hosts) {
		if len(observers) < observerCount && name != holder {
			observers = append(observers, name)
		}
	}
	return observers
}

// Lender is a host that can keep connections to instances and lend them to other hosts.
type Lender struct {
	Name string
	// Center is the host's data centre.
	Center string
	// LinkAddr is the address at which other hosts connect to it.
	LinkAddr string
	// Dedicated is set for a host that serves no callers of its own (a control host), so that
	// its network and CPU have capacity for the requests of other hosts.
	Dedicated bool
}

// Instance is an instance that needs lenders: hosts that keep connections to it and lend them.
type Instance struct {
	Name string
	// Center is the instance's data centre.
	Center string
}

const (
	// minLenders is the minimum number of entry hosts that keep connections to an instance;
	// one of them may be down.
	minLenders = 2
	// maxLenders is the maximum, so that each lender has several connections and few are idle.
	maxLenders = 4
	// standbyLenders is the number of dedicated hosts in any data centre that take over from the
	// one in the instance's data centre; it is the number of host failures tolerated at once.
	standbyLenders = 2
)

// Lenders chooses, by instance name, the hosts that keep connections to the instance, for
// instances with too few connections for all hosts. Every host computes the same result from the
// same lists, in any order.
//
// A dedicated host in the instance's data centre comes first, followed by dedicated hosts of
// any data centre as standbys; there is no limit on the instances of a dedicated host. Entry
// hosts come next: those in the instance's data centre if there are enough, otherwise all. The
// least loaded are chosen, with ties broken by rendezvous hashing, so that instances are spread
// evenly over entry hosts.
func Lenders(instances []Instance, hosts []Lender) map[string][]Lender {
	entryHosts := slices.DeleteFunc(slices.Clone(hosts), func(h Lender) bool { return h.Dedicated })
	dedicated := slices.DeleteFunc(slices.Clone(hosts), func(h Lender) bool { return !h.Dedicated })
	byCenter := map[string][]Lender{}
	for _, h := range entryHosts {
		byCenter[h.Center] = append(byCenter[h.Center], h)
	}
	instances = slices.Clone(instances)
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
	instancesIn := map[string]int{}
	for _, in := range instances {
		instancesIn[in.Center]++
	}
	load := map[string]int{}
	chosen := map[string][]Lender{}
	for _, in := range instances {
		candidates := byCenter[in.Center]
		if len(candidates) < minLenders {
			candidates = entryHosts
		}
		n := min(len(candidates), maxLenders, max(minLenders, len(candidates)/instancesIn[in.Center]))
		chosen[in.Name] = dedicatedLenders(in, dedicated)
		for _, h := range leastLoaded(candidates, n, in.Name, load) {
			load[h.Name]++
			chosen[in.Name] = append(chosen[in.Name], h)
		}
	}
	return chosen
}

// leastLoaded returns the n hosts with the lowest load, ties ordered by descending score for the
// instance. It selects instead of sorting: with hundreds of hosts, a sort would take most of the
// time of Lenders.
func leastLoaded(hosts []Lender, n int, instance string, load map[string]int) []Lender {
	type candidate struct {
		load  int
		score uint64
	}
	candidates := make([]candidate, len(hosts))
	for i, h := range hosts {
		candidates[i] = candidate{load[h.Name], score(instance, h.Name)}
	}
	var picked []Lender
	for range n {
		best := -1
		for i, c := range candidates {
			if c.load >= 0 && (best < 0 || c.load < candidates[best].load || c.load == candidates[best].load && c.score > candidates[best].score) {
				best = i
			}
		}
		candidates[best].load = -1
		picked = append(picked, hosts[best])
	}
	return picked
}

// Shares divides maxConns connections to an instance among its lenders and returns the number
// that each keeps open. A dedicated first lender gets half, because nearly all statements go
// through it; the others get equal shares. Lenders beyond the number of connections get none,
// so the result may be shorter than lenders.
func Shares(maxConns int, lenders []Lender) []int {
	firstShare := 0
	if len(lenders) > 0 && lenders[0].Dedicated {
		firstShare = max(1, maxConns/2)
	}
	rest := lenders
	var shares []int
	if firstShare > 0 {
		shares = append(shares, firstShare)
		rest = lenders[1:]
	}
	remaining := maxConns - firstShare
	n := min(len(rest), remaining)
	for range n {
		shares = append(shares, remaining/n)
	}
	if len(shares) == 0 && len(lenders) > 0 {
		return []int{1}
	}
	return shares
}

// AccountShares is like Shares for connections that belong to client accounts. A dedicated first lender gets
// all that the others do not need at once, because its connections serve far more accounts than the
// instance has slots: another dedicated one gets one for each slot, an entry host a single one. As many as a
// dedicated host needs at once are left to a first lender that starts again after a loss of power, whose former
// connections the instance still holds.
func AccountShares(maxConns, slots int, lenders []Lender) []int {
	shares := Shares(maxConns, lenders)
	if len(shares) == 0 || !lenders[0].Dedicated {
		return shares
	}
	for i := 1; i < len(shares); i++ {
		enough := 1
		if lenders[i].Dedicated {
			enough = slots + 1
		}
		if shares[i] > enough {
			shares[0] += shares[i] - enough
			shares[i] = enough
		}
	}
	shares[0] = max(1, shares[0]-(slots+1))
	return shares
}

// dedicatedLenders returns the dedicated hosts for an instance in the order in which they are
// used, by rendezvous hashing: one in its data centre, then up to standbyLenders others. It
// returns nil if the instance's data centre has no dedicated host, because all traffic would then
// cross between data centres twice.
func dedicatedLenders(in Instance, hosts []Lender) []Lender {
	ranked := slices.Clone(hosts)
	sort.SliceStable(ranked, func(i, j int) bool { return score(in.Name, ranked[i].Name) > score(in.Name, ranked[j].Name) })
	index := slices.IndexFunc(ranked, func(h Lender) bool { return h.Center == in.Center })
	if index < 0 {
		return nil
	}
	sameCenter := ranked[index]
	ranked = slices.Insert(slices.Delete(ranked, index, index+1), 0, sameCenter)
	return ranked[:min(len(ranked), 1+standbyLenders)]
}
