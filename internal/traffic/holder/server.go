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
	// queueLimit is the largest number of requests of one class that wait for a backend server.
	queueLimit = 1024
	// urgentReserveTime is how long one slot is kept free after an urgent request.
	urgentReserveTime = time.Second
)

// server is a backend server of a pool. The pool's mutex guards its fields.
type server struct {
	pool        *pool
	name        string
	addr        string
	incarnation string // identifies the run of the instance
	// sameCenter is set for a server in this host's data centre.
	sameCenter bool
	adapter    adapt.Server
	probe      *probe.Probe
	cancel     context.CancelFunc
	leaving    bool
	// fetchingBase is set while a query for the base position is in flight.
	fetchingBase bool
	// followSentAt is when the last follow command was sent, and admitRequestedAt when the last
	// request to admit its disk was sent.
	followSentAt     time.Time
	admitRequestedAt time.Time

	// queue decides on admission; waiters receive its decisions, by ticket ID.
	queue        queue.Queue
	waiters      map[uint64]chan queue.Decision
	lastTicketID uint64

	// openConns counts all connections, idle, in use and being opened, up to maxConns.
	idleConns []*conn
	openConns int
	maxConns  int
	// closed is set once the server was removed from the pool or the pool is closed.
	closed bool
}

// conn is a connection to a backend server.
type conn struct {
	adapt.ServerConn
	r      *bufio.Reader
	server *server
	// unsynced is set while statements of the extended protocol were sent whose Sync was not: it commits them
	// unless a transaction is open.
	unsynced bool
	// skipping is set while the server skips messages up to the next Sync.
	skipping bool
	// status is the transaction state that the server has last reported.
	status byte
	// canceled is set once a cancel request was sent for the connection.
	canceled bool
}

// newServer returns a backend server and starts its probe.
func newServer(p *pool, in *wire.Resource) *server {
	ctx, cancel := context.WithCancel(p.ctx)
	s := &server{
		pool: p, name: in.Name, addr: in.Backend.Addr, incarnation: in.Backend.Instance, sameCenter: in.Backend.Center == p.h.Center,
		adapter: p.h.NewAdapter(in.Backend.Addr, p.group), cancel: cancel, waiters: map[uint64]chan queue.Decision{},
		queue: queue.Queue{MaxWaiting: queueLimit, ReservePeriod: urgentReserveTime},
	}
	s.probe = &probe.Probe{Server: s.adapter, SilenceTimeout: p.h.FailureTimeout, Now: p.h.Now, OnUpdate: p.onStatus}
	p.h.waitOnExit(s.probe.Run(ctx))
	return s
}

// close closes idle connections and rejects queued requests. Connections in use are closed when
// they are put back.
func (s *server) close() {
	s.closed = true
	s.cancel()
	for _, c := range s.idleConns {
		c.Close()
	}
	s.idleConns = nil
	for id, ch := range s.waiters {
		ch <- queue.Decision{ID: id, Reason: fault.NoBackend}
		delete(s.waiters, id)
	}
}

// routeCandidate returns the server as a candidate for routing. The caller holds the pool's mutex.
func (s *server) routeCandidate(now time.Time, state *wire.GroupState) route.Server {
	st, known := s.probe.Status()
	c := route.Server{
		Name: s.name, Position: st.Position, Alive: known && s.probe.Alive(now), Draining: s.leaving,
		Local: s.sameCenter, Load: s.queue.Load(), Slots: s.queue.Slots,
	}
	isPrimary := state.Primary == s.name
	c.Primary = isPrimary && state.Phase == wire.Phase_OPEN
	c.LogConsistent = logIsPrefix(state, st) && !(isPrimary && state.Phase != wire.Phase_OPEN)
	return c
}

// logIsPrefix reports whether a server's log is a prefix of the group's log: it follows the open
// term, or it ends before the start of each term after that of its last entry.
func logIsPrefix(state *wire.GroupState, st adapt.Status) bool {
	if st.LastTerm > state.Term {
		return false
	}
	return group.TruncatePosition(state.Forks, st.LastTerm, st.Position) == st.Position
}

// deliver sends decisions to the requests that wait for them. The caller holds the pool's mutex.
func (s *server) deliver(list []queue.Decision) {
	for _, d := range list {
		if ch, ok := s.waiters[d.ID]; ok {
			ch <- d
			delete(s.waiters, d.ID)
		}
	}
}

// expireQueued rejects queued requests whose deadline has passed. The caller holds mu.
func (p *pool) expireQueued(now time.Time) {
	for _, s := range p.servers {
		s.deliver(s.queue.Expire(now))
	}
}

// acquireSlot waits for an admission slot. The returned function releases it.
func (s *server) acquireSlot(ctx context.Context, t queue.Ticket) (func(), error) {
	p := s.pool
	p.mu.Lock()
	s.lastTicketID++
	t.ID = s.lastTicketID
	ch := make(chan queue.Decision, 1)
	s.waiters[t.ID] = ch
	s.deliver(s.queue.Enqueue(p.h.Now(), t))
	p.mu.Unlock()
	release := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(s.waiters, t.ID)
		s.deliver(s.queue.Release(p.h.Now(), t.ID))
	}
	select {
	case d := <-ch:
		if d.Reason != "" {
			release()
			return nil, fault.New(fault.NotRun, d.Reason, "backend server %s cannot serve the request in time", s.name)
		}
		return release, nil
	case <-ctx.Done():
		release()
		return nil, fault.New(fault.NotRun, fault.Deadline, "no slot on the backend server was free in time")
	}
}

// getConn returns an idle connection or opens one. It returns neither a connection nor an error if
// maxConns are open and none is idle.
func (s *server) getConn(ctx context.Context) (*conn, error) {
	p := s.pool
	p.mu.Lock()
	if p.closed || s.closed {
		p.mu.Unlock()
		return nil, fault.New(fault.NotRun, fault.NoBackend, "backend server %s is no longer in use", s.name)
	}
	for n := len(s.idleConns); n > 0; n-- {
		c := s.idleConns[n-1]
		s.idleConns = s.idleConns[:n-1]
		if c.quiet(p.h.Now()) {
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		s.openConns--
	}
	if s.openConns >= s.maxConns {
		p.mu.Unlock()
		return nil, nil
	}
	s.openConns++
	p.mu.Unlock()
	return s.dial(ctx)
}

// dial opens a connection that openConns already counts.
func (s *server) dial(ctx context.Context) (*conn, error) {
	s.pool.h.Meter.AddCounter("connections.opened", 1)
	raw, err := s.adapter.Connect(ctx)
	if err != nil {
		s.pool.mu.Lock()
		s.openConns--
		s.pool.notify()
		s.pool.mu.Unlock()
		return nil, fault.New(fault.NotRun, fault.NoBackend, "cannot connect to backend server %s", s.name).WithCause(err)
	}
	return &conn{ServerConn: raw, r: bufio.NewReaderSize(raw, 16<<10), server: s, status: Idle}, nil
}

// unaskedReadTimeout limits the read of a byte that the socket is known to hold.
const unaskedReadTimeout = 10 * time.Millisecond

// quiet reports whether the connection is open and holds nothing unread: answers carry no name of their
// statement, so that bytes which nobody asked for would be taken for the answer to the next one. It counts
// connections with such bytes.
func (c *conn) quiet(now time.Time) bool {
	if c.idle() {
		return true
	}
	_ = c.SetReadDeadline(now.Add(unaskedReadTimeout))
	if b, _ := c.r.Peek(1); len(b) > 0 {
		c.server.pool.h.reportUnasked(now, c, b[0])
	}
	return false
}

// inTransaction reports whether a transaction is open or the server has not reported that it is ready for a
// query.
func (c *conn) inTransaction() bool { return c.unsynced || c.status != Idle }

// idle reports whether the connection is open and holds nothing unread.
func (c *conn) idle() bool { return c.r.Buffered() == 0 && adapt.Idle(c.ServerConn.Conn) }

// takeNotices is quiet for a connection within a transaction, on which messages may have come that answer no
// statement. It returns them.
func (c *conn) takeNotices(now time.Time) ([]byte, bool) {
	var notices []byte
	for !c.idle() {
		_ = c.SetReadDeadline(now.Add(unaskedReadTimeout))
		if b, err := c.r.Peek(1); err != nil || !comesAnyTime(b[0]) {
			return nil, c.quiet(now)
		}
		kind, body, err := adapt.ReadMessage(c.r)
		if err != nil {
			return nil, false
		}
		if kind == 'S' && (&reply{}).parsePosition(body) {
			continue
		}
		notices = adapt.AppendMessage(notices, kind, body)
	}
	return notices, true
}

// expireWith has calls on the connection fail once ctx ends. The returned function ends that: after it the
// deadline of the connection no longer changes.
func (c *conn) expireWith(ctx context.Context) func() {
	expired := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(expired)
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	return func() {
		if !stop() {
			<-expired
		}
	}
}

// put makes the connection idle for reuse, or closes it if it is not reusable.
func (c *conn) put(reusable bool) {
	s := c.server
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if reusable && !c.canceled && !s.closed && !s.pool.closed {
		s.idleConns = append(s.idleConns, c)
	} else {
		c.Close()
		s.openConns--
	}
	s.pool.notify()
}
