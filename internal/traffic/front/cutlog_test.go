package front_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// syncBuffer is a buffer for the log lines of several goroutines.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestCutConnectionIsLogged guards against a connection that the host cuts without a trace in its logs.
func TestCutConnectionIsLogged(t *testing.T) {
	Convey("Given a caller that has not read its answer when the host stops", t, func() {
		out := &syncBuffer{}
		row := strings.Repeat("x", 900<<10)
		h := startHostWithInstance(t, 0, []string{row, row, row, row, row, row, row, row, row, row, row, row}, func(s *front.Server) {
			s.Log = logs.New(logs.Options{Out: out, Host: "h", Level: "info"})
		})
		c, err := net.Dial("tcp", h.Addr)
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(256<<10), ShouldBeNil)
		fmt.Fprint(c, "STARTUP stock u\r\nQUERY 17 WRITE a b\r\n")
		time.Sleep(300 * time.Millisecond)
		h.stop()
		Convey("The log names the request and says how much was not sent", func() {
			So(out.String(), ShouldContainSubstring, drain.EventCut)
			So(out.String(), ShouldContainSubstring, `"request":"17"`)
			So(h.Meter.CounterValue("callers.cut"), ShouldEqual, int64(1))
		})
	})
}
