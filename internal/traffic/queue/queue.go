// Package queue provides the order in which requests get the slots of a backend server: by
// class, fair between callers, and refused at once when they cannot be served in time.
package queue

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// classes is the number of classes.
const classes = 4

// Ticket is a request that waits for a slot.
type Ticket struct {
	ID       uint64
	Class    spec.Class
	Caller   string
	Deadline time.Time
	// Pinned is set for a request inside a transaction: it holds a connection already.
	Pinned bool
	// Work is the number of requests that follow from this one, itself included; zero stands
	// for one. A class pays for all of them.
	Work int
}

// Decision tells that a ticket has its slot, or why it gets none.
type Decision struct {
	ID     uint64
	Reason fault.Reason
}

// Queue decides for the slots of one backend server. The exported fields are set before the
// first call. It is not safe for concurrent use.
type Queue struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Length is the number of tickets that wait in one class at most.
	Length int
	// Reserve is for how long after an urgent request one slot is kept from browsing and
	// reports.
	Reserve time.Duration

	lines   [classes]line
	pass    [classes]int
	running map[uint64]start
	service time.Duration
	urgent  time.Time
}

type start struct {
	at    time.Time
	class spec.Class
}

// stride is what a class pays for a slot: reports pay most. Urgent requests pay nothing and
// go first. (Waldspurger and Weihl, "Stride scheduling", 1995.)
var stride = [classes]int{0, 1, 2, 4}

// smoothing is the weight of the past in the mean service time.
const smoothing = 8

// Enter adds a ticket and returns what follows.
func (q *Queue) Enter(now time.Time, t Ticket) []Decision {
	if q.running == nil {
		q.running = map[uint64]start{}
	}
	if t.Class == spec.Urgent {
		q.urgent = now
	}
	if reason := q.hopeless(now, t); reason != "" {
		return []Decision{{t.ID, reason}}
	}
	l := &q.lines[t.Class]
	if l.count == 0 {
		q.pass[t.Class] = max(q.pass[t.Class], q.leastPass())
	}
	l.push(t)
	return q.fill(now, nil)
}

// hopeless returns why a ticket cannot be served.
func (q *Queue) hopeless(now time.Time, t Ticket) fault.Reason {
	if t.Pinned {
		return ""
	}
	if q.lines[t.Class].count >= q.Length {
		return fault.QueueFull
	}
	if now.Add(q.expected(t.Class)).After(t.Deadline) {
		return fault.Deadline
	}
	return ""
}

// expected returns how long a new ticket of a class waits by the mean service time.
func (q *Queue) expected(c spec.Class) time.Duration {
	ahead := 0
	for i := range spec.Class(classes) {
		if i <= c {
			ahead += q.lines[i].count
		}
	}
	if ahead == 0 && len(q.running) < q.Slots {
		return 0
	}
	return time.Duration(ahead+1) * q.service / time.Duration(q.Slots)
}

// leastPass returns the least pass of the classes that have tickets.
func (q *Queue) leastPass() int {
	least, found := 0, false
	for c := range q.lines {
		if q.lines[c].count > 0 && (!found || q.pass[c] < least) {
			least = q.pass[c]
			found = true
		}
	}
	return least
}

// Leave returns the slot of a ticket, or takes it out of its line, and returns what follows.
func (q *Queue) Leave(now time.Time, id uint64) []Decision {
	if s, ok := q.running[id]; ok {
		delete(q.running, id)
		q.measure(now.Sub(s.at))
	} else {
		for c := range q.lines {
			q.lines[c].remove(id)
		}
	}
	return q.fill(now, nil)
}

func (q *Queue) measure(took time.Duration) {
	if q.service == 0 {
		q.service = took
		return
	}
	q.service += (took - q.service) / smoothing
}

// Expire refuses the tickets whose deadline has passed and returns what follows.
func (q *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for c := range q.lines {
		for _, t := range q.lines[c].expired(now) {
			out = append(out, Decision{t.ID, fault.Deadline})
		}
	}
	return q.fill(now, out)
}

// fill gives free slots to the tickets that are next.
func (q *Queue) fill(now time.Time, out []Decision) []Decision {
	for len(q.running) < q.Slots {
		c, ok := q.next(now)
		if !ok {
			return out
		}
		t := q.lines[c].pop()
		q.pass[c] += stride[c] * max(1, t.Work)
		q.running[t.ID] = start{now, c}
		out = append(out, Decision{ID: t.ID})
	}
	return out
}

// next returns the class whose turn it is.
func (q *Queue) next(now time.Time) (spec.Class, bool) {
	if q.lines[spec.Urgent].count > 0 {
		return spec.Urgent, true
	}
	var best spec.Class
	found := false
	for c := spec.Normal; c < classes; c++ {
		if q.lines[c].count == 0 || q.capped(now, c) {
			continue
		}
		if !found || q.pass[c] < q.pass[best] {
			best = c
			found = true
		}
	}
	return best, found
}

// capped reports whether a class of browsing or reports has all slots that it may have: one
// is kept free while urgent requests keep coming.
func (q *Queue) capped(now time.Time, c spec.Class) bool {
	if c < spec.Browse || q.Slots < 2 || q.urgent.IsZero() || now.Sub(q.urgent) > q.Reserve {
		return false
	}
	n := 0
	for _, s := range q.running {
		if s.class >= spec.Browse {
			n++
		}
	}
	return n >= q.Slots-1
}

// Load returns the number of tickets that run or wait.
func (q *Queue) Load() int {
	n := len(q.running)
	for c := range q.lines {
		n += q.lines[c].count
	}
	return n
}

// Service returns the mean service time.
func (q *Queue) Service() time.Duration { return q.service }
