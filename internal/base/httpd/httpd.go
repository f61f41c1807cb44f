// Package httpd serves HTTP requests and ends after the requests that it has begun.
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout bounds the time in which the header of a request must arrive.
const readHeaderTimeout = 3 * time.Second

// Serve serves requests in the background until ctx ends. Requests in progress then get up to limit to be
// answered. The channel receives one value once no request is left or the limit has passed: the error that
// ended the server, or nil.
func Serve(ctx context.Context, ln net.Listener, h http.Handler, limit time.Duration) <-chan error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
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
