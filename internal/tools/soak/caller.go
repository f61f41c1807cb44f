package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
	"unique"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
)

const (
	// callerTimeout limits connecting to a host and waiting for an answer.
	callerTimeout = 2 * time.Second
	// statementInterval is the mean pause of a caller between two rounds of statements.
	statementInterval = 6 * time.Millisecond
	// statementsPerSession is the number of statements after which a caller reconnects to a random host.
	statementsPerSession = 40
	// splitPause is the time between two pieces of a message.
	splitPause = time.Millisecond
)

// errSessionRefused reports that a host did not answer STARTUP with READY.
var errSessionRefused = errors.New("entry host refused the session")

// errNoAnswer reports a line that has no place in an answer.
var errNoAnswer = errors.New("entry host sent a line that has no place in an answer")

// session is a caller's connection to an entry host.
type session struct {
	conn net.Conn
	r    *bufio.Reader
	// template has what the session's statements have in common.
	template Statement
	// pending are the statements without an answer, in the order in which they were sent.
	pending []Statement
	// wl records the statements that were sent, and those sent completely once they have ended.
	wl *workload
	// split, if set, returns how many of so many bytes are sent first, the others after splitPause.
	split func(n int) int
	// want, if set, is the row that the next statement's success has to hold.
	want *string
	// prepared are the shapes that were acknowledged, by name.
	prepared map[string]string
	// pause, if set, is waited for between two chunks of an answer.
	pause time.Duration
}

// openSession connects to a host and opens a session on a database, for the account of those who write to or
// read from it if the run has accounts.
func (wl *workload) openSession(host int, database, kind string) (*session, error) {
	if !wl.accounts {
		return wl.openWithKey(host, database, kind, "", "soak")
	}
	account := accountWriters
	if database == "parts" {
		account = accountReaders
	}
	return wl.openWithKey(host, database, kind, account, keyOf(account))
}

// openWithKey connects to a host and opens a session on a database with a key of an account.
func (wl *workload) openWithKey(host int, database, kind, account, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp", wl.callerAddrs[host], callerTimeout)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, template: Statement{Host: wl.hostNames[host], Caller: kind, Account: account, Key: key, OpenedAt: time.Now()}, wl: wl, prepared: map[string]string{}}
	s.r = bufio.NewReaderSize(slowReader{s}, 64<<10)
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := mimic.ReadLine(s.r)
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, errSessionRefused
	}
	return s, nil
}

// slowReader reads from the session's connection and pauses before each chunk.
type slowReader struct{ s *session }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.s.pause)
	return r.s.conn.Read(b)
}

// query sends a statement and returns its last row, its outcome as reported to the caller, and
// whether the session can still be used.
func (s *session) query(id, text string) (row string, out Outcome, usable bool) {
	if !s.send([]string{id}, text) {
		return "", MayHaveRun, false
	}
	return s.receive()
}

// send sends the same statement under each of the ids and reports whether that succeeded.
func (s *session) send(ids []string, text string) bool {
	if b, _ := s.r.Peek(s.r.Buffered()); len(s.pending) == 0 && len(b) > 0 && !bytes.HasPrefix(b, []byte("ERR ")) {
		s.wl.recordExtra(fmt.Sprintf("%s sent %q while no statement waited", s.template.Host, b))
	}
	var b strings.Builder
	var sent []Statement
	for _, id := range ids {
		fmt.Fprintf(&b, "QUERY %s %s\r\n", id, text)
		sent = append(sent, s.statement(id, text))
	}
	s.wl.recordSent(sent)
	s.want = nil
	_ = s.conn.SetDeadline(time.Now().Add(callerTimeout))
	if err := s.write(b.String()); err != nil {
		return false
	}
	now := time.Now()
	for _, st := range sent {
		st.SentAt = now
		s.pending = append(s.pending, st)
	}
	return true
}

// write sends bytes, in two pieces if split is set.
func (s *session) write(b string) error {
	if s.split != nil {
		n := s.split(len(b))
		if _, err := s.conn.Write([]byte(b[:n])); err != nil {
			return err
		}
		time.Sleep(splitPause)
		b = b[n:]
	}
	_, err := s.conn.Write([]byte(b))
	return err
}

// statement returns a statement that is about to be sent.
func (s *session) statement(id, text string) Statement {
	st := s.template
	st.ID, st.Text, st.Want = id, text, s.want
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "EXEC" {
		name, _, _ := strings.Cut(rest, " ")
		st.Shape = s.prepared[name]
	}
	if !st.InTransaction {
		st.Attempt = id
	}
	if verb == "BEGIN" {
		s.template.Attempt = id
	}
	return st
}

// receive waits for the answer to the first pending statement. It returns the answer's last row, its
// outcome, and whether the session can still be used.
func (s *session) receive() (row string, out Outcome, usable bool) {
	_ = s.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	st, ended := &s.pending[0], false
	for {
		line, err := mimic.ReadLine(s.r)
		if err != nil {
			s.endPending(err)
			return "", MayHaveRun, false
		}
		word, rest, _ := strings.Cut(line, " ")
		switch {
		case word == "ROW" && !ended:
			row = unique.Make(rest).Value()
			st.Rows = append(st.Rows, row)
		case word == "DONE" && !ended:
			out, st.Proof, ended = Acked, rest, true
		case word == "ERR" && !ended:
			out, ended = outcomeOfError(rest), true
			st.Error, _, _ = strings.Cut(rest, " ")
		case word == "READY" && ended:
			st.Outcome = out
			s.endFirst(rest)
			return row, out, !strings.HasPrefix(rest, "E")
		default:
			s.wl.recordExtra(fmt.Sprintf("%s sent %q within the answer to %s", s.template.Host, line, st.ID))
			s.endPending(errNoAnswer)
			return "", MayHaveRun, false
		}
	}
}

// endFirst records the answer to the first pending statement. state is the session's state after it.
func (s *session) endFirst(state string) {
	now := time.Now()
	st := s.pending[0]
	st.Ending, st.EndedAt = Answered, now
	s.wl.recordStatement(st)
	s.pending = s.pending[1:]
	s.template.InTransaction = !strings.HasPrefix(state, "I")
	if st.Outcome == Acked {
		s.apply(st.Text)
	}
	if len(s.pending) > 0 {
		s.pending[0].FirstAt = now
	}
}

// apply keeps what an acknowledged statement does to the session.
func (s *session) apply(text string) {
	verb, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "SET":
		s.template.Values = maps.Clone(s.template.Values)
		if s.template.Values == nil {
			s.template.Values = map[string]string{}
		}
		s.template.Values[name] = value
	case "PREPARE":
		s.prepared[name] = value
	case "CLOSE":
		delete(s.prepared, name)
	}
}

// endPending records that the pending statements get no answer.
func (s *session) endPending(err error) {
	ending := ConnectionEnded
	if e, ok := err.(net.Error); ok && e.Timeout() {
		ending = LimitReached
	}
	now := time.Now()
	for i, st := range s.pending {
		st.Ending, st.EndedAt = ending, now
		if i > 0 {
			st.FirstAt = now
		}
		s.wl.recordStatement(st)
	}
	s.pending = nil
}

// outcomeOfError returns the outcome of a write that was answered with an ERR line. text is the line
// after ERR, which begins with the error code.
func outcomeOfError(text string) Outcome {
	code, _, _ := strings.Cut(text, " ")
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "RDONLY", "WRONGNODE", "MAXCONN":
		return NotRun
	}
	return MayHaveRun
}

// workload runs the callers of a soak run and records what they observe.
type workload struct {
	// callerAddrs and hostNames are the caller addresses and the names of the entry hosts.
	callerAddrs, hostNames []string
	// stay has callers keep each connection until its host ends it, and send the next statement within
	// nextDelay.
	stay bool
	// accounts is set if callers belong to client accounts.
	accounts bool
	// initial has the items that exist from the start.
	initial map[string]string

	mu      sync.Mutex
	history History
	wg      sync.WaitGroup
}

// start starts a writer and a reader for each item. writers is the number of items.
func (wl *workload) start(ctx context.Context, seed uint64, writers int) {
	for i := range writers {
		writerRNG := rand.New(rand.NewPCG(seed, uint64(i)))
		wl.wg.Add(2)
		go func() {
			defer wl.wg.Done()
			wl.runWriter(ctx, writerRNG, i)
		}()
		readerRNG := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		go func() {
			defer wl.wg.Done()
			wl.runReader(ctx, readerRNG, i)
		}()
	}
}

// runWriter runs the only writer of item i until ctx is canceled. It writes increasing values, reads
// each one back on the same session, and moves between hosts.
func (wl *workload) runWriter(ctx context.Context, rng *rand.Rand, i int) {
	var s *session
	item := fmt.Sprint("item", i)
	for n := 1; ctx.Err() == nil; n++ {
		if s == nil || wl.moves(n) {
			s = wl.reconnect(ctx, rng, s, "notes")
		}
		if s == nil {
			continue
		}
		id := fmt.Sprintf("w%d-%d", i, n)
		_, out, ok := s.query(id, fmt.Sprintf("WRITE %s %d", item, n))
		wl.recordWrite(Write{ID: id, Item: item, Value: n, Outcome: out, AnsweredAt: time.Now()})
		if ok {
			ok = wl.readItem(s, id, item, 0, true)
		}
		if !ok {
			s.conn.Close()
			s = nil
		}
		clock.Sleep(ctx, wl.interval(rng))
	}
	if s != nil {
		s.conn.Close()
	}
}

// runReader runs a caller that reads item i, which another caller writes, until ctx is canceled. It
// switches between a database that requires current reads and one that allows staleness up to partsAge.
func (wl *workload) runReader(ctx context.Context, rng *rand.Rand, i int) {
	databases := []string{"orders", "parts"}
	maxAges := []time.Duration{0, partsAge}
	var s *session
	index := 0
	for n := 1; ctx.Err() == nil; n++ {
		if s == nil || wl.moves(n) {
			index = rng.IntN(len(databases))
			s = wl.reconnect(ctx, rng, s, databases[index])
		}
		if s != nil && !wl.readItem(s, fmt.Sprintf("r%d-%d", i, n), fmt.Sprint("item", i), maxAges[index], false) {
			s.conn.Close()
			s = nil
		}
		clock.Sleep(ctx, wl.interval(rng))
	}
	if s != nil {
		s.conn.Close()
	}
}

// moves reports whether a caller reconnects before its nth round of statements.
func (wl *workload) moves(n int) bool { return !wl.stay && n%statementsPerSession == 0 }

// interval returns a random pause between two rounds of statements.
func (wl *workload) interval(rng *rand.Rand) time.Duration {
	mean := statementInterval
	if wl.stay {
		mean = nextDelay / 2
	}
	return time.Duration(rng.Int64N(int64(2 * mean)))
}

// reconnectDelay returns the pause after a failed attempt to reconnect.
func (wl *workload) reconnectDelay() time.Duration {
	if wl.stay {
		return nextDelay
	}
	return 10 * statementInterval
}

// reconnect closes old, if set, and opens a session to a random host. It returns nil, after a
// pause, when that fails.
func (wl *workload) reconnect(ctx context.Context, rng *rand.Rand, old *session, database string) *session {
	if old != nil {
		old.conn.Close()
	}
	s, err := wl.openSession(rng.IntN(len(wl.callerAddrs)), database, kindSingle)
	if err != nil {
		clock.Sleep(ctx, wl.reconnectDelay())
		return nil
	}
	return s
}

// readItem reads an item and records the answer. It reports whether the session can still be used.
// byWriter is set for the item's writer, on the session of its latest write: if that write was
// acknowledged, the read must return it.
func (wl *workload) readItem(s *session, id, item string, maxAge time.Duration, byWriter bool) bool {
	startedAt := time.Now()
	row, out, ok := s.query(id+"r", "READ "+item)
	if out != Acked {
		return ok
	}
	value, _ := strconv.Atoi(row)
	if byWriter {
		maxAge = notesAge
	}
	wl.mu.Lock()
	defer wl.mu.Unlock()
	byWriter = byWriter && lastWriteAcked(wl.history.Writes, item)
	wl.history.Reads = append(wl.history.Reads, Read{Item: item, Value: value, StartedAt: startedAt, MaxAge: maxAge, ByWriter: byWriter})
	return ok
}

// lastWriteAcked reports whether the latest write of an item was acknowledged.
func lastWriteAcked(writes []Write, item string) bool {
	for i := len(writes) - 1; i >= 0; i-- {
		if writes[i].Item == item {
			return writes[i].Outcome == Acked
		}
	}
	return false
}

// recordWrite adds a write to the history.
func (wl *workload) recordWrite(w Write) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.history.Writes = append(wl.history.Writes, w)
}

// recordStatement adds a statement to the history.
func (wl *workload) recordStatement(st Statement) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.history.Statements = append(wl.history.Statements, st)
}

// recordSent adds statements that are about to be sent to the history.
func (wl *workload) recordSent(sent []Statement) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	if wl.history.Sent == nil {
		wl.history.Sent = map[string]Statement{}
	}
	for _, st := range sent {
		wl.history.Sent[st.ID] = st
	}
}

// recordExtra adds a description of bytes that belong to no answer to the history.
func (wl *workload) recordExtra(what string) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.history.Extra = append(wl.history.Extra, what)
}
