package story_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/tools/story"
)

const lines = `  1.0 edge {"fields":{"request":"7f","group":"g","instance":"i-1","stage":"unsent","cause":"instance i-1 cannot be reached","try":1,"term":1,"host":"edge-1"},"timestamp":"2026-01-01T10:00:02.5Z","message":"try failed"}
half a line {"fields":{"req
{"fields":{"request":"7f","group":"g","code":"busy","tries":1,"term":1,"open":true,"host":"edge-1","skipped":3},"timestamp":"2026-01-01T10:00:02.6Z","message":"request refused"}
{"fields":{"request":"80","group":"g","code":"busy","host":"edge-1"},"timestamp":"2026-01-01T10:00:02.6Z","message":"request refused"}
{"fields":{"group":"g","change":"seal","host":"core-1"},"timestamp":"2026-01-01T10:00:02.1Z","message":"replacement step"}
{"fields":{"group":"other","change":"seal","host":"core-1"},"timestamp":"2026-01-01T10:00:02.1Z","message":"replacement step"}
{"fields":{"instance":"i-1","host":"edge-2"},"timestamp":"2026-01-01T10:00:01Z","message":"instance not reached"}
not a line at all
`

func TestExplain(t *testing.T) {
	Convey("Events are in order of time, include those of the group, and missing lines are counted", t, func() {
		var b strings.Builder
		So(story.Explain(&b, strings.NewReader(lines), "7f"), ShouldBeNil)
		got := strings.Split(strings.TrimSpace(b.String()), "\n")
		So(got, ShouldHaveLength, 6)
		So(got[0], ShouldEqual, "2 lines are not valid log lines and were ignored")
		So(got[1], ShouldContainSubstring, "edge-2: instance not reached")
		So(got[2], ShouldContainSubstring, "core-1: replacement step")
		So(got[3], ShouldContainSubstring, "try 1 at instance i-1 failed (unsent)")
		So(got[4], ShouldContainSubstring, "refused with busy")
		So(got[5], ShouldEqual, "request 7f: ended with busy; 3 earlier lines of host edge-1 were skipped by the log's rate limit")
	})
	Convey("A refusal names the deadline of a primary that leaves, and the announcement some seconds before", t, func() {
		log := `{"fields":{"instance":"i-1","group":"g","age":"90ms","host":"edge-1"},"timestamp":"2026-01-01T10:00:00Z","message":"instance is leaving"}
{"fields":{"request":"81","group":"g","code":"leaving","primary":"i-1","leavein":"-750ms","host":"edge-1"},"timestamp":"2026-01-01T10:00:07.2Z","message":"request refused"}
{"fields":{"request":"82","group":"g","code":"busy","primary":"i-1","leavein":"2s","host":"edge-1"},"timestamp":"2026-01-01T10:00:04.5Z","message":"request refused"}`
		var b strings.Builder
		So(story.Explain(&b, strings.NewReader(log), "81"), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, "instance is leaving")
		So(b.String(), ShouldContainSubstring, "primary i-1 leaves and has got no new requests since its deadline 750ms ago: request refused with leaving")
		b.Reset()
		So(story.Explain(&b, strings.NewReader(log), "82"), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, "primary i-1 leaves and gets new requests for another 2s")
	})
	Convey("An instance that was chosen by reported loads is told with the age of the report", t, func() {
		log := `{"fields":{"request":"83","group":"g","instance":"i-1","try":1,"took":"20ms","expected":"15ms","newsage":"40ms","moved":1,"host":"edge-1"},"timestamp":"2026-01-01T10:00:00Z","message":"request served"}`
		var b strings.Builder
		So(story.Explain(&b, strings.NewReader(log), "83"), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, "served by instance i-1 on try 1 after 20ms; chosen for an expected 15ms by a report 40ms old, after 1 lenders declined")
	})
	Convey("An ID that no line mentions returns ErrNotFound", t, func() {
		var b strings.Builder
		So(errors.Is(story.Explain(&b, strings.NewReader(lines), "nobody"), story.ErrNotFound), ShouldBeTrue)
	})
}
