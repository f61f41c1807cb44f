package soak_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

// TestChecksBite plants one broken promise of each kind.
func TestChecksBite(t *testing.T) {
	at := time.Unix(1000, 0)
	ran := func(n int) func(string) int { return func(string) int { return n } }
	// inOrder finds the writes in the log in the order of their ids; "w" stands before "x".
	inOrder := func(id string) int { return int(id[0]) }
	write := func(o soak.Outcome) soak.History {
		return soak.History{Writes: []soak.Write{{ID: "w", Item: "a", Value: 2, Outcome: o, Ended: at}}}
	}
	read := func(value int, began time.Time, age time.Duration, own bool) soak.History {
		h := write(soak.Acked)
		h.Reads = []soak.Read{{Item: "a", Value: value, Began: began, Age: age, Own: own}}
		return h
	}
	held := func(number uint64, after time.Duration) soak.History {
		return soak.History{Declared: []soak.Version{{Number: 7, Ended: at}}, Held: []soak.Version{{Host: "c", Number: number, Began: at.Add(after)}}}
	}
	Convey("What holds breaks nothing", t, func() {
		So(write(soak.Acked).Check(ran(1), inOrder), ShouldBeEmpty)
		So(write(soak.Promised).Check(ran(0), inOrder), ShouldBeEmpty)
		So(write(soak.Doubt).Check(ran(0), inOrder), ShouldBeEmpty)
		So(write(soak.Doubt).Check(ran(1), inOrder), ShouldBeEmpty)
		So(read(2, at.Add(time.Second), 0, false).Check(ran(1), inOrder), ShouldBeEmpty)
		So(read(1, at.Add(time.Second), 2*time.Second, false).Check(ran(1), inOrder), ShouldBeEmpty)
		So(held(6, time.Second).Check(ran(0), inOrder), ShouldBeEmpty)
		So(held(7, time.Hour).Check(ran(0), inOrder), ShouldBeEmpty)
	})
	Convey("A write in doubt may take effect after a later one, and not before", t, func() {
		late := func(id string) soak.History {
			h := read(1, at.Add(time.Second), 0, false)
			h.Writes = append(h.Writes, soak.Write{ID: id, Item: "a", Value: 1, Outcome: soak.Doubt, Ended: at.Add(-time.Second)})
			return h
		}
		So(late("x").Check(ran(1), inOrder), ShouldBeEmpty)
		So(late("v").Check(ran(1), inOrder), ShouldHaveLength, 1)
	})
	Convey("Each broken promise is told", t, func() {
		So(write(soak.Acked).Check(ran(0), inOrder), ShouldHaveLength, 1)
		So(write(soak.Acked).Check(ran(2), inOrder), ShouldHaveLength, 1)
		So(write(soak.Promised).Check(ran(1), inOrder), ShouldHaveLength, 1)
		So(write(soak.Doubt).Check(ran(2), inOrder), ShouldHaveLength, 1)
		So(read(1, at.Add(time.Second), 0, false).Check(ran(1), inOrder), ShouldHaveLength, 1)
		So(read(1, at.Add(3*time.Second), 2*time.Second, false).Check(ran(1), inOrder), ShouldHaveLength, 1)
		So(read(1, at.Add(time.Second), 2*time.Second, true).Check(ran(1), inOrder), ShouldHaveLength, 1)
		So(held(6, 4*time.Second).Check(ran(0), inOrder), ShouldHaveLength, 1)
	})
}
