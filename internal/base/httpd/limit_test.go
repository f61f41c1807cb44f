package httpd_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/httpd"
)

// TestConnectionsBeyondTheLimit answers a crowd that opens connections and leaves them.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	Convey("Given a server whose connections are all taken by clients without a request", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		done := httpd.Limits{Conns: 3}.Serve(ctx, ln, h, time.Second)
		defer func() {
			cancel()
			<-done
		}()
		var silent []net.Conn
		for range 3 {
			c, err := net.Dial("tcp", ln.Addr().String())
			So(err, ShouldBeNil)
			defer c.Close()
			silent = append(silent, c)
		}
		Convey("A request is served, and the oldest connection is closed for it", func() {
			resp, err := http.Get("http://" + ln.Addr().String())
			So(err, ShouldBeNil)
			b, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			So(err, ShouldBeNil)
			So(string(b), ShouldEqual, "whole")
			_, err = silent[0].Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		})
	})
}

// TestBodies answers a crowd that sends large bodies at once.
func TestBodies(t *testing.T) {
	read := func(b httpd.Bodies, size, limit int) (int, func(), error) {
		r := httptest.NewRequest("POST", "/", bytes.NewReader(make([]byte, size)))
		r.ContentLength = -1
		body, done, err := b.Read(httptest.NewRecorder(), r, limit)
		return len(body), done, err
	}
	Convey("Given a budget for bodies", t, func() {
		budget := &bounds.Budget{Total: 4 << 20, Share: 64 << 10, Name: "m"}
		bodies := httpd.Bodies{Budget: budget}
		Convey("A body of the limit is read, and its memory is given back", func() {
			n, done, err := read(bodies, 100_000, 100_000)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 100_000)
			So(budget.Used(), ShouldBeGreaterThanOrEqualTo, httpd.BodyCopies*100_000)
			done()
			So(budget.Used(), ShouldEqual, 0)
		})
		Convey("One over the limit, or over what the budget holds, is refused for good", func() {
			_, _, err := read(bodies, 100_001, 100_000)
			So(err, ShouldEqual, httpd.ErrTooLarge)
			_, _, err = read(bodies, 2<<20, 8<<20)
			So(err, ShouldEqual, httpd.ErrTooLarge)
			So(budget.Used(), ShouldEqual, 0)
		})
		Convey("While others hold the budget a large one is refused for now, and a small one is read", func() {
			_, done, err := read(bodies, 900_000, 1<<20)
			So(err, ShouldBeNil)
			defer done()
			_, _, err = read(bodies, 900_000, 1<<20)
			So(err, ShouldEqual, httpd.ErrNoMemory)
			n, small, err := read(bodies, 10_000, 1<<20)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 10_000)
			small()
		})
	})
	Convey("Without a budget only the limit holds", t, func() {
		n, done, err := read(httpd.Bodies{}, 1<<20, 1<<20)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 1<<20)
		done()
		_, _, err = read(httpd.Bodies{}, 1<<20+1, 1<<20)
		So(err, ShouldEqual, httpd.ErrTooLarge)
	})
}
