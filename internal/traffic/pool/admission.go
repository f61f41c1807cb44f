package pool

import (
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

const (
	// extraInFlight is how many statements are sent beyond those that an instance runs at once, so
	// that no slot waits for the way between host and instance.
	extraInFlight = 1
	// maxWaitingPerClass bounds each class that waits; what is behind it would not be served in time.
	maxWaitingPerClass = 64
	// assumedTransactionCost is the number of statements that a transaction is taken for before its
	// length is known.
	assumedTransactionCost = 6
)

// admission orders what one host sends to an instance: urgent statements and those of open
// transactions first, and none that would not be served in time. An instance that is left to
// refuse what it can't take serves by chance, and statements of transactions are refused
// after others of the same transaction took a slot.
type admission struct {
	now func() time.Time

	mu      sync.Mutex
	queue   queue.Queue
	lastID  uint64
	waiting map[uint64]chan queue.Decision
}

// newAdmission returns a gate before an instance that runs a number of statements at once.
func newAdmission(slots int, now func() time.Time) *admission {
	return &admission{
		now: now, queue: queue.Queue{Slots: slots + extraInFlight, MaxWaiting: maxWaitingPerClass}, waiting: map[uint64]chan queue.Decision{},
	}
}

// classForRank returns the class of a declared rank: zero and one are urgent.
func classForRank(rank int) spec.Class {
	return spec.Class(max(int(spec.Urgent), min(rank-1, int(spec.Report))))
}

// newTicket returns what a statement of a rank asks for that must have its slot by a moment.
// One inside a transaction goes first: others have taken slots for it already.
func newTicket(rank int, pinned bool, until time.Time) queue.Ticket {
	t := queue.Ticket{Class: classForRank(rank), Deadline: until, InTransaction: pinned}
	if pinned {
		t.Class = spec.Urgent
	}
	return t
}

// beginTicket returns what the opening of a transaction asks for. It takes no slot, and what follows
// takes many: where statements wait, several single ones are served for each transaction of the
// same rank. Urgent transactions wait with urgent statements.
func beginTicket(rank int, until time.Time) queue.Ticket {
	t := newTicket(rank, false, until)
	if t.Class != spec.Urgent {
		t.Class = min(t.Class+1, spec.Report)
		t.Cost = assumedTransactionCost
	}
	return t
}

// acquire waits for a slot. It reports false at once for a statement that would get none in
// time; otherwise leave must be called after the answer.
func (g *admission) acquire(t queue.Ticket) (leave func(), ok bool) {
	ch := make(chan queue.Decision, 1)
	g.mu.Lock()
	g.lastID++
	t.ID = g.lastID
	g.waiting[t.ID] = ch
	now := g.now()
	g.deliver(g.queue.Enqueue(now, t))
	g.mu.Unlock()
	leave = func() { g.release(t.ID) }
	timer := time.NewTimer(t.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case d := <-ch:
		return leave, d.Reason == ""
	case <-timer.C:
		leave()
		return nil, false
	}
}

// admit waits until a request may be sent, where this host orders what it sends to the instance.
// It reports false where that would be too late; else leave must be called after the answer.
func (s *Server) admit(t queue.Ticket, op flow.Op) (leave func(), ok bool) {
	g := s.admissionControl()
	if g == nil || !takesSlot(op) && !opensTransaction(op) {
		return func() {}, true
	}
	leave, ok = g.acquire(t)
	if ok && opensTransaction(op) {
		leave()
		leave = func() {}
	}
	return leave, ok
}

// overloaded is the answer to a request that would not get its slot in time.
func (s *Server) overloaded(state flow.State) flow.Answer {
	return flow.Answer{Code: flow.Crowded, Text: s.Instance, State: state}
}

// release gives the slot of a ticket, or its place in line, to others.
func (g *admission) release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.deliver(g.queue.Release(g.now(), id))
}

// deliver passes decisions on. The caller holds mu.
func (g *admission) deliver(list []queue.Decision) {
	for _, d := range list {
		if ch, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			ch <- d
		}
	}
}

// opensTransaction reports whether a request opens a transaction.
func opensTransaction(op flow.Op) bool { return op == flow.OpenRead || op == flow.OpenWrite }

// takesSlot reports whether a request occupies a slot of the instance.
func takesSlot(op flow.Op) bool { return op == flow.Forward || op == flow.Run || op == flow.Status }
