package entry

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
)

const (
	// maxStartup is the largest startup message in bytes.
	maxStartup = 10000
	// maxPending is the largest number of bytes up to a Sync or Flush.
	maxPending = adapt.MaxMessage
	headerSize = 5
	// majorVersion is the version of the protocol that is spoken, as startup messages have it.
	majorVersion = 3

	sslRequest    = 80877103
	gssRequest    = 80877104
	cancelRequest = 80877102
	cancelSize    = 16
)

// traffic takes in what has come. It runs on the event loop and never waits.
func (s *session) traffic() gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.busy && !s.closed {
		b, _ := s.conn.Peek(-1)
		var n int
		var act gnet.Action
		if s.started {
			n, act = s.message(b)
		} else {
			n, act = s.startup(b)
		}
		if act != gnet.None {
			return act
		}
		if n == 0 {
			return gnet.None
		}
		s.conn.Discard(n)
	}
	if s.conn.InboundBuffered() > maxPending+maxStartup {
		return s.refuse(fault.New(fault.NotRun, fault.BadMessage, "too much was sent before answers were read"))
	}
	return gnet.None
}

// refuse ends the connection with an error.
func (s *session) refuse(e *fault.Error) gnet.Action {
	s.closed = true
	s.fatal(e)
	return gnet.None
}

// startup handles messages before the session has started. It returns how many bytes it
// took; none while a message is not whole.
func (s *session) startup(b []byte) (int, gnet.Action) {
	if len(b) < 8 {
		return 0, gnet.None
	}
	size := int(int32(binary.BigEndian.Uint32(b)))
	if size < 8 || size > maxStartup {
		return 0, s.refuse(fault.New(fault.NotRun, fault.BadMessage, "startup message has an impossible length"))
	}
	if len(b) < size {
		return 0, gnet.None
	}
	body := append([]byte(nil), b[4:size]...)
	switch code := binary.BigEndian.Uint32(body); code {
	case sslRequest, gssRequest:
		_ = s.conn.AsyncWrite([]byte("N"), nil)
		return size, gnet.None
	case cancelRequest:
		if size == cancelSize {
			s.srv.cancelSession(binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]))
		}
		return size, gnet.Close
	default:
		if code>>16 != majorVersion {
			return 0, s.refuse(fault.New(fault.NotRun, fault.BadMessage, "protocol version %d.%d is not spoken here", code>>16, code&0xffff))
		}
		return size, s.start(body)
	}
}

// start begins the session that a startup message asks for.
func (s *session) start(body []byte) gnet.Action {
	minor := binary.BigEndian.Uint32(body) & 0xffff
	binary.BigEndian.PutUint32(body, majorVersion<<16)
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(body); err != nil {
		return s.refuse(fault.New(fault.NotRun, fault.BadMessage, "startup message does not decode"))
	}
	if err := s.open(m.Parameters); err != nil {
		return s.refuse(fault.From(err))
	}
	s.started = true
	s.greet(minor)
	return gnet.None
}

func (s *session) open(params map[string]string) error {
	s.user = params["user"]
	s.database = params["database"]
	if s.database == "" {
		s.database = s.user
	}
	if s.srv.draining.Load() {
		return fault.New(fault.NotRun, fault.Draining, "host %s is shutting down", s.srv.Host)
	}
	if !s.srv.Agent.LeaseValid(s.srv.Now()) {
		return fault.New(fault.NotRun, fault.NoLease, "host %s has no lease from control; try another host", s.srv.Host)
	}
	view := s.srv.Agent.View()
	g := view.Group(s.database)
	if g == nil {
		return fault.New(fault.NotRun, fault.UnknownDatabase, "database %q does not exist", s.database)
	}
	s.group = g.Name
	s.declared = view.Caller(s.user)
	if err := s.options(params); err != nil {
		return err
	}
	return s.srv.admit(s, s.declared.Connections)
}

// options takes the project's own parameters, given as such or in "options".
func (s *session) options(params map[string]string) error {
	own := map[string]string{}
	for name, v := range params {
		own[name] = v
	}
	for _, part := range strings.Split(params["options"], "-c") {
		if name, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok {
			own[name] = v
		}
	}
	s.fresh = true
	for _, name := range []string{paramSession, paramTimeout} {
		if v, ok := own[name]; ok {
			if err := s.set(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *session) greet(minor uint32) {
	var b []byte
	if minor > 0 {
		b = adapt.AppendMessage(b, 'v', []byte{0, 3, 0, 0, 0, 0, 0, 0})
	}
	list := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range [][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"}, {paramSession, s.token.String()}, {paramHost, s.srv.Host},
	} {
		list = append(list, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	list = append(list, &pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	list = append(list, &pgproto3.ReadyForQuery{TxStatus: holder.Idle})
	_ = s.conn.AsyncWrite(encode(b, list...), nil)
}

func encode(b []byte, list ...pgproto3.BackendMessage) []byte {
	for _, m := range list {
		next, err := m.Encode(b)
		if err != nil {
			return b
		}
		b = next
	}
	return b
}

// message takes in one message of a started session.
func (s *session) message(b []byte) (int, gnet.Action) {
	if len(b) < headerSize {
		return 0, gnet.None
	}
	size, ok := adapt.MessageSize(b)
	if !ok {
		return 0, s.refuse(fault.New(fault.NotRun, fault.BadMessage, "message of type %q has an impossible length", b[0]))
	}
	if len(b) < size {
		return 0, gnet.None
	}
	kind := b[0]
	switch kind {
	case 'Q':
		text := strings.TrimSuffix(string(b[headerSize:size]), "\x00")
		s.run(func() { s.simple(text) })
	case 'P', 'B', 'D', 'E', 'C':
		return size, s.gather(b[:size])
	case 'S', 'H':
		s.complete(kind)
	case 'F':
		s.run(func() { s.fail(unsupported("function calls")) })
	case 'X':
		return size, gnet.Close
	case 'd', 'c', 'f':
	default:
		return 0, s.refuse(fault.New(fault.NotRun, fault.BadMessage, "message type %q is not known", kind))
	}
	return size, gnet.None
}

// gather adds a message of the extended protocol to the batch.
func (s *session) gather(m []byte) gnet.Action {
	if s.skipping {
		return gnet.None
	}
	if len(s.pending)+len(m) > maxPending {
		return s.refuse(fault.New(fault.NotRun, fault.BadMessage, "batch is over %d bytes", maxPending))
	}
	s.pending = append(s.pending, m...)
	return gnet.None
}

// complete runs the batch that a Sync or a Flush ends.
func (s *session) complete(kind byte) {
	batch := s.pending
	s.pending = nil
	if s.skipping {
		if kind == 'S' {
			s.skipping = false
			s.run(func() { s.send(encode(nil, &pgproto3.ReadyForQuery{TxStatus: s.status})) })
		}
		return
	}
	s.run(func() { s.extended(batch, kind == 'S') })
}

// send writes to the caller and waits while the caller does not read.
func (s *session) send(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	written := make(chan int, 1)
	own := append([]byte(nil), b...)
	err := s.conn.AsyncWrite(own, func(c gnet.Conn, err error) error {
		n := 0
		if err == nil {
			n = c.OutboundBuffered()
		}
		written <- n
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case n := <-written:
		return s.waitReader(n)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

const (
	// maxOutbound is the number of bytes that wait for a caller to read them.
	maxOutbound = 1 << 20
	// readerLimit is how long a caller may leave them unread.
	readerLimit = 30 * time.Second
	readerPoll  = 10 * time.Millisecond
)

// waitReader waits until the caller has read; one that does not is cut off.
func (s *session) waitReader(n int) error {
	deadline := time.Now().Add(readerLimit)
	for n > maxOutbound {
		if time.Now().After(deadline) {
			s.srv.Meter.CountRefusal(fault.SlowReader)
			_ = s.conn.Close()
			return fault.New(fault.Ran, fault.SlowReader, "caller does not read its answer")
		}
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-time.After(readerPoll):
		}
		left := make(chan int, 1)
		if err := s.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { left <- c.OutboundBuffered(); return nil }); err != nil {
			return err
		}
		select {
		case n = <-left:
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	return nil
}

// class returns the urgency that operators gave the caller.
func (s *session) class() spec.Class { return spec.ParseClass(s.declared.Class) }
