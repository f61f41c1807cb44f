package pool

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

// turn is the use of a connection to an instance whose statements this host orders. It takes
// its connection only with its place at the instance: statements that wait in line hold none, so
// that an instance's few connections go to what it runs and to open transactions.
type turn struct {
	s     *Server
	rank  int
	until time.Time
	conn  *Conn
}

var _ Unit = (*turn)(nil)

// Unit opens the use of a connection that waits for its place and its connection until limit
// has passed; a lower rank goes first.
func (s *Server) Unit(ctx context.Context, limit time.Duration, rank int) (Unit, error) {
	if s.guard() == nil {
		c, err := s.Get(ctx, limit, rank)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	now := s.Now()
	if err := s.usable(now); err != nil {
		return nil, err
	}
	return &turn{s: s, rank: rank, until: now.Add(limit)}, nil
}

// usable returns why no connection can be had now.
func (s *Server) usable(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || s.down:
		return s.unreachable()
	case s.open == 0 && now.Before(s.full):
		return s.noRoom()
	}
	return nil
}

// Run implements Unit.
func (t *turn) Run(limit time.Duration, values flow.Values, q flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	if t.conn != nil {
		return t.conn.Run(limit, values, q, last)
	}
	began := t.s.Now()
	leave, ok := t.s.admit(t.ticket(q.Op), q.Op)
	if !ok {
		return t.s.crowded(flow.Idle), flow.Answered, nil
	}
	defer leave()
	now := t.s.Now()
	c, err := t.s.Get(context.Background(), t.until.Sub(now), t.rank)
	if err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	t.conn = c
	return c.run(limit-t.s.Now().Sub(began), values, q)
}

// ticket returns what the first request of the use asks for.
func (t *turn) ticket(op flow.Op) queue.Ticket {
	if opens(op) {
		return opening(t.rank, t.until)
	}
	return ticket(t.rank, false, t.until)
}

// Release implements Unit.
func (t *turn) Release() {
	if t.conn != nil {
		t.conn.Release()
	}
}

// Close implements Unit.
func (t *turn) Close() {
	if t.conn != nil {
		t.conn.Close()
	}
}
