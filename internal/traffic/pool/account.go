package pool

import (
	"errors"
	"net"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/keep"
)

// dialForAccounts starts to open connections for the waiters, and closes idle ones of other accounts where
// that is needed. The caller holds mu.
func (p *Pool) dialForAccounts(now time.Time) {
	for {
		d := keep.Next(now, p.keepState(now))
		if !d.Open {
			return
		}
		if d.Close >= 0 {
			p.Meter.AddCounter("connections.evicted", 1)
			p.closeIdle(d.Close)
		}
		p.startDial(d.Account)
	}
}

// keepState returns what the decision for the next connection depends on. The caller holds mu.
func (p *Pool) keepState(now time.Time) keep.State {
	limit := p.maxConnsNow(now)
	s := keep.State{
		Idle: p.idleUsages(), Busy: p.busy, Opening: p.dialingFor, Open: p.open, Share: min(max(1, p.shareNow(now)), limit), Max: limit,
		Slots: p.Slots, Latency: p.Latency(),
	}
	for _, w := range p.waiting {
		s.Waiting = append(s.Waiting, keep.Waiting{Account: w.prio.Account, Since: w.since})
	}
	return s
}

// dialAhead opens a connection for the account with the highest demand that has none, if there is room and
// nothing else to open. The caller holds mu.
func (p *Pool) dialAhead(now time.Time) {
	if !p.accounts || p.down || p.probing || p.dialing > 0 || len(p.waiting) > 0 || now.Before(p.connLimitUntil) || p.open >= min(p.shareNow(now), p.maxConnsNow(now)) {
		return
	}
	if account, ok := p.foremost(now); ok {
		p.Meter.AddCounter("connections.ahead", 1)
		p.startDial(account)
	}
}

// foremost returns the account with the highest demand that has no connection. The caller holds mu.
func (p *Pool) foremost(now time.Time) (string, bool) {
	connected := map[string]bool{}
	for _, c := range p.idle {
		connected[c.account] = true
	}
	return p.demand.Foremost(now, func(account string) bool {
		return connected[account] || p.busy[account] > 0 || p.dialingFor[account] > 0
	})
}

// idleUsages returns the usages of the idle connections. The caller holds mu.
func (p *Pool) idleUsages() []keep.Usage {
	list := make([]keep.Usage, len(p.idle))
	for i, c := range p.idle {
		list[i] = c.usage
	}
	return list
}

// answersSince reports whether an attempt to open a connection, begun at started, timed out although the instance
// has answered on another one since, as when the packet that opens a connection is lost. The attempt then shows
// nothing about the instance. Where connections belong to accounts, they are opened so often that such losses
// would make it count as unreachable over and over. The caller holds mu.
func (p *Pool) answersSince(started time.Time, err error) bool {
	var timeout net.Error
	return p.accounts && errors.As(err, &timeout) && timeout.Timeout() && p.lastAnswer.After(started)
}

// use records that a connection is used by a request. The caller holds mu.
func (p *Pool) use(now time.Time, c *Conn, prio Priority) {
	if p.inUse == nil {
		p.inUse = map[*Conn]struct{}{}
	}
	p.inUse[c] = struct{}{}
	if c.account == "" {
		return
	}
	if p.busy == nil {
		p.busy = map[string]int{}
	}
	p.busy[c.account]++
	if !prio.own() {
		c.usage = c.usage.With(now, prio.Rank)
	}
}

// unuse records the end of a use. The caller holds mu.
func (p *Pool) unuse(c *Conn) {
	delete(p.inUse, c)
	if c.account == "" {
		return
	}
	if p.busy[c.account]--; p.busy[c.account] == 0 {
		delete(p.busy, c.account)
	}
}

// CountByAccount adds the numbers of open connections by client account to counts.
func (p *Pool) CountByAccount(counts map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if c.account != "" {
			counts[c.account]++
		}
	}
	for account, n := range p.busy {
		counts[account] += n
	}
}
