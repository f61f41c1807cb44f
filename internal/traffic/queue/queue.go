// Package queue provides the order in which requests get the slots of a backend server: by
// class, fair between callers, and refused at once when they cannot be served in time.
package queue

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// numClasses is the number of classes.
const numClasses = 4

// Ticket is a request that waits for a slot.
type Ticket struct {
	ID       uint64
	Class    spec.Class
	Caller   string
	Deadline time.Time
	// InTransaction is set for a request inside a transaction: it holds a connection already.
	InTransaction bool
	// Cost is the number of requests that follow from this one, itself included; zero stands
	// for one. A class pays for all of them.
	Cost int
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
	// MaxWaiting is the number of tickets that wait in one class at most.
	MaxWaiting int
	// ReservePeriod is for how long after an urgent request one slot is kept from browsing and
	// reports.
	ReservePeriod time.Duration

	waiting     [numClasses]classQueue
	pass        [numClasses]int
	running     map[uint64]runningRequest
	meanService time.Duration
	lastUrgent  time.Time
}

type runningRequest struct {
	at    time.Time
	class spec.Class
}

// stride is what a class pays for a slot: reports pay most. Urgent requests pay nothing and
// go first. (Waldspurger and Weihl, "Stride scheduling", 1995.)
var stride = [numClasses]int{0, 1, 2, 4}

// smoothingDivisor is the weight of the past in the mean service time.
const smoothingDivisor = 8

// Enqueue adds a ticket and returns what follows.
func (q *Queue) Enqueue(now time.Time, t Ticket) []Decision {
	if q.running == nil {
		q.running = map[uint64]runningRequest{}
	}
	if t.Class == spec.Urgent {
		q.lastUrgent = now
	}
	if reason := q.refusal(now, t); reason != "" {
		return []Decision{{t.ID, reason}}
	}
	l := &q.waiting[t.Class]
	if l.count == 0 {
		q.pass[t.Class] = max(q.pass[t.Class], q.minPass())
	}
	l.push(t)
	return q.dispatch(now, nil)
}

// refusal returns why a ticket cannot be served.
func (q *Queue) refusal(now time.Time, t Ticket) fault.Reason {
	if t.InTransaction {
		return ""
	}
	if q.waiting[t.Class].count >= q.MaxWaiting {
		return fault.QueueFull
	}
	if now.Add(q.expectedWait(t.Class)).After(t.Deadline) {
		return fault.Deadline
	}
	return ""
}

// expectedWait returns how long a new ticket of a class waits by the mean service time.
func (q *Queue) expectedWait(c spec.Class) time.Duration {
	ahead := 0
	for i := range spec.Class(numClasses) {
		if i <= c {
			ahead += q.waiting[i].count
		}
	}
	if ahead == 0 && len(q.running) < q.Slots {
		return 0
	}
	return time.Duration(ahead+1) * q.meanService / time.Duration(q.Slots)
}

// minPass returns the least pass of the classes that have tickets.
func (q *Queue) minPass() int {
	least, found := 0, false
	for c := range q.waiting {
		if q.waiting[c].count > 0 && (!found || q.pass[c] < least) {
			least = q.pass[c]
			found = true
		}
	}
	return least
}

// Release returns the slot of a ticket, or takes it out of its line, and returns what follows.
func (q *Queue) Release(now time.Time, id uint64) []Decision {
	if s, ok := q.running[id]; ok {
		delete(q.running, id)
		q.recordServiceTime(now.Sub(s.at))
	} else {
		for c := range q.waiting {
			q.waiting[c].remove(id)
		}
	}
	return q.dispatch(now, nil)
}

func (q *Queue) recordServiceTime(took time.Duration) {
	if q.meanService == 0 {
		q.meanService = took
		return
	}
	q.meanService += (took - q.meanService) / smoothingDivisor
}

// Expire refuses the tickets whose deadline has passed and returns what follows.
func (q *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for c := range q.waiting {
		for _, t := range q.waiting[c].removeExpired(now) {
			out = append(out, Decision{t.ID, fault.Deadline})
		}
	}
	return q.dispatch(now, out)
}

// dispatch gives free slots to the tickets that are next.
func (q *Queue) dispatch(now time.Time, out []Decision) []Decision {
	for len(q.running) < q.Slots {
		c, ok := q.nextClass(now)
		if !ok {
			return out
		}
		t := q.waiting[c].pop()
		q.pass[c] += stride[c] * max(1, t.Cost)
		q.running[t.ID] = runningRequest{now, c}
		out = append(out, Decision{ID: t.ID})
	}
	return out
}

// nextClass returns the class whose turn it is.
func (q *Queue) nextClass(now time.Time) (spec.Class, bool) {
	if q.waiting[spec.Urgent].count > 0 {
		return spec.Urgent, true
	}
	var best spec.Class
	found := false
	for c := spec.Normal; c < numClasses; c++ {
		if q.waiting[c].count == 0 || q.atReservedLimit(now, c) {
			continue
		}
		if !found || q.pass[c] < q.pass[best] {
			best = c
			found = true
		}
	}
	return best, found
}

// atReservedLimit reports whether a class of browsing or reports has all slots that it may have: one
// is kept free while urgent requests keep coming.
func (q *Queue) atReservedLimit(now time.Time, c spec.Class) bool {
	if c < spec.Browse || q.Slots < 2 || q.lastUrgent.IsZero() || now.Sub(q.lastUrgent) > q.ReservePeriod {
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
	for c := range q.waiting {
		n += q.waiting[c].count
	}
	return n
}

// MeanServiceTime returns the mean service time.
func (q *Queue) MeanServiceTime() time.Duration { return q.meanService }
