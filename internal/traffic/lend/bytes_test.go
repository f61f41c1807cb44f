package lend_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// notUTF8 holds bytes that are no UTF-8 text.
const notUTF8 = "\xff\xc3(\xf0\x9f\x80 \x00"

// startRecordingInstance starts an instance that answers each read and write with a line, and returns its
// address and the statements.
func startRecordingInstance(answer string) (string, <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { ln.Close() })
	statements := make(chan string, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for line, err := r.ReadString('\n'); err == nil; line, err = r.ReadString('\n') {
					if strings.HasPrefix(line, "QUERY") {
						statements <- line
						if strings.Contains(line, " SET ") || strings.Contains(line, " PREPARE ") {
							fmt.Fprint(c, "DONE -\r\nREADY I 1.1\r\n")
							continue
						}
						fmt.Fprintf(c, "%s\r\n", answer)
					}
					fmt.Fprint(c, "READY I 1.1\r\n")
				}
			}()
		}
	}()
	return ln.Addr().String(), statements
}

// TestStatementsOfAnyBytesPassLender guards against statements in doubt, and reads that no instance runs, if
// an id, a text, a session value or an answer is not UTF-8.
func TestStatementsOfAnyBytesPassLender(t *testing.T) {
	Convey("Given a lender and an instance that answers with bytes that are no UTF-8", t, func() {
		for line, req := range map[string]flow.Request{
			"QUERY s\xff WRITE x " + notUTF8:        {ID: "s\xff", Text: "WRITE x " + notUTF8, Writes: true},
			"QUERY s SET n\xff " + notUTF8:          {Op: flow.SetValue, ID: "s", Name: "n\xff", Value: notUTF8},
			"QUERY s PREPARE n\xff READ " + notUTF8: {Op: flow.PrepareStatement, ID: "s", Name: "n\xff", Template: notUTF8},
		} {
			Convey(fmt.Sprintf("%q passes unchanged, and so does the proof", line), func() {
				proof := "p" + notUTF8
				if req.Op == flow.SetValue || req.Op == flow.PrepareStatement {
					proof = ""
				}
				addr, statements := startRecordingInstance("DONE " + proof)
				h := startLender(addr).open()
				defer h.Close()
				answer, stage, err := h.Run(time.Second, flow.Values{}, req, true)
				So(err, ShouldBeNil)
				So(stage, ShouldEqual, flow.Answered)
				So(answer.Proof, ShouldEqual, proof)
				So(<-statements, ShouldEqual, line+"\r\n")
			})
		}
		Convey("Session values pass unchanged", func() {
			addr, statements := startRecordingInstance("DONE p")
			h := startLender(addr).open()
			defer h.Close()
			_, _, err := h.Run(time.Second, flow.Values{}.With("n", notUTF8), flow.Request{ID: "s", Text: "READ x"}, true)
			So(err, ShouldBeNil)
			So(<-statements, ShouldEqual, "QUERY - SET n "+notUTF8+"\r\n")
		})
		Convey("An error answer passes unchanged", func() {
			addr, _ := startRecordingInstance("ERR FAILED t" + notUTF8)
			h := startLender(addr).open()
			defer h.Close()
			answer, _, err := h.Run(time.Second, flow.Values{}, flow.Request{ID: "s", Text: "READ x"}, true)
			So(err, ShouldBeNil)
			So(answer.Code, ShouldEqual, flow.Failed)
			So(answer.Text, ShouldEqual, "t"+notUTF8)
		})
	})
}
