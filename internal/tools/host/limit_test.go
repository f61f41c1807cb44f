package host_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRequestsAreAnsweredAtTheLimitOfADrain guards against requests that are cut at the limit of a drain.
func TestRequestsAreAnsweredAtTheLimitOfADrain(t *testing.T) {
	const limit = 3 * time.Second
	Convey("Given a drain that starts while long requests run", t, func() {
		d := startDeployment(t, 2, limit)
		holder, other := d.holder()
		So(d.tryStatement(holder, "CREATE TABLE rows (id INTEGER)"), ShouldBeNil)
		for _, name := range []string{holder, other} {
			Convey("They are answered as possibly run at its limit, on "+map[bool]string{true: "the holder", false: "another host"}[name == holder], func() {
				verdicts := make(chan string, 2)
				for _, sql := range []string{"INSERT INTO rows VALUES (1) /* wait 10s */", "SELECT 1 /* wait 10s */"} {
					conn, err := d.connect(name)
					So(err, ShouldBeNil)
					defer conn.Close(context.Background())
					So(exec(conn, "SET agatespindle.timeout = '1m'"), ShouldBeNil)
					go func() { verdicts <- verdict(exec(conn, sql)) }()
				}
				time.Sleep(200 * time.Millisecond)
				took := d.shutDown(name)
				for range cap(verdicts) {
					So(<-verdicts, ShouldEqual, "MayHaveRun")
				}
				So(<-took, ShouldBeLessThan, limit+time.Second)
			})
		}
	})
}

// TestRequestsThatOutlastADrainAreRefused guards against requests that a drain starts and then cuts at its
// limit.
func TestRequestsThatOutlastADrainAreRefused(t *testing.T) {
	Convey("Given a session with a request sent ahead whose time limit is later than the limit of the drain", t, func() {
		d := startDeployment(t, 1, 3*time.Second)
		open, f := d.dialRaw("entry-1")
		defer open.Close()
		send(f, "SELECT 'x' /* wait 500ms */")
		time.Sleep(100 * time.Millisecond)
		took := d.shutDown("entry-1")
		send(f, "SELECT 'x' /* wait 10s */")
		Convey("It is refused once the request before it is answered", func() {
			So(readAnswer(f), ShouldResemble, answer{bytes: 1})
			answered := time.Now()
			So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
			So(time.Since(answered), ShouldBeLessThan, time.Second)
			<-took
		})
	})
	Convey("One of an open transaction is started while that may continue, and answered at the limit", t, func() {
		d := startDeployment(t, 1, 3*time.Second)
		open, f := d.dialRaw("entry-1")
		defer open.Close()
		send(f, "BEGIN")
		So(readAnswer(f), ShouldResemble, answer{})
		took := d.shutDown("entry-1")
		time.Sleep(100 * time.Millisecond)
		send(f, "SELECT 'x' /* wait 10s */")
		So(readAnswer(f), ShouldResemble, answer{verdict: "MayHaveRun", fatal: true})
		<-took
	})
}

// TestOpenTransactionsAreAnsweredInADrain guards against transactions that end without a word.
func TestOpenTransactionsAreAnsweredInADrain(t *testing.T) {
	Convey("Given a transaction that is open when a drain starts", t, func() {
		d := startDeployment(t, 2, 4*time.Second)
		holder, other := d.holder()
		So(d.tryStatement(holder, "CREATE TABLE rows (id INTEGER)"), ShouldBeNil)
		conn, f := d.dialRaw(holder)
		defer conn.Close()
		run := func(sql string) answer {
			send(f, sql)
			return readAnswer(f)
		}
		So(run("SET agatespindle.timeout = '500ms'"), ShouldResemble, answer{})
		So(run("BEGIN"), ShouldResemble, answer{})
		So(run("INSERT INTO rows VALUES (1)"), ShouldResemble, answer{})
		took := d.shutDown(holder)
		Convey("It can be committed, and the session ends after that", func() {
			time.Sleep(300 * time.Millisecond)
			So(run("COMMIT"), ShouldResemble, answer{})
			So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
			<-took
			So(d.count(other), ShouldEqual, "1")
		})
		Convey("If it stays idle, it is rolled back and its caller is told", func() {
			So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
			So(<-took, ShouldBeLessThan, 5*time.Second)
			So(d.count(other), ShouldEqual, "0")
		})
	})
}

// count returns the number of rows in the table rows.
func (d *deployment) count(name string) string {
	d.t.Helper()
	conn, err := d.connect(name)
	if err != nil {
		d.t.Fatal(err)
	}
	defer conn.Close(context.Background())
	r, err := conn.Exec(context.Background(), "SELECT COUNT(*) FROM rows").ReadAll()
	if err != nil {
		d.t.Fatal(err)
	}
	return string(r[0].Rows[0][0])
}
