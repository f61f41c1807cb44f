// Package pool provides a host's connections to the instances of database groups. An instance
// limits the connections of all hosts together. Each host keeps connections open up to its share,
// opens more on demand, and closes those soon after use.
package pool

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/keep"
)

const (
	// dialTimeout limits the opening of a connection, including the greeting. Opening takes about
	// 12 ms of one of the instance's slots, which may be busy at first.
	dialTimeout = 250 * time.Millisecond
	// unansweredLimit is how long an instance may leave all requests unanswered before it is
	// probed with a new connection. Statements take less, even behind a full queue.
	unansweredLimit = 200 * time.Millisecond
	// surplusIdleTimeout is how long an idle connection beyond the host's share stays open.
	surplusIdleTimeout = 600 * time.Millisecond
	// shareIdleTimeout is how long an idle connection within the share stays open; the last
	// Slots+extraInFlight ones stay open for good. More aren't kept, since an instance holds the
	// connections of a host that lost power for 3 s, in addition to the host's new ones.
	shareIdleTimeout = 2 * time.Second
	// accountIdleTimeout is how long an idle connection within the share stays open if connections belong
	// to client accounts.
	accountIdleTimeout = 30 * time.Second
	// shareOnlyPeriod is how long a host stays within its share after its start. An instance holds
	// the connections of hosts that lost power for 3 s.
	shareOnlyPeriod = 4 * time.Second
	// connLimitPause is how long no connection is opened after the instance refused one because
	// of its connection limit.
	connLimitPause = 60 * time.Millisecond
	// fullPeriod is how long a host does not exceed the number of connections at which the instance refused
	// another one, if connections belong to client accounts.
	fullPeriod = time.Second
	// probeInterval is the pause between two attempts to reach a failed instance.
	probeInterval = 100 * time.Millisecond
	// maxConcurrentDials is the number of connections to an instance that a host opens at the same
	// time. Each takes 12 ms of a slot; one for each waiting statement would leave no slots for the
	// statements.
	maxConcurrentDials = 1
	// smoothingDivisor is the divisor of the moving mean of the latency: a new sample has a weight
	// of 1/8.
	smoothingDivisor = 8
	// initialLatency is the assumed latency of an instance that has not answered yet.
	initialLatency = 10 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the
	// connection.
	tcpUserTimeout = 1500 * time.Millisecond
	// controlConns is the number of connections to an instance that are reserved for control.
	controlConns = 1
)

// Pool is the connection pool of this host for one instance. The exported fields are set before
// the first call. All methods are safe for concurrent use.
type Pool struct {
	// Group and Instance are the names of the database group and of the instance.
	Group    string
	Instance string
	// Addr is the address (host:port) of the instance.
	Addr string
	// Local is set if the instance is in this host's data centre.
	Local bool
	// Slots is the number of statements that the instance runs at once.
	Slots int
	Codec flow.Codec
	// Memory bounds the large answers that are read; nil means no bound.
	Memory *bounds.Budget
	Log    *logs.Logger
	Meter  *meter.Meter
	// Dial opens a network connection; tests replace it.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// OnUnreachable, if set, is called in its own goroutine when the instance becomes unreachable.
	OnUnreachable func()

	// load is the number of connections in use, and of requests on borrowed connections.
	load atomic.Int64
	// latency is the moving mean in nanoseconds; zero before the first answer.
	latency atomic.Int64
	// admission is nil if admission control is off.
	admission atomic.Pointer[admission]
	// leaveDeadline is nil unless the instance is leaving.
	leaveDeadline atomic.Pointer[time.Time]
	// lines limits the log lines about wrong answers.
	linesOnce sync.Once
	lines     *logs.RateLimiter

	// renewal holds a value while a connection is replaced by a new one.
	renewal     chan struct{}
	renewalOnce sync.Once

	mu sync.Mutex
	// idle are the idle connections, the longest idle one first.
	idle []*Conn
	// open is the number of open connections, idle or in use.
	open int
	// dialing is the number of connections being opened, except by probes, and dialingFor that of each
	// client account.
	dialing    int
	dialingFor map[string]int
	// waiting are the waiters in the order in which they get connections.
	waiting []*waiter
	// maxConns is the number of connections that all hosts together may have to the instance; this
	// host never opens more.
	maxConns int
	// share is the number of those connections that belong to this host.
	share int
	// connLimitUntil is the end of the pause after the instance refused a connection because of
	// its connection limit.
	connLimitUntil time.Time
	// fullAt is the number of connections that this host had when the instance last refused one, and
	// fullUntil the end of the time for which it replaces connections instead of opening more. Both are used
	// only if connections belong to accounts.
	fullAt    int
	fullUntil time.Time
	// accounts is set once a request of a client account has come.
	accounts bool
	// busy has the number of connections in use by client account.
	busy   map[string]int
	demand keep.Demand
	// formerShare is the share before its last increase, which applies until shareGrowsAt if connections
	// belong to accounts: the hosts that had the rest may hold it for a while.
	formerShare  int
	shareGrowsAt time.Time
	// shareOnlyUntil is the end of the period in which this host stays within its share.
	shareOnlyUntil time.Time
	// standby is set if this host lends connections only if the first lender fails.
	standby bool
	// down is set if the last attempt to open a connection failed.
	down bool
	// probing is set while a goroutine tries to reach the instance.
	probing bool
	// failingSince is the time of the first failure since the last answer; zero if there is none.
	failingSince time.Time
	lastAnswer   time.Time
	closed       bool
	// suspended is set while this host gives up its connections, of which inUse are those in use.
	suspended atomic.Bool
	inUse     map[*Conn]struct{}
	// pending is the number of requests sent and not yet answered.
	pending int
	// unansweredSince is the time of the last answer, or of the first pending request if that is
	// later.
	unansweredSince time.Time
}

// Priority is the order in which requests get an instance's connections and slots.
type Priority struct {
	// Rank is the priority of the database; a lower rank goes first.
	Rank int
	// Database is the database of the request, or "" for requests of this host itself.
	Database string
	// Account is the client account of the request, or "" if it has none. The request only runs on a
	// connection that was opened for the account.
	Account string
	// MayBeLate is set for a request that no other instance can serve. If no slot gets free within its wait
	// limit, it waits for as long as its answer can still arrive within its time limit.
	MayBeLate bool
	// Movable is set if another instance may have a free slot: a lender whose instance has none then
	// declines the request.
	Movable bool
}

// own reports whether the request is one of this host itself, which may run on any connection.
func (p Priority) own() bool { return p.Database == "" && p.Account == "" }

// UrgentRank is the lowest rank. It goes before all requests of callers.
const UrgentRank = -1

// waiter is a goroutine that waits for a connection.
type waiter struct {
	prio     Priority
	since    time.Time
	deadline time.Time
	// done gets exactly one result, or none if the waiter gives up.
	done chan connResult
}

// connResult is a connection or the reason why there is none.
type connResult struct {
	conn *Conn
	err  error
}

func itoa(n int) string { return strconv.Itoa(n) }

// SetConnLimits sets how many connections the instance accepts from all hosts, and how many of
// them are this host's share. The first call starts the period in which the host stays within its
// share.
func (p *Pool) SetConnLimits(limit, share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxConns == 0 {
		p.shareOnlyUntil = p.Now().Add(shareOnlyPeriod)
	}
	p.maxConns = UsableConns(limit)
	if now := p.Now(); share > p.share && !now.Before(p.shareOnlyUntil) {
		p.formerShare, p.shareGrowsAt = p.shareNow(now), now.Add(shareOnlyPeriod)
	}
	p.share = share
}

// shareNow returns how many connections this host may keep at present. If they belong to accounts, the share is
// a large part of what the instance accepts; until an earlier run of this host, or the host that had the share
// before, can no longer hold it, this host keeps no more than the instance's slots need. The caller holds mu.
func (p *Pool) shareNow(now time.Time) int {
	if !p.accounts {
		return p.share
	}
	few := p.Slots + extraInFlight
	switch {
	case now.Before(p.shareOnlyUntil):
		return min(p.share, few)
	case now.Before(p.shareGrowsAt):
		return min(p.share, max(p.formerShare, few))
	}
	return p.share
}

// SetStandby sets whether this host is a standby lender, which other hosts ask only if the first
// lender fails. After its start, a standby opens no connections in advance while connections to the
// instance may be scarce; the first lender needs them more.
func (p *Pool) SetStandby(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standby = on
}

// EnableAdmissionControl makes this host queue its statements to the instance by priority and refuse
// those that would not be served in time. It is for hosts that send most of the instance's load.
func (p *Pool) EnableAdmissionControl() {
	if p.admission.Load() == nil {
		p.admission.Store(newAdmission(p.Slots, p.Now))
	}
}

// admissionControl returns the admission queue, or nil if admission control is off.
func (p *Pool) admissionControl() *admission { return p.admission.Load() }

// UsableConns returns how many connections all hosts together may have to an instance that accepts
// limit connections.
func UsableConns(limit int) int { return max(1, limit-controlConns) }

// ConnShare returns how many connections each of a number of hosts may have to an instance that
// accepts limit connections; at least one.
func ConnShare(limit, hosts int) int { return max(1, UsableConns(limit)/max(1, hosts)) }

// Load returns how many connections to the instance this host is using, borrowed ones included.
func (p *Pool) Load() int { return int(p.load.Load()) }

// Latency returns the moving mean of the time to an answer.
func (p *Pool) Latency() time.Duration {
	if n := p.latency.Load(); n > 0 {
		return time.Duration(n)
	}
	return initialLatency
}

// Down reports whether the last attempt to open a connection failed, or the pool is closed.
func (p *Pool) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down || p.closed
}

// Health returns the time of the first failure since the last answer, zero if there was none, and
// the time of the last answer.
func (p *Pool) Health() (failingSince, lastAnswer time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failingSince, p.lastAnswer
}

// beginRequest counts a pending request. It returns errSuspended if no more may be sent.
func (p *Pool) beginRequest(c *Conn) error {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.suspended {
		c.retire, c.dead = "suspended", true
		return errSuspended
	}
	if p.pending == 0 {
		p.unansweredSince = now
	}
	p.pending++
	c.pending = true
	return nil
}

// endRequest ends a pending request, answered or not.
func (p *Pool) endRequest(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	c.pending = false
	if c.suspended {
		c.raw.Close()
	}
}

// RecordLatency adds the time that an answer took, over an own or a borrowed connection, to the
// mean latency.
func (p *Pool) RecordLatency(sample time.Duration) {
	old := p.latency.Load()
	if old == 0 {
		old = int64(sample)
	}
	p.latency.Store(old + (int64(sample)-old)/smoothingDivisor)
}

// AddLoad adds n, which may be negative, to the load of this host at the instance.
func (p *Pool) AddLoad(n int) { p.load.Add(int64(n)) }

// recordAnswer records an answer and its latency: the instance works.
func (p *Pool) recordAnswer(latency time.Duration) {
	p.RecordLatency(latency)
	now := p.Now()
	p.mu.Lock()
	p.lastAnswer = now
	p.unansweredSince = now
	p.failingSince = time.Time{}
	p.mu.Unlock()
}

// Get returns a connection for exclusive use. It waits for one until waitLimit has passed or ctx is
// done; a lower rank goes first. It returns a *fault.Error with the reason NoBackend if the instance
// is unreachable, InstanceFull if it accepts no more connections and this host has none, and
// Deadline if the wait ends without a connection.
func (p *Pool) Get(ctx context.Context, waitLimit time.Duration, prio Priority) (*Conn, error) {
	now := p.Now()
	p.mu.Lock()
	if prio.Account != "" {
		p.accounts = true
		p.demand.Record(now, prio.Account, prio.Rank)
	}
	if c := p.takeIdle(now, prio); c != nil {
		p.use(now, c, prio)
		p.mu.Unlock()
		return p.beginUse(c, prio, now.Add(waitLimit)), nil
	}
	if p.closed || p.down || p.suspended.Load() {
		p.mu.Unlock()
		return nil, p.unreachableError()
	}
	if p.open == 0 && now.Before(p.connLimitUntil) {
		p.mu.Unlock()
		return nil, p.connLimitError()
	}
	w := &waiter{prio: prio, since: now, deadline: now.Add(waitLimit), done: make(chan connResult, 1)}
	p.enqueue(w)
	p.dialForWaiting(now)
	p.mu.Unlock()
	return p.await(ctx, waitLimit, w)
}

func (p *Pool) unreachableError() *fault.Error {
	return fault.New(fault.NotRun, fault.NoBackend, "instance %s cannot be reached", p.Instance)
}

func (p *Pool) connLimitError() *fault.Error {
	return fault.New(fault.NotRun, fault.InstanceFull, "instance %s accepts no more connections", p.Instance)
}

// await waits for the result of an enqueued waiter and removes the waiter if it gives up.
func (p *Pool) await(ctx context.Context, waitLimit time.Duration, w *waiter) (*Conn, error) {
	t := time.NewTimer(waitLimit)
	defer t.Stop()
	select {
	case r := <-w.done:
		return p.fromResult(w, r)
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, other := range p.waiting {
		if other == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case r := <-w.done:
		return p.fromResult(w, r)
	default:
	}
	return nil, fault.New(fault.NotRun, fault.Deadline, "no connection to instance %s became free before the deadline", p.Instance)
}

// fromResult returns the connection or the error of a waiter's result.
func (p *Pool) fromResult(w *waiter, r connResult) (*Conn, error) {
	if r.err != nil {
		return nil, r.err
	}
	return p.beginUse(r.conn, w.prio, w.deadline), nil
}

// beginUse marks a connection as in use.
func (p *Pool) beginUse(c *Conn, prio Priority, slotDeadline time.Time) *Conn {
	p.load.Add(1)
	c.prio, c.slotDeadline = prio, slotDeadline
	return c
}

// enqueue inserts a waiter behind those of the same or a lower rank. The caller holds mu.
func (p *Pool) enqueue(w *waiter) {
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].prio.Rank > w.prio.Rank {
		at--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[at+1:], p.waiting[at:])
	p.waiting[at] = w
}

// Shutdown closes idle connections and fails all waiters. It doesn't wait for connections in use;
// they are closed on release.
func (p *Pool) Shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.raw.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
	p.failWaiters(p.unreachableError())
}
