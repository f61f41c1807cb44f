package pool

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

// queuedHandle is a handle to an instance with admission control. It gets its connection only when
// its first request is admitted. Waiting statements thus hold no connection, and the instance's few
// connections serve running statements and open transactions.
type queuedHandle struct {
	pool *Pool
	prio Priority
	// deadline is the latest time at which the first request must get a slot and a connection.
	deadline time.Time
	// conn is nil until the first request is admitted.
	conn *Conn
	// freeSlot gives back the admission slot of the last request, after its connection; nil if none is
	// held. The next statement would open a connection of its own if it got the slot first.
	freeSlot func()
}

var _ Handle = (*queuedHandle)(nil)

// NewHandle returns a handle to the instance; a lower rank goes first. With admission control, the
// first Run waits for an admission slot and a connection until waitLimit has passed since this call.
// Without it, NewHandle itself waits for a connection as Get does. Errors are those of Get.
func (p *Pool) NewHandle(ctx context.Context, waitLimit time.Duration, prio Priority) (Handle, error) {
	if p.admissionControl() == nil {
		c, err := p.Get(ctx, waitLimit, prio)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	now := p.Now()
	if err := p.checkAvailable(now); err != nil {
		return nil, err
	}
	return &queuedHandle{pool: p, prio: prio, deadline: now.Add(waitLimit)}, nil
}

// checkAvailable returns an error if the instance currently can't give a connection.
func (p *Pool) checkAvailable(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.down || p.suspended.Load():
		return p.unreachableError()
	case p.open == 0 && now.Before(p.connLimitUntil):
		return p.connLimitError()
	}
	return nil
}

// Run implements Handle.
func (h *queuedHandle) Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	if h.conn != nil {
		return h.conn.Run(timeout, values, req, last)
	}
	if a, withheld := h.pool.withhold(); withheld {
		return a, flow.Answered, nil
	}
	start := h.pool.Now()
	limit := start.Add(timeout)
	release, ok := h.pool.admit(h.firstTicket(req.Op, limit), req.Op)
	if !ok {
		return h.pool.overloaded(flow.Idle), flow.Answered, nil
	}
	if last {
		h.freeSlot = release
	} else {
		defer release()
	}
	now := h.pool.Now()
	deadline := h.deadline
	if h.prio.MayBeLate && deadline.Before(limit) {
		deadline = limit
	}
	c, err := h.pool.Get(context.Background(), deadline.Sub(now), h.prio)
	if err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	h.conn = c
	return c.runAdmitted(timeout-h.pool.Now().Sub(start), values, req, last)
}

// firstTicket returns the ticket of the handle's first request, which must be answered by limit.
func (h *queuedHandle) firstTicket(op flow.Op, limit time.Time) queue.Ticket {
	t := newTicket(h.prio, false, h.deadline)
	if opensTransaction(op) {
		t = beginTicket(h.prio, h.deadline)
	}
	if h.prio.MayBeLate {
		t.Limit = limit
	}
	return t
}

// Release implements Handle.
func (h *queuedHandle) Release() {
	if h.conn != nil {
		h.conn.Release()
	}
	h.releaseSlot()
}

// Close implements Handle.
func (h *queuedHandle) Close() {
	if h.conn != nil {
		h.conn.Close()
	}
	h.releaseSlot()
}

func (h *queuedHandle) releaseSlot() {
	if h.freeSlot != nil {
		h.freeSlot()
		h.freeSlot = nil
	}
}
