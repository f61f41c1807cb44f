package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/stmt"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Session parameters of agatespindle and their limits.
const (
	// paramSession is the session token. Changes are reported to the caller, and it can be set.
	paramSession = "agatespindle.session"
	// paramIdempotencyKey is the idempotency key of the next write or transaction.
	paramIdempotencyKey = "agatespindle.key"
	// paramTimeout is the time limit of each statement, as a duration such as "2s".
	paramTimeout = "agatespindle.timeout"
	// paramHost is the name of the entry host; it is reported at startup and cannot be set.
	paramHost = "agatespindle.host"

	paramPrefix            = "agatespindle."
	maxIdempotencyKeyBytes = 200
)

// ignoredParams are parameters that drivers set routinely. SET is accepted but has no effect.
var ignoredParams = map[string]bool{
	"application_name": true, "client_encoding": true, "extra_float_digits": true, "datestyle": true,
	"intervalstyle": true, "timezone": true, "client_min_messages": true, "standard_conforming_strings": true,
	"bytea_output": true, "names": true,
}

// answerLocal answers statements that the proxy handles itself. done is false for all others.
func (s *session) answerLocal(st stmt.Statement) (done bool, answer []byte, err error) {
	if s.transactionLost {
		return s.answerLostTransaction(st)
	}
	switch st.Kind {
	case stmt.Empty:
		return true, encodeMessages(nil, &pgproto3.EmptyQueryResponse{}), nil
	case stmt.Unsupported:
		return true, nil, unsupported(st.Verb)
	case stmt.Set:
		return s.answerSet(st)
	case stmt.Reset:
		return true, commandComplete(st.Verb), nil
	case stmt.Discard:
		s.prepared = nil
		return true, commandComplete(st.Verb), nil
	case stmt.Show:
		if strings.HasPrefix(st.Name, paramPrefix) {
			answer, err := s.showParam(st.Name)
			return true, answer, err
		}
	case stmt.End:
		if s.txStatus == holder.Idle && st.Single {
			return true, commandComplete(st.Verb), nil
		}
	}
	return false, nil, nil
}

// answerLostTransaction answers a statement in a transaction that the proxy rolled back. Only the
// end of the transaction is accepted.
func (s *session) answerLostTransaction(st stmt.Statement) (bool, []byte, error) {
	if st.Kind != stmt.End {
		return true, nil, fault.New(fault.NotRun, fault.TermSealed, "current transaction was rolled back; end it with ROLLBACK and run it again")
	}
	s.transactionLost = false
	s.txStatus = holder.Idle
	return true, commandComplete("ROLLBACK"), nil
}

// commandComplete returns an encoded CommandComplete message.
func commandComplete(tag string) []byte {
	return encodeMessages(nil, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// answerSet answers SET, or returns false if the backend server must run it.
func (s *session) answerSet(st stmt.Statement) (bool, []byte, error) {
	switch {
	case strings.HasPrefix(st.Name, paramPrefix):
		if err := s.setParam(st.Name, st.Value); err != nil {
			return true, nil, err
		}
		return true, append(commandComplete("SET"), s.paramStatus(st.Name)...), nil
	case ignoredParams[st.Name]:
		return true, commandComplete("SET"), nil
	case st.Local || st.Name == "transaction":
		return false, nil, nil
	}
	return true, nil, unsupported("SET " + st.Name + " for the whole session").WithHint("use SET LOCAL inside a transaction")
}

// setParam sets a session parameter of agatespindle.
func (s *session) setParam(name, value string) error {
	switch name {
	case paramSession:
		t, err := token.Parse(value)
		if err != nil {
			return fault.New(fault.NotRun, fault.BadSessionToken, "%s", err.Error())
		}
		s.token = s.token.With(s.group, t.Position(s.group))
		s.needsBarrier = s.needsBarrier && t.Position(s.group) == (token.Position{})
		return nil
	case paramIdempotencyKey:
		if len(value) > maxIdempotencyKeyBytes || strings.ContainsRune(value, 0) {
			return fault.New(fault.NotRun, fault.BadRequestKey, "idempotency key is longer than %d bytes or contains a zero byte", maxIdempotencyKeyBytes)
		}
		s.idempotencyKey = value
		return nil
	case paramTimeout:
		d, err := time.ParseDuration(value)
		if err != nil || d < time.Millisecond || d > time.Hour {
			return fault.New(fault.NotRun, fault.Invalid, "%s: must be a duration from 1ms to 1h, such as '2s'", paramTimeout)
		}
		s.statementTimeout = d
		return nil
	}
	return fault.New(fault.NotRun, fault.Invalid, "parameter %q does not exist or cannot be set", name)
}

// paramValue returns the value of a session parameter of agatespindle, and whether it exists.
func (s *session) paramValue(name string) (string, bool) {
	switch name {
	case paramSession:
		return s.token.String(), true
	case paramIdempotencyKey:
		return s.idempotencyKey, true
	case paramTimeout:
		return s.statementTimeout.String(), true
	case paramHost:
		return s.srv.Host, true
	}
	return "", false
}

// paramStatus returns an encoded ParameterStatus message.
func (s *session) paramStatus(name string) []byte {
	v, _ := s.paramValue(name)
	return encodeMessages(nil, &pgproto3.ParameterStatus{Name: name, Value: v})
}

// showParam returns the response to SHOW for a session parameter of agatespindle.
func (s *session) showParam(name string) ([]byte, error) {
	v, ok := s.paramValue(name)
	if !ok {
		return nil, fault.New(fault.NotRun, fault.Invalid, "parameter %q does not exist", name)
	}
	return encodeMessages(nil, rowDescription(name), &pgproto3.DataRow{Values: [][]byte{[]byte(v)}}, &pgproto3.CommandComplete{CommandTag: []byte("SHOW")}), nil
}

// textOID is the object ID of type text in the PostgreSQL catalogue.
const textOID = 25

// rowDescription describes a result with one column of type text.
func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// String returns user@database, for log lines.
func (s *session) String() string { return fmt.Sprintf("%s@%s", s.user, s.database) }
