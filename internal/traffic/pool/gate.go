package pool

import (
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

const (
	// gateAhead is how many statements are sent beyond those that an instance runs at once, so
	// that no slot waits for the way between host and instance.
	gateAhead = 1
	// gateLength bounds each class that waits; what is behind it would not be served in time.
	gateLength = 64
	// transactionWork is the number of statements that a transaction is taken for before its
	// length is known.
	transactionWork = 6
)

// gate orders what one host sends to an instance: urgent statements and those of open
// transactions first, and none that would not be served in time. An instance that is left to
// refuse what it can't take serves by chance, and statements of transactions are refused
// after others of the same transaction took a slot.
type gate struct {
	now func() time.Time

	mu      sync.Mutex
	queue   queue.Queue
	next    uint64
	waiting map[uint64]chan queue.Decision
}

// newGate returns a gate before an instance that runs a number of statements at once.
func newGate(slots int, now func() time.Time) *gate {
	return &gate{
		now: now, queue: queue.Queue{Slots: slots + gateAhead, Length: gateLength}, waiting: map[uint64]chan queue.Decision{},
	}
}

// classOf returns the class of a declared rank: zero and one are urgent.
func classOf(rank int) spec.Class {
	return spec.Class(max(int(spec.Urgent), min(rank-1, int(spec.Report))))
}

// ticket returns what a statement of a rank asks for that must have its slot by a moment.
// One inside a transaction goes first: others have taken slots for it already.
func ticket(rank int, pinned bool, until time.Time) queue.Ticket {
	t := queue.Ticket{Class: classOf(rank), Deadline: until, Pinned: pinned}
	if pinned {
		t.Class = spec.Urgent
	}
	return t
}

// opening returns what the opening of a transaction asks for. It takes no slot, and what follows
// takes many: where statements wait, several single ones are served for each transaction of the
// same rank. Urgent transactions wait with urgent statements.
func opening(rank int, until time.Time) queue.Ticket {
	t := ticket(rank, false, until)
	if t.Class != spec.Urgent {
		t.Class = min(t.Class+1, spec.Report)
		t.Work = transactionWork
	}
	return t
}

// enter waits for a slot. It reports false at once for a statement that would get none in
// time; otherwise leave must be called after the answer.
func (g *gate) enter(t queue.Ticket) (leave func(), ok bool) {
	ch := make(chan queue.Decision, 1)
	g.mu.Lock()
	g.next++
	t.ID = g.next
	g.waiting[t.ID] = ch
	now := g.now()
	g.carry(g.queue.Enter(now, t))
	g.mu.Unlock()
	leave = func() { g.leave(t.ID) }
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
	g := s.guard()
	if g == nil || !takesSlot(op) && !opens(op) {
		return func() {}, true
	}
	leave, ok = g.enter(t)
	if ok && opens(op) {
		leave()
		leave = func() {}
	}
	return leave, ok
}

// crowded is the answer to a request that would not get its slot in time.
func (s *Server) crowded(state flow.State) flow.Answer {
	return flow.Answer{Code: flow.Overloaded, Text: s.Instance, State: state}
}

// leave gives the slot of a ticket, or its place in line, to others.
func (g *gate) leave(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.carry(g.queue.Leave(g.now(), id))
}

// carry passes decisions on. The caller holds mu.
func (g *gate) carry(list []queue.Decision) {
	for _, d := range list {
		if ch, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			ch <- d
		}
	}
}

// opens reports whether a request opens a transaction.
func opens(op flow.Op) bool { return op == flow.BeginReadOnlyTx || op == flow.BeginReadWriteTx }

// takesSlot reports whether a request occupies a slot of the instance.
func takesSlot(op flow.Op) bool {
	return op == flow.Forward || op == flow.ExecPrepared || op == flow.QueryStatus
}
