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
