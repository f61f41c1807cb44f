package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pos is a log position: TERM.NUMBER.
type pos struct{ term, num uint64 }

func (p pos) less(q pos) bool {
	return p.term < q.term || p.term == q.term && p.num < q.num
}

func (p pos) String() string { return fmt.Sprintf("%d.%d", p.term, p.num) }

func parsePos(s string) pos {
	t, n, _ := strings.Cut(s, ".")
	a, _ := strconv.ParseUint(t, 10, 64)
	b, _ := strconv.ParseUint(n, 10, 64)
	return pos{a, b}
}

// write is one write of a commit. id is the request ID of the write, commit that of the COMMIT, or the same.
type write struct{ id, commit, item, data string }

// entry is one commit.
type entry struct {
	at     pos
	when   time.Time
	writes []write
}

// group is one service: a primary and its replicas.
type group struct {
	rec  *recorder
	name string
	// sync is the number of replicas that must have received a commit before it is acknowledged.
	sync int
	// onlyKnown is set if replicas receive only once a heartbeat of theirs was acknowledged.
	onlyKnown bool
	slots     int
	queue     int
	maxConns  int
	work      time.Duration
	applyLag  time.Duration
	promoteIn time.Duration

	mu   sync.Mutex
	cond *sync.Cond
	// term is the term of the primary, nil after a STEPDOWN.
	term    uint64
	primary *server
	// source is where replicas receive from: the primary, or the one that stepped down last.
	source  *server
	servers map[string]*server
	fence   uint64
	macs    atomic.Uint64
	// leaveResume, if set, tells whether a RESUME is left unanswered, to be carried out late.
	leaveResume func(s *server) bool
	// onTakeOver, if set, is called with a server that takes over. g.mu is held.
	onTakeOver func(s *server)
	// pending is the promotion under way.
	pending int
	// rolled are the commits that a promotion rolled back.
	rolled map[string]bool
	// runs has the executions by request ID.
	runs map[string][]run
}

// run is one execution of a request with an ID.
type run struct {
	server string
	at     time.Time
	text   string
	// seen is the position that the execution saw, or that its commit got.
	seen pos
}

// server is one instance.
type server struct {
	g        *group
	id, addr string
	zone     string
	// first, if set, is the control host that is called first: the one that acknowledged the last heartbeat.
	first string
	// receiveIn is how long a commit takes to arrive at a replica.
	receiveIn time.Duration

	// The fields below are guarded by g.mu.
	born int64
	up   bool
	deaf bool
	held uint64
	term uint64
	// known is set once a control host has acknowledged a heartbeat.
	known    bool
	log      []entry
	draining bool
	ln       net.Listener
	conns    map[net.Conn]bool
	inFlight int
	// late are RESUME orders that were not answered, with the time of each; they are carried out later.
	late []time.Time
	// refuse, if set, tells whether a connection from a process is dropped (a cut).
	refuse func(remote net.Addr) bool
	// leftAcked is when a control host acknowledged that the instance drains.
	leftAcked time.Time
	stop      context.CancelFunc
	slotsUsed chan struct{}
}

func newGroup(rec *recorder, name string, sync0 int) *group {
	g := &group{
		rec: rec, name: name, sync: sync0, slots: 2, queue: 16, maxConns: 16, work: 3 * time.Millisecond, applyLag: 20 * time.Millisecond, promoteIn: 600 * time.Millisecond,
		term: 1, servers: map[string]*server{}, runs: map[string][]run{}, rolled: map[string]bool{},
	}
	g.cond = sync.NewCond(&g.mu)
	return g
}

// last returns the position of the last entry that a server has received.
func (s *server) last() pos {
	if len(s.log) == 0 {
		return pos{1, 0}
	}
	return s.log[len(s.log)-1].at
}

// start starts a server with the log that it had. The first of a group is its primary.
func (g *group) start(s *server, control []string, heartbeat time.Duration) error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	s.g, s.ln, s.born, s.up, s.held, s.stop = g, ln, time.Now().UnixMilli(), true, 0, cancel
	s.conns, s.inFlight, s.slotsUsed = map[net.Conn]bool{}, 0, make(chan struct{}, g.slots)
	s.draining, s.leftAcked, s.known = false, time.Time{}, false
	g.servers[s.id] = s
	if g.primary == nil && g.term == 1 && len(g.servers) == 1 {
		g.primary, g.source, s.term = s, s, 1
	}
	if g.primary != s {
		s.trim()
	}
	g.mu.Unlock()
	go s.accept(ln)
	go s.follow(ctx)
	go s.beat(ctx, control, heartbeat)
	g.rec.note("server %s starts at %s", s.id, s.addr)
	return nil
}

// crash ends a server without a word. Its log stays.
func (s *server) crash() {
	s.g.mu.Lock()
	if !s.up {
		s.g.mu.Unlock()
		return
	}
	s.up = false
	s.stop()
	s.ln.Close()
	for c := range s.conns {
		c.Close()
	}
	s.g.cond.Broadcast()
	s.g.mu.Unlock()
	s.g.rec.note("server %s crashes", s.id)
}

// trim drops the entries that the source does not have. g.mu is held.
func (s *server) trim() {
	src := s.g.source
	if src == nil || src == s {
		return
	}
	n := 0
	for n < len(s.log) && n < len(src.log) && s.log[n].at == src.log[n].at {
		n++
	}
	if n < len(s.log) && (n < len(src.log) || src.last().term > s.last().term || s.g.primary == src) {
		s.log = s.log[:n]
	}
}

// follow receives the log of the source.
func (s *server) follow(ctx context.Context) {
	g := s.g
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		g.mu.Lock()
		src := g.source
		if s.up && !s.deaf && (s.known || !g.onlyKnown) && s.held == 0 && src != nil && src != s && src.up && g.primary != s {
			s.trim()
			now, got := time.Now(), false
			for len(s.log) < len(src.log) && now.Sub(src.log[len(s.log)].when) >= s.receiveIn {
				s.log = append(s.log, src.log[len(s.log)])
				got = true
			}
			if got {
				g.cond.Broadcast()
			}
		}
		g.mu.Unlock()
	}
}

// beat announces the server.
func (s *server) beat(ctx context.Context, control []string, every time.Duration) {
	role, said := "", false
	var last time.Time
	for seq := 1; ctx.Err() == nil; {
		s.g.mu.Lock()
		now, draining, born := "replica", s.draining, s.born
		if s.g.primary == s {
			now = "primary"
		}
		s.g.mu.Unlock()
		if now != role || draining != said || time.Since(last) >= every {
			role, last = now, time.Now()
			if s.announce(ctx, control, role, draining, born, seq) {
				said = draining
			} else {
				last = time.Now().Add(200*time.Millisecond - every)
			}
			seq++
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *server) announce(ctx context.Context, control []string, role string, draining bool, born int64, seq int) bool {
	state := "ready"
	if draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": s.g.name, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.g.slots, "state": state, "cold_left_ms": 0, "db_role": role, "seq": seq, "born": born,
	})
	for _, addr := range s.order(control) {
		if status, _ := post(ctx, "http://"+addr+"/instances/"+s.id+"/heartbeat", b); status/100 == 2 {
			s.g.mu.Lock()
			s.first, s.known = addr, true
			s.g.mu.Unlock()
			if seq == 1 {
				s.g.rec.note("server %s: first heartbeat acknowledged by %s", s.id, addr)
			}
			if draining {
				s.g.mu.Lock()
				if s.leftAcked.IsZero() {
					s.leftAcked = time.Now()
					s.g.rec.note("server %s: draining acknowledged", s.id)
				}
				s.g.mu.Unlock()
			}
			return true
		}
	}
	return false
}

// order returns the control hosts in the order in which they are called.
func (s *server) order(control []string) []string {
	var list []string
	first := s.calls()
	if first != "" {
		list = append(list, first)
	}
	for _, i := range rand.Perm(len(control)) {
		if control[i] != first {
			list = append(list, control[i])
		}
	}
	return list
}

// leave has the server announce that it drains; after linger it deregisters and ends.
func (s *server) leave(control []string, drain, linger time.Duration) {
	s.g.mu.Lock()
	s.draining = true
	s.g.mu.Unlock()
	s.g.rec.note("server %s drains", s.id)
	for range 500 {
		s.g.mu.Lock()
		acked := !s.leftAcked.IsZero()
		s.g.mu.Unlock()
		if acked {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(drain + linger)
	s.g.mu.Lock()
	b, _ := json.Marshal(map[string]any{"service": s.g.name, "born": s.born})
	s.g.mu.Unlock()
	for _, i := range rand.Perm(len(control)) {
		if status, _ := post(context.Background(), "http://"+control[i]+"/instances/"+s.id+"/deregister", b); status/100 == 2 {
			s.g.rec.note("server %s deregistered", s.id)
			break
		}
	}
	s.crash()
}

func post(ctx context.Context, url string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// promote serves POST /promote. answer tells how: "" at once, "lost" carried out without an answer.
func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if fence < g.fence || s == nil || !s.up {
		g.rec.note("promote %s fence %d: 409", id, fence)
		return 409
	}
	g.fence = fence
	g.rec.note("promote %s fence %d: 200", id, fence)
	if g.primary == s {
		return 200
	}
	g.pending++
	mine := g.pending
	time.AfterFunc(g.promoteIn, func() { g.takeOver(s, mine) })
	return 200
}

func (g *group) takeOver(s *server, mine int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if mine != g.pending || !s.up {
		return
	}
	g.rec.note("logs before %s leads: %s", s.id, g.logs())
	g.term++
	g.primary, g.source = s, s
	s.term, s.held = g.term, 0
	g.rec.note("server %s leads term %d with %s (%d commits)", s.id, g.term, s.last(), len(s.log))
	for _, o := range g.servers {
		for _, e := range o.log {
			if !s.has(e) {
				g.rolled[e.writes[0].commit] = true
			}
		}
	}
	if g.onTakeOver != nil {
		g.onTakeOver(s)
	}
	for _, o := range g.servers {
		if o == s {
			continue
		}
		if o.held <= g.term {
			o.held = 0
		}
		if o.up {
			o.term = g.term
			o.trim()
		}
	}
	g.cond.Broadcast()
}

// The span after which an order that was left unanswered is carried out.
const (
	lateFrom = 2 * time.Second
	lateTo   = 12 * time.Second
	// lateHold is how long after a PAUSE one of them is carried out.
	lateHold = 400 * time.Millisecond
)

// carryOutLate has one RESUME that was left unanswered carried out shortly, if that is within its span. g.mu is held.
func (s *server) carryOutLate() {
	for i, at := range s.late {
		if due := time.Since(at) + lateHold; due >= lateFrom && due <= lateTo {
			s.late = append(s.late[:i], s.late[i+1:]...)
			time.AfterFunc(lateHold, func() {
				s.g.mu.Lock()
				defer s.g.mu.Unlock()
				s.g.rec.note("server %s carries out a RESUME of %.1f s ago at %s", s.id, time.Since(at).Seconds(), s.last())
				s.held = 0
			})
			return
		}
	}
}

// logs returns the ends of the logs of all servers. g.mu is held.
func (g *group) logs() string {
	var list []string
	for _, o := range g.servers {
		list = append(list, fmt.Sprintf("%s %s", o.id, o.last()))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		refuse := s.refuse
		s.g.mu.Unlock()
		go func() {
			if refuse != nil && refuse(c.RemoteAddr()) {
				// A cut: nothing is answered.
				time.Sleep(5 * time.Second)
				c.Close()
				return
			}
			s.serve(c)
		}()
	}
}

// session is one connection.
type session struct {
	s        *server
	w        *bufio.Writer
	values   map[string]string
	prepared map[string]string
	tx, ro   bool
	failed   bool
	writes   []write
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	w := bufio.NewWriter(c)
	line, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.SplitN(line, " ", 4)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != s.g.name || len(f) > 3 && f[3] != s.id {
		fmt.Fprintf(w, "ERR WRONGNODE %s\r\n", s.id)
		w.Flush()
		return
	}
	s.g.mu.Lock()
	if !s.up || len(s.conns) >= s.g.maxConns {
		s.g.mu.Unlock()
		fmt.Fprintf(w, "ERR MAXCONN %s\r\n", s.id)
		w.Flush()
		return
	}
	s.conns[c] = true
	s.g.mu.Unlock()
	defer func() {
		s.g.mu.Lock()
		delete(s.conns, c)
		s.g.mu.Unlock()
	}()
	time.Sleep(2 * time.Millisecond)
	x := &session{s: s, w: w, values: map[string]string{}, prepared: map[string]string{}}
	x.ready()
	if w.Flush() != nil {
		return
	}
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		if !x.query(f[1], f[2]) || w.Flush() != nil {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (x *session) ready() {
	x.s.g.mu.Lock()
	defer x.s.g.mu.Unlock()
	x.readyLocked()
}

func (x *session) readyLocked() {
	st := "I"
	if x.tx {
		st = "T"
	}
	if x.failed {
		st = "E"
	}
	fmt.Fprintf(x.w, "READY %s %s\r\n", st, x.s.visible())
}

// visible returns the position that reads see. g.mu is held.
func (s *server) visible() pos {
	n := s.applied()
	if n == 0 {
		return pos{1, 0}
	}
	return s.log[n-1].at
}

// applied returns the number of entries that reads see. g.mu is held.
func (s *server) applied() int {
	n := len(s.log)
	if s.g.primary != s {
		for n > 0 && time.Since(s.log[n-1].when) < s.g.applyLag {
			n--
		}
	}
	return n
}

func (x *session) errLocked(code string) bool {
	if x.tx && code != "BUSY" {
		x.failed = true
	}
	fmt.Fprintf(x.w, "ERR %s %s\r\n", code, x.s.id)
	x.readyLocked()
	return true
}

func (x *session) done(rows ...string) bool {
	for _, row := range rows {
		fmt.Fprintf(x.w, "ROW %s\r\n", row)
	}
	fmt.Fprintf(x.w, "DONE %s.%d.%x\r\n", x.s.id, x.s.g.macs.Add(1), rand.Uint64())
	x.readyLocked()
	return true
}

func (x *session) plain() bool {
	fmt.Fprintf(x.w, "DONE -\r\n")
	x.readyLocked()
	return true
}

// query runs one request. It returns false if the connection breaks off.
func (x *session) query(id, text string) bool {
	s, g := x.s, x.s.g
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	slot := verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT" || verb == "STAT"
	if id != "-" {
		g.rec.request("arrived  %s at %s: %s", id, s.id, text)
		g.mu.Lock()
		g.runs[id] = append(g.runs[id], run{server: s.id, at: time.Now(), text: text})
		late := !s.leftAcked.IsZero() && !x.tx
		since := time.Since(s.leftAcked)
		g.mu.Unlock()
		if late {
			g.rec.afterLeaving(s.id, id, since)
		}
	}
	if slot {
		g.mu.Lock()
		full := s.inFlight >= g.slots+g.queue
		if !full {
			s.inFlight++
		}
		busy := s.slotsUsed
		g.mu.Unlock()
		if full {
			g.mu.Lock()
			defer g.mu.Unlock()
			return x.errLocked("BUSY")
		}
		busy <- struct{}{}
		if verb != "STAT" {
			time.Sleep(g.work)
		}
		defer func() {
			<-busy
			g.mu.Lock()
			s.inFlight--
			g.mu.Unlock()
		}()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up {
		return false
	}
	if x.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return x.errLocked("MALFORMED")
	}
	if after != "" && s.visible().less(parsePos(after)) {
		return x.errLocked("LAGGING")
	}
	if x.tx && !x.ro && g.primary != s && verb != "ROLLBACK" && (verb != "COMMIT" || len(x.writes) > 0) {
		return x.errLocked("RDONLY")
	}
	switch verb {
	case "BEGIN":
		if rest == "" && g.primary != s {
			return x.errLocked("RDONLY")
		}
		x.tx, x.ro, x.writes = true, rest != "", nil
		return x.plain()
	case "ROLLBACK":
		x.tx, x.failed, x.writes = false, false, nil
		return x.plain()
	case "RESET":
		x.values, x.prepared = map[string]string{}, map[string]string{}
		return x.plain()
	case "SET":
		n, v, _ := strings.Cut(rest, " ")
		x.values[n] = v
		return x.plain()
	case "PREPARE":
		n, v, _ := strings.Cut(rest, " ")
		x.prepared[n] = v
		return x.plain()
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		return x.admin(verb, rest)
	case "COMMIT":
		if !x.tx || x.failed {
			x.tx, x.failed, x.writes = false, false, nil
			return x.errLocked("MALFORMED")
		}
		writes := x.writes
		x.tx, x.writes = false, nil
		if len(writes) == 0 {
			return x.done()
		}
		for i := range writes {
			writes[i].commit = id
		}
		return x.commit(writes)
	case "EXEC":
		n, args, _ := strings.Cut(rest, " ")
		shape, ok := x.prepared[n]
		if !ok {
			return x.errLocked("NOSTMT")
		}
		kind, _, _ := strings.Cut(shape, " ")
		verb, rest = kind, args
	}
	item, data, _ := strings.Cut(rest, " ")
	switch verb {
	case "READ":
		if list := g.runs[id]; len(list) > 0 {
			list[len(list)-1].seen = s.visible()
		}
		return x.done(x.value(item))
	case "WRITE":
		if g.primary != s || x.tx && x.ro {
			return x.errLocked("RDONLY")
		}
		w := write{id, id, item, data}
		if x.tx {
			x.writes = append(x.writes, w)
			return x.done()
		}
		return x.commit([]write{w})
	}
	return x.errLocked("MALFORMED")
}

// value returns an item's value. g.mu is held.
func (x *session) value(item string) string {
	for i := len(x.writes) - 1; i >= 0; i-- {
		if x.writes[i].item == item {
			return x.writes[i].data
		}
	}
	log := x.s.log[:x.s.applied()]
	for i := len(log) - 1; i >= 0; i-- {
		for j := len(log[i].writes) - 1; j >= 0; j-- {
			if log[i].writes[j].item == item {
				return log[i].writes[j].data
			}
		}
	}
	return "none"
}

// commit appends an entry and answers once enough replicas have received it. It breaks off if the server loses
// the lead before. g.mu is held.
func (x *session) commit(writes []write) bool {
	s, g := x.s, x.s.g
	e := entry{at: pos{g.term, s.last().num + 1}, when: time.Now(), writes: writes}
	s.log = append(s.log, e)
	g.rec.request("commit   %s at %s: %s", writes[0].commit, s.id, e.at)
	if list := g.runs[writes[0].commit]; len(list) > 0 {
		list[len(list)-1].seen = e.at
	}
	term := g.term
	for {
		n := 0
		for _, o := range g.servers {
			if o != s && o.up && len(o.log) > 0 && !o.last().less(e.at) && o.last().term >= e.at.term {
				n++
			}
		}
		if g.primary != s || g.term != term || !s.up {
			return false
		}
		if n >= g.sync {
			return x.done()
		}
		g.cond.Wait()
	}
}

// admin runs a status request. g.mu is held.
func (x *session) admin(verb, rest string) bool {
	s, g := x.s, x.s.g
	t, _ := strconv.ParseUint(rest, 10, 64)
	switch verb {
	case "PAUSE":
		if t > g.term && g.primary != s {
			if s.held != t {
				g.rec.note("server %s is held at %s", s.id, s.last())
				s.carryOutLate()
			}
			s.held = t
		}
	case "RESUME":
		if g.leaveResume != nil && g.leaveResume(s) {
			s.late = append(s.late, time.Now())
			g.rec.note("server %s leaves a RESUME unanswered", s.id)
			return false
		}
		if s.held != 0 {
			g.rec.note("server %s is resumed at %s", s.id, s.last())
		}
		s.held = 0
	case "STEPDOWN":
		if g.primary == s && s.term < t {
			g.primary = nil
			g.rec.note("server %s steps down at %s", s.id, s.last())
			g.cond.Broadcast()
		}
	}
	role := "replica"
	if g.primary == s {
		role = "primary"
	}
	fmt.Fprintf(x.w, "ROW %s %d %s %d 0 %d %d\r\n", role, s.term, s.last(), s.held, s.inFlight, len(s.conns))
	return x.plain()
}

// has reports whether a server's log has an entry. g.mu is held.
func (s *server) has(e entry) bool {
	i := int(e.at.num) - 1
	return i < len(s.log) && s.log[i].at == e.at
}
