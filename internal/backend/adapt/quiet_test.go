package adapt_test

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// becomesLoud waits until the connection is not quiet any more.
func becomesLoud(c net.Conn) bool {
	for range 1000 {
		if !adapt.Quiet(c) {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func TestQuiet(t *testing.T) {
	Convey("An idle connection is quiet, whatever its deadline was", t, func() {
		near, _ := pair(t)
		So(adapt.Quiet(near), ShouldBeTrue)
		near.SetDeadline(time.Unix(1, 0))
		So(adapt.Quiet(near), ShouldBeTrue)
	})
	Convey("A late answer is heard", t, func() {
		near, far := pair(t)
		far.Write([]byte("Z"))
		So(becomesLoud(near), ShouldBeTrue)
	})
	Convey("An end is heard", t, func() {
		near, far := pair(t)
		far.Close()
		So(becomesLoud(near), ShouldBeTrue)
	})
}
