package adapt_test

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (client, server net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// stopsBeingIdle polls for up to 5 s until the connection is no longer idle.
func stopsBeingIdle(c net.Conn) bool {
	for range 1000 {
		if !adapt.Idle(c) {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func TestIdle(t *testing.T) {
	Convey("A connection without unread data is idle, even with an expired deadline", t, func() {
		client, _ := connPair(t)
		So(adapt.Idle(client), ShouldBeTrue)
		client.SetDeadline(time.Unix(1, 0))
		So(adapt.Idle(client), ShouldBeTrue)
	})
	Convey("A connection with unread data is not idle", t, func() {
		client, server := connPair(t)
		server.Write([]byte("Z"))
		So(stopsBeingIdle(client), ShouldBeTrue)
	})
	Convey("A connection closed by the peer is not idle", t, func() {
		client, server := connPair(t)
		server.Close()
		So(stopsBeingIdle(client), ShouldBeTrue)
	})
}
