package holder_test

import (
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

// loseAnswer returns a meddler that closes the connection in place of the answer to a request with the text.
func loseAnswer(text string) meddler {
	return func(w net.Conn, request string, answer []byte) {
		if strings.Contains(request, text) {
			w.Close()
			return
		}
		_, _ = w.Write(answer)
	}
}

// count returns the number of rows of the table of a test.
func (d *deployment) count() string { return d.open().exec("SELECT COUNT(*) FROM t").rows[0] }

// TestLostCommitWithCommentIsInDoubt guards against a promise that a commit whose answer was lost did not run.
func TestLostCommitWithCommentIsInDoubt(t *testing.T) {
	Convey("Given a commit whose text holds a comment with the word TO, and whose answer is lost", t, func() {
		d := startDeployment(t)
		s := d.open()
		So(s.exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		So(s.exec("BEGIN").status, ShouldEqual, "T")
		So(s.exec("INSERT INTO t VALUES (1)").status, ShouldEqual, "T")
		d.onAnswer(loseAnswer("COMMIT"))
		Convey("Its caller is told that it may have run", func() {
			So(s.exec("COMMIT /* TO t */").verdict, ShouldEqual, "MayHaveRun")
			So(d.count(), ShouldEqual, "1")
		})
	})
}

// TestLostSyncAfterFlushIsInDoubt guards against a promise that a statement did not run, though the Sync
// that commits it was sent.
func TestLostSyncAfterFlushIsInDoubt(t *testing.T) {
	Convey("Given a write that is executed up to a Flush, and a Sync whose answer is lost", t, func() {
		d := startDeployment(t)
		s := d.open()
		So(s.exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		parse, bind := &pgproto3.Parse{Query: "INSERT INTO t VALUES (1)"}, &pgproto3.Bind{}
		Convey("Its caller is told that it may have run if Execute came before the Flush", func() {
			So(s.run(parse, bind, &pgproto3.Execute{}, &pgproto3.Flush{}).tags, ShouldResemble, []string{"INSERT 0 1"})
			d.onAnswer(loseAnswer("S\x00\x00\x00\x04"))
			So(s.run(&pgproto3.Sync{}).verdict, ShouldEqual, "MayHaveRun")
		})
		Convey("Its caller is told that it may have run if Execute came with the Sync", func() {
			So(s.run(parse, bind, &pgproto3.Flush{}).verdict, ShouldEqual, "")
			d.onAnswer(loseAnswer("S\x00\x00\x00\x04"))
			So(s.run(&pgproto3.Execute{}, &pgproto3.Sync{}).verdict, ShouldEqual, "MayHaveRun")
			So(d.count(), ShouldEqual, "1")
		})
	})
}

// TestLostCommitOfAnEarlierPortalIsInDoubt guards against a promise that a commit did not run, where its text
// was bound in an earlier batch.
func TestLostCommitOfAnEarlierPortalIsInDoubt(t *testing.T) {
	Convey("Given a COMMIT that is bound in one batch and executed in the next, whose answer is lost", t, func() {
		d := startDeployment(t)
		s := d.open()
		So(s.exec("CREATE TABLE t (i INTEGER)").verdict, ShouldEqual, "")
		So(s.exec("BEGIN").status, ShouldEqual, "T")
		So(s.exec("INSERT INTO t VALUES (1)").status, ShouldEqual, "T")
		So(s.run(&pgproto3.Parse{Query: "COMMIT"}, &pgproto3.Bind{DestinationPortal: "end"}, &pgproto3.Sync{}).status, ShouldEqual, "T")
		d.onAnswer(loseAnswer("end\x00"))
		Convey("Its caller is told that it may have run", func() {
			So(s.run(&pgproto3.Execute{Portal: "end"}, &pgproto3.Sync{}).verdict, ShouldEqual, "MayHaveRun")
			So(d.count(), ShouldEqual, "1")
		})
	})
}
