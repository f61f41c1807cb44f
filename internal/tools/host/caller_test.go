package host_test

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

// verdict returns the verdict in an error's detail, "" without an error, or the text of an error that is
// not an answer.
func verdict(err error) string {
	var e *pgconn.PgError
	if err == nil {
		return ""
	}
	if !errors.As(err, &e) {
		return fmt.Sprint(err)
	}
	_, rest, _ := strings.Cut(e.Detail, "verdict=")
	word, _, _ := strings.Cut(rest, " ")
	return word
}

// slowReader reads only a little at a time.
type slowReader struct{ net.Conn }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return r.Conn.Read(b[:min(len(b), 32<<10)])
}

// dialRaw opens a connection to an entry host with small buffers and starts a session. Its answers are read
// slowly.
func (d *deployment) dialRaw(name string) (net.Conn, *pgproto3.Frontend) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.hosts[name].Config.CallerAddr)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	f := pgproto3.NewFrontend(slowReader{conn}, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "raw", "database": groupName}})
	if err := f.Flush(); err != nil {
		d.t.Fatal(err)
	}
	a := readAnswer(f)
	if a.err != nil {
		d.t.Fatal(a.err)
	}
	return conn, f
}

// answer is what a caller has received for a request.
type answer struct {
	// bytes is the number of bytes of its rows.
	bytes int
	// verdict is that of its error, if there is one; fatal is set if the error ends the session.
	verdict string
	fatal   bool
	// err is set if it is incomplete.
	err error
}

// readAnswer reads the answer to one request.
func readAnswer(f *pgproto3.Frontend) answer {
	var a answer
	for {
		m, err := f.Receive()
		switch m := m.(type) {
		case nil:
			a.err = err
			return a
		case *pgproto3.DataRow:
			for _, v := range m.Values {
				a.bytes += len(v)
			}
		case *pgproto3.ErrorResponse:
			a.verdict = verdict(pgconn.ErrorResponseToPgError(m))
			if a.fatal = m.Severity == "FATAL"; a.fatal {
				return a
			}
		case *pgproto3.ReadyForQuery:
			return a
		}
	}
}

// largeQuery has an answer that is larger than all buffers of the sockets.
const (
	largeBytes = 12 << 20
	largeQuery = "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 96) SELECT printf('%.131072c', 'x') FROM c"
	// mediumQuery has an answer that the buffers of the sockets hold.
	mediumBytes = 1 << 20
	mediumQuery = "SELECT printf('%.1048576c', 'x')"
)

// send sends a query to the host that is at the other end of f.
func send(f *pgproto3.Frontend, sql string) {
	f.Send(&pgproto3.Query{String: sql})
	So(f.Flush(), ShouldBeNil)
}
