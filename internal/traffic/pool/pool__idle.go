package pool

import (
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/traffic/keep"
)

// takeIdle removes and returns the most recently used idle connection that serves the request and is
// healthy, or nil. It closes unhealthy ones. The caller holds mu.
func (p *Pool) takeIdle(now time.Time, prio Priority) *Conn {
	for i := p.nextIdle(now, prio); i >= 0; i = p.nextIdle(now, prio) {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		if p.usable(now, c) {
			return c
		}
	}
	return nil
}

// usable reports whether a connection is open and nothing has arrived on it while no request was outstanding. It
// closes the connection if not. The caller holds mu.
func (p *Pool) usable(now time.Time, c *Conn) bool {
	switch c.unasked() {
	case adapt.Nothing:
		return true
	case adapt.Data:
		c.noteSurplus()
	case adapt.End:
		p.recordConnFailure(now)
	}
	c.raw.Close()
	p.open--
	return false
}

// nextIdle returns the index of the idle connection that a request gets, or -1: the most recently used one of
// its account. A request of this host itself gets the one that the accounts need least. The caller holds mu.
func (p *Pool) nextIdle(now time.Time, prio Priority) int {
	if p.accounts && prio.own() {
		return keep.Least(now, p.idleUsages())
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].serves(prio) {
			return i
		}
	}
	return -1
}

// putBack returns a connection to the pool after use.
func (p *Pool) putBack(c *Conn) {
	p.load.Add(-1)
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unuse(c)
	p.assign(now, c)
	if p.accounts {
		p.dialForWaiting(now)
	}
}

// discard closes a connection in use, which counts as a failure of the connection unless it is retired.
func (p *Pool) discard(c *Conn) {
	p.load.Add(-1)
	if c.retire != "" {
		p.Meter.AddCounter("connections.retired."+c.retire, 1)
	}
	c.raw.Close()
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unuse(c)
	p.open--
	if !p.closed && !c.suspended {
		if c.lost || c.retire == "" {
			p.recordConnFailure(now)
		}
		p.dialForWaiting(now)
	}
}

// Maintain does the periodic work: it closes connections that were idle for too long, opens one if
// there is none, and probes the instance if it leaves requests unanswered.
func (p *Pool) Maintain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.suspended.Load() {
		return
	}
	if p.pending > 0 && now.Sub(p.unansweredSince) > unansweredLimit {
		p.recordConnFailure(p.unansweredSince)
	}
	p.closeExpired(now)
	if p.share == 0 || p.standby && now.Before(p.shareOnlyUntil) {
		return
	}
	if p.open+p.dialing == 0 && !p.down && !p.probing && !now.Before(p.connLimitUntil) {
		account, _ := p.foremost(now)
		p.startDial(account)
	}
	p.dialForWaiting(now)
	p.dialAhead(now)
}

// closeExpired closes connections that were idle for too long. The caller holds mu.
func (p *Pool) closeExpired(now time.Time) {
	for len(p.idle) > 0 && p.idleExpired(now, now.Sub(p.idle[0].idleSince)) {
		expired := 0
		if p.accounts && p.open > p.shareNow(now) {
			expired = keep.Least(now, p.idleUsages())
		}
		p.closeIdle(expired)
	}
}

// closeIdle closes an idle connection. The caller holds mu.
func (p *Pool) closeIdle(i int) {
	p.idle[i].raw.Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

// idleExpired reports whether a connection that was idle for the given time must be closed. The
// caller holds mu.
func (p *Pool) idleExpired(now time.Time, idle time.Duration) bool {
	switch surplus := p.open > p.shareNow(now); {
	case surplus:
		return idle > surplusIdleTimeout
	case p.accounts:
		return idle > accountIdleTimeout
	}
	return p.open > p.Slots+extraInFlight && idle > shareIdleTimeout
}
