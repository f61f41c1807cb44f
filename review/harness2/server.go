package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// position is a place in an instance's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

// entry is one commit that writes.
type entry struct {
	at       position
	received time.Time
	// ids are those of the writes.
	ids    []string
	values map[string]string
}

// database is a service of one primary and its replicas.
type database struct {
	play *play
	name string
	sync int
	// delay is how long a commit takes to a replica, and promotion how long a promote takes.
	delay, promotion time.Duration
	// bulk are the rows of the item "bulk".
	bulk []string

	mu      sync.Mutex
	cond    *sync.Cond
	term    uint64
	primary *instance
	// source is the instance that leads, or has led last: replicas receive from it.
	source    *instance
	instances map[string]*instance
	fence     uint64
	proofs    int
	// ran has the ids of the reads that an instance has run.
	ran    map[string]bool
	closed bool
	// onPromote is called with the instance that has begun to lead. mu is held.
	onPromote func(in *instance)
}

// instance is one server of the database.
type instance struct {
	db   *database
	id   string
	addr string
	ln   net.Listener
	born int64
	seq  atomic.Int64

	log []entry
	// held is the term that a PAUSE has named; 0 if the instance receives.
	held uint64
	// deaf is set while it receives nothing, and down while it has crashed or ended.
	deaf, down bool
	draining   bool
	// drainAcked is when a heartbeat that says draining was acknowledged.
	drainAcked time.Time
	conns      map[net.Conn]bool
	runs       int
}

const maxConns = 30

func newDatabase(p *play, name string, syncReplicas int) *database {
	db := &database{play: p, name: name, sync: syncReplicas, delay: 20 * time.Millisecond, promotion: 600 * time.Millisecond, term: 1, instances: map[string]*instance{}, ran: map[string]bool{}}
	db.cond = sync.NewCond(&db.mu)
	go db.replicate()
	return db
}

// add starts an instance. The first one is the primary. Another one has the log that is given.
func (db *database) add(id, address string, log []entry) (*instance, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	in := &instance{db: db, id: id, addr: address, ln: ln, born: time.Now().UnixMilli(), log: log, conns: map[net.Conn]bool{}}
	db.mu.Lock()
	if db.primary == nil {
		db.primary, db.source = in, in
	}
	db.instances[id] = in
	db.mu.Unlock()
	go in.accept(ln)
	go in.beat()
	return in, nil
}

func (db *database) close() {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.closed = true
	for _, in := range db.instances {
		in.stop()
	}
	db.cond.Broadcast()
}

// stop closes the listener and all connections. mu must be held.
func (in *instance) stop() {
	in.down = true
	in.ln.Close()
	for c := range in.conns {
		c.Close()
	}
	in.db.cond.Broadcast()
}

// crash ends the instance without a word.
func (in *instance) crash() {
	in.db.mu.Lock()
	defer in.db.mu.Unlock()
	in.stop()
}

// comeBack starts a crashed instance again with its log.
func (in *instance) comeBack() error {
	ln, err := net.Listen("tcp", in.addr)
	if err != nil {
		return err
	}
	in.db.mu.Lock()
	in.ln, in.down, in.held = ln, false, 0
	in.db.mu.Unlock()
	go in.accept(ln)
	return nil
}

func (in *instance) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		in.db.mu.Lock()
		if in.down {
			in.db.mu.Unlock()
			c.Close()
			continue
		}
		full := len(in.conns) >= maxConns
		if !full {
			in.conns[c] = true
		}
		in.db.mu.Unlock()
		go func() {
			in.serve(c, full)
			c.Close()
			in.db.mu.Lock()
			delete(in.conns, c)
			in.db.mu.Unlock()
		}()
	}
}

// last returns the position of the last entry. mu must be held.
func (in *instance) last() position {
	if len(in.log) == 0 {
		return position{term: 1}
	}
	return in.log[len(in.log)-1].at
}

// replicate passes commits on to the replicas.
func (db *database) replicate() {
	for {
		time.Sleep(2 * time.Millisecond)
		db.mu.Lock()
		if db.closed {
			db.mu.Unlock()
			return
		}
		for _, in := range db.instances {
			db.pass(in)
		}
		db.cond.Broadcast()
		db.mu.Unlock()
	}
}

// pass gives a replica what it may receive now. mu must be held.
func (db *database) pass(in *instance) {
	lead := db.source
	if lead == nil || lead == in || lead.down || in.down || in.deaf || in.held > db.term {
		return
	}
	same := 0
	for same < len(in.log) && same < len(lead.log) && in.log[same].at == lead.log[same].at {
		same++
	}
	in.log = in.log[:same]
	for _, e := range lead.log[same:] {
		if time.Since(e.received) < db.delay {
			break
		}
		in.log = append(in.log, e)
	}
}

// copies returns how many replicas have an entry. mu must be held.
func (db *database) copies(at position) int {
	n := 0
	for _, in := range db.instances {
		if in != db.primary && !in.down && int(at.number) <= len(in.log) && in.log[at.number-1].at == at {
			n++
		}
	}
	return n
}

// commit appends writes to the log of the primary and waits for its replicas. It returns false if there will be
// no acknowledgment. mu must be held.
func (db *database) commit(in *instance, ids []string, values map[string]string) bool {
	e := entry{at: position{db.term, uint64(len(in.log)) + 1}, received: time.Now(), ids: ids, values: values}
	in.log = append(in.log, e)
	for db.copies(e.at) < db.sync {
		if in.down || db.primary != in || db.closed {
			return false
		}
		db.cond.Wait()
	}
	return !in.down && db.primary == in
}

// promote is the platform's call. It returns the status of the response.
func (db *database) promote(id string, fence uint64) int {
	db.mu.Lock()
	defer db.mu.Unlock()
	in := db.instances[id]
	if fence < db.fence || in == nil || in.down {
		return http.StatusConflict
	}
	db.fence = fence
	if in == db.primary {
		return http.StatusOK
	}
	time.AfterFunc(db.promotion, func() {
		db.mu.Lock()
		defer db.mu.Unlock()
		if in.down || db.fence != fence {
			return
		}
		db.term++
		db.primary, db.source = in, in
		for _, other := range db.instances {
			other.held = 0
		}
		db.play.record("%s leads term %d from %s", in.id, db.term, in.last())
		if db.onPromote != nil {
			db.onPromote(in)
		}
		db.cond.Broadcast()
	})
	return http.StatusOK
}

// beat sends heartbeats until the instance ends; a crashed one says nothing.
func (in *instance) beat() {
	role := ""
	for next := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		in.db.mu.Lock()
		now := "replica"
		if in.db.primary == in {
			now = "primary"
		}
		down, closed := in.down, in.db.closed
		state := "ready"
		if in.draining {
			state = "draining"
		}
		waitsForAck := in.draining && in.drainAcked.IsZero()
		in.db.mu.Unlock()
		if closed {
			return
		}
		if down || time.Now().Before(next) && now == role && !waitsForAck {
			continue
		}
		role, next = now, time.Now().Add(heartbeatInterval)
		if in.say("heartbeat", state, role) && state == "draining" {
			in.db.mu.Lock()
			if in.drainAcked.IsZero() {
				in.drainAcked = time.Now()
			}
			in.db.mu.Unlock()
		}
	}
}

// say sends a heartbeat or deregister to the first host that answers, and reports whether one did.
func (in *instance) say(call, state, role string) bool {
	b, err := json.Marshal(map[string]any{
		"service": in.db.name, "addr": in.addr, "zone": "kingston", "version": "v1", "slots": 2, "state": state, "cold_left_ms": 0,
		"db_role": role, "seq": in.seq.Add(1), "born": in.born,
	})
	if err != nil {
		return false
	}
	for _, a := range in.db.play.controlAddrs() {
		if post("http://"+a+"/instances/"+in.id+"/"+call, b) == nil {
			return true
		}
	}
	return false
}

// session is one connection to an instance.
type session struct {
	in       *instance
	w        *bufio.Writer
	inTx     bool
	failed   bool
	readOnly bool
	ids      []string
	values   map[string]string
	prepared map[string]string
}

func (s *session) line(format string, args ...any) { fmt.Fprintf(s.w, format+"\r\n", args...) }

func (s *session) ready() {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTx:
		state = "T"
	}
	s.line("READY %s %s", state, s.in.last())
}

func (s *session) fail(code string) {
	s.failed = s.inTx
	s.line("ERR %s %s", code, s.in.id)
	s.ready()
}

func (s *session) done(proof bool) {
	if proof {
		s.in.db.proofs++
		s.in.runs++
		s.line("DONE %x.%s", s.in.db.proofs, s.in.id)
	} else {
		s.line("DONE -")
	}
	s.ready()
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

func (in *instance) serve(c net.Conn, full bool) {
	r := bufio.NewReaderSize(c, 64<<10)
	s := &session{in: in, w: bufio.NewWriterSize(c, 64<<10), prepared: map[string]string{}}
	line, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	switch {
	case f[0] != "STARTUP" || len(f) < 3 || f[1] != in.db.name || len(f) > 3 && f[3] != in.id:
		s.line("ERR WRONGNODE %s", in.id)
		s.w.Flush()
		return
	case full:
		s.line("ERR MAXCONN %s", in.id)
		s.w.Flush()
		return
	}
	in.db.mu.Lock()
	s.ready()
	in.db.mu.Unlock()
	for s.w.Flush() == nil {
		line, err := readLine(r)
		if err != nil {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}
		_, text := cutAfter(f[2])
		if verb, _, _ := strings.Cut(text, " "); verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT" {
			time.Sleep(3 * time.Millisecond)
		}
		in.db.mu.Lock()
		answered := !in.down && s.run(f[1], f[2])
		in.db.mu.Unlock()
		if !answered {
			return
		}
	}
}

// cutAfter returns the position that a text names with AFTER, and the text without it.
func cutAfter(text string) (position, string) {
	rest, ok := strings.CutPrefix(text, "AFTER ")
	if !ok {
		return position{}, text
	}
	at, text, _ := strings.Cut(rest, " ")
	term, number, _ := strings.Cut(at, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return position{t, n}, text
}

// run runs one query and writes its answer. It returns false if the connection ends without one. mu must be held.
func (s *session) run(id, text string) bool {
	in, db := s.in, s.in.db
	after, text := cutAfter(text)
	verb, rest, _ := strings.Cut(text, " ")
	leads := db.primary == in
	switch {
	case s.failed && verb != "ROLLBACK" && verb != "COMMIT":
		s.fail("MALFORMED")
		return true
	case in.last().before(after):
		s.fail("LAGGING")
		return true
	case s.inTx && !s.readOnly && !leads && verb != "ROLLBACK" && (verb != "COMMIT" || len(s.ids) > 0):
		s.fail("RDONLY")
		return true
	}
	switch verb {
	case "BEGIN":
		if rest == "" && !leads {
			s.fail("RDONLY")
			return true
		}
		s.inTx, s.readOnly, s.ids, s.values = true, rest != "", nil, map[string]string{}
	case "ROLLBACK":
		s.inTx, s.failed = false, false
	case "COMMIT":
		ids, values, failed := s.ids, s.values, s.failed
		s.inTx, s.failed, s.ids = false, false, nil
		if failed {
			s.fail("ABORTED")
			return true
		}
		if len(ids) > 0 && !db.commit(in, ids, values) {
			return false
		}
		s.done(true)
		return true
	case "RESET":
		s.prepared = map[string]string{}
	case "SET":
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "CLOSE":
		delete(s.prepared, rest)
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		s.order(verb, rest)
		return true
	case "READ":
		s.read(id, rest)
		return true
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return s.write(id, item, data)
	case "EXEC":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			s.fail("NOSTMT")
			return true
		}
		if strings.HasPrefix(shape, "READ") {
			s.read(id, args)
			return true
		}
		item, data, _ := strings.Cut(args, " ")
		return s.write(id, item, data)
	default:
		s.fail("MALFORMED")
		return true
	}
	s.done(false)
	return true
}

// order carries out an order of the system and answers with the status row.
func (s *session) order(verb, rest string) {
	in, db := s.in, s.in.db
	term, _ := strconv.ParseUint(rest, 10, 64)
	in.obey(verb, term)
	role := "replica"
	if db.primary == in {
		role = "primary"
	}
	s.line("ROW %s %d %s %d %d %d %d", role, db.term, in.last(), in.held, 0, 0, len(in.conns))
	s.done(false)
}

// obey carries out an order. mu must be held.
func (in *instance) obey(verb string, term uint64) {
	db := in.db
	switch verb {
	case "PAUSE":
		if term > db.term && db.primary != in {
			in.held = term
		}
	case "RESUME":
		in.held = 0
	case "STEPDOWN":
		if db.primary == in && term > db.term {
			db.primary = nil
			db.cond.Broadcast()
		}
	}
}

func (s *session) read(id, item string) {
	s.in.db.ran[id] = true
	if item == "bulk" {
		for _, row := range s.in.db.bulk {
			s.line("ROW %s", row)
		}
		s.done(true)
		return
	}
	value, ok := s.values[item]
	for i := len(s.in.log) - 1; i >= 0 && !ok; i-- {
		value, ok = s.in.log[i].values[item]
	}
	if ok {
		s.line("ROW %s", value)
	}
	s.done(true)
}

func (s *session) write(id, item, data string) bool {
	if s.in.db.primary != s.in || s.readOnly && s.inTx {
		s.fail("RDONLY")
		return true
	}
	if s.inTx {
		s.ids = append(s.ids, id)
		s.values[item] = data
	} else if !s.in.db.commit(s.in, []string{id}, map[string]string{item: data}) {
		return false
	}
	s.done(true)
	return true
}
