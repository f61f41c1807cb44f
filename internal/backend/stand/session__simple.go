package stand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// simpleQuery runs the statements of a simple query. Several statements without transaction control
// run in one implicit transaction, as in PostgreSQL.
func (s *session) simpleQuery(ctx context.Context, text string) {
	if err := checkText(text); err != nil {
		s.sendError(err)
		return
	}
	statements := splitStatements(text)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	implicit := len(statements) > 1 && s.tx == nil && !hasTransactionControl(statements)
	if implicit {
		if _, err := s.begin(ctx, false); err != nil {
			s.sendError(err)
			return
		}
	}
	for _, stmt := range statements {
		if err := s.runAndSend(ctx, stmt); err != nil {
			s.sendError(err)
			if implicit {
				s.rollback(ctx)
			}
			return
		}
	}
	if implicit {
		if _, err := s.commit(ctx); err != nil {
			s.sendError(err)
		}
	}
}

// hasTransactionControl reports whether a statement begins or ends a transaction.
func hasTransactionControl(statements []string) bool {
	for _, stmt := range statements {
		switch keyword(stmt) {
		case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT":
			return true
		}
	}
	return false
}

// runAndSend runs a statement and sends its rows and command tag in text format.
func (s *session) runAndSend(ctx context.Context, text string) error {
	res, err := s.run(ctx, text, nil)
	if err != nil {
		return err
	}
	if res.columns != nil {
		s.backend.Send(res.rowDescription(nil))
	}
	res.sendRows(s.backend, nil)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.commandTag)})
	return nil
}

// run runs one statement. All but transaction control and session settings occupy a slot.
func (s *session) run(ctx context.Context, text string, params []*string) (*result, error) {
	text = withoutComments(text)
	v := keyword(text)
	if s.txStatus == 'E' && v != "ROLLBACK" && v != "ABORT" && v != "COMMIT" && v != "END" {
		return nil, &pgError{codeTransactionAborted, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	ctx, done := s.cancelable(ctx)
	defer done()
	switch v {
	case "BEGIN", "START":
		return s.begin(ctx, strings.Contains(strings.ToUpper(text), "READ ONLY"))
	case "COMMIT", "END":
		return s.commit(ctx)
	case "ROLLBACK", "ABORT":
		return s.rollback(ctx)
	case "SET", "RESET", "DISCARD", "DEALLOCATE":
		return &result{commandTag: v}, nil
	case "COPY", "LISTEN", "NOTIFY", "VACUUM":
		return nil, unsupported(v)
	}
	select {
	case s.in.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.in.slots }()
	if s.in.cfg.StatementCost > 0 {
		time.Sleep(s.in.cfg.StatementCost)
	}
	if isRead(v) {
		return s.read(ctx, text, params)
	}
	return s.write(ctx, text, params)
}

// cancelable returns a context that a cancel request for the session cancels, and a function to call
// when the statement is done.
func (s *session) cancelable(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}

// isRead reports whether statements with the keyword v only read.
func isRead(v string) bool {
	switch v {
	case "SELECT", "VALUES", "EXPLAIN", "SHOW", "TABLE":
		return true
	}
	return false
}

// read runs a reading statement. The engine rejects writes meanwhile.
func (s *session) read(ctx context.Context, text string, params []*string) (*result, error) {
	if keyword(text) == "SHOW" {
		return s.show(text)
	}
	if _, err := s.engine.ExecContext(ctx, "PRAGMA query_only=ON"); err != nil {
		return nil, err
	}
	defer s.engine.ExecContext(context.Background(), "PRAGMA query_only=OFF")
	return s.queryEngine(ctx, text, params)
}

// show returns a server parameter. transaction_read_only is off on the primary only.
func (s *session) show(text string) (*result, error) {
	name := strings.ToLower(strings.TrimSpace(strings.TrimSpace(text)[len("SHOW"):]))
	values := map[string]string{"transaction_read_only": "off", "server_version": "15.0", "agatespindle.instance": s.in.cfg.Name}
	if !s.in.Status().Primary {
		values["transaction_read_only"] = "on"
	}
	v, ok := values[name]
	if !ok {
		return nil, &pgError{codeSyntaxError, fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	return &result{columns: []column{{name, oidText}}, rows: [][]any{{v}}, commandTag: "SHOW"}, nil
}

// write runs a writing statement, in an implicit transaction if none is open.
func (s *session) write(ctx context.Context, text string, params []*string) (*result, error) {
	implicit := s.tx == nil
	if implicit {
		if _, err := s.begin(ctx, false); err != nil {
			return nil, err
		}
	}
	if s.tx.readOnly {
		return nil, &pgError{codeReadOnly, "cannot execute " + keyword(text) + " in a read-only transaction"}
	}
	if !s.writing.Load() {
		if err := s.startWriting(ctx); err != nil {
			return nil, s.rollbackImplicit(implicit, err)
		}
	}
	res, err := s.queryEngine(ctx, text, params)
	if err != nil {
		return nil, s.rollbackImplicit(implicit, err)
	}
	s.tx.statements = append(s.tx.statements, statement{text, params})
	if implicit {
		if _, err := s.commit(ctx); err != nil {
			return nil, err
		}
	}
	return res, nil
}

// rollbackImplicit rolls back an implicit transaction and returns err.
func (s *session) rollbackImplicit(implicit bool, err error) error {
	if implicit {
		s.rollback(context.Background())
	}
	return err
}

// startWriting turns the open transaction into a writing one: it records the term and takes the
// engine's write lock. It returns an error unless the instance is the primary.
func (s *session) startWriting(ctx context.Context) error {
	st := s.in.Status()
	if !st.Primary {
		return &pgError{codeReadOnly, "cannot execute a write in a read-only transaction"}
	}
	if s.tx.term != 0 && s.tx.term != st.Term {
		return errFenced
	}
	s.tx.term = st.Term
	if _, err := s.engine.ExecContext(ctx, "ROLLBACK"); err != nil {
		return err
	}
	if _, err := s.engine.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	s.writing.Store(true)
	return nil
}

// begin opens a transaction, which becomes a writing one with its first write. It does nothing in an
// open transaction.
func (s *session) begin(ctx context.Context, readOnly bool) (*result, error) {
	if s.tx != nil {
		return &result{commandTag: "BEGIN"}, nil
	}
	if _, err := s.engine.ExecContext(ctx, "BEGIN"); err != nil {
		return nil, err
	}
	s.tx = &transaction{readOnly: readOnly}
	s.txStatus = 'T'
	return &result{commandTag: "BEGIN"}, nil
}

// commit commits the open transaction, or rolls back a failed one. After a write it sends the commit's
// position.
func (s *session) commit(ctx context.Context) (*result, error) {
	if s.tx == nil {
		return &result{commandTag: "COMMIT"}, nil
	}
	if s.txStatus == 'E' {
		return s.rollback(ctx)
	}
	tx := s.tx
	commitEngine := func() error {
		_, err := s.engine.ExecContext(context.Background(), "COMMIT")
		return err
	}
	if !s.writing.Load() {
		s.endTransaction()
		return &result{commandTag: "COMMIT"}, commitEngine()
	}
	position, err := s.in.commit(ctx, tx.term, tx.statements, commitEngine)
	if err != nil {
		s.rollback(context.Background())
		return nil, err
	}
	s.endTransaction()
	s.backend.Send(&pgproto3.ParameterStatus{Name: adapt.PositionParameter, Value: fmt.Sprintf("%d/%d", tx.term, position)})
	return &result{commandTag: "COMMIT"}, nil
}

// rollback rolls back the open transaction, if any.
func (s *session) rollback(context.Context) (*result, error) {
	if s.tx != nil {
		s.engine.ExecContext(context.Background(), "ROLLBACK")
	}
	s.endTransaction()
	return &result{commandTag: "ROLLBACK"}, nil
}

// endTransaction resets the transaction state of the session.
func (s *session) endTransaction() {
	s.tx = nil
	s.txStatus = 'I'
	s.writing.Store(false)
}

// splitStatements splits a simple query at semicolons outside of quotes and drops empty parts. It does
// not recognize semicolons in comments and dollar quotes.
func splitStatements(text string) []string {
	var parts []string
	start := 0
	var quote byte
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"':
			quote = c
		case c == ';':
			parts = appendPart(parts, text[start:i])
			start = i + 1
		}
	}
	return appendPart(parts, text[start:])
}

func appendPart(parts []string, part string) []string {
	if part = strings.TrimSpace(part); withoutComments(part) != "" {
		parts = append(parts, part)
	}
	return parts
}

// keyword returns the first keyword of a statement in upper case, skipping opening parentheses.
func keyword(text string) string {
	text = strings.TrimLeft(withoutComments(text), blanks+"(")
	end := strings.IndexFunc(text, func(r rune) bool { return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') })
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end])
}

// blanks are PostgreSQL's white space.
const blanks = " \t\n\r\f\v"

// withoutComments returns the text without the blanks and comments at its start.
func withoutComments(text string) string {
	for {
		text = strings.TrimLeft(text, blanks)
		switch {
		case strings.HasPrefix(text, "--"):
			end := strings.IndexAny(text, "\r\n")
			if end < 0 {
				return ""
			}
			text = text[end:]
		case strings.HasPrefix(text, "/*"):
			text = afterComment(text[2:])
		default:
			return text
		}
	}
}

// afterComment returns what follows a comment, whose start precedes the text. Comments nest.
func afterComment(text string) string {
	for depth := 1; depth > 0; {
		open, end := strings.Index(text, "/*"), strings.Index(text, "*/")
		switch {
		case end < 0:
			return ""
		case open >= 0 && open < end:
			depth++
			text = text[open+2:]
		default:
			depth--
			text = text[end+2:]
		}
	}
	return text
}
