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

func TestPathServesCallers(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 3, Entry: 2, Lag: 50 * time.Millisecond})
	one, err := c.connect("entry-1", "counter")
	if err != nil {
		t.Fatal(err)
	}
	two, err := c.connect("entry-2", "counter")
	if err != nil {
		t.Fatal(err)
	}
	must(t, one, "CREATE TABLE stock (id INTEGER PRIMARY KEY, n INTEGER)")

	Convey("A session reads its own write on another host", t, func() {
		for i := range 20 {
			must(t, one, fmt.Sprintf("INSERT INTO stock VALUES (%d, %d)", i, i))
			So(must(t, two, fmt.Sprintf("SELECT n FROM stock WHERE id = %d", i)), ShouldResemble, []string{fmt.Sprint(i)})
		}
	})
	Convey("A token from one host is taken at another", t, func() {
		token := must(t, one, "SHOW agatespindle.session")[0]
		So(token, ShouldStartWith, groupName+"@1/")
		must(t, two, "SET agatespindle.session = '"+token+"'")
		So(must(t, two, "SHOW agatespindle.session"), ShouldResemble, []string{token})
		So(one.ParameterStatus("agatespindle.session"), ShouldEqual, token)
	})
	Convey("A transaction stays on one connection and ends whole", t, func() {
		must(t, one, "BEGIN")
		must(t, one, "INSERT INTO stock VALUES (100, 1)")
		So(must(t, two, "SELECT COUNT(*) FROM stock WHERE id = 100"), ShouldResemble, []string{"0"})
		must(t, one, "ROLLBACK")
		So(must(t, two, "SELECT COUNT(*) FROM stock WHERE id = 100"), ShouldResemble, []string{"0"})
	})
	Convey("The extended protocol carries parameters and prepared statements", t, func() {
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
	Convey("COPY is refused with a verdict, and the connection goes on", t, func() {
		_, err := query(one, "COPY stock FROM STDIN")
		So(code(err), ShouldEqual, "0A000")
		So(verdict(err), ShouldEqual, "NotRun")
		So(must(t, one, "SELECT 1"), ShouldResemble, []string{"1"})
	})
	Convey("A refusal inside a transaction rolls it back until its end", t, func() {
		must(t, one, "BEGIN")
		must(t, one, "INSERT INTO stock VALUES (300, 1)")
		_, err := query(one, "COPY stock FROM STDIN")
		So(err, ShouldNotBeNil)
		_, err = query(one, "INSERT INTO stock VALUES (301, 1)")
		So(verdict(err), ShouldEqual, "NotRun")
		must(t, one, "COMMIT")
		So(must(t, one, "SELECT COUNT(*) FROM stock WHERE id >= 300"), ShouldResemble, []string{"0"})
	})
	Convey("A request key lets a write run once", t, func() {
		for range 3 {
			for _, conn := range []*pgconn.PgConn{one, two} {
				must(t, conn, "SET agatespindle.key = 'order-1'")
				must(t, conn, "UPDATE stock SET n = n + 1000 WHERE id = 1")
			}
		}
		So(must(t, one, "SELECT n FROM stock WHERE id = 1"), ShouldResemble, []string{"1001"})
		must(t, one, "SET agatespindle.key = 'order-1'")
		_, err := query(one, "UPDATE stock SET n = 0 WHERE id = 1")
		So(code(err), ShouldEqual, "23505")
		So(verdict(err), ShouldEqual, "NotRun")
	})
	Convey("An unknown database is refused", t, func() {
		_, err := pgconn.Connect(context.Background(), fmt.Sprintf("postgres://x@%s/nothing?sslmode=disable", c.configs["entry-1"].CallerAddr))
		So(code(err), ShouldEqual, "3D000")
	})
	Convey("A large answer comes whole", t, func() {
		must(t, one, "SET agatespindle.timeout = '60s'")
		must(t, one, "CREATE TABLE big (v TEXT)")
		must(t, one, "INSERT INTO big WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 20000) SELECT 'row ' || x FROM c")
		So(len(must(t, two, "SELECT v FROM big")), ShouldEqual, 20000)
	})
}

func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// verdict returns the verdict in an error's detail.
func verdict(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return fmt.Sprint(err)
	}
	_, rest, _ := strings.Cut(e.Detail, "verdict=")
	word, _, _ := strings.Cut(rest, " ")
	return word
}
