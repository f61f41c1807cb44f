package holder_test

import (
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSecondAnswerIsNotTakenForAnotherCallers guards against a caller that gets the answer to a statement of
// another one.
func TestSecondAnswerIsNotTakenForAnotherCallers(t *testing.T) {
	Convey("Given a backend server that answers a statement twice", t, func() {
		d := startDeployment(t)
		for _, late := range []time.Duration{0, settleTime / 5} {
			Convey("The next caller gets its own answer if the second comes after "+late.String(), func() {
				d.onAnswer(answerTwice("first", late))
				So(d.open().exec("SELECT 'first'").rows, ShouldResemble, []string{"first"})
				time.Sleep(settleTime)
				So(d.open().exec("SELECT 'second'").rows, ShouldResemble, []string{"second"})
				So(d.host.Meter.CounterValue("answers.unasked"), ShouldEqual, 1)
			})
		}
	})
}

// TestSecondAnswerIsNotTakenForTheNextStatements guards against an answer to an earlier statement of a
// transaction that a later one is told.
func TestSecondAnswerIsNotTakenForTheNextStatements(t *testing.T) {
	Convey("Given a backend server that answers a statement of a transaction twice, the second time late", t, func() {
		d := startDeployment(t)
		d.onAnswer(answerTwice("first", settleTime/5))
		s := d.open()
		So(s.exec("BEGIN").status, ShouldEqual, "T")
		So(s.exec("SELECT 'first'").rows, ShouldResemble, []string{"first"})
		time.Sleep(settleTime)
		Convey("The next one is not run, and the connection is not used again", func() {
			So(s.exec("SELECT 'second'"), ShouldResemble, answer{verdict: "NotRun", sqlState: "08006", status: "E"})
			So(s.exec("ROLLBACK").status, ShouldEqual, "I")
			So(d.host.Meter.CounterValue("answers.unasked"), ShouldEqual, 1)
			So(s.exec("SELECT 'third'").rows, ShouldResemble, []string{"third"})
		})
	})
}

// answerTwice returns a meddler that answers requests with the given text twice.
func answerTwice(text string, late time.Duration) meddler {
	return func(w net.Conn, request string, answer []byte) {
		_, _ = w.Write(answer)
		if strings.Contains(request, text) {
			if late == 0 {
				_, _ = w.Write(answer)
				return
			}
			time.AfterFunc(late, func() { _, _ = w.Write(answer) })
		}
	}
}
