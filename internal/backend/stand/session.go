package stand

import (
	"context"
	"crypto/rand"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// session is one client connection. An admin connection has no engine and no PID.
type session struct {
	in         *Instance
	conn       net.Conn
	backend    *pgproto3.Backend
	engine     *sql.Conn
	pid        uint32
	secret     [4]byte
	txStatus   byte              // as in ReadyForQuery: 'I' idle, 'T' in a transaction, 'E' in a failed one
	tx         *transaction      // nil unless a transaction is open
	writing    atomic.Bool       // the open transaction has written
	prepared   map[string]string // statement text by name
	portals    map[string]*portal
	skipToSync bool // after an error, ignore extended query messages until Sync

	mu     sync.Mutex
	cancel context.CancelFunc // cancels the running statement, or nil
}

// transaction is an open transaction. statements are the writes that its commit appends to the log;
// term is that of the primary at the first write.
type transaction struct {
	term       uint64
	readOnly   bool
	statements []statement
}

// pgError is an error with its SQLSTATE.
type pgError struct {
	code    string
	message string
}

// Error returns the message without the SQLSTATE.
func (e *pgError) Error() string { return e.message }

// SQLSTATEs of error responses.
const (
	codeReadOnly           = "25006"
	codeTooManyConnections = "53300"
	codeQueryCanceled      = "57014"
	codeSyntaxError        = "42601"
	codeUniqueViolation    = "23505"
	codeTransactionAborted = "25P02"
	codeUnknownStatement   = "26000"
	codeUnknownPortal      = "34000"
	codeUnsupported        = "0A000"
	codeProtocolViolation  = "08P01"
	codeNoText             = "22021"
)

// serve performs the startup of a connection and serves it as a data or an admin connection,
// depending on the database name. A cancel request is executed without a response.
func (in *Instance) serve(ctx context.Context, conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(adapt.MaxMessageBytes)
	for {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			in.cancelSession(m)
			return
		case *pgproto3.StartupMessage:
			if m.Parameters["database"] == adapt.AdminDatabase {
				in.serveAdmin(ctx, conn, backend)
				return
			}
			in.serveData(ctx, conn, backend)
			return
		}
	}
}

// cancelSession cancels the running statement of a session if the secret key matches.
func (in *Instance) cancelSession(m *pgproto3.CancelRequest) {
	in.mu.Lock()
	s := in.sessionsByPID[m.ProcessID]
	in.mu.Unlock()
	if s == nil || string(s.secret[:]) != string(m.SecretKey) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// serveData serves a data connection. It answers with an error if too many are open.
func (in *Instance) serveData(ctx context.Context, conn net.Conn, backend *pgproto3.Backend) {
	s := &session{in: in, conn: conn, backend: backend, txStatus: 'I', prepared: map[string]string{}, portals: map[string]*portal{}}
	if !in.register(s) {
		s.sendError(&pgError{codeTooManyConnections, "too many connections"})
		backend.Flush()
		return
	}
	defer in.unregister(s)
	time.Sleep(in.cfg.ConnectCost)
	engine, err := in.openEngineConn(ctx)
	if err != nil {
		return
	}
	s.engine = engine
	defer s.closeEngine()
	s.sendStartupResponse()
	s.receiveLoop(ctx)
}

// openEngineConn opens a connection to the current engine database.
func (in *Instance) openEngineConn(ctx context.Context) (*sql.Conn, error) {
	in.mu.Lock()
	db := in.db
	in.mu.Unlock()
	return db.Conn(ctx)
}

// closeEngine rolls back an open transaction and closes the engine connection.
func (s *session) closeEngine() {
	if s.tx != nil {
		s.engine.ExecContext(context.Background(), "ROLLBACK")
	}
	s.engine.Close()
}

// register adds a data connection and assigns its process ID and secret key. It returns false if
// MaxConnections are open.
func (in *Instance) register(s *session) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.openConns >= in.cfg.MaxConnections {
		return false
	}
	in.openConns++
	in.lastPID++
	s.pid = in.lastPID
	rand.Read(s.secret[:])
	in.sessions[s] = struct{}{}
	in.sessionsByPID[s.pid] = s
	return true
}

func (in *Instance) unregister(s *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.openConns--
	delete(in.sessions, s)
	delete(in.sessionsByPID, s.pid)
}

// sendStartupResponse accepts any user and sends the server parameters and the cancel key.
func (s *session) sendStartupResponse() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]})
	s.sendReady()
}

// sendReady ends the portals unless a transaction is open: they end with theirs.
func (s *session) sendReady() {
	if s.tx == nil {
		clear(s.portals)
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	s.backend.Flush()
}

// receiveLoop handles messages until the client terminates or the connection fails.
func (s *session) receiveLoop(ctx context.Context) {
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, end := m.(*pgproto3.Terminate); end {
			return
		}
		s.handle(ctx, m)
	}
}

func (s *session) handle(ctx context.Context, m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		s.simpleQuery(ctx, m.String)
		s.sendReady()
	case *pgproto3.Sync:
		s.skipToSync = false
		s.sendReady()
	case *pgproto3.Flush:
		s.backend.Flush()
	default:
		if s.skipToSync {
			return
		}
		if err := s.extendedMessage(ctx, m); err != nil {
			s.sendError(err)
			s.skipToSync = true
		}
	}
}

// sendError sends an error response and marks an open transaction as failed.
func (s *session) sendError(err error) {
	var e *pgError
	if !errors.As(err, &e) {
		e = engineError(err)
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message})
	if s.txStatus == 'T' {
		s.txStatus = 'E'
	}
}

// engineError assigns a SQLSTATE to an error by its type or the engine's message.
func engineError(err error) *pgError {
	text := err.Error()
	switch {
	case errors.Is(err, errFenced):
		return &pgError{codeReadOnly, text}
	case strings.Contains(text, "readonly database"):
		return &pgError{codeReadOnly, "cannot execute a write in a read-only transaction"}
	case strings.Contains(text, "UNIQUE constraint"):
		return &pgError{codeUniqueViolation, text}
	case errors.Is(err, context.Canceled), strings.Contains(text, "interrupted"):
		return &pgError{codeQueryCanceled, "canceling statement due to user request"}
	}
	return &pgError{codeSyntaxError, text}
}

// serveAdmin serves an admin connection, on which each simple query is an admin command.
func (in *Instance) serveAdmin(ctx context.Context, conn net.Conn, backend *pgproto3.Backend) {
	s := &session{in: in, conn: conn, backend: backend, txStatus: 'I'}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s.sendStartupResponse()
	for {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		if err := s.adminCommand(q.String); err != nil {
			s.sendError(&pgError{codeProtocolViolation, err.Error()})
		}
		s.sendReady()
	}
}

// checkText returns an error unless the text is one in the server's encoding, UTF8. The log, which is JSON, could
// not hold it as it is.
func checkText(text string) error {
	if !utf8.ValidString(text) || strings.IndexByte(text, 0) >= 0 {
		return &pgError{codeNoText, "invalid byte sequence for encoding \"UTF8\""}
	}
	return nil
}

// unsupported returns the error for a feature that this server does not implement.
func unsupported(feature string) *pgError {
	return &pgError{codeUnsupported, fmt.Sprintf("%s is not supported here", feature)}
}
