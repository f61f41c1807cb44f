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

// metric returns the value of a host's counter, or 0 if the host does not export it.
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

// startupBytes returns an encoded PostgreSQL startup message.
func startupBytes(params map[string]string) []byte {
	b, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: params}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

// dialRaw opens a TCP connection to entry-1, sends a startup message if sendStartup is set, and then
// sends input unchanged.
func (c *cluster) dialRaw(sendStartup bool, input []byte) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.configs["entry-1"].CallerAddr)
	if err != nil {
		c.t.Fatal(err)
	}
	if sendStartup {
		conn.Write(startupBytes(map[string]string{"user": "x", "database": groupName}))
	}
	conn.Write(input)
	return conn
}

// readUntilClosed returns all bytes received until the host closes the connection. It returns an
// error if that takes longer than 20 s.
func readUntilClosed(conn net.Conn) (string, error) {
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	b, err := io.ReadAll(conn)
	return string(b), err
}

// randomMessages returns one to six messages with valid headers and random bodies, so that the input
// reaches the decoder of each message type.
func randomMessages(r *rand.Rand) []byte {
	const messageTypes = "PBDECSHQFdcfPBDECS"
	var b []byte
	for range 1 + r.Intn(6) {
		body := make([]byte, r.Intn(24))
		r.Read(body)
		if r.Intn(2) == 0 {
			copy(body, "\x00\x00\x00\x00\x00\x00")
		}
		b = append(b, messageTypes[r.Intn(len(messageTypes))])
		b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
		b = append(b, body...)
	}
	return b
}

func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 1, EntryHosts: 1})
	healthy, err := c.connect("entry-1", "good")
	if err != nil {
		t.Fatal(err)
	}
	mustQuery(t, healthy, "CREATE TABLE t (id INTEGER)")
	lengthField := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	for _, tc := range []struct {
		name        string
		sendStartup bool
		input       []byte
		want        string // part of the error response
		counter     string // metric that must go up by one
	}{
		{"a startup with an impossible length", false, append(lengthField(5), 0, 0, 0, 0), "impossible length", "refused_badmessage"},
		{"an oversized startup", false, append(lengthField(1<<30), 0, 3, 0, 0), "impossible length", "refused_badmessage"},
		{"an unsupported protocol version", false, append(lengthField(8), 0, 2, 0, 0), "is not supported", "refused_badmessage"},
		{"a startup that cannot be decoded", false, append(lengthField(12), 0, 3, 0, 0, 'u', 's', 'e', 'r'), "does not decode", "refused_badmessage"},
		{"an unknown database", false, startupBytes(map[string]string{"user": "x", "database": "none"}), "does not exist", "refused_unknowndatabase"},
		{"a session token that cannot be parsed", false, startupBytes(map[string]string{"user": "x", "database": groupName, "options": "-c agatespindle.session=@@"}), "invalid session token", "refused_badtoken"},
		{"an unknown message type", true, append([]byte{'!'}, lengthField(4)...), "unknown message type", "refused_badmessage"},
		{"an oversized message", true, append([]byte{'Q'}, lengthField(1<<31)...), "impossible length", "refused_badmessage"},
		{"a message shorter than its header", true, append([]byte{'Q'}, lengthField(3)...), "impossible length", "refused_badmessage"},
	} {
		Convey("The connection ends with an error response after "+tc.name, t, func() {
			before := c.metric("entry-1", tc.counter)
			conn := c.dialRaw(tc.sendStartup, tc.input)
			defer conn.Close()
			got, err := readUntilClosed(conn)
			So(err, ShouldBeNil)
			So(got, ShouldContainSubstring, tc.want)
			So(got, ShouldContainSubstring, "verdict=NotRun")
			So(c.metric("entry-1", tc.counter), ShouldEqual, before+1)
			So(mustQuery(t, healthy, "SELECT 1"), ShouldResemble, []string{"1"})
		})
	}
	Convey("A Bind that cannot be decoded is answered with an error, and the session continues", t, func() {
		conn := c.dialRaw(true, append(append([]byte{'B'}, lengthField(6)...), 1, 2, 'S', 0, 0, 0, 4, 'X', 0, 0, 0, 4))
		defer conn.Close()
		got, err := readUntilClosed(conn)
		So(err, ShouldBeNil)
		So(got, ShouldContainSubstring, "does not decode")
	})
	Convey("Partial messages, dropped connections and random bytes leave no session or transaction open", t, func() {
		r := rand.New(rand.NewSource(7))
		for i := range 60 {
			b := make([]byte, r.Intn(200))
			r.Read(b)
			c.dialRaw(i%2 == 0, b).Close()
		}
		for range 200 {
			conn := c.dialRaw(true, randomMessages(r))
			conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			io.Copy(io.Discard, conn)
			conn.Close()
		}
		abandoned := c.dialRaw(true, nil)
		q, _ := (&pgproto3.Query{String: "BEGIN; INSERT INTO t VALUES (1)"}).Encode(nil)
		abandoned.Write(q)
		abandoned.Close()
		c.eventually("only the healthy session is left", func() error {
			open := c.metric("entry-1", "callers_opened") - c.metric("entry-1", "callers_closed")
			if open != 1 {
				return fmt.Errorf("%d sessions are open, want 1", open)
			}
			return nil
		})
		So(mustQuery(t, healthy, "SELECT COUNT(*) FROM t"), ShouldResemble, []string{"0"})
		mustQuery(t, healthy, "INSERT INTO t VALUES (2)")
	})
	Convey("A caller that stops reading does not block other callers", t, func() {
		mustQuery(t, healthy, "SET agatespindle.timeout = '60s'")
		mustQuery(t, healthy, "CREATE TABLE big (v TEXT)")
		mustQuery(t, healthy, "INSERT INTO big WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 60000) SELECT 'a row that is long enough to fill buffers ' || x || ' and then some more text' FROM c")
		q, _ := (&pgproto3.Query{String: "SELECT a.v, b.v FROM big a, (SELECT v FROM big LIMIT 5) b"}).Encode(nil)
		slowReader := c.dialRaw(true, q)
		defer slowReader.Close()
		for range 20 {
			So(mustQuery(t, healthy, "SELECT 1"), ShouldResemble, []string{"1"})
		}
	})
	Convey("A cancel request cancels the running statement, and the session remains usable", t, func() {
		mustQuery(t, healthy, "SELECT 1")
		done := make(chan error, 1)
		go func() {
			_, err := query(healthy, "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 200000000) SELECT COUNT(*) FROM c")
			done <- err
		}()
		So(sqlState(cancelUntilDone(healthy, done)), ShouldEqual, "57014")
		So(mustQuery(t, healthy, "SELECT 1"), ShouldResemble, []string{"1"})
	})
}

// cancelUntilDone sends a cancel request every 300 ms until the statement has ended, and returns the
// statement's error. It repeats the request because, by the protocol, one that arrives before the
// statement runs has no effect.
func cancelUntilDone(conn *pgconn.PgConn, done <-chan error) error {
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
	c := newCluster(t, clusterConfig{ControlHosts: 1, EntryHosts: 1})
	Convey("A caller that prefers TLS connects without it, and one that requires it is refused", t, func() {
		conn, err := pgconn.Connect(context.Background(), fmt.Sprintf("postgres://x@%s/%s?sslmode=prefer", c.configs["entry-1"].CallerAddr, groupName))
		So(err, ShouldBeNil)
		So(mustQuery(t, conn, "SELECT 1"), ShouldResemble, []string{"1"})
		_, err = pgconn.Connect(context.Background(), fmt.Sprintf("postgres://x@%s/%s?sslmode=require", c.configs["entry-1"].CallerAddr, groupName))
		So(err, ShouldNotBeNil)
	})
	Convey("A host exits with code 0 on SIGINT", t, func() {
		c.signal("entry-1", syscall.SIGINT)
		_ = c.procs["entry-1"].Wait()
		So(c.procs["entry-1"].ProcessState.ExitCode(), ShouldEqual, 0)
		delete(c.procs, "entry-1")
	})
}
