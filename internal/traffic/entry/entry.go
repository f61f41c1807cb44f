// Package entry implements the caller-facing side of the proxy: it accepts connections, speaks
// the PostgreSQL protocol and forwards units of work to holders, the hosts that serve a group.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mrand "math/rand/v2"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/retry"
)

const (
	// listenTimeout limits the time to start the listener.
	listenTimeout = 5 * time.Second
	// retryBudgetRatio is the number of retries that a caller's budget gains per request;
	// retryBudgetMax is the maximum number of retries that the budget holds.
	retryBudgetRatio = 0.2
	retryBudgetMax   = 100
)

// Server accepts connections of callers. Set the exported fields before Run.
type Server struct {
	gnet.BuiltinEventEngine

	// Addr is the TCP address to listen on, as host:port.
	Addr string
	// Host is the name of this host.
	Host   string
	Agent  *agent.Agent
	Holder *holder.Holder
	Dialer *link.Dialer
	// Timeout limits the time of a statement, unless the session sets agatespindle.timeout.
	Timeout time.Duration
	// ReadTimeout is how long a caller may read nothing of an answer before its connection is closed.
	// Zero means 30 s.
	ReadTimeout time.Duration
	Log         *logs.Logger
	Meter       *meter.Meter
	// Now returns the current time; tests replace it.
	Now func() time.Time

	ctx    context.Context
	engine gnet.Engine
	// listening is closed once the listener has started.
	listening chan struct{}
	drain     drain.Current
	// mu guards sessions, ending, callers and nextPID.
	mu       sync.Mutex
	sessions map[uint32]*session
	// ending are the sessions that have ended and whose connections are still open.
	ending  map[uint32]*session
	callers map[string]*callerState
	nextPID uint32
	wg      sync.WaitGroup
}

var _ gnet.EventHandler = (*Server)(nil)

// callerState is this host's state of a caller.
type callerState struct {
	connections int
	retryBudget retry.Budget
}

// Run starts accepting connections until ctx ends, and returns once the listener has started.
// The channel gets the error with which the listener ended, or nil, after all requests are
// finished. Run fails if the listener does not start within listenTimeout.
func (s *Server) Run(ctx context.Context) (<-chan error, error) {
	s.ctx = ctx
	s.listening = make(chan struct{})
	s.sessions = map[uint32]*session{}
	s.ending = map[uint32]*session{}
	s.callers = map[string]*callerState{}
	listenErr := make(chan error, 1)
	done := make(chan error, 1)
	go func() {
		err := gnet.Run(s, "tcp://"+s.Addr, gnet.WithMulticore(true), gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithTicker(true), gnet.WithLogger(logs.EngineLogger{Log: s.Log}))
		listenErr <- err
		s.wg.Wait()
		done <- err
	}()
	select {
	case <-s.listening:
	case err := <-listenErr:
		return nil, err
	case <-time.After(listenTimeout):
		return nil, context.DeadlineExceeded
	}
	context.AfterFunc(ctx, func() { _ = s.engine.Stop(context.Background()) })
	return done, nil
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	close(s.listening)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	ctx, cancel := context.WithCancel(s.ctx)
	sess := &session{srv: s, conn: c, ctx: ctx, cancel: cancel, openedAt: s.Now(), txStatus: holder.Idle, statementTimeout: s.Timeout}
	c.SetContext(sess)
	s.mu.Lock()
	s.nextPID++
	sess.pid = s.nextPID
	s.sessions[sess.pid] = sess
	s.mu.Unlock()
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, gnet.Close
	}
	sess.secret = binary.BigEndian.Uint32(secret[:])
	s.Meter.AddCounter("callers.opened", 1)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	return c.Context().(*session).handleInbound(s.Now())
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	sess, ok := c.Context().(*session)
	if !ok {
		return gnet.None
	}
	if err == nil {
		sess.logCut(s.Now())
	}
	sess.handleClose()
	s.mu.Lock()
	delete(s.sessions, sess.pid)
	delete(s.ending, sess.pid)
	if sess.admitted {
		s.callers[sess.user].connections--
	}
	s.mu.Unlock()
	s.Meter.AddCounter("callers.closed", 1)
	return gnet.None
}

// admitConnection counts a connection of the session's caller. It fails if the caller already
// has limit connections to this host; zero means no limit.
func (s *Server) admitConnection(sess *session, limit int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callerState(sess.user)
	if limit > 0 && c.connections >= limit {
		return fault.New(fault.NotRun, fault.CallerLimit, "caller %s already has %d connections", sess.user, limit)
	}
	c.connections++
	sess.admitted = true
	return nil
}

// callerState returns the state of a caller and creates it if needed. mu must be held.
func (s *Server) callerState(user string) *callerState {
	c := s.callers[user]
	if c == nil {
		c = &callerState{retryBudget: retry.Budget{Ratio: retryBudgetRatio, Max: retryBudgetMax}}
		s.callers[user] = c
	}
	return c
}

// creditRetryBudget adds the share of one request to the caller's retry budget.
func (s *Server) creditRetryBudget(user string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callerState(user).retryBudget.Deposit()
}

// takeRetry takes one retry from the caller's retry budget. It reports false if none is left.
func (s *Server) takeRetry(user string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callerState(user).retryBudget.TryWithdraw()
}

// cancelSession cancels the running request of a session, if the secret matches its key.
func (s *Server) cancelSession(pid, secret uint32) {
	s.mu.Lock()
	sess := s.sessions[pid]
	s.mu.Unlock()
	if sess == nil || sess.secret != secret {
		return
	}
	s.Meter.AddCounter("callers.canceled", 1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		sess.cancelRunning()
	}()
}

// Sessions returns the number of open connections.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// newRetryBackoff returns the backoff between attempts of a request.
func newRetryBackoff() retry.Backoff {
	return retry.Backoff{Initial: 5 * time.Millisecond, Max: 100 * time.Millisecond, Jitter: func(n time.Duration) time.Duration {
		return mrand.N(n)
	}}
}
