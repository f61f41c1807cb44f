package whole_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

// metric returns the value of a counter of a host; zero where there is none.
func (c *cluster) metric(host, name string) int {
	c.t.Helper()
	resp, err := http.Get("http://" + c.configs[host].APIAddr + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "agatespindle_"+name+" "); ok {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return 0
}

func startupBytes(params map[string]string) []byte {
	b, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: params}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

// raw opens a connection and sends bytes as they are; with started set, after a startup.
func (c *cluster) raw(started bool, b []byte) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.configs["entry-1"].CallerAddr)
	if err != nil {
		c.t.Fatal(err)
	}
	if started {
		conn.Write(startupBytes(map[string]string{"user": "x", "database": groupName}))
	}
	conn.Write(b)
	return conn
}

// ended reads until the connection ends and returns what came.
func ended(conn net.Conn) (string, error) {
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	b, err := io.ReadAll(conn)
	return string(b), err
}

// randomMessages returns messages with whole headers and random bodies, so that each decoder
// behind the header is reached.
func randomMessages(r *rand.Rand) []byte {
	const kinds = "PBDECSHQFdcfPBDECS"
	var b []byte
	for range 1 + r.Intn(6) {
		body := make([]byte, r.Intn(24))
		r.Read(body)
		if r.Intn(2) == 0 {
			copy(body, "\x00\x00\x00\x00\x00\x00")
		}
		b = append(b, kinds[r.Intn(len(kinds))])
		b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
		b = append(b, body...)
	}
	return b
}

func TestBadInputEndsItsConnectionAlone(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 1, Entry: 1})
	good, err := c.connect("entry-1", "good")
	if err != nil {
		t.Fatal(err)
	}
	must(t, good, "CREATE TABLE t (id INTEGER)")
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	for _, one := range []struct {
		name    string
		started bool
		bytes   []byte
		want    string
		counter string
	}{
		{"a startup with an impossible length", false, append(length(5), 0, 0, 0, 0), "impossible length", "refused_badmessage"},
		{"an oversized startup", false, append(length(1<<30), 0, 3, 0, 0), "impossible length", "refused_badmessage"},
		{"a protocol version of another age", false, append(length(8), 0, 2, 0, 0), "not spoken", "refused_badmessage"},
		{"a startup that does not decode", false, append(length(12), 0, 3, 0, 0, 'u', 's', 'e', 'r'), "does not decode", "refused_badmessage"},
		{"an unknown database", false, startupBytes(map[string]string{"user": "x", "database": "none"}), "does not exist", "refused_unknowndatabase"},
		{"a token that does not parse", false, startupBytes(map[string]string{"user": "x", "database": groupName, "options": "-c agatespindle.session=@@"}), "token is invalid", "refused_badtoken"},
		{"an unknown message type", true, append([]byte{'!'}, length(4)...), "not known", "refused_badmessage"},
		{"an oversized message", true, append([]byte{'Q'}, length(1<<31)...), "impossible length", "refused_badmessage"},
		{"a message shorter than its header", true, append([]byte{'Q'}, length(3)...), "impossible length", "refused_badmessage"},
	} {
		Convey("It ends with the protocol's error: "+one.name, t, func() {
			before := c.metric("entry-1", one.counter)
			conn := c.raw(one.started, one.bytes)
			defer conn.Close()
			got, err := ended(conn)
			So(err, ShouldBeNil)
			So(got, ShouldContainSubstring, one.want)
			So(got, ShouldContainSubstring, "verdict=NotRun")
			So(c.metric("entry-1", one.counter), ShouldEqual, before+1)
			So(must(t, good, "SELECT 1"), ShouldResemble, []string{"1"})
		})
	}
	Convey("A Bind that does not decode is answered with an error, and the session goes on", t, func() {
		conn := c.raw(true, append(append([]byte{'B'}, length(6)...), 1, 2, 'S', 0, 0, 0, 4, 'X', 0, 0, 0, 4))
		defer conn.Close()
		got, err := ended(conn)
		So(err, ShouldBeNil)
		So(got, ShouldContainSubstring, "does not decode")
	})
	Convey("Half messages, callers that vanish and random bytes leave nothing behind", t, func() {
		r := rand.New(rand.NewSource(7))
		for i := range 60 {
			b := make([]byte, r.Intn(200))
			r.Read(b)
			c.raw(i%2 == 0, b).Close()
		}
		for range 200 {
			conn := c.raw(true, randomMessages(r))
			conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			io.Copy(io.Discard, conn)
			conn.Close()
		}
		vanish := c.raw(true, nil)
		q, _ := (&pgproto3.Query{String: "BEGIN; INSERT INTO t VALUES (1)"}).Encode(nil)
		vanish.Write(q)
		vanish.Close()
		c.eventually("only the good session is left", func() error {
			open := c.metric("entry-1", "callers_opened") - c.metric("entry-1", "callers_closed")
			if open != 1 {
				return fmt.Errorf("%d sessions", open)
			}
			return nil
		})
		So(must(t, good, "SELECT COUNT(*) FROM t"), ShouldResemble, []string{"0"})
		must(t, good, "INSERT INTO t VALUES (2)")
	})
	Convey("A caller that stops reading holds up nobody else", t, func() {
		must(t, good, "SET agatespindle.timeout = '60s'")
		must(t, good, "CREATE TABLE big (v TEXT)")
		must(t, good, "INSERT INTO big WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 60000) SELECT 'a row that is long enough to fill buffers ' || x || ' and then some more text' FROM c")
		q, _ := (&pgproto3.Query{String: "SELECT a.v, b.v FROM big a, (SELECT v FROM big LIMIT 5) b"}).Encode(nil)
		lazy := c.raw(true, q)
		defer lazy.Close()
		for range 20 {
			So(must(t, good, "SELECT 1"), ShouldResemble, []string{"1"})
		}
	})
	Convey("A cancel request cancels what runs, and the session goes on", t, func() {
		must(t, good, "SELECT 1")
		done := make(chan error, 1)
		go func() {
			_, err := query(good, "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 200000000) SELECT COUNT(*) FROM c")
			done <- err
		}()
		So(code(cancelUntil(good, done)), ShouldEqual, "57014")
		So(must(t, good, "SELECT 1"), ShouldResemble, []string{"1"})
	})
}

// cancelUntil sends cancel requests until the statement has ended: one that comes before the
// statement runs has no effect, as the protocol says.
func cancelUntil(conn *pgconn.PgConn, done <-chan error) error {
	for {
		select {
		case err := <-done:
			return err
		case <-time.After(300 * time.Millisecond):
			if err := conn.CancelRequest(context.Background()); err != nil {
				return err
			}
		}
	}
}

func TestTLSRequestIsAnswered(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 1, Entry: 1})
	Convey("A caller that prefers TLS goes on without, one that demands it is told", t, func() {
		conn, err := pgconn.Connect(context.Background(), fmt.Sprintf("postgres://x@%s/%s?sslmode=prefer", c.configs["entry-1"].CallerAddr, groupName))
		So(err, ShouldBeNil)
		So(must(t, conn, "SELECT 1"), ShouldResemble, []string{"1"})
		_, err = pgconn.Connect(context.Background(), fmt.Sprintf("postgres://x@%s/%s?sslmode=require", c.configs["entry-1"].CallerAddr, groupName))
		So(err, ShouldNotBeNil)
	})
	Convey("SIGINT ends a host cleanly", t, func() {
		c.signal("entry-1", syscall.SIGINT)
		_ = c.procs["entry-1"].Wait()
		So(c.procs["entry-1"].ProcessState.ExitCode(), ShouldEqual, 0)
		delete(c.procs, "entry-1")
	})
}
