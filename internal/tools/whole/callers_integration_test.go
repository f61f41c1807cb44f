package whole_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/smartystreets/goconvey/convey"
)

func TestCallersAreServedEndToEnd(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 3, EntryHosts: 2, ReplicationLag: 50 * time.Millisecond})
	conn1, err := c.connect("entry-1", "counter")
	if err != nil {
		t.Fatal(err)
	}
	conn2, err := c.connect("entry-2", "counter")
	if err != nil {
		t.Fatal(err)
	}
	mustQuery(t, conn1, "CREATE TABLE stock (id INTEGER PRIMARY KEY, n INTEGER)")

	Convey("A caller's write through one host is visible to its reads through another", t, func() {
		for i := range 20 {
			mustQuery(t, conn1, fmt.Sprintf("INSERT INTO stock VALUES (%d, %d)", i, i))
			So(mustQuery(t, conn2, fmt.Sprintf("SELECT n FROM stock WHERE id = %d", i)), ShouldResemble, []string{fmt.Sprint(i)})
		}
	})
	Convey("A session token from one host is accepted by another", t, func() {
		token := mustQuery(t, conn1, "SHOW agatespindle.session")[0]
		So(token, ShouldStartWith, groupName+"@1/")
		mustQuery(t, conn2, "SET agatespindle.session = '"+token+"'")
		So(mustQuery(t, conn2, "SHOW agatespindle.session"), ShouldResemble, []string{token})
		So(conn1.ParameterStatus("agatespindle.session"), ShouldEqual, token)
	})
	Convey("A transaction is isolated until its end, and ROLLBACK discards all of it", t, func() {
		mustQuery(t, conn1, "BEGIN")
		mustQuery(t, conn1, "INSERT INTO stock VALUES (100, 1)")
		So(mustQuery(t, conn2, "SELECT COUNT(*) FROM stock WHERE id = 100"), ShouldResemble, []string{"0"})
		mustQuery(t, conn1, "ROLLBACK")
		So(mustQuery(t, conn2, "SELECT COUNT(*) FROM stock WHERE id = 100"), ShouldResemble, []string{"0"})
	})
	Convey("The extended query protocol supports parameters and prepared statements", t, func() {
		conn, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://counter@%s/%s?sslmode=disable", c.configs["entry-2"].CallerAddr, groupName))
		So(err, ShouldBeNil)
		defer conn.Close(context.Background())
		for i := 200; i < 210; i++ {
			_, err = conn.Exec(context.Background(), "INSERT INTO stock VALUES ($1, $2)", fmt.Sprint(i), fmt.Sprint(i))
			So(err, ShouldBeNil)
			var n int64
			So(conn.QueryRow(context.Background(), "SELECT n FROM stock WHERE id = $1", fmt.Sprint(i)).Scan(&n), ShouldBeNil)
			So(n, ShouldEqual, i)
		}
	})
	Convey("COPY is refused with a verdict, and the connection remains usable", t, func() {
		_, err := query(conn1, "COPY stock FROM STDIN")
		So(sqlState(err), ShouldEqual, "0A000")
		So(verdict(err), ShouldEqual, "NotRun")
		So(mustQuery(t, conn1, "SELECT 1"), ShouldResemble, []string{"1"})
	})
	Convey("A refused statement in a transaction aborts the transaction, and COMMIT rolls it back", t, func() {
		mustQuery(t, conn1, "BEGIN")
		mustQuery(t, conn1, "INSERT INTO stock VALUES (300, 1)")
		_, err := query(conn1, "COPY stock FROM STDIN")
		So(err, ShouldNotBeNil)
		_, err = query(conn1, "INSERT INTO stock VALUES (301, 1)")
		So(verdict(err), ShouldEqual, "NotRun")
		mustQuery(t, conn1, "COMMIT")
		So(mustQuery(t, conn1, "SELECT COUNT(*) FROM stock WHERE id >= 300"), ShouldResemble, []string{"0"})
	})
	Convey("A write with a request key runs once, and reuse of the key for another write is refused", t, func() {
		for range 3 {
			for _, conn := range []*pgconn.PgConn{conn1, conn2} {
				mustQuery(t, conn, "SET agatespindle.key = 'order-1'")
				mustQuery(t, conn, "UPDATE stock SET n = n + 1000 WHERE id = 1")
			}
		}
		So(mustQuery(t, conn1, "SELECT n FROM stock WHERE id = 1"), ShouldResemble, []string{"1001"})
		mustQuery(t, conn1, "SET agatespindle.key = 'order-1'")
		_, err := query(conn1, "UPDATE stock SET n = 0 WHERE id = 1")
		So(sqlState(err), ShouldEqual, "23505")
		So(verdict(err), ShouldEqual, "NotRun")
	})
	Convey("An unknown database is refused", t, func() {
		_, err := pgconn.Connect(context.Background(), fmt.Sprintf("postgres://x@%s/nothing?sslmode=disable", c.configs["entry-1"].CallerAddr))
		So(sqlState(err), ShouldEqual, "3D000")
	})
	Convey("A large result set arrives complete", t, func() {
		mustQuery(t, conn1, "SET agatespindle.timeout = '60s'")
		mustQuery(t, conn1, "CREATE TABLE big (v TEXT)")
		mustQuery(t, conn1, "INSERT INTO big WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 20000) SELECT 'row ' || x FROM c")
		So(len(mustQuery(t, conn2, "SELECT v FROM big")), ShouldEqual, 20000)
	})
}

// sqlState returns the SQLSTATE code of a server error, or the text of any other error.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// verdict returns the verdict in a server error's detail ("" if it has none), or the text of any
// other error.
func verdict(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return fmt.Sprint(err)
	}
	_, rest, _ := strings.Cut(e.Detail, "verdict=")
	word, _, _ := strings.Cut(rest, " ")
	return word
}
