package mimic

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is one simulated database instance of a group.
type Instance struct {
	Name string
	// Addr is the host:port that the instance listens on.
	Addr string
	Zone string
	// HeartbeatAddr, if set, replaces Addr in heartbeats, for example with a relay's address.
	HeartbeatAddr string

	group       *Group
	ln          net.Listener
	startedAtMs int64 // Unix time in milliseconds; identifies the incarnation
	term        uint64
	log         []entry
	// Injected faults: the instance has crashed, receives no replicated entries, or drops the
	// responses of the next responsesToDrop writes that it has executed outside of transactions.
	crashed            bool
	replicationStopped bool
	responsesToDrop    int
	// leaving is set once the instance announces that it leaves, and leavingAckedAt is when that was
	// acknowledged.
	leaving        bool
	leavingAckedAt time.Time
	// accepted has all connections, conns those that have started a session.
	accepted, conns map[net.Conn]bool
	// overloaded is an injected fault: every statement that needs a slot is refused.
	overloaded atomic.Bool
	wg         sync.WaitGroup
	// slots limits the statements that run concurrently; nil means no limit.
	slots chan struct{}
	// inFlight is the number of statements that run or wait for a slot.
	inFlight atomic.Int64
	// executed is the number of statements that got a slot, refused of those answered BUSY.
	executed atomic.Int64
	refused  atomic.Int64
	// proofs is the number of proofs given; each execution gets its own.
	proofs atomic.Int64
	// stutter is an injected fault, stutterRNG draws for it, and secondAnswers counts what it caused.
	stutter       Stutter
	stutterRNG    *rand.Rand
	secondAnswers atomic.Int64
	// slotNanos is the total time for which slots were occupied, in nanoseconds.
	slotNanos atomic.Int64
}

// Start adds an instance to the group and serves connections at addr. The first instance is the
// primary; later ones start with its log. It returns an error if addr cannot be listened on.
func (g *Group) Start(name, addr, zone string) (*Instance, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	in := &Instance{Name: name, Addr: ln.Addr().String(), Zone: zone, group: g, ln: ln, startedAtMs: time.Now().UnixMilli(), term: 1, conns: map[net.Conn]bool{}, accepted: map[net.Conn]bool{}}
	if g.Slots > 0 {
		in.slots = make(chan struct{}, g.Slots)
	}
	g.mu.Lock()
	if g.instances == nil {
		g.instances = map[string]*Instance{}
		g.term = 1
		g.primary = in
	}
	in.log, in.term = slices.Clone(g.primary.log), g.term
	g.instances[name] = in
	g.mu.Unlock()
	in.wg.Add(1)
	go in.accept()
	return in, nil
}

// accept serves each new connection until the listener is closed.
func (in *Instance) accept() {
	defer in.wg.Done()
	for {
		c, err := in.ln.Accept()
		if err != nil {
			return
		}
		if !in.track(c) {
			c.Close()
			return
		}
		in.wg.Add(1)
		go func() {
			defer in.wg.Done()
			defer in.untrack(c)
			in.serve(c)
		}()
	}
}

// track records an accepted connection, whether or not its caller ever says anything. It returns false
// if the instance has crashed.
func (in *Instance) track(c net.Conn) bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	if in.crashed {
		return false
	}
	in.accepted[c] = true
	return true
}

// untrack closes an accepted connection.
func (in *Instance) untrack(c net.Conn) {
	c.Close()
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	delete(in.accepted, c)
}

// Crash stops the instance abruptly: it closes all connections without a final message and waits
// for their goroutines.
func (in *Instance) Crash() {
	in.group.mu.Lock()
	in.crashed = true
	for c := range in.accepted {
		c.Close()
	}
	in.group.mu.Unlock()
	in.ln.Close()
	in.wg.Wait()
}

// Crashed reports whether the instance has crashed.
func (in *Instance) Crashed() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.crashed
}

// SetReplicationStopped sets whether the instance misses the entries committed from now on.
// Missed entries are not sent later.
func (in *Instance) SetReplicationStopped(replicationStopped bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.replicationStopped = replicationStopped
}

// SetOverloaded sets whether the instance refuses all statements that need a slot.
func (in *Instance) SetOverloaded(overloaded bool) { in.overloaded.Store(overloaded) }

// DropResponses makes the instance close the connection instead of answering after each of the
// next n successful writes outside of transactions.
func (in *Instance) DropResponses(n int) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.responsesToDrop = n
}

// Leave makes the instance announce that it leaves. It serves on until it crashes.
func (in *Instance) Leave() {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.leaving = true
}

// LeavingAcked returns when a control host acknowledged that the instance leaves, the zero time if none
// has.
func (in *Instance) LeavingAcked() time.Time {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.leavingAckedAt
}

// acknowledged records the acknowledgment of a heartbeat.
func (in *Instance) acknowledged(leaving bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	if leaving && in.leavingAckedAt.IsZero() {
		in.leavingAckedAt = time.Now()
	}
}

// recordArrival records a query that reaches the instance too long after it announced that it leaves.
func (s *session) recordArrival(id, text string) {
	g := s.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	verb, _, _ := strings.Cut(text, " ")
	if s.inTx || verb == "STAT" || verb == "PAUSE" || verb == "RESUME" || g.LeaveBound == 0 || s.in.leavingAckedAt.IsZero() {
		return
	}
	if late := time.Since(s.in.leavingAckedAt); late > g.LeaveBound {
		g.lateRequests = append(g.lateRequests, fmt.Sprintf("%q at %s, %s after it announced that it leaves: %.80q", id, s.in.Name, late, text))
	}
}

// session is the protocol state of one client connection.
type session struct {
	in *Instance
	// out is held while an answer is written to w.
	out sync.Mutex
	w   *bufio.Writer
	// answering is set while the present answer is written. answer has its bytes so far, or the first ones
	// if they exceed stutterBytes.
	answering bool
	answer    []byte
	// refused is set if the present statement was answered with one of refusals.
	refused bool
	// proof and rows are what the present answer held so far.
	proof string
	rows  []string
	// account is the account that the startup named.
	account  string
	inTx     bool
	readOnly bool
	txFailed bool
	txWrites []write           // writes of the open transaction
	prepared map[string]string // statement text by name
	settings map[string]string // session values of SET by name; replaced when one changes
}

// serve performs the startup of a connection and answers its queries until it ends.
func (in *Instance) serve(c net.Conn) {
	r := bufio.NewReader(c)
	s := &session{in: in, w: bufio.NewWriter(c), prepared: map[string]string{}, settings: map[string]string{}}
	line, err := ReadLine(r)
	if err != nil {
		return
	}
	fields := strings.SplitN(line, " ", 4)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != in.group.Name || (len(fields) > 3 && fields[3] != in.Name) {
		s.writeLine("ERR WRONGNODE %s", in.Name)
		return
	}
	s.account = fields[2]
	in.group.recordStartup(in.Name, s.account)
	if !in.register(c) {
		s.writeLine("ERR MAXCONN %s", in.Name)
		return
	}
	defer in.unregister(c)
	in.occupySlot(in.group.OpeningTime)
	in.group.mu.Lock()
	s.writeReady()
	in.group.mu.Unlock()
	s.endAnswer()
	for {
		line, err := ReadLine(r)
		if err != nil {
			return
		}
		fields := strings.SplitN(line, " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			if line != "QUIT" {
				in.group.recordStray(in.Name, line)
			}
			return
		}
		s.recordArrival(fields[1], fields[2])
		run := s.startRun(fields[1], fields[2], time.Now())
		s.refused, s.proof, s.rows = false, "", nil
		answered := s.admitQuery(fields[1], fields[2])
		s.endRun(fields[1], run, answered, time.Now())
		s.endAnswer()
		if !answered {
			return
		}
		s.stutter()
	}
}

// register adds a connection. It returns false if the instance has crashed or has MaxConns
// connections.
func (in *Instance) register(c net.Conn) bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	if in.crashed || len(in.conns) >= in.group.MaxConns {
		return false
	}
	in.conns[c] = true
	in.group.peakConns = max(in.group.peakConns, len(in.conns))
	return true
}

func (in *Instance) unregister(c net.Conn) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	delete(in.conns, c)
}

// takesSlot reports whether a statement needs an execution slot.
func takesSlot(text string) bool {
	_, text = cutPosition(text)
	verb, _, _ := strings.Cut(text, " ")
	return verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT" || verb == "STAT"
}

// admitQuery executes a query, in a slot if it needs one, and writes the response. It returns
// false if the connection has to be closed without a response.
func (s *session) admitQuery(id, text string) bool {
	if takesSlot(text) && s.in.overloaded.Load() {
		return s.refuseBusy()
	}
	if !takesSlot(text) || s.in.slots == nil {
		return s.execute(id, text)
	}
	if s.in.inFlight.Add(1) > int64(s.in.group.Slots+s.in.group.QueueLimit) {
		s.in.inFlight.Add(-1)
		return s.refuseBusy()
	}
	defer s.in.inFlight.Add(-1)
	s.in.slots <- struct{}{}
	start := time.Now()
	defer func() {
		s.in.slotNanos.Add(int64(time.Since(start)))
		<-s.in.slots
	}()
	time.Sleep(s.in.group.StatementTime)
	if s.in.group.ExtraTime != nil {
		time.Sleep(s.in.group.ExtraTime(text))
	}
	s.in.executed.Add(1)
	return s.execute(id, text)
}

// occupySlot occupies a slot for a time, once one is free.
func (in *Instance) occupySlot(d time.Duration) {
	if in.slots == nil || d == 0 {
		return
	}
	in.slots <- struct{}{}
	start := time.Now()
	time.Sleep(d)
	in.slotNanos.Add(int64(time.Since(start)))
	<-in.slots
}

// refuseBusy answers a statement with BUSY because no slot is free.
func (s *session) refuseBusy() bool {
	s.in.refused.Add(1)
	s.in.group.mu.Lock()
	defer s.in.group.mu.Unlock()
	return s.writeError("BUSY")
}

// Conns returns the number of open connections.
func (in *Instance) Conns() int {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return len(in.conns)
}

// SlotTime returns the total time for which slots were occupied, summed over all slots.
func (in *Instance) SlotTime() time.Duration { return time.Duration(in.slotNanos.Load()) }

// StatementCounts returns the number of statements so far that got a slot and of those that were
// refused with BUSY.
func (in *Instance) StatementCounts() (executed, refused int64) {
	return in.executed.Load(), in.refused.Load()
}

// execute runs one statement and writes the response. It returns false if the connection has to
// be closed without a response.
func (s *session) execute(id, text string) bool {
	g := s.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.in.crashed {
		return false
	}
	entries, position := s.in.applied(time.Now())
	minPosition, text := cutPosition(text)
	if minPosition != "" && position.before(parsePosition(minPosition)) {
		return s.writeError("LAGGING")
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		if rest == "" && g.primary != s.in {
			return s.writeError("RDONLY")
		}
		s.inTx, s.readOnly, s.txWrites = true, rest != "", nil
	case "ROLLBACK":
		s.endTx()
	case "COMMIT":
		return s.commit(id)
	case "RESET":
		s.prepared, s.settings = map[string]string{}, map[string]string{}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.settings = maps.Clone(s.settings)
		s.settings[name] = value
	case "PREPARE":
		name, statementText, _ := strings.Cut(rest, " ")
		s.prepared[name] = statementText
	case "STAT":
		role := "replica"
		if g.primary == s.in {
			role = "primary"
		}
		s.writeLine("ROW %s %d %s 0 0 0 %d", role, s.in.term, s.in.lastPosition(), len(s.in.conns))
	case "EXEC":
		return s.executePrepared(id, rest, entries)
	case "READ":
		if name, ok := strings.CutPrefix(rest, "value:"); ok {
			s.writeRow(s.settings[name])
			return s.writeDone()
		}
		if size, ok := strings.CutPrefix(rest, "large:"); ok {
			return s.writeRows(size)
		}
		return s.readItem(rest, entries)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return s.write(id, item, data)
	default:
		return s.writeError("MALFORMED")
	}
	s.writeLine("DONE -")
	s.writeReady()
	return true
}

// parsePosition parses "term.index"; an invalid part counts as 0.
func parsePosition(s string) logPosition {
	termText, indexText, _ := strings.Cut(s, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	index, _ := strconv.ParseUint(indexText, 10, 64)
	return logPosition{term, index}
}

func (s *session) endTx() { s.inTx, s.txFailed, s.txWrites = false, false, nil }

// executePrepared runs a prepared read or write with its arguments.
func (s *session) executePrepared(id, rest string, entries []entry) bool {
	name, args, _ := strings.Cut(rest, " ")
	statementText, ok := s.prepared[name]
	if !ok {
		return s.writeError("NOSTMT")
	}
	if strings.HasPrefix(statementText, "READ") {
		return s.readItem(args, entries)
	}
	item, data, _ := strings.Cut(args, " ")
	return s.write(id, item, data)
}

// readItem sends an item's value, including uncommitted writes of the open transaction.
func (s *session) readItem(item string, entries []entry) bool {
	if s.inTx && !s.readOnly && s.in.group.primary != s.in {
		return s.writeError("RDONLY")
	}
	value := s.in.group.itemValue(entries, item)
	for _, w := range s.txWrites {
		if w.item == item {
			value = w.data
		}
	}
	s.writeRow(value)
	return s.writeDone()
}

// write commits a write, or adds it to the open transaction.
func (s *session) write(id, item, data string) bool {
	if s.in.group.primary != s.in || s.readOnly && s.inTx {
		return s.writeError("RDONLY")
	}
	w := write{id, item, data}
	if s.inTx {
		s.txWrites = append(s.txWrites, w)
		return s.writeDone()
	}
	if !s.in.group.commit(s.in, []write{w}) {
		return s.writeError("RDONLY")
	}
	if s.in.responsesToDrop > 0 {
		s.in.responsesToDrop--
		return false
	}
	return s.writeDone()
}

// commit commits the open transaction with the id of the COMMIT query.
func (s *session) commit(id string) bool {
	if !s.inTx || s.txFailed {
		return s.writeError("MALFORMED")
	}
	if len(s.txWrites) == 0 {
		s.endTx()
		return s.writeDone()
	}
	for i := range s.txWrites {
		s.txWrites[i].id += "/" + id
	}
	if !s.in.group.commit(s.in, s.txWrites) {
		return s.writeError("RDONLY")
	}
	s.endTx()
	return s.writeDone()
}
