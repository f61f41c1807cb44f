package topo

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// positionQueryTimeout limits a position query. It allows for many round trips, since the query takes
// no slot at the primary.
const positionQueryTimeout = 150 * time.Millisecond

// QueryPosition asks the primary of a group for its current log position, unless a query is already
// pending. The channel is closed when the query ends; an answer has been recorded by then. A read
// that a replica can serve then needs no slot of the primary, even if this host rarely uses it. The
// answer proves that the instance is the primary, so that the query needs no lease.
func (t *Topology) QueryPosition(g *Group) <-chan struct{} {
	g.positions.mu.Lock()
	defer g.positions.mu.Unlock()
	if g.positions.queryDone != nil {
		return g.positions.queryDone
	}
	done := make(chan struct{})
	g.positions.queryDone = done
	t.positionQueries.Add(1)
	go func() {
		defer t.positionQueries.Done()
		t.queryPosition(g)
		g.positions.mu.Lock()
		g.positions.queryDone = nil
		g.positions.mu.Unlock()
		close(done)
	}()
	return done
}

func (t *Topology) queryPosition(g *Group) {
	m := g.Member(g.Primary)
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), positionQueryTimeout)
	defer cancel()
	h, err := m.Open(ctx, positionQueryTimeout, pool.Priority{Rank: pool.UrgentRank})
	if err != nil {
		t.Meter.AddCounter("looks.failed", 1)
		return
	}
	sent := t.Now()
	a, _, err := h.Run(positionQueryTimeout, flow.Values{}, flow.Request{Op: flow.QueryPosition}, true)
	if err != nil {
		h.Close()
		t.Meter.AddCounter("looks.failed", 1)
		return
	}
	h.Release()
	if a.Code == flow.OK {
		g.RecordProvenPosition(sent, a.Position)
		t.Meter.AddCounter("looks.done", 1)
	}
}
