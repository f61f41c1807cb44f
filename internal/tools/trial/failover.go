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

// writer inserts rows into a group continuously and records the acknowledged ones. index is from 0 to
// writerCount-1 and sequence counts the attempts; together they give each attempt its own row id.
type writer struct {
	d     *deployment
	group string
	index int

	mu       sync.Mutex
	acked    []ackedWrite
	sequence int
}

// ackedWrite is an acknowledged insert of a row.
type ackedWrite struct {
	rowID   int
	ackedAt time.Time
}

// writerCount is the number of concurrent writers that detect when a group accepts writes again.
const writerCount = 4

// run inserts rows, reconnecting after each error, until ctx is canceled.
func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := w.d.connect(ctx, w.index, w.group, "writer")
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			w.sequence++
			id := 1000 + w.index + writerCount*w.sequence
			if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO stock VALUES (%d, 0)", id)).ReadAll(); err != nil {
				break
			}
			w.mu.Lock()
			w.acked = append(w.acked, ackedWrite{id, time.Now()})
			w.mu.Unlock()
		}
		conn.Close(context.Background())
	}
}

// firstAckAfter returns when the first write after a time was acknowledged, and whether there is one.
func (w *writer) firstAckAfter(at time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acked {
		if a.ackedAt.After(at) {
			return a.ackedAt, true
		}
	}
	return time.Time{}, false
}

// measureFailovers triggers n failovers for each cause in the first group. It returns the gaps in write
// availability and the number of acknowledged writes that were lost.
func (d *deployment) measureFailovers(ctx context.Context, n int) ([]FailoverGap, int, error) {
	group := d.groupName(0)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var writers []*writer
	for i := range writerCount {
		w := &writer{d: d, group: group, index: i}
		writers = append(writers, w)
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.run(loadCtx)
		}()
	}
	causes := []struct {
		name                  string
		injectFault, endFault func(primary string) error
	}{
		{"kill", func(p string) error { d.servers[p].kill(); return nil }, func(p string) error { return d.servers[p].restart() }},
		{"cut", func(p string) error { d.net.setBlocked(d.servers[p].addr, true); return nil }, func(p string) error { d.net.setBlocked(d.servers[p].addr, false); return nil }},
		{"planned", func(p string) error { return d.setLeaving(ctx, p, true) }, func(p string) error { return d.setLeaving(ctx, p, false) }},
	}
	var gaps []FailoverGap
	for _, c := range causes {
		var gapsMS []float64
		for range n {
			ms, err := d.measureFailover(writers, c.injectFault, c.endFault)
			if err != nil {
				return gaps, 0, fmt.Errorf("%s: %w", c.name, err)
			}
			gapsMS = append(gapsMS, ms)
		}
		gaps = append(gaps, summarizeGaps(c.name, gapsMS))
	}
	cancel()
	wg.Wait()
	lost, err := d.countLostWrites(ctx, group, writers)
	return gaps, lost, err
}

// summarizeGaps sorts the gaps of one cause, in milliseconds, and returns their quantiles.
func summarizeGaps(cause string, gapsMS []float64) FailoverGap {
	sort.Float64s(gapsMS)
	return FailoverGap{
		Cause: cause, Count: len(gapsMS), MedianMS: gapsMS[len(gapsMS)/2],
		P99MS: gapsMS[min(len(gapsMS)-1, len(gapsMS)*99/100)], LargestMS: gapsMS[len(gapsMS)-1],
	}
}

// setLeaving sets or clears the leaving flag of a backend server. Setting it on the primary triggers a
// planned failover.
func (d *deployment) setLeaving(ctx context.Context, name string, leaving bool) error {
	return d.put(ctx, "backendservers/"+name, fmt.Sprintf(`{"spec":{"leaving":%v}}`, leaving))
}

// groupState returns the state of the first group as one of the entry hosts has received it.
func (d *deployment) groupState() *wire.GroupState {
	return d.hosts[4].Agent.View().Get(spec.Groups, d.groupName(0)).GetGroup()
}

// failoverPause separates failovers so that flap damping does not delay the next one.
const failoverPause = 300 * time.Millisecond

// measureFailover injects a fault into the primary and returns the time until a write is acknowledged
// in a later term, in milliseconds. Before it returns, it ends the fault and waits until all instances
// follow the new primary.
func (d *deployment) measureFailover(writers []*writer, injectFault, endFault func(string) error) (float64, error) {
	time.Sleep(failoverPause)
	before := d.groupState()
	injectedAt := time.Now()
	if err := injectFault(before.Primary); err != nil {
		return 0, err
	}
	if err := d.waitUntil(func() bool { g := d.groupState(); return g.Term > before.Term && g.Phase == wire.Phase_OPEN }); err != nil {
		return 0, err
	}
	openedAt := time.Now()
	var firstAck time.Time
	err := d.waitUntil(func() bool {
		for _, w := range writers {
			if t, ok := w.firstAckAfter(openedAt); ok && (firstAck.IsZero() || t.Before(firstAck)) {
				firstAck = t
			}
		}
		return !firstAck.IsZero()
	})
	if err != nil {
		return 0, err
	}
	if err := endFault(before.Primary); err != nil {
		return 0, err
	}
	return float64(firstAck.Sub(injectedAt).Microseconds()) / 1000, d.waitUntil(d.allFollowing)
}

// waitUntil polls until ok returns true. It returns an error after waitTimeout.
func (d *deployment) waitUntil(ok func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s", waitTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// allFollowing reports whether every instance of the first group is the primary or a following
// replica in the group's term.
func (d *deployment) allFollowing() bool {
	group := d.groupState()
	for i := range d.site.GroupSize {
		st := d.servers[fmt.Sprintf("%s-%c", d.groupName(0), 'a'+i)].instance.Status()
		if st.Term != group.Term || !(st.Following || st.Primary) {
			return false
		}
	}
	return true
}

// countLostWrites counts the acknowledged rows that are missing from the group's table.
func (d *deployment) countLostWrites(ctx context.Context, group string, writers []*writer) (int, error) {
	conn, err := d.connect(ctx, 1, group, "checker")
	if err != nil {
		return 0, err
	}
	defer conn.Close(ctx)
	res, err := conn.Exec(ctx, "SELECT id FROM stock").ReadAll()
	if err != nil {
		return 0, err
	}
	found := map[string]bool{}
	for _, row := range res[0].Rows {
		found[string(row[0])] = true
	}
	lost := 0
	for _, w := range writers {
		for _, a := range w.acked {
			if !found[fmt.Sprint(a.rowID)] {
				lost++
			}
		}
	}
	return lost, nil
}
