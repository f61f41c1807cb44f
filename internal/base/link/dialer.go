package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Dialer opens streams to other hosts. All streams to an address share one session.
// The exported fields are set before the first Open.
type Dialer struct {
	// Host is the name of this host.
	Host string
	// Dial opens a connection. Tests replace it; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Timeout bounds the opening of a TCP connection; zero means 1 s.
	Timeout time.Duration
	// OnSilent, if set, is called when a retired connection is closed because the other host is
	// silent, with the number of its streams.
	OnSilent func(addr string, streams int)

	mu       sync.Mutex
	sessions map[string]*muxSession
	// retired are the sessions that still carry streams but get no new ones.
	retired map[*muxSession]struct{}
	// pending are the sessions that are being opened, by address.
	pending map[string]*pendingSession
}

// pendingSession is a session that is being opened. The session or err is set before done is closed.
type pendingSession struct {
	done    chan struct{}
	session *muxSession
	err     error
}

// Open opens a stream to the named service at addr.
func (d *Dialer) Open(ctx context.Context, addr, service string) (*Conn, error) {
	return d.OpenAs(ctx, addr, service, d.Host)
}

// OpenAs is like Open but names another host as the one that opens the stream. A relay uses it.
func (d *Dialer) OpenAs(ctx context.Context, addr, service, host string) (*Conn, error) {
	session, err := d.sharedSession(ctx, addr)
	if err != nil {
		return nil, err
	}
	raw, err := openStream(ctx, session)
	if err != nil {
		if ctx.Err() == nil {
			d.retire(addr, session)
		}
		return nil, fmt.Errorf("open stream to %s: %w", addr, err)
	}
	c := newConn(raw)
	if err := c.Send(&wire.Hello{Service: service, Host: host}); err != nil {
		raw.Close()
		d.retire(addr, session)
		return nil, err
	}
	return c, nil
}

// openedStream is the result of opening a stream.
type openedStream struct {
	stream *stream
	err    error
}

// openStream opens a stream. If the other host may have acceptBacklog streams to accept, yamux waits until
// it has accepted one, and openStream at most until ctx is done.
func openStream(ctx context.Context, session *muxSession) (*stream, error) {
	if session.mux.NumStreams() < acceptBacklog {
		return session.open()
	}
	result := make(chan openedStream, 1)
	go func() {
		stream, err := session.open()
		result <- openedStream{stream, err}
	}()
	select {
	case r := <-result:
		return r.stream, r.err
	case <-ctx.Done():
	}
	go func() {
		if r := <-result; r.err == nil {
			r.stream.Close()
		}
	}()
	return nil, ctx.Err()
}

// sharedSession returns the session with addr, or opens one. Concurrent calls share one attempt to open
// it: with hundreds of statements in flight, one connection each would use up the file descriptors of
// the other host.
func (d *Dialer) sharedSession(ctx context.Context, addr string) (*muxSession, error) {
	d.mu.Lock()
	if session := d.sessions[addr]; session != nil && !session.IsClosed() {
		d.mu.Unlock()
		return session, nil
	}
	p := d.pending[addr]
	if p == nil {
		p = &pendingSession{done: make(chan struct{})}
		if d.pending == nil {
			d.pending = map[string]*pendingSession{}
		}
		d.pending[addr] = p
		go d.openPending(context.WithoutCancel(ctx), addr, p)
	}
	d.mu.Unlock()
	select {
	case <-p.done:
		return p.session, p.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a session with %s: %w", addr, ctx.Err())
	}
}

// openPending opens a session for all calls that wait for it. It is bounded by the dial timeout and not
// by the context of any of the calls.
func (d *Dialer) openPending(ctx context.Context, addr string, p *pendingSession) {
	p.session, p.err = d.connect(ctx, addr)
	d.mu.Lock()
	delete(d.pending, addr)
	d.mu.Unlock()
	close(p.done)
}

func (d *Dialer) connect(ctx context.Context, addr string) (*muxSession, error) {
	raw, err := d.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial host at %s: %w", addr, err)
	}
	session, err := newSession(raw, yamux.Client)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("open session to %s: %w", addr, err)
	}
	return d.storeSession(addr, session), nil
}

// storeSession stores a new session and returns it. If another goroutine has stored an open
// one for addr already, it closes the new one and returns the stored one.
func (d *Dialer) storeSession(addr string, session *muxSession) *muxSession {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions == nil {
		d.sessions = map[string]*muxSession{}
	}
	if existing := d.sessions[addr]; existing != nil && !existing.IsClosed() {
		session.Close()
		return existing
	}
	d.sessions[addr] = session
	return session
}

// RetireSession makes the next stream to addr open a new connection. It is used when a stream has
// received nothing for too long. The connection may be dead, but the cause may also be the service:
// as long as the other host answers pings, the other streams on the connection go on.
func (d *Dialer) RetireSession(addr string) {
	d.mu.Lock()
	session := d.sessions[addr]
	d.mu.Unlock()
	if session != nil {
		d.retire(addr, session)
	}
}

// retire makes the next stream to addr open a new connection if session is the present one. The streams on
// session go on.
func (d *Dialer) retire(addr string, session *muxSession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[addr] != session {
		return
	}
	delete(d.sessions, addr)
	if d.retired == nil {
		d.retired = map[*muxSession]struct{}{}
	}
	d.retired[session] = struct{}{}
	go d.closeWhenUnused(addr, session)
}

// ReportSilent returns a function for Dialer.OnSilent that logs and counts the closed connections.
func ReportSilent(l *logs.Logger, m *meter.Meter) func(addr string, streams int) {
	return func(addr string, streams int) {
		m.AddCounter("link.silent", 1)
		l.WithField("addr", addr).WithField("streams", streams).Warn("connection to a silent host closed")
	}
}

// closeWhenUnused closes a retired session once its streams have ended or the other host is silent. It
// ends when the session is closed.
func (d *Dialer) closeWhenUnused(addr string, session *muxSession) {
	for session.mux.NumStreams() > 0 {
		if err := session.ping(retiredPingTimeout); err != nil {
			if n := session.mux.NumStreams(); n > 0 && !session.IsClosed() && d.OnSilent != nil {
				d.OnSilent(addr, n)
			}
			break
		}
		time.Sleep(retiredCheckInterval)
	}
	session.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.retired, session)
}

// dial opens a connection within the dial timeout. While there is no answer it starts further attempts,
// dialAttempts in all, and returns the first result. A refusal is a result too: the other host is up
// but does not listen.
func (d *Dialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	timeout := dialTimeout
	if d.Timeout > 0 {
		timeout = d.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		raw, err := d.dialOnce(ctx, addr)
		select {
		case results <- dialResult{raw, err}:
		case <-ctx.Done():
			if raw != nil {
				raw.Close()
			}
		}
	}
	tick := time.NewTicker(timeout / dialAttempts)
	defer tick.Stop()
	go attempt()
	for started := 1; ; {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-tick.C:
			if started < dialAttempts {
				started++
				go attempt()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

func (d *Dialer) dialOnce(ctx context.Context, addr string) (net.Conn, error) {
	if d.Dial != nil {
		return d.Dial(ctx, addr)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Close closes all sessions.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, session := range d.sessions {
		session.Close()
		delete(d.sessions, addr)
	}
	for session := range d.retired {
		session.Close()
	}
}
