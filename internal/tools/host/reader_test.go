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

// TestDrainDoesNotWaitForCallersThatDoNotRead guards against drains that last until their limit because a
// caller is gone or does not read: the kernel goes on delivering what it has.
func TestDrainDoesNotWaitForCallersThatDoNotRead(t *testing.T) {
	Convey("A host stops although a caller has not read its answer, which arrives all the same", t, func() {
		const limit = 20 * time.Second
		d := startWithReadTimeout(t, 1, limit, limit)
		conn, f := d.dialRaw("entry-1")
		defer conn.Close()
		send(f, mediumQuery)
		time.Sleep(300 * time.Millisecond)
		So(<-d.shutDown("entry-1"), ShouldBeLessThan, limit/3)
		So(readAnswer(f), ShouldResemble, answer{bytes: mediumBytes})
		So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
	})
}
