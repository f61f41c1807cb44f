package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// TestStopDeliversWhatWasSent guards against an answer that was sent and is lost when the server closes the
// connection, because the other host is slow to read and is itself sending.
func TestStopDeliversWhatWasSent(t *testing.T) {
	Convey("Given a host that is slow to read", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		sent := make(chan struct{}, 2)
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"answer": func(_ context.Context, _ string, c *link.Conn) {
			m := &wire.BootstrapState{}
			for c.Recv(m) == nil {
				_ = c.Send(m)
				sent <- struct{}{}
			}
		}}}).Run(ctx)
		var hold atomic.Bool
		d := &link.Dialer{Host: "h", Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return holdableConn{raw, &hold}, err
		}}
		defer d.Close()
		// Close waits for a read that is held.
		defer hold.Store(false)
		c, err := d.Open(ctx, ln.Addr().String(), "answer")
		So(err, ShouldBeNil)
		So(c.Ping(time.Second), ShouldBeNil)
		hold.Store(true)
		// The first answer is read and held, the second one stays in the socket.
		for _, id := range []string{"6", "7"} {
			So(c.Send(&wire.BootstrapState{Id: id}), ShouldBeNil)
			<-sent
			time.Sleep(10 * time.Millisecond)
		}
		Convey("It gets the answers that were sent before the server stopped, although it goes on sending", func() {
			cancel()
			for range 10 {
				_ = c.Ping(10 * time.Millisecond)
			}
			hold.Store(false)
			m := &wire.BootstrapState{}
			So(c.SetDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			for _, id := range []string{"6", "7"} {
				So(c.Recv(m), ShouldBeNil)
				So(m.Id, ShouldEqual, id)
			}
			So(<-served, ShouldBeNil)
		})
		Convey("The server does not wait for it longer than its limit", func() {
			stopped := time.Now()
			cancel()
			So(<-served, ShouldBeNil)
			So(time.Since(stopped), ShouldBeLessThan, 500*time.Millisecond)
			hold.Store(false)
		})
	})
}
