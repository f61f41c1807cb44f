// Package probe provides the watch over one backend server: its latest status, and whether
// it counts as failed.
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
	redialDelay = 50 * time.Millisecond
	// failAfterRefusals is the number of refused connections in a row that count as a failure: the
	// host answers, and nothing listens there.
	failAfterRefusals = 3
)

// Probe watches a backend server. The exported fields are set before Run.
type Probe struct {
	Server adapt.Server
	// SilenceTimeout is how long a server must be silent to count as failed.
	SilenceTimeout time.Duration
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
	// OnUpdate, where set, is called after each status and after each change of Failed's causes.
	OnUpdate func()

	mu           sync.Mutex
	status       adapt.Status
	hasStatus    bool
	lastStatusAt time.Time
	started      time.Time
	refusedInRow int
}

// Run watches until ctx ends; the end is reported on the channel.
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

// watch follows one stream; a stream that falls silent is given up and opened anew.
func (p *Probe) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(p.SilenceTimeout, cancel)
	defer idle.Stop()
	return p.Server.Watch(ctx, func(s adapt.Status) {
		idle.Reset(p.SilenceTimeout)
		p.recordStatus(s)
	})
}

func (p *Probe) recordStatus(s adapt.Status) {
	p.mu.Lock()
	p.status = s
	p.hasStatus = true
	p.lastStatusAt = p.Now()
	p.refusedInRow = 0
	p.mu.Unlock()
	if p.OnUpdate != nil {
		p.OnUpdate()
	}
}

func (p *Probe) recordWatchEnd(err error) {
	p.mu.Lock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.refusedInRow++
	} else {
		p.refusedInRow = 0
	}
	p.mu.Unlock()
	if p.OnUpdate != nil {
		p.OnUpdate()
	}
}

// Status returns the latest status; false before the first one.
func (p *Probe) Status() (adapt.Status, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, p.hasStatus
}

// Alive reports whether the server was heard a short time ago.
func (p *Probe) Alive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasStatus && p.refusedInRow == 0 && now.Sub(p.lastStatusAt) < p.SilenceTimeout
}

// Failed reports whether the server counts as failed: silent for long, or refusing
// connections several times in a row. A slow server still sends its status.
func (p *Probe) Failed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedInRow >= failAfterRefusals {
		return true
	}
	last := p.started
	if p.hasStatus {
		last = p.lastStatusAt
	}
	return now.Sub(last) >= p.SilenceTimeout
}
