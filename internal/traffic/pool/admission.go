package pool

import (
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

const (
	// extraInFlight is how many statements are sent to an instance in addition to those that it
	// runs at once, so that no slot is idle during a network round trip.
	extraInFlight = 1
	// maxWaitingPerClass is the maximum number of waiting statements in each class. Statements
	// further back would not be served in time.
	maxWaitingPerClass = 64
	// assumedTransactionCost is the assumed number of statements in a transaction, whose length
	// isn't known when it begins.
	assumedTransactionCost = 6
)

// admission is the admission queue for the statements that one host sends to an instance. Urgent
// statements and those of open transactions go first; statements that would not be served in time
// are refused. If the instance had to refuse them instead, it would pick at random, and would
// refuse statements of transactions that have already used slots.
type admission struct {
	now func() time.Time

	mu     sync.Mutex
	queue  queue.Queue
	lastID uint64
	// waiting maps the ID of each undecided ticket to the channel that gets its decision.
	waiting map[uint64]chan queue.Decision
}

// newAdmission returns an admission queue for an instance that runs the given number of statements
// at once.
func newAdmission(slots int, now func() time.Time) *admission {
	return &admission{
		now: now, queue: queue.Queue{Slots: slots + extraInFlight, MaxWaiting: maxWaitingPerClass, ShortestFirst: true}, waiting: map[uint64]chan queue.Decision{},
	}
}

// classForRank returns the class of a rank: ranks up to one are urgent.
func classForRank(rank int) spec.Class {
	return sharedClassForRank(rank - 1)
}

// sharedClassForRank returns the class of a rank where slots are shared between accounts: each of the first
// ranks has its own.
func sharedClassForRank(rank int) spec.Class {
	return spec.Class(max(int(spec.Urgent), min(rank, int(spec.Report))))
}

// newTicket returns the ticket of a statement that needs a slot before the deadline. Statements
// inside a transaction are urgent, since the transaction has already used slots.
func newTicket(prio Priority, inTransaction bool, deadline time.Time) queue.Ticket {
	t := queue.Ticket{
		Class: classForRank(prio.Rank), SharedClass: sharedClassForRank(prio.Rank), Caller: prio.Database, Account: prio.Account, Deadline: deadline,
		InTransaction: inTransaction,
	}
	if inTransaction {
		t.Class, t.SharedClass = spec.Urgent, spec.Urgent
	}
	return t
}

// beginTicket returns the ticket for opening a transaction. Opening takes no slot itself, but the
// statements that follow do. A transaction therefore gets the next lower class and a higher cost:
// under load, several single statements are served for each transaction of the same rank. Urgent
// transactions stay in the urgent class at normal cost. Where slots are shared between accounts, a transaction is
// opened in the class of its rank.
func beginTicket(prio Priority, deadline time.Time) queue.Ticket {
	t := newTicket(prio, false, deadline)
	t.Opens = true
	if t.Class != spec.Urgent {
		t.Class = min(t.Class+1, spec.Report)
		t.Cost = assumedTransactionCost
	}
	return t
}

// acquire waits for a slot until the ticket's deadline or, if it may be late, as long as it can still have its
// answer within its limit. If the queue refuses the ticket, it returns the reason at once. Otherwise release must
// be called after the answer; late is set if the ticket's deadline has passed.
func (a *admission) acquire(t queue.Ticket) (release func(), late bool, refusal fault.Reason) {
	ch := make(chan queue.Decision, 1)
	a.mu.Lock()
	a.lastID++
	t.ID = a.lastID
	a.waiting[t.ID] = ch
	now := a.now()
	a.deliver(a.queue.Enqueue(now, t))
	release = func() { a.release(t.ID) }
	latest := a.queue.Latest(t)
	a.mu.Unlock()
	timer := time.NewTimer(latest.Sub(now))
	defer timer.Stop()
	select {
	case d := <-ch:
		return release, a.now().After(t.Deadline), d.Reason
	case <-timer.C:
		release()
		return nil, false, fault.Deadline
	}
}

// admit waits for the admission of a request if admission control is enabled and the operation
// needs it. It returns false if the request gets no slot in time. If ok, release must be called
// after the answer. Opening a transaction waits for a slot but gives it back at once, so release
// then does nothing.
func (p *Pool) admit(t queue.Ticket, op flow.Op) (release func(), ok bool) {
	a := p.admissionControl()
	if a == nil || !takesSlot(op) && !opensTransaction(op) {
		return func() {}, true
	}
	release, late, refusal := a.acquire(t)
	if refusal != "" {
		p.Meter.AddCounter("slots.refused."+string(refusal), 1)
		return nil, false
	}
	if late {
		p.Meter.AddCounter("slots.late", 1)
	}
	if opensTransaction(op) {
		release()
		release = func() {}
	}
	return release, true
}

// overloaded returns the answer to a request that got no slot in time and was not sent.
func (p *Pool) overloaded(state flow.State) flow.Answer {
	return flow.Answer{Code: flow.Overloaded, Text: p.Instance, State: state}
}

// release frees the slot of a ticket, or removes the ticket from the queue.
func (a *admission) release(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	a.deliver(a.queue.Release(a.now(), id))
}

// deliver sends decisions to the waiting goroutines. The caller holds mu.
func (a *admission) deliver(list []queue.Decision) {
	for _, d := range list {
		if ch, ok := a.waiting[d.ID]; ok {
			delete(a.waiting, d.ID)
			ch <- d
		}
	}
}

// opensTransaction reports whether a request opens a transaction.
func opensTransaction(op flow.Op) bool {
	return op == flow.BeginReadOnlyTx || op == flow.BeginReadWriteTx
}

// takesSlot reports whether a request occupies one of the instance's slots.
func takesSlot(op flow.Op) bool {
	return op == flow.Forward || op == flow.ExecPrepared || op == flow.QueryStatus
}
