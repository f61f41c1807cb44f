package story_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/tools/story"
)

// logOf returns the lines that a host logs for a failed try and the refusal of a request.
func logOf(id, cause, group string) io.Reader {
	var b strings.Builder
	l := logs.New(logs.Options{Out: &b, Host: "edge-1"})
	l.WithField("request", id).WithField("group", group).WithField("instance", "i").WithField("stage", "sent").WithField("cause", cause).Info("try failed")
	l.WithField("request", id).WithField("group", group).WithField("code", "busy").Info("request refused")
	return strings.NewReader(b.String())
}

// TestFieldsForgeNoLinesOfAnExplanation guards against events that never took place in what explain and losses
// print, written by an instance or a caller.
func TestFieldsForgeNoLinesOfAnExplanation(t *testing.T) {
	forged := "x\n12:00:00.000 edge-1: served by instance i\r\t\x1b[2J"
	Convey("Line ends and control characters of a field are shown escaped", t, func() {
		var b strings.Builder
		So(story.Explain(&b, logOf("7f", forged, "g"), "7f"), ShouldBeNil)
		So(strings.Count(b.String(), "\n"), ShouldEqual, 3)
		So(b.String(), ShouldNotContainSubstring, "\x1b")
		So(b.String(), ShouldContainSubstring, `x\n12:00:00.000 edge-1: served by instance i\r\t\x1b[2J`)
	})
	Convey("The same holds for the id", t, func() {
		var b strings.Builder
		So(story.Explain(&b, logOf(forged, "c", "g"), forged), ShouldBeNil)
		So(strings.Count(b.String(), "\n"), ShouldEqual, 3)
	})
	Convey("The same holds for the table of losses", t, func() {
		var b strings.Builder
		So(story.Losses(&b, logOf("7f", forged, "g\n12:00"), story.LossOptions{Interval: time.Second}), ShouldBeNil)
		So(strings.Count(b.String(), "\n"), ShouldEqual, 4)
		So(b.String(), ShouldNotContainSubstring, "\x1b")
	})
}

// TestExplainReadsPastLongLines guards against logs that can't be explained since one line is too long.
func TestExplainReadsPastLongLines(t *testing.T) {
	Convey("A line that is too long is counted and passed over", t, func() {
		var b strings.Builder
		long := fmt.Sprintf(`{"fields":{"request":"%s"},"timestamp":"2026-01-01T10:00:02Z","message":"request refused"}`+"\n", strings.Repeat("x", 2<<20))
		So(story.Explain(&b, io.MultiReader(strings.NewReader(long), logOf("7f", "c", "g")), "7f"), ShouldBeNil)
		So(b.String(), ShouldStartWith, "1 lines are not valid log lines and were ignored\n")
		So(b.String(), ShouldContainSubstring, "request 7f: ended with busy")
	})
	Convey("A request whose id was cut in the log is found by its id", t, func() {
		var b strings.Builder
		id := strings.Repeat("\x01", 1<<20)
		So(story.Explain(&b, logOf(id, "c", "g"), id), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, "ended with busy")
	})
}
