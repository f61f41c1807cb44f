package pool_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// TestTransactionIsNotOpenedByAnAnswerBelowItsPosition guards against a read that runs outside of its transaction, on
// a log that lacks its position: the replica refused to open the transaction, and an earlier opening's answer, whose
// position shows that it is not the one to this request, came in place of the refusal.
func TestTransactionIsNotOpenedByAnAnswerBelowItsPosition(t *testing.T) {
	Convey("Given a replica that lags and gives the answer to an earlier opening again", t, func() {
		s, p := startStutterer(t)
		open := flow.Request{Op: flow.BeginReadOnlyTx}
		h := take(p)
		So(run(h, flow.Values{}, open, flow.Reads, false).ok(), ShouldBeTrue)
		So(run(h, flow.Values{}, read("a"), flow.Reads, false).ok(), ShouldBeTrue)
		So(run(h, flow.Values{}, commit("ca"), flow.Writes, true).ok(), ShouldBeTrue)
		h.Release()
		s.set(refuse("BEGIN", "LAGGING"), again("AFTER", 1, 1), nil)
		s.setHold(func(string) bool { return true })
		open.MinPosition = token.Position{Term: 1, Position: s.moveOn(0).Position + 5}
		h = take(p)
		opened := run(h, flow.Values{}, open, flow.Reads, false)
		if opened.ok() {
			_ = run(h, flow.Values{}, read("b"), flow.Reads, false)
		}
		time.Sleep(arrival)
		h.Close()
		Convey("No statement of the transaction is sent", func() {
			So(s.executed("b"), ShouldBeFalse)
		})
	})
}

// TestWriteThatRanOutsideOfItsTransactionIsNoSuccess guards against a success for a write of a transaction that is not
// open: the answer says that the connection is idle, which only the answer to a commit or rollback may say.
func TestWriteThatRanOutsideOfItsTransactionIsNoSuccess(t *testing.T) {
	Convey("Given a transaction that was refused, and whose refusal was lost after an earlier opening's answer", t, func() {
		s, p := startStutterer(t)
		h := take(p)
		So(run(h, flow.Values{}, begin, flow.Reads, false).ok(), ShouldBeTrue)
		So(run(h, flow.Values{}, write("a"), flow.Pending, false).ok(), ShouldBeTrue)
		So(run(h, flow.Values{}, commit("ca"), flow.Writes, true).ok(), ShouldBeTrue)
		h.Release()
		s.set(refuse("BEGIN", "BUSY"), again("BEGIN", 1, 1), nil)
		s.setMute(true)
		h = take(p)
		opened := run(h, flow.Values{}, begin, flow.Reads, false)
		s.setMute(false)
		b := run(h, flow.Values{}, write("b"), flow.Pending, false)
		h.Close()
		So(opened.ok(), ShouldBeTrue)
		So(s.isKept("b"), ShouldBeTrue)
		Convey("The write, which has taken effect at once, is no success", func() {
			So(b.State, ShouldEqual, flow.Idle)
			So(b.ok(), ShouldBeFalse)
			So(b.promised(), ShouldBeFalse)
		})
	})
}
