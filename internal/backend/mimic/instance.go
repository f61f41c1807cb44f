package mimic

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is one instance of a group.
type Instance struct {
	Name string
	Addr string
	Zone string
	// Public, where set, is the address that the instance announces: that of a relay.
	Public string

	group *Group
	ln    net.Listener
	born  int64
	term  uint64
	log   []entry
	// down, deaf and lost are faults: the process has ended, receives nothing, or loses the
	// answers of writes that it ran.
	down  bool
	deaf  bool
	lost  int
	conns map[net.Conn]bool
	// occupied is set while every statement that takes a slot is refused.
	occupied atomic.Bool
	wg       sync.WaitGroup
	// slots bounds what runs at once; it is nil where there is no bound. busy counts what runs
	// or waits, ran and refused what did and what found no place.
	slots   chan struct{}
	busy    atomic.Int64
	ran     atomic.Int64
	refused atomic.Int64
	// held is for how long slots were taken, in nanoseconds.
	held atomic.Int64
}

// Start adds an instance to a group and serves at addr. The first one leads.
func (g *Group) Start(name, addr, zone string) (*Instance, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	in := &Instance{Name: name, Addr: ln.Addr().String(), Zone: zone, group: g, ln: ln, born: time.Now().UnixMilli(), term: 1, conns: map[net.Conn]bool{}}
	if g.Slots > 0 {
		in.slots = make(chan struct{}, g.Slots)
	}
	g.mu.Lock()
	if g.instances == nil {
		g.instances = map[string]*Instance{}
		g.term = 1
		g.leader = in
	}
	g.instances[name] = in
	g.mu.Unlock()
	in.wg.Add(1)
	go in.accept()
	return in, nil
}

func (in *Instance) accept() {
	defer in.wg.Done()
	for {
		c, err := in.ln.Accept()
		if err != nil {
			return
		}
		in.wg.Add(1)
		go func() {
			defer in.wg.Done()
			defer c.Close()
			in.serve(c)
		}()
	}
}

// Crash ends the instance without a word: its connections are reset.
func (in *Instance) Crash() {
	in.group.mu.Lock()
	in.down = true
	for c := range in.conns {
		c.Close()
	}
	in.group.mu.Unlock()
	in.ln.Close()
	in.wg.Wait()
}

// Gone reports whether the instance has crashed.
func (in *Instance) Gone() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.down
}

// SetDeaf makes the instance receive nothing any more.
func (in *Instance) SetDeaf(deaf bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.deaf = deaf
}

// Occupy makes the instance refuse all statements that take a slot.
func (in *Instance) Occupy(occupied bool) { in.occupied.Store(occupied) }

// LoseAnswers makes the instance run the next n single writes and lose their answers.
func (in *Instance) LoseAnswers(n int) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.lost = n
}

// peer is one connection.
type peer struct {
	in     *Instance
	w      *bufio.Writer
	open   bool
	read   bool
	broken bool
	writes []write
	shapes map[string]string
	values map[string]string
}

func (in *Instance) serve(c net.Conn) {
	r := bufio.NewReader(c)
	p := &peer{in: in, w: bufio.NewWriter(c), shapes: map[string]string{}, values: map[string]string{}}
	line, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != in.group.Name || (len(f) > 3 && f[3] != in.Name) {
		p.say("ERR WRONGNODE %s", in.Name)
		return
	}
	if !in.join(c) {
		p.say("ERR MAXCONN %s", in.Name)
		return
	}
	defer in.leave(c)
	in.group.mu.Lock()
	p.ready()
	in.group.mu.Unlock()
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		if !p.query(f[1], f[2]) {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func (in *Instance) join(c net.Conn) bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	if in.down || len(in.conns) >= in.group.MaxConns {
		return false
	}
	in.conns[c] = true
	in.group.open = max(in.group.open, len(in.conns))
	return true
}

func (in *Instance) leave(c net.Conn) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	delete(in.conns, c)
}

func (p *peer) say(format string, args ...any) {
	fmt.Fprintf(p.w, format+"\r\n", args...)
	p.w.Flush()
}

func (p *peer) ready() {
	state := "I"
	switch {
	case p.broken:
		state = "E"
	case p.open:
		state = "T"
	}
	_, at := p.in.applied(time.Now())
	p.say("READY %s %s", state, at)
}

// takesSlot reports whether a statement occupies a slot.
func takesSlot(text string) bool {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	word, _, _ := strings.Cut(text, " ")
	return word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT" || word == "STAT"
}

// query answers one query. It reports false where the connection ends without an answer.
func (p *peer) query(id, text string) bool {
	if takesSlot(text) && p.in.occupied.Load() {
		return p.busy()
	}
	if !takesSlot(text) || p.in.slots == nil {
		return p.run(id, text)
	}
	if p.in.busy.Add(1) > int64(p.in.group.Slots+p.in.group.Queue) {
		p.in.busy.Add(-1)
		return p.busy()
	}
	defer p.in.busy.Add(-1)
	p.in.slots <- struct{}{}
	began := time.Now()
	defer func() {
		p.in.held.Add(int64(time.Since(began)))
		<-p.in.slots
	}()
	time.Sleep(p.in.group.Work)
	p.in.ran.Add(1)
	return p.run(id, text)
}

// busy refuses a statement for want of a slot.
func (p *peer) busy() bool {
	p.in.refused.Add(1)
	p.in.group.mu.Lock()
	defer p.in.group.mu.Unlock()
	return p.fail("BUSY")
}

// Conns returns the number of connections that are open.
func (in *Instance) Conns() int {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return len(in.conns)
}

// Held returns for how long slots were taken, added up over them.
func (in *Instance) Held() time.Duration { return time.Duration(in.held.Load()) }

// Load returns the number of statements that took a slot so far, and of those that found none.
func (in *Instance) Load() (ran, refused int64) { return in.ran.Load(), in.refused.Load() }

func (p *peer) run(id, text string) bool {
	g := p.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.in.down {
		return false
	}
	list, at := p.in.applied(time.Now())
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		mark, after, _ := strings.Cut(rest, " ")
		if at.before(parsePlace(mark)) {
			return p.fail("LAGGING")
		}
		text = after
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN":
		if rest == "" && g.leader != p.in {
			return p.fail("RDONLY")
		}
		p.open, p.read, p.writes = true, rest != "", nil
	case "ROLLBACK":
		p.end()
	case "COMMIT":
		return p.commit(id)
	case "RESET":
		p.shapes, p.values = map[string]string{}, map[string]string{}
	case "SET":
		name, v, _ := strings.Cut(rest, " ")
		p.values[name] = v
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		p.shapes[name] = shape
	case "STAT":
		role := "replica"
		if g.leader == p.in {
			role = "primary"
		}
		fmt.Fprintf(p.w, "ROW %s %d %s 0 0 0 %d\r\n", role, p.in.term, p.in.end(), len(p.in.conns))
	case "EXEC":
		return p.exec(id, rest, list)
	case "READ":
		if name, ok := strings.CutPrefix(rest, "value:"); ok {
			fmt.Fprintf(p.w, "ROW %s\r\n", p.values[name])
			return p.done()
		}
		return p.readItem(rest, list)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return p.write(id, item, data)
	default:
		return p.fail("MALFORMED")
	}
	p.say("DONE -")
	p.ready()
	return true
}

func parsePlace(s string) place {
	a, b, _ := strings.Cut(s, ".")
	term, _ := strconv.ParseUint(a, 10, 64)
	number, _ := strconv.ParseUint(b, 10, 64)
	return place{term, number}
}

func (p *peer) end() { p.open, p.broken, p.writes = false, false, nil }

func (p *peer) fail(code string) bool {
	p.broken = p.open
	p.say("ERR %s %s", code, p.in.Name)
	p.ready()
	return true
}

func (p *peer) done() bool {
	p.say("DONE 7.proof")
	p.ready()
	return true
}

func (p *peer) exec(id, rest string, list []entry) bool {
	name, args, _ := strings.Cut(rest, " ")
	shape, ok := p.shapes[name]
	if !ok {
		return p.fail("NOSTMT")
	}
	if strings.HasPrefix(shape, "READ") {
		return p.readItem(args, list)
	}
	item, data, _ := strings.Cut(args, " ")
	return p.write(id, item, data)
}

func (p *peer) readItem(item string, list []entry) bool {
	if p.open && !p.read && p.in.group.leader != p.in {
		return p.fail("RDONLY")
	}
	v := value(list, item)
	for _, w := range p.writes {
		if w.item == item {
			v = w.data
		}
	}
	fmt.Fprintf(p.w, "ROW %s\r\n", v)
	return p.done()
}

func (p *peer) write(id, item, data string) bool {
	if p.in.group.leader != p.in || p.read && p.open {
		return p.fail("RDONLY")
	}
	w := write{id, item, data}
	if p.open {
		p.writes = append(p.writes, w)
		return p.done()
	}
	if !p.in.group.commit(p.in, []write{w}) {
		return p.fail("RDONLY")
	}
	if p.in.lost > 0 {
		p.in.lost--
		return false
	}
	return p.done()
}

func (p *peer) commit(id string) bool {
	if !p.open || p.broken {
		return p.fail("MALFORMED")
	}
	if len(p.writes) == 0 {
		p.end()
		return p.done()
	}
	for i := range p.writes {
		p.writes[i].id += "/" + id
	}
	if !p.in.group.commit(p.in, p.writes) {
		return p.fail("RDONLY")
	}
	p.end()
	return p.done()
}
