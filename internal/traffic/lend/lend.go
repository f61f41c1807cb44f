// Package lend lets hosts run requests on connections to instances that are borrowed from other
// hosts, for instances that accept too few connections for all hosts. The Lender is the side of the
// lending host, the Borrower that of the host that borrows.
package lend

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// Service is the name of the stream service for requests on borrowed connections.
const Service = "errand"

const (
	// transitAllowance is added to the time limit of a request for the network between hosts.
	transitAllowance = 150 * time.Millisecond
	// minLimit is the least time limit of a request that has waited for a connection.
	minLimit = 10 * time.Millisecond
	// maxRequestBytes is the maximum size of a request: the longest statement and the largest session.
	maxRequestBytes = 8 << 20
	// maxIdleStreams is the maximum number of idle streams that are kept per lending host.
	maxIdleStreams = 8
	// openTimeout limits the opening of a stream.
	openTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes of an unresponsive host, and maxAvoidance the
	// longest time for which it is probed and avoided.
	probeInterval = 250 * time.Millisecond
	maxAvoidance  = 20 * time.Second
	// pingAfter is how long a request may go unanswered before the lending host is pinged, and
	// pingTimeout how long the ping may take; a round trip takes a few milliseconds.
	pingAfter   = 80 * time.Millisecond
	pingTimeout = 200 * time.Millisecond
	// withdrawalTimeout limits the wait, at shutdown, until other hosts know that this host lends no
	// more; an update reaches all of them within two lease renewals.
	withdrawalTimeout = time.Second
	// withdrawnQuiet is how long no request may have arrived by then.
	withdrawnQuiet = 150 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks for lent connections.
	drainPollInterval = 20 * time.Millisecond
	// mismatchLinesPerSecond limits the log lines about replies to other requests.
	mismatchLinesPerSecond = 5
)

// Lender runs other hosts' requests on this host's connections. The exported fields are set before
// the first call of Serve.
type Lender struct {
	Topology *topo.Topology
	Log      *logs.Logger
	Meter    *meter.Meter
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// Memory bounds the large requests and answers that are lent; nil means no bound.
	Memory *bounds.Budget
	// Withdrawn, if set, reports whether all other hosts know that this host lends no more.
	Withdrawn func() bool

	mu sync.Mutex
	// running are the streams with a request that has arrived and whose answer is not sent yet.
	running map[*lentStream]struct{}
	// held is the number of connections that are lent at present.
	held     int
	schedule drain.Schedule
	// arrivedAt is when the last request arrived.
	arrivedAt time.Time
	// loadVersion is the version of the last report of an instance's load.
	loadVersion atomic.Uint64
}

// lentStream is the lender's side of a stream. It lends at most one connection at a time.
type lentStream struct {
	lender *Lender
	conn   *link.Conn
	// host is the host that borrows.
	host string
	// handle is the lent connection to instance, or nil.
	handle   pool.Handle
	instance string
	// member is the instance of the last request, nil if it is not known, and database its database.
	member   *topo.Member
	database string
	// request is the ID of the last request.
	request string
	// claim holds the memory of an answer until it is sent.
	claim *bounds.Claim
}

// Serve serves the requests of one stream until the stream ends. It is a link.Handler.
func (l *Lender) Serve(ctx context.Context, from string, c *link.Conn) {
	s := &lentStream{lender: l, conn: c, host: from}
	defer s.rollback()
	c.SetMaxBytes(maxRequestBytes)
	c.SetBudget(l.Memory)
	s.claim = l.Memory.Open(func() {})
	defer s.claim.Close()
	for {
		req := &wire.LendRequest{}
		if c.Recv(req) != nil || !s.serve(ctx, req) {
			return
		}
	}
}

// serve answers one request. It returns false if the answer could not be sent.
func (s *lentStream) serve(ctx context.Context, req *wire.LendRequest) bool {
	s.request = string(req.Question.GetId())
	if req.Instance != "" {
		s.instance = req.Instance
	}
	now := s.lender.Now()
	s.lender.begin(now, s)
	defer s.lender.finish(s)
	defer s.claim.Force(bounds.Unsent, 0)
	abandoned := time.Now().Add(replyLimit(req) + transitAllowance)
	reply := s.answer(ctx, now, req)
	reply.Load, reply.Serial = s.load(), req.Serial
	if err := s.send(reply, abandoned); err != nil {
		s.logCut("borrower", err)
		return false
	}
	return true
}

// send sends a reply. Once the borrower has abandoned the request it no longer reads the reply, which may be
// larger than the stream's window; the reply then has transitAllowance.
func (s *lentStream) send(reply *wire.LendReply, abandoned time.Time) error {
	if earliest := time.Now().Add(transitAllowance); abandoned.Before(earliest) {
		abandoned = earliest
	}
	if err := s.conn.SetDeadline(abandoned); err != nil {
		return err
	}
	if err := s.conn.Send(reply); err != nil {
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// answer runs a request that arrived at a time, on a connection that it acquires unless one is lent
// already, and returns the reply.
func (s *lentStream) answer(ctx context.Context, arrived time.Time, req *wire.LendRequest) *wire.LendReply {
	l := s.lender
	reply := &wire.LendReply{}
	if err := l.refusal(arrived, s); err != nil {
		s.rollback()
		reply.Error = err.Error()
		return reply
	}
	if s.handle != nil && req.Instance != "" {
		s.rollback()
		l.Meter.AddCounter("errands.refused.held", 1)
		reply.Error = fault.New(fault.NotRun, fault.NoBackend, "the stream still holds a connection").Error()
		return reply
	}
	if s.handle == nil {
		s.member, s.database = l.findMember(ctx, req), req.Database
		if req.Movable && s.member != nil && s.member.Busy() {
			return l.decline(s.member)
		}
		handle, err := l.open(ctx, s.member, req)
		if err != nil {
			reply.Error = errorText(err)
			return reply
		}
		s.setHandle(handle)
	}
	if s.run(timeLimit(req, l.Now().Sub(arrived)), req, reply) {
		s.setHandle(nil)
	}
	return reply
}

// replyLimit returns how long a borrower waits for the reply to a request, without the time in the network.
// The limit of a write counts from when the borrower sent it; that of a read is for the answer alone,
// after the wait for a connection, since it can be tried elsewhere.
func replyLimit(req *wire.LendRequest) time.Duration {
	limit, patience := time.Duration(req.Limit), time.Duration(req.Patience)
	if req.Question.GetWrites() {
		return max(limit, patience)
	}
	return limit + patience
}

// timeLimit returns the time limit of a request that has waited for a connection.
func timeLimit(req *wire.LendRequest, waited time.Duration) time.Duration {
	limit := time.Duration(req.Limit)
	if !req.Question.GetWrites() {
		return limit
	}
	return min(limit, max(replyLimit(req)-waited, minLimit))
}

// setHandle sets the lent connection and counts it.
func (s *lentStream) setHandle(handle pool.Handle) {
	s.lender.mu.Lock()
	defer s.lender.mu.Unlock()
	if s.handle != nil {
		s.lender.held--
	}
	if s.handle = handle; handle != nil {
		s.lender.held++
	}
}

// rollback ends the lending of a connection with an open transaction, if there is one.
func (s *lentStream) rollback() {
	if handle := s.handle; handle != nil {
		s.setHandle(nil)
		pool.Rollback(handle)
	}
}

// logCut logs and counts a request whose answer does not reach the borrower.
func (s *lentStream) logCut(reason string, err error) {
	s.lender.Meter.AddCounter("errands.cut."+reason, 1)
	s.lender.Log.WithError(err).WithField("reason", reason).WithField("borrower", s.host).WithField("instance", s.instance).WithField("id", s.request).
		Warn("answer on a lent connection was not sent")
}

// begin counts a request as running.
func (l *Lender) begin(now time.Time, s *lentStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = map[*lentStream]struct{}{}
	}
	l.running[s] = struct{}{}
	l.arrivedAt = now
}

// finish ends a request that begin has counted.
func (l *Lender) finish(s *lentStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, s)
}

// refusal returns the error with which a request is refused because this host shuts down, or nil.
func (l *Lender) refusal(now time.Time, s *lentStream) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.handle == nil && l.schedule.StartsTransaction(now) || s.handle != nil && !l.schedule.Closes(now, lentIdle) {
		return nil
	}
	l.Meter.AddCounter("errands.refused.draining", 1)
	return fault.New(fault.NotRun, fault.NoBackend, "this host shuts down and does not lend connections to instance %s", s.instance)
}

// open acquires a handle to the requested instance from this host's own pool.
func (l *Lender) open(ctx context.Context, m *topo.Member, req *wire.LendRequest) (pool.Handle, error) {
	if m == nil {
		return nil, fault.New(fault.NotRun, fault.NoBackend, "this host does not lend connections to instance %s", req.Instance)
	}
	handle, err := m.OpenOwn(ctx, time.Duration(req.Patience), pool.Priority{Rank: int(req.Rank), Database: req.Database, Account: req.Account, MayBeLate: req.Late})
	if err != nil {
		return nil, err
	}
	l.Meter.AddCounter("errands.opened", 1)
	return handle, nil
}

// findMember returns the instance of a request, or nil. A host that has just started often learns of
// the instance later than the hosts that borrow, so findMember waits for the first manifest: a
// refusal would make each of those hosts open a connection of its own.
func (l *Lender) findMember(ctx context.Context, req *wire.LendRequest) *topo.Member {
	if m := l.Topology.Member(req.Group, req.Instance); m != nil {
		return m
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.Patience))
	defer cancel()
	clock.Await(ctx, l.Topology.ManifestLoaded())
	return l.Topology.Member(req.Group, req.Instance)
}

// run runs a request within limit and fills in the reply. It returns true if the connection is no longer lent.
func (s *lentStream) run(limit time.Duration, req *wire.LendRequest, reply *wire.LendReply) bool {
	start := time.Now()
	a, stage, err := s.handle.Run(limit, valuesFromWire(req.Values), requestFromWire(req.Question), req.Last)
	s.claim.Force(bounds.Unsent, answerBytes(a))
	reply.Took = int64(time.Since(start))
	reply.Stage = uint32(stage)
	if err != nil {
		s.handle.Close()
		reply.Error, reply.Limited = errorText(err), errors.Is(err, topo.ErrNoShare)
		return true
	}
	if a.Code == flow.Leaving {
		reply.Leaving, a.Code = true, flow.Overloaded
	}
	if a.Code == flow.Limited {
		reply.Limited, a.Code = true, flow.Overloaded
	}
	reply.Rows, reply.Proof, reply.Code, reply.Text, reply.State = a.Rows, []byte(a.Proof), uint32(a.Code), []byte(a.Text), uint32(a.State)
	reply.Mark = &wire.LogPosition{Term: a.Position.Term, Number: a.Position.Position}
	if !returnsConnection(req.Last, a) {
		return false
	}
	s.handle.Release()
	return true
}

// errorText returns the text of an error as a reply may hold it: as valid UTF-8.
func errorText(err error) string { return strings.ToValidUTF8(err.Error(), "\uFFFD") }

// answerBytes returns the number of bytes that an answer takes until it is sent, as read and encoded.
func answerBytes(a flow.Answer) int64 { return int64(2 * a.RowBytes()) }

// returnsConnection reports whether the connection returns to the lender after an answer. Lender and
// borrower must agree, so both use this function.
func returnsConnection(last bool, a flow.Answer) bool { return last && a.State == flow.Idle }

// lentIdle is a lent connection between two requests of a transaction.
var lentIdle = drain.Conn{Used: true, InTransaction: true}

// StopLending starts a drain: from then on, requests for connections that are not lent yet are refused as
// not run, so that borrowers ask other hosts at once, and those of open transactions once the
// schedule ends them. Only the first call has an effect.
func (l *Lender) StopLending(schedule drain.Schedule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.schedule.Active() {
		l.schedule = schedule
	}
}

// Drain waits, after StopLending, until all running requests are answered, which their own time limits
// bound, the transactions have ended, and no more requests are on their way. It returns early if ctx
// ends.
func (l *Lender) Drain(ctx context.Context) {
	for ctx.Err() == nil {
		now := l.Now()
		if l.drained(now) && (l.isWithdrawn(now) || l.withdrawalOverdue(now)) {
			break
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	l.logUnfinished()
}

// drained reports whether no request is running and none will be accepted any more.
func (l *Lender) drained(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running) == 0 && (l.held == 0 || l.schedule.Closes(now, lentIdle))
}

// isWithdrawn reports whether no host sends requests any more. One that is on its way when the connection
// to the borrower is closed cannot be refused, and a write would be in doubt.
func (l *Lender) isWithdrawn(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.arrivedAt) >= withdrawnQuiet && (l.Withdrawn == nil || l.Withdrawn())
}

// withdrawalOverdue reports whether the wait for other hosts has lasted too long.
func (l *Lender) withdrawalOverdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.schedule.Started) >= withdrawalTimeout
}

// logUnfinished logs the requests and counts the transactions that the end of a drain breaks off.
func (l *Lender) logUnfinished() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.running {
		s.logCut("drained", context.DeadlineExceeded)
	}
	l.Meter.AddCounter("errands.ended.transaction", int64(l.held))
}

func requestFromWire(q *wire.InstanceRequest) flow.Request {
	return flow.Request{
		Op: flow.Op(q.GetOp()), ID: string(q.GetId()), Text: string(q.GetText()), Name: string(q.GetName()), Value: string(q.GetValue()),
		Template: string(q.GetShape()), Writes: q.GetWrites(),
		MinPosition: token.Position{Term: q.GetAfter().GetTerm(), Position: q.GetAfter().GetNumber()},
	}
}

func requestToWire(r flow.Request) *wire.InstanceRequest {
	w := &wire.InstanceRequest{Op: uint32(r.Op), Id: []byte(r.ID), Text: []byte(r.Text), Name: []byte(r.Name), Value: []byte(r.Value), Shape: []byte(r.Template), Writes: r.Writes}
	if r.MinPosition != (token.Position{}) {
		w.After = &wire.LogPosition{Term: r.MinPosition.Term, Number: r.MinPosition.Position}
	}
	return w
}

func valuesFromWire(pairs [][]byte) flow.Values {
	list := make([]string, 0, len(pairs))
	for _, b := range pairs {
		list = append(list, string(b))
	}
	return flow.ValuesOf(list)
}

func valuesToWire(v flow.Values) [][]byte {
	var list [][]byte
	v.Each(func(name, value string) { list = append(list, []byte(name), []byte(value)) })
	return list
}
