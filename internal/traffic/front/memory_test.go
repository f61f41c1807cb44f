package front_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// TestBlockedCallerCannotFillMemory guards against statements that are read without limit while the answers
// before them wait for their caller.
func TestBlockedCallerCannotFillMemory(t *testing.T) {
	Convey("Given a caller that reads slowly and has more answers unread than the limit", t, func() {
		row := strings.Repeat("r", 1<<20-len("ROW "))
		h := startCutHost(t, time.Millisecond, []string{row, row, row, row, row, row, row, row, row, row, row, row}, func(s *front.Server) {
			s.Limits = front.Limits{MessageTimeout: front.DefaultMessageTimeout, UnreadBytes: front.DefaultUnreadBytes}
		})
		defer h.stop()
		c := h.open("c")
		defer c.Close()
		So(c.send("READ a"), ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		Convey("The host does not take 64 MiB of further statements from it", func() {
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			n, _ := c.Write(bytes.Repeat([]byte("QUERY 1 READ a\r\n"), 4<<20))
			So(n, ShouldBeLessThan, 32<<20)
		})
	})
}
