package link_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// openPair returns both ends of a stream between two hosts.
func openPair() (opened, accepted *link.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	conns, end := make(chan *link.Conn, 1), make(chan struct{})
	served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"s": func(_ context.Context, _ string, c *link.Conn) {
		conns <- c
		<-end
	}}}).Run(ctx)
	d := &link.Dialer{Host: "e"}
	opened, err = d.Open(ctx, ln.Addr().String(), "s")
	So(err, ShouldBeNil)
	Reset(func() {
		close(end)
		d.Close()
		cancel()
		So(<-served, ShouldBeNil)
	})
	return opened, <-conns
}

// TestNothingFollowsPartOfMessage guards against a message that is read as the rest of another one, or from its
// middle, after a deadline has cut that one.
func TestNothingFollowsPartOfMessage(t *testing.T) {
	large := &wire.LendReply{Rows: [][]byte{bytes.Repeat([]byte("r"), 3<<20)}}
	Convey("Given a message larger than a stream's window", t, func() {
		sender, receiver := openPair()
		Convey("Nothing is sent after it was sent in part", func() {
			So(sender.SetDeadline(time.Now().Add(50*time.Millisecond)), ShouldBeNil)
			So(sender.Send(large), ShouldNotBeNil)
			received := make(chan error, 1)
			So(receiver.SetDeadline(time.Now().Add(500*time.Millisecond)), ShouldBeNil)
			go func() { received <- receiver.Recv(&wire.LendReply{}) }()
			So(sender.SetDeadline(time.Now().Add(500*time.Millisecond)), ShouldBeNil)
			So(sender.Send(&wire.LendReply{Proof: []byte("p")}), ShouldNotBeNil)
			So(<-received, ShouldNotBeNil)
		})
		Convey("Nothing is received after it was received in part", func() {
			receiver.SetMaxBytes(1 << 10)
			So(receiver.SetDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			So(sender.Send(&wire.LendReply{Rows: [][]byte{make([]byte, 4<<10)}}), ShouldBeNil)
			for range 3 {
				So(receiver.Recv(&wire.LendReply{}), ShouldNotBeNil)
			}
		})
		Convey("A wait that ends between two messages breaks nothing", func() {
			So(receiver.SetDeadline(time.Now().Add(20*time.Millisecond)), ShouldBeNil)
			So(receiver.Recv(&wire.LendReply{}), ShouldNotBeNil)
			So(receiver.SetDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			So(sender.Send(&wire.LendReply{Proof: []byte("p")}), ShouldBeNil)
			reply := &wire.LendReply{}
			So(receiver.Recv(reply), ShouldBeNil)
			So(string(reply.Proof), ShouldEqual, "p")
		})
	})
}
