// Package pool provides a host's connections to the instances of database groups. An
// instance accepts a number of connections from all hosts together; each host keeps its share
// of them open, opens more while there is need, and closes those again soon.
package pool

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

const (
	// dialLimit bounds the opening of a connection, the greeting included; it takes about
	// 12 ms, and a slot that may be busy.
	dialLimit = 250 * time.Millisecond
	// silentAfter is how long an instance may leave all requests unanswered before it is
	// tried with a new connection; work and a full queue take less.
	silentAfter = 200 * time.Millisecond
	// surplusIdle is how long a connection over the host's share stays open without use.
	surplusIdle = 600 * time.Millisecond
	// restIdle is how long one within the share does, but for as many as the instance runs at
	// once. An instance keeps those of a host that lost its power for 3 s, beside the new ones.
	restIdle = 2 * time.Second
	// scarceFor is how long a host keeps to its share after it started. Connections of hosts
	// that lost their power stay at the instance for 3 s.
	scarceFor = 4 * time.Second
	// fullPause is how long no connection is opened after the instance refused one for want
	// of room.
	fullPause = 60 * time.Millisecond
	// probePause is the time between two tries to reach an instance that failed.
	probePause = 100 * time.Millisecond
	// dialsAtOnce is the number of connections to an instance that a host opens at once. Each takes
	// 12 ms of a slot, which all that wait for one would take from each other's statements.
	dialsAtOnce = 1
	// quietAfter is how long a connection may rest before its next use looks at the socket.
	quietAfter = 5 * time.Millisecond
	// smoothing is the weight of the past in the mean latency.
	smoothing = 8
	// firstLatency is assumed of an instance that has not answered yet.
	firstLatency = 10 * time.Millisecond
	// userTimeout ends a connection whose peer confirms nothing that was sent to it.
	userTimeout = 1500 * time.Millisecond
	// spare is the number of connections to an instance that hosts leave to control.
	spare = 1
)

// Server is an instance as this host uses it. The exported fields are set before the first
// call.
type Server struct {
	Group    string
	Instance string
	Addr     string
	Near     bool
	Slots    int
	Codec    flow.Codec
	Log      *logs.Logger
	Meter    *meter.Meter
	// Dial opens a connection; it is a seam for tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
	// Lost, where set, is called in a goroutine of its own when the instance is out of reach.
	Lost func()

	load    atomic.Int64
	latency atomic.Int64
	gate    atomic.Pointer[gate]

	mu      sync.Mutex
	idle    []*Conn
	open    int
	dialing int
	waiting []*waiter
	limit   int
	share   int
	full    time.Time
	scarce  time.Time
	standby bool
	down    bool
	probing bool
	failed  time.Time
	well    time.Time
	closed  bool
	// pending is the number of requests without an answer, silent since when none came.
	pending int
	silent  time.Time
}

// Urgent is the lowest rank: it goes before all callers.
const Urgent = -1

// waiter waits for a connection.
type waiter struct {
	rank  int
	until time.Time
	got   chan result
}

type result struct {
	conn *Conn
	err  error
}

func itoa(n int) string { return strconv.Itoa(n) }

// Resize tells how many connections the instance accepts and how many of them are this
// host's share.
func (s *Server) Resize(limit, share int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == 0 {
		s.scarce = s.Now().Add(scarceFor)
	}
	s.limit = Room(limit)
	s.share = share
}

// Standby makes this host keep its connections for when others can't reach the instance: after
// a start of its own it opens none ahead while room may be scarce.
func (s *Server) Standby(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = on
}

// Guard makes this host order what it sends to the instance, since most of it comes this way.
func (s *Server) Guard() {
	if s.gate.Load() == nil {
		s.gate.Store(newGate(s.Slots, s.Now))
	}
}

func (s *Server) guard() *gate { return s.gate.Load() }

// Room returns how many connections to an instance hosts may have together.
func Room(limit int) int { return max(1, limit-spare) }

// Share returns the share of each of a number of hosts in the connections of an instance.
func Share(limit, hosts int) int { return max(1, Room(limit)/max(1, hosts)) }

// Load returns the number of this host's requests at the instance.
func (s *Server) Load() int { return int(s.load.Load()) }

// Latency returns the mean time to an answer.
func (s *Server) Latency() time.Duration {
	if n := s.latency.Load(); n > 0 {
		return time.Duration(n)
	}
	return firstLatency
}

// Down reports whether the instance could not be reached at the last try.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.closed
}

// Standing returns since when the instance has failed without an answer since, zero where it
// has not, and when it answered last.
func (s *Server) Standing() (failed, well time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed, s.well
}

// asks takes note of a request that is sent.
func (s *Server) asks() {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == 0 {
		s.silent = now
	}
	s.pending++
}

// asked takes note that no answer to a request is waited for any more.
func (s *Server) asked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

// Took takes note of the time that an answer took, over a connection of this host or of
// another one.
func (s *Server) Took(d time.Duration) {
	old := s.latency.Load()
	if old == 0 {
		old = int64(d)
	}
	s.latency.Store(old + (int64(d)-old)/smoothing)
}

// Use adds n to the load that this host has at the instance.
func (s *Server) Use(n int) { s.load.Add(int64(n)) }

func (s *Server) served(took time.Duration) {
	s.Took(took)
	now := s.Now()
	s.mu.Lock()
	s.well = now
	s.silent = now
	s.failed = time.Time{}
	s.mu.Unlock()
}

// Get returns a connection for exclusive use. It waits for one until limit has passed;
// a lower rank goes first.
func (s *Server) Get(ctx context.Context, limit time.Duration, rank int) (*Conn, error) {
	now := s.Now()
	s.mu.Lock()
	if c := s.take(now); c != nil {
		s.mu.Unlock()
		return s.lend(c, rank, now.Add(limit)), nil
	}
	if s.closed || s.down {
		s.mu.Unlock()
		return nil, s.unreachable()
	}
	if s.open == 0 && now.Before(s.full) {
		s.mu.Unlock()
		return nil, s.noRoom()
	}
	w := &waiter{rank: rank, until: now.Add(limit), got: make(chan result, 1)}
	s.enqueue(w)
	s.extend(now)
	s.mu.Unlock()
	return s.await(ctx, limit, w)
}

func (s *Server) unreachable() *fault.Error {
	return fault.New(fault.NotRun, fault.NoBackend, "instance %s cannot be reached", s.Instance)
}

func (s *Server) noRoom() *fault.Error {
	return fault.New(fault.NotRun, fault.InstanceFull, "instance %s accepts no more connections", s.Instance)
}

func (s *Server) await(ctx context.Context, limit time.Duration, w *waiter) (*Conn, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case r := <-w.got:
		return s.arrived(w, r)
	case <-t.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	for i, one := range s.waiting {
		if one == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	select {
	case r := <-w.got:
		return s.arrived(w, r)
	default:
	}
	return nil, fault.New(fault.NotRun, fault.Deadline, "no connection to instance %s was free in time", s.Instance)
}

func (s *Server) arrived(w *waiter, r result) (*Conn, error) {
	if r.err != nil {
		return nil, r.err
	}
	return s.lend(r.conn, w.rank, w.until), nil
}

// lend begins a use of a connection.
func (s *Server) lend(c *Conn, rank int, until time.Time) *Conn {
	s.load.Add(1)
	c.rank, c.until = rank, until
	return c
}

// enqueue puts a waiter behind those of its rank. The caller holds mu.
func (s *Server) enqueue(w *waiter) {
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].rank > w.rank {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = w
}

// take returns an idle connection that is in order, or nil. The caller holds mu.
func (s *Server) take(now time.Time) *Conn {
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if now.Sub(c.parked) < quietAfter && c.r.Buffered() == 0 {
			return c
		}
		if c.quiet() {
			return c
		}
		c.raw.Close()
		s.open--
		s.suspect(now)
	}
	return nil
}

func (s *Server) put(c *Conn) {
	s.load.Add(-1)
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hand(now, c)
}

func (s *Server) drop(c *Conn) {
	s.load.Add(-1)
	c.raw.Close()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if !s.closed {
		s.suspect(now)
		s.extend(now)
	}
}

// Warm keeps the host's share open and closes what is over it and has rested.
func (s *Server) Warm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.pending > 0 && now.Sub(s.silent) > silentAfter {
		s.suspect(s.silent)
	}
	for len(s.idle) > 0 && s.spares(now.Sub(s.idle[0].parked)) {
		s.idle[0].raw.Close()
		s.idle = s.idle[1:]
		s.open--
	}
	if s.share == 0 || s.standby && now.Before(s.scarce) {
		return
	}
	if s.open+s.dialing == 0 && !s.down && !s.probing && !now.Before(s.full) {
		s.dialing++
		go s.dial()
	}
	s.extend(now)
}

// spares reports whether a connection may be closed that has rested for some time. The caller
// holds mu.
func (s *Server) spares(rested time.Duration) bool {
	if s.open > s.share {
		return rested > surplusIdle
	}
	return s.open > s.Slots+gateAhead && rested > restIdle
}

// Shut closes idle connections and lets the others end with their work.
func (s *Server) Shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.idle {
		c.raw.Close()
	}
	s.open -= len(s.idle)
	s.idle = nil
	s.release(s.unreachable())
}
