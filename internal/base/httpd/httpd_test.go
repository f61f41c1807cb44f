package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/httpd"
)

// start serves a handler that takes a while, sends one request, and returns once it is being handled.
func start(ctx context.Context, takes, limit time.Duration) (done <-chan error, answer <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	begun := make(chan struct{})
	done = httpd.Serve(ctx, ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(takes)
		_, _ = io.WriteString(w, "whole")
	}), limit)
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + ln.Addr().String())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		got <- string(b)
	}()
	<-begun
	return done, got
}

// TestRequestsInProgressAreAnsweredAtAShutdown guards against operators' orders and heartbeats that a
// shutdown cuts.
func TestRequestsInProgressAreAnsweredAtAShutdown(t *testing.T) {
	Convey("Given a request in progress when the server is stopped", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		Convey("It is answered before the server reports its end", func() {
			done, answer := start(ctx, 200*time.Millisecond, time.Second)
			cancel()
			So(<-done, ShouldBeNil)
			select {
			case a := <-answer:
				So(a, ShouldEqual, "whole")
			case <-time.After(100 * time.Millisecond):
				So("no answer", ShouldBeEmpty)
			}
		})
		Convey("The server does not wait longer than its limit", func() {
			done, _ := start(ctx, 2*time.Second, 100*time.Millisecond)
			stopped := time.Now()
			cancel()
			So(<-done, ShouldBeNil)
			So(time.Since(stopped), ShouldBeLessThan, time.Second)
		})
	})
}
