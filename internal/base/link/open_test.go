package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
)

// streamBacklog is the number of streams that yamux opens before the other host accepts one.
const streamBacklog = 256

// TestOpenEndsWithItsContext guards against statements that wait for seconds behind a silent host, since the
// backlog of unaccepted streams is full.
func TestOpenEndsWithItsContext(t *testing.T) {
	Convey("Given a host that falls silent", t, func() {
		var hold atomic.Bool
		Reset(func() { hold.Store(false) })
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"any": func(context.Context, string, *link.Conn) {}}}).Run(ctx)
		d := &link.Dialer{Host: "h", Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return holdableConn{raw, &hold}, err
		}}
		Reset(func() {
			hold.Store(false)
			d.Close()
			cancel()
			So(<-served, ShouldBeNil)
		})
		open := func() (time.Duration, error) {
			ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			started := time.Now()
			_, err := d.Open(ctx, ln.Addr().String(), "any")
			return time.Since(started), err
		}
		_, err = open()
		So(err, ShouldBeNil)
		hold.Store(true)
		for range streamBacklog + 1 {
			took, err := open()
			if err != nil {
				So(took, ShouldBeLessThan, time.Second)
				return
			}
		}
		So("an open failed", ShouldBeEmpty)
	})
}
