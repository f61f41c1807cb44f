package holder_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// TestParameterIsNotInsertedIntoARow guards against an answer that is torn where its data look like its end.
func TestParameterIsNotInsertedIntoARow(t *testing.T) {
	Convey("Given an answer up to a Flush whose sixth byte from the end is a Z of a row", t, func() {
		d := startDeployment(t)
		So(d.open().exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		d.onAnswer(func(w net.Conn, _ string, answer []byte) {
			if answer[0] == 'C' {
				answer = messages(&pgproto3.PortalSuspended{})
			}
			_, _ = w.Write(answer)
		})
		Convey("Its caller gets the row, and then the position of its session", func() {
			s := d.open()
			batch := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 'xZ'"}, &pgproto3.Bind{}, &pgproto3.Execute{MaxRows: 1}, &pgproto3.Flush{}}
			So(s.run(batch...), ShouldResemble, answer{rows: []string{"xZ"}})
			m, err := s.f.Receive()
			So(err, ShouldBeNil)
			p, ok := m.(*pgproto3.ParameterStatus)
			So(ok, ShouldBeTrue)
			So(p.Name, ShouldEqual, "agatespindle.session")
		})
	})
}

// TestTextBeyondAZeroByteIsRefused guards against a statement that is judged by another text than the backend
// server reads.
func TestTextBeyondAZeroByteIsRefused(t *testing.T) {
	Convey("Given a query whose text holds a zero byte, or does not end with one", t, func() {
		d := startDeployment(t)
		So(d.open().exec("SELECT 1").status, ShouldEqual, "I")
		for name, body := range map[string]string{"inside": "SELECT 1\x00; COMMIT\x00", "twice at its end": "SELECT 1\x00\x00", "missing": "SELECT 1", "missing, and nothing else": ""} {
			Convey("It is refused, and no connection is lost, with the byte "+name, func() {
				s := d.open()
				opened := d.host.Meter.CounterValue("connections.opened")
				_, err := s.conn.Write(adapt.AppendMessage(nil, 'Q', []byte(body)))
				So(err, ShouldBeNil)
				So(s.receive(-1), ShouldResemble, answer{verdict: "NotRun", sqlState: "08P01", status: "I"})
				So(s.exec("SELECT 'x'").rows, ShouldResemble, []string{"x"})
				So(d.host.Meter.CounterValue("connections.opened"), ShouldEqual, opened)
			})
		}
	})
}

// slowDeadline is a connection whose deadline takes effect late when it is set to the past.
type slowDeadline struct{ net.Conn }

func (s slowDeadline) SetDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now().Add(-time.Hour)) {
		time.Sleep(2 * settleTime)
	}
	return s.Conn.SetDeadline(at)
}

// TestCancelledRequestDoesNotEndTheNextCallers guards against the end of one caller's request that breaks the
// statement of another one on the same connection.
func TestCancelledRequestDoesNotEndTheNextCallers(t *testing.T) {
	Convey("Given a caller that leaves just before its answer arrives", t, func() {
		d := startDeployment(t)
		d.mu.Lock()
		d.wrap = func(c net.Conn) net.Conn { return slowDeadline{c} }
		d.mu.Unlock()
		d.onAnswer(loseAnswer("again"))
		So(d.open().exec("SELECT 'again'").verdict, ShouldNotEqual, "")
		So(d.open().exec("CREATE TABLE t (d TEXT)").verdict, ShouldEqual, "")
		d.onAnswer(func(w net.Conn, request string, answer []byte) {
			if strings.Contains(request, "wait") {
				time.Sleep(settleTime)
			}
			if strings.Contains(request, "second") {
				time.Sleep(4 * settleTime)
			}
			_, _ = w.Write(answer)
		})
		leaving := d.open()
		leaving.f.Send(&pgproto3.Query{String: "INSERT INTO t VALUES ('wait')"})
		So(leaving.f.Flush(), ShouldBeNil)
		time.Sleep(settleTime / 2)
		So(leaving.conn.Close(), ShouldBeNil)
		Convey("The next caller on the connection gets its own answer", func() {
			a := d.open().exec("SELECT 'second'")
			So(a.verdict, ShouldEqual, "")
			So(a.rows, ShouldResemble, []string{"second"})
		})
	})
}

// TestWriteWithAKeyUpToAFlushIsRefused guards against an answer too many, which shifts all that follow, and against a
// key that counts as used though its write never ran.
func TestWriteWithAKeyUpToAFlushIsRefused(t *testing.T) {
	Convey("Given a write with a key that is sent up to a Flush", t, func() {
		d := startDeployment(t)
		s := d.open()
		So(s.exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		setKey := func() { So(s.exec("SET agatespindle.key = 'k'").verdict, ShouldEqual, "") }
		insert := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "INSERT INTO t VALUES (1)"}, &pgproto3.Bind{}, &pgproto3.Execute{}}
		for name, split := range map[string]int{"after Execute": 3, "before Execute": 2} {
			Convey("It is not run with the Flush "+name+", each time, and the key is free", func() {
				for range 2 {
					setKey()
					flushed := append(append([]pgproto3.FrontendMessage(nil), insert[:split]...), &pgproto3.Flush{})
					So(s.run(flushed...), ShouldResemble, answer{verdict: "NotRun", sqlState: "22023"})
					So(s.run(append(insert[split:len(insert):len(insert)], &pgproto3.Sync{})...), ShouldResemble, answer{status: "I"})
					So(s.exec("SELECT COUNT(*) FROM t").rows, ShouldResemble, []string{"0"})
				}
				for range 2 {
					setKey()
					So(s.run(append(insert[:len(insert):len(insert)], &pgproto3.Sync{})...).tags, ShouldResemble, []string{"INSERT 0 1"})
				}
				So(s.exec("SELECT COUNT(*) FROM t").rows, ShouldResemble, []string{"1"})
			})
		}
		Convey("It is not run with the Flush after Parse", func() {
			So(s.exec("SET agatespindle.key = 'first'").verdict, ShouldEqual, "")
			So(s.exec("INSERT INTO t VALUES (0)").verdict, ShouldEqual, "")
			So(s.run(insert[0], &pgproto3.Flush{}).verdict, ShouldEqual, "")
			setKey()
			a := s.run(insert[1], insert[2], &pgproto3.Sync{})
			So([]string{a.verdict, a.sqlState}, ShouldResemble, []string{"NotRun", "22023"})
			So(s.exec("ROLLBACK").status, ShouldEqual, "I")
			setKey()
			So(s.exec("INSERT INTO t VALUES (2)").tags, ShouldResemble, []string{"INSERT 0 1"})
			So(s.exec("SELECT i FROM t").rows, ShouldResemble, []string{"0", "2"})
		})
		Convey("It runs inside a transaction", func() {
			So(s.exec("SET agatespindle.key = 'first'").verdict, ShouldEqual, "")
			So(s.exec("INSERT INTO t VALUES (0)").verdict, ShouldEqual, "")
			setKey()
			So(s.exec("BEGIN").status, ShouldEqual, "T")
			So(s.run(append(insert[:len(insert):len(insert)], &pgproto3.Flush{})...).tags, ShouldResemble, []string{"INSERT 0 1"})
			So(s.run(&pgproto3.Sync{}).status, ShouldEqual, "T")
			So(s.exec("COMMIT").tags, ShouldResemble, []string{"COMMIT"})
			So(s.exec("SELECT COUNT(*) FROM t").rows, ShouldResemble, []string{"2"})
		})
	})
}

// TestLargeAnswerOfAWriteWithAKeyIsWhole guards against rows that are missing from an answer.
func TestLargeAnswerOfAWriteWithAKeyIsWhole(t *testing.T) {
	Convey("Given a write with a key that returns more than the proxy buffers of an answer", t, func() {
		d := startDeployment(t)
		s := d.open()
		So(s.exec("CREATE TABLE t (d TEXT)").verdict, ShouldEqual, "")
		So(s.exec("SET agatespindle.key = 'k'").verdict, ShouldEqual, "")
		Convey("Its caller gets all rows", func() {
			a := s.exec("INSERT INTO t VALUES (printf('%.70000c', 'x')), (printf('%.70000c', 'y')) RETURNING substr(d, 1, 1), d")
			So(a.rows, ShouldHaveLength, 4)
			So(a.tags, ShouldResemble, []string{"INSERT 0 2"})
		})
	})
}

// TestMessagesAfterAnErrorAreSkippedUpToSync guards against an answer to a message that the protocol skips, which
// shifts all that follow.
func TestMessagesAfterAnErrorAreSkippedUpToSync(t *testing.T) {
	Convey("Given a batch up to a Flush that fails, and a query before its Sync", t, func() {
		d := startDeployment(t)
		s := d.open()
		So(s.exec("SET agatespindle.timeout = '3s'").verdict, ShouldEqual, "")
		for name, batch := range map[string][]pgproto3.FrontendMessage{
			"the proxy":          {&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Flush{}},
			"the backend server": {&pgproto3.Parse{Query: "SELECT x FROM none"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{}},
		} {
			Convey("The query is not answered, the Sync is, after an error of "+name, func() {
				So(s.run(batch...).sqlState, ShouldNotEqual, "")
				skipped := s.run(&pgproto3.Query{String: "SELECT 'skipped'"}, &pgproto3.Sync{})
				So(skipped.rows, ShouldBeEmpty)
				So(skipped.verdict, ShouldEqual, "")
				So(s.exec("SELECT 'own'").rows, ShouldResemble, []string{"own"})
			})
		}
	})
}

// TestKeyOfAnotherCallerIsNotReplayed guards against a caller that is told the outcome of another one's write in
// place of its own.
func TestKeyOfAnotherCallerIsNotReplayed(t *testing.T) {
	Convey("Given a caller that has used a key", t, func() {
		d := startDeployment(t)
		run := func(s *session, sql string) answer {
			So(s.exec("SET agatespindle.key = '1'").verdict, ShouldEqual, "")
			return s.exec(sql)
		}
		const write = "INSERT INTO t VALUES (1)"
		one, other := d.openAs("one"), d.openAs("other")
		So(one.exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		So(run(one, write).tags, ShouldResemble, []string{"INSERT 0 1"})
		Convey("The same write of another one with that key is refused as not run", func() {
			So(run(other, write), ShouldResemble, answer{verdict: "NotRun", sqlState: "23505", status: "I"})
			So(run(one, write).tags, ShouldResemble, []string{"INSERT 0 1"})
			So(one.exec("SELECT COUNT(*) FROM t").rows, ShouldResemble, []string{"1"})
		})
		Convey("A transaction of another one with that key is refused as not run, and its own as run", func() {
			for s, want := range map[*session]string{other: "NotRun", one: "Ran"} {
				So(s.exec("BEGIN").status, ShouldEqual, "T")
				So(run(s, write), ShouldResemble, answer{verdict: want, sqlState: "23505", status: "E"})
				So(s.exec("ROLLBACK").status, ShouldEqual, "I")
			}
		})
	})
}
