// Package link provides message streams between hosts: yamux over TCP, with length-prefixed protobuf
// messages on each stream.
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// MaxMessageBytes is the maximum size of an encoded message. Snapshots are the largest messages.
const MaxMessageBytes = 64 << 20

const (
	// dialTimeout is the default of Dialer.Timeout.
	dialTimeout = time.Second
	// dialAttempts is the number of connection attempts within the dial timeout. A host that is starting
	// misses the first packet of an attempt, and TCP repeats it only after a second.
	dialAttempts = 5
	// acceptRetryDelay is the delay before the next accept after one that failed.
	acceptRetryDelay = 20 * time.Millisecond
	// helloTimeout bounds the wait for the Hello message of a new stream.
	helloTimeout      = 2 * time.Second
	writeTimeout      = 2 * time.Second
	keepAliveInterval = 2 * time.Second
	// streamWindowBytes is the flow control window of a stream.
	streamWindowBytes = 1 << 20
	// acceptBacklog is the number of streams that may be opened before the other host accepts one.
	acceptBacklog = 256
	// flushTimeout limits the wait, before a session is closed, until the other host has what was sent.
	flushTimeout = 250 * time.Millisecond
	// retiredPingTimeout is how long a host may take to answer a ping on a retired connection; a round
	// trip takes a few milliseconds. retiredCheckInterval is the time between two pings.
	retiredPingTimeout   = 300 * time.Millisecond
	retiredCheckInterval = 100 * time.Millisecond
)

// ErrEncode is returned by Send for a message that can't be encoded, for instance because a text in it is not
// UTF-8. Nothing of it was sent.
var ErrEncode = errors.New("encode message")

// Conn is one stream of messages. Recv and Send may run concurrently, but only one goroutine may call
// Recv at a time.
type Conn struct {
	raw *stream
	r   *bufio.Reader
	mu  sync.Mutex
	buf []byte
	// maxBytes is the maximum size of a received message.
	maxBytes uint64
	// sendFailure and recvFailure are the errors after which the place in the stream is unknown: no more messages
	// are sent or received.
	sendFailure, recvFailure error
	// budget, if set, bounds the large messages that are received, and received is the claim of one.
	budget   *bounds.Budget
	received *bounds.Claim
}

func newConn(raw *stream) *Conn {
	return &Conn{raw: raw, r: bufio.NewReader(raw), maxBytes: MaxMessageBytes}
}

// Send writes m. It is safe for concurrent use. After a failed write, which may have sent a part of m, it sends
// nothing more.
func (c *Conn) Send(m proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendFailure != nil {
		return c.sendFailure
	}
	c.buf = binary.AppendUvarint(c.buf[:0], uint64(proto.Size(m)))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(c.buf, m)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrEncode, err)
	}
	c.buf = b
	defer c.dropBuffer()
	if _, err := c.raw.Write(b); err != nil {
		c.sendFailure = fmt.Errorf("send message: %w", err)
		return c.sendFailure
	}
	return nil
}

// Recv reads the next message into m. At the end of the stream it returns io.EOF. After an error in the middle
// of a message, it returns that error again.
func (c *Conn) Recv(m proto.Message) error {
	if c.recvFailure != nil {
		return c.recvFailure
	}
	defer c.giveBack()
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	b, err := readFrame(c.r, c.maxBytes, c.admit)
	if err != nil {
		c.recvFailure = err
		return err
	}
	defer c.shrink(len(b))
	return proto.Unmarshal(b, m)
}

// ReadFrame reads one frame, an unsigned varint length and that many bytes, and returns the bytes. A
// length over MaxMessageBytes is an error. The buffer grows with the bytes that arrive, so that a
// wrong length does not allocate much memory.
func ReadFrame(r *bufio.Reader) ([]byte, error) { return readFrame(r, MaxMessageBytes, admitAll) }

// readFrame is ReadFrame with another limit. admit is called before the bytes are read.
func readFrame(r *bufio.Reader, limit uint64, admit func(n uint64) error) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, fmt.Errorf("message of %d bytes is over the limit of %d", n, limit)
	}
	if err := admit(n); err != nil {
		return nil, err
	}
	b := make([]byte, 0, min(n, 64<<10))
	for uint64(len(b)) < n {
		next := min(n-uint64(len(b)), 64<<10)
		b = append(b, make([]byte, next)...)
		if _, err := io.ReadFull(r, b[uint64(len(b))-next:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// SetDeadline sets the deadline of pending and future calls of Send and Recv; zero means none.
func (c *Conn) SetDeadline(t time.Time) error { return c.raw.SetDeadline(t) }

// Ping checks that the other host answers on the session of the stream, whether or not a request is
// pending on the stream. It returns os.ErrDeadlineExceeded if there is no answer within limit, for
// instance because the host is suspended or unreachable.
func (c *Conn) Ping(limit time.Duration) error { return c.raw.session.ping(limit) }

// SessionClosed reports whether the session of the stream is known to be closed.
func (c *Conn) SessionClosed() bool { return c.raw.session.IsClosed() }

// Close closes the stream but not its session.
func (c *Conn) Close() error { return c.raw.Close() }

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // muxSession.keepAlive does it
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = streamWindowBytes
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// Handler serves one accepted stream; from is the name of the host that opened it. The stream is closed
// when the handler returns.
type Handler func(ctx context.Context, from string, c *Conn)

// Server accepts streams and passes each to the handler of the service that it names.
// The exported fields are set before Run.
type Server struct {
	Listener net.Listener
	// Handlers are the handlers by service name.
	Handlers map[string]Handler
	// MaxSessions and MaxStreams are the maximum numbers of connections from other hosts and of their streams;
	// zero means no limit.
	MaxSessions, MaxStreams int
	// OnClosed, if set, is called when a connection is closed because of them. It must not block.
	OnClosed func()

	peers    peers
	mu       sync.Mutex
	sessions map[*muxSession]struct{}
	wg       sync.WaitGroup
}

// Run serves in the background until ctx is done. Handlers go on until what they have sent was received, for
// at most flushTimeout, and then lose their streams. Once all have returned, the returned channel
// receives nil, or the error with which accepting connections failed.
func (s *Server) Run(ctx context.Context) <-chan error {
	s.peers.onClosed = s.OnClosed
	s.sessions = map[*muxSession]struct{}{}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		s.Listener.Close()
		s.closeSessions()
	}()
	go func() {
		err := s.accept(ctx)
		s.wg.Wait()
		done <- err
	}()
	return done
}

// closeSessions closes each session once the other host has received what was sent to it: the answer to a
// ping is sent after all of that was read. A host that does not answer loses it after flushTimeout.
func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		go func() {
			_ = session.ping(flushTimeout)
			session.Close()
		}()
	}
}

func (s *Server) accept(ctx context.Context) error {
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept connections from hosts: %w", err)
			}
			// Errors such as "too many open files" pass when other connections close.
			clock.Sleep(ctx, acceptRetryDelay)
			continue
		}
		session, err := newSession(raw, yamux.Server)
		if err != nil {
			raw.Close()
			continue
		}
		if !s.peers.add(time.Now(), session, s.MaxSessions) || !s.trackSession(ctx, session) {
			s.peers.remove(session)
			session.Close()
			continue
		}
		go s.serveSession(ctx, session)
	}
}

// trackSession records a session for closing at shutdown. It returns false if the server is stopping.
func (s *Server) trackSession(ctx context.Context, session *muxSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	s.sessions[session] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) serveSession(ctx context.Context, session *muxSession) {
	defer s.wg.Done()
	defer func() {
		session.Close()
		s.peers.remove(session)
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
	}()
	for {
		raw, err := session.accept()
		if err != nil {
			return
		}
		if !s.peers.hasRoom(session, s.MaxStreams) {
			raw.Close()
			continue
		}
		s.wg.Add(1)
		go s.serveStream(ctx, raw)
	}
}

func (s *Server) serveStream(ctx context.Context, raw *stream) {
	defer s.wg.Done()
	defer raw.Close()
	c := newConn(raw)
	raw.SetDeadline(time.Now().Add(helloTimeout))
	hello := &wire.Hello{}
	if c.recvHello(hello) != nil {
		return
	}
	raw.SetDeadline(time.Time{})
	h, ok := s.Handlers[hello.Service]
	if !ok {
		return
	}
	h(ctx, hello.Host, c)
}

// Splice copies data between two streams in both directions until one of them ends, then closes both.
func Splice(a, b *Conn) {
	done := make(chan struct{}, 2)
	copyStream := func(to, from *Conn) {
		_, _ = io.Copy(to.raw, from.r)
		to.Close()
		from.Close()
		done <- struct{}{}
	}
	go copyStream(a, b)
	go copyStream(b, a)
	<-done
	<-done
}
