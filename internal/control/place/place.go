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

// observers is the number of hosts that watch a primary.
const observers = 3

// Host is an entry host as a candidate.
type Host struct {
	Name    string
	Center  string
	Leaving bool
}

// Entries returns the entry hosts among host resources.
func Entries(hosts []*wire.Resource) []Host {
	var list []Host
	for _, r := range hosts {
		if r.Host != nil && slices.Contains(r.Host.Roles, "entry") {
			list = append(list, Host{r.Name, r.Host.Center, spec.Leaving(r.Spec) || r.Host.Draining})
		}
	}
	return list
}

// Rank orders hosts for a group, the best one first: hosts of the data centre center come
// before others, and then the hash decides.
func Rank(group, center string, hosts []Host) []string {
	list := slices.Clone(hosts)
	sort.SliceStable(list, func(i, j int) bool {
		near := func(h Host) bool { return center != "" && h.Center == center }
		if near(list[i]) != near(list[j]) {
			return near(list[i])
		}
		return score(group, list[i].Name) > score(group, list[j].Name)
	})
	names := make([]string, len(list))
	for i, h := range list {
		names[i] = h.Name
	}
	return names
}

func score(group, host string) uint64 {
	return xxhash.Sum64String(group + "\x00" + host)
}

// Observers returns the hosts that watch the group's primary: the holder and the next ones.
func Observers(group, holder string, hosts []Host) []string {
	var list []string
	for _, h := range hosts {
		if h.Name == holder {
			list = append(list, holder)
		}
	}
	for _, name := range Rank(group, "", hosts) {
		if len(list) < observers && name != holder {
			list = append(list, name)
		}
	}
	return list
}

// Peer is a host that can hold connections, with its address for other hosts.
type Peer struct {
	Name   string
	Center string
	Link   string
	// Strong is set for a host with room on its link and processor for the work of others.
	Strong bool
}

// Spot is an instance that hosts are to hold connections to.
type Spot struct {
	Instance string
	Center   string
}

const (
	// leastLenders is the least number of hosts that hold connections to an instance: one of
	// them may be down.
	leastLenders = 2
	// mostLenders bounds it, so that each has a few connections and few stand idle.
	mostLenders = 4
	// substitutes is the number of strong hosts of any data centre that take over from the one
	// of the instance's data centre: as many may be lost at once.
	substitutes = 2
)

// Lenders chooses the hosts that hold connections to each instance where there are too few
// connections for all hosts. Hosts of the instance's data centre come first; no host gets
// more instances than its even share, by rendezvous hashing. Every host comes to the same
// choice from the same lists. A strong host of the instance's data centre comes before them,
// takes any number of instances, and is followed by strong ones of other data centres.
func Lenders(spots []Spot, hosts []Peer) map[string][]Peer {
	weak := slices.DeleteFunc(slices.Clone(hosts), func(h Peer) bool { return h.Strong })
	stronger := slices.DeleteFunc(slices.Clone(hosts), func(h Peer) bool { return !h.Strong })
	near := map[string][]Peer{}
	for _, h := range weak {
		near[h.Center] = append(near[h.Center], h)
	}
	spots = slices.Clone(spots)
	sort.Slice(spots, func(i, j int) bool { return spots[i].Instance < spots[j].Instance })
	counts := map[string]int{}
	for _, s := range spots {
		counts[s.Center]++
	}
	load := map[string]int{}
	chosen := map[string][]Peer{}
	for _, s := range spots {
		from := near[s.Center]
		if len(from) < leastLenders {
			from = weak
		}
		n := min(len(from), mostLenders, max(leastLenders, len(from)/counts[s.Center]))
		chosen[s.Instance] = strong(s, stronger)
		for _, h := range least(from, n, s.Instance, load) {
			load[h.Name]++
			chosen[s.Instance] = append(chosen[s.Instance], h)
		}
	}
	return chosen
}

// least returns the n hosts with the least load, the best score for the instance first among equal
// ones. With hundreds of hosts a sort would take most of the time of a placement.
func least(hosts []Peer, n int, instance string, load map[string]int) []Peer {
	type rank struct {
		load  int
		score uint64
	}
	ranks := make([]rank, len(hosts))
	for i, h := range hosts {
		ranks[i] = rank{load[h.Name], score(instance, h.Name)}
	}
	var list []Peer
	for range n {
		best := -1
		for i, r := range ranks {
			if r.load >= 0 && (best < 0 || r.load < ranks[best].load || r.load == ranks[best].load && r.score > ranks[best].score) {
				best = i
			}
		}
		ranks[best].load = -1
		list = append(list, hosts[best])
	}
	return list
}

// Shares returns how many connections to an instance each lender keeps open, of a number that
// hosts may have together. Where the first one is strong, nearly all statements go over it, and
// it has half of them. Lenders beyond the number of connections get none: the list ends before.
func Shares(room int, lenders []Peer) []int {
	first := 0
	if len(lenders) > 0 && lenders[0].Strong {
		first = max(1, room/2)
	}
	rest := lenders
	var shares []int
	if first > 0 {
		shares = append(shares, first)
		rest = lenders[1:]
	}
	left := room - first
	n := min(len(rest), left)
	for range n {
		shares = append(shares, left/n)
	}
	if len(shares) == 0 && len(lenders) > 0 {
		return []int{1}
	}
	return shares
}

// strong returns the strong hosts for an instance in the order in which they are asked, by
// rendezvous hashing: one of its data centre, then substitutes. It returns none where its data
// centre has none, since all bytes would go between data centres twice.
func strong(s Spot, hosts []Peer) []Peer {
	list := slices.Clone(hosts)
	sort.SliceStable(list, func(i, j int) bool { return score(s.Instance, list[i].Name) > score(s.Instance, list[j].Name) })
	first := slices.IndexFunc(list, func(h Peer) bool { return h.Center == s.Center })
	if first < 0 {
		return nil
	}
	near := list[first]
	list = slices.Insert(slices.Delete(list, first, first+1), 0, near)
	return list[:min(len(list), 1+substitutes)]
}
