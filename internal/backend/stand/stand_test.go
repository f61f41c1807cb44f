package stand_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/backend/stand"
)

const waitTimeout = 10 * time.Second

// server is a running instance.
type server struct {
	addr  string
	admin adapt.Server
	stop  func()
}

// start runs an instance on a data directory until it is stopped or the test ends.
func start(t *testing.T, name, dir string) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	in, err := stand.New(stand.Config{Name: name, Group: "parts", Listener: ln, Dir: dir, Slots: 4, MaxConnections: 16})
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := in.Run(ctx)
	stopped := false
	s := &server{addr: ln.Addr().String(), admin: adapt.Postgres(ln.Addr().String(), "tester", "parts")}
	s.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
		}
	}
	t.Cleanup(s.stop)
	return s
}

// startPrimary starts an instance that is the primary of term 1.
func startPrimary(t *testing.T, dir string) *server {
	s := start(t, "parts-a", dir)
	_, err := s.admin.Promote(t.Context(), 1, 0)
	So(err, ShouldBeNil)
	return s
}

// open opens a connection that is closed at the end of the test.
func (s *server) open(t *testing.T) *pgconn.PgConn {
	conn, err := pgconn.Connect(t.Context(), "postgres://tester@"+s.addr+"/parts?sslmode=disable")
	So(err, ShouldBeNil)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// exec runs SQL text and returns the values of its rows and the SQLSTATE of its error.
func exec(conn *pgconn.PgConn, sql string) (values []string, sqlState string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, sql).ReadAll()
	for _, r := range results {
		for _, row := range r.Rows {
			for _, v := range row {
				values = append(values, string(v))
			}
		}
	}
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return values, e.Code
	}
	So(err, ShouldBeNil)
	return values, ""
}

// position returns the last log position.
func (s *server) position() uint64 {
	st, err := s.admin.Status(context.Background())
	So(err, ShouldBeNil)
	return st.Position
}

// TestReplicaHoldsTheBytesOfItsPrimary guards against rows that differ between instances.
func TestReplicaHoldsTheBytesOfItsPrimary(t *testing.T) {
	Convey("Given a primary, its replica, and data that the log could store otherwise", t, func() {
		dir := t.TempDir()
		primary, replica := startPrimary(t, filepath.Join(dir, "a")), start(t, "parts-b", filepath.Join(dir, "b"))
		_, err := replica.admin.Follow(t.Context(), adapt.FollowRequest{Term: 1, Primary: "parts-a", Addr: primary.addr})
		So(err, ShouldBeNil)
		conn := primary.open(t)
		_, code := exec(conn, "CREATE TABLE t (d TEXT)")
		So(code, ShouldEqual, "")
		same := func(want []string) {
			for end := time.Now().Add(waitTimeout); replica.position() != primary.position(); time.Sleep(10 * time.Millisecond) {
				So(time.Now(), ShouldHappenBefore, end)
			}
			for _, s := range []*server{primary, replica} {
				rows, _ := exec(s.open(t), "SELECT d FROM t")
				So(rows, ShouldResemble, want)
			}
		}
		Convey("Line ends and what JSON escapes are the same on both", func() {
			const data = "a\r\n{\"term\":9}\n<&>\u2028\x01\x7f"
			_, code := exec(conn, "INSERT INTO t VALUES ('"+data+"')")
			So(code, ShouldEqual, "")
			same([]string{data})
		})
		Convey("Bytes that are no text are refused in a query", func() {
			_, code := exec(conn, "INSERT INTO t VALUES ('\xff')")
			So(code, ShouldEqual, "22021")
			same(nil)
		})
		Convey("Bytes that are no text are refused in a parameter", func() {
			for _, v := range []string{"\xff", "a\x00b"} {
				r := conn.ExecParams(t.Context(), "INSERT INTO t VALUES ($1)", [][]byte{[]byte(v)}, nil, nil, nil).Read()
				var e *pgconn.PgError
				So(errors.As(r.Err, &e), ShouldBeTrue)
				So(e.Code, ShouldEqual, "22021")
			}
			same(nil)
		})
	})
}

// TestLogWithAForeignLineIsRefused guards against acknowledged entries that are dropped without a word.
func TestLogWithAForeignLineIsRefused(t *testing.T) {
	Convey("Given the log of an instance that was stopped", t, func() {
		dir := t.TempDir()
		primary := startPrimary(t, dir)
		conn := primary.open(t)
		for _, sql := range []string{"CREATE TABLE t (d TEXT)", "INSERT INTO t VALUES ('a\nb')", "INSERT INTO t VALUES ('c')"} {
			_, code := exec(conn, sql)
			So(code, ShouldEqual, "")
		}
		primary.stop()
		path := filepath.Join(dir, "log")
		b, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		Convey("It continues where it was, without an incomplete last line", func() {
			So(os.WriteFile(path, append(b, []byte(`{"term":1,"position":5`)...), 0o600), ShouldBeNil)
			rows, _ := exec(start(t, "parts-a", dir).open(t), "SELECT d FROM t")
			So(rows, ShouldResemble, []string{"a\nb", "c"})
		})
		for name, line := range map[string]string{"no entry": "x\n", "null": "null\n", "an entry out of order": `{"term":1,"position":9}` + "\n"} {
			Convey("It does not start if a whole line is "+name, func() {
				So(os.WriteFile(path, append([]byte(line), b...), 0o600), ShouldBeNil)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				So(err, ShouldBeNil)
				defer ln.Close()
				_, err = stand.New(stand.Config{Name: "parts-a", Group: "parts", Listener: ln, Dir: dir, Slots: 1, MaxConnections: 1})
				So(err, ShouldNotBeNil)
			})
		}
	})
}

// TestPortalsEndWithTheirTransaction guards against a portal that a later user of a connection executes.
func TestPortalsEndWithTheirTransaction(t *testing.T) {
	Convey("Given a portal that was bound outside of a transaction", t, func() {
		conn := startPrimary(t, t.TempDir()).open(t)
		hijacked, err := conn.Hijack()
		So(err, ShouldBeNil)
		f := hijacked.Frontend
		bind := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 'x'"}, &pgproto3.Bind{DestinationPortal: "p"}, &pgproto3.Sync{}}
		Convey("It is unknown after the Sync", func() {
			for _, m := range append(bind, &pgproto3.Execute{Portal: "p"}, &pgproto3.Sync{}) {
				f.Send(m)
			}
			So(f.Flush(), ShouldBeNil)
			code := ""
			for ready := 0; ready < 2; {
				m, err := f.Receive()
				So(err, ShouldBeNil)
				switch m := m.(type) {
				case *pgproto3.ReadyForQuery:
					ready++
				case *pgproto3.ErrorResponse:
					code = m.Code
				}
			}
			So(code, ShouldEqual, "34000")
		})
	})
}

// TestCommitAfterACommentIsLogged guards against a commit that replicas never learn of.
func TestCommitAfterACommentIsLogged(t *testing.T) {
	Convey("Given transactions whose statements begin with comments", t, func() {
		s := startPrimary(t, t.TempDir())
		conn := s.open(t)
		_, code := exec(conn, "CREATE TABLE t (d TEXT)")
		So(code, ShouldEqual, "")
		Convey("They are run as such", func() {
			before := s.position()
			for _, sql := range []string{"-- a\nBEGIN", "/* b */ INSERT INTO t VALUES ('x')", "/* c */ COMMIT"} {
				_, code := exec(conn, sql)
				So(code, ShouldEqual, "")
			}
			So(conn.TxStatus(), ShouldEqual, 'I')
			So(s.position(), ShouldEqual, before+1)
		})
		Convey("A read is a read", func() {
			before := s.position()
			rows, _ := exec(conn, "/* d */ SELECT 'x'")
			So(rows, ShouldResemble, []string{"x"})
			So(s.position(), ShouldEqual, before)
		})
	})
}
