package topo

import (
	"context"
	"errors"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// borrowedHandle is a connection to an instance that is borrowed from one of several hosts. The first
// request selects the lender: a host that has no free connection says so before anything is sent
// to the instance, and the next one is asked.
type borrowedHandle struct {
	member *Member
	// lenders are the addresses of the hosts that have not been asked yet.
	lenders []string
	prio    pool.Priority
	// deadline ends the wait for a connection.
	deadline time.Time
	// handle is the connection in use: a borrowed one, or one of this host's own pool. It is nil
	// before the first request.
	handle pool.Handle
	// triedOwn is set once this host has tried to use a connection of its own.
	triedOwn bool
	// dedicatedLeft is the number of control hosts among lenders.
	dedicatedLeft int
	// refused is set once a lender had no share of the account's limit left.
	refused bool
	// sent is set once a request may have been sent to the instance.
	sent bool
}

var _ pool.Handle = (*borrowedHandle)(nil)

// borrow returns a handle on a connection from one of the lenders, which are asked in order. It counts
// as load until it is released or closed.
func (m *Member) borrow(lenders []string, waitLimit time.Duration, prio pool.Priority) *borrowedHandle {
	m.AddLoad(1)
	return &borrowedHandle{member: m, lenders: lenders, dedicatedLeft: min(m.dedicatedCount, len(lenders)), prio: prio, deadline: m.topology.Now().Add(waitLimit)}
}

// Run implements pool.Handle.
func (b *borrowedHandle) Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	start := b.member.topology.Now()
	for {
		if b.refused && b.dedicatedLeft == 0 {
			// Control hosts send nearly all statements, so they hold nearly the whole limit.
			return b.member.limited()
		}
		if err := b.acquire(); err != nil {
			return flow.Answer{}, flow.Unsent, err
		}
		sentAt := b.member.topology.Now()
		b.member.state.view.Sent(sentAt)
		a, stage, err := b.handle.Run(timeout-sentAt.Sub(start), values, req, last)
		b.member.state.view.Done(sentAt)
		if err == nil || stage != flow.Unsent || b.sent {
			b.sent = true
			if err == nil && !a.Code.NotRun() {
				b.member.RecordLatency(b.member.topology.Now().Sub(sentAt))
			}
			return a, stage, err
		}
		b.handle.Close()
		b.handle = nil
		b.refused = b.refused || errors.Is(err, ErrNoShare)
		if b.member.topology.Now().After(b.deadline) {
			return a, stage, err
		}
	}
}

// acquire borrows a connection from the next lender that accepts, unless one is already held. If
// none does, it falls back to a connection of this host.
func (b *borrowedHandle) acquire() error {
	for b.handle == nil && len(b.lenders) > 0 {
		addr := b.lenders[0]
		b.lenders = b.lenders[1:]
		b.dedicatedLeft = max(0, b.dedicatedLeft-1)
		waitLimit := max(0, b.deadline.Sub(b.member.topology.Now()))
		h, err := b.member.topology.Borrow(addr, b.member.Group, b.member.Instance, b.prio, waitLimit)
		if err == nil {
			b.handle = h
			b.member.state.lastLender.Store(&addr)
		}
	}
	if b.handle != nil {
		return nil
	}
	return b.openOwn()
}

// openOwn opens a connection of this host if no lender has one: this host may be partitioned from
// the lenders but not from the instance.
func (b *borrowedHandle) openOwn() error {
	now := b.member.topology.Now()
	if !b.triedOwn && now.Before(b.deadline) {
		b.triedOwn = true
		h, err := b.member.OpenOwn(context.Background(), b.deadline.Sub(now), b.prio)
		if err == nil {
			b.handle = h
			return nil
		}
	}
	b.member.RecordNoLender(b.member.topology.Now())
	return fault.New(fault.NotRun, fault.NoHolder, "no host could lend a connection to instance %s", b.member.Instance)
}

// Release implements pool.Handle.
func (b *borrowedHandle) Release() {
	b.member.AddLoad(-1)
	if b.handle != nil {
		b.handle.Release()
	}
}

// Close implements pool.Handle.
func (b *borrowedHandle) Close() {
	b.member.AddLoad(-1)
	if b.handle != nil {
		b.handle.Close()
	}
}
