package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// dialSession opens a session and returns a function that runs one statement, for its first line.
func dialSession(addr string) (net.Conn, func(text string) (string, error)) {
	c := openSession(addr)
	r := bufio.NewReader(c)
	_, err := r.ReadString('\n')
	So(err, ShouldBeNil)
	return c, func(text string) (string, error) {
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		if _, err := fmt.Fprintf(c, "QUERY 1 %s\r\n", text); err != nil {
			return "", err
		}
		line, err := r.ReadString('\n')
		if err == nil {
			_, _ = r.ReadString('\n')
		}
		return line, err
	}
}

// TestSessionsAreBounded answers sessions whose values and prepared statements never end.
func TestSessionsAreBounded(t *testing.T) {
	Convey("Given a host with bounds for sessions", t, func() {
		h := startHost(t, func(s *front.Server) { s.Limits = front.Limits{SessionBytes: 100_000, SessionValues: 3} })
		defer h.stop()
		c, ask := dialSession(h.Addr)
		defer c.Close()
		answer := func(text string) string {
			line, err := ask(text)
			So(err, ShouldBeNil)
			return line
		}
		long := strings.Repeat("v", 45_000)
		Convey("What is too much is refused, and the session goes on with what it has", func() {
			So(answer("SET a "+long), ShouldStartWith, "DONE")
			So(answer("PREPARE p READ "+long), ShouldStartWith, "DONE")
			So(answer("SET b "+long), ShouldStartWith, "ERR TOOBIG")
			So(answer("PREPARE q READ "+long), ShouldStartWith, "ERR TOOBIG")
			So(answer("CLOSE p"), ShouldStartWith, "DONE")
			So(answer("PREPARE q READ "+long), ShouldStartWith, "DONE")
			So(answer("CLOSE b"), ShouldStartWith, "ERR NOSTMT")
		})
		Convey("Values that replace others do not count", func() {
			for i := range 200 {
				So(answer(fmt.Sprintf("SET a %s%d", strings.Repeat("v", 5000), i)), ShouldStartWith, "DONE")
			}
		})
		Convey("Too many values are refused", func() {
			for _, name := range []string{"a", "b", "c", "a"} {
				So(answer("SET "+name+" x"), ShouldStartWith, "DONE")
			}
			So(answer("SET d x"), ShouldStartWith, "ERR TOOBIG")
		})
	})
}

// TestMemoryOfCallersIsBounded answers a crowd that has used up the memory: what is long is refused, and ordinary
// statements are answered.
func TestMemoryOfCallersIsBounded(t *testing.T) {
	Convey("Given callers within their limits that hold nearly all the memory", t, func() {
		budget := &bounds.Budget{Total: 300_000, Share: 16 << 10, Meter: meter.New(), Name: "memory"}
		h := startHost(t, func(s *front.Server) { s.Memory = budget })
		defer h.stop()
		So(budget.Open(func() {}).Set(bounds.Received, 290_000), ShouldBeTrue)
		Convey("Another long message is refused as not run, and its connection closed", func() {
			c, ask := dialSession(h.Addr)
			defer c.Close()
			line, err := ask("READ " + strings.Repeat("k", 120_000))
			if err == nil { // the close may reset the connection before the refusal was read
				So(line, ShouldStartWith, "ERR BUSY")
			}
			_, err = c.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
		})
		Convey("An ordinary statement is answered", func() {
			line, err := ask(h.Addr, "SET a b")
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "DONE -\r\n")
		})
	})
}

// TestIdleConnectionsMakeRoom answers a crowd of connections that are left open: new callers get their places.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	Convey("Given a host whose connections are all taken by sessions at rest", t, func() {
		h := startHost(t, func(s *front.Server) { s.Limits.Callers = 3 })
		defer h.stop()
		var resting []net.Conn
		for range 3 {
			c, ask := dialSession(h.Addr)
			defer c.Close()
			_, err := ask("SET a b")
			So(err, ShouldBeNil)
			resting = append(resting, c)
		}
		Convey("New callers are served after a refusal, and the one that has rested longest goes", func() {
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
				if line, err := ask(h.Addr, "SET a b"); err == nil && line == "DONE -\r\n" {
					break
				}
				So(time.Now().After(end), ShouldBeFalse)
			}
			_, err := resting[0].Read(make([]byte, 1))
			So(errors.Is(err, io.EOF), ShouldBeTrue)
			_ = resting[2].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err = resting[2].Read(make([]byte, 1))
			So(errors.Is(err, io.EOF), ShouldBeFalse)
		})
	})
}
