// Package front accepts callers whose protocol is one request and one answer at a time, and
// runs their sessions. The protocol is a codec of function fields.
package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

const (
	// bootLimit bounds the start of the listener.
	bootLimit = 5 * time.Second
	// restBefore is the least age of a session that is closed on an unfit host; a caller that
	// the balancer sends here all the same is not turned away over and over.
	restBefore = time.Second
	// openingWait is how long an opening is held that comes before the host knows the declared
	// databases. Control is there within half a second of a restart of all hosts, and callers
	// wait for 2 s.
	openingWait = 700 * time.Millisecond
	// sweepInterval is the time between two looks at resting transactions.
	sweepInterval = 250 * time.Millisecond
)

// Message is one message of a caller. Exactly one of the fields is set.
type Message struct {
	Open *Opening
	Ask  *flow.Statement
	Quit bool
}

// Opening asks for a session.
type Opening struct {
	Database string
	Caller   string
}

// ErrTooLarge is returned by a codec for a message that is over its limit.
var ErrTooLarge = errors.New("message is too large")

// Codec speaks with callers. All fields are set.
type Codec struct {
	// Next reads the first whole message of b and returns its length; zero where b holds
	// none yet. An error ends the connection.
	Next func(b []byte) (Message, int, error)
	// Put appends an answer.
	Put func(b []byte, a flow.Answer) []byte
	// Welcome appends the answer to an opening.
	Welcome func(b []byte, a flow.Answer) []byte
}

const (
	// MessageLimit is the usual bound on the arrival of a message: callers send theirs in one go.
	MessageLimit = 3 * time.Second
	// UnreadLimit is the usual bound on answers that wait for a caller, the length of the longest
	// message.
	UnreadLimit = 1 << 20
)

// Bounds keep callers that trickle, do not read or come in herds from taking what others need. A
// zero sets no bound.
type Bounds struct {
	// Callers is the number of connections at once.
	Callers int
	// Message is how long a message may take to arrive whole, and how long a new connection may rest
	// before it asks for a session.
	Message time.Duration
	// Unread is how many bytes of answers may wait for a caller that does not read.
	Unread int
}

// Server accepts callers. The exported fields are set before Run.
type Server struct {
	gnet.BuiltinEventEngine

	Addr   string
	Codec  Codec
	Broker *sess.Broker
	Log    *logs.Logger
	Meter  *meter.Meter
	// Serves reports whether sessions may be opened.
	Serves func(now time.Time) bool
	// Informed, where set, is closed once sessions can be opened; openings before that are held.
	Informed <-chan struct{}
	// Unfit, where set, reports whether callers are better served by other hosts for now: then
	// idle sessions are closed, so that their callers connect anew through the balancer.
	Unfit func(now time.Time) bool
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
	// Quiet is how long a shutdown waits before it ends idle sessions: callers may still be
	// sent here until the balancer has noticed.
	Quiet time.Duration
	// Bounds are what one caller and all of them together may take up.
	Bounds Bounds
	// Patience is how long after the start of a shutdown an open transaction may go on.
	Patience time.Duration

	ctx      context.Context
	engine   gnet.Engine
	booted   chan struct{}
	mu       sync.Mutex
	sessions map[*caller]struct{}
	// drained is set once no session is left during a shutdown; none is taken in from then on.
	drained bool
	wg      sync.WaitGroup
}

var _ gnet.EventHandler = (*Server)(nil)

// Run accepts callers until ctx ends; the end is reported on the channel. It returns once
// the address is bound.
func (s *Server) Run(ctx context.Context) (<-chan error, error) {
	s.ctx = ctx
	s.booted = make(chan struct{})
	s.sessions = map[*caller]struct{}{}
	failed := make(chan error, 1)
	done := make(chan error, 1)
	go func() {
		err := gnet.Run(s, "tcp://"+s.Addr, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(logs.EngineLogger{Log: s.Log}))
		failed <- err
		s.wg.Wait()
		done <- err
	}()
	select {
	case <-s.booted:
	case err := <-failed:
		return nil, err
	case <-time.After(bootLimit):
		return nil, context.DeadlineExceeded
	}
	s.wg.Add(1)
	go s.sweep(ctx)
	context.AfterFunc(ctx, func() { _ = s.engine.Stop(context.Background()) })
	return done, nil
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	one := &caller{srv: s, conn: c, since: s.Now()}
	if reason := s.admit(one); reason != "" {
		s.Meter.AddCounter("refused."+reason, 1)
		return s.Codec.Welcome(nil, flow.Refuse(flow.Busy, flow.Idle, "host takes no more callers: "+reason)), gnet.Close
	}
	c.SetContext(one)
	s.Meter.AddCounter("callers.opened", 1)
	return nil, gnet.None
}

// admit takes a connection in, or returns why it can't.
func (s *Server) admit(one *caller) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.drained:
		return "stopping"
	case s.Bounds.Callers > 0 && len(s.sessions) >= s.Bounds.Callers:
		return "toomanycallers"
	}
	s.sessions[one] = struct{}{}
	return ""
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	one, ok := c.Context().(*caller)
	if !ok {
		return gnet.Close
	}
	return one.traffic(s.Now())
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	one, ok := c.Context().(*caller)
	if !ok {
		return gnet.None
	}
	s.mu.Lock()
	delete(s.sessions, one)
	s.mu.Unlock()
	s.Meter.AddCounter("callers.closed", 1)
	one.end()
	return gnet.None
}

func (s *Server) list() []*caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*caller, 0, len(s.sessions))
	for one := range s.sessions {
		all = append(all, one)
	}
	return all
}

// sweep ends transactions that rest for too long.
func (s *Server) sweep(ctx context.Context) {
	defer s.wg.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := s.Now()
		unfit := s.Unfit != nil && s.Unfit(now)
		for _, one := range s.list() {
			one.expire(now)
			one.limit(now)
			if unfit && now.Sub(one.since) > restBefore {
				one.dismiss(false)
			}
		}
	}
}

// drainPoll is the interval at which a drain looks for idle sessions.
const drainPoll = 25 * time.Millisecond

// emptied reports whether no session is left. Then none is taken in any more: what follows the
// drain would cut it.
func (s *Server) emptied() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = len(s.sessions) == 0
	return s.drained
}

// Drain lets sessions end: idle ones after Quiet, transactions when they end or after
// Patience. It returns when none is left or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	began := s.Now()
	s.Log.WithField("sessions", len(s.list())).Info("shutdown begins")
	for ctx.Err() == nil {
		now := s.Now()
		if now.Sub(began) >= s.Quiet {
			if s.emptied() {
				return
			}
			for _, one := range s.list() {
				one.dismiss(now.Sub(began) >= s.Patience)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPoll):
		}
	}
}
