package sock_test

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/sock"
)

// pending returns what sock.Pending returns for a connection.
func pending(c net.Conn) (unread, unacknowledged int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	So(err, ShouldBeNil)
	var inner error
	So(raw.Control(func(fd uintptr) { unread, unacknowledged, inner = sock.Pending(int(fd)) }), ShouldBeNil)
	So(inner, ShouldBeNil)
	return unread, unacknowledged
}

// TestPending guards against closing sockets whose last answer has not arrived.
func TestPending(t *testing.T) {
	Convey("Given two ends of a connection", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		a, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer a.Close()
		b, err := ln.Accept()
		So(err, ShouldBeNil)
		defer b.Close()
		Convey("What one end writes is unread at the other, and acknowledged soon", func() {
			_, err := a.Write([]byte("hello"))
			So(err, ShouldBeNil)
			time.Sleep(50 * time.Millisecond)
			unread, _ := pending(b)
			So(unread, ShouldEqual, 5)
			_, unacknowledged := pending(a)
			So(unacknowledged, ShouldEqual, 0)
		})
		Convey("What does not fit the reader's buffer stays unacknowledged", func() {
			So(b.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
			_ = a.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			_, err := a.Write(make([]byte, 32<<20))
			So(err, ShouldNotBeNil)
			_, unacknowledged := pending(a)
			So(unacknowledged, ShouldBeGreaterThan, 0)
		})
	})
}
