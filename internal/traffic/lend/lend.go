// Package lend provides the use of one host's connections to instances by other hosts, where
// an instance accepts too few connections for all of them.
package lend

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Service is the name of the stream that carries errands.
const Service = "errand"

const (
	// wayLimit is added to the time of an errand for the way between hosts.
	wayLimit = 150 * time.Millisecond
	// keptStreams is the number of idle streams that are kept to one host.
	keptStreams = 8
	// openLimit bounds the opening of a stream.
	openLimit = 300 * time.Millisecond
	// revivePause is the time between two questions to a host that gave no sign of life, and
	// reviveLimit how long it is asked and passed over at most.
	revivePause = 250 * time.Millisecond
	reviveLimit = 20 * time.Second
	// pingAfter is how long an errand may stay without an answer before its host is asked for a
	// sign of life, and pingLimit how long that may take; a round trip takes a few milliseconds.
	pingAfter = 80 * time.Millisecond
	pingLimit = 200 * time.Millisecond
	// drainLimit bounds the wait for errands at a shutdown.
	drainLimit = 1500 * time.Millisecond
	// drainPoll is the interval at which a drain looks for units in use.
	drainPoll = 20 * time.Millisecond
)

// Lender serves errands of other hosts. The exported fields are set before the first one.
type Lender struct {
	Desk  *desk.Desk
	Meter *meter.Meter

	inUse    atomic.Int64
	draining atomic.Bool
}

// Serve serves the errands of one stream; it is a link.Handler.
func (l *Lender) Serve(ctx context.Context, _ string, c *link.Conn) {
	var u pool.Unit
	defer func() {
		if u != nil {
			l.inUse.Add(-1)
			pool.Undo(u)
		}
	}()
	for ctx.Err() == nil {
		e := &wire.LendRequest{}
		if c.Recv(e) != nil {
			return
		}
		reply := &wire.LendReply{}
		if u == nil {
			var err error
			if u, err = l.open(ctx, e); err != nil {
				reply.Error = err.Error()
			}
		}
		if u != nil && l.run(u, e, reply) {
			u = nil
		}
		if c.Send(reply) != nil {
			return
		}
	}
}

func (l *Lender) open(ctx context.Context, e *wire.LendRequest) (pool.Unit, error) {
	m := l.find(ctx, e)
	if m == nil || l.draining.Load() {
		return nil, fault.New(fault.NotRun, fault.NoBackend, "instance %s is not held here", e.Instance)
	}
	u, err := m.Own(ctx, time.Duration(e.Patience), int(e.Rank))
	if err != nil {
		return nil, err
	}
	l.Meter.AddCounter("errands.opened", 1)
	l.inUse.Add(1)
	return u, nil
}

// find returns the instance of an errand. A host that has just started learns of it soon, often
// later than the hosts that ask: to turn them away would make each open a connection of its own.
func (l *Lender) find(ctx context.Context, e *wire.LendRequest) *desk.Member {
	if m := l.Desk.Find(e.Group, e.Instance); m != nil {
		return m
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.Patience))
	defer cancel()
	clock.Await(ctx, l.Desk.Informed())
	return l.Desk.Find(e.Group, e.Instance)
}

// run runs an errand. It reports whether the unit is done with.
func (l *Lender) run(u pool.Unit, e *wire.LendRequest, reply *wire.LendReply) bool {
	began := time.Now()
	a, stage, err := u.Run(time.Duration(e.Limit), flow.ValuesOf(e.Values), request(e.Question), e.Last)
	reply.Took = int64(time.Since(began))
	reply.Stage = uint32(stage)
	if err != nil {
		u.Close()
		l.inUse.Add(-1)
		reply.Error = err.Error()
		return true
	}
	reply.Rows, reply.Proof, reply.Code, reply.Text, reply.State = a.Rows, a.Proof, uint32(a.Code), a.Text, uint32(a.State)
	reply.Mark = &wire.LogPosition{Term: a.Mark.Term, Number: a.Mark.Position}
	if !done(e.Last, a) {
		return false
	}
	u.Release()
	l.inUse.Add(-1)
	return true
}

// done reports whether the connection is given back after an answer. Both sides go by it.
func done(last bool, a flow.Answer) bool { return last && a.State == flow.Idle }

// Drain takes no new errands and waits a while until none is under way. A transaction that
// takes longer is cut: a control host must hand over its lead in time.
func (l *Lender) Drain(ctx context.Context) {
	l.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for ctx.Err() == nil && l.inUse.Load() > 0 {
		clock.Sleep(ctx, drainPoll)
	}
}

func request(q *wire.InstanceRequest) flow.Request {
	return flow.Request{
		Op: flow.Op(q.GetOp()), ID: q.GetId(), Text: q.GetText(), Name: q.GetName(), Value: q.GetValue(), Shape: q.GetShape(), Writes: q.GetWrites(),
		After: token.Mark{Term: q.GetAfter().GetTerm(), Position: q.GetAfter().GetNumber()},
	}
}

func question(q flow.Request) *wire.InstanceRequest {
	w := &wire.InstanceRequest{Op: uint32(q.Op), Id: q.ID, Text: q.Text, Name: q.Name, Value: q.Value, Shape: q.Shape, Writes: q.Writes}
	if q.After != (token.Mark{}) {
		w.After = &wire.LogPosition{Term: q.After.Term, Number: q.After.Position}
	}
	return w
}

// Borrower opens units on other hosts. The exported fields are set before the first one.
type Borrower struct {
	Dialer *link.Dialer
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	mu      sync.Mutex
	streams map[string][]*link.Conn
	shunned map[string]time.Time
	// pings are the questions for a sign of life that are on their way, by host. Each is closed
	// with its answer; a host that gave none stands in shunned.
	pings map[string]chan struct{}
}

// errShunned tells of a host that has not answered a moment ago.
var errShunned = errors.New("lender did not answer a moment ago")

// Open opens the use of a connection that the host at addr has to an instance. The connection
// is taken with the first request.
func (b *Borrower) Open(addr, group, instance string, rank int, patience time.Duration) (pool.Unit, error) {
	if b.shuns(addr) {
		return nil, errShunned
	}
	c := b.kept(addr)
	if c == nil {
		ctx, cancel := context.WithTimeout(context.Background(), openLimit)
		defer cancel()
		var err error
		if c, err = b.Dialer.Open(ctx, addr, Service); err != nil {
			b.shun(addr)
			return nil, err
		}
	}
	return &unit{b: b, addr: addr, stream: c, first: &wire.LendRequest{Group: group, Instance: instance, Rank: int64(rank), Patience: int64(patience)}}, nil
}

func (b *Borrower) shuns(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Now().Before(b.shunned[addr])
}

// shun passes a host over that did not answer until it gives a sign of life, and closes what is
// kept to it.
func (b *Borrower) shun(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shunned == nil {
		b.shunned = map[string]time.Time{}
	}
	for _, c := range b.streams[addr] {
		c.Close()
	}
	delete(b.streams, addr)
	now := b.Now()
	if now.Before(b.shunned[addr]) {
		return
	}
	b.shunned[addr] = now.Add(reviveLimit)
	go b.revive(addr)
}

// doubt finds out whether a host that left a request unanswered is out of reach: it may be the
// instance that does not answer.
func (b *Borrower) doubt(addr string, c *link.Conn) {
	if c.SessionClosed() {
		b.shun(addr)
		return
	}
	go b.alive(addr, c)
}

// alive asks a host for a sign of life and passes it over where none comes. Calls for the same
// host share one question.
func (b *Borrower) alive(addr string, c *link.Conn) bool {
	b.mu.Lock()
	done, asked := b.pings[addr]
	if !asked {
		if b.pings == nil {
			b.pings = map[string]chan struct{}{}
		}
		done = make(chan struct{})
		b.pings[addr] = done
	}
	b.mu.Unlock()
	if asked {
		<-done
		return !b.shuns(addr)
	}
	err := c.Ping(pingLimit)
	if err != nil {
		b.shun(addr)
	}
	b.mu.Lock()
	delete(b.pings, addr)
	b.mu.Unlock()
	close(done)
	return err == nil
}

// revive asks a host that gave no sign of life for one until it does, and then passes it over no
// more. It ends after reviveLimit at the latest.
func (b *Borrower) revive(addr string) {
	for end := b.Now().Add(reviveLimit); b.Now().Before(end); {
		time.Sleep(revivePause)
		if b.answers(addr) {
			b.mu.Lock()
			delete(b.shunned, addr)
			b.mu.Unlock()
			return
		}
	}
}

// answers reports whether a host gives a sign of life on a new stream.
func (b *Borrower) answers(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), openLimit)
	defer cancel()
	c, err := b.Dialer.Open(ctx, addr, Service)
	if err != nil {
		return false
	}
	defer c.Close()
	return c.Ping(pingLimit) == nil
}

// kept returns an idle stream to a host, or nil.
func (b *Borrower) kept(addr string) *link.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for list := b.streams[addr]; len(list) > 0; list = b.streams[addr] {
		c := list[len(list)-1]
		b.streams[addr] = list[:len(list)-1]
		if !c.SessionClosed() {
			return c
		}
		c.Close()
	}
	return nil
}

func (b *Borrower) keep(addr string, c *link.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams == nil {
		b.streams = map[string][]*link.Conn{}
	}
	if len(b.streams[addr]) >= keptStreams {
		c.Close()
		return
	}
	b.streams[addr] = append(b.streams[addr], c)
}

// unit is the use of another host's connection.
type unit struct {
	b      *Borrower
	addr   string
	stream *link.Conn
	first  *wire.LendRequest
	// done is set once the lender has taken the connection back.
	done bool
}

// Run implements pool.Unit.
func (u *unit) Run(limit time.Duration, values flow.Values, q flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	e := &wire.LendRequest{Limit: int64(limit), Values: values.Pairs(), Question: question(q), Last: last}
	wait := limit + wayLimit
	if u.first != nil {
		e.Group, e.Instance, e.Rank, e.Patience = u.first.Group, u.first.Instance, u.first.Rank, u.first.Patience
		wait += time.Duration(u.first.Patience)
		u.first = nil
	}
	if err := u.stream.SetDeadline(time.Now().Add(wait)); err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	if err := u.stream.Send(e); err != nil {
		return flow.Answer{}, flow.Sent, err
	}
	r := &wire.LendReply{}
	if err := u.receive(r, q.Writes); err != nil {
		u.b.doubt(u.addr, u.stream)
		return flow.Answer{}, flow.Sent, err
	}
	if r.Error != "" {
		u.done = true
		return flow.Answer{}, flow.Stage(r.Stage), errors.New("lender: " + r.Error)
	}
	a := flow.Answer{
		Rows: r.Rows, Proof: r.Proof, Code: flow.Code(r.Code), Text: r.Text, State: flow.State(r.State),
		Mark: token.Mark{Term: r.Mark.GetTerm(), Position: r.Mark.GetNumber()},
	}
	u.done = done(last, a)
	return a, flow.Answered, nil
}

// receive waits for the answer. One that may be asked for elsewhere is not waited for longer
// than its host gives signs of life; what may have been written is.
func (u *unit) receive(r *wire.LendReply, writes bool) error {
	var mu sync.Mutex
	ended := false
	watch := time.AfterFunc(pingAfter, func() {
		alive := u.b.alive(u.addr, u.stream)
		mu.Lock()
		defer mu.Unlock()
		if !alive && !writes && !ended {
			_ = u.stream.SetDeadline(time.Now())
		}
	})
	defer watch.Stop()
	err := u.stream.Recv(r)
	// From here on the stream may serve another errand.
	mu.Lock()
	ended = true
	mu.Unlock()
	return err
}

// Release implements pool.Unit.
func (u *unit) Release() {
	if !u.done {
		u.stream.Close()
		return
	}
	u.b.keep(u.addr, u.stream)
}

// Close implements pool.Unit. A stream on which the lender has said what became of the
// request is in order, and serves again.
func (u *unit) Close() {
	if u.done {
		u.b.keep(u.addr, u.stream)
		return
	}
	u.stream.Close()
}
