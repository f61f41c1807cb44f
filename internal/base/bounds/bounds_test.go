package bounds_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/meter"
)

// TestWhoGoesFirst answers a crowd that fills the budget: those that hold most and read least are ended.
func TestWhoGoesFirst(t *testing.T) {
	Convey("Given clients that hold memory", t, func() {
		list := []bounds.Holding{
			{Bytes: 100, Within: true},
			{Bytes: 30},
			{Bytes: 50},
			{Bytes: 40, Unread: 40},
		}
		Convey("The one that holds most and reads least goes first", func() {
			So(bounds.First(list, 10), ShouldResemble, []int{3})
		})
		Convey("As many go as are needed, in that order", func() {
			So(bounds.First(list, 41), ShouldResemble, []int{3, 2})
			So(bounds.First(list, 91), ShouldResemble, []int{3, 2, 1})
		})
		Convey("None goes if that does not suffice, and none that keeps its limits", func() {
			So(bounds.First(list, 121), ShouldBeNil)
		})
	})
}

// TestBudget answers a crowd that asks for more than the budget.
func TestBudget(t *testing.T) {
	Convey("Given a budget that clients within their limits have used up", t, func() {
		b := &bounds.Budget{Total: 100, Share: 10, Meter: meter.New(), Name: "m"}
		ended := make(chan string, 4)
		open := func(name string) *bounds.Claim { return b.Open(func() { ended <- name }) }
		first, second, small := open("first"), open("second"), open("small")
		So(first.Set(bounds.Received, 60), ShouldBeTrue)
		So(second.Set(bounds.Session, 40), ShouldBeTrue)
		Convey("A small claim is granted, up to its share of all kinds", func() {
			So(small.Set(bounds.Received, 6), ShouldBeTrue)
			So(small.Set(bounds.Running, 4), ShouldBeTrue)
			So(small.Set(bounds.Running, 5), ShouldBeFalse)
			So(b.Used(), ShouldEqual, 110)
		})
		Convey("A large claim is refused and changes nothing, and none is ended", func() {
			So(small.Set(bounds.Received, 11), ShouldBeFalse)
			So(b.Used(), ShouldEqual, 100)
			So(first.Evicted() || second.Evicted(), ShouldBeFalse)
		})
		Convey("A client outside its limits is ended for a large claim, which is granted once it has gone", func() {
			second.SetWithin(false)
			So(small.Set(bounds.Received, 11), ShouldBeFalse)
			So(<-ended, ShouldEqual, "second")
			So(second.Evicted(), ShouldBeTrue)
			So(small.Set(bounds.Received, 11), ShouldBeFalse)
			second.Close()
			So(small.Set(bounds.Received, 11), ShouldBeTrue)
			So(b.Used(), ShouldEqual, 71)
		})
		Convey("What is in use already counts beyond the budget", func() {
			small.Force(bounds.Unsent, 50)
			So(b.Used(), ShouldEqual, 150)
			So(first.Set(bounds.Received, 50), ShouldBeTrue)
			small.Close()
			small.Force(bounds.Unsent, 50)
			small.Close()
			So(b.Used(), ShouldEqual, 90)
		})
	})
	Convey("Without a budget everything is granted", t, func() {
		var b *bounds.Budget
		c := b.Open(nil)
		So(c.Set(bounds.Received, 1<<40), ShouldBeTrue)
		c.Force(bounds.Unsent, 1)
		c.SetWithin(false)
		So(c.Evicted(), ShouldBeFalse)
		c.Close()
	})
}

// TestBudgetFor answers processes with little memory: a few of the longest messages are served at once.
func TestBudgetFor(t *testing.T) {
	Convey("The budget follows the limit of the process, and is large enough for long messages", t, func() {
		So(bounds.BudgetFor(0), ShouldEqual, 0)
		So(bounds.BudgetFor(96<<20), ShouldEqual, 16<<20)
		So(bounds.BudgetFor(10<<20), ShouldEqual, 12<<20)
	})
}
