package pool

import "errors"

// errVacated is returned for a request that isn't sent because this host gives up its connections.
var errVacated = errors.New("connections to the instance are given up")

// Vacate closes the connections to the instance and opens no more until Occupy, so that the control hosts get one
// although the instance accepts few: the former primary of a group has to hear that it must step down. A transaction
// between two statements is rolled back by the instance. Requests that have been sent are answered first, unless atOnce is
// set: their answers would not count any more.
func (p *Pool) Vacate(atOnce bool) {
	first := p.vacated.CompareAndSwap(false, true)
	if !first && !atOnce {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeIdle(len(p.idle) - 1)
	}
	ended := 0
	for c := range p.inUse {
		if c.vacated && !(atOnce && c.pending) {
			continue
		}
		c.vacated = true
		if atOnce || !c.pending {
			c.raw.Close()
			ended++
		}
	}
	p.failWaiters(p.unreachableError())
	if !first && ended == 0 {
		return
	}
	p.Meter.AddCounter("connections.vacated", int64(ended))
	p.Log.WithField("instance", p.Instance).WithField("group", p.Group).WithField("ended", ended).WithField("pending", p.pending).
		Info("connections to the former primary are given up")
}

// Occupy ends what Vacate began.
func (p *Pool) Occupy() { p.vacated.Store(false) }

// Vacated reports whether this host gives up its connections to the instance.
func (p *Pool) Vacated() bool { return p.vacated.Load() }
