package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// answer is what a client got for one request.
type answer struct {
	code  string // "OK", the code of an error, or "" if the answer is not whole
	rows  []string
	mac   string
	state string
	err   error
}

func (a answer) ok() bool { return a.code == "OK" }

// promise reports whether the answer promises that nothing is kept.
func (a answer) promise() bool {
	switch a.code {
	case "BUSY", "ABORTED", "LAGGING", "RDONLY", "WRONGNODE", "MAXCONN":
		return true
	}
	return false
}

// conn is a client's session.
type conn struct {
	raw net.Conn
	r   *bufio.Reader
}

// dial opens a session.
func dial(h *host, database string) (*conn, error) {
	raw, err := net.DialTimeout("tcp", h.ip+":8784", time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{raw, bufio.NewReader(raw)}
	_ = raw.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(raw, "STARTUP %s u3f1\r\n", database); err != nil {
		raw.Close()
		return nil, err
	}
	line, err := readLine(c.r)
	if err != nil || !strings.HasPrefix(line, "READY") {
		raw.Close()
		return nil, fmt.Errorf("startup: %q %v", line, err)
	}
	return c, nil
}

// ask sends one request and reads its answer.
func (c *conn) ask(id, text string, limit time.Duration) answer {
	_ = c.raw.SetDeadline(time.Now().Add(limit))
	current.request("sent     %s to %s: %s", id, c.raw.RemoteAddr(), text)
	if _, err := fmt.Fprintf(c.raw, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{err: err}
	}
	a := c.read()
	current.request("answered %s: %s %s %s %v", id, a.code, a.mac, a.state, a.rows)
	return a
}

func (c *conn) read() answer {
	var a answer
	for {
		line, err := readLine(c.r)
		if err != nil {
			a.code, a.err = "", err
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.code, a.mac = "OK", rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

func (c *conn) close() { c.raw.Close() }
