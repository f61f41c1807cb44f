// Package mimic provides a stand-in of the users' platform for tests: database groups whose
// instances speak the platform's statement protocol, announce themselves, replicate late, and
// are promoted by a call with a fencing token. It keeps a record of what ran, so that a test
// can check what callers were told.
package mimic

import (
	"fmt"
	"sync"
	"time"
)

// place is a place in a log.
type place struct{ term, number uint64 }

func (p place) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p place) before(other place) bool {
	if p.term != other.term {
		return p.term < other.term
	}
	return p.number < other.number
}

// entry is one committed transaction.
type entry struct {
	at     place
	made   time.Time
	writes []write
}

type write struct{ id, item, data string }

// Group is a database group. The exported fields are set before the first instance.
type Group struct {
	Name string
	// Lag is how late replicas apply.
	Lag time.Duration
	// Rise is how long a promotion takes.
	Rise time.Duration
	// MaxConns is the number of connections that an instance accepts.
	MaxConns int
	// Slots is the number of statements that an instance runs at once, and Queue the number of
	// those that wait; others are refused. Without Slots there is no bound.
	Slots int
	Queue int
	// Work is how long a statement holds its slot.
	Work time.Duration

	mu        sync.Mutex
	term      uint64
	leader    *Instance
	instances map[string]*Instance
	fence     uint64
	// open is the largest number of connections that an instance had at once.
	open int
}

// Ran returns how often the write with an id is in the present leader's log.
func (g *Group) Ran(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.leader.log {
		for _, w := range e.writes {
			if w.id == id {
				n++
			}
		}
	}
	return n
}

// At returns where in the present leader's log the write with an id stands, -1 where it does not.
func (g *Group) At(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, e := range g.leader.log {
		for _, w := range e.writes {
			if w.id == id {
				return i
			}
		}
	}
	return -1
}

// Leader returns the name of the instance that leads.
func (g *Group) Leader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader.Name
}

// MostConns returns the largest number of connections that an instance had at once.
func (g *Group) MostConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Instance returns an instance by its name.
func (g *Group) Instance(name string) *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[name]
}

// Promote has an instance lead the next term with what it has received, as the platform does:
// a fencing token lower than one seen is refused, and so is an instance that does not run.
func (g *Group) Promote(name string, fence uint64) bool {
	g.mu.Lock()
	in := g.instances[name]
	if fence < g.fence || in == nil || in.down {
		g.mu.Unlock()
		return false
	}
	g.fence = fence
	if in == g.leader {
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	time.AfterFunc(g.Rise, func() { g.rise(in) })
	return true
}

func (g *Group) rise(in *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = in
	in.term = g.term
	for _, other := range g.instances {
		if len(other.log) > len(in.log) {
			other.log = other.log[:len(in.log)]
		}
	}
}

// commit appends a transaction to the leader's log and copies it to the others. It reports
// false at an instance that does not lead. The caller holds mu.
func (g *Group) commit(in *Instance, writes []write) bool {
	if g.leader != in || in.down {
		return false
	}
	if len(writes) == 0 {
		return true
	}
	e := entry{at: place{g.term, in.end().number + 1}, made: time.Now(), writes: writes}
	for _, other := range g.instances {
		if !other.down && !other.deaf {
			other.log = append(other.log, e)
			other.term = g.term
		}
	}
	return true
}

// end returns the end of what an instance has received. The caller holds the group's mu.
func (in *Instance) end() place {
	if len(in.log) == 0 {
		return place{term: 1}
	}
	return in.log[len(in.log)-1].at
}

// applied returns the entries that reads at an instance see, and where they end. The caller
// holds the group's mu.
func (in *Instance) applied(now time.Time) ([]entry, place) {
	n := len(in.log)
	if in.group.leader != in {
		for n > 0 && now.Sub(in.log[n-1].made) < in.group.Lag {
			n--
		}
	}
	if n == 0 {
		return nil, place{term: 1}
	}
	return in.log[:n], in.log[n-1].at
}

// value returns what an item holds in a list of entries.
func value(list []entry, item string) string {
	for i := len(list) - 1; i >= 0; i-- {
		for j := len(list[i].writes) - 1; j >= 0; j-- {
			if w := list[i].writes[j]; w.item == item {
				return w.data
			}
		}
	}
	return "none"
}
