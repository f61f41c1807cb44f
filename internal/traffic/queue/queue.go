// Package queue schedules the slots of a backend server: by class, fair between the callers or the
// client accounts of a class, and with early refusal of requests that cannot be served before their
// deadline. Requests that may be late get the slots that the others leave.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// numClasses is the number of values of spec.Class.
const numClasses = 4

// Ticket is a request for a slot.
type Ticket struct {
	// ID identifies the ticket in a queue.
	ID    uint64
	Class spec.Class
	// Caller is the caller account; callers of a class are served round robin.
	Caller string
	// Account is the client account, or "" if the request has none. The first ticket with an account makes the
	// queue share its slots between accounts; see sharing.
	Account string
	// SharedClass replaces Class in a queue that shares its slots between accounts.
	SharedClass spec.Class
	// Deadline is the time by which the request must get its slot to be in time. If Limit is zero, it is
	// refused after that.
	Deadline time.Time
	// Limit is the time by which the request must have its answer, though late. It is zero if it must not be
	// late.
	Limit time.Time
	// InTransaction is set for a request inside an open transaction. It is never refused on
	// arrival, since the transaction already holds a connection.
	InTransaction bool
	// Opens is set for the opening of a transaction, which gives its slot back at once. In a queue that shares its
	// slots, it is no sample of a service time.
	Opens bool
	// arrivedAt is when the ticket was enqueued.
	arrivedAt time.Time
	// turn names who takes turns: the caller or, in a queue that shares its slots, the account.
	turn string
	// Cost is the expected number of requests including this one, for instance of a whole
	// transaction; zero counts as one. The class is charged for all of them.
	Cost int
}

// Decision grants a ticket its slot if Reason is empty, and refuses it otherwise.
type Decision struct {
	ID     uint64
	Reason fault.Reason
}

// Queue assigns the slots of one backend server. The exported fields are set before the first
// call. It is not safe for concurrent use.
type Queue struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// MaxWaiting is the maximum number of waiting tickets in each class.
	MaxWaiting int
	// ReservePeriod is how long after an urgent request one slot stays reserved: the Browse and
	// Report classes can't use it.
	ReservePeriod time.Duration
	// ShortestFirst serves callers in order of arrival, and the caller with the shortest service time
	// first while a class is overloaded. Without it callers take turns.
	ShortestFirst bool

	// waiting holds the tickets that can be in time, late those that can't be any more.
	waiting, late [numClasses]classQueue
	// spare is the share of the slots that the others leave to the late tickets of each class.
	spare spare
	// sharing is nil before the first ticket with an account.
	sharing *sharing
	// pass is the stride scheduling pass of each class; the class with the lowest is next.
	pass        [numClasses]int
	running     map[uint64]runningRequest
	meanService time.Duration
	// callerService is the moving mean of the service time by caller, if ShortestFirst is set.
	callerService map[string]time.Duration
	lastUrgent    time.Time
}

// runningRequest is a request that occupies a slot.
type runningRequest struct {
	startedAt time.Time
	class     spec.Class
	caller    string
	account   string
	opens     bool
	// single is set for a request outside of a transaction.
	single bool
}

// stride is how far the pass of a class advances for each slot; a higher stride gives a smaller
// share. Urgent requests don't advance and go first. (Waldspurger and Weihl, "Stride
// scheduling", 1995.)
var stride = [numClasses]int{0, 1, 2, 4}

// smoothingDivisor is the divisor of the moving mean of the service time: a new sample has a
// weight of 1/8.
const smoothingDivisor = 8

// Enqueue adds a ticket, or refuses it, and returns the resulting decisions.
func (q *Queue) Enqueue(now time.Time, t Ticket) []Decision {
	if q.running == nil {
		q.running = map[uint64]runningRequest{}
	}
	if t.Account != "" && q.sharing == nil {
		q.share()
	}
	t.turn = t.Caller
	if q.sharing != nil {
		t.Class, t.turn = t.SharedClass, t.Account
	}
	if t.Class == spec.Urgent {
		q.lastUrgent = now
	}
	t.arrivedAt = now
	out := q.makeRoom(t)
	reason := q.refusal(now, t)
	switch {
	case reason == "":
		q.push(&q.waiting[t.Class], t)
	case q.servesLate(now, t):
		q.push(&q.late[t.Class], t)
	default:
		return append(out, Decision{t.ID, reason})
	}
	return q.dispatch(now, out)
}

// push adds a ticket to a list of its class.
func (q *Queue) push(cq *classQueue, t Ticket) {
	if cq.count == 0 {
		q.pass[t.Class] = max(q.pass[t.Class], q.minPass())
	}
	if q.sharing != nil {
		q.sharing.begin(t, q.waits(t))
	}
	cq.push(t)
}

// overloadDivisor divides the time that the oldest ticket of a class may wait in all; the class is
// overloaded once the ticket has waited for longer than the result.
const overloadDivisor = 4

// overloaded reports whether the requests of a class wait long enough that some of them will not be
// served in time. Shortest first then serves the largest number of requests; the others wait until
// the load falls or their deadline passes. Urgent requests are always served in order.
func (q *Queue) overloaded(now time.Time, c spec.Class) bool {
	if c == spec.Urgent || q.waiting[c].count == 0 {
		return false
	}
	oldest := q.waiting[c].oldest()
	return now.Sub(oldest.arrivedAt) > oldest.Deadline.Sub(oldest.arrivedAt)/overloadDivisor
}

// refusal returns the reason to refuse a new ticket, or "" to accept it.
func (q *Queue) refusal(now time.Time, t Ticket) fault.Reason {
	if t.InTransaction {
		return ""
	}
	if q.waiting[t.Class].count >= q.MaxWaiting {
		return fault.QueueFull
	}
	if now.Add(q.expectedWait(now, t)).After(t.Deadline) {
		return fault.Deadline
	}
	return ""
}

// expectedWait estimates the queue wait of a new ticket from the service times of those ahead of it.
func (q *Queue) expectedWait(now time.Time, t Ticket) time.Duration {
	if q.sharing != nil {
		return q.sharedWait(t)
	}
	ahead, work := 0, q.meanService
	for c := range spec.Class(numClasses) {
		if c > t.Class {
			break
		}
		overtakes := c == t.Class && q.ShortestFirst && q.overloaded(now, c)
		for caller, list := range q.waiting[c].byCaller {
			if overtakes && q.serviceTime(caller) > q.serviceTime(t.Caller) {
				continue
			}
			ahead += len(list)
			work += time.Duration(len(list)) * q.serviceTime(caller)
		}
	}
	if ahead == 0 && len(q.running) < q.Slots {
		return 0
	}
	return work / time.Duration(q.Slots)
}

// serviceTime returns the mean service time of a caller's requests, or of all requests if it is not
// known.
func (q *Queue) serviceTime(caller string) time.Duration {
	if d, ok := q.callerService[caller]; ok {
		return d
	}
	return q.meanService
}

// minPass returns the lowest pass of the classes with waiting tickets, or zero if there are none.
func (q *Queue) minPass() int {
	lowest, found := 0, false
	for c := range q.waiting {
		if q.waiting[c].count > 0 && (!found || q.pass[c] < lowest) {
			lowest = q.pass[c]
			found = true
		}
	}
	return lowest
}

// Release frees the slot of a running ticket, or removes a waiting one, and returns the resulting
// decisions.
func (q *Queue) Release(now time.Time, id uint64) []Decision {
	if r, ok := q.running[id]; ok {
		delete(q.running, id)
		if !r.opens || q.sharing == nil {
			q.observeSpare()
			q.recordServiceTime(now, r)
		}
	} else {
		for c := range q.waiting {
			q.waiting[c].remove(id)
			q.late[c].remove(id)
		}
	}
	return q.dispatch(now, nil)
}

// recordServiceTime adds a sample to the mean service times.
func (q *Queue) recordServiceTime(now time.Time, r runningRequest) {
	took := now.Sub(r.startedAt)
	q.meanService = smoothed(q.meanService, took)
	if q.sharing != nil {
		q.sharing.recordUse(now, r.account, took)
	}
	if !q.ShortestFirst || !r.single {
		return
	}
	if q.callerService == nil || len(q.callerService) >= maxCallers {
		q.callerService = map[string]time.Duration{}
	}
	q.callerService[r.caller] = smoothed(q.callerService[r.caller], took)
}

// maxCallers is the maximum number of callers whose service times are kept; beyond it they are
// measured anew.
const maxCallers = 1024

// smoothed returns the moving mean after a sample; a mean of zero has no samples yet.
func smoothed(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/smoothingDivisor
}

// Expire refuses the tickets whose deadline has passed and returns the resulting decisions.
func (q *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for c := range q.waiting {
		for _, t := range q.waiting[c].removeIf(func(t Ticket) bool { return t.Limit.IsZero() && !now.Before(t.Deadline) }) {
			out = append(out, Decision{t.ID, fault.Deadline})
		}
	}
	return q.dispatch(now, out)
}

// dispatch gives free slots to waiting tickets and appends the decisions to out.
func (q *Queue) dispatch(now time.Time, out []Decision) []Decision {
	out = q.demote(now, out)
	for len(q.running) < q.Slots {
		t, ok := q.next(now)
		if !ok {
			return out
		}
		if q.sharing != nil {
			q.sharing.serve(t, q.serviceTime(t.Caller))
		}
		q.running[t.ID] = runningRequest{
			startedAt: now, class: t.Class, caller: t.Caller, account: t.Account, opens: t.Opens, single: !t.InTransaction && t.Cost == 0,
		}
		out = append(out, Decision{ID: t.ID})
	}
	return out
}

// next removes and returns the ticket that gets the next slot. It reports false if no ticket can use one.
func (q *Queue) next(now time.Time) (Ticket, bool) {
	if q.sharing != nil {
		return q.nextShared(now)
	}
	if c, ok := q.nextClass(now); ok {
		t := q.nextOf(now, c)
		q.pass[c] += stride[c] * max(1, t.Cost)
		return t, true
	}
	for c := range spec.Class(numClasses) {
		if q.late[c].count > 0 && !q.atReservedLimit(now, c) {
			return q.late[c].popOldest(), true
		}
	}
	return Ticket{}, false
}

// nextOf removes and returns the ticket in time of a class that gets the next slot.
func (q *Queue) nextOf(now time.Time, c spec.Class) Ticket {
	cq := &q.waiting[c]
	switch {
	case !q.ShortestFirst:
		return cq.pop()
	case !q.overloaded(now, c):
		return cq.popOldest()
	}
	return cq.popOf(slices.MinFunc(cq.callers, func(a, b string) int { return cmp.Compare(q.serviceTime(a), q.serviceTime(b)) }))
}

// nextClass returns the class that gets the next slot, and false if no class can use one.
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

// atReservedLimit reports whether Browse and Report requests occupy all slots but the one that is
// reserved for urgent requests. It is false for the other classes, and if the last urgent request
// arrived more than ReservePeriod ago.
func (q *Queue) atReservedLimit(now time.Time, c spec.Class) bool {
	if c < spec.Browse || q.Slots < 2 || q.lastUrgent.IsZero() || now.Sub(q.lastUrgent) > q.ReservePeriod {
		return false
	}
	n := 0
	for _, r := range q.running {
		if r.class >= spec.Browse {
			n++
		}
	}
	return n >= q.Slots-1
}

// Load returns the number of running and waiting tickets.
func (q *Queue) Load() int {
	n := len(q.running)
	for c := range q.waiting {
		n += q.waiting[c].count + q.late[c].count
	}
	return n
}

// MeanServiceTime returns the moving mean of the time that a request occupies a slot; zero before
// the first request ends.
func (q *Queue) MeanServiceTime() time.Duration { return q.meanService }
