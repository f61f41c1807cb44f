package fault_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/fault"
)

func TestError(t *testing.T) {
	Convey("The verdict is kept when the error is wrapped, and other errors count as MayHaveRun", t, func() {
		e := fault.New(fault.NotRun, fault.TermSealed, "group %s", "g").WithCause(errors.New("gone")).WithHint("wait")
		wrapped := fmt.Errorf("outer: %w", e)
		So(fault.From(wrapped), ShouldEqual, e)
		So(fault.HasReason(wrapped, fault.TermSealed), ShouldBeTrue)
		So(e.Error(), ShouldEqual, "group g: gone")
		So(fault.From(errors.New("x")).Verdict, ShouldEqual, fault.MayHaveRun)
		So(fault.From(nil), ShouldBeNil)
	})
	Convey("An unknown outcome has its own SQLSTATE, whatever the reason", t, func() {
		So(fault.New(fault.MayHaveRun, fault.Deadline, "x").SQLState(), ShouldEqual, "40003")
		So(fault.New(fault.NotRun, fault.Deadline, "x").SQLState(), ShouldEqual, "57014")
		So(fault.New(fault.NotRun, fault.NoPrimary, "x").SQLState(), ShouldEqual, "57P03")
	})
}
