package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a position in an instance's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

func parsePosition(s string) position {
	t, n, _ := strings.Cut(s, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return position{term, number}
}

// entry is a commit that wrote.
type entry struct {
	at position
	// commit is the id of the COMMIT or of the single write.
	commit string
	when   time.Time
	writes map[string]string
}

// Group is a service with its instances.
type Group struct {
	Name string
	// Sync is the number of replicas that must have received a commit before it is acknowledged.
	Sync int
	// Lag is the time after which a replica applies a commit, PromoteDelay the time that a promotion
	// takes, WorkTime the time of a read, write or commit.
	Lag, PromoteDelay, WorkTime time.Duration
	MaxConns, Slots             int
	// Rows, if set, returns the rows of a read.
	Rows func(item string) []string

	rig       *Rig
	mu        sync.Mutex
	changed   *sync.Cond
	term      uint64
	primary   *Instance
	instances []*Instance
	fence     uint64
	// ran has the time at which an instance began to run a request, by its id.
	ran map[string]time.Time
}

// Instance is one server of a group.
type Instance struct {
	ID, Addr, Zone string

	group *Group
	born  int64
	seq   int
	ln    net.Listener
	beat  chan struct{}
	log   []entry
	// heldTerm is the term of PAUSE: commits of primaries of lower terms are not received.
	heldTerm uint64
	draining bool
	// cut is set while the instance is partitioned from all machines of the system; cutEnds is closed
	// when that ends.
	cut     bool
	cutEnds chan struct{}
	// deaf is set while the instance receives no commits, crashed once it is down.
	deaf, crashed bool
	conns         map[net.Conn]bool
	slots         chan struct{}
}

// NewGroup returns a group without instances.
func (r *Rig) NewGroup(name string, syncReplicas int) *Group {
	g := &Group{
		Name: name, Sync: syncReplicas, Lag: 20 * time.Millisecond, PromoteDelay: 600 * time.Millisecond, WorkTime: 3 * time.Millisecond,
		MaxConns: 16, Slots: 2, rig: r, term: 1, ran: map[string]time.Time{},
	}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Database returns the name of the group's database.
func (g *Group) Database() string { return "db-" + g.Name }

// Member returns the instance that was started as number i, from 0.
func (g *Group) Member(i int) *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[i]
}

// Start adds an instance at the address with the given last number in the subnet. The first one is the
// primary; a later one starts as a replica with the primary's log.
func (g *Group) Start(id string, host int, zone string) (*Instance, error) {
	in := &Instance{
		ID: id, Addr: g.rig.addr(host, PortInstance), Zone: zone, group: g, born: time.Now().UnixMilli(), beat: make(chan struct{}, 1), conns: map[net.Conn]bool{},
		slots: make(chan struct{}, g.Slots),
	}
	ln, err := net.Listen("tcp", in.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCannotRun, err)
	}
	in.ln = ln
	g.mu.Lock()
	if g.primary == nil {
		g.primary = in
		in.log = []entry{{at: position{1, 1}, commit: "initial"}}
	} else {
		in.log = g.primary.log[:len(g.primary.log):len(g.primary.log)]
	}
	g.instances = append(g.instances, in)
	g.mu.Unlock()
	go in.accept()
	go in.heartbeats()
	return in, nil
}

// end returns the position of the last commit that the instance has received. The caller holds mu.
func (in *Instance) end() position { return in.log[len(in.log)-1].at }

// applied returns the log that reads see. The caller holds mu.
func (in *Instance) applied() []entry {
	n := len(in.log)
	if in.group.primary != in {
		for n > 1 && time.Since(in.log[n-1].when) < in.group.Lag {
			n--
		}
	}
	return in.log[:n]
}

// heartbeats announces the instance, every HeartbeatInterval and at each change.
func (in *Instance) heartbeats() {
	for i := 0; ; i++ {
		in.announce(i)
		select {
		case <-in.beat:
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (in *Instance) announce(i int) {
	g := in.group
	g.mu.Lock()
	if in.cut || in.crashed {
		g.mu.Unlock()
		return
	}
	role, state := "replica", "ready"
	if g.primary == in {
		role = "primary"
	}
	if in.draining {
		state = "draining"
	}
	in.seq++
	b, _ := json.Marshal(map[string]any{
		"service": g.Name, "addr": in.Addr, "zone": in.Zone, "version": "v1", "slots": g.Slots, "state": state, "cold_left_ms": 0, "db_role": role,
		"seq": in.seq, "born": in.born,
	})
	g.mu.Unlock()
	controls := g.rig.Controls()
	for j := range controls {
		if status, _ := Post("http://"+controls[(i+j)%len(controls)]+"/instances/"+in.ID+"/heartbeat", b); status/100 == 2 {
			if state == "draining" {
				g.rig.Logf("instance %s: heartbeat with state draining acknowledged", in.ID)
			}
			return
		}
	}
}

// Beat sends a heartbeat at once.
func (in *Instance) Beat() {
	select {
	case in.beat <- struct{}{}:
	default:
	}
}

// Drain makes the instance announce that it leaves.
func (in *Instance) Drain() {
	in.group.mu.Lock()
	in.draining = true
	in.group.mu.Unlock()
	in.group.rig.Logf("instance %s announces that it drains", in.ID)
	in.Beat()
}

// Cut partitions the instance from all machines of the system, silently, for a time. The other instances
// still reach it. Connections of remote ends that are unreachable are dropped after 3 s; those that came
// meanwhile never came to be.
func (in *Instance) Cut(length time.Duration) {
	g := in.group
	g.mu.Lock()
	in.cut, in.cutEnds = true, make(chan struct{})
	g.mu.Unlock()
	g.rig.Logf("instance %s is cut off from all machines of the system", in.ID)
	time.AfterFunc(length, func() {
		g.mu.Lock()
		in.cut = false
		close(in.cutEnds)
		for c := range in.conns {
			c.Close()
		}
		g.mu.Unlock()
		g.rig.Logf("the cut of instance %s heals", in.ID)
		in.Beat()
	})
}

// Deafen lets the instance receive no commits for a time.
func (in *Instance) Deafen(length time.Duration) {
	g := in.group
	g.mu.Lock()
	in.deaf = true
	g.mu.Unlock()
	g.rig.Logf("instance %s receives no commits from here on", in.ID)
	time.AfterFunc(length, func() {
		g.mu.Lock()
		in.deaf = false
		g.replicate()
		g.mu.Unlock()
		g.rig.Logf("instance %s receives commits again", in.ID)
	})
}

// Crash ends the instance. It stays down.
func (in *Instance) Crash() {
	g := in.group
	g.mu.Lock()
	in.crashed = true
	in.ln.Close()
	for c := range in.conns {
		c.Close()
	}
	end := in.end()
	g.changed.Broadcast()
	g.mu.Unlock()
	g.rig.Logf("instance %s crashes with %s", in.ID, end)
}

func (in *Instance) accept() {
	for {
		c, err := in.ln.Accept()
		if err != nil {
			return
		}
		go in.serve(c)
	}
}

// awaitCut waits while the instance is cut off. It reports false if it was: the connection is gone then.
func (in *Instance) awaitCut() bool {
	in.group.mu.Lock()
	cut, ends := in.cut, in.cutEnds
	in.group.mu.Unlock()
	if cut {
		<-ends
	}
	return !cut
}

// session is a connection to an instance.
type session struct {
	in       *Instance
	w        *bufio.Writer
	state    string
	readOnly bool
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
}

func (in *Instance) serve(c net.Conn) {
	defer c.Close()
	g := in.group
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := r.ReadString('\n')
	if err != nil || !in.awaitCut() {
		return
	}
	fields := strings.Fields(line)
	s := &session{in: in, w: bufio.NewWriterSize(c, 64<<10), state: "I", values: map[string]string{}, prepared: map[string]string{}}
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != g.Name || len(fields) > 3 && fields[3] != in.ID {
		fmt.Fprintf(c, "ERR WRONGNODE %s\r\n", in.ID)
		return
	}
	g.mu.Lock()
	full := len(in.conns) >= g.MaxConns
	if !full {
		in.conns[c] = true
	}
	g.mu.Unlock()
	if full {
		fmt.Fprintf(c, "ERR MAXCONN %s\r\n", in.ID)
		return
	}
	defer func() {
		g.mu.Lock()
		delete(in.conns, c)
		g.mu.Unlock()
	}()
	in.slots <- struct{}{}
	time.Sleep(12 * time.Millisecond)
	<-in.slots
	s.ready()
	for s.w.Flush() == nil {
		line, err := r.ReadString('\n')
		if err != nil || !in.awaitCut() {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.query(id, text) || !in.awaitCut() {
			return
		}
	}
}

// ready writes the READY message.
func (s *session) ready() {
	s.in.group.mu.Lock()
	log := s.in.applied()
	at := log[len(log)-1].at
	s.in.group.mu.Unlock()
	fmt.Fprintf(s.w, "READY %s %s\r\n", s.state, at)
}

func (s *session) fail(code string) bool {
	if s.state == "T" {
		s.state = "E"
	}
	fmt.Fprintf(s.w, "ERR %s %s\r\n", code, s.in.ID)
	s.ready()
	return true
}

func (s *session) done(mac string, rows ...string) bool {
	for _, row := range rows {
		fmt.Fprintf(s.w, "ROW %s\r\n", row)
	}
	fmt.Fprintf(s.w, "DONE %s\r\n", mac)
	s.ready()
	return true
}

// query runs a statement and writes its answer. It reports false if the connection shall close.
func (s *session) query(id, text string) bool {
	in, g := s.in, s.in.group
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		after, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		log := in.applied()
		behind := log[len(log)-1].at.before(parsePosition(after))
		g.mu.Unlock()
		if behind {
			return s.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("MALFORMED")
	}
	switch word {
	case "READ", "WRITE", "EXEC", "COMMIT", "STAT":
		in.slots <- struct{}{}
		g.recordRun(id)
		time.Sleep(g.WorkTime)
		<-in.slots
	}
	switch word {
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		return s.status(word, rest)
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		return s.done("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return s.done("-")
	case "PREPARE":
		name, statement, _ := strings.Cut(rest, " ")
		s.prepared[name] = statement
		return s.done("-")
	case "BEGIN":
		if rest == "" && !in.leads() {
			return s.fail("RDONLY")
		}
		s.state, s.readOnly, s.writes = "T", rest != "", map[string]string{}
		return s.done("-")
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return s.done("-")
	case "COMMIT":
		return s.commit(id)
	case "READ", "WRITE":
		return s.run(id, word, rest)
	case "EXEC":
		name, args, _ := strings.Cut(rest, " ")
		statement, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT")
		}
		kind, _, _ := strings.Cut(statement, " ")
		return s.run(id, kind, args)
	}
	return s.fail("MALFORMED")
}

// recordRun records that an instance begins to run a request.
func (g *Group) recordRun(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, again := g.ran[id]; !again {
		g.ran[id] = time.Now()
	}
}

// RanAt returns when an instance first began to run a request, and whether one did.
func (g *Group) RanAt(id string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.ran[id]
	return at, ok
}

func (in *Instance) leads() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.group.primary == in
}

// mac returns the proof that the instance ran the statement.
func (in *Instance) mac(id string) string { return in.ID + "." + id }

// run runs a read or write.
func (s *session) run(id, kind, args string) bool {
	in, g := s.in, s.in.group
	plain := s.state == "T" && !s.readOnly
	if (plain || kind == "WRITE") && !in.leads() || kind == "WRITE" && s.state == "T" && s.readOnly {
		return s.fail("RDONLY")
	}
	item, data, _ := strings.Cut(args, " ")
	switch {
	case kind == "READ" && g.Rows != nil:
		return s.done(in.mac(id), g.Rows(item)...)
	case kind == "READ":
		return s.done(in.mac(id), in.read(item))
	case s.state == "T":
		s.writes[item] = data
		return s.done(in.mac(id))
	}
	if !in.commit(id, map[string]string{item: data}) {
		return false
	}
	return s.done(in.mac(id))
}

// read returns the newest value of an item.
func (in *Instance) read(item string) string {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	log := in.applied()
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].writes[item]; ok {
			return v
		}
	}
	return "none"
}

// commit ends the open transaction.
func (s *session) commit(id string) bool {
	if s.state != "T" {
		if s.state == "E" {
			s.state = "I"
			return s.fail("ABORTED")
		}
		return s.fail("MALFORMED")
	}
	writes := s.writes
	s.state, s.writes = "I", nil
	if len(writes) == 0 {
		return s.done(s.in.mac(id))
	}
	if !s.in.leads() {
		return s.fail("RDONLY")
	}
	if !s.in.commit(id, writes) {
		return false
	}
	return s.done(s.in.mac(id))
}

// commit appends a commit to the log and waits until enough replicas have received it. It reports false
// if the instance loses the lead before that: the outcome is unknown then, and no answer is given.
func (in *Instance) commit(id string, writes map[string]string) bool {
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != in || in.crashed {
		return false
	}
	number := in.end().number + 1
	in.log = append(in.log, entry{at: position{g.term, number}, commit: id, when: time.Now(), writes: writes})
	term := g.term
	g.replicate()
	for g.primary == in && g.term == term && !in.crashed {
		received := ""
		n := 0
		for _, o := range g.instances {
			if o != in && !o.crashed && o.end().number >= number {
				n++
				received += " " + o.ID
			}
		}
		if n >= g.Sync {
			g.rig.Logf("instance %s commits %s at %d.%d, received by%s", in.ID, id, term, number, received)
			return true
		}
		g.changed.Wait()
	}
	g.rig.Logf("instance %s lost the lead before %s was received by a replica; no answer", in.ID, id)
	return false
}

// replicate hands the primary's log to all replicas that receive. The caller holds mu.
func (g *Group) replicate() {
	log := g.primary.log
	for _, o := range g.instances {
		if o != g.primary && o.heldTerm <= g.term && !o.deaf && !o.crashed && !g.primary.crashed {
			o.log = log[:len(log):len(log)]
		}
	}
	g.changed.Broadcast()
}

// status answers STAT, PAUSE, RESUME and STEPDOWN.
func (s *session) status(word, rest string) bool {
	in, g := s.in, s.in.group
	term, _ := strconv.ParseUint(rest, 10, 64)
	g.mu.Lock()
	role := "replica"
	if g.primary == in {
		role = "primary"
	}
	switch {
	case word == "PAUSE" && role == "replica" && term > g.term:
		in.heldTerm = max(in.heldTerm, term)
	case word == "RESUME":
		in.heldTerm = 0
		g.replicate()
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, g.term, in.end(), in.heldTerm, len(in.conns))
	g.mu.Unlock()
	g.rig.Logf("instance %s answers %s %s: %s", in.ID, word, rest, row)
	return s.done("-", row)
}

// promote orders a promotion. It returns the status of the call.
func (g *Group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var in *Instance
	for _, o := range g.instances {
		if o.ID == id {
			in = o
		}
	}
	if fence < g.fence || in == nil || in.crashed {
		return http.StatusConflict
	}
	g.fence = fence
	if in != g.primary {
		time.AfterFunc(g.PromoteDelay, func() { g.completePromotion(in) })
	}
	return http.StatusOK
}

// completePromotion makes an instance lead the next term with what it has received. Replicas that were
// ahead of it are rolled back.
func (g *Group) completePromotion(in *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == in || in.crashed {
		return
	}
	g.rig.Logf("instance %s leads term %d of %s with %s; the former primary %s had %s", in.ID, g.term+1, g.Name, in.end(), g.primary.ID, g.primary.end())
	former := g.primary
	g.term++
	g.primary = in
	for _, o := range g.instances {
		o.heldTerm = 0
		if len(o.log) > len(in.log) {
			o.log = in.log[:len(in.log):len(in.log)]
		}
	}
	g.replicate()
	in.Beat()
	former.Beat()
}

// Has reports whether the log of the present primary holds a commit.
func (g *Group) Has(commit string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.primary.log {
		if e.commit == commit {
			return true
		}
	}
	return false
}

// Primary returns the id of the present primary and its term.
func (g *Group) Primary() (string, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary.ID, g.term
}

// Cloud is the platform's API.
type Cloud struct{ srv *http.Server }

// StartCloud serves promotions of the groups.
func (r *Rig) StartCloud(groups ...*Group) error {
	ln, err := net.Listen("tcp", r.addr(250, PortCloud))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCannotRun, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, req *http.Request) {
		var body struct{ Service, ID string }
		fence, err := strconv.ParseUint(req.Header.Get("X-Agatespindle-Fence-Token"), 10, 64)
		status := http.StatusBadRequest
		if err == nil && json.NewDecoder(req.Body).Decode(&body) == nil {
			for _, g := range groups {
				if g.Name == body.Service {
					status = g.promote(body.ID, fence)
				}
			}
		}
		r.Logf("platform: promote %s of %s under %d by %s: %d", body.ID, body.Service, fence, req.Header.Get("X-Agatespindle-Duty-Holder"), status)
		w.WriteHeader(status)
	})
	r.Cloud = &Cloud{&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	go func() { _ = r.Cloud.srv.Serve(ln) }()
	return nil
}

// Close stops the API.
func (c *Cloud) Close() { _ = c.srv.Close() }

// Route returns a route of the desired state.
func Route(name, host, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": timeoutMs, "target_latency_ms": 300, "prio": 1, "service": service,
		"max_attempts": 2, "max_staleness_ms": 1500,
	}
}

// Service returns the service of the desired state.
func (g *Group) Service() map[string]any {
	return map[string]any{"name": g.Name, "health_path": "/healthz", "max_conns": g.MaxConns, "protocol": "h1", "tls": false, "sync_replicas": g.Sync}
}

// State returns a desired state.
func State(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	}
}
