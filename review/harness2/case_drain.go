package main

import (
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playDrainAnswer has clients of one entry host make reads one after another, whose answers have one row of less
// than 1 MiB. With the disruption, that host gets SIGTERM, and SIGKILL after the grace period. The rule is
// broken if one of its processes has passed a read on to an instance, around the SIGTERM, and the connection ends
// without a complete answer before the time limit.
func playDrainAnswer(p *play) (bool, error) {
	const (
		rowBytes  = 1_000_000
		clients   = 36
		warmUp    = 6 * time.Second
		readLimit = 4 * time.Second
	)
	p.db = newDatabase(p, "huvo11a", 0)
	p.db.bulk = []string{strings.Repeat("x", rowBytes)}
	if _, _, _, err := startThree(p); err != nil {
		return false, err
	}
	if err := p.startCloud(); err != nil {
		return false, err
	}
	if err := p.startHosts(3, 2); err != nil {
		return false, err
	}
	if err := p.declare(7, 0); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	for _, h := range p.hosts {
		go h.watchMemory()
	}
	target := p.edges()[0]
	var mu sync.Mutex
	var cuts []cut
	served := 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				cl, err := openClient(addr(target.ip, portFront), "aged")
				for err == nil {
					var a reply
					id, sent := p.nextID(), time.Now()
					a, err = cl.ask(id, "READ bulk", readLimit)
					mu.Lock()
					switch {
					case err != nil:
						cuts = append(cuts, cut{id, sent, time.Now(), a.rows, err})
					case a.ok():
						served++
					default:
						p.record("read %s: %s", id, a.end)
					}
					mu.Unlock()
					if isDone(stop) {
						break
					}
				}
				if cl != nil {
					cl.close()
				}
				if isDone(stop) {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(warmUp)
	mu.Lock()
	p.record("%d reads served, %d cut so far", served, len(cuts))
	before := served
	mu.Unlock()
	if before == 0 {
		return false, errors.New("no read was served")
	}
	signaled := time.Now()
	if p.trouble {
		p.record("SIGTERM to %s", target.name)
		target.mu.Lock()
		target.stopped = true
		_ = target.process.Signal(syscall.SIGTERM)
		target.mu.Unlock()
		time.AfterFunc(graceSeconds*time.Second, func() {
			target.mu.Lock()
			defer target.mu.Unlock()
			if target.process != nil {
				p.record("SIGKILL to %s", target.name)
				_ = target.process.Kill()
			}
		})
	}
	time.Sleep((graceSeconds + 2) * time.Second)
	close(stop)
	wg.Wait()
	return p.judgeCuts(cuts, signaled, readLimit), nil
}

// cut is a read that got no complete answer.
type cut struct {
	id        string
	sent, end time.Time
	rows      int
	err       error
}

// judgeCuts records the reads without a complete answer and reports whether the rule LOST held.
func (p *play) judgeCuts(cuts []cut, signaled time.Time, limit time.Duration) bool {
	held := true
	p.db.mu.Lock()
	defer p.db.mu.Unlock()
	for _, c := range cuts {
		around := p.trouble && c.end.After(signaled) && c.sent.Before(signaled.Add((graceSeconds+1)*time.Second))
		counts := around && p.db.ran[c.id] && c.end.Sub(c.sent) < limit
		held = held && !counts
		p.record("read %s sent %+.3f s from the signal ended after %.3f s with %d rows (%v); run by an instance: %t; counts: %t",
			c.id, c.sent.Sub(signaled).Seconds(), c.end.Sub(c.sent).Seconds(), c.rows, c.err, p.db.ran[c.id], counts)
	}
	return held
}

func isDone(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
