// Command busydrain sends SIGTERM to an entry host whose clients send one read after the other over the
// connections that they have. It checks that each request that was passed on to an instance gets its whole
// answer.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"agatespindle.review/rig"
)

const (
	clients = 16
	// roundTrip is the way of an answer to its client and of the next request back, 1 ms each.
	roundTrip = 2 * time.Millisecond
	// workTime is the time of a read, within the range of the read-only kind of request of juguetoteca-uy
	// (mean 40 ms, at most 300 ms).
	workTime = 200 * time.Millisecond
	// routeTimeoutMs and clientLimit are those of that kind of request.
	routeTimeoutMs = 2000
	clientLimit    = 4 * time.Second
	// lateExcuse is how long after the SIGTERM a request may be sent whose instance may be at work in the
	// last sixth of the grace period.
	lateExcuse = 3 * time.Second
)

func main() {
	os.Exit(rig.Main(os.Args[1], play))
}

// request is one request whose connection ended before the answer.
type request struct {
	id          string
	sent, ended time.Time
}

func play(r *rig.Rig) ([]string, error) {
	g := r.NewGroup("catalogue", 0)
	g.WorkTime, g.Slots, g.MaxConns = workTime, 6, 60
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
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var cut []request
	answered := 0
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * workTime / clients)
			readOn(r, n, entry.Front(), stop, func(q request, ok bool) {
				mu.Lock()
				defer mu.Unlock()
				if ok {
					answered++
				} else {
					cut = append(cut, q)
				}
			})
		}()
	}
	time.Sleep(4 * time.Second)
	begun := time.Now()
	if rig.Trouble() {
		r.Signal(entry, syscall.SIGTERM)
		select {
		case <-entry.Ended():
		case <-time.After((rig.GraceSeconds + 1) * time.Second):
		}
	} else {
		time.Sleep(rig.GraceSeconds * time.Second)
	}
	close(stop)
	wg.Wait()
	r.Logf("%d requests answered, %d connections ended with a request outstanding", answered, len(cut))
	if answered < 100 {
		return nil, fmt.Errorf("%w: %d requests answered", rig.ErrCannotRun, answered)
	}
	return judge(g, begun, cut), nil
}

// judge returns the requests that count as lost: an instance ran them, neither the route's timeout nor the
// client's time limit was reached, and the excuse for the end of the grace period doesn't hold.
func judge(g *rig.Group, terminated time.Time, cut []request) []string {
	var broken []string
	for _, q := range cut {
		_, ran := g.RanAt(q.id)
		took := q.ended.Sub(q.sent)
		sentAfter, endedAfter := q.sent.Sub(terminated), q.ended.Sub(terminated)
		excused := sentAfter <= lateExcuse && endedAfter >= rig.GraceSeconds*time.Second*5/6
		if ran && took < routeTimeoutMs*time.Millisecond && !excused {
			broken = append(broken, fmt.Sprintf("LOST: request %s, sent %s after the SIGTERM and run by an instance, got no answer: its connection ended after %s", q.id, sentAfter, took))
		}
	}
	return broken
}

// readOn sends one read after the other over one session until that ends or stop is closed. It reports each
// request, and whether it was answered.
func readOn(r *rig.Rig, n int, addr string, stop <-chan struct{}, report func(request, bool)) {
	c, err := rig.Connect(addr, "db", nil)
	if err != nil {
		r.Logf("client %d: %s", n, err)
		return
	}
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := request{id: rig.NewID(), sent: time.Now()}
		a := c.Query(q.id, fmt.Sprintf("READ item%d", n), clientLimit)
		q.ended = time.Now()
		r.Logf("client %d: %s READ -> %s, after %s", n, q.id, a, q.ended.Sub(q.sent))
		report(q, a.Lost == nil)
		if a.Lost != nil {
			return
		}
		time.Sleep(roundTrip)
	}
}
