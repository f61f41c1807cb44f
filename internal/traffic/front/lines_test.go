package front_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// lineEnd ends each line of the protocol.
const lineEnd = "\r\n"

// peer is one end of a connection, which ends lines at CR LF only.
type peer struct {
	net.Conn
	held []byte
}

// line reads one line.
func (p *peer) line() (string, error) {
	for {
		if line, rest, ok := bytes.Cut(p.held, []byte(lineEnd)); ok {
			p.held = rest
			return string(line), nil
		}
		b := make([]byte, 4<<10)
		n, err := p.Read(b)
		if err != nil {
			return "", err
		}
		p.held = append(p.held, b[:n]...)
	}
}

// answer reads the lines of one answer.
func (p *peer) answer() ([]string, error) {
	for list := []string(nil); ; {
		line, err := p.line()
		if err != nil {
			return list, err
		}
		list = append(list, line)
		if strings.HasPrefix(line, "READY ") {
			return list, nil
		}
	}
}

// exactInstance is an instance that leads and keeps to the protocol. It records the lines that it reads.
type exactInstance struct {
	ln net.Listener
	// rows and proof answer each statement that it runs.
	rows  []string
	proof string

	mu   sync.Mutex
	read []string
}

func startExactInstance(t *testing.T, rows []string, proof string) *exactInstance {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { ln.Close() })
	in := &exactInstance{ln: ln, rows: rows, proof: proof}
	go in.accept()
	return in
}

func (in *exactInstance) accept() {
	for {
		c, err := in.ln.Accept()
		if err != nil {
			return
		}
		go in.serve(&peer{Conn: c})
	}
}

func (in *exactInstance) serve(p *peer) {
	defer p.Close()
	state := "I"
	for {
		line, err := p.line()
		if err != nil {
			return
		}
		in.mu.Lock()
		in.read = append(in.read, line)
		in.mu.Unlock()
		var answer []string
		word, rest, _ := strings.Cut(line, " ")
		_, text, _ := strings.Cut(rest, " ")
		verb, _, _ := strings.Cut(text, " ")
		switch {
		case word == "STARTUP":
		case word != "QUERY":
			answer = []string{"ERR MALFORMED message"}
		case verb == "BEGIN":
			answer, state = []string{"DONE -"}, "T"
		case verb == "SET" || verb == "RESET" || verb == "PREPARE" || verb == "ROLLBACK":
			answer = []string{"DONE -"}
		case verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT":
			for _, row := range in.rows {
				answer = append(answer, "ROW "+row)
			}
			answer = append(answer, "DONE "+in.proof)
			if verb == "COMMIT" {
				state = "I"
			}
		default:
			answer = []string{"ERR MALFORMED statement"}
		}
		answer = append(answer, "READY "+state+" 1.1")
		if _, err := io.WriteString(p, strings.Join(answer, lineEnd)+lineEnd); err != nil {
			return
		}
	}
}

// linesWith returns the lines read that hold a text.
func (in *exactInstance) linesWith(text string) []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	var list []string
	for _, line := range in.read {
		if strings.Contains(line, text) {
			list = append(list, line)
		}
	}
	return list
}

// openPeer opens a session of a caller that keeps to the protocol.
func openPeer(addr string) *peer {
	c, err := net.Dial("tcp", addr)
	So(err, ShouldBeNil)
	_ = c.SetDeadline(time.Now().Add(5 * answerTimeout))
	p := &peer{Conn: c}
	_, err = io.WriteString(p, "STARTUP stock u"+lineEnd)
	So(err, ShouldBeNil)
	line, err := p.line()
	So(err, ShouldBeNil)
	So(line, ShouldEqual, "READY I -")
	return p
}

// ask sends a line, the end of it in two packets, and reads the answer.
func (p *peer) ask(line string) []string {
	_, err := io.WriteString(p, line+lineEnd[:1])
	So(err, ShouldBeNil)
	time.Sleep(time.Millisecond)
	_, err = io.WriteString(p, lineEnd[1:])
	So(err, ShouldBeNil)
	list, err := p.answer()
	So(err, ShouldBeNil)
	return list
}

// TestLineBreaksPassFromCallerToInstanceAndBack guards against statements that are cut at a line feed of their
// data, and against answers that end inside a row.
func TestLineBreaksPassFromCallerToInstanceAndBack(t *testing.T) {
	Convey("Given an instance whose rows and proofs hold CR and LF", t, func() {
		rows := []string{"a\nROW y", "a\nDONE forged\nREADY I 9.9\nb", "a\r", "\n", "\r\r", "", "a\rDONE forged\rREADY I 9.9\r"}
		in := startExactInstance(t, rows, "7.\n1f\r3")
		h := startHost(t, func(s *front.Server) { addPrimaryWithSlots(s.Sessions.Topology, in.ln.Addr().String(), 64) })
		defer h.stop()
		want := func(state string) []string {
			var list []string
			for _, row := range rows {
				list = append(list, "ROW "+row)
			}
			return append(list, "DONE 7.\n1f\r3", "READY "+state+" -")
		}
		p := openPeer(h.Addr)
		defer p.Close()
		Convey("Single statements arrive whole, and each caller gets its own answer", func() {
			for i, data := range []string{"crpbgzawha\nxcvnz", "a\rb", "a\r", "a\n", "\n\r", "a\nQUERY 9 WRITE k c", "a\r\r"} {
				for _, verb := range []string{"WRITE k ", "READ k "} {
					id := fmt.Sprintf("i%d\n%c", i, verb[0])
					So(p.ask("QUERY "+id+" "+verb+data), ShouldResemble, want("I"))
					So(in.linesWith(id), ShouldResemble, []string{"QUERY " + id + " " + verb + data})
				}
			}
			for _, line := range in.linesWith("QUERY 9 ") {
				So(line, ShouldStartWith, "QUERY i5\n")
			}
		})
		Convey("A transaction runs its statements whole", func() {
			So(p.ask("QUERY t1 BEGIN"), ShouldResemble, []string{"DONE -", "READY T -"})
			So(p.ask("QUERY t2 WRITE 15 crpbgzawha\nxcvnz"), ShouldResemble, want("T"))
			So(p.ask("QUERY t3 COMMIT"), ShouldResemble, want("I"))
			So(in.linesWith("t2"), ShouldResemble, []string{"QUERY t2 WRITE 15 crpbgzawha\nxcvnz"})
		})
		Convey("Session values, shapes and arguments arrive whole", func() {
			So(p.ask("QUERY s1 SET v\n1 x\ny\r"), ShouldResemble, []string{"DONE -", "READY I -"})
			So(p.ask("QUERY s2 PREPARE a\nb WRITE q\n2\r"), ShouldResemble, []string{"DONE -", "READY I -"})
			So(p.ask("QUERY s3 EXEC a\nb 1a4 x\ny\r"), ShouldResemble, want("I"))
			So(in.linesWith("SET"), ShouldResemble, []string{"QUERY - SET v\n1 x\ny\r"})
			So(in.linesWith("PREPARE"), ShouldResemble, []string{"QUERY - PREPARE p0 WRITE q\n2\r"})
			So(in.linesWith("EXEC"), ShouldResemble, []string{"QUERY s3 EXEC p0 1a4 x\ny\r"})
		})
	})
}

// TestLongLinesOfBreaksCostTheirLength guards against a message that is parsed again for each piece of it.
func TestLongLinesOfBreaksCostTheirLength(t *testing.T) {
	for name, data := range map[string]string{"LF": "\n", "CR": "\r", "LF CR x": "\n\rx"} {
		Convey("A long message full of "+name+" that arrives in pieces is parsed a few times at most", t, func() {
			parsed := 0
			h := startHost(t, func(s *front.Server) {
				parse := s.Codec.ParseMessage
				s.Codec.ParseMessage = func(b []byte) (front.Message, int, error) {
					parsed += len(b)
					return parse(b)
				}
			})
			p := openPeer(h.Addr)
			defer p.Close()
			line := []byte("QUERY 1 SET a " + strings.Repeat(data, 1_000_000/len(data)) + "z" + lineEnd)
			for at := 0; at < len(line); at += 4 << 10 {
				_, err := p.Write(line[at:min(at+4<<10, len(line))])
				So(err, ShouldBeNil)
				time.Sleep(100 * time.Microsecond)
			}
			list, err := p.answer()
			So(err, ShouldBeNil)
			So(list, ShouldResemble, []string{"DONE -", "READY I -"})
			h.stop()
			So(parsed, ShouldBeLessThan, 3*len(line))
		})
	}
}
