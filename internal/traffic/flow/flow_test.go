package flow_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

var allCodes = []flow.Code{
	flow.OK, flow.Busy, flow.Aborted, flow.Behind, flow.ReadOnly, flow.Misdirected, flow.TooMany, flow.Failed, flow.NoStatement,
	flow.Timeout, flow.Denied, flow.NoDatabase, flow.TooLarge, flow.Invalid, flow.InDoubt, flow.Overloaded, flow.Unknown, flow.Leaving,
}

// TestNoEffectGuaranteesHold checks every combination of stage, effect and code: a no-effect
// guarantee or a retry is given only if the statement cannot have taken effect.
func TestNoEffectGuaranteesHold(t *testing.T) {
	Convey("For each stage, effect and code", t, func() {
		for _, stage := range []flow.Stage{flow.Unsent, flow.Sent, flow.Answered} {
			for _, effect := range []flow.Effect{flow.Reads, flow.Writes, flow.Pending} {
				for _, code := range allCodes {
					v := flow.VerdictFor(stage, effect, code)
					mayHaveEffect := effect == flow.Writes && (stage == flow.Sent || stage == flow.Answered && !code.NotRun() && !code.GuaranteesNoEffect())
					if mayHaveEffect {
						So(v.Retry, ShouldBeFalse)
						So(v.Code.GuaranteesNoEffect(), ShouldBeFalse)
					}
					if effect == flow.Pending && stage == flow.Sent {
						So(v.Retry, ShouldBeFalse)
					}
				}
			}
		}
	})
	Convey("An unanswered write is in doubt; an unanswered statement of a transaction is rolled back with it", t, func() {
		So(flow.VerdictFor(flow.Sent, flow.Writes, flow.OK), ShouldResemble, flow.Verdict{Code: flow.InDoubt})
		So(flow.VerdictFor(flow.Sent, flow.Pending, flow.OK), ShouldResemble, flow.Verdict{Code: flow.Aborted})
		So(flow.VerdictFor(flow.Answered, flow.Writes, flow.Failed), ShouldResemble, flow.Verdict{Code: flow.Failed})
		So(flow.VerdictFor(flow.Answered, flow.Writes, flow.ReadOnly), ShouldResemble, flow.Verdict{Retry: true, Code: flow.ReadOnly})
	})
	Convey("A statement whose answer may belong to another one is in doubt, also in a transaction that may not be open; reads are retried", t, func() {
		So(flow.VerdictFor(flow.Answered, flow.Writes, flow.InDoubt), ShouldResemble, flow.Verdict{Code: flow.InDoubt})
		So(flow.VerdictFor(flow.Answered, flow.Pending, flow.InDoubt), ShouldResemble, flow.Verdict{Code: flow.InDoubt})
		So(flow.VerdictFor(flow.Answered, flow.Reads, flow.InDoubt), ShouldResemble, flow.Verdict{Retry: true, Code: flow.Aborted})
	})
}

func TestValues(t *testing.T) {
	Convey("Values are immutable, and equal regardless of order", t, func() {
		a := flow.Values{}.With("x", "1").With("y", "2")
		b := flow.Values{}.With("y", "2").With("x", "0").With("x", "1")
		So(a.Equal(b), ShouldBeTrue)
		So(a.With("x", "3").Equal(a), ShouldBeFalse)
		So(a.Equal(b), ShouldBeTrue)
		So(flow.Values{}.Equal(a), ShouldBeFalse)
		So(flow.Values{}.Empty(), ShouldBeTrue)
	})
}
