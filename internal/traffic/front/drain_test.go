package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// serveInstance accepts connections like an instance that leads, and answers each statement with the
// rows after a delay.
func serveInstance(ln net.Listener, delay time.Duration, rows ...string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for n := 0; ; n++ {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if strings.HasPrefix(line, "QUERY") {
					time.Sleep(delay)
					for _, row := range rows {
						fmt.Fprintf(c, "ROW %s\r\n", row)
					}
					fmt.Fprintf(c, "DONE mac.%d\r\n", n)
				}
				fmt.Fprint(c, "READY I 1.1\r\n")
			}
		}()
	}
}

// startHostWithInstance starts a host whose database is served by such an instance.
func startHostWithInstance(t *testing.T, delay time.Duration, rows []string, change func(*front.Server)) testHost {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { ln.Close() })
	go serveInstance(ln, delay, rows...)
	return startHost(t, func(s *front.Server) {
		addPrimary(s.Sessions.Topology, ln.Addr().String())
		change(s)
	})
}

// readAnswer reads one answer up to its READY line and returns its length in bytes.
func readAnswer(r *bufio.Reader) (int, error) {
	n := 0
	for {
		line, err := r.ReadString('\n')
		n += len(line)
		if err != nil || strings.HasPrefix(line, "READY") {
			return n, err
		}
	}
}

// sendUntilClosed sends one statement after the other, each a moment after the last answer, until the
// host closes the connection. It returns an error if a statement got no whole answer.
func sendUntilClosed(c net.Conn) error {
	r := bufio.NewReader(c)
	if _, err := readAnswer(r); err != nil {
		return err
	}
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(c, "QUERY %d WRITE a b\r\n", i); err != nil {
			return err
		}
		if _, err := readAnswer(r); err != nil {
			return fmt.Errorf("no whole answer to statement %d: %w", i, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		if _, err := r.Peek(1); errors.Is(err, io.EOF) {
			return nil
		}
		_ = c.SetReadDeadline(time.Time{})
	}
}

// TestDrainClosesBusySessionsAfterAnAnswer guards against sessions that a drain never closes, since they
// are always busy, and whose statements are broken off at its limit (review case 5).
func TestDrainClosesBusySessionsAfterAnAnswer(t *testing.T) {
	Convey("Given callers that send one statement after the other", t, func() {
		h := startHostWithInstance(t, 50*time.Millisecond, nil, func(s *front.Server) {
			s.DrainDelay, s.TransactionLimit = 100*time.Millisecond, time.Second
		})
		defer h.stop()
		ended := make(chan error, 8)
		for range cap(ended) {
			c := openSession(h.Addr)
			defer c.Close()
			go func() { ended <- sendUntilClosed(c) }()
		}
		time.Sleep(200 * time.Millisecond)
		Convey("A drain closes each of them after an answer, long before its limit", func() {
			limit := 5 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			started := time.Now()
			h.Drain(ctx)
			So(time.Since(started), ShouldBeLessThan, limit/2)
			for range cap(ended) {
				So(<-ended, ShouldBeNil)
			}
		})
	})
}

// TestAnswersOnTheirWayAreSent guards against answers that are cut because the host closes the connection
// while a part of them is still buffered.
func TestAnswersOnTheirWayAreSent(t *testing.T) {
	row := strings.Repeat("x", 900<<10)
	rows := []string{row, row, row, row, row, row, row, row, row, row, row, row}
	Convey("Given a caller that has not yet read an answer larger than all socket buffers", t, func() {
		h := startHostWithInstance(t, 0, rows, func(s *front.Server) { s.Limits.UnreadBytes = 1 << 20 })
		defer h.stop()
		c, err := net.Dial("tcp", h.Addr)
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(256<<10), ShouldBeNil)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprint(c, "STARTUP stock u\r\n")
		r := bufio.NewReader(c)
		_, err = readAnswer(r)
		So(err, ShouldBeNil)
		fmt.Fprint(c, "QUERY 1 WRITE a b\r\n")
		_, err = r.Peek(1)
		So(err, ShouldBeNil)
		// The host has the whole answer a moment after it sends the first bytes.
		time.Sleep(200 * time.Millisecond)
		readAll := func() {
			n, err := readAnswer(r)
			So(err, ShouldBeNil)
			So(n, ShouldBeGreaterThan, len(rows)*len(row))
		}
		Convey("It gets the whole answer, and the next one, although it is over the limit for unread answers", func() {
			readAll()
			fmt.Fprint(c, "QUERY 2 WRITE a b\r\n")
			readAll()
		})
		Convey("A drain waits for it", func() {
			drained := make(chan struct{})
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				h.Drain(ctx)
				close(drained)
			}()
			time.Sleep(100 * time.Millisecond)
			readAll()
			<-drained
		})
		Convey("So does a host that sheds callers", func() {
			h.shed.Store(true)
			// Only connections that are older than a second are shed, by a sweep every 250 ms.
			time.Sleep(1300 * time.Millisecond)
			readAll()
			_, err := r.ReadByte()
			So(err, ShouldEqual, io.EOF)
		})
	})
}
