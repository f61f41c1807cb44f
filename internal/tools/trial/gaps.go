package trial

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// writer writes new rows to a group all the time and keeps what was acknowledged.
type writer struct {
	d     *deployment
	group string
	index int

	mu    sync.Mutex
	acked []ack
	next  int
}

type ack struct {
	id int
	at time.Time
}

// writers is the number of writers that look for the end of a gap.
const writers = 4

func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := w.d.connect(ctx, w.index, w.group, "writer")
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			w.next++
			id := 1000 + w.index + writers*w.next
			if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO stock VALUES (%d, 0)", id)).ReadAll(); err != nil {
				break
			}
			w.mu.Lock()
			w.acked = append(w.acked, ack{id, time.Now()})
			w.mu.Unlock()
		}
		conn.Close(context.Background())
	}
}

func (w *writer) firstAfter(at time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acked {
		if a.at.After(at) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// gaps measures failovers of each cause at the first group, and counts what was lost.
func (d *deployment) gaps(ctx context.Context, n int) ([]Gap, int, error) {
	group := d.group(0)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var list []*writer
	for i := range writers {
		w := &writer{d: d, group: group, index: i}
		list = append(list, w)
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.run(load)
		}()
	}
	causes := []struct {
		name       string
		harm, mend func(name string) error
	}{
		{"kill", func(p string) error { d.servers[p].kill(); return nil }, func(p string) error { return d.servers[p].restart() }},
		{"cut", func(p string) error { d.net.setCut(d.servers[p].addr, true); return nil }, func(p string) error { d.net.setCut(d.servers[p].addr, false); return nil }},
		{"planned", func(p string) error { return d.leaving(ctx, p, true) }, func(p string) error { return d.leaving(ctx, p, false) }},
	}
	var out []Gap
	for _, c := range causes {
		var took []float64
		for range n {
			ms, err := d.gap(list, c.harm, c.mend)
			if err != nil {
				return out, 0, fmt.Errorf("%s: %w", c.name, err)
			}
			took = append(took, ms)
		}
		out = append(out, gapOf(c.name, took))
	}
	cancel()
	wg.Wait()
	lost, err := d.lost(ctx, group, list)
	return out, lost, err
}

func gapOf(cause string, took []float64) Gap {
	sort.Float64s(took)
	return Gap{
		Cause: cause, Count: len(took), Median: took[len(took)/2],
		P99: took[min(len(took)-1, len(took)*99/100)], Largest: took[len(took)-1],
	}
}

func (d *deployment) leaving(ctx context.Context, name string, on bool) error {
	return d.put(ctx, "backendservers/"+name, fmt.Sprintf(`{"spec":{"leaving":%v}}`, on))
}

func (d *deployment) run() *wire.GroupState {
	return d.hosts[4].Agent.View().Get(spec.Groups, d.group(0)).GetGroup()
}

// restPause keeps failovers apart, so that the damping of flapping does not count.
const restPause = 300 * time.Millisecond

// gap does harm to the primary and returns the time to the next acknowledged write in
// milliseconds; then it mends the harm and waits until all instances follow.
func (d *deployment) gap(list []*writer, harm, mend func(string) error) (float64, error) {
	time.Sleep(restPause)
	before := d.run()
	at := time.Now()
	if err := harm(before.Primary); err != nil {
		return 0, err
	}
	if err := d.await(func() bool { r := d.run(); return r.Term > before.Term && r.Phase == wire.Phase_OPEN }); err != nil {
		return 0, err
	}
	opened := time.Now()
	var first time.Time
	err := d.await(func() bool {
		for _, w := range list {
			if t, ok := w.firstAfter(opened); ok && (first.IsZero() || t.Before(first)) {
				first = t
			}
		}
		return !first.IsZero()
	})
	if err != nil {
		return 0, err
	}
	if err := mend(before.Primary); err != nil {
		return 0, err
	}
	return float64(first.Sub(at).Microseconds()) / 1000, d.await(d.allFollow)
}

func (d *deployment) await(ok func() bool) error {
	deadline := time.Now().Add(readyLimit)
	for !ok() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %s", readyLimit)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (d *deployment) allFollow() bool {
	run := d.run()
	for i := range d.site.Size {
		st := d.servers[fmt.Sprintf("%s-%c", d.group(0), 'a'+i)].instance.Status()
		if st.Term != run.Term || !(st.Following || st.Primary) {
			return false
		}
	}
	return true
}

// lost counts the acknowledged rows that are not there.
func (d *deployment) lost(ctx context.Context, group string, list []*writer) (int, error) {
	conn, err := d.connect(ctx, 1, group, "checker")
	if err != nil {
		return 0, err
	}
	defer conn.Close(ctx)
	res, err := conn.Exec(ctx, "SELECT id FROM stock").ReadAll()
	if err != nil {
		return 0, err
	}
	have := map[string]bool{}
	for _, row := range res[0].Rows {
		have[string(row[0])] = true
	}
	lost := 0
	for _, w := range list {
		for _, a := range w.acked {
			if !have[fmt.Sprint(a.id)] {
				lost++
			}
		}
	}
	return lost, nil
}
