package main

import (
	"errors"
	"strings"
	"time"
)

// playLargeAnswer reads an item whose answer has many rows of less than 1 MiB each, one read at a time, with the
// retries of a client. Without the disruption the answer has one row. The rule is broken if the processes of two
// hosts or more end three times each: two hosts are a tenth of those that are in use.
func playLargeAnswer(p *play) (bool, error) {
	const (
		rowBytes  = 1_000_000
		largeRows = 160
		playFor   = 30 * time.Second
		readLimit = 10 * time.Second
		endsLimit = 3
		hostLimit = 2
	)
	rows := largeRows
	if !p.trouble {
		rows = 1
	}
	p.db = newDatabase(p, "huvo11a", 0)
	for range rows {
		p.db.bulk = append(p.db.bulk, strings.Repeat("x", rowBytes))
	}
	if _, _, _, err := startThree(p); err != nil {
		return false, err
	}
	if err := p.startCloud(); err != nil {
		return false, err
	}
	if err := p.startHosts(3, 3); err != nil {
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
	served, failed := 0, 0
	for end, i := time.Now().Add(playFor), 0; time.Now().Before(end); i++ {
		h := p.edges()[i%len(p.edges())]
		cl, err := openClient(addr(h.ip, portFront), "aged")
		if err != nil {
			p.record("session at %s: %v", h.name, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id := p.nextID()
		started := time.Now()
		a, err := cl.ask(id, "READ bulk", readLimit)
		p.record("read %s at %s: %d rows, %d bytes, %q, error %v, after %.3f s", id, h.name, a.rows, a.bytes, a.end, err, time.Since(started).Seconds())
		if err == nil && a.ok() {
			served++
		} else {
			failed++
		}
		cl.close()
		time.Sleep(200 * time.Millisecond)
	}
	hit := 0
	for _, h := range p.hosts {
		h.mu.Lock()
		ends, peak := h.ends, h.peak
		h.mu.Unlock()
		p.record("%s: ended %d times, at most %d MiB of %d", h.name, ends, peak, h.memoryMB)
		if ends >= endsLimit {
			hit++
		}
	}
	p.record("%d reads served, %d failed; %d hosts ended %d times or more", served, failed, hit, endsLimit)
	if !p.trouble && served == 0 {
		return false, errors.New("no read was served")
	}
	return hit < hostLimit, nil
}
