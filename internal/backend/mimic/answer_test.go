package mimic_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// readAnswers reads answers until the connection has been silent for a while, and returns how often each came.
func readAnswers(c net.Conn, silence time.Duration) map[string]int {
	r, seen, answer := bufio.NewReader(c), map[string]int{}, ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(silence))
		line, err := mimic.ReadLine(r)
		if err != nil {
			return seen
		}
		answer += line + "|"
		if strings.HasPrefix(line, "READY") {
			seen[answer]++
			answer = ""
		}
	}
}

// TestInstanceStuttersInWholeAnswers guards against a second answer that is sent inside another one.
func TestInstanceStuttersInWholeAnswers(t *testing.T) {
	const reads = 300
	var statements strings.Builder
	statements.WriteString("STARTUP g me\r\nQUERY a WRITE k v\r\n")
	for i := range reads {
		fmt.Fprintf(&statements, "QUERY r%d READ k\r\n", i)
	}
	statements.WriteString("QUERY - SET n v\r\nQUERY e EXEC none k\r\n")
	play := func(share float64) (*mimic.Instance, map[string]int) {
		in, err := (&mimic.Group{Name: "g", MaxConns: 4}).Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		in.SetStutter(mimic.Stutter{Share: share, MaxDelay: 20 * time.Millisecond}, 1)
		c, err := net.Dial("tcp", in.Addr)
		So(err, ShouldBeNil)
		defer in.Crash()
		defer c.Close()
		_, err = io.WriteString(c, statements.String())
		So(err, ShouldBeNil)
		return in, readAnswers(c, time.Second)
	}
	Convey("Without the fault each answer comes once", t, func() {
		in, seen := play(0)
		So(seen, ShouldHaveLength, reads+4)
		for _, n := range seen {
			So(n, ShouldEqual, 1)
		}
		So(in.SecondAnswers(), ShouldEqual, 0)
	})
	Convey("With it, successes, internal answers and errors come a second time, in whole", t, func() {
		in, seen := play(1)
		So(seen, ShouldHaveLength, reads+4)
		for answer, n := range seen {
			So(fmt.Sprint(answer, n), ShouldEndWith, map[bool]string{true: "1", false: "2"}[strings.HasPrefix(answer, "READY")])
		}
		So(seen["DONE -|READY I 1.1|"], ShouldEqual, 2)
		So(seen["ERR NOSTMT i|READY I 1.1|"], ShouldEqual, 2)
		So(in.SecondAnswers(), ShouldEqual, reads+3)
	})
	Convey("The share holds", t, func() {
		in, _ := play(0.2)
		So(in.SecondAnswers(), ShouldBeBetween, reads/10, reads*3/10)
	})
}
