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

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// session is one data connection.
type session struct {
	in      *Instance
	conn    net.Conn
	back    *pgproto3.Backend
	engine  *sql.Conn
	pid     uint32
	secret  [4]byte
	status  byte
	tx      *transaction
	writing atomic.Bool
	prep    map[string]string
	portals map[string]*portal
	failed  bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// transaction is an open transaction and the statements that it has to log.
type transaction struct {
	term       uint64
	readOnly   bool
	statements []statement
}

// pgError is an error with its SQLSTATE.
type pgError struct {
	code string
	text string
}

// Error returns the text.
func (e *pgError) Error() string { return e.text }

// SQLSTATEs that the stand-in answers with.
const (
	codeReadOnly    = "25006"
	codeTooMany     = "53300"
	codeCanceled    = "57014"
	codeSyntax      = "42601"
	codeUnique      = "23505"
	codeAborted     = "25P02"
	codeNoStatement = "26000"
	codeNoPortal    = "34000"
	codeUnsupported = "0A000"
	codeProtocol    = "08P01"
)

// serve goes through the startup of a connection and runs it as the kind it asks for.
func (in *Instance) serve(ctx context.Context, conn net.Conn) {
	back := pgproto3.NewBackend(conn, conn)
	back.SetMaxBodyLen(adapt.MaxMessage)
	for {
		m, err := back.ReceiveStartupMessage()
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
				in.serveAdmin(ctx, conn, back)
				return
			}
			in.serveData(ctx, conn, back)
			return
		}
	}
}

func (in *Instance) cancelSession(m *pgproto3.CancelRequest) {
	in.mu.Lock()
	s := in.cancels[m.ProcessID]
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

func (in *Instance) serveData(ctx context.Context, conn net.Conn, back *pgproto3.Backend) {
	s := &session{in: in, conn: conn, back: back, status: 'I', prep: map[string]string{}, portals: map[string]*portal{}}
	if !in.admit(s) {
		s.fail(&pgError{codeTooMany, "too many connections"})
		back.Flush()
		return
	}
	defer in.dismiss(s)
	time.Sleep(in.cfg.ConnectCost)
	engine, err := in.engine(ctx)
	if err != nil {
		return
	}
	s.engine = engine
	defer s.closeEngine()
	s.greet()
	s.loop(ctx)
}

func (in *Instance) engine(ctx context.Context) (*sql.Conn, error) {
	in.mu.Lock()
	db := in.db
	in.mu.Unlock()
	return db.Conn(ctx)
}

func (s *session) closeEngine() {
	if s.tx != nil {
		s.engine.ExecContext(context.Background(), "ROLLBACK")
	}
	s.engine.Close()
}

func (in *Instance) admit(s *session) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.open >= in.cfg.Connections {
		return false
	}
	in.open++
	in.nextPid++
	s.pid = in.nextPid
	rand.Read(s.secret[:])
	in.sessions[s] = struct{}{}
	in.cancels[s.pid] = s
	return true
}

func (in *Instance) dismiss(s *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.open--
	delete(in.sessions, s)
	delete(in.cancels, s.pid)
}

func (s *session) greet() {
	s.back.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	} {
		s.back.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.back.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]})
	s.ready()
}

func (s *session) ready() {
	s.back.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.back.Flush()
}

func (s *session) loop(ctx context.Context) {
	for {
		m, err := s.back.Receive()
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
		s.simple(ctx, m.String)
		s.ready()
	case *pgproto3.Sync:
		s.failed = false
		s.ready()
	case *pgproto3.Flush:
		s.back.Flush()
	default:
		if s.failed {
			return
		}
		if err := s.extended(ctx, m); err != nil {
			s.fail(err)
			s.failed = true
		}
	}
}

// fail sends an error; an open transaction is failed by it.
func (s *session) fail(err error) {
	var e *pgError
	if !errors.As(err, &e) {
		e = engineError(err)
	}
	s.back.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.text})
	if s.status == 'T' {
		s.status = 'E'
	}
}

// engineError maps the engine's texts to SQLSTATEs.
func engineError(err error) *pgError {
	text := err.Error()
	switch {
	case errors.Is(err, errFenced):
		return &pgError{codeReadOnly, text}
	case strings.Contains(text, "readonly database"):
		return &pgError{codeReadOnly, "cannot execute a write in a read-only transaction"}
	case strings.Contains(text, "UNIQUE constraint"):
		return &pgError{codeUnique, text}
	case errors.Is(err, context.Canceled), strings.Contains(text, "interrupted"):
		return &pgError{codeCanceled, "canceling statement due to user request"}
	}
	return &pgError{codeSyntax, text}
}

// serveAdmin answers orders instead of statements.
func (in *Instance) serveAdmin(ctx context.Context, conn net.Conn, back *pgproto3.Backend) {
	s := &session{in: in, conn: conn, back: back, status: 'I'}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s.greet()
	for {
		m, err := back.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		if err := s.order(q.String); err != nil {
			s.fail(&pgError{codeProtocol, err.Error()})
		}
		s.ready()
	}
}

func unsupported(what string) *pgError {
	return &pgError{codeUnsupported, fmt.Sprintf("%s is not supported here", what)}
}
