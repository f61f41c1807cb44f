package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is a session of a client.
type client struct {
	c net.Conn
	r *bufio.Reader
}

// openClient opens a session on a database at an entry host.
func openClient(address, database string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{c, bufio.NewReaderSize(c, 64<<10)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s u1\r\n", database)
	line, err := readLine(cl.r)
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = errors.New(line)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return cl, nil
}

// reply is the answer to a query.
type reply struct {
	// rows is the number of rows, and bytes that of their bytes.
	rows, bytes int
	// end is the DONE or ERR line, and state the state in the READY line.
	end, state string
}

func (r reply) ok() bool { return strings.HasPrefix(r.end, "DONE ") && r.end != "DONE -" }

// ask sends a query and reads the whole answer.
func (cl *client) ask(id, text string, limit time.Duration) (reply, error) {
	var a reply
	_ = cl.c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(cl.c, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := readLine(cl.r)
		if err != nil {
			return a, err
		}
		switch word, rest, _ := strings.Cut(line, " "); word {
		case "ROW":
			a.rows++
			a.bytes += len(rest)
		case "DONE", "ERR":
			a.end = line
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unknown line %.40q", line)
		}
	}
}

func (cl *client) close() { cl.c.Close() }
