package desk

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// errand is the use of a connection that one of several hosts has to an instance. Which one
// lends it is settled by the first request: a host that has no connection to spare says so
// before anything was sent to the instance.
type errand struct {
	m     *Member
	ways  []string
	rank  int
	until time.Time
	unit  pool.Handle
	// own is set once this host has tried a connection of its own.
	own bool
	// settled is set once a request was sent to the instance.
	settled bool
}

var _ pool.Handle = (*errand)(nil)

func (m *Member) errand(ways []string, patience time.Duration, rank int) *errand {
	m.AddLoad(1)
	return &errand{m: m, ways: ways, rank: rank, until: m.desk.Now().Add(patience)}
}

// Run implements pool.Unit.
func (e *errand) Run(limit time.Duration, values flow.Values, q flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	began := e.m.desk.Now()
	for {
		if err := e.lend(); err != nil {
			return flow.Answer{}, flow.Unsent, err
		}
		now := e.m.desk.Now()
		a, stage, err := e.unit.Run(limit-now.Sub(began), values, q, last)
		if err == nil || stage != flow.Unsent || e.settled {
			e.settled = true
			if err == nil {
				e.m.RecordLatency(e.m.desk.Now().Sub(now))
			}
			return a, stage, err
		}
		e.unit.Close()
		e.unit = nil
		if e.m.desk.Now().After(e.until) {
			return a, stage, err
		}
	}
}

// lend asks the next host, where none has lent a connection yet.
func (e *errand) lend() error {
	for e.unit == nil && len(e.ways) > 0 {
		addr := e.ways[0]
		e.ways = e.ways[1:]
		patience := max(0, e.until.Sub(e.m.desk.Now()))
		u, err := e.m.desk.Borrow(addr, e.m.Group, e.m.Instance, e.rank, patience)
		if err == nil {
			e.unit = u
			e.m.shared.helper.Store(&addr)
		}
	}
	if e.unit != nil {
		return nil
	}
	return e.direct()
}

// direct takes a connection of this host where no other one lends one: it may be cut off from
// them and not from the instance.
func (e *errand) direct() error {
	now := e.m.desk.Now()
	if !e.own && now.Before(e.until) {
		e.own = true
		u, err := e.m.Own(context.Background(), e.until.Sub(now), e.rank)
		if err == nil {
			e.unit = u
			return nil
		}
	}
	e.m.Unlent(e.m.desk.Now())
	return fault.New(fault.NotRun, fault.NoHolder, "no host lends a connection to instance %s", e.m.Instance)
}

// Release implements pool.Unit.
func (e *errand) Release() {
	e.m.AddLoad(-1)
	if e.unit != nil {
		e.unit.Release()
	}
}

// Close implements pool.Unit.
func (e *errand) Close() {
	e.m.AddLoad(-1)
	if e.unit != nil {
		e.unit.Close()
	}
}
