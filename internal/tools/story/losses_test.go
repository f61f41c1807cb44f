package story_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/tools/story"
)

// lossLines are lines of two hosts in two seconds, with foreign lines among them.
const lossLines = `edge-1 {"fields":{"request":"1","group":"g","code":"busy","leased":false,"open":true,"took":"2ms","positionage":"3s","host":"edge-1"},"timestamp":"2026-01-01T10:00:00.9Z","message":"request refused"}
{"fields":{"request":"2","group":"g","code":"busy","leased":true,"open":false,"took":"9ms","positionage":"1s","host":"edge-2","skipped":7},"timestamp":"2026-01-01T10:00:00.1Z","message":"request refused"}
{"fields":{"request":"3","group":"g","instance":"i-1","stage":"unsent","cause":"instance i-1 cannot be reached","host":"edge-1"},"timestamp":"2026-01-01T10:00:00.5Z","message":"try failed"}
{"fields":{"request":"4","group":"g","instance":"i-2","stage":"unsent","cause":"instance i-2 cannot be reached","host":"edge-1"},"timestamp":"2026-01-01T10:00:00.5Z","message":"try failed"}
{"fields":{"request":"5","group":"g","instance":"i-2","stage":"unsent","cause":"instance i-2 cannot be reached","host":"edge-1"},"timestamp":"2026-01-01T10:00:00.6Z","message":"try failed"}
{"fields":{"request":"6","group":"h","code":"left","took":"1s","host":"edge-1"},"timestamp":"2026-01-01T10:00:01Z","message":"caller left"}
{"fields":{"request":"7","group":"h","took":"impossible","positionage":-4,"leased":"yes","host":3},"timestamp":"2026-01-01T10:00:01Z","message":"transaction ended"}
{"fields":{"request":"8","group":"g"},"timestamp":"2026-01-01T10:00:01Z","message":"request served"}
{"timestamp":"yesterday","message":"request refused"}
another program's line
{"not":"a log line"}
`

func losses(lines string, opt story.LossOptions) story.LossReport {
	var b strings.Builder
	opt.JSON = true
	So(story.Losses(&b, strings.NewReader(lines), opt), ShouldBeNil)
	var report story.LossReport
	So(json.Unmarshal([]byte(b.String()), &report), ShouldBeNil)
	return report
}

func TestLosses(t *testing.T) {
	Convey("Losses are counted by interval, group and reason, the largest first", t, func() {
		report := losses(lossLines, story.LossOptions{Interval: time.Second})
		So(report.Losses, ShouldHaveLength, 4)
		tries, refused := report.Losses[0], report.Losses[1]
		So(tries.Count, ShouldEqual, 3)
		So(tries.Reason, ShouldEqual, "unsent: instance I cannot be reached")
		So(tries.Instance, ShouldEqual, "i-2")
		So(refused.Count, ShouldEqual, 2)
		So(refused.Unleased, ShouldEqual, 1)
		So(refused.Closed, ShouldEqual, 1)
		So(time.Duration(refused.LongestTook), ShouldEqual, 9*time.Millisecond)
		So(time.Duration(refused.OldestPosition), ShouldEqual, 3*time.Second)
		So(report.Losses[2].Event, ShouldEqual, "caller left")
		So(report.Losses[3].Event, ShouldEqual, "transaction ended")
		So(report.Unreadable, ShouldEqual, 3)
		So(report.Skipped, ShouldEqual, 7)
	})
	Convey("Only the largest are listed if a number is given", t, func() {
		So(losses(lossLines, story.LossOptions{Interval: time.Second, Most: 1}).Losses, ShouldHaveLength, 2)
	})
	Convey("The table has a row for each", t, func() {
		var b strings.Builder
		So(story.Losses(&b, strings.NewReader(lossLines), story.LossOptions{Interval: time.Second}), ShouldBeNil)
		rows := strings.Split(strings.TrimSpace(b.String()), "\n")
		So(rows, ShouldHaveLength, 6)
		So(rows[0], ShouldStartWith, "START")
		So(rows[1], ShouldContainSubstring, "instance I cannot be reached")
		So(rows[5], ShouldStartWith, "3 lines are not valid log lines; hosts skipped 7 lines")
	})
	Convey("Memory is bounded: too long lines are passed over, and kinds beyond the limit are only counted", t, func() {
		var b strings.Builder
		b.WriteString(strings.Repeat("x", 3<<20) + "\n")
		for i := range 20100 {
			fmt.Fprintf(&b, `{"fields":{"group":"g%d","code":"busy"},"timestamp":"2026-01-01T10:00:00Z","message":"request refused"}`+"\n", i)
		}
		report := losses(b.String(), story.LossOptions{Interval: time.Second, Most: 3})
		So(report.Losses, ShouldHaveLength, 3)
		So(report.Uncounted, ShouldEqual, 100)
		So(report.Unreadable, ShouldEqual, 1)
	})
}

// TestLossesGroupAddresses guards against a line of its own for each connection that failed.
func TestLossesGroupAddresses(t *testing.T) {
	Convey("Causes that differ in addresses only are counted together", t, func() {
		var lines strings.Builder
		for port := range 3 {
			fmt.Fprintf(&lines, `{"fields":{"group":"g","instance":"i-9","stage":"sent","cause":"read tcp 10.0.0.1:%d->10.2.0.9:8664: i/o timeout"},"timestamp":"2026-01-01T10:00:00Z","message":"try failed"}`+"\n", 4000+port)
		}
		report := losses(lines.String(), story.LossOptions{Interval: time.Second})
		So(report.Losses, ShouldHaveLength, 1)
		So(report.Losses[0].Count, ShouldEqual, 3)
		So(report.Losses[0].Reason, ShouldEqual, "sent: read tcp ADDR->ADDR: i/o timeout")
	})
}
