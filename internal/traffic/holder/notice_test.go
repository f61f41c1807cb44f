package holder_test

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

// TestNoticeBetweenStatementsEndsNoTransaction guards against a transaction that is rolled back for a message which
// PostgreSQL may send at any time and which answers no statement: a notice or a changed parameter.
func TestNoticeBetweenStatementsEndsNoTransaction(t *testing.T) {
	Convey("Given an open transaction whose backend server sends a message that belongs to no answer", t, func() {
		d := startDeployment(t)
		So(d.open().exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		for name, m := range map[string]pgproto3.BackendMessage{
			"notice":    &pgproto3.NoticeResponse{Severity: "WARNING", Message: "n"},
			"parameter": &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		} {
			Convey("The next statement is served in the transaction, with a "+name, func() {
				s := d.open()
				So(s.exec("BEGIN").status, ShouldEqual, "T")
				d.onAnswer(func(w net.Conn, _ string, answer []byte) {
					_, _ = w.Write(append(append([]byte(nil), answer...), messages(m)...))
				})
				So(s.exec("INSERT INTO t VALUES (1)").tags, ShouldResemble, []string{"INSERT 0 1"})
				d.onAnswer(nil)
				time.Sleep(settleTime)
				a := s.exec("INSERT INTO t VALUES (2)")
				So(a.verdict, ShouldEqual, "")
				So(a.tags, ShouldResemble, []string{"INSERT 0 1"})
				So(a.status, ShouldEqual, "T")
				So(s.exec("COMMIT").status, ShouldEqual, "I")
			})
		}
	})
}
