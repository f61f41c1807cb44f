package queue_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

// TestServiceTimeOfHangingServer is a backend server that hangs behind a good status check: none of its
// requests ends, so that the mean of those that did says nothing.
func TestServiceTimeOfHangingServer(t *testing.T) {
	Convey("Running requests count in the current service time as far as they have come", t, func() {
		q := queue.Queue{Slots: 4, MaxWaiting: 8, ShortestFirst: true}
		now := time.Unix(1000, 0)
		for id := range uint64(20) {
			q.Enqueue(now, queue.Ticket{ID: id, Class: spec.Normal, Caller: "d", Deadline: now.Add(time.Second)})
			now = now.Add(15 * time.Millisecond)
			q.Release(now, id)
		}
		So(q.CurrentServiceTime(now), ShouldEqual, 15*time.Millisecond)
		So(q.CallerServiceTime(now, "d"), ShouldEqual, 15*time.Millisecond)
		So(q.CallerServiceTime(now, "other"), ShouldEqual, 15*time.Millisecond)
		for id := uint64(100); id < 104; id++ {
			q.Enqueue(now, queue.Ticket{ID: id, Class: spec.Normal, Caller: "d", Deadline: now.Add(time.Second)})
		}
		now = now.Add(100 * time.Millisecond)
		So(q.CurrentServiceTime(now), ShouldEqual, 65*time.Millisecond)
		So(q.MeanServiceTime(), ShouldEqual, 15*time.Millisecond)
	})
}
