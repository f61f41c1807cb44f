package queue

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
)

// startMargin is how many mean service times before its limit a late request must start. Service
// times vary, and a request that does not end within its limit has used a slot for nothing.
const startMargin = 2

// spare is, for each class, the moving mean of the share of slots that got free while no ticket was waiting that goes
// before the late ones of the class.
type spare struct {
	share [numClasses]float64
	// known is set after the first slot.
	known bool
}

// observeSpare records for whom a slot that has got free is.
func (q *Queue) observeSpare() {
	before := 0
	if q.sharing == nil {
		for c := range q.waiting {
			before += q.waiting[c].count
		}
	}
	for c := range q.waiting {
		if q.sharing != nil {
			before += q.waiting[c].count
		}
		sample := 0.0
		if before == 0 {
			sample = 1
		}
		if q.sharing != nil {
			before += q.late[c].count
		}
		if !q.spare.known {
			q.spare.share[c] = sample
		}
		q.spare.share[c] += (sample - q.spare.share[c]) / smoothingDivisor
	}
	q.spare.known = true
}

// Latest returns the latest time at which a ticket may get its slot, by what is known of the service time of
// its caller.
func (q *Queue) Latest(t Ticket) time.Time {
	if latest := t.Limit.Add(-startMargin * q.serviceTime(t.Caller)); !t.Limit.IsZero() && latest.After(t.Deadline) {
		return latest
	}
	return t.Deadline
}

// demote moves the tickets whose deadline has passed to the late ones, and refuses those that will not be
// served within their limit.
func (q *Queue) demote(now time.Time, out []Decision) []Decision {
	for c := range q.waiting {
		refuse := func(t Ticket) { out = append(out, Decision{t.ID, fault.Deadline}) }
		if q.late[c].count > 0 {
			for _, t := range q.late[c].removeIf(func(t Ticket) bool { return now.After(q.Latest(t)) }) {
				refuse(t)
			}
		}
		if q.waiting[c].count == 0 {
			continue
		}
		for _, t := range q.waiting[c].removeIf(func(t Ticket) bool { return !t.Limit.IsZero() && now.After(t.Deadline) }) {
			if q.servesLate(now, t) {
				q.push(&q.late[c], t)
			} else {
				refuse(t)
			}
		}
	}
	return out
}

// servesLate reports whether a ticket that can't be in time will be served within its limit, in the slots
// that requests in time leave.
func (q *Queue) servesLate(now time.Time, t Ticket) bool {
	if t.Limit.IsZero() || q.late[t.Class].count >= q.MaxWaiting {
		return false
	}
	left := q.Latest(t).Sub(now)
	if left <= 0 {
		return false
	}
	if !q.spare.known {
		return true
	}
	work := q.serviceTime(t.Caller)
	for c := range t.Class + 1 {
		work += q.workOf(&q.late[c])
	}
	return work.Seconds() <= left.Seconds()*float64(q.Slots)*q.spare.share[t.Class]
}

// workOf returns the slot time that the tickets of a list are expected to take.
func (q *Queue) workOf(cq *classQueue) time.Duration {
	var work time.Duration
	for _, list := range cq.byCaller {
		for _, t := range list {
			work += q.serviceTime(t.Caller)
		}
	}
	return work
}
