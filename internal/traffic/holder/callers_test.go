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
