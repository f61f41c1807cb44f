package httpd_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/httpd"
)

// TestUnusedConnectionDoesNotDelayStop guards against a stop that takes its whole limit because a connection
// is open on which nothing was sent: several servers stop one after another within half a second.
func TestUnusedConnectionDoesNotDelayStop(t *testing.T) {
	Convey("Given a connection that has carried no request", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := httpd.Serve(ctx, ln, http.NotFoundHandler(), time.Second)
		c, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		time.Sleep(50 * time.Millisecond)
		Convey("The server stops at once", func() {
			stopped := time.Now()
			cancel()
			So(<-done, ShouldBeNil)
			So(time.Since(stopped), ShouldBeLessThan, 300*time.Millisecond)
		})
	})
}
