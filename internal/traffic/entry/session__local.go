package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/verb"
)

// The project's own parameters of a session.
const (
	// paramSession is the session token; it is reported and may be set.
	paramSession = "agatespindle.session"
	// paramKey is the request key of the next write or transaction.
	paramKey = "agatespindle.key"
	// paramTimeout bounds each statement.
	paramTimeout = "agatespindle.timeout"
	// paramHost is the name of the entry host; it is reported.
	paramHost = "agatespindle.host"

	ownPrefix = "agatespindle."
	maxKey    = 200
)

// harmless are parameters that drivers set and that change nothing here.
var harmless = map[string]bool{
	"application_name": true, "client_encoding": true, "extra_float_digits": true, "datestyle": true,
	"intervalstyle": true, "timezone": true, "client_min_messages": true, "standard_conforming_strings": true,
	"bytea_output": true, "names": true,
}

// local answers statements that concern the proxy itself. It reports false for all others.
func (s *session) local(st verb.Statement) (done bool, answer []byte, err error) {
	if s.lost {
		return s.localLost(st)
	}
	switch st.Kind {
	case verb.Empty:
		return true, encode(nil, &pgproto3.EmptyQueryResponse{}), nil
	case verb.Refused:
		return true, nil, unsupported(st.Verb)
	case verb.Set:
		return s.localSet(st)
	case verb.Reset:
		return true, complete(st.Verb), nil
	case verb.Discard:
		s.prepared = nil
		return true, complete(st.Verb), nil
	case verb.Show:
		if strings.HasPrefix(st.Name, ownPrefix) {
			answer, err := s.show(st.Name)
			return true, answer, err
		}
	case verb.End:
		if s.status == holder.Idle && st.Single {
			return true, complete(st.Verb), nil
		}
	}
	return false, nil, nil
}

// localLost answers for a transaction that was lost: only its end is accepted.
func (s *session) localLost(st verb.Statement) (bool, []byte, error) {
	if st.Kind != verb.End {
		return true, nil, fault.New(fault.NotRun, fault.TermSealed, "current transaction was rolled back; end it and run it again")
	}
	s.lost = false
	s.status = holder.Idle
	return true, complete("ROLLBACK"), nil
}

func complete(tag string) []byte {
	return encode(nil, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) localSet(st verb.Statement) (bool, []byte, error) {
	switch {
	case strings.HasPrefix(st.Name, ownPrefix):
		if err := s.set(st.Name, st.Value); err != nil {
			return true, nil, err
		}
		return true, append(complete("SET"), s.report(st.Name)...), nil
	case harmless[st.Name]:
		return true, complete("SET"), nil
	case st.Local || st.Name == "transaction":
		return false, nil, nil
	}
	return true, nil, unsupported("SET " + st.Name + " for a whole session").WithHint("use SET LOCAL inside a transaction")
}

// set sets one of the project's own parameters.
func (s *session) set(name, value string) error {
	switch name {
	case paramSession:
		t, err := token.Parse(value)
		if err != nil {
			return fault.New(fault.NotRun, fault.BadSessionToken, "%s", err.Error())
		}
		s.token = s.token.With(s.group, t.Mark(s.group))
		s.fresh = s.fresh && t.Mark(s.group) == (token.Mark{})
		return nil
	case paramKey:
		if len(value) > maxKey || strings.ContainsRune(value, 0) {
			return fault.New(fault.NotRun, fault.BadRequestKey, "request key is longer than %d bytes", maxKey)
		}
		s.key = value
		return nil
	case paramTimeout:
		d, err := time.ParseDuration(value)
		if err != nil || d < time.Millisecond || d > time.Hour {
			return fault.New(fault.NotRun, fault.Invalid, "%s: write a duration from 1ms to 1h, such as '2s'", paramTimeout)
		}
		s.timeout = d
		return nil
	}
	return fault.New(fault.NotRun, fault.Invalid, "parameter %q is not known or cannot be set", name)
}

func (s *session) value(name string) (string, bool) {
	switch name {
	case paramSession:
		return s.token.String(), true
	case paramKey:
		return s.key, true
	case paramTimeout:
		return s.timeout.String(), true
	case paramHost:
		return s.srv.Host, true
	}
	return "", false
}

func (s *session) report(name string) []byte {
	v, _ := s.value(name)
	return encode(nil, &pgproto3.ParameterStatus{Name: name, Value: v})
}

func (s *session) show(name string) ([]byte, error) {
	v, ok := s.value(name)
	if !ok {
		return nil, fault.New(fault.NotRun, fault.Invalid, "parameter %q is not known", name)
	}
	return encode(nil, showColumn(name), &pgproto3.DataRow{Values: [][]byte{[]byte(v)}}, &pgproto3.CommandComplete{CommandTag: []byte("SHOW")}), nil
}

// textOID is the type number of text in the PostgreSQL catalogue.
const textOID = 25

func showColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// String names the session in logs.
func (s *session) String() string { return fmt.Sprintf("%s@%s", s.user, s.database) }
