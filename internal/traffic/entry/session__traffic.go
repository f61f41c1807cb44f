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
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
)

const (
	// maxStartupBytes limits the size of a startup message.
	maxStartupBytes = 10000
	// maxBatchBytes limits the size of a batch, which ends with Sync or Flush.
	maxBatchBytes = adapt.MaxMessageBytes
	// protocolMajorVersion is the supported major version of the PostgreSQL protocol.
	protocolMajorVersion = 3

	// Codes that take the place of the version in special startup messages.
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	// cancelRequestSize is the size of a CancelRequest message in bytes.
	cancelRequestSize = 16
)

// handleInbound handles the messages that have arrived, until one starts a request. It runs on
// the event loop and must not block.
func (s *session) handleInbound(now time.Time) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.busy && !s.closed && !s.ended && s.failure == nil {
		b, _ := s.conn.Peek(-1)
		var n int
		var act gnet.Action
		if s.started {
			n, act = s.handleMessage(b)
		} else {
			n, act = s.handleStartup(b)
		}
		if n > 0 {
			s.conn.Discard(n)
		}
		if act != gnet.None {
			return act
		}
		if n == 0 {
			break
		}
	}
	return s.endIfDue(now)
}

// closeWithError sends a FATAL error response and closes the connection.
func (s *session) closeWithError(e *fault.Error) gnet.Action {
	s.end(e)
	return gnet.None
}

// handleStartup handles one message before the session has started. It returns the number of
// bytes consumed, or zero while the message is incomplete.
func (s *session) handleStartup(b []byte) (int, gnet.Action) {
	if len(b) < 8 {
		return 0, gnet.None
	}
	size := int(int32(binary.BigEndian.Uint32(b)))
	if size < 8 || size > maxStartupBytes {
		return 0, s.closeWithError(fault.New(fault.NotRun, fault.BadMessage, "startup message has an impossible length"))
	}
	if len(b) < size {
		return 0, gnet.None
	}
	body := append([]byte(nil), b[4:size]...)
	switch code := binary.BigEndian.Uint32(body); code {
	case sslRequestCode, gssRequestCode:
		_ = s.conn.AsyncWrite([]byte("N"), nil)
		return size, gnet.None
	case cancelRequestCode:
		if size == cancelRequestSize {
			s.srv.cancelSession(binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]))
		}
		return size, gnet.Close
	default:
		if code>>16 != protocolMajorVersion {
			return 0, s.closeWithError(fault.New(fault.NotRun, fault.BadMessage, "protocol version %d.%d is not supported", code>>16, code&0xffff))
		}
		return size, s.startSession(body)
	}
}

// startSession starts the session that a startup message requests. The body is the message
// without its length.
func (s *session) startSession(body []byte) gnet.Action {
	minor := binary.BigEndian.Uint32(body) & 0xffff
	binary.BigEndian.PutUint32(body, protocolMajorVersion<<16)
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(body); err != nil {
		return s.closeWithError(fault.New(fault.NotRun, fault.BadMessage, "startup message does not decode"))
	}
	if err := s.initialize(m.Parameters); err != nil {
		return s.closeWithError(fault.From(err))
	}
	s.started = true
	s.sendStartupReply(minor)
	return gnet.None
}

// initialize checks that this host can serve the session, looks up its group and caller, and
// admits the connection.
func (s *session) initialize(params map[string]string) error {
	s.user = params["user"]
	s.database = params["database"]
	if s.database == "" {
		s.database = s.user
	}
	if s.srv.Draining() {
		return fault.New(fault.NotRun, fault.Draining, "host %s is shutting down", s.srv.Host)
	}
	if !s.srv.Agent.LeaseValid(s.srv.Now()) {
		return fault.New(fault.NotRun, fault.NoLease, "host %s has no valid lease; try another host", s.srv.Host)
	}
	view := s.srv.Agent.View()
	g := view.Group(s.database)
	if g == nil {
		return fault.New(fault.NotRun, fault.UnknownDatabase, "database %q does not exist", s.database)
	}
	s.group = g.Name
	s.callerSpec = view.Caller(s.user)
	if err := s.applyOptions(params); err != nil {
		return err
	}
	return s.srv.admitConnection(s, s.callerSpec.Connections)
}

// applyOptions sets the session parameters of agatespindle from the startup parameters: given
// directly, or as "-c name=value" in the parameter options.
func (s *session) applyOptions(params map[string]string) error {
	settings := map[string]string{}
	for name, v := range params {
		settings[name] = v
	}
	for _, part := range strings.Split(params["options"], "-c") {
		if name, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok {
			settings[name] = v
		}
	}
	s.needsBarrier = true
	for _, name := range []string{paramSession, paramTimeout} {
		if v, ok := settings[name]; ok {
			if err := s.setParam(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendStartupReply sends the response to a startup message. For a minor protocol version above 0
// it first negotiates down to 3.0.
func (s *session) sendStartupReply(minor uint32) {
	var b []byte
	if minor > 0 {
		b = adapt.AppendMessage(b, 'v', []byte{0, 3, 0, 0, 0, 0, 0, 0})
	}
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range [][2]string{
		{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"}, {paramSession, s.token.String()}, {paramHost, s.srv.Host},
	} {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	messages = append(messages, &pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	messages = append(messages, &pgproto3.ReadyForQuery{TxStatus: holder.Idle})
	_ = s.conn.AsyncWrite(encodeMessages(b, messages...), nil)
}

// encodeMessages appends the encoded messages to b, up to the first one that does not encode.
func encodeMessages(b []byte, list ...pgproto3.BackendMessage) []byte {
	for _, m := range list {
		next, err := m.Encode(b)
		if err != nil {
			return b
		}
		b = next
	}
	return b
}

// handleMessage handles one message of a started session. It returns the number of bytes
// consumed, or zero while the message is incomplete.
func (s *session) handleMessage(b []byte) (int, gnet.Action) {
	if len(b) < adapt.HeaderBytes {
		return 0, gnet.None
	}
	size, ok := adapt.MessageSize(b)
	if !ok {
		return 0, s.closeWithError(fault.New(fault.NotRun, fault.BadMessage, "message of type %q has an impossible length", b[0]))
	}
	if len(b) < size {
		return 0, gnet.None
	}
	kind := b[0]
	if s.skipToSync && (kind == 'Q' || kind == 'F') {
		return size, gnet.None
	}
	switch kind {
	case 'Q': // Query
		m := &pgproto3.Query{}
		if m.Decode(b[adapt.HeaderBytes:size]) != nil {
			s.startRequest(func() { s.replyError(malformedMessage("Query")) })
			break
		}
		s.startRequest(func() { s.runSimple(m.String) })
	case 'P', 'B', 'D', 'E', 'C': // Parse, Bind, Describe, Execute, Close
		return size, s.bufferMessage(b[:size])
	case 'S', 'H': // Sync, Flush
		s.runBuffered(kind)
	case 'F': // FunctionCall
		s.startRequest(func() { s.replyError(unsupported("function calls")) })
	case 'X': // Terminate
		s.end(nil)
	case 'd', 'c', 'f': // CopyData, CopyDone, CopyFail: ignored, since COPY is not supported
	default:
		return 0, s.closeWithError(fault.New(fault.NotRun, fault.BadMessage, "unknown message type %q", kind))
	}
	return size, gnet.None
}

// bufferMessage adds a message of the extended query protocol to the pending batch, unless
// messages are dropped after an error.
func (s *session) bufferMessage(m []byte) gnet.Action {
	if s.skipToSync {
		return gnet.None
	}
	if len(s.pendingBatch)+len(m) > maxBatchBytes {
		return s.closeWithError(fault.New(fault.NotRun, fault.BadMessage, "batch is larger than %d bytes", maxBatchBytes))
	}
	s.pendingBatch = append(s.pendingBatch, m...)
	return gnet.None
}

// runBuffered runs the pending batch at a Sync or Flush message.
func (s *session) runBuffered(kind byte) {
	batch := s.pendingBatch
	s.pendingBatch = nil
	if s.skipToSync {
		if kind == 'S' {
			s.skipToSync = false
			s.startRequest(func() { s.send(encodeMessages(nil, &pgproto3.ReadyForQuery{TxStatus: s.txStatus})) })
		}
		return
	}
	s.startRequest(func() { s.runExtended(batch, kind == 'S') })
}

// send writes to the caller's connection and waits while more than maxUnreadBytes are unread.
func (s *session) send(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	written := make(chan int, 1)
	data := append([]byte(nil), b...)
	err := s.write(data, func(c gnet.Conn, err error) error {
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
		return s.waitForReader(n)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

const (
	// maxUnreadBytes is the number of unread bytes above which sending waits for the caller.
	maxUnreadBytes = 1 << 20
	// defaultReadTimeout applies where Server.ReadTimeout is zero.
	defaultReadTimeout     = 30 * time.Second
	slowReaderPollInterval = 10 * time.Millisecond
)

// waitForReader waits until at most maxUnreadBytes are unread. It closes the connection if the caller
// stops reading.
func (s *session) waitForReader(unread int) error {
	var progress drain.Progress
	for unread > maxUnreadBytes {
		if progress.Stalled(s.srv.Now(), unread, s.srv.readTimeout()) {
			s.srv.Meter.CountRefusal(fault.SlowReader)
			_ = s.conn.Close()
			return fault.New(fault.Ran, fault.SlowReader, "caller did not read the response in time")
		}
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-time.After(slowReaderPollInterval):
		}
		left := make(chan int, 1)
		if err := s.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { left <- c.OutboundBuffered(); return nil }); err != nil {
			return err
		}
		select {
		case unread = <-left:
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	return nil
}

// readTimeout returns how long a caller may read nothing of an answer.
func (s *Server) readTimeout() time.Duration {
	if s.ReadTimeout > 0 {
		return s.ReadTimeout
	}
	return defaultReadTimeout
}

// priorityClass returns the priority class of the caller.
func (s *session) priorityClass() spec.Class { return spec.ParseClass(s.callerSpec.Class) }
