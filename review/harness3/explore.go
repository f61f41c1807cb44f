package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

// history is what clients were told.
type history struct {
	mu sync.Mutex
	// acked are the commits by the ID that the client sent last (the write's or the COMMIT's).
	acked               map[string]time.Time
	refused             map[string]string
	reads, writes, errs int
	codes               map[string]int
	judged              []judgedRead
}

// judgedRead is a read with a successful answer, and the session's last own commit.
type judgedRead struct {
	id, db string
	start  time.Time
	own    string
	// mac is that of the answer; it begins with the name of the server.
	mac string
}

func newHistory() *history {
	return &history{acked: map[string]time.Time{}, refused: map[string]string{}, codes: map[string]int{}}
}

// writer has one item of its own, whose value only grows.
func (h *history) writer(c *cluster, svc string, k int, stop chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	rng := rand.New(rand.NewPCG(uint64(k), 99))
	item := fmt.Sprintf("%s-item%d", svc, k)
	n := 0
	var s *conn
	var own string
	db := ""
	for {
		select {
		case <-stop:
			return
		default:
		}
		if s == nil {
			var err error
			db = svc + []string{"-p", "-o", "-b"}[rng.IntN(3)]
			if s, err = dial(c.edge[rng.IntN(len(c.edge))], db); err != nil {
				s = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			own = ""
		}
		if rng.IntN(40) == 0 {
			s.close()
			s = nil
			continue
		}
		ok := true
		switch rng.IntN(6) {
		case 0, 1:
			n++
			id := newID()
			a := s.ask(id, "WRITE "+item+" "+strconv.Itoa(n), 3*time.Second)
			ok = h.outcome(id, id, a)
			if a.ok() {
				own = id
			}
		case 2:
			n++
			ok = h.transactionWith(s, item, n, &own, func() { time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond) })
		default:
			other := item
			if rng.IntN(2) == 0 {
				other = fmt.Sprintf("%s-item%d", svc, rng.IntN(12))
			}
			ok = h.read(s, db, other, &own, rng.IntN(4) == 0)
		}
		if !ok {
			s.close()
			s = nil
		}
		time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
	}
}

// outcome records what a client was told of a write. last is the request that ended it. It returns false if the session is
// not to be used again.
func (h *history) outcome(id, last string, a answer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.codes[a.code]++
	switch {
	case a.ok():
		h.writes++
		h.acked[last] = time.Now()
	case a.promise():
		h.refused[id] = a.code
	}
	return a.code != "" && a.state == "I"
}

// transactionWith writes and reads an item in a transaction, with a pause before each further statement.
func (h *history) transactionWith(s *conn, item string, n int, own *string, pause func()) bool {
	if a := s.ask(newID(), "BEGIN", time.Second); !a.ok() {
		return false
	}
	id := newID()
	a := s.ask(id, "WRITE "+item+" "+strconv.Itoa(n), 3*time.Second)
	if !a.ok() {
		h.mu.Lock()
		h.codes[a.code]++
		if a.promise() {
			h.refused[id] = a.code
		}
		h.mu.Unlock()
		if a.code == "" {
			return false
		}
		b := s.ask(newID(), "ROLLBACK", time.Second)
		return b.code != "" && b.state == "I"
	}
	for range 2 {
		pause()
		if b := s.ask(newID(), "READ "+item, 3*time.Second); !b.ok() {
			h.outcome(id, id, b)
			return false
		}
	}
	pause()
	commit := newID()
	a = s.ask(commit, "COMMIT", 3*time.Second)
	if a.ok() {
		*own = commit
	}
	return h.outcome(id, commit, a)
}

// read runs one read, in a transaction if tx is set.
func (h *history) read(s *conn, db, item string, own *string, tx bool) bool {
	start := time.Now()
	if tx {
		if a := s.ask(newID(), "BEGIN READ", time.Second); !a.ok() {
			return false
		}
	}
	id := newID()
	a := s.ask(id, "READ "+item, 3*time.Second)
	h.mu.Lock()
	h.codes[a.code]++
	if a.ok() {
		h.reads++
	}
	h.mu.Unlock()
	if a.ok() {
		h.mu.Lock()
		h.judged = append(h.judged, judgedRead{id, db, start, *own, a.mac})
		h.mu.Unlock()
	}
	if a.code == "" {
		return false
	}
	if tx {
		b := s.ask(newID(), "ROLLBACK", time.Second)
		return b.code != "" && b.state == "I"
	}
	return a.state == "I"
}

// judgeTakeOver checks that a server that takes over has every acknowledged commit, if commits need copies. g.mu is held.
func (h *history) judgeTakeOver(g *group, s *server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.sync == 0 {
		return
	}
	have := map[string]bool{}
	for _, e := range s.log {
		for _, w := range e.writes {
			have[w.commit] = true
		}
	}
	for id, at := range h.acked {
		if !have[id] && len(g.runs[id]) > 0 {
			delete(h.acked, id) // told once
			g.rec.broken("LOST: commit %s, acknowledged %.3f s ago, is not in the log of %s, which was promoted", id, time.Since(at).Seconds(), s.id)
		}
	}
}

// judgeEnd checks the log and all reads at the end.
func (h *history) judgeEnd(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := g.source
	if p == nil {
		return
	}
	count := map[string]int{}
	for _, e := range p.log {
		for _, w := range e.writes {
			count[w.id]++
		}
	}
	for _, r := range h.judged {
		runs := g.runs[r.id]
		if len(runs) == 0 {
			g.rec.broken("MIXED: read %s succeeded and ran nowhere", r.id)
			continue
		}
		saw := runs[len(runs)-1]
		for _, run := range runs {
			if strings.HasPrefix(r.mac, run.server+".") && run.seen != (pos{}) {
				saw = run
			}
		}
		before := r.start
		switch {
		case strings.HasSuffix(r.db, "-o"):
			before = before.Add(-2500 * time.Millisecond)
		case strings.HasSuffix(r.db, "-b"):
			before = before.Add(-1500 * time.Millisecond)
		}
		lacks := func(id string) bool {
			list := g.runs[id]
			return len(list) > 0 && !g.rolled[id] && saw.seen.less(list[len(list)-1].seen)
		}
		for id, at := range h.acked {
			if at.Before(before) && lacks(id) {
				g.rec.broken("STALE: read %s on %s at %s saw %s at %.3f, sent at %.3f, and lacks %s, acknowledged at %.3f", r.id, r.db, saw.server, saw.seen, saw.at.Sub(g.rec.start).Seconds(), r.start.Sub(g.rec.start).Seconds(), id, at.Sub(g.rec.start).Seconds())
				break
			}
		}
		if r.own != "" && strings.HasSuffix(r.db, "-o") && lacks(r.own) {
			g.rec.broken("STALE: read %s on %s at %s saw %s and lacks the session's own %s", r.id, r.db, saw.server, saw.seen, r.own)
		}
	}
	for id, n := range count {
		if n > 1 {
			g.rec.broken("TWICE: write %s is %d times in the log", id, n)
		}
		if code := h.refused[id]; code != "" {
			g.rec.broken("REFUSED: write %s was refused with %s and is committed", id, code)
		}
	}
}

// explore plays random faults by a seed: SEED, SYNC (copies), LENGTH, and KINDS, the cases of the switch below.
func explore(rec *recorder, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	k := 1
	if v := os.Getenv("SYNC"); v != "" {
		k, _ = strconv.Atoi(v)
	}
	if os.Getenv("DRAIN") != "" {
		rec.bound = 7 * time.Second
	}
	c := newCluster(rec, 3, 3)
	defer c.shutdown()
	svc := "huvo11a"
	h := newHistory()
	g := newGroup(rec, svc, k)
	g.promoteIn = time.Duration(150+rng.IntN(500)) * time.Millisecond
	g.onTakeOver = func(s *server) { h.judgeTakeOver(g, s) }
	c.groups[svc] = g
	c.config = func(v int) []byte { return desired(v, k, 800, 200, svc) }
	servers := []*server{}
	ip := 200
	add := func() *server {
		ip++
		s := &server{id: fmt.Sprintf("i-%x", rng.Uint64()), addr: fmt.Sprintf("%s%d:8080", c.prefix, ip), zone: zones[ip%3], receiveIn: time.Duration(rng.IntN(8)) * time.Millisecond}
		servers = append(servers, s)
		return s
	}
	startServer := func(s *server) {
		if err := g.start(s, c.controlAddrs(), 1200*time.Millisecond); err != nil {
			rec.note("start %s: %v", s.id, err)
		}
	}
	if err := c.run(func() {
		for range 3 {
			startServer(add())
		}
	}); err != nil {
		fail(err)
	}
	if !c.waitReady(20 * time.Second) {
		fail(fmt.Errorf("not ready"))
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go h.writer(c, svc, i, stop, &wg)
	}
	length := 45 * time.Second
	if v := os.Getenv("LENGTH"); v != "" {
		length, _ = time.ParseDuration(v)
	}
	end := time.Now().Add(length)
	var later sync.WaitGroup
	after := func(d time.Duration, f func()) {
		later.Add(1)
		go func() { defer later.Done(); time.Sleep(d); f() }()
	}
	pick := func() *server { return servers[rng.IntN(len(servers))] }
	up := func(s *server) bool { g.mu.Lock(); defer g.mu.Unlock(); return s.up }
	primary := func() *server { g.mu.Lock(); defer g.mu.Unlock(); return g.primary }
	lostDisk := false
	var kinds []int
	for _, f := range strings.Split(os.Getenv("KINDS"), ",") {
		if n, err := strconv.Atoi(f); err == nil {
			kinds = append(kinds, n)
		}
	}
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(200+rng.IntN(1800)) * time.Millisecond)
		d := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		kind := rng.IntN(18)
		if len(kinds) > 0 {
			kind = kinds[rng.IntN(len(kinds))]
		}
		switch kind {
		case 0, 1:
			if s := primary(); s != nil {
				s.crash()
				after(d, func() { startServer(s) })
			}
		case 2:
			if s := pick(); up(s) {
				s.crash()
				after(d/4, func() { startServer(s) })
			}
		case 3:
			s := pick()
			rec.note("server %s deaf for %s", s.id, d)
			g.mu.Lock()
			s.deaf = true
			g.mu.Unlock()
			after(d, func() { g.mu.Lock(); s.deaf = false; g.mu.Unlock() })
		case 4, 5:
			s := primary()
			if s == nil {
				s = pick()
			}
			var hosts []*host
			what := "core"
			hosts = append(hosts, c.control...)
			if rng.IntN(3) == 0 {
				hosts = append(hosts, c.edge[rng.IntN(len(c.edge))])
				what = "core and a front"
			}
			rec.note("server %s cut from %s for %s", s.id, what, d)
			f := c.from(hosts)
			g.mu.Lock()
			s.refuse = f
			for cn := range s.conns {
				if f(cn.RemoteAddr()) {
					cn.Close()
				}
			}
			g.mu.Unlock()
			after(d, func() { g.mu.Lock(); s.refuse = nil; g.mu.Unlock() })
		case 6, 7:
			// A release: a new one starts, the old one drains and ends.
			n := 0
			for _, s := range servers {
				if up(s) && !s.draining {
					n++
				}
			}
			if n > 3 {
				continue
			}
			old := pick()
			if rng.IntN(2) == 0 && primary() != nil {
				old = primary()
			}
			if !up(old) || old.draining {
				continue
			}
			startServer(add())
			after(time.Duration(rng.IntN(800))*time.Millisecond, func() { old.leave(c.controlAddrs(), 7*time.Second, time.Duration(rng.IntN(2000))*time.Millisecond) })
		case 8:
			h := c.control[rng.IntN(len(c.control))]
			h.signal(syscall.SIGKILL)
		case 9:
			h := c.control[rng.IntN(len(c.control))]
			h.signal(syscall.SIGSTOP)
			after(d, func() { h.signal(syscall.SIGCONT) })
		case 10:
			h := c.edge[rng.IntN(len(c.edge))]
			h.signal(syscall.SIGSTOP)
			after(d, func() { h.signal(syscall.SIGCONT) })
		case 11:
			h := c.edge[rng.IntN(len(c.edge))]
			h.signal(syscall.SIGKILL)
		case 12:
			h := c.all()[rng.IntN(len(c.all()))]
			after(0, h.terminate)
		case 13:
			rec.note("orders are answered late for %s", d)
			until := time.Now().Add(d)
			c.promoteHook = func(string) (time.Duration, bool) {
				if time.Now().After(until) || rand.IntN(2) == 0 {
					return 0, true
				}
				return time.Duration(500+rand.IntN(4000)) * time.Millisecond, false
			}
		case 14:
			after(0, func() { c.declare() })
		case 15:
			for _, h := range c.control {
				h.signal(syscall.SIGKILL)
			}
		case 16:
			h := c.control[rng.IntN(len(c.control))]
			if lostDisk {
				continue
			}
			lostDisk = true
			h.stop()
			rec.note("host %s loses its disk", h.name)
			time.Sleep(30 * time.Millisecond)
			os.RemoveAll(filepath.Join(c.dir, h.name))
			_ = os.MkdirAll(filepath.Join(c.dir, h.name), 0o700)
			after(d, h.up)
			after(d+8*time.Second, func() { lostDisk = false })
		case 17:
			for _, h := range c.edge {
				h.signal(syscall.SIGSTOP)
			}
			after(d, func() {
				for _, h := range c.edge {
					h.signal(syscall.SIGCONT)
				}
			})
		}
	}
	if !trouble {
		time.Sleep(length)
	}
	later.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	h.judgeEnd(g)
	panics(c)
	rec.note("%d reads, %d writes acknowledged, codes %v", h.reads, h.writes, h.codes)
	fmt.Println(h.reads, h.writes, h.codes)
}
