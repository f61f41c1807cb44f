// Package bounds keeps the memory that clients' data take in a process within a budget.
package bounds

import (
	"cmp"
	"slices"
	"sync"

	"github.com/agatespindle/agatespindle/internal/base/meter"
)

// Kind is what a claim holds memory for.
type Kind int

// The kinds of held memory.
const (
	// Received is what has arrived and is not handled yet.
	Received Kind = iota
	// Running is what a request takes that runs or waits for its turn.
	Running
	// Unsent is what its client has not read yet.
	Unsent
	// Session is what a session keeps until its end.
	Session
	kinds
)

var kindNames = [kinds]string{"received", "running", "unsent", "session"}

// String returns the name of the kind used in metrics.
func (k Kind) String() string { return kindNames[k] }

// overDivisor gives the part of Total by which the claims may hold more, since each may have its Share.
const overDivisor = 4

// Holding is what one client holds, for the decision who goes first.
type Holding struct {
	// Bytes is all that it holds, and Unread the part that it has not read.
	Bytes, Unread int64
	// Within is set while it keeps the limits that clients are told.
	Within bool
}

// First returns the indices of the holdings that are ended so that need bytes get free: those that hold
// most and read least go first, and none that is within its limits. It returns nil if they do not suffice:
// then nothing is gained by ending any.
func First(list []Holding, need int64) []int {
	var order []int
	for i, h := range list {
		if !h.Within {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(list[b].Bytes+list[b].Unread, list[a].Bytes+list[a].Unread)
	})
	for n, i := range order {
		if need -= list[i].Bytes; need <= 0 {
			return order[:n+1]
		}
	}
	return nil
}

// Budget bounds the memory of all claims of a process. The exported fields are set before the first call
// of Open; a nil Budget bounds nothing.
type Budget struct {
	// Total is the number of bytes for all claims.
	Total int64
	// Share is the number of bytes that each claim may hold even if others have used up Total, so that
	// ordinary requests are served then.
	Share int64
	Meter *meter.Meter
	// Name is the prefix of the gauges' names.
	Name string

	mu     sync.Mutex
	used   [kinds]int64
	all    int64
	claims map[*Claim]struct{}
	// leaving is what the claims hold that have been told to end.
	leaving int64
}

// Claim is what one client holds of a budget.
type Claim struct {
	budget *Budget
	// evict is called once, in its own goroutine, when the client has to go.
	evict   func()
	held    [kinds]int64
	all     int64
	outside bool
	evicted bool
	closed  bool
}

// Open returns the claim of a new client. evict ends the client, and has Close called; it must not block.
func (b *Budget) Open(evict func()) *Claim {
	c := &Claim{budget: b, evict: evict}
	if b == nil {
		return c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims == nil {
		b.claims = map[*Claim]struct{}{}
	}
	b.claims[c] = struct{}{}
	return c
}

// Set sets what the client holds of a kind, in bytes. It returns false, and changes nothing, if that is more
// than before and the budget is full: clients that are not within their limits are then ended, but what
// they hold is free only later.
func (c *Claim) Set(k Kind, n int64) bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	more := n - c.held[k]
	if c.closed || more == 0 {
		return true
	}
	if more > 0 && !b.hasRoom(c, more) {
		return false
	}
	b.change(c, k, more)
	return true
}

// Force sets what the client holds of a kind, also beyond the budget: the memory is in use already.
func (c *Claim) Force(k Kind, n int64) {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if more := n - c.held[k]; more != 0 && !c.closed {
		b.change(c, k, more)
	}
}

// SetWithin tells whether the client keeps its limits.
func (c *Claim) SetWithin(within bool) {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.outside = !within
}

// Close gives back all that the client holds.
func (c *Claim) Close() {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	for k := range kinds {
		b.change(c, k, -c.held[k])
	}
	c.closed = true
	delete(b.claims, c)
}

// Evicted reports whether the client has to go.
func (c *Claim) Evicted() bool {
	if c.budget == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.evicted
}

// hasRoom reports whether a claim may hold more bytes, and has others end if not. b.mu must be held.
func (b *Budget) hasRoom(c *Claim, more int64) bool {
	if b.all+more <= b.Total || c.all+more <= b.Share {
		return true
	}
	need := b.all - b.leaving + more - b.Total
	if need <= 0 {
		return false
	}
	var others []*Claim
	var list []Holding
	for other := range b.claims {
		if other != c && !other.evicted && other.all > 0 {
			others = append(others, other)
			list = append(list, Holding{Bytes: other.all, Unread: other.held[Unsent], Within: !other.outside})
		}
	}
	for _, i := range First(list, need) {
		b.end(others[i])
	}
	return false
}

// end has a client end. b.mu must be held.
func (b *Budget) end(c *Claim) {
	c.evicted = true
	b.leaving += c.all
	if b.Meter != nil {
		b.Meter.AddCounter(b.Name+".evicted", 1)
	}
	go c.evict()
}

// change adds to what a claim holds of a kind. b.mu must be held.
func (b *Budget) change(c *Claim, k Kind, more int64) {
	c.held[k] += more
	c.all += more
	b.used[k] += more
	b.all += more
	if c.evicted {
		b.leaving += more
	}
	if b.Meter != nil {
		b.Meter.SetGauge(b.Name+"."+k.String(), b.used[k])
	}
}

// Over reports whether the claims hold so much more than Total, through answers that could not be counted
// ahead, that nothing should be started that may bring more.
func (b *Budget) Over() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all > b.Total+b.Total/overDivisor
}

// Used returns the number of bytes that all claims hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all
}
