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
	server *Server
	rank   int
	// deadline is the latest time at which the first request must get a slot and a connection.
	deadline time.Time
	// conn is nil until the first request is admitted.
	conn *Conn
}

var _ Handle = (*queuedHandle)(nil)

// NewHandle returns a handle to the instance; a lower rank goes first. With admission control, the
// first Run waits for an admission slot and a connection until timeout has passed since this call.
// Without it, NewHandle itself waits for a connection as Get does. Errors are those of Get.
func (s *Server) NewHandle(ctx context.Context, timeout time.Duration, rank int) (Handle, error) {
	if s.admissionControl() == nil {
		c, err := s.Get(ctx, timeout, rank)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	now := s.Now()
	if err := s.checkAvailable(now); err != nil {
		return nil, err
	}
	return &queuedHandle{server: s, rank: rank, deadline: now.Add(timeout)}, nil
}

// checkAvailable returns an error if the instance currently can't give a connection.
func (s *Server) checkAvailable(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || s.down:
		return s.unreachableError()
	case s.open == 0 && now.Before(s.connLimitUntil):
		return s.connLimitError()
	}
	return nil
}

// Run implements Handle.
func (h *queuedHandle) Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	if h.conn != nil {
		return h.conn.Run(timeout, values, req, last)
	}
	start := h.server.Now()
	release, ok := h.server.admit(h.firstTicket(req.Op), req.Op)
	if !ok {
		return h.server.overloaded(flow.Idle), flow.Answered, nil
	}
	defer release()
	now := h.server.Now()
	c, err := h.server.Get(context.Background(), h.deadline.Sub(now), h.rank)
	if err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	h.conn = c
	return c.runAdmitted(timeout-h.server.Now().Sub(start), values, req)
}

// firstTicket returns the ticket of the handle's first request.
func (h *queuedHandle) firstTicket(op flow.Op) queue.Ticket {
	if opensTransaction(op) {
		return beginTicket(h.rank, h.deadline)
	}
	return newTicket(h.rank, false, h.deadline)
}

// Release implements Handle.
func (h *queuedHandle) Release() {
	if h.conn != nil {
		h.conn.Release()
	}
}

// Close implements Handle.
func (h *queuedHandle) Close() {
	if h.conn != nil {
		h.conn.Close()
	}
}
