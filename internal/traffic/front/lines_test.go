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
	b := make([]byte, 64<<10)
	for searched := 0; ; {
		if i := bytes.Index(p.held[searched:], []byte(lineEnd)); i >= 0 {
			line := string(p.held[:searched+i])
			p.held = p.held[searched+i+len(lineEnd):]
			return line, nil
		}
		searched = max(0, len(p.held)-1)
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
	// rows, and proof with the statement's ID, answer each statement that it runs.
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
		id, text, _ := strings.Cut(rest, " ")
		verb, _, _ := strings.Cut(text, " ")
		switch {
		case word == "STARTUP":
		case word != "QUERY":
			answer = []string{"ERR MALFORMED message"}
		case verb == "BEGIN":
			answer, state = []string{"DONE -"}, "T"
		case verb == "ROLLBACK":
			answer, state = []string{"DONE -"}, "I"
		case verb == "SET" || verb == "RESET" || verb == "PREPARE":
			answer = []string{"DONE -"}
		case verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT":
			for _, row := range in.rows {
				answer = append(answer, "ROW "+row)
			}
			answer = append(answer, "DONE "+in.proof+id)
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
		want := func(state, id string) []string {
			var list []string
			for _, row := range rows {
				list = append(list, "ROW "+row)
			}
			return append(list, "DONE 7.\n1f\r3"+id, "READY "+state+" -")
		}
		p := openPeer(h.Addr)
		defer p.Close()
		Convey("Single statements arrive whole, and each caller gets its own answer", func() {
			for i, data := range []string{"crpbgzawha\nxcvnz", "a\rb", "a\r", "a\n", "\n\r", "a\nQUERY 9 WRITE k c", "a\r\r"} {
				for _, verb := range []string{"WRITE k ", "READ k "} {
					id := fmt.Sprintf("i%d\n%c", i, verb[0])
					So(p.ask("QUERY "+id+" "+verb+data), ShouldResemble, want("I", id))
					So(in.linesWith(id), ShouldResemble, []string{"QUERY " + id + " " + verb + data})
				}
			}
			for _, line := range in.linesWith("QUERY 9 ") {
				So(line, ShouldStartWith, "QUERY i5\n")
			}
		})
		Convey("A transaction runs its statements whole", func() {
			So(p.ask("QUERY t1 BEGIN"), ShouldResemble, []string{"DONE -", "READY T -"})
			So(p.ask("QUERY t2 WRITE 15 crpbgzawha\nxcvnz"), ShouldResemble, want("T", "t2"))
			So(p.ask("QUERY t3 COMMIT"), ShouldResemble, want("I", "t3"))
			So(in.linesWith("t2"), ShouldResemble, []string{"QUERY t2 WRITE 15 crpbgzawha\nxcvnz"})
		})
		Convey("Session values, shapes and arguments arrive whole", func() {
			So(p.ask("QUERY s1 SET v\n1 x\ny\r"), ShouldResemble, []string{"DONE -", "READY I -"})
			So(p.ask("QUERY s2 PREPARE a\nb WRITE q\n2\r"), ShouldResemble, []string{"DONE -", "READY I -"})
			So(p.ask("QUERY s3 EXEC a\nb 1a4 x\ny\r"), ShouldResemble, want("I", "s3"))
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

// TestLongestMessagesThroughTheListener guards against limits that depend on how a message arrives.
func TestLongestMessagesThroughTheListener(t *testing.T) {
	Convey("Given a host with limits", t, func() {
		h := startHost(t, func(s *front.Server) { s.Limits.UnreadBytes = front.DefaultUnreadBytes })
		defer h.stop()
		const head = "QUERY 1 SET a "
		message := func(size int, last string) []byte {
			return []byte(head + strings.Repeat("v", size-len(head)-len(last)) + last + lineEnd)
		}
		for _, last := range []string{"v", "\r", "\n", "\n\r"} {
			Convey(fmt.Sprintf("One of the limit that ends in %q is answered, its last bytes one by one", last), func() {
				p := openPeer(h.Addr)
				defer p.Close()
				b := message(1<<20, last)
				cut := len(b) - 4
				_, err := p.Write(b[:cut])
				So(err, ShouldBeNil)
				for _, c := range b[cut:] {
					time.Sleep(2 * time.Millisecond)
					_, err := p.Write([]byte{c})
					So(err, ShouldBeNil)
				}
				list, err := p.answer()
				So(err, ShouldBeNil)
				So(list, ShouldResemble, []string{"DONE -", "READY I -"})
			})
			Convey(fmt.Sprintf("One of a byte more that ends in %q is refused", last), func() {
				p := openPeer(h.Addr)
				defer p.Close()
				_, err := p.Write(message(1<<20+1, last))
				So(err, ShouldBeNil)
				line, err := p.line()
				So(err, ShouldBeNil)
				So(line, ShouldStartWith, "ERR TOOBIG")
			})
		}
	})
}

// TestMessagesThatWaitForTheReaderAreNotParsedAgain guards against the cost of a message that waits until its
// caller has read the answers before it, while more arrives.
func TestMessagesThatWaitForTheReaderAreNotParsedAgain(t *testing.T) {
	Convey("Given a caller that does not read a large answer and sends a long message and more", t, func() {
		row := strings.Repeat("r", 1_000_000)
		in := startExactInstance(t, []string{row, row, row, row, row, row, row, row}, "7.1")
		parsed := 0
		h := startHost(t, func(s *front.Server) {
			addPrimaryWithSlots(s.Sessions.Topology, in.ln.Addr().String(), 64)
			s.Limits.UnreadBytes = 64 << 10
			parse := s.Codec.ParseMessage
			s.Codec.ParseMessage = func(b []byte) (front.Message, int, error) {
				parsed += len(b)
				return parse(b)
			}
		})
		p := openPeer(h.Addr)
		defer p.Close()
		So(p.Conn.(*net.TCPConn).SetReadBuffer(256<<10), ShouldBeNil)
		_, err := io.WriteString(p, "QUERY 1 READ a"+lineEnd)
		So(err, ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		long := "QUERY 2 SET a " + strings.Repeat("v", 900_000) + lineEnd
		_, err = io.WriteString(p, long)
		So(err, ShouldBeNil)
		for range 200 {
			_, err := io.WriteString(p, "QUERY 3 SET a b"+lineEnd)
			So(err, ShouldBeNil)
			time.Sleep(time.Millisecond)
		}
		for i := range 202 {
			list, err := p.answer()
			So(err, ShouldBeNil)
			So(list[len(list)-1], ShouldEqual, "READY I -")
			So(len(list), ShouldEqual, map[bool]int{true: 10, false: 2}[i == 0])
		}
		h.stop()
		Convey("The message is parsed a few times at most", func() {
			So(parsed, ShouldBeLessThan, 5*len(long))
		})
	})
}
