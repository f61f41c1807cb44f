package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is a session of a client.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
}

// Result is the answer to one statement.
type Result struct {
	// Rows is the number of ROW messages, Bytes their size.
	Rows, Bytes int
	Last        string
	// Done is set for a success; MAC is its proof.
	Done bool
	MAC  string
	// Err is the code and text of an ERR message.
	Err   string
	State string
	// Lost is set if the connection ended before the answer was complete.
	Lost error
}

// Promise reports whether the answer promises that nothing is kept.
func (a Result) Promise() bool {
	code, _, _ := strings.Cut(a.Err, " ")
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "RDONLY", "WRONGNODE", "MAXCONN":
		return true
	}
	return false
}

func (a Result) String() string {
	switch {
	case a.Lost != nil:
		return fmt.Sprintf("no complete answer (%d rows, %d bytes): %s", a.Rows, a.Bytes, a.Lost)
	case a.Done:
		return fmt.Sprintf("DONE %s, %d rows, %d bytes, state %s", a.MAC, a.Rows, a.Bytes, a.State)
	}
	return fmt.Sprintf("ERR %s, state %s", a.Err, a.State)
}

// NewID returns a new request id.
func NewID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Connect opens a session on a database. wrap, if set, wraps the connection.
func Connect(addr, database string, wrap func(net.Conn) net.Conn) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	if wrap != nil {
		conn = wrap(conn)
	}
	c := &Client{conn: conn, r: bufio.NewReaderSize(conn, 16<<10)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s reviewer\r\n", database)
	line, err := c.readLine()
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("startup: %q %w", line, err)
	}
	return c, nil
}

func (c *Client) readLine() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Query sends a statement and reads its answer.
func (c *Client) Query(id, text string, limit time.Duration) Result {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return Result{Lost: err}
	}
	var a Result
	for {
		line, err := c.readLine()
		if err != nil {
			a.Lost, a.Done, a.Err = err, false, ""
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows++
			a.Bytes += len(rest)
			a.Last = rest
		case "DONE":
			a.Done, a.MAC = true, rest
		case "ERR":
			a.Err = rest
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// Close ends the session.
func (c *Client) Close() { c.conn.Close() }
