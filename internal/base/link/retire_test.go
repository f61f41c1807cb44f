package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// holdableConn is a connection whose received bytes are held back while hold is set, as if the other host
// were silent.
type holdableConn struct {
	net.Conn
	hold *atomic.Bool
}

func (c holdableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.hold.Load() {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// TestRetiredSessionKeepsItsStreams guards against answers that are lost because another stream to the same
// host got no answer in time.
func TestRetiredSessionKeepsItsStreams(t *testing.T) {
	Convey("Given a stream that waits for an answer", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		answer := make(chan struct{})
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"slow": func(_ context.Context, _ string, c *link.Conn) {
			m := &wire.BootstrapState{}
			if c.Recv(m) == nil {
				<-answer
				_ = c.Send(m)
			}
		}}}).Run(ctx)
		var dials atomic.Int64
		var hold atomic.Bool
		silent := make(chan int, 1)
		d := &link.Dialer{Host: "h", OnSilent: func(_ string, streams int) { silent <- streams }, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			dials.Add(1)
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return holdableConn{raw, &hold}, err
		}}
		open := func() *link.Conn {
			c, err := d.Open(ctx, ln.Addr().String(), "slow")
			So(err, ShouldBeNil)
			So(c.Send(&wire.BootstrapState{Id: "7"}), ShouldBeNil)
			return c
		}
		c := open()
		Convey("It gets its answer after the session was retired, and the next stream opens another connection", func() {
			d.RetireSession(ln.Addr().String())
			open().Close()
			So(dials.Load(), ShouldEqual, 2)
			time.Sleep(500 * time.Millisecond)
			close(answer)
			m := &wire.BootstrapState{}
			So(c.Recv(m), ShouldBeNil)
			So(m.Id, ShouldEqual, "7")
			c.Close()
			for end := time.Now().Add(5 * time.Second); !c.SessionClosed() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(c.SessionClosed(), ShouldBeTrue)
		})
		Convey("It fails soon if the other host is silent", func() {
			hold.Store(true)
			d.RetireSession(ln.Addr().String())
			time.AfterFunc(time.Second, func() { hold.Store(false) })
			So(c.Recv(&wire.BootstrapState{}), ShouldNotBeNil)
			So(<-silent, ShouldEqual, 1)
			close(answer)
		})
		Reset(func() {
			d.Close()
			cancel()
			So(<-served, ShouldBeNil)
		})
	})
}

// TestFailedOpeningKeepsOtherStreams guards against answers that are lost because another stream to the same
// host could not be opened.
func TestFailedOpeningKeepsOtherStreams(t *testing.T) {
	Convey("Given a stream on a connection that takes no new ones", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		sessions := make(chan *yamux.Session, 1)
		go func() {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			session, err := yamux.Server(raw, yamux.DefaultConfig())
			if err == nil {
				sessions <- session
			}
		}()
		d := &link.Dialer{Host: "h"}
		defer d.Close()
		c, err := d.Open(t.Context(), ln.Addr().String(), "slow")
		So(err, ShouldBeNil)
		session := <-sessions
		defer session.Close()
		stream, err := session.AcceptStream()
		So(err, ShouldBeNil)
		So(session.GoAway(), ShouldBeNil)
		for err == nil {
			time.Sleep(time.Millisecond)
			_, err = d.Open(t.Context(), ln.Addr().String(), "slow")
		}
		Convey("It still gets its answer", func() {
			// An empty message.
			_, err := stream.Write([]byte{0})
			So(err, ShouldBeNil)
			So(c.SetDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			So(c.Recv(&wire.BootstrapState{}), ShouldBeNil)
		})
	})
}
