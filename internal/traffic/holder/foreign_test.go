package holder_test

import (
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// replace returns a meddler that sends other answers to requests with the text.
func replace(text string, other func(answer []byte) []byte) meddler {
	return func(w net.Conn, request string, answer []byte) {
		if strings.Contains(request, text) {
			answer = other(answer)
		}
		_, _ = w.Write(answer)
	}
}

// messages returns encoded messages of a backend server.
func messages(list ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, m := range list {
		b, _ = m.Encode(b)
	}
	return b
}

func completed(tag, status string) []byte {
	return messages(&pgproto3.CommandComplete{CommandTag: []byte(tag)}, &pgproto3.ReadyForQuery{TxStatus: status[0]})
}

// TestImpossibleAnswerIsNotTaken guards against an answer of another statement that arrives after a statement was
// sent: it is passed on though it can't belong to it.
func TestImpossibleAnswerIsNotTaken(t *testing.T) {
	Convey("Given a backend server whose answer can't be that of the statement", t, func() {
		d := startDeployment(t)
		So(d.open().exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		always := func(b []byte) func([]byte) []byte { return func([]byte) []byte { return b } }
		inDoubt := func(a answer) {
			So(a.verdict, ShouldEqual, "MayHaveRun")
			So(a.tags, ShouldBeEmpty)
			So(d.host.Meter.CounterValue("answers.impossible"), ShouldEqual, 1)
			d.onAnswer(nil)
			So(d.open().exec("SELECT 'own'").rows, ShouldResemble, []string{"own"})
		}
		Convey("A write outside of a transaction is in doubt if it opens one", func() {
			d.onAnswer(replace("INSERT", always(completed("BEGIN", "T"))))
			inDoubt(d.open().exec("INSERT INTO t VALUES (1)"))
		})
		Convey("A statement of a transaction is in doubt if it ends it", func() {
			s := d.open()
			So(s.exec("BEGIN").status, ShouldEqual, "T")
			d.onAnswer(replace("SELECT", always(completed("INSERT 0 1", "I"))))
			a := s.exec("SELECT 'x'")
			So(a.status, ShouldEqual, "E")
			So(a.tags, ShouldBeEmpty)
			So(d.host.Meter.CounterValue("answers.impossible"), ShouldEqual, 1)
		})
		Convey("A batch is in doubt if its answer is that of a simple query", func() {
			d.onAnswer(replace("INSERT", always(completed("INSERT 0 1", "I"))))
			inDoubt(d.open().run(&pgproto3.Parse{Query: "INSERT INTO t VALUES (1)"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}))
		})
		Convey("A simple query is in doubt if its answer is that of a batch", func() {
			d.onAnswer(replace("INSERT", func(answer []byte) []byte { return append(messages(&pgproto3.ParseComplete{}), answer...) }))
			inDoubt(d.open().exec("INSERT INTO t VALUES (1)"))
		})
		Convey("A query is in doubt if nothing is answered before it is ready", func() {
			d.onAnswer(replace("INSERT", always(messages(&pgproto3.ReadyForQuery{TxStatus: 'I'}))))
			inDoubt(d.open().exec("INSERT INTO t VALUES (1)"))
		})
		Convey("A write with a key is in doubt if the answer to its commit is another statement's", func() {
			s := d.open()
			So(s.exec("SET agatespindle.key = 'k'").verdict, ShouldEqual, "")
			d.onAnswer(replace("COMMIT", always(completed("UPDATE 1", "T"))))
			inDoubt(s.exec("INSERT INTO t VALUES (1)"))
		})
	})
}

// TestReadyWithoutStateEndsOnlyItsConnection guards against a host that a backend server's message ends.
func TestReadyWithoutStateEndsOnlyItsConnection(t *testing.T) {
	Convey("Given a backend server whose ReadyForQuery has no state or one that doesn't exist", t, func() {
		d := startDeployment(t)
		So(d.open().exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		for _, state := range []string{"", "X", "II"} {
			Convey("A write is in doubt, and the host goes on, with "+state, func() {
				d.onAnswer(replace("INSERT", func([]byte) []byte {
					return adapt.AppendMessage(messages(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}), 'Z', []byte(state))
				}))
				So(d.open().exec("INSERT INTO t VALUES (1)").verdict, ShouldEqual, "MayHaveRun")
				So(d.open().exec("SELECT 'own'").rows, ShouldResemble, []string{"own"})
			})
		}
	})
}

// TestUnaskedMessagesWithinAnAnswerPass guards against answers that are refused for messages that may come at
// any time.
func TestUnaskedMessagesWithinAnAnswerPass(t *testing.T) {
	Convey("Notices, notifications and parameters don't count as answers", t, func() {
		d := startDeployment(t)
		extra := messages(&pgproto3.NoticeResponse{Severity: "NOTICE", Message: "n"}, &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}, &pgproto3.NotificationResponse{Channel: "c"})
		d.onAnswer(func(w net.Conn, _ string, answer []byte) {
			_, _ = w.Write(append(append([]byte(nil), extra...), answer...))
		})
		s := d.open()
		So(s.exec("SELECT 'x'").rows, ShouldResemble, []string{"x"})
		batch := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 'y\r\nROW z\n'"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}}
		So(s.run(batch...).rows, ShouldResemble, []string{"y\r\nROW z\n"})
		So(d.host.Meter.CounterValue("answers.unasked"), ShouldEqual, 0)
	})
}

// TestTextsWithLineEndsPass guards against statements and rows that a line end splits.
func TestTextsWithLineEndsPass(t *testing.T) {
	Convey("CR and LF in texts, parameters and rows pass unchanged", t, func() {
		d := startDeployment(t)
		s := d.open()
		const data = "a\r\nQUERY - STAT\r\nDONE x\nREADY I 9.9\r"
		So(s.exec("CREATE TABLE t (i INTEGER, d TEXT)").verdict, ShouldEqual, "")
		So(s.exec("INSERT INTO t\r\nVALUES (1,\n'"+data+"')").tags, ShouldResemble, []string{"INSERT 0 1"})
		insert := &pgproto3.Parse{Name: "a\nb", Query: "INSERT INTO t VALUES (2,\r$1)"}
		So(s.run(insert, &pgproto3.Bind{PreparedStatement: "a\nb", Parameters: [][]byte{[]byte(data)}}, &pgproto3.Execute{}, &pgproto3.Sync{}).tags, ShouldResemble, []string{"INSERT 0 1"})
		So(s.exec("SELECT d FROM t\nORDER BY i").rows, ShouldResemble, []string{data, data})
		So(s.exec("SELECT 1").status, ShouldEqual, "I")
	})
}
