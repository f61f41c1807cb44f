package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/platform"
)

// stutterer is an instance that keeps to the wire, except that it may send an earlier answer again.
type stutterer struct {
	ln net.Listener
	// promises has the IDs of the writes of which the test was told that nothing is kept.
	promises []string

	mu sync.Mutex
	// refusal returns the code with which a statement is refused, or "". before and after return what is sent
	// again before and after the answer to it, of the answers that its connection had by then, the greeting first.
	refusal func(text string) string
	// hold reports whether an answer before which another one was sent again is sent only with the next one.
	hold func(text string) bool
	// mute makes the instance only send answers again, and close the connection if there are none.
	mute          bool
	before, after func(text string, given []string) []string
	// ran has the texts of the statements that ran by ID, and proofs the ID of each proof. kept has the IDs of
	// the writes that took effect.
	ran, proofs map[string]string
	kept        map[string]bool
	position    int
	conns       []*stutteringConn
}

// stutteringConn is a connection to a stutterer.
type stutteringConn struct {
	net.Conn
	given    []string
	inTx     bool
	failed   bool
	held     string
	pending  []string
	prepared map[string]bool
}

// startStutterer starts an instance and a pool of connections to it.
func startStutterer(t *testing.T) (*stutterer, *pool.Pool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &stutterer{ln: ln, ran: map[string]string{}, proofs: map[string]string{}, kept: map[string]bool{}, position: 10}
	go s.accept()
	p := &pool.Pool{
		Group: "g", Instance: "i", Addr: ln.Addr().String(), Slots: 2, Codec: platform.BackendCodec(), Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	p.SetConnLimits(90, 60)
	t.Cleanup(func() {
		p.Shutdown()
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			c.Close()
		}
	})
	return s, p
}

func (s *stutterer) accept() {
	for {
		raw, err := s.ln.Accept()
		if err != nil {
			return
		}
		c := &stutteringConn{Conn: raw, prepared: map[string]bool{}}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *stutterer) serve(c *stutteringConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		s.answer(c, strings.TrimSuffix(line, "\r\n"))
		s.mu.Unlock()
	}
}

// answer answers a line, and sends what is sent again. The caller holds mu.
func (s *stutterer) answer(c *stutteringConn, line string) {
	word, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	var again []string
	a := ""
	if word == "STARTUP" {
		text = word
	}
	if s.before != nil {
		again = s.before(text, c.given)
	}
	if word != "STARTUP" {
		a = s.run(c, id, text)
	}
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	a += fmt.Sprintf("READY %s 1.%d\r\n", state, s.position)
	if s.mute {
		_, _ = c.Write([]byte(strings.Join(again, "")))
		if len(again) == 0 {
			c.Close()
		}
		return
	}
	if s.hold != nil && len(again) > 0 && s.hold(text) {
		_, _ = c.Write([]byte(c.held + strings.Join(again, "")))
		c.given, c.held = append(c.given, a), a
		return
	}
	again = append([]string{c.held}, append(again, a)...)
	c.held = ""
	c.given = append(c.given, a)
	if s.after != nil {
		again = append(again, s.after(text, c.given)...)
	}
	_, _ = c.Write([]byte(strings.Join(again, "")))
}

// run runs a statement and returns its answer up to the state.
func (s *stutterer) run(c *stutteringConn, id, text string) string {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	code := ""
	if s.refusal != nil {
		code = s.refusal(text)
	}
	words := strings.Split(text, " ")
	if words[0] == "EXEC" && !c.prepared[words[1]] {
		code = "NOSTMT"
	}
	if c.failed && words[0] != "ROLLBACK" || words[0] == "COMMIT" && !c.inTx {
		code = "MALFORMED"
	}
	if code != "" {
		c.failed = c.inTx
		return "ERR " + code + " i\r\n"
	}
	switch words[0] {
	case "BEGIN":
		c.inTx = true
		return "DONE -\r\n"
	case "ROLLBACK":
		c.inTx, c.failed, c.pending = false, false, nil
		return "DONE -\r\n"
	case "PREPARE":
		c.prepared[words[1]] = true
		return "DONE -\r\n"
	case "RESET":
		clear(c.prepared)
		return "DONE -\r\n"
	case "SET":
		return "DONE -\r\n"
	case "COMMIT":
		s.keep(c.pending)
		c.inTx, c.pending = false, nil
	case "WRITE", "EXEC":
		if c.inTx {
			c.pending = append(c.pending, id)
		} else {
			s.keep([]string{id})
		}
	}
	proof := fmt.Sprintf("i.%d", len(s.proofs))
	s.ran[id], s.proofs[proof] = text, id
	return "ROW of-" + id + "\r\nDONE " + proof + "\r\n"
}

// keep commits writes. The caller holds mu.
func (s *stutterer) keep(ids []string) {
	for _, id := range ids {
		s.kept[id] = true
		s.position++
	}
}

// isKept reports whether a write took effect.
func (s *stutterer) isKept(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept[id]
}

// set sets what the instance refuses and sends again.
func (s *stutterer) set(refusal func(string) string, before, after func(string, []string) []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal, s.before, s.after = refusal, before, after
}

// setMute sets whether the instance gives no answers of its own.
func (s *stutterer) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
}

// setHold sets which answers are held back.
func (s *stutterer) setHold(hold func(string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// sendAgain sends the last answer of each connection again.
func (s *stutterer) sendAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if n := len(c.given); n > 0 {
			_, _ = c.Write([]byte(c.given[n-1]))
		}
	}
}

// executed reports whether the statement with the ID ran.
func (s *stutterer) executed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id] != ""
}

// owner returns the ID of the statement to which a proof belongs.
func (s *stutterer) owner(proof string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofs[proof]
}

// mostAnswers returns the largest number of answers on a connection, the greeting included.
func (s *stutterer) mostAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		n = max(n, len(c.given))
	}
	return n
}

// moveOn makes the position one that later answers have.
func (s *stutterer) moveOn(n int) token.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position += n
	return token.Position{Term: 1, Position: uint64(s.position)}
}

// refuse returns a function that refuses the statements that begin with a prefix.
func refuse(prefix, code string) func(string) string {
	return func(text string) string {
		if strings.HasPrefix(text, prefix) {
			return code
		}
		return ""
	}
}

// again returns a function that sends the answers first to last of the connection again, for the first statement
// that begins with a prefix. The greeting is answer 0.
func again(prefix string, first, last int) func(string, []string) []string {
	done := false
	return func(text string, given []string) []string {
		if done || !strings.HasPrefix(text, prefix) || len(given) <= last {
			return nil
		}
		done = true
		return given[first : last+1]
	}
}

// take gets a connection.
func take(p *pool.Pool) pool.Handle {
	h, err := p.NewHandle(context.Background(), time.Second, pool.Priority{Rank: 2, Database: "d"})
	So(err, ShouldBeNil)
	return h
}

// told is what a caller is told of a statement.
type told struct {
	flow.Answer
	verdict flow.Verdict
}

// ok reports whether the caller is told of success.
func (a told) ok() bool { return a.verdict == flow.Verdict{} }

// promised reports whether the caller is told, or may conclude, that the statement had no effect.
func (a told) promised() bool {
	return !a.ok() && (a.verdict.Retry || a.verdict.Code.GuaranteesNoEffect())
}

// run runs a request on a handle as a session does: an error closes it.
func run(h pool.Handle, values flow.Values, req flow.Request, effect flow.Effect, last bool) told {
	a, stage, err := h.Run(time.Second, values, req, last)
	switch {
	case err != nil:
		return told{a, flow.VerdictFor(stage, effect, flow.OK)}
	case a.Code != flow.OK:
		return told{a, flow.VerdictFor(stage, effect, a.Code)}
	}
	return told{Answer: a}
}

// write and read return requests of callers.
func write(id string) flow.Request {
	return flow.Request{ID: id, Text: "WRITE k " + id, Writes: true}
}

func read(id string) flow.Request { return flow.Request{ID: id, Text: "READ k"} }

// alone runs a request outside of a transaction on a connection of its own use.
func alone(p *pool.Pool, req flow.Request) told { return aloneWith(p, flow.Values{}, req) }

func aloneWith(p *pool.Pool, values flow.Values, req flow.Request) told {
	effect := flow.Reads
	if req.Writes {
		effect = flow.Writes
	}
	h := take(p)
	a := run(h, values, req, effect, true)
	if a.ok() {
		h.Release()
	} else {
		h.Close()
	}
	return a
}
