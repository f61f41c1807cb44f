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

// unitOfWork runs the requests of one transaction, or one request outside of a transaction, on
// a group's holder. The holder is this host or another one.
type unitOfWork interface {
	Run(ctx context.Context, b *wire.Batch, sink holder.Sink) (holder.Outcome, error)
	Cancel(ctx context.Context)
	Close()
}

var (
	_ unitOfWork = (*holder.Work)(nil)
	_ unitOfWork = (*holder.RemoteWork)(nil)
)

// session is one connection of a caller. It has no goroutine between requests. While a request
// runs, busy is set and the fields below busy belong to the request's goroutine.
type session struct {
	srv    *Server
	conn   gnet.Conn
	ctx    context.Context
	cancel context.CancelFunc
	pid    uint32
	secret uint32

	mu     sync.Mutex
	busy   bool
	closed bool
	// openedAt is when the connection was accepted. used is set once it has carried a request.
	openedAt time.Time
	used     bool
	// startedAt is when the running request, or the last one, was started.
	startedAt time.Time
	// partialBytes is the size of the messages that wait for the end of a request, partialSince when the
	// last of them arrived.
	partialBytes int
	partialSince time.Time
	// failure, if set, ends the session once the running request has been answered.
	failure *fault.Error
	ending
	// work is the unit of work of the running request or open transaction, or nil.
	work unitOfWork
	// started is set once the startup message has been accepted.
	started bool
	// admitted is set once the connection counts against the caller's limit.
	admitted bool
	// pendingBatch has the messages of the extended protocol since the last Sync or Flush.
	pendingBatch []byte
	// skipToSync is set after an error in a batch that ends with Flush: messages are dropped
	// up to the next Sync.
	skipToSync bool

	user       string
	database   string
	group      string
	callerSpec spec.Caller
	// token has the positions that the session's reads must include.
	token token.Token
	// needsBarrier is set until the first request of a session that presented no token has run. That
	// request sees all acknowledged writes.
	needsBarrier bool
	// txStatus is the transaction status as the protocol reports it, such as holder.Idle.
	txStatus byte
	// unsynced is set outside of a transaction while messages were sent on without a Sync.
	unsynced bool
	// transactionLost is set while the caller has not yet ended a transaction that the proxy
	// rolled back.
	transactionLost bool
	// idempotencyKey is the key of the next write or transaction; empty means none.
	idempotencyKey   string
	statementTimeout time.Duration
	// prepared are the prepared statements by name.
	prepared map[string]*pgproto3.Parse
}

// handleClose releases the session's resources after its connection has closed. A running
// request releases the unit of work itself when it finishes.
func (s *session) handleClose() {
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

// startRequest runs one request in a new goroutine. mu must be held.
func (s *session) startRequest(fn func()) {
	s.busy, s.used, s.startedAt = true, true, s.srv.Now()
	s.srv.wg.Add(1)
	go func() {
		defer s.srv.wg.Done()
		fn()
		s.finishRequest()
	}()
}

// finishRequest marks the session as idle and wakes the event loop, which handles the next
// message.
func (s *session) finishRequest() {
	s.mu.Lock()
	s.busy = false
	closed := s.closed
	var w unitOfWork
	if closed || s.ended {
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

// cancelRunning cancels the running request, if there is one.
func (s *session) cancelRunning() {
	s.mu.Lock()
	w := s.work
	busy := s.busy
	s.mu.Unlock()
	if w != nil && busy {
		w.Cancel(s.ctx)
	}
}

// setWork sets the unit of work that requests run on.
func (s *session) setWork(w unitOfWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = w
}

// errorResponse converts an error to a protocol message; the detail holds verdict and reason.
// The cause is only logged, because it may contain internal addresses.
func errorResponse(e *fault.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.SQLState(), Message: e.Text, Hint: e.Hint,
		Detail: "verdict=" + e.Verdict.String() + " reason=" + string(e.Reason),
	}
}
