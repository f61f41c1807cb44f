package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// TestPeersAreBounded answers hosts that open streams or send messages without end.
func TestPeersAreBounded(t *testing.T) {
	Convey("Given a host with bounds for others", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		budget := &bounds.Budget{Total: 400_000, Share: 1 << 10, Name: "m"}
		echo := func(_ context.Context, _ string, c *link.Conn) {
			c.SetMaxBytes(300_000)
			c.SetBudget(budget)
			for m := (&wire.ControlRequest{}); c.Recv(m) == nil; {
				if c.Send(&wire.ControlReply{Text: m.Method}) != nil {
					return
				}
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		s := &link.Server{Listener: ln, Handlers: map[string]link.Handler{"echo": echo}, MaxSessions: 2, MaxStreams: 10}
		done := s.Run(ctx)
		defer func() {
			cancel()
			<-done
		}()
		open := func(d *link.Dialer) (*link.Conn, error) {
			return d.Open(ctx, ln.Addr().String(), "echo")
		}
		ask := func(c *link.Conn, size int) error {
			So(c.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			if err := c.Send(&wire.ControlRequest{Method: string(make([]byte, size))}); err != nil {
				return err
			}
			return c.Recv(&wire.ControlReply{})
		}
		peer, host := &link.Dialer{Host: "peer"}, &link.Dialer{Host: "host"}
		defer peer.Close()
		defer host.Close()
		c, err := open(host)
		So(err, ShouldBeNil)
		So(ask(c, 10), ShouldBeNil)
		Convey("A connection with too many streams is closed, and others are served", func() {
			var streams []*link.Conn
			for range 20 {
				s, err := open(peer)
				if err != nil {
					break
				}
				streams = append(streams, s)
			}
			So(streams[0].SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			So(streams[0].Recv(&wire.ControlReply{}), ShouldNotBeNil)
			So(ask(c, 10), ShouldBeNil)
		})
		Convey("A message over the limit ends its stream, one that fits the budget is answered", func() {
			So(ask(c, 150_000), ShouldBeNil)
			So(budget.Used(), ShouldEqual, 0)
			So(ask(c, 310_000), ShouldNotBeNil)
		})
		Convey("A message that the budget never has room for ends its stream", func() {
			So(ask(c, 250_000), ShouldNotBeNil)
		})
		Convey("A connection without streams makes room for another", func() {
			silent, err := net.Dial("tcp", ln.Addr().String())
			So(err, ShouldBeNil)
			defer silent.Close()
			other, err := open(peer)
			So(err, ShouldBeNil)
			So(ask(other, 10), ShouldBeNil)
			So(ask(c, 10), ShouldBeNil)
		})
	})
}
