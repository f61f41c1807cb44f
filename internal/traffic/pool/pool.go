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
	// dialTimeout bounds the opening of a connection, the greeting included; it takes about
	// 12 ms, and a slot that may be busy.
	dialTimeout = 250 * time.Millisecond
	// unansweredLimit is how long an instance may leave all requests unanswered before it is
	// tried with a new connection; work and a full queue take less.
	unansweredLimit = 200 * time.Millisecond
	// surplusIdleTimeout is how long a connection over the host's share stays open without use.
	surplusIdleTimeout = 600 * time.Millisecond
	// shareIdleTimeout is how long one within the share does, but for as many as the instance runs at
	// once. An instance keeps those of a host that lost its power for 3 s, beside the new ones.
	shareIdleTimeout = 2 * time.Second
	// shareOnlyPeriod is how long a host keeps to its share after it started. Connections of hosts
	// that lost their power stay at the instance for 3 s.
	shareOnlyPeriod = 4 * time.Second
	// connLimitPause is how long no connection is opened after the instance refused one for want
	// of room.
	connLimitPause = 60 * time.Millisecond
	// probeInterval is the time between two tries to reach an instance that failed.
	probeInterval = 100 * time.Millisecond
	// maxConcurrentDials is the number of connections to an instance that a host opens at once. Each takes
	// 12 ms of a slot, which all that wait for one would take from each other's statements.
	maxConcurrentDials = 1
	// socketCheckAfter is how long a connection may rest before its next use looks at the socket.
	socketCheckAfter = 5 * time.Millisecond
	// smoothingDivisor is the weight of the past in the mean latency.
	smoothingDivisor = 8
	// initialLatency is assumed of an instance that has not answered yet.
	initialLatency = 10 * time.Millisecond
	// tcpUserTimeout ends a connection whose peer confirms nothing that was sent to it.
	tcpUserTimeout = 1500 * time.Millisecond
	// controlConns is the number of connections to an instance that hosts leave to control.
	controlConns = 1
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
	// OnUnreachable, where set, is called in a goroutine of its own when the instance is out of reach.
	OnUnreachable func()

	load      atomic.Int64
	latency   atomic.Int64
	admission atomic.Pointer[admission]

	mu             sync.Mutex
	idle           []*Conn
	open           int
	dialing        int
	waiting        []*waiter
	maxConns       int
	share          int
	connLimitUntil time.Time
	shareOnlyUntil time.Time
	standby        bool
	down           bool
	probing        bool
	failingSince   time.Time
	lastAnswer     time.Time
	closed         bool
	// pending is the number of requests without an answer, silent since when none came.
	pending         int
	unansweredSince time.Time
}

// UrgentRank is the lowest rank: it goes before all callers.
const UrgentRank = -1

// waiter waits for a connection.
type waiter struct {
	rank     int
	deadline time.Time
	done     chan connResult
}

type connResult struct {
	conn *Conn
	err  error
}

func itoa(n int) string { return strconv.Itoa(n) }

// SetConnLimits tells how many connections the instance accepts and how many of them are this
// host's share.
func (s *Server) SetConnLimits(limit, share int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConns == 0 {
		s.shareOnlyUntil = s.Now().Add(shareOnlyPeriod)
	}
	s.maxConns = UsableConns(limit)
	s.share = share
}

// SetStandby makes this host keep its connections for when others can't reach the instance: after
// a start of its own it opens none ahead while room may be scarce.
func (s *Server) SetStandby(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = on
}

// EnableAdmission makes this host order what it sends to the instance, since most of it comes this way.
func (s *Server) EnableAdmission() {
	if s.admission.Load() == nil {
		s.admission.Store(newAdmission(s.Slots, s.Now))
	}
}

func (s *Server) admissionControl() *admission { return s.admission.Load() }

// UsableConns returns how many connections to an instance hosts may have together.
func UsableConns(limit int) int { return max(1, limit-controlConns) }

// ConnShare returns the share of each of a number of hosts in the connections of an instance.
func ConnShare(limit, hosts int) int { return max(1, UsableConns(limit)/max(1, hosts)) }

// Load returns the number of this host's requests at the instance.
func (s *Server) Load() int { return int(s.load.Load()) }

// Latency returns the mean time to an answer.
func (s *Server) Latency() time.Duration {
	if n := s.latency.Load(); n > 0 {
		return time.Duration(n)
	}
	return initialLatency
}

// Down reports whether the instance could not be reached at the last try.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.closed
}

// Health returns since when the instance has failed without an answer since, zero where it
// has not, and when it answered last.
func (s *Server) Health() (failed, well time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failingSince, s.lastAnswer
}

// requestSent takes note of a request that is sent.
func (s *Server) requestSent() {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == 0 {
		s.unansweredSince = now
	}
	s.pending++
}

// requestDone takes note that no answer to a request is waited for any more.
func (s *Server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

// RecordLatency takes note of the time that an answer took, over a connection of this host or of
// another one.
func (s *Server) RecordLatency(d time.Duration) {
	old := s.latency.Load()
	if old == 0 {
		old = int64(d)
	}
	s.latency.Store(old + (int64(d)-old)/smoothingDivisor)
}

// AddLoad adds n to the load that this host has at the instance.
func (s *Server) AddLoad(n int) { s.load.Add(int64(n)) }

func (s *Server) recordAnswer(took time.Duration) {
	s.RecordLatency(took)
	now := s.Now()
	s.mu.Lock()
	s.lastAnswer = now
	s.unansweredSince = now
	s.failingSince = time.Time{}
	s.mu.Unlock()
}

// Get returns a connection for exclusive use. It waits for one until limit has passed;
// a lower rank goes first.
func (s *Server) Get(ctx context.Context, limit time.Duration, rank int) (*Conn, error) {
	now := s.Now()
	s.mu.Lock()
	if c := s.takeIdle(now); c != nil {
		s.mu.Unlock()
		return s.beginUse(c, rank, now.Add(limit)), nil
	}
	if s.closed || s.down {
		s.mu.Unlock()
		return nil, s.unreachableError()
	}
	if s.open == 0 && now.Before(s.connLimitUntil) {
		s.mu.Unlock()
		return nil, s.connLimitError()
	}
	w := &waiter{rank: rank, deadline: now.Add(limit), done: make(chan connResult, 1)}
	s.enqueue(w)
	s.dialForWaiters(now)
	s.mu.Unlock()
	return s.await(ctx, limit, w)
}

func (s *Server) unreachableError() *fault.Error {
	return fault.New(fault.NotRun, fault.NoBackend, "instance %s cannot be reached", s.Instance)
}

func (s *Server) connLimitError() *fault.Error {
	return fault.New(fault.NotRun, fault.NoRoom, "instance %s accepts no more connections", s.Instance)
}

func (s *Server) await(ctx context.Context, limit time.Duration, w *waiter) (*Conn, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case r := <-w.done:
		return s.fromResult(w, r)
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
	case r := <-w.done:
		return s.fromResult(w, r)
	default:
	}
	return nil, fault.New(fault.NotRun, fault.Deadline, "no connection to instance %s was free in time", s.Instance)
}

func (s *Server) fromResult(w *waiter, r connResult) (*Conn, error) {
	if r.err != nil {
		return nil, r.err
	}
	return s.beginUse(r.conn, w.rank, w.deadline), nil
}

// beginUse begins a use of a connection.
func (s *Server) beginUse(c *Conn, rank int, until time.Time) *Conn {
	s.load.Add(1)
	c.rank, c.slotDeadline = rank, until
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

// takeIdle returns an idle connection that is in order, or nil. The caller holds mu.
func (s *Server) takeIdle(now time.Time) *Conn {
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if now.Sub(c.idleSince) < socketCheckAfter && c.r.Buffered() == 0 {
			return c
		}
		if c.healthy() {
			return c
		}
		c.raw.Close()
		s.open--
		s.connBroken(now)
	}
	return nil
}

func (s *Server) putBack(c *Conn) {
	s.load.Add(-1)
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assign(now, c)
}

func (s *Server) discard(c *Conn) {
	s.load.Add(-1)
	c.raw.Close()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if !s.closed {
		s.connBroken(now)
		s.dialForWaiters(now)
	}
}

// Maintain keeps the host's share open and closes what is over it and has rested.
func (s *Server) Maintain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.pending > 0 && now.Sub(s.unansweredSince) > unansweredLimit {
		s.connBroken(s.unansweredSince)
	}
	for len(s.idle) > 0 && s.idleExpired(now.Sub(s.idle[0].idleSince)) {
		s.idle[0].raw.Close()
		s.idle = s.idle[1:]
		s.open--
	}
	if s.share == 0 || s.standby && now.Before(s.shareOnlyUntil) {
		return
	}
	if s.open+s.dialing == 0 && !s.down && !s.probing && !now.Before(s.connLimitUntil) {
		s.dialing++
		go s.dial()
	}
	s.dialForWaiters(now)
}

// idleExpired reports whether a connection may be closed that has rested for some time. The caller
// holds mu.
func (s *Server) idleExpired(rested time.Duration) bool {
	if s.open > s.share {
		return rested > surplusIdleTimeout
	}
	return s.open > s.Slots+extraInFlight && rested > shareIdleTimeout
}

// Close closes idle connections and lets the others end with their work.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.idle {
		c.raw.Close()
	}
	s.open -= len(s.idle)
	s.idle = nil
	s.failWaiters(s.unreachableError())
}
