package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// unit is a unit of work on a holder, here or on another host.
type unit interface {
	Run(ctx context.Context, b *wire.Batch, sink holder.Sink) (holder.Outcome, error)
	Cancel(ctx context.Context)
	Close()
}

var (
	_ unit = (*holder.Work)(nil)
	_ unit = (*holder.Remote)(nil)
)

// session is one connection of a caller. Between two requests it has no goroutine; while
// one runs, busy is set and the fields below it belong to the goroutine that runs it.
type session struct {
	srv    *Server
	conn   gnet.Conn
	ctx    context.Context
	cancel context.CancelFunc
	pid    uint32
	secret uint32

	mu      sync.Mutex
	busy    bool
	closed  bool
	work    unit
	started bool
	counted bool
	pending []byte
	// skipping drops messages up to the next Sync, after an error before a Flush.
	skipping bool

	user     string
	database string
	group    string
	declared spec.Caller
	token    token.Token
	fresh    bool
	status   byte
	lost     bool
	key      string
	timeout  time.Duration
	prepared map[string]*pgproto3.Parse
}

// end ends a session whose connection is gone.
func (s *session) end() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	w := s.work
	if s.busy {
		w = nil
	} else {
		s.work = nil
	}
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
}

// run starts a goroutine for one request. The caller holds mu.
func (s *session) run(fn func()) {
	s.busy = true
	s.srv.wg.Add(1)
	go func() {
		defer s.srv.wg.Done()
		fn()
		s.finish()
	}()
}

// finish ends a request and lets the next one in.
func (s *session) finish() {
	s.mu.Lock()
	s.busy = false
	closed := s.closed
	var w unit
	if closed {
		w = s.work
		s.work = nil
	}
	s.mu.Unlock()
	if w != nil {
		w.Close()
	}
	if !closed {
		_ = s.conn.Wake(nil)
	}
}

// cancelRunning cancels the request that runs.
func (s *session) cancelRunning() {
	s.mu.Lock()
	w := s.work
	busy := s.busy
	s.mu.Unlock()
	if w != nil && busy {
		w.Cancel(s.ctx)
	}
}

// dismiss ends the session if it is idle, in the protocol's own way.
func (s *session) dismiss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.closed || s.status != holder.Idle || len(s.pending) > 0 {
		return
	}
	s.closed = true
	e := fault.New(fault.NotRun, fault.Draining, "host %s is shutting down", s.srv.Host).WithHint("connect again; another host takes over")
	s.fatal(e)
}

// fatal sends an error and closes the connection once it is written.
func (s *session) fatal(e *fault.Error) {
	s.srv.Meter.CountRefusal(e.Reason)
	b, err := errorResponse(e, "FATAL").Encode(nil)
	if err != nil {
		b = nil
	}
	_ = s.conn.AsyncWrite(b, func(c gnet.Conn, _ error) error { return c.Close() })
}

// setWork keeps the unit of work of an open transaction.
func (s *session) setWork(w unit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = w
}

// errorResponse returns the protocol's form of an error; the detail carries the verdict. The
// cause stays in the log: it may name addresses that are none of a caller's business.
func errorResponse(e *fault.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.SQLState(), Message: e.Text, Hint: e.Hint,
		Detail: "verdict=" + e.Verdict.String() + " reason=" + string(e.Reason),
	}
}
