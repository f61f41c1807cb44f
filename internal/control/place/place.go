// Package place provides the choice of hosts for a group: its holder and its observers, by
// rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998).
package place

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// observerCount is the number of hosts that watch a primary.
const observerCount = 3

// Host is an entry host as a candidate.
type Host struct {
	Name     string
	Center   string
	Draining bool
}

// EntryHosts returns the entry hosts among host resources.
func EntryHosts(hosts []*wire.Resource) []Host {
	var entryHosts []Host
	for _, r := range hosts {
		if r.Host != nil && slices.Contains(r.Host.Roles, "entry") {
			entryHosts = append(entryHosts, Host{r.Name, r.Host.Center, spec.Leaving(r.Spec) || r.Host.Draining})
		}
	}
	return entryHosts
}

// Rank orders hosts for a group, the best one first: hosts of the data centre center come
// before others, and then the hash decides.
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

func score(group, host string) uint64 {
	return xxhash.Sum64String(group + "\x00" + host)
}

// Observers returns the hosts that watch the group's primary: the holder and the next ones.
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

// Peer is a host that can hold connections, with its address for other hosts.
type Peer struct {
	Name     string
	Center   string
	LinkAddr string
	// Dedicated is set for a host with room on its link and processor for the work of others.
	Dedicated bool
}

// Instance is an instance that hosts are to hold connections to.
type Instance struct {
	Name   string
	Center string
}

const (
	// minLenders is the least number of hosts that hold connections to an instance: one of
	// them may be down.
	minLenders = 2
	// maxLenders bounds it, so that each has a few connections and few stand idle.
	maxLenders = 4
	// standbyLenders is the number of strong hosts of any data centre that take over from the one
	// of the instance's data centre: as many may be lost at once.
	standbyLenders = 2
)

// Lenders chooses the hosts that hold connections to each instance where there are too few
// connections for all hosts. Hosts of the instance's data centre come first; no host gets
// more instances than its even share, by rendezvous hashing. Every host comes to the same
// choice from the same lists. A strong host of the instance's data centre comes before them,
// takes any number of instances, and is followed by strong ones of other data centres.
func Lenders(instances []Instance, hosts []Peer) map[string][]Peer {
	entryHosts := slices.DeleteFunc(slices.Clone(hosts), func(h Peer) bool { return h.Dedicated })
	dedicated := slices.DeleteFunc(slices.Clone(hosts), func(h Peer) bool { return !h.Dedicated })
	byCenter := map[string][]Peer{}
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
	chosen := map[string][]Peer{}
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

// leastLoaded returns the n hosts with the least load, the best score for the instance first among equal
// ones. With hundreds of hosts a sort would take most of the time of a placement.
func leastLoaded(hosts []Peer, n int, instance string, load map[string]int) []Peer {
	type candidate struct {
		load  int
		score uint64
	}
	candidates := make([]candidate, len(hosts))
	for i, h := range hosts {
		candidates[i] = candidate{load[h.Name], score(instance, h.Name)}
	}
	var picked []Peer
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

// Shares returns how many connections to an instance each lender keeps open, of a number that
// hosts may have together. Where the first one is strong, nearly all statements go over it, and
// it has half of them. Lenders beyond the number of connections get none: the list ends before.
func Shares(maxConns int, lenders []Peer) []int {
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

// dedicatedLenders returns the strong hosts for an instance in the order in which they are asked, by
// rendezvous hashing: one of its data centre, then substitutes. It returns none where its data
// centre has none, since all bytes would go between data centres twice.
func dedicatedLenders(in Instance, hosts []Peer) []Peer {
	ranked := slices.Clone(hosts)
	sort.SliceStable(ranked, func(i, j int) bool { return score(in.Name, ranked[i].Name) > score(in.Name, ranked[j].Name) })
	index := slices.IndexFunc(ranked, func(h Peer) bool { return h.Center == in.Center })
	if index < 0 {
		return nil
	}
	sameCenter := ranked[index]
	ranked = slices.Insert(slices.Delete(ranked, index, index+1), 0, sameCenter)
	return ranked[:min(len(ranked), 1+standbyLenders)]
}
