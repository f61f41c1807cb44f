package lend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// Borrower borrows connections from other hosts. The exported fields are set before the first call
// of Open.
type Borrower struct {
	Dialer *link.Dialer
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// OnLoad, if set, gets the load of an instance that came with a reply at a time.
	OnLoad func(now time.Time, group, instance string, r even.Report)
	// Memory bounds the large answers that are received; nil means no bound.
	Memory *bounds.Budget
	// OnMismatch, if set, is called for a reply to another request than the one that waits for it, with the
	// serials of both.
	OnMismatch func(addr string, sent, replied uint64)

	mu sync.Mutex
	// The keys of these maps are host addresses.
	idleStreams map[string][]*lenderStream
	// avoidedUntil has the time until which an unresponsive host is avoided.
	avoidedUntil map[string]time.Time
	// pings has the pings in progress. Each channel is closed when its ping ends; a host that did not
	// answer is in avoidedUntil by then.
	pings map[string]chan struct{}
}

// errUnresponsive is returned for a host that is avoided because it recently failed to answer.
var errUnresponsive = errors.New("lender did not answer recently")

// lenderStream is the borrower's side of a stream. It carries one request at a time.
type lenderStream struct {
	*link.Conn
	// sent is the serial of the last request. repeats is set once the lender has repeated one: lenders of
	// earlier builds never do.
	sent    uint64
	repeats bool
}

// answers reports whether a reply is the one to the last request.
func (s *lenderStream) answers(reply *wire.LendReply) bool {
	if reply.Serial == 0 && !s.repeats {
		return true
	}
	s.repeats = true
	return reply.Serial == s.sent
}

// ReportMismatch returns a function for Borrower.OnMismatch that counts these replies and logs them at a
// limited rate.
func ReportMismatch(l *logs.Logger, m *meter.Meter) func(addr string, sent, replied uint64) {
	limiter := &logs.RateLimiter{PerSecond: mismatchLinesPerSecond, Burst: mismatchLinesPerSecond}
	return func(addr string, sent, replied uint64) {
		m.AddCounter("errands.mismatched", 1)
		if skipped, ok := limiter.Allow(time.Now()); ok {
			l.WithField("addr", addr).WithField("sent", sent).WithField("replied", replied).WithField("skipped", skipped).
				Warn("lender replied to another request")
		}
	}
}

// errOtherReply is returned if a lender replies to another request than the last one.
var errOtherReply = errors.New("reply to another request")

// dial opens a stream to a lending host.
func (b *Borrower) dial(ctx context.Context, addr string) (*lenderStream, error) {
	c, err := b.Dialer.Open(ctx, addr, Service)
	if err != nil {
		return nil, err
	}
	c.SetBudget(b.Memory)
	return &lenderStream{Conn: c}, nil
}

// Open prepares to borrow a connection to an instance from the host at addr. The lender acquires the
// connection with the first request, waiting at most waitLimit for a free one; a lower rank is
// served first. Open fails if no stream to the host can be opened, or if it recently did not answer.
func (b *Borrower) Open(addr, group, instance string, prio pool.Priority, waitLimit time.Duration) (pool.Handle, error) {
	if b.avoids(addr) {
		return nil, errUnresponsive
	}
	c := b.takeIdle(addr)
	if c == nil {
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		defer cancel()
		var err error
		if c, err = b.dial(ctx, addr); err != nil {
			b.avoid(addr)
			return nil, err
		}
	}
	params := &wire.LendRequest{
		Group: group, Instance: instance, Rank: int64(prio.Rank), Database: prio.Database, Account: prio.Account, Patience: int64(waitLimit),
		Late: prio.MayBeLate, Movable: prio.Movable,
	}
	return &borrowedConn{borrower: b, addr: addr, group: group, instance: instance, database: prio.Database, stream: c, openParams: params}, nil
}

// avoids reports whether the host at addr is avoided at present.
func (b *Borrower) avoids(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Now().Before(b.avoidedUntil[addr])
}

// avoid makes Open skip an unresponsive host until it answers a probe, at most for maxAvoidance, and
// closes the idle streams to it.
func (b *Borrower) avoid(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.avoidedUntil == nil {
		b.avoidedUntil = map[string]time.Time{}
	}
	for _, c := range b.idleStreams[addr] {
		c.Close()
	}
	delete(b.idleStreams, addr)
	now := b.Now()
	if now.Before(b.avoidedUntil[addr]) {
		return
	}
	b.avoidedUntil[addr] = now.Add(maxAvoidance)
	go b.probeUntilAlive(addr)
}

// checkHost checks whether a host that did not answer a request is reachable: the cause may also be
// an instance that does not answer.
func (b *Borrower) checkHost(addr string, c *lenderStream) {
	if c.SessionClosed() {
		b.avoid(addr)
		return
	}
	go b.ping(addr, c)
}

// ping reports whether a host answers a ping, and avoids the host if it doesn't. Concurrent calls for
// the same host share one ping.
func (b *Borrower) ping(addr string, c *lenderStream) bool {
	b.mu.Lock()
	done, pending := b.pings[addr]
	if !pending {
		if b.pings == nil {
			b.pings = map[string]chan struct{}{}
		}
		done = make(chan struct{})
		b.pings[addr] = done
	}
	b.mu.Unlock()
	if pending {
		<-done
		return !b.avoids(addr)
	}
	err := c.Ping(pingTimeout)
	if err != nil {
		b.avoid(addr)
	}
	b.mu.Lock()
	delete(b.pings, addr)
	b.mu.Unlock()
	close(done)
	return err == nil
}

// probeUntilAlive probes an unresponsive host until it answers, and then stops avoiding it. It ends
// after maxAvoidance at the latest.
func (b *Borrower) probeUntilAlive(addr string) {
	for end := b.Now().Add(maxAvoidance); b.Now().Before(end); {
		time.Sleep(probeInterval)
		if b.probe(addr) {
			b.mu.Lock()
			delete(b.avoidedUntil, addr)
			b.mu.Unlock()
			return
		}
	}
}

// probe reports whether a host answers a ping on a new stream.
func (b *Borrower) probe(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	c, err := b.dial(ctx, addr)
	if err != nil {
		return false
	}
	defer c.Close()
	return c.Ping(pingTimeout) == nil
}

// takeIdle removes and returns an idle stream to a host, or nil if there is none.
func (b *Borrower) takeIdle(addr string) *lenderStream {
	b.mu.Lock()
	defer b.mu.Unlock()
	for list := b.idleStreams[addr]; len(list) > 0; list = b.idleStreams[addr] {
		c := list[len(list)-1]
		b.idleStreams[addr] = list[:len(list)-1]
		if !c.SessionClosed() {
			return c
		}
		c.Close()
	}
	return nil
}

// putIdle keeps a stream for reuse, or closes it if maxIdleStreams are kept already.
func (b *Borrower) putIdle(addr string, c *lenderStream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.idleStreams == nil {
		b.idleStreams = map[string][]*lenderStream{}
	}
	if len(b.idleStreams[addr]) >= maxIdleStreams {
		c.Close()
		return
	}
	b.idleStreams[addr] = append(b.idleStreams[addr], c)
}

// borrowedConn is a connection that is borrowed from another host.
type borrowedConn struct {
	borrower *Borrower
	addr     string
	group    string
	instance string
	database string
	stream   *lenderStream
	// openParams names the instance, rank and wait limit; it is sent with the first request and nil
	// after that.
	openParams *wire.LendRequest
	// returned is set while the connection is back with the lender and no reply is outstanding.
	returned bool
	// failed is set once a reply did not arrive. The stream carries no more requests.
	failed bool
}

// Run implements pool.Handle.
func (b *borrowedConn) Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	b.returned = false
	if b.failed || b.stream.SessionClosed() {
		return flow.Answer{}, flow.Unsent, fmt.Errorf("lender %s: %w", b.addr, net.ErrClosed)
	}
	lendReq := &wire.LendRequest{Limit: int64(timeout), Values: valuesToWire(values), Question: requestToWire(req), Last: last}
	retryable := b.openParams != nil && !req.Writes
	if b.openParams != nil {
		lendReq.Group, lendReq.Instance, lendReq.Rank, lendReq.Patience, lendReq.Late = b.openParams.Group, b.openParams.Instance, b.openParams.Rank, b.openParams.Patience, b.openParams.Late
		lendReq.Database, lendReq.Account = b.openParams.Database, b.openParams.Account
		lendReq.Movable = b.openParams.Movable
		b.openParams = nil
	}
	if err := b.stream.SetDeadline(time.Now().Add(replyLimit(lendReq) + transitAllowance)); err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	b.stream.sent++
	lendReq.Serial = b.stream.sent
	b.failed = true
	if err := b.stream.Send(lendReq); err != nil {
		return flow.Answer{}, flow.Sent, fmt.Errorf("lender %s: %w", b.addr, err)
	}
	reply := &wire.LendReply{}
	if err := b.receive(reply, retryable); err != nil {
		b.borrower.checkHost(b.addr, b.stream)
		return flow.Answer{}, flow.Sent, fmt.Errorf("lender %s: %w", b.addr, err)
	}
	if !b.stream.answers(reply) {
		if b.borrower.OnMismatch != nil {
			b.borrower.OnMismatch(b.addr, b.stream.sent, reply.Serial)
		}
		return flow.Answer{}, flow.Sent, fmt.Errorf("lender %s: %w", b.addr, errOtherReply)
	}
	b.failed = false
	b.passLoad(reply.Load)
	if reply.Declined {
		b.returned = true
		return flow.Answer{Code: flow.Declined, Text: string(reply.Text)}, flow.Answered, nil
	}
	if reply.Error != "" {
		b.returned = true
		if reply.Limited {
			return flow.Answer{}, flow.Unsent, topo.ErrNoShare
		}
		return flow.Answer{}, flow.Stage(reply.Stage), fmt.Errorf("lender %s: %s", b.addr, reply.Error)
	}
	a := flow.Answer{
		Rows: reply.Rows, Proof: string(reply.Proof), Code: flow.Code(reply.Code), Text: string(reply.Text), State: flow.State(reply.State),
		Position: token.Position{Term: reply.Mark.GetTerm(), Position: reply.Mark.GetNumber()},
	}
	if reply.Leaving {
		a.Code = flow.Leaving
	}
	if reply.Limited {
		a.Code = flow.Limited
	}
	b.returned = returnsConnection(last, a)
	return a, flow.Answered, nil
}

// receive waits for the answer. A request that can be tried elsewhere is abandoned as soon as the
// lending host fails a ping. Others, writes and requests in transactions, wait until the stream's
// deadline.
func (b *borrowedConn) receive(reply *wire.LendReply, retryable bool) error {
	var mu sync.Mutex
	ended := false
	timer := time.AfterFunc(pingAfter, func() {
		alive := b.borrower.ping(b.addr, b.stream)
		mu.Lock()
		defer mu.Unlock()
		if !alive && retryable && !ended {
			_ = b.stream.SetDeadline(time.Now())
		}
	})
	defer timer.Stop()
	err := b.stream.Recv(reply)
	// From here on the stream may serve another request, so the timer must not change its deadline.
	mu.Lock()
	ended = true
	mu.Unlock()
	return err
}

// Release implements pool.Handle.
func (b *borrowedConn) Release() {
	if !b.returned {
		b.stream.Close()
		return
	}
	b.borrower.putIdle(b.addr, b.stream)
}

// Close implements pool.Handle. A stream is reused if the lender has reported the outcome of the last
// request.
func (b *borrowedConn) Close() {
	if b.returned {
		b.borrower.putIdle(b.addr, b.stream)
		return
	}
	b.stream.Close()
}
