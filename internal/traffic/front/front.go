// Package front accepts caller connections and runs their sessions, for protocols with one request
// and one answer at a time. A Codec implements the protocol.
package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

const (
	// startTimeout limits how long the listener may take to start.
	startTimeout = 5 * time.Second
	// minShedAge is the minimum age of a connection that is closed while callers are shed. A caller that
	// the load balancer sends back here is then not disconnected over and over.
	minShedAge = time.Second
	// startupHoldLimit is how long a startup message is held while the host does not know the declared
	// databases. The control quorum is available within 500 ms of a restart of all hosts, and callers
	// time out after 2 s.
	startupHoldLimit = 700 * time.Millisecond
	// readTimeout is how long a caller may read nothing of answers that hold up its next message or the
	// close of its connection.
	readTimeout = 3 * time.Second
	// sweepInterval is the interval between checks of idle transactions and caller timeouts.
	sweepInterval = 250 * time.Millisecond
)

// Message is one message from a caller. Exactly one of the fields is set.
type Message struct {
	Startup   *Startup
	Statement *flow.Statement
	Quit      bool
}

// Startup is the first message of a connection; it opens a session.
type Startup struct {
	Database string
	// Key identifies the caller's client account; it must not be logged.
	Key string
}

// ErrTooLarge is returned by a codec for a message that exceeds its size limit.
var ErrTooLarge = errors.New("message is too large")

// Codec parses callers' messages and encodes answers. All fields are required.
type Codec struct {
	// ParseMessage parses the first message in b and returns its length in bytes, or zero if b holds
	// no complete message yet. An error closes the connection.
	ParseMessage func(b []byte) (Message, int, error)
	// AppendAnswer appends an encoded answer to a statement.
	AppendAnswer func(b []byte, a flow.Answer) []byte
	// AppendStartupAnswer appends the encoded answer to a startup message.
	AppendStartupAnswer func(b []byte, a flow.Answer) []byte
	// MaxMessage is the size of the longest message in bytes, with its end.
	MaxMessage int
	// MayEnd, if set, reports whether b may hold the end of its first message, or a message that is too
	// large. The first searched bytes of b hold no end. A message that arrives in many pieces is then parsed
	// only once.
	MayEnd func(b []byte, searched int) bool
}

const (
	// DefaultMessageTimeout is the default for Limits.MessageTimeout. Callers send a message in one
	// write, so it normally arrives at once.
	DefaultMessageTimeout = 3 * time.Second
	// DefaultUnreadBytes is the default for Limits.UnreadBytes: the size of the largest message.
	DefaultUnreadBytes = 1 << 20
	// DefaultSessionBytes is the default for Limits.SessionBytes: two of the largest messages.
	DefaultSessionBytes = 2 << 20
	// DefaultSessionValues is the default for Limits.SessionValues. Setting one copies the list of all.
	DefaultSessionValues = 1000
)

// Limits protect the host against callers that send slowly, do not read answers or connect in large
// numbers. A zero field means no limit.
type Limits struct {
	// Callers is the maximum number of concurrent connections.
	Callers int
	// MessageTimeout is how long a message may take to arrive completely, and how long a new connection
	// may take to send its startup message.
	MessageTimeout time.Duration
	// UnreadBytes is how many bytes of answers may be buffered before the caller's next message is
	// handled. A caller that sends one and reads nothing for readTimeout is disconnected.
	UnreadBytes int
	// SessionBytes is how many bytes the values and prepared statements of a session may take.
	SessionBytes int
	// SessionValues is how many values a session may have.
	SessionValues int
}

// Server accepts caller connections. The exported fields are set before Run.
type Server struct {
	gnet.BuiltinEventEngine

	Addr     string
	Codec    Codec
	Sessions *sess.Manager
	Log      *logs.Logger
	Meter    *meter.Meter
	// CanOpenSession reports whether the host can open sessions.
	CanOpenSession func(now time.Time) bool
	// DatabasesKnown, if set, is closed once sessions can be opened; startup messages are held
	// until then, for at most startupHoldLimit.
	DatabasesKnown <-chan struct{}
	// ShedCallers, if set, reports whether other hosts can currently serve callers better. Idle
	// connections are then closed, so that callers reconnect through the load balancer.
	ShedCallers func(now time.Time) bool
	// Now returns the current time. Tests may replace it.
	Now func() time.Time
	// DrainDelay is how long a drain waits before it closes idle connections: the load balancer
	// sends new callers here until it notices the shutdown.
	DrainDelay time.Duration
	// Limits are the limits per caller and for all callers together.
	Limits Limits
	// Memory bounds what callers hold; nil means no bound.
	Memory *bounds.Budget
	// TransactionLimit is how long after the start of a drain open transactions may continue.
	TransactionLimit time.Duration

	ctx     context.Context
	engine  gnet.Engine
	started chan struct{}
	mu      sync.Mutex
	callers map[*caller]struct{}
	// madeRoomAt is when a connection was last looked for that makes room; only the event loop uses it.
	madeRoomAt time.Time
	// drained is set once no connection is left during a drain; new ones are refused from then on.
	drained bool
	drain   drain.Current
	wg      sync.WaitGroup
}

var _ gnet.EventHandler = (*Server)(nil)

// Run accepts callers until ctx is done. It returns once the address is bound, or an error if that
// fails or takes longer than 5 s. The channel receives the result when the server has stopped.
func (s *Server) Run(ctx context.Context) (<-chan error, error) {
	s.ctx = ctx
	s.started = make(chan struct{})
	s.callers = map[*caller]struct{}{}
	failed := make(chan error, 1)
	done := make(chan error, 1)
	go func() {
		err := gnet.Run(s, "tcp://"+s.Addr, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithReusePort(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(logs.EngineLogger{Log: s.Log}))
		failed <- err
		s.wg.Wait()
		done <- err
	}()
	select {
	case <-s.started:
	case err := <-failed:
		return nil, err
	case <-time.After(startTimeout):
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
	s.keepPort(e)
	close(s.started)
	return gnet.None
}

// keepPort makes sure that no other process listens on the port. The engine is told to share it only so that
// it accepts connections in the event loop, one at a time: elsewhere it accepts all that wait, before any of
// them can be refused, and it ends when the process has no descriptor left.
func (s *Server) keepPort(e gnet.Engine) {
	fd, err := e.Dup()
	if err == nil {
		err = errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 0), unix.Close(fd))
	}
	if err != nil {
		s.Log.WithField("error", err.Error()).Error("port of callers stays shared")
	}
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	cl := &caller{srv: s, conn: c, connectedAt: s.Now()}
	if reason := s.admit(cl); reason != "" {
		s.Meter.AddCounter("refused."+reason, 1)
		if reason == reasonTooMany {
			s.makeRoom(cl.connectedAt)
		}
		return s.Codec.AppendStartupAnswer(nil, flow.ErrorAnswer(flow.Busy, flow.Idle, "host takes no more callers: "+reason)), gnet.Close
	}
	c.SetContext(cl)
	s.Meter.AddCounter("callers.opened", 1)
	return nil, gnet.None
}

// reasonTooMany is the reason why a connection beyond Limits.Callers is refused.
const reasonTooMany = "toomanycallers"

// admit registers a connection, or returns the reason why it is refused.
func (s *Server) admit(cl *caller) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.drained:
		return "stopping"
	case s.Limits.Callers > 0 && len(s.callers) >= s.Limits.Callers:
		return reasonTooMany
	}
	cl.claim = s.Memory.Open(cl.wake)
	s.callers[cl] = struct{}{}
	return ""
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	cl, ok := c.Context().(*caller)
	if !ok {
		return gnet.Close
	}
	return cl.handleTraffic(s.Now())
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	cl, ok := c.Context().(*caller)
	if !ok {
		return gnet.None
	}
	if err == nil {
		cl.logCut(s.Now())
	}
	s.mu.Lock()
	delete(s.callers, cl)
	s.mu.Unlock()
	s.Meter.AddCounter("callers.closed", 1)
	cl.handleClose()
	return gnet.None
}

// listCallers returns the current connections.
func (s *Server) listCallers() []*caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*caller, 0, len(s.callers))
	for cl := range s.callers {
		all = append(all, cl)
	}
	return all
}

// sweep periodically ends idle transactions, closes connections that exceed a timeout, and closes idle
// connections while callers are shed.
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
		shed := s.ShedCallers != nil && s.ShedCallers(now)
		for _, cl := range s.listCallers() {
			cl.enforceKey()
			cl.expireTransaction(now)
			cl.enforceTimeouts(now)
			if shed && now.Sub(cl.connectedAt) > minShedAge {
				cl.shed()
			}
		}
	}
}

// drainPollInterval is the interval at which a drain checks for idle connections.
const drainPollInterval = 25 * time.Millisecond

// stopAdmittingIfEmpty reports whether no connection is left, and if so refuses new ones from then on:
// the shutdown that follows the drain would break them.
func (s *Server) stopAdmittingIfEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = len(s.callers) == 0
	return s.drained
}

// Drain closes connections by the rules of package drain: idle ones after DrainDelay, those with a
// transaction when it ends or after TransactionLimit, and those with a running statement after its
// answer. Statements that still run shortly before ctx ends are answered as possibly run. It returns
// when no connection is left or ctx is done.
func (s *Server) Drain(ctx context.Context) {
	started := s.Now()
	schedule := drain.New(started, s.DrainDelay, s.TransactionLimit, drain.Deadline(ctx, started))
	s.drain.Begin(schedule)
	s.Log.WithField("sessions", len(s.listCallers())).Info("draining caller connections")
	for ctx.Err() == nil {
		now := s.Now()
		if schedule.ClosesIdle(now) {
			if s.stopAdmittingIfEmpty() {
				return
			}
			s.closeCallers(schedule.Overdue(now))
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}

// closeCallers has idle connections closed, and answers the statements that still run if overdue is set.
func (s *Server) closeCallers(overdue bool) {
	for _, cl := range s.listCallers() {
		if overdue {
			cl.abandon()
		}
		cl.closeWhenIdle()
	}
}
