package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// muxSession is a yamux session whose streams end before it does. When yamux closes a session, it lets each
// stream know, closes the connection and only then closes the streams; until then a read that has nothing to
// return, and a write that has no window, try again without waiting. So each end of a session, an error of its
// connection too, goes through end first.
type muxSession struct {
	mux *yamux.Session

	mu sync.Mutex
	// ended is set once the session ends. Streams that are tracked after that have ended.
	ended bool
	// streams are the streams on which a read or write may wait.
	streams map[*stream]struct{}
}

// newSession starts a session over raw with open, which is yamux.Client or yamux.Server.
func newSession(raw net.Conn, open func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*muxSession, error) {
	s := &muxSession{streams: map[*stream]struct{}{}}
	mux, err := open(&sessionConn{Conn: raw, end: s.end}, yamuxConfig())
	if err != nil {
		return nil, err
	}
	s.mux = mux
	go s.keepAlive()
	return s, nil
}

// end ends all waits of the session's streams, now and later. What was received can still be read.
func (s *muxSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	for st := range s.streams {
		st.expire()
	}
}

// Close closes the session and its streams. It returns once the connection is closed.
func (s *muxSession) Close() error {
	s.end()
	return s.mux.Close()
}

// IsClosed reports whether the session is closed or its streams have ended.
func (s *muxSession) IsClosed() bool {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	return ended || s.mux.IsClosed()
}

// keepAlive closes the session when the other host does not answer a ping. It ends with the session.
func (s *muxSession) keepAlive() {
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-time.After(keepAliveInterval):
		}
		if _, err := s.mux.Ping(); err != nil {
			s.Close()
			return
		}
	}
}

// ping checks that the other host answers within limit; os.ErrDeadlineExceeded means that it did not.
func (s *muxSession) ping(limit time.Duration) error {
	done := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		done <- err
	}()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

// open opens a stream. It waits while acceptBacklog streams were not accepted by the other host.
func (s *muxSession) open() (*stream, error) {
	raw, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return s.newStream(raw), nil
}

// accept waits for the next stream of the other host.
func (s *muxSession) accept() (*stream, error) {
	raw, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	return s.newStream(raw), nil
}

func (s *muxSession) newStream(raw *yamux.Stream) *stream {
	st := &stream{raw: raw, session: s}
	s.track(st)
	return st
}

// track makes end expire st. If the session has ended, it does so itself.
func (s *muxSession) track(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		st.expire()
		return
	}
	s.streams[st] = struct{}{}
}

// untrack forgets st unless a call has begun to wait on it.
func (s *muxSession) untrack(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.calls == 0 {
		delete(s.streams, st)
	}
}

// stream is a stream of a session. It is tracked by the session until it is closed and no call waits on it.
type stream struct {
	raw     *yamux.Stream
	session *muxSession

	// mu is locked after the session's mu where both are needed.
	mu sync.Mutex
	// calls is the number of reads and writes in progress.
	calls  int
	closed bool
	// ended is set once the session ends. The deadlines have then passed and stay so.
	ended bool
}

// expire ends the waits on the stream, now and later.
func (st *stream) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	_ = st.raw.SetDeadline(expired)
}

// Read reads received bytes. At the end of the stream or its session, it returns io.EOF.
func (st *stream) Read(b []byte) (int, error) {
	st.begin()
	n, err := st.raw.Read(b)
	if st.finish() && errors.Is(err, yamux.ErrTimeout) {
		err = io.EOF
	}
	return n, err
}

// Write writes b. After an error the other host may have received any part of it.
func (st *stream) Write(b []byte) (int, error) {
	st.begin()
	n, err := st.raw.Write(b)
	if st.finish() && errors.Is(err, yamux.ErrTimeout) {
		err = yamux.ErrSessionShutdown
	}
	return n, err
}

// begin records a call. A closed stream can still be read, so it is tracked again while that lasts.
func (st *stream) begin() {
	st.mu.Lock()
	st.calls++
	again := st.closed && st.calls == 1
	st.mu.Unlock()
	if again {
		st.session.track(st)
	}
}

// finish records the end of a call and reports whether the session has ended.
func (st *stream) finish() bool {
	st.mu.Lock()
	st.calls--
	last, ended := st.closed && st.calls == 0, st.ended
	st.mu.Unlock()
	if last {
		st.session.untrack(st)
	}
	return ended
}

// SetDeadline sets the deadline of reads and writes. It has no effect once the session has ended.
func (st *stream) SetDeadline(t time.Time) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return nil
	}
	return st.raw.SetDeadline(t)
}

// Close closes the stream for writing. What the other host has sent can still be read.
func (st *stream) Close() error {
	st.mu.Lock()
	st.closed = true
	unused := st.calls == 0
	st.mu.Unlock()
	if unused {
		st.session.untrack(st)
	}
	return st.raw.Close()
}

// sessionConn is the connection of a session. It ends the streams before yamux learns of an error, and when
// yamux closes the connection for a reason of its own.
type sessionConn struct {
	net.Conn
	end func()
}

func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && n == 0 {
		c.end()
	}
	return n, err
}

func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *sessionConn) Close() error {
	c.end()
	return c.Conn.Close()
}
