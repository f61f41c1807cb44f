package desk

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// lookLimit bounds a question for the primary's position, which takes no slot there: many
// round trips.
const lookLimit = 150 * time.Millisecond

// Look asks the primary of a group for its position, unless a question is on its way already.
// The channel is closed once the answer, if one came, is among the group's sights. A read that
// a replica can serve then needs no slot of the primary, however seldom this host uses it.
func (d *Desk) Look(g *Group) <-chan struct{} {
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	if g.book.looking != nil {
		return g.book.looking
	}
	done := make(chan struct{})
	g.book.looking = done
	d.looks.Add(1)
	go func() {
		defer d.looks.Done()
		d.look(g)
		g.book.mu.Lock()
		g.book.looking = nil
		g.book.mu.Unlock()
		close(done)
	}()
	return done
}

func (d *Desk) look(g *Group) {
	m := g.Member(g.Primary)
	if m == nil || !d.Current(d.Now(), g) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookLimit)
	defer cancel()
	u, err := m.Open(ctx, lookLimit, pool.Urgent)
	if err != nil {
		d.Meter.AddCounter("looks.failed", 1)
		return
	}
	sent := d.Now()
	a, _, err := u.Run(lookLimit, flow.Values{}, flow.Request{Op: flow.Look}, true)
	if err != nil {
		u.Close()
		d.Meter.AddCounter("looks.failed", 1)
		return
	}
	u.Release()
	if a.Code == flow.OK && d.Saw(d.Now(), sent, g, a.Mark) {
		d.Meter.AddCounter("looks.done", 1)
	}
}
