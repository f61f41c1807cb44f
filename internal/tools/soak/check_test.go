package soak_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

// TestChecksDetectViolations checks histories with and without one violation of each kind.
func TestChecksDetectViolations(t *testing.T) {
	at := time.Unix(1000, 0)
	runCount := func(n int) func(string) int { return func(string) int { return n } }
	// orderByID is a log in which writes are ordered by their ids: "w" comes before "x".
	orderByID := func(id string) int { return int(id[0]) }
	write := func(o soak.Outcome) soak.History {
		return soak.History{Writes: []soak.Write{{ID: "w", Item: "a", Value: 2, Outcome: o, AnsweredAt: at}}}
	}
	read := func(value int, startedAt time.Time, maxAge time.Duration, byWriter bool) soak.History {
		h := write(soak.Acked)
		h.Reads = []soak.Read{{Item: "a", Value: value, StartedAt: startedAt, MaxAge: maxAge, ByWriter: byWriter}}
		return h
	}
	readConfig := func(version uint64, after time.Duration) soak.History {
		return soak.History{AckedConfigs: []soak.ConfigVersion{{Version: 7, AnsweredAt: at}}, ReadConfigs: []soak.ConfigVersion{{Host: "c", Version: version, SentAt: at.Add(after)}}}
	}
	Convey("Consistent histories have no violations", t, func() {
		So(write(soak.Acked).Check(runCount(1), orderByID), ShouldBeEmpty)
		So(write(soak.NotRun).Check(runCount(0), orderByID), ShouldBeEmpty)
		So(write(soak.MayHaveRun).Check(runCount(0), orderByID), ShouldBeEmpty)
		So(write(soak.MayHaveRun).Check(runCount(1), orderByID), ShouldBeEmpty)
		So(read(2, at.Add(time.Second), 0, false).Check(runCount(1), orderByID), ShouldBeEmpty)
		So(read(1, at.Add(time.Second), 2*time.Second, false).Check(runCount(1), orderByID), ShouldBeEmpty)
		So(readConfig(6, time.Second).Check(runCount(0), orderByID), ShouldBeEmpty)
		So(readConfig(7, time.Hour).Check(runCount(0), orderByID), ShouldBeEmpty)
	})
	Convey("A read may return a write that took effect after the acknowledged one, but not one from before it", t, func() {
		late := func(id string) soak.History {
			h := read(1, at.Add(time.Second), 0, false)
			h.Writes = append(h.Writes, soak.Write{ID: id, Item: "a", Value: 1, Outcome: soak.MayHaveRun, AnsweredAt: at.Add(-time.Second)})
			return h
		}
		So(late("x").Check(runCount(1), orderByID), ShouldBeEmpty)
		So(late("v").Check(runCount(1), orderByID), ShouldHaveLength, 1)
	})
	Convey("Each violation is reported", t, func() {
		So(write(soak.Acked).Check(runCount(0), orderByID), ShouldHaveLength, 1)
		So(write(soak.Acked).Check(runCount(2), orderByID), ShouldHaveLength, 1)
		So(write(soak.NotRun).Check(runCount(1), orderByID), ShouldHaveLength, 1)
		So(write(soak.MayHaveRun).Check(runCount(2), orderByID), ShouldHaveLength, 1)
		So(read(1, at.Add(time.Second), 0, false).Check(runCount(1), orderByID), ShouldHaveLength, 1)
		So(read(1, at.Add(3*time.Second), 2*time.Second, false).Check(runCount(1), orderByID), ShouldHaveLength, 1)
		So(read(1, at.Add(time.Second), 2*time.Second, true).Check(runCount(1), orderByID), ShouldHaveLength, 1)
		So(readConfig(6, 4*time.Second).Check(runCount(0), orderByID), ShouldHaveLength, 1)
	})
}
