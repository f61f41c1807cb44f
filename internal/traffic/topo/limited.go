package topo

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// ErrNoShare is the error of a request that was not sent because this host has no share of the account's
// limit left. Another host may have.
var ErrNoShare error = fault.New(fault.NotRun, fault.CallerLimit, "no share of the account's limit is left")

// limited returns the answer to a request of an account that has used up its limit.
func (m *Member) limited() (flow.Answer, flow.Stage, error) {
	return flow.Answer{Code: flow.Limited, Text: m.Instance, State: flow.Idle}, flow.Answered, nil
}

// limitedHandle counts its use, a statement or a transaction, as one operation of a client account. Its
// first request is refused, before it waits for anything, if the account may start no operation at this host.
type limitedHandle struct {
	pool.Handle
	member  *Member
	account string
	// ctx and deadline end the wait for the account's first share.
	ctx      context.Context
	deadline time.Time
	// admitted is set once a request has run.
	admitted bool
}

var _ pool.Handle = (*limitedHandle)(nil)

// OpenOwn acquires a connection from this host's own pool, waiting at most waitLimit for a free one; a
// lower rank is served first.
func (m *Member) OpenOwn(ctx context.Context, waitLimit time.Duration, prio pool.Priority) (pool.Handle, error) {
	h, err := m.NewHandle(ctx, waitLimit, prio)
	if err != nil || prio.Account == "" || m.topology.Shares == nil {
		return h, err
	}
	deadline := m.topology.Now().Add(min(waitLimit, maxShareWait))
	return &limitedHandle{Handle: h, member: m, account: prio.Account, ctx: ctx, deadline: deadline}, nil
}

const (
	// maxShareWait is how long an operation waits for the first share of its account at a control host.
	maxShareWait = 250 * time.Millisecond
	// sharePollInterval is the time between two looks for it.
	sharePollInterval = 10 * time.Millisecond
)

// take admits the operation or refuses it. At a host that holds shares for all, it first waits for a share
// that is on its way: the account was just declared, or the host has just started.
func (h *limitedHandle) take() (share.Claim, share.Result) {
	t := h.member.topology
	for {
		now := t.Now()
		claim, result := t.Shares.Take(now, h.account)
		if result != share.NoShare || !t.LendOnly || !now.Before(h.deadline) || !t.Shares.Awaits(now, h.account) || h.ctx.Err() != nil {
			return claim, result
		}
		clock.Sleep(h.ctx, sharePollInterval)
	}
}

// Run implements pool.Handle. A request of an account that has used up its limit has an answer with code
// flow.Limited.
func (h *limitedHandle) Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	if h.admitted {
		return h.Handle.Run(timeout, values, req, last)
	}
	t := h.member.topology
	claim, result := h.take()
	switch result {
	case share.Limited:
		t.Meter.AddCounter("limits.refused.limited", 1)
		return h.member.limited()
	case share.NoShare:
		t.Meter.AddCounter("limits.refused.noshare", 1)
		return flow.Answer{}, flow.Unsent, ErrNoShare
	}
	a, stage, err := h.Handle.Run(timeout, values, req, last)
	h.admitted = err != nil && stage != flow.Unsent || err == nil && !a.Code.NotRun()
	claim.Settle(t.Now(), h.admitted)
	return a, stage, err
}

// limitMetricPrefix is the prefix of the gauges of operations refused because of a client account's limit.
const limitMetricPrefix = "limits.refused.account."

// reportLimits sets the gauges of the operations that this host refused, for the accounts with the most.
func (t *Topology) reportLimits(now time.Time) {
	if t.Shares == nil || now.Sub(t.limitsReportedAt) < accountMetricsInterval {
		return
	}
	t.limitsReportedAt = now
	counts := map[string]int{}
	t.Shares.CountRefusals(counts)
	t.limitMetrics = t.showLargest(limitMetricPrefix, counts, t.limitMetrics)
}
