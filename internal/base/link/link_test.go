package link_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

func TestStreams(t *testing.T) {
	Convey("Streams reach the service that they name, and end with the server", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		echo := func(_ context.Context, from string, c *link.Conn) {
			m := &wire.Birth{}
			for c.Recv(m) == nil {
				m.Addr = from
				if c.Send(m) != nil {
					return
				}
			}
		}
		done := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"echo": echo}}).Run(ctx)
		d := &link.Dialer{Host: "me"}
		defer d.Close()
		for i := range 3 {
			c, err := d.Open(ctx, ln.Addr().String(), "echo")
			So(err, ShouldBeNil)
			So(c.Send(&wire.Birth{Id: fmt.Sprint(i)}), ShouldBeNil)
			m := &wire.Birth{}
			So(c.Recv(m), ShouldBeNil)
			So([]string{m.Id, m.Addr}, ShouldResemble, []string{fmt.Sprint(i), "me"})
		}
		c, err := d.Open(ctx, ln.Addr().String(), "nothing")
		So(err, ShouldBeNil)
		So(c.Recv(&wire.Birth{}), ShouldNotBeNil)
		cancel()
		So(<-done, ShouldBeNil)
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{5, 1, 2, 3, 4, 5})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add([]byte{128, 128, 128, 30, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := link.ReadFrame(bufio.NewReader(bytes.NewReader(b)))
		if err == nil && len(frame) > len(b) {
			t.Fatal("frame is longer than what was sent")
		}
	})
}
