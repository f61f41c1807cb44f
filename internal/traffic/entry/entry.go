// Package entry provides the side of the proxy that callers see: it accepts connections,
// speaks the PostgreSQL protocol and passes units of work to holders.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/retry"
)

const (
	// bootLimit bounds the start of the listener.
	bootLimit = 5 * time.Second
	// drainPoll is the interval at which a drain looks for idle sessions.
	drainPoll = 20 * time.Millisecond
	// retryShare and retryMost are the budget of a caller's retries.
	retryShare = 0.2
	retryMost  = 100
)

// Server accepts callers. The exported fields are set before Run.
type Server struct {
	gnet.BuiltinEventEngine

	// Addr is the address that accepts callers.
	Addr string
	// Host is the name of this host.
	Host   string
	Agent  *agent.Agent
	Holder *holder.Holder
	Dialer *link.Dialer
	// Timeout bounds a statement unless the session sets another bound.
	Timeout time.Duration
	Log     *logs.Logger
	Meter   *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	ctx      context.Context
	engine   gnet.Engine
	booted   chan struct{}
	draining atomic.Bool
	mu       sync.Mutex
	sessions map[uint32]*session
	callers  map[string]*caller
	nextPid  uint32
	wg       sync.WaitGroup
}

var _ gnet.EventHandler = (*Server)(nil)

// caller is what this host keeps of a user name.
type caller struct {
	connections int
	budget      retry.Budget
}

// Run accepts callers until ctx ends; the end is reported on the channel. It returns once
// the address is bound.
func (s *Server) Run(ctx context.Context) (<-chan error, error) {
	s.ctx = ctx
	s.booted = make(chan struct{})
	s.sessions = map[uint32]*session{}
	s.callers = map[string]*caller{}
	failed := make(chan error, 1)
	done := make(chan error, 1)
	go func() {
		err := gnet.Run(s, "tcp://"+s.Addr, gnet.WithMulticore(true), gnet.WithReuseAddr(true),
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
	ctx, cancel := context.WithCancel(s.ctx)
	one := &session{srv: s, conn: c, ctx: ctx, cancel: cancel, status: holder.Idle, timeout: s.Timeout}
	c.SetContext(one)
	s.mu.Lock()
	s.nextPid++
	one.pid = s.nextPid
	s.sessions[one.pid] = one
	s.mu.Unlock()
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, gnet.Close
	}
	one.secret = binary.BigEndian.Uint32(secret[:])
	s.Meter.AddCounter("callers.opened", 1)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	return c.Context().(*session).traffic()
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	one, ok := c.Context().(*session)
	if !ok {
		return gnet.None
	}
	s.mu.Lock()
	delete(s.sessions, one.pid)
	if one.counted {
		s.callers[one.user].connections--
	}
	s.mu.Unlock()
	s.Meter.AddCounter("callers.closed", 1)
	one.end()
	return gnet.None
}

// admit counts a connection of a caller, within the limit.
func (s *Server) admit(one *session, limit int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.caller(one.user)
	if limit > 0 && c.connections >= limit {
		return fault.New(fault.NotRun, fault.CallerLimit, "caller %s has %d connections already", one.user, limit)
	}
	c.connections++
	one.counted = true
	return nil
}

func (s *Server) caller(user string) *caller {
	c := s.callers[user]
	if c == nil {
		c = &caller{budget: retry.Budget{Share: retryShare, Most: retryMost}}
		s.callers[user] = c
	}
	return c
}

// earn and spend keep the caller's budget of retries.
func (s *Server) earn(user string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caller(user).budget.Earn()
}

func (s *Server) spend(user string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caller(user).budget.Take()
}

// cancelSession cancels what the session with this key runs.
func (s *Server) cancelSession(pid, secret uint32) {
	s.mu.Lock()
	one := s.sessions[pid]
	s.mu.Unlock()
	if one == nil || one.secret != secret {
		return
	}
	s.Meter.AddCounter("callers.canceled", 1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		one.cancelRunning()
	}()
}

// Drain takes no new callers, ends each session once it is idle, and returns when none is
// left or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	for ctx.Err() == nil {
		s.mu.Lock()
		list := make([]*session, 0, len(s.sessions))
		for _, one := range s.sessions {
			list = append(list, one)
		}
		s.mu.Unlock()
		if len(list) == 0 {
			return
		}
		for _, one := range list {
			one.dismiss()
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPoll):
		}
	}
}

// Sessions returns the number of callers' connections.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// backoff returns the pauses between tries of a request.
func backoff() retry.Backoff {
	return retry.Backoff{First: 5 * time.Millisecond, Limit: 100 * time.Millisecond, Jitter: func(n time.Duration) time.Duration {
		return mrand.N(n)
	}}
}
