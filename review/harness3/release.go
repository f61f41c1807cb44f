package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["release-frozen"] = releaseFrozen
	cases["release-two"] = releaseTwo
	cases["release-late"] = releaseLate
}

// bookings is a service whose commits need a copy, with clients in transactions.
type bookings struct {
	c       *cluster
	g       *group
	h       *history
	servers []*server
	stop    chan struct{}
	clients sync.WaitGroup
}

const (
	service = "huvo11a"
	// clients is the number of sessions with transactions.
	clients = 24
	// drainAfter is how long after the start of a new instance the old one announces that it drains, and drainSoonAfter
	// the same where the new one is not known.
	drainAfter     = 500 * time.Millisecond
	drainSoonAfter = 200 * time.Millisecond
)

// open starts the deployment and the clients.
func (b *bookings) open(rec *recorder) {
	rec.detail = true
	b.c, b.g, b.h, b.stop = newCluster(rec, 3, 3), newGroup(rec, service, 1), newHistory(), make(chan struct{})
	b.g.onTakeOver = func(s *server) { b.h.judgeTakeOver(b.g, s) }
	b.c.groups[service] = b.g
	b.c.config = func(v int) []byte { return desired(v, 1, 800, 200, service) }
	if err := b.c.run(func() {
		for i := range 3 {
			b.start(b.c.controlAddrs()[i%2])
		}
	}); err != nil {
		fail(err)
	}
	if !b.c.waitReady(20 * time.Second) {
		fail(fmt.Errorf("not ready"))
	}
	time.Sleep(2 * time.Second)
	for i := range clients {
		b.clients.Add(1)
		go b.h.booking(b.c, service, i, b.stop, &b.clients)
	}
	time.Sleep(3 * time.Second)
}

// start starts a new instance, which calls the given control host first.
func (b *bookings) start(first string) *server {
	n := 201 + len(b.servers)
	s := &server{id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: fmt.Sprintf("%s%d:8080", b.c.prefix, n), zone: zones[n%3], receiveIn: time.Millisecond, first: first}
	if err := b.g.start(s, b.c.controlAddrs(), 1200*time.Millisecond); err != nil {
		fail(err)
	}
	b.servers = append(b.servers, s)
	return s
}

// end stops the clients and judges what was seen.
func (b *bookings) end() {
	close(b.stop)
	b.clients.Wait()
	b.h.judgeEnd(b.g)
	b.g.rec.note("%d writes acknowledged, codes %v", b.h.writes, b.h.codes)
	if b.h.writes < 100 {
		fail(fmt.Errorf("only %d writes were acknowledged", b.h.writes))
	}
	b.c.shutdown()
}

// releaseFrozen replaces the primary: the new instance starts first, the old one drains 0.2 s later. In
// trouble, the control host to which the new instance sends its first heartbeat stands still meanwhile, so that the
// instance calls the next one after a second.
func releaseFrozen(rec *recorder, trouble bool) {
	var b bookings
	b.open(rec)
	old := b.g.leads()
	var still *host
	for _, host := range b.c.control {
		if host.ip+":8782" != old.calls() && !host.leads() {
			still = host
		}
	}
	if trouble {
		still.signal(syscall.SIGSTOP)
	}
	time.Sleep(300 * time.Millisecond)
	b.start(still.ip + ":8782")
	time.Sleep(drainSoonAfter)
	left := b.leave(old)
	time.Sleep(3300 * time.Millisecond)
	if trouble {
		still.signal(syscall.SIGCONT)
	}
	<-left
	time.Sleep(2 * time.Second)
	b.end()
}

// releaseTwo replaces the primary and then a replica, each as above. In trouble, the second replacement begins a second
// after the first, while the first is under way; otherwise once that is over.
func releaseTwo(rec *recorder, trouble bool) {
	var b bookings
	b.open(rec)
	primary := b.g.leads()
	replica := b.servers[len(b.servers)-1]
	if replica == primary {
		replica = b.servers[0]
	}
	b.g.mu.Lock()
	b.g.onlyKnown = true
	b.g.mu.Unlock()
	gap := 12 * time.Second
	if trouble {
		gap = time.Second
	}
	b.start("")
	time.Sleep(drainAfter)
	first := b.leave(primary)
	time.Sleep(gap - drainAfter)
	b.start("")
	time.Sleep(drainAfter)
	second := b.leave(replica)
	<-first
	<-second
	time.Sleep(2 * time.Second)
	b.end()
}

// releaseLate replaces the primary twice, five and a half seconds apart. In trouble, the orders RESUME to one of the three
// instances that get them after the first takeover are left unanswered for that time and carried out late.
func releaseLate(rec *recorder, trouble bool) {
	var b bookings
	b.open(rec)
	if trouble {
		b.g.leaveResume = b.last
	}
	b.start("")
	time.Sleep(drainAfter)
	first := b.leave(b.g.leads())
	time.Sleep(5 * time.Second)
	b.g.mu.Lock()
	b.g.leaveResume = nil
	b.g.mu.Unlock()
	b.start("")
	time.Sleep(drainAfter)
	second := b.leave(b.g.leads())
	<-first
	<-second
	time.Sleep(2 * time.Second)
	b.end()
}

// last reports whether an instance is the last by name of the replicas that stay. g.mu is held.
func (b *bookings) last(s *server) bool {
	for _, o := range b.g.servers {
		if o.up && !o.draining && o != b.g.primary && o.id > s.id {
			return false
		}
	}
	return !s.draining
}

// leave has an instance drain and end. The channel is closed once it has ended.
func (b *bookings) leave(s *server) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.leave(b.c.controlAddrs(), 7*time.Second, 200*time.Millisecond)
	}()
	return done
}

// leads returns the primary.
func (g *group) leads() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// leads reports whether a control host leads the others, by its log.
func (h *host) leads() bool {
	b, err := os.ReadFile(filepath.Join(h.c.dir, h.name+".log"))
	if err != nil {
		return false
	}
	leads := false
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, "quorum role, term or leader changed") {
			leads = strings.Contains(line, `"part":"leader"`)
		}
	}
	return leads
}

// calls returns the control host that a server calls first.
func (s *server) calls() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.first
}

// booking runs transactions on an item of its own, with pauses between the statements, over one session as long as
// that lasts.
func (h *history) booking(c *cluster, svc string, k int, stop chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	item := fmt.Sprintf("item%d", k)
	var s *conn
	var own string
	for n := 1; ; n++ {
		select {
		case <-stop:
			if s != nil {
				s.close()
			}
			return
		default:
		}
		if s == nil {
			var err error
			if s, err = dial(c.edge[rand.IntN(len(c.edge))], svc+"-p"); err != nil {
				s = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		if !h.transactionWith(s, item, n, &own, func() { time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond) }) {
			s.close()
			s = nil
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}
