// Command cutanswer sends SIGTERM to an entry host whose clients are receiving answers over its own link of
// 64 Mbit/s. It checks that each request that was passed on to an instance gets its whole answer.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"agatespindle.review/rig"
)

const (
	// linkMbps is the bandwidth of the machine's own link, between the 2 of the grown and the 1,000 of the small
	// installations.
	linkMbps = 64
	clients  = 8
	// stagger is the time between the starts of two clients.
	stagger = 125 * time.Millisecond
	// An answer of 1000 rows of 1000 bytes takes 0.125 s on the link, and 1 s beside seven others.
	// It is smaller than what a host buffers for a client that reads slowly (1 MiB beside the socket).
	rows, rowBytes = 1000, 1000
	// routeTimeoutMs and clientLimit are those of the read-only kind of request on a small installation.
	routeTimeoutMs = 2000
	clientLimit    = 4 * time.Second
)

func main() {
	os.Exit(rig.Main(os.Args[1], play))
}

func play(r *rig.Rig) ([]string, error) {
	g := r.NewGroup("catalogue", 0)
	row := strings.Repeat("x", rowBytes)
	g.Rows = func(string) []string {
		list := make([]string, rows)
		for i := range list {
			list[i] = row
		}
		return list
	}
	if err := r.StartCloud(g); err != nil {
		return nil, err
	}
	if err := r.StartNodes(3, 2); err != nil {
		return nil, err
	}
	for j := range 3 {
		if _, err := g.Start(fmt.Sprintf("i-%d", j+1), 101+j, rig.Zones[j]); err != nil {
			return nil, err
		}
	}
	route := rig.Route("r-1", "db", "bounded_staleness", g.Name, routeTimeoutMs)
	if err := r.Replace(rig.State(1, []map[string]any{route}, []map[string]any{g.Service()})); err != nil {
		return nil, err
	}
	if err := r.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	entry := r.Entries()[0]
	link, err := rig.NewLink(entry.Front(), linkMbps)
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	complete := 0
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * stagger)
			readAll(r, n, link.Addr, stop, func(lost string) {
				mu.Lock()
				defer mu.Unlock()
				if lost == "" {
					complete++
				} else {
					broken = append(broken, lost)
				}
			})
		}()
	}
	time.Sleep(5 * time.Second)
	if rig.Trouble() {
		r.Signal(entry, syscall.SIGTERM)
		select {
		case <-entry.Ended():
		case <-time.After((rig.GraceSeconds + 1) * time.Second):
		}
	} else {
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wg.Wait()
	r.Logf("%d complete answers", complete)
	if complete < 2 {
		return nil, fmt.Errorf("%w: %d complete answers", rig.ErrCannotRun, complete)
	}
	return broken, nil
}

// readAll sends one read after the other, each over a session of its own as the read-only kind of request
// does, until stop is closed. It reports "" for each complete answer, and what was lost of an incomplete
// one.
func readAll(r *rig.Rig, n int, addr string, stop <-chan struct{}, report func(lost string)) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := rig.Connect(addr, "db", nil)
		if err != nil {
			r.Logf("client %d: %s", n, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id := rig.NewID()
		sent := time.Now()
		a := c.Query(id, fmt.Sprintf("READ item%d", n), clientLimit)
		took := time.Since(sent)
		c.Close()
		r.Logf("client %d: %s READ -> %s, after %s", n, id, a, took)
		switch {
		case a.Lost == nil:
			report("")
		case a.Rows > 0 && took < routeTimeoutMs*time.Millisecond:
			report(fmt.Sprintf("LOST: request %s was run by an instance, and its connection ended after %d of %d rows, %s after it was sent", id, a.Rows, rows, took))
		}
	}
}
