package pool

import (
	"bufio"
	"context"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// dialForWaiting starts to open connections for the waiters, within the limits. The caller holds mu.
func (p *Pool) dialForWaiting(now time.Time) {
	if len(p.waiting) == 0 || p.suspended.Load() || now.Before(p.connLimitUntil) {
		return
	}
	if p.accounts {
		p.dialForAccounts(now)
		return
	}
	for p.dialing < min(len(p.waiting), maxConcurrentDials) && p.open+p.dialing < p.maxConnsNow(now) {
		p.startDial("")
	}
}

// startRenewal waits until a connection may be replaced by a new one: one at a time, and none while the instance
// accepts no more or can't be reached. It returns false if that takes longer than limit. Each true result must be
// followed by endRenewal.
func (p *Pool) startRenewal(limit time.Duration) bool {
	p.renewalOnce.Do(func() { p.renewal = make(chan struct{}, 1) })
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case p.renewal <- struct{}{}:
	case <-t.C:
		return false
	}
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.down || p.suspended.Load() || now.Before(p.connLimitUntil) {
		p.endRenewal()
		return false
	}
	return true
}

func (p *Pool) endRenewal() { <-p.renewal }

// startDial opens a connection for an account in the background. The caller holds mu.
func (p *Pool) startDial(account string) {
	if p.dialingFor == nil {
		p.dialingFor = map[string]int{}
	}
	p.dialing++
	p.dialingFor[account]++
	go p.dial(account)
}

// maxConnsNow returns how many connections this host may currently have: only its share for a
// period after its start. The caller holds mu.
func (p *Pool) maxConnsNow(now time.Time) int {
	limit := p.maxConns
	if p.accounts && now.Before(p.fullUntil) {
		limit = min(limit, p.fullAt)
	}
	if now.Before(p.shareOnlyUntil) {
		limit = min(limit, max(1, p.share))
	}
	if p.accounts && (now.Before(p.shareOnlyUntil) || now.Before(p.shareGrowsAt)) {
		limit = min(limit, max(p.Slots+extraInFlight, p.maxConns/2))
	}
	return limit
}

// dial opens a connection of an account for the first waiter that it serves, or as an idle one.
func (p *Pool) dial(account string) {
	started := p.Now()
	c, code, err := p.connect(account)
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if p.dialingFor[account]--; p.dialingFor[account] == 0 {
		delete(p.dialingFor, account)
	}
	switch {
	case err != nil && p.answersSince(started, err):
		p.Meter.AddCounter("connections.timedout", 1)
		p.dialForWaiting(now)
	case err != nil:
		p.markUnreachable(now, err)
	case code != flow.OK:
		p.recordConnRefusal(now, code)
	default:
		p.markReachable(now)
		p.open++
		p.assign(now, c)
		p.dialForWaiting(now)
	}
}

// connect opens one connection of an account, or of the proxy itself if account is empty. If err is nil, a code other than flow.OK is the instance's reason to
// refuse it.
func (p *Pool) connect(account string) (*Conn, flow.Code, error) {
	p.Meter.AddCounter("connections.opened", 1)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := p.Dial(ctx, p.Addr)
	if err != nil {
		return nil, flow.OK, err
	}
	setTCPOptions(raw)
	raw = p.meter(raw)
	c := &Conn{raw: raw, r: bufio.NewReaderSize(raw, readBufferSize), pool: p, account: account}
	_ = raw.SetDeadline(time.Now().Add(dialTimeout))
	if _, err = raw.Write(p.Codec.AppendStartup(nil, p.Group, account, p.Instance)); err != nil {
		raw.Close()
		return nil, flow.OK, err
	}
	a, err := p.Codec.ReadStartupAnswer(c.r)
	if err != nil || a.Code != flow.OK {
		raw.Close()
		return nil, a.Code, err
	}
	return c, flow.OK, nil
}

// assign gives a connection to the first waiter that it serves. Without such waiters it keeps the connection idle, or
// closes it if the host may only use its share and has more. The caller holds mu.
func (p *Pool) assign(now time.Time, c *Conn) {
	if p.closed || p.suspended.Load() || c.suspended {
		c.raw.Close()
		p.open--
		return
	}
	if i := slices.IndexFunc(p.waiting, func(w *waiter) bool { return c.serves(w.prio) }); i >= 0 {
		if !p.usable(now, c) {
			p.dialForWaiting(now)
			return
		}
		w := p.waiting[i]
		p.use(now, c, w.prio)
		p.waiting = slices.Delete(p.waiting, i, i+1)
		w.done <- connResult{conn: c}
		return
	}
	if p.open > p.share && now.Before(p.shareOnlyUntil) {
		c.raw.Close()
		p.open--
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// recordConnRefusal handles a connection that the instance refused. At its connection limit the instance
// still counts as reachable. The caller holds mu.
func (p *Pool) recordConnRefusal(now time.Time, code flow.Code) {
	p.Meter.AddCounter("connections.refused."+code.String(), 1)
	if code == flow.TooMany {
		p.markReachable(now)
		p.connLimitUntil = now.Add(connLimitPause)
		p.fullAt, p.fullUntil = max(1, p.open), now.Add(fullPeriod)
		if p.open == 0 {
			p.failWaiters(p.connLimitError())
		}
		return
	}
	p.markUnreachable(now, fault.New(fault.NotRun, fault.NoBackend, "instance %s refused the connection: %s", p.Instance, code))
}

// markReachable records that the instance answered. The caller holds mu.
func (p *Pool) markReachable(now time.Time) {
	if p.down {
		p.Log.WithField("instance", p.Instance).WithField("group", p.Group).WithField("after", now.Sub(p.failingSince).String()).Info("instance is reachable again")
	}
	p.down = false
	p.lastAnswer = now
	p.failingSince = time.Time{}
}

// markUnreachable records a failed attempt to open a connection: it fails all waiters and probes the
// instance in the background. The caller holds mu.
func (p *Pool) markUnreachable(now time.Time, err error) {
	if !p.down {
		p.Log.WithField("instance", p.Instance).WithField("group", p.Group).WithField("error", err.Error()).Info("instance is unreachable")
	}
	p.Meter.AddCounter("connections.failed", 1)
	if !p.down && p.OnUnreachable != nil {
		go p.OnUnreachable()
	}
	p.down = true
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	p.failWaiters(p.unreachableError())
	p.startProbing()
}

// recordConnFailure records a failed connection at the time now, and probes the instance in the
// background. The caller holds mu.
func (p *Pool) recordConnFailure(now time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	p.startProbing()
}

// failWaiters ends all waits with an error. The caller holds mu.
func (p *Pool) failWaiters(err error) {
	for _, w := range p.waiting {
		w.done <- connResult{err: err}
	}
	p.waiting = nil
}

// startProbing tries to reach the instance in the background until that succeeds. The caller
// holds mu.
func (p *Pool) startProbing() {
	if p.probing || p.closed || p.suspended.Load() {
		return
	}
	p.probing = true
	go func() {
		for p.probeOnce() {
			time.Sleep(probeInterval)
		}
	}()
}

// probeOnce tries to open a connection and reports whether another attempt is needed.
func (p *Pool) probeOnce() bool {
	c, code, err := p.connect("")
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	again := false
	switch {
	case p.closed:
		if c != nil {
			c.raw.Close()
		}
	case err != nil:
		p.markUnreachable(now, err)
		again = true
	case code != flow.OK && code != flow.TooMany:
		p.recordConnRefusal(now, code)
		again = true
	default:
		p.markReachable(now)
		if c != nil {
			p.open++
			p.assign(now, c)
		}
	}
	p.probing = again
	return again
}
