// Package httpd serves HTTP requests and ends after the requests that it has begun.
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readHeaderTimeout bounds the time in which the header of a request must arrive.
	readHeaderTimeout = 3 * time.Second
	// idleTimeout is how long a connection may stay open between two requests.
	idleTimeout = time.Minute
)

// openConns holds the open connections. Those that have not carried a request are unused: a shutdown would
// wait for them, since a request may be on its way; after close they are closed when they are opened.
type openConns struct {
	// limit is the maximum number of connections; 0 means no limit. One more ends the one whose request has
	// lasted longest, or that has been without one: ordinary requests end soon.
	limit int
	// onClosed, if set, is called for each connection that limit ends.
	onClosed func()

	mu     sync.Mutex
	conns  map[net.Conn]connState
	closed bool
}

// connState is the state of a connection and since when it has been in it.
type connState struct {
	state http.ConnState
	since time.Time
}

// record implements http.Server.ConnState.
func (o *openConns) record(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(o.conns, c)
		return
	case http.StateNew:
		if o.closed {
			c.Close()
			return
		}
		if o.limit > 0 && len(o.conns) >= o.limit {
			o.endOldest()
		}
	default:
		if _, ok := o.conns[c]; !ok {
			return
		}
	}
	if o.conns == nil {
		o.conns = map[net.Conn]connState{}
	}
	o.conns[c] = connState{state, time.Now()}
}

// endOldest closes the connection that has been in its state for longest. o.mu must be held.
func (o *openConns) endOldest() {
	var oldest net.Conn
	var since time.Time
	for c, st := range o.conns {
		if oldest == nil || st.since.Before(since) {
			oldest, since = c, st.since
		}
	}
	if oldest != nil {
		delete(o.conns, oldest)
		oldest.Close()
		if o.onClosed != nil {
			o.onClosed()
		}
	}
}

// close closes the unused connections.
func (o *openConns) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for c, st := range o.conns {
		if st.state == http.StateNew {
			c.Close()
		}
	}
}

// Limits protect a server against clients that connect in large numbers, or send or read slowly. A zero
// field means no limit.
type Limits struct {
	// Conns is the maximum number of open connections.
	Conns int
	// Request is how long a request may take to arrive, and Response how long until its response was sent.
	Request, Response time.Duration
	// OnClosed, if set, is called when a connection is closed because of Conns.
	OnClosed func()
}

// Serve serves requests in the background until ctx ends. Requests in progress then get up to limit to be
// answered. The channel receives one value once no request is left or the limit has passed: the error that
// ended the server, or nil.
func Serve(ctx context.Context, ln net.Listener, h http.Handler, limit time.Duration) <-chan error {
	return Limits{}.Serve(ctx, ln, h, limit)
}

// Serve is like the function Serve, within the limits.
func (l Limits) Serve(ctx context.Context, ln net.Listener, h http.Handler, limit time.Duration) <-chan error {
	conns := openConns{limit: l.Conns, onClosed: l.OnClosed}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: l.Request, WriteTimeout: l.Response, IdleTimeout: idleTimeout, ConnState: conns.record,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	done := make(chan error, 1)
	go func() {
		select {
		case err := <-served:
			done <- err
			return
		case <-ctx.Done():
		}
		// Serve returns at the start of a shutdown, not at its end.
		conns.close()
		shutdown, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if srv.Shutdown(shutdown) != nil {
			srv.Close()
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			done <- err
			return
		}
		done <- nil
	}()
	return done
}
