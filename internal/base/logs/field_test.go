package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/logs"
)

// maxLine is the longest line that a test accepts, in bytes.
const maxLine = 32 << 10

// TestLongFieldsMakeNoLongLines guards against log lines of megabytes, which fill the buffer for lines and which
// the explain command can't read.
func TestLongFieldsMakeNoLongLines(t *testing.T) {
	Convey("Given a logger", t, func() {
		out := &bytes.Buffer{}
		l := logs.New(logs.Options{Out: out})
		write := func(id string) map[string]any {
			out.Reset()
			l.WithField("request", id).WithField("other", 1).Info("request refused")
			So(out.Len(), ShouldBeLessThan, maxLine)
			So(strings.Count(out.String(), "\n"), ShouldEqual, 1)
			var line struct{ Fields map[string]any }
			So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
			return line.Fields
		}
		Convey("A short field stays as it is", func() {
			So(write("s1\r\n{\"x\"")["request"], ShouldEqual, "s1\r\n{\"x\"")
		})
		Convey("A long one is cut, whatever its bytes", func() {
			for _, part := range []string{"a", "\x01", "\xff", "é", "\n{"} {
				id := strings.Repeat(part, 1<<19)
				So(write(id)["request"], ShouldEqual, logs.Shorten(id))
			}
		})
	})
}
