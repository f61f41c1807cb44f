package holder

import (
	"bufio"
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/traffic/probe"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
)

const (
	// queueLength is the number of requests of one class that wait for a server at most.
	queueLength = 1024
	// urgentReserve is for how long after an urgent request a slot is kept free.
	urgentReserve = time.Second
)

// server is a backend server of a pool. Its fields are guarded by the pool's mutex.
type server struct {
	pool     *pool
	name     string
	addr     string
	instance string
	near     bool
	adapter  adapt.Server
	probe    *probe.Probe
	cancel   context.CancelFunc
	leaving  bool
	settling bool
	ordered  time.Time
	admitted time.Time

	queue   queue.Queue
	tickets map[uint64]chan queue.Decision
	nextID  uint64

	idle  []*conn
	open  int
	limit int
	gone  bool
}

// conn is a connection to a backend server.
type conn struct {
	adapt.Link
	r *bufio.Reader
	s *server
	// open is set while a transaction or a batch without its end is open.
	open bool
	// canceled is set once a cancel request was sent for the connection.
	canceled bool
}

func newServer(p *pool, in *wire.Resource) *server {
	ctx, cancel := context.WithCancel(p.ctx)
	s := &server{
		pool: p, name: in.Name, addr: in.Backend.Addr, instance: in.Backend.Instance, near: in.Backend.Center == p.h.Center,
		adapter: p.h.Server(in.Backend.Addr, p.group), cancel: cancel, tickets: map[uint64]chan queue.Decision{},
		queue: queue.Queue{Length: queueLength, Reserve: urgentReserve},
	}
	s.probe = &probe.Probe{Server: s.adapter, Silence: p.h.Silence, Now: p.h.Now, Seen: p.seen}
	p.h.wait(s.probe.Run(ctx))
	return s
}

// close ends the server's connections; those in use end with their work.
func (s *server) close() {
	s.gone = true
	s.cancel()
	for _, c := range s.idle {
		c.Close()
	}
	s.idle = nil
	for id, ch := range s.tickets {
		ch <- queue.Decision{ID: id, Reason: fault.NoBackend}
		delete(s.tickets, id)
	}
}

// candidate returns the server as routing sees it. The caller holds the pool's mutex.
func (s *server) candidate(now time.Time, run *wire.GroupState) route.Server {
	st, known := s.probe.Status()
	c := route.Server{
		Name: s.name, Position: st.Position, Alive: known && s.probe.Alive(now), Leaving: s.leaving,
		Near: s.near, Load: s.queue.Load(), Slots: s.queue.Slots,
	}
	holds := run.Primary == s.name
	c.Primary = holds && run.Phase == wire.Phase_OPEN
	c.Clean = clean(run, st) && !(holds && run.Phase != wire.Phase_OPEN)
	return c
}

// clean reports whether a server's log is a prefix of the group's: it follows the open term,
// or it ends before the start of each term after its last entry's.
func clean(run *wire.GroupState, st adapt.Status) bool {
	if st.Last > run.Term {
		return false
	}
	return group.Cut(run.Forks, st.Last, st.Position) == st.Position
}

// carry passes decisions to the tickets that wait for them. The caller holds the mutex.
func (s *server) carry(list []queue.Decision) {
	for _, d := range list {
		if ch, ok := s.tickets[d.ID]; ok {
			ch <- d
			delete(s.tickets, d.ID)
		}
	}
}

// expire refuses requests whose deadline has passed. The caller holds the mutex.
func (p *pool) expire(now time.Time) {
	for _, s := range p.servers {
		s.carry(s.queue.Expire(now))
	}
}

// slot waits for a slot. The returned function gives it back.
func (s *server) slot(ctx context.Context, t queue.Ticket) (func(), error) {
	p := s.pool
	p.mu.Lock()
	s.nextID++
	t.ID = s.nextID
	ch := make(chan queue.Decision, 1)
	s.tickets[t.ID] = ch
	s.carry(s.queue.Enter(p.h.Now(), t))
	p.mu.Unlock()
	leave := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(s.tickets, t.ID)
		s.carry(s.queue.Leave(p.h.Now(), t.ID))
	}
	select {
	case d := <-ch:
		if d.Reason != "" {
			leave()
			return nil, fault.New(fault.NotRun, d.Reason, "backend server %s cannot serve the request in time", s.name)
		}
		return leave, nil
	case <-ctx.Done():
		leave()
		return nil, fault.New(fault.NotRun, fault.Deadline, "no slot was free in time")
	}
}

// connect returns an idle connection or opens one within the limit; none and no error where
// all are in use.
func (s *server) connect(ctx context.Context) (*conn, error) {
	p := s.pool
	p.mu.Lock()
	if p.closed || s.gone {
		p.mu.Unlock()
		return nil, fault.New(fault.NotRun, fault.NoBackend, "backend server %s is gone", s.name)
	}
	for n := len(s.idle); n > 0; n-- {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if c.quiet() {
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		s.open--
	}
	if s.open >= s.limit {
		p.mu.Unlock()
		return nil, nil
	}
	s.open++
	p.mu.Unlock()
	return s.dial(ctx)
}

func (s *server) dial(ctx context.Context) (*conn, error) {
	s.pool.h.Meter.AddCounter("connections.opened", 1)
	raw, err := s.adapter.Connect(ctx)
	if err != nil {
		s.pool.mu.Lock()
		s.open--
		s.pool.notify()
		s.pool.mu.Unlock()
		return nil, fault.New(fault.NotRun, fault.NoBackend, "connect to %s", s.name).WithCause(err)
	}
	return &conn{Link: raw, r: bufio.NewReaderSize(raw, 16<<10), s: s}, nil
}

// quiet reports whether an idle connection is open and has brought nothing that was not
// asked for: a late answer must never meet another request.
func (c *conn) quiet() bool { return c.r.Buffered() == 0 && adapt.Quiet(c.Conn) }

// put gives a connection back: whole ones are kept, others are closed.
func (c *conn) put(whole bool) {
	s := c.s
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if whole && !c.canceled && !s.gone && !s.pool.closed {
		s.idle = append(s.idle, c)
	} else {
		c.Close()
		s.open--
	}
	s.pool.notify()
}
