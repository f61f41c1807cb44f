package pool

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

// queuedHandle is the use of a connection to an instance whose statements this host orders. It takes
// its connection only with its place at the instance: statements that wait in line hold none, so
// that an instance's few connections go to what it runs and to open transactions.
type queuedHandle struct {
	s        *Server
	rank     int
	deadline time.Time
	conn     *Conn
}

var _ Handle = (*queuedHandle)(nil)

// NewHandle opens the use of a connection that waits for its place and its connection until limit
// has passed; a lower rank goes first.
func (s *Server) NewHandle(ctx context.Context, limit time.Duration, rank int) (Handle, error) {
	if s.admissionControl() == nil {
		c, err := s.Get(ctx, limit, rank)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	now := s.Now()
	if err := s.checkAvailable(now); err != nil {
		return nil, err
	}
	return &queuedHandle{s: s, rank: rank, deadline: now.Add(limit)}, nil
}

// checkAvailable returns why no connection can be had now.
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

// Run implements Unit.
func (t *queuedHandle) Run(limit time.Duration, values flow.Values, q flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	if t.conn != nil {
		return t.conn.Run(limit, values, q, last)
	}
	began := t.s.Now()
	leave, ok := t.s.admit(t.firstTicket(q.Op), q.Op)
	if !ok {
		return t.s.overloaded(flow.Idle), flow.Answered, nil
	}
	defer leave()
	now := t.s.Now()
	c, err := t.s.Get(context.Background(), t.deadline.Sub(now), t.rank)
	if err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	t.conn = c
	return c.runAdmitted(limit-t.s.Now().Sub(began), values, q)
}

// firstTicket returns what the first request of the use asks for.
func (t *queuedHandle) firstTicket(op flow.Op) queue.Ticket {
	if opensTransaction(op) {
		return beginTicket(t.rank, t.deadline)
	}
	return newTicket(t.rank, false, t.deadline)
}

// Release implements Unit.
func (t *queuedHandle) Release() {
	if t.conn != nil {
		t.conn.Release()
	}
}

// Close implements Unit.
func (t *queuedHandle) Close() {
	if t.conn != nil {
		t.conn.Close()
	}
}
