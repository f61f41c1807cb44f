package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// playLostCommit replaces a replica of a service with sync_replicas 1 as planned. With the disruption the other
// replica receives nothing for a while, and the primary crashes meanwhile, after the replaced replica has ended.
// The rule is broken if an acknowledged commit isn't in the log of an instance that is promoted.
func playLostCommit(p *play) (bool, error) {
	const (
		deafFor    = 6 * time.Second
		deafBefore = 2 * time.Second
		crashAfter = 700 * time.Millisecond
		crashFor   = 7 * time.Second
	)
	p.db = newDatabase(p, "huvo11a", 1)
	acked := &ackedWrites{at: map[string]time.Time{}}
	var lost []string
	p.db.onPromote = func(in *instance) {
		have := map[string]bool{}
		for _, e := range in.log {
			for _, id := range e.ids {
				have[id] = true
			}
		}
		missing := acked.without(have)
		p.record("%s has %d writes in its log and lacks %d acknowledged ones: %s", in.id, len(have), len(missing), strings.Join(missing, " "))
		lost = append(lost, missing...)
	}
	a, b, c, err := startThree(p)
	if err != nil {
		return false, err
	}
	if err := p.startCloud(); err != nil {
		return false, err
	}
	if err := p.startHosts(3, 2); err != nil {
		return false, err
	}
	if err := p.declare(7, 1); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	var writers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			write(p, p.edges()[i%len(p.edges())], i, acked, stop)
		}()
	}
	time.Sleep(8 * time.Second)
	if acked.count() == 0 {
		return false, errors.New("no write was acknowledged")
	}
	p.record("%s (replica) is to be replaced: it says draining; %d writes acknowledged so far", b.id, acked.count())
	p.db.mu.Lock()
	b.draining = true
	p.db.mu.Unlock()
	ackedAt, err := b.awaitDrainAck()
	if err != nil {
		return false, err
	}
	p.record("draining of %s acknowledged", b.id)
	time.Sleep(time.Until(ackedAt.Add(drainBound + 500*time.Millisecond - deafBefore)))
	if p.trouble {
		p.setDeaf(c, true)
		time.AfterFunc(deafFor, func() { p.setDeaf(c, false) })
	}
	time.Sleep(deafBefore)
	p.db.mu.Lock()
	log := slices.Clone(b.log)
	b.stop()
	p.db.mu.Unlock()
	b.say("deregister", "draining", "replica")
	p.record("%s has deregistered and ended at %s; its log goes to a new instance at its address", b.id, position{1, uint64(len(log))})
	ended := time.Now()
	if p.trouble {
		time.Sleep(crashAfter)
		p.db.mu.Lock()
		p.record("primary %s crashes at %s; %s is at %s", a.id, a.last(), c.id, c.last())
		a.stop()
		p.db.mu.Unlock()
		time.AfterFunc(crashFor, func() {
			if a.comeBack() == nil {
				p.record("%s is back with its log", a.id)
			}
		})
	}
	time.Sleep(time.Until(ended.Add(addrReuse)))
	next, err := p.db.add("i-4", b.addr, log)
	if err != nil {
		return false, err
	}
	p.record("%s starts at the address of %s with its log, at %s", next.id, b.id, position{1, uint64(len(log))})
	time.Sleep(14 * time.Second)
	close(stop)
	writers.Wait()
	p.db.mu.Lock()
	defer p.db.mu.Unlock()
	p.record("%d writes acknowledged, %d of them not in the log of an instance that was promoted; the service is at term %d", acked.count(), len(lost), p.db.term)
	return len(lost) == 0, nil
}

// startThree starts a primary and two replicas.
func startThree(p *play) (a, b, c *instance, err error) {
	var list [3]*instance
	for i := range list {
		list[i], err = p.db.add(fmt.Sprintf("i-%d", i+1), addr(fmt.Sprintf("%s%d", p.prefix, 101+i), portInstance), nil)
		if err != nil {
			return nil, nil, nil, err
		}
	}
	return list[0], list[1], list[2], nil
}

// awaitDrainAck waits until a heartbeat that says draining is acknowledged.
func (in *instance) awaitDrainAck() (time.Time, error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		in.db.mu.Lock()
		at := in.drainAcked
		in.db.mu.Unlock()
		if !at.IsZero() {
			return at, nil
		}
	}
	return time.Time{}, errors.New("draining was not acknowledged")
}

func (p *play) setDeaf(in *instance, deaf bool) {
	p.db.mu.Lock()
	defer p.db.mu.Unlock()
	in.deaf = deaf
	p.record("%s receives nothing: %t; it is at %s", in.id, deaf, in.last())
}

// ackedWrites are the ids of the writes that clients got a success for.
type ackedWrites struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (w *ackedWrites) add(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at[id] = time.Now()
}

func (w *ackedWrites) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.at)
}

// without returns the acknowledged writes that are not in have, in order.
func (w *ackedWrites) without(have map[string]bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for id := range w.at {
		if !have[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// write sends single writes over a session, one after another, until stop is closed. Each is sent once.
func write(p *play, h *host, n int, acked *ackedWrites, stop <-chan struct{}) {
	var cl *client
	defer func() {
		if cl != nil {
			cl.close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		if cl == nil {
			var err error
			if cl, err = openClient(addr(h.ip, portFront), "strict"); err != nil {
				continue
			}
		}
		id := p.nextID()
		a, err := cl.ask(id, fmt.Sprintf("WRITE item%d v%d", n, i), time.Second)
		switch {
		case err != nil:
			p.record("write %s at %s: no answer (%v)", id, h.name, err)
			cl.close()
			cl = nil
		case a.ok():
			acked.add(id)
			p.record("write %s at %s: %s", id, h.name, a.end)
		default:
			p.record("write %s at %s: %s", id, h.name, a.end)
		}
	}
}
