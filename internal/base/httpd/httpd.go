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

// readHeaderTimeout bounds the time in which the header of a request must arrive.
const readHeaderTimeout = 3 * time.Second

// newConns holds the connections that have not carried a request. A shutdown would wait for them, since a
// request may be on its way; after close they are closed when they are opened.
type newConns struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// record implements http.Server.ConnState.
func (n *newConns) record(c net.Conn, state http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(n.conns, c)
	case n.closed:
		c.Close()
	default:
		if n.conns == nil {
			n.conns = map[net.Conn]struct{}{}
		}
		n.conns[c] = struct{}{}
	}
}

// close closes the connections.
func (n *newConns) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.conns {
		c.Close()
	}
}

// Serve serves requests in the background until ctx ends. Requests in progress then get up to limit to be
// answered. The channel receives one value once no request is left or the limit has passed: the error that
// ended the server, or nil.
func Serve(ctx context.Context, ln net.Listener, h http.Handler, limit time.Duration) <-chan error {
	unused := newConns{}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnState: unused.record}
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
		unused.close()
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
