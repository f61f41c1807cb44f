package mimic_test

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// TestCrashEndsSilentConnections guards against a crash that waits forever for a connection whose caller
// has said nothing (soak seed 3221).
func TestCrashEndsSilentConnections(t *testing.T) {
	Convey("An instance with a connection on which nothing was sent can crash", t, func() {
		in, err := (&mimic.Group{Name: "g", MaxConns: 4}).Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		c, err := net.Dial("tcp", in.Addr)
		So(err, ShouldBeNil)
		defer c.Close()
		crashed := make(chan struct{})
		go func() {
			in.Crash()
			close(crashed)
		}()
		select {
		case <-crashed:
		case <-time.After(10 * time.Second):
			So("crash", ShouldEqual, "ended")
		}
	})
}
