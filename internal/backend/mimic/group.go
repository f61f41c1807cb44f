// Package mimic simulates the users' platform for tests: database groups whose instances speak
// the platform's statement protocol, send heartbeats, replicate with a lag and are promoted by a
// call with a fencing token. The logs record which writes ran, so that a test can check the
// results that callers received.
package mimic

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// logPosition is a term and a 1-based index in the log, written "term.index".
type logPosition struct{ term, index uint64 }

func (p logPosition) String() string { return fmt.Sprintf("%d.%d", p.term, p.index) }

// before reports whether p is lower than other.
func (p logPosition) before(other logPosition) bool {
	if p.term != other.term {
		return p.term < other.term
	}
	return p.index < other.index
}

// entry is one committed transaction.
type entry struct {
	position    logPosition
	committedAt time.Time
	writes      []write
}

// write sets an item to data. Its id is that of the query, or in a transaction
// "write query/commit query".
type write struct{ id, item, data string }

// Group is a database group. Set the exported fields before starting the first instance.
type Group struct {
	Name string
	// Lag is the time after which a replica applies a committed transaction.
	Lag time.Duration
	// PromotionDelay is the time from an accepted promotion to its completion.
	PromotionDelay time.Duration
	// MaxConns is the maximum number of open connections per instance.
	MaxConns int
	// Slots is the number of statements that an instance runs concurrently; 0 is unlimited.
	Slots int
	// QueueLimit is the number of statements that may wait for a slot. Further ones are
	// refused with BUSY.
	QueueLimit int
	// StatementTime is how long a statement occupies its slot.
	StatementTime time.Duration
	// OpeningTime is how long the startup of a connection occupies a slot.
	OpeningTime time.Duration
	// ExtraTime, if set, returns how much longer than that a statement takes.
	ExtraTime func(text string) time.Duration
	// LeaveBound is how long after the acknowledgment of its announcement an instance that leaves may
	// get new requests; 0 is unlimited.
	LeaveBound time.Duration
	// AccountOfKey, if set, has the client accounts of the keys that callers use. Instances then record who
	// connects to them.
	AccountOfKey map[string]string
	// RecordRuns makes Runs and AllRuns available.
	RecordRuns bool
	// Initial has the data of items that no write has set.
	Initial map[string]string

	// mu also guards the term, log, fault flags and connections of the instances.
	mu           sync.Mutex
	term         uint64
	primary      *Instance
	instances    map[string]*Instance
	fencingToken uint64 // highest token that was accepted
	// peakConns is the highest number of open connections that any instance has had.
	peakConns int
	// lateRequests describes the requests that reached a leaving instance after LeaveBound.
	lateRequests []string
	// passedKeys describes the startups that named a key instead of an account.
	passedKeys []string
	// runs are the executions of statements by id.
	runs map[string][]Run
	// strays describes the lines that instances should not have got.
	strays []string
}

// LateRequests returns a description of each request that reached an instance later than LeaveBound
// after the acknowledgment of its announcement that it leaves. Status queries and statements of
// transactions that were open do not count.
func (g *Group) LateRequests() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.lateRequests)
}

// PassedKeys returns a description of each startup that passed a caller's key on to an instance.
func (g *Group) PassedKeys() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.passedKeys)
}

// recordStartup records a startup that names a key.
func (g *Group) recordStartup(instance, account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.AccountOfKey[account]; ok {
		g.passedKeys = append(g.passedKeys, instance)
	}
}

// WriteCount returns how often the write with the id occurs in the current primary's log.
func (g *Group) WriteCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.primary.log {
		for _, w := range e.writes {
			if w.id == id {
				n++
			}
		}
	}
	return n
}

// WriteIndex returns the 0-based index of the entry with the write id in the current primary's
// log, or -1 if there is none.
func (g *Group) WriteIndex(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, e := range g.primary.log {
		for _, w := range e.writes {
			if w.id == id {
				return i
			}
		}
	}
	return -1
}

// Primary returns the name of the current primary.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary.Name
}

// PeakConns returns the highest number of open connections that any instance has had.
func (g *Group) PeakConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakConns
}

// Instance returns the instance with the name, or nil.
func (g *Group) Instance(name string) *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[name]
}

// Promote accepts the promotion of an instance, which becomes the primary of the next term after
// PromotionDelay with the log entries that it has received. Like the platform it returns false
// for a fencing token lower than an accepted one and for an unknown or crashed instance.
// Promoting the current primary does nothing and returns true.
func (g *Group) Promote(name string, fencingToken uint64) bool {
	g.mu.Lock()
	in := g.instances[name]
	if fencingToken < g.fencingToken || in == nil || in.crashed {
		g.mu.Unlock()
		return false
	}
	g.fencingToken = fencingToken
	if in == g.primary {
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	time.AfterFunc(g.PromotionDelay, func() { g.completePromotion(in) })
	return true
}

// completePromotion makes an instance the primary of the next term and truncates longer logs of
// other instances to the length of its log.
func (g *Group) completePromotion(in *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.primary = in
	in.term = g.term
	for _, other := range g.instances {
		if len(other.log) > len(in.log) {
			other.log = other.log[:len(in.log)]
		}
	}
}

// commit appends a transaction to the logs of the primary and of all instances that receive
// replication. It returns false if in is not the primary or has crashed. The caller holds mu.
func (g *Group) commit(in *Instance, writes []write) bool {
	if g.primary != in || in.crashed {
		return false
	}
	if len(writes) == 0 {
		return true
	}
	e := entry{position: logPosition{g.term, in.lastPosition().index + 1}, committedAt: time.Now(), writes: writes}
	for _, other := range g.instances {
		if !other.crashed && !other.replicationStopped {
			other.log = append(other.log, e)
			other.term = g.term
		}
	}
	return true
}

// lastPosition returns the position of the last entry that the instance has received. The caller
// holds the group's mu.
func (in *Instance) lastPosition() logPosition {
	if len(in.log) == 0 {
		return logPosition{term: 1}
	}
	return in.log[len(in.log)-1].position
}

// applied returns the entries that are visible to reads on the instance, and the position of the
// last one. The caller holds the group's mu.
func (in *Instance) applied(now time.Time) ([]entry, logPosition) {
	n := len(in.log)
	if in.group.primary != in {
		for n > 0 && now.Sub(in.log[n-1].committedAt) < in.group.Lag {
			n--
		}
	}
	if n == 0 {
		return nil, logPosition{term: 1}
	}
	return in.log[:n], in.log[n-1].position
}

// itemValue returns the last value written to an item in the entries, or else its initial data, or "none".
func (g *Group) itemValue(entries []entry, item string) string {
	for i := len(entries) - 1; i >= 0; i-- {
		for j := len(entries[i].writes) - 1; j >= 0; j-- {
			if w := entries[i].writes[j]; w.item == item {
				return w.data
			}
		}
	}
	if data, ok := g.Initial[item]; ok {
		return data
	}
	return "none"
}
