package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["release"] = release }

// release replaces the primary of a group whose commits need a copy: the new instance starts first, the old one
// drains half a second later. In trouble, the control host to which the new instance sends its first heartbeat
// stands still meanwhile, so that the instance calls the next one after a second.
func release(rec *recorder, trouble bool) {
	rec.detail = true
	c := newCluster(rec, 3, 3)
	defer c.shutdown()
	svc := "huvo11a"
	h := newHistory()
	g := newGroup(rec, svc, 1)
	g.onTakeOver = func(s *server) { h.judgeTakeOver(g, s) }
	c.groups[svc] = g
	c.config = func(v int) []byte { return desired(v, 1, 800, 200, svc) }
	var servers []*server
	start := func(s *server, control []string) {
		if err := g.start(s, control, 1200*time.Millisecond); err != nil {
			fail(err)
		}
		servers = append(servers, s)
	}
	next := func() *server {
		n := 201 + len(servers)
		return &server{id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: fmt.Sprintf("%s%d:8080", c.prefix, n), zone: zones[n%3], receiveIn: time.Millisecond}
	}
	if err := c.run(func() {
		for i := range 3 {
			s := next()
			s.first = c.controlAddrs()[i%2]
			start(s, c.controlAddrs())
		}
	}); err != nil {
		fail(err)
	}
	if !c.waitReady(20 * time.Second) {
		fail(fmt.Errorf("not ready"))
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go h.booking(c, svc, i, stop, &wg)
	}
	time.Sleep(3 * time.Second)
	old := g.leads()
	still := c.control[0]
	for _, host := range c.control {
		used := false
		for _, s := range servers {
			used = used || s.calls() == host.ip+":8782"
		}
		if !used || still.ip+":8782" == old.calls() {
			still = host
		}
	}
	if trouble {
		still.signal(syscall.SIGSTOP)
	}
	time.Sleep(300 * time.Millisecond)
	fresh := next()
	fresh.first = still.ip + ":8782"
	start(fresh, c.controlAddrs())
	time.Sleep(500 * time.Millisecond)
	var later sync.WaitGroup
	later.Add(1)
	go func() { defer later.Done(); old.leave(c.controlAddrs(), 7*time.Second, 200*time.Millisecond) }()
	time.Sleep(3 * time.Second)
	still.signal(syscall.SIGCONT)
	later.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	h.judgeEnd(g)
	rec.note("%d writes acknowledged, codes %v", h.writes, h.codes)
	if h.writes < 200 {
		fail(fmt.Errorf("only %d writes were acknowledged", h.writes))
	}
}

// leads returns the primary.
func (g *group) leads() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
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
