package host_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCutConnectionIsLogged guards against connections that a host closes without a word while it owes
// an answer.
func TestCutConnectionIsLogged(t *testing.T) {
	Convey("A connection that is closed because its caller reads nothing is counted and logged as cut", t, func() {
		d := startDeployment(t, 1, 10*time.Second)
		conn, f := d.dialRaw("entry-1")
		defer conn.Close()
		send(f, largeQuery)
		h := d.hosts["entry-1"]
		d.eventually(readTimeout+5*time.Second, func() error {
			if n := h.Meter.CounterValue("callers.cut"); n != 1 {
				return fmt.Errorf("%d connections were cut", n)
			}
			// The line is written after the counter.
			if !strings.Contains(h.log.String(), "caller connection cut") {
				return errors.New("no line in the log")
			}
			return nil
		})
	})
}

// TestSlowReadersGetLargeAnswers guards against a timeout for callers that do not read, counted for the
// whole answer.
func TestSlowReadersGetLargeAnswers(t *testing.T) {
	Convey("A caller that reads steadily gets an answer that takes longer than the timeout for readers", t, func() {
		d := startDeployment(t, 1, 10*time.Second)
		conn, f := d.dialRaw("entry-1")
		defer conn.Close()
		send(f, "SELECT printf('%.50331648c', 'x')")
		started := time.Now()
		So(readAnswer(f), ShouldResemble, answer{bytes: 48 << 20})
		So(time.Since(started), ShouldBeGreaterThan, readTimeout)
	})
}
