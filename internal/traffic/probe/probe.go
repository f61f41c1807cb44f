// Package probe monitors the health of one backend server: it keeps the latest status and decides
// whether the server has failed.
package probe

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

const (
	// redialDelay is the delay before a status stream that has ended is opened again.
	redialDelay = 50 * time.Millisecond
	// failAfterRefusals is the number of consecutive refused connections after which the server has
	// failed: its host responds, but no process listens on the port.
	failAfterRefusals = 3
	// roleTimeout is how long a server must deny that it is the primary of an open term before it has failed
	// as such. Servers send their status at least every 100 ms, so that a status from before the promotion
	// does not count for that long.
	roleTimeout = 300 * time.Millisecond
)

// Probe monitors a backend server. The exported fields are set before Run.
type Probe struct {
	Server adapt.Server
	// SilenceTimeout is how long a server may send no status before it has failed.
	SilenceTimeout time.Duration
	// Now returns the current time. Tests may replace it.
	Now func() time.Time
	// OnUpdate, if set, is called after each status and each end of the status stream.
	OnUpdate func()

	mu        sync.Mutex
	status    adapt.Status
	hasStatus bool
	// roleSince is when the server first reported its present role and term.
	roleSince           time.Time
	lastStatusAt        time.Time
	started             time.Time
	consecutiveRefusals int
}

// Run starts monitoring until ctx is done. The channel then receives nil.
func (p *Probe) Run(ctx context.Context) <-chan error {
	p.started = p.Now()
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			p.recordWatchEnd(p.watch(ctx))
			select {
			case <-ctx.Done():
			case <-time.After(redialDelay):
			}
		}
		done <- nil
	}()
	return done
}

// watch reads one status stream until it ends or has been silent for SilenceTimeout.
func (p *Probe) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(p.SilenceTimeout, cancel)
	defer silenceTimer.Stop()
	return p.Server.Watch(ctx, func(s adapt.Status) {
		silenceTimer.Reset(p.SilenceTimeout)
		p.recordStatus(s)
	})
}

// recordStatus stores a status that the server sent.
func (p *Probe) recordStatus(s adapt.Status) {
	now := p.Now()
	p.mu.Lock()
	if !p.hasStatus || s.Primary != p.status.Primary || s.Term != p.status.Term {
		p.roleSince = now
	}
	p.status = s
	p.hasStatus = true
	p.lastStatusAt = now
	p.consecutiveRefusals = 0
	p.mu.Unlock()
	if p.OnUpdate != nil {
		p.OnUpdate()
	}
}

// recordWatchEnd counts consecutive refused connections after a status stream has ended with err.
func (p *Probe) recordWatchEnd(err error) {
	p.mu.Lock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.consecutiveRefusals++
	} else {
		p.consecutiveRefusals = 0
	}
	p.mu.Unlock()
	if p.OnUpdate != nil {
		p.OnUpdate()
	}
}

// Status returns the latest status. It reports false before the first one.
func (p *Probe) Status() (adapt.Status, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, p.hasStatus
}

// Alive reports whether the server sent a status within SilenceTimeout before now and has refused no
// connection since.
func (p *Probe) Alive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasStatus && p.consecutiveRefusals == 0 && now.Sub(p.lastStatusAt) < p.SilenceTimeout
}

// Failed reports whether the server has failed: it sent no status for SilenceTimeout, or refused
// failAfterRefusals connections in a row. A slow server still sends its status and has not failed.
func (p *Probe) Failed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.consecutiveRefusals >= failAfterRefusals {
		return true
	}
	last := p.started
	if p.hasStatus {
		last = p.lastStatusAt
	}
	return now.Sub(last) >= p.SilenceTimeout
}

// LostRole reports whether the server has said for roleTimeout that it is not the primary of a term which
// has been open, with this server as its primary, since the given time. A primary that starts anew does
// not resume its role, so that its term has no primary although the server is alive.
func (p *Probe) LostRole(now time.Time, term uint64, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasStatus || p.status.Primary && p.status.Term == term || p.lastStatusAt.Before(since) {
		return false
	}
	if p.roleSince.After(since) {
		since = p.roleSince
	}
	return now.Sub(since) >= roleTimeout
}
