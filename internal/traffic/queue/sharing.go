package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// usualPeriod is the time over which the use of an account is averaged. A burst of a few seconds hardly
// raises it.
const usualPeriod = 30 * time.Second

// evenPeriod is the time over which an account may use its share unevenly: that much of it can be used in a row.
const evenPeriod = time.Second

// unknownCost is the assumed slot time of a request before the first one has ended.
const unknownCost = 10 * time.Millisecond

// sharing divides the slots of a queue between client accounts, by start-time fair queueing inside each class
// (Goyal, Vin and Cheng, 1996). An account's weight is what it uses usually, so that accounts with
// their usual demand are served before the excess of another one, whatever their sizes.
type sharing struct {
	slots    int
	accounts map[string]*account
	// virtual is the virtual time of each class in seconds: the start of the request served last.
	virtual [numClasses]float64
	// total is the sum of the use of all accounts as of at.
	total float64
	at    time.Time
}

// account is the state of an account.
type account struct {
	// finish is the virtual time of each class at which what was served is paid for.
	finish [numClasses]float64
	// usual is the mean number of slots in use, over usualPeriod, as of at.
	usual float64
	at    time.Time
}

// share makes the queue share its slots between accounts. The tickets that wait are put in order anew.
func (q *Queue) share() {
	q.sharing = &sharing{slots: q.Slots, accounts: map[string]*account{}}
	before := [][numClasses]classQueue{q.waiting, q.late}
	q.waiting, q.late = [numClasses]classQueue{}, [numClasses]classQueue{}
	for i, into := range []*[numClasses]classQueue{&q.waiting, &q.late} {
		for c := range before[i] {
			for _, t := range before[i][c].removeIf(func(Ticket) bool { return true }) {
				t.Class, t.turn = t.SharedClass, t.Account
				into[t.Class].push(t)
			}
		}
	}
}

// account returns the state of an account. If too many are known, all are forgotten.
func (s *sharing) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		if len(s.accounts) >= maxCallers {
			s.accounts, s.total = map[string]*account{}, 0
		}
		a = &account{finish: s.virtual}
		s.accounts[name] = a
	}
	return a
}

// recordUse adds the slot time of a request to the use of its account.
func (s *sharing) recordUse(now time.Time, name string, took time.Duration) {
	a := s.account(name)
	sample := took.Seconds() / usualPeriod.Seconds()
	a.usual = decayed(a.usual, a.at, now) + sample
	a.at = now
	s.total = decayed(s.total, s.at, now) + sample
	s.at = now
}

// decayed returns what is left at now of a mean over usualPeriod as of at.
func decayed(mean float64, at, now time.Time) float64 {
	if mean == 0 {
		return 0
	}
	return mean * math.Exp(-now.Sub(at).Seconds()/usualPeriod.Seconds())
}

// weight returns the weight of an account: its usual use and, so that a rare one can send several requests in
// a row, the mean use of all accounts.
func (s *sharing) weight(name string) float64 {
	mean := s.total / float64(max(1, len(s.accounts)))
	if mean <= 0 {
		return 1
	}
	a := s.account(name)
	return (decayed(a.usual, a.at, s.at) + mean) / mean
}

// begin records that a ticket will wait; waits tells whether others of its account and class do already. An
// account that has sent less than its share can make up for evenPeriod of it, and not for more.
func (s *sharing) begin(t Ticket, waits bool) {
	if a := s.account(t.Account); !waits {
		a.finish[t.Class] = s.start(t)
	}
}

// start returns the virtual time at which a ticket would start if none of its account and class were waiting.
func (s *sharing) start(t Ticket) float64 {
	// The weights are twice the number of accounts in all. If all were busy, virtual time would pass this fast.
	rate := float64(s.slots) / float64(2*max(1, len(s.accounts)))
	return max(s.account(t.Account).finish[t.Class], s.virtual[t.Class]-evenPeriod.Seconds()*rate)
}

// serve charges an account for a ticket that gets its slot.
func (s *sharing) serve(t Ticket, cost time.Duration) {
	a := s.account(t.Account)
	s.virtual[t.Class] = max(s.virtual[t.Class], a.finish[t.Class])
	a.finish[t.Class] += s.price(t.Account, cost)
}

// price returns how far a request of an account advances its virtual time.
func (s *sharing) price(name string, cost time.Duration) float64 {
	if cost <= 0 {
		cost = unknownCost
	}
	return cost.Seconds() / s.weight(name)
}

// waits reports whether a ticket of the same account and class is waiting.
func (q *Queue) waits(t Ticket) bool {
	return len(q.waiting[t.Class].byCaller[t.turn])+len(q.late[t.Class].byCaller[t.turn]) > 0
}

// sharedWait estimates the wait of a new ticket: behind the classes before its own, and in its class behind
// the requests that come first in virtual time.
func (q *Queue) sharedWait(t Ticket) time.Duration {
	work, ahead := q.meanService, 0
	for c := range t.Class {
		work += q.workOf(&q.waiting[c]) + q.workOf(&q.late[c])
		ahead += q.waiting[c].count + q.late[c].count
	}
	s, own := q.sharing, &q.waiting[t.Class]
	at := s.account(t.Account).finish[t.Class]
	if !q.waits(t) {
		at = s.start(t)
	}
	at += float64(len(own.byCaller[t.turn])) * s.price(t.Account, q.meanService)
	for name, list := range own.byCaller {
		begin := s.account(name).finish[t.Class]
		for _, other := range list {
			if begin > at {
				break
			}
			cost := q.serviceTime(other.Caller)
			work += cost
			ahead++
			begin += s.price(name, cost)
		}
	}
	if ahead == 0 && len(q.running) < q.Slots {
		return 0
	}
	return work / time.Duration(q.Slots)
}

// makeRoom refuses the last ticket of the account that is furthest ahead if the class of a new ticket is full and
// the new one's account is further behind.
func (q *Queue) makeRoom(t Ticket) []Decision {
	cq := &q.waiting[t.Class]
	if q.sharing == nil || cq.count < q.MaxWaiting || t.InTransaction {
		return nil
	}
	end := func(name string) float64 {
		return q.sharing.account(name).finish[t.Class] + float64(len(cq.byCaller[name]))*q.sharing.price(name, q.meanService)
	}
	furthest := slices.MaxFunc(cq.callers, func(a, b string) int { return cmp.Compare(end(a), end(b)) })
	if furthest == t.turn || end(furthest) <= max(end(t.turn), q.sharing.start(t)) {
		return nil
	}
	list := cq.byCaller[furthest]
	last := list[len(list)-1]
	if last.InTransaction {
		return nil
	}
	cq.remove(last.ID)
	return []Decision{{last.ID, fault.QueueFull}}
}

// nextShared removes and returns the ticket that gets the next slot: one of the first class with any. It
// yields to a ticket of a later class that would miss its time otherwise, if none before it does by that.
func (q *Queue) nextShared(now time.Time) (Ticket, bool) {
	first, found := spec.Class(0), false
	for c := range spec.Class(numClasses) {
		if q.waiting[c].count+q.late[c].count == 0 || q.atReservedLimit(now, c) {
			continue
		}
		if !found {
			first, found = c, true
			continue
		}
		if t, due := q.mostDue(c); now.Add(startMargin*q.meanService).After(due) && q.canYield(now, c, q.serviceTime(t.Caller)) {
			first = c
			break
		}
	}
	if !found {
		return Ticket{}, false
	}
	if q.waiting[first].count > 0 {
		return q.popShared(now, first, &q.waiting[first]), true
	}
	return q.popShared(now, first, &q.late[first]), true
}

// popShared removes and returns the ticket of the account that is furthest behind in virtual time: its oldest
// one or, while the class is overloaded, its shortest one.
func (q *Queue) popShared(now time.Time, c spec.Class, cq *classQueue) Ticket {
	name := slices.MinFunc(cq.callers, func(a, b string) int {
		return cmp.Compare(q.sharing.account(a).finish[c], q.sharing.account(b).finish[c])
	})
	if !q.ShortestFirst || !q.overloaded(now, c) {
		return cq.popOf(name)
	}
	shortest := slices.MinFunc(cq.byCaller[name], func(a, b Ticket) int { return cmp.Compare(q.serviceTime(a.Caller), q.serviceTime(b.Caller)) })
	cq.remove(shortest.ID)
	return shortest
}

// mostDue returns the ticket of a class that must get its slot first, and by when.
func (q *Queue) mostDue(c spec.Class) (most Ticket, due time.Time) {
	earliest := func(cq *classQueue, at func(Ticket) time.Time) {
		for _, list := range cq.byCaller {
			for _, t := range list {
				if d := at(t); due.IsZero() || d.Before(due) {
					most, due = t, d
				}
			}
		}
	}
	earliest(&q.waiting[c], func(t Ticket) time.Time { return t.Deadline })
	if q.waiting[c].count == 0 {
		earliest(&q.late[c], q.Latest)
	}
	return most, due
}

// canYield reports whether the tickets of the classes before c are expected to get their slots in half the time that
// they have if a request that takes the given slot time goes first.
func (q *Queue) canYield(now time.Time, c spec.Class, work time.Duration) bool {
	for before := range c {
		if q.waiting[before].count+q.late[before].count == 0 {
			continue
		}
		work += q.workOf(&q.waiting[before]) + q.workOf(&q.late[before])
		t, due := q.mostDue(before)
		if now.Add(work / time.Duration(q.Slots)).After(t.arrivedAt.Add(due.Sub(t.arrivedAt) / 2)) {
			return false
		}
	}
	return true
}
