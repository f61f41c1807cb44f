package pool

import "errors"

// errSuspended is returned for a request that isn't sent because this host gives up its connections.
var errSuspended = errors.New("connections to the instance are given up")

// Suspend closes the connections to the instance and opens no more until Resume, so that the control hosts get one
// although the instance accepts few: the former primary of a group has to hear that it must step down. A transaction
// between two statements is rolled back by the instance. Requests that have been sent are answered first, unless atOnce is
// set: their answers would not count any more.
func (p *Pool) Suspend(atOnce bool) {
	first := p.suspended.CompareAndSwap(false, true)
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
		if c.suspended && !(atOnce && c.pending) {
			continue
		}
		c.suspended = true
		if atOnce || !c.pending {
			c.raw.Close()
			ended++
		}
	}
	p.failWaiters(p.unreachableError())
	if !first && ended == 0 {
		return
	}
	p.Meter.AddCounter("connections.suspended", int64(ended))
	p.Log.WithField("instance", p.Instance).WithField("group", p.Group).WithField("ended", ended).WithField("pending", p.pending).
		Info("connections to the former primary are given up")
}

// Resume ends what Suspend began.
func (p *Pool) Resume() { p.suspended.Store(false) }

// Suspended reports whether this host gives up its connections to the instance.
func (p *Pool) Suspended() bool { return p.suspended.Load() }
