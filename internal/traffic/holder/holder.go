// Package holder runs requests for the database groups that this host holds. The holder of a group
// is the one host that keeps connections to its backend servers; other hosts forward their callers'
// requests to it.
package holder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/probe"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
)

const (
	// maintainInterval is the maximum time between two updates of the groups that this host holds
	// or observes.
	maintainInterval = 50 * time.Millisecond
	// reconcileInterval is the maximum time between two updates of all groups.
	reconcileInterval = 5 * time.Second
	// answerLinesPerSecond and answerLinesBurst limit the log lines about answers that no statement waits for.
	answerLinesPerSecond = 1
	answerLinesBurst     = 10
)

// Holder runs requests for the groups that this host holds. Set the exported fields before calling
// Run.
type Holder struct {
	// Host and Center are this host's name and data centre.
	Host   string
	Center string
	// Agent provides the host's lease and its view of the resources.
	Agent *agent.Agent
	// NewAdapter returns the adapter for a backend server of a group; tests replace it.
	NewAdapter func(addr, group string) adapt.Server
	// FailureTimeout is the time without a status after which a primary counts as failed.
	FailureTimeout time.Duration
	// Routing holds the limits for the choice of backend servers.
	Routing route.Options
	// OnPrimaryRead, if set, is called for each read that goes to the primary, with the log
	// position that a replica would have needed. Measurements use it.
	OnPrimaryRead func(group string, position uint64)
	Log           *logs.Logger
	Meter         *meter.Meter
	// Now returns the current time; tests replace it.
	Now func() time.Time

	ctx context.Context
	// lastView and reconciledAt are the view and the time of the last reconciliation.
	lastView     *agent.View
	reconciledAt time.Time
	// mu guards pools and observed, by group, and limiters, by caller.
	mu       sync.Mutex
	pools    map[string]*pool
	observed map[string]*observedPrimary
	limiters map[string]*rateLimiter
	// forwarded is the number of requests of other hosts that have not been answered.
	forwarded atomic.Int64
	// answerLines limits the lines about answers that no statement waits for.
	answerLines *logs.RateLimiter
	wg          sync.WaitGroup
}

// observedPrimary is a primary that this host probes without holding its group.
type observedPrimary struct {
	// primary is the name of the primary, and term is the group's term.
	primary string
	term    uint64
	// openSince is when this host learned that the term is open; zero while it is not.
	openSince time.Time
	addr      string
	probe     *probe.Probe
	cancel    context.CancelFunc
	failed    bool
}

// setTerm records the present term of the group and whether it is open.
func (o *observedPrimary) setTerm(now time.Time, state *wire.GroupState) {
	open := state.Phase == wire.Phase_OPEN
	if !open || o.term != state.Term {
		o.openSince = time.Time{}
	}
	if open && o.openSince.IsZero() {
		o.openSince = now
	}
	o.term = state.Term
}

// hasFailed reports whether the primary counts as failed.
func (o *observedPrimary) hasFailed(now time.Time) bool {
	return o.probe.Failed(now) || !o.openSince.IsZero() && o.probe.LostRole(now, o.term, o.openSince)
}

// Prepare initializes the holder. Call it before Run.
func (h *Holder) Prepare() {
	h.pools = map[string]*pool{}
	h.observed = map[string]*observedPrimary{}
	h.limiters = map[string]*rateLimiter{}
	h.answerLines = &logs.RateLimiter{PerSecond: answerLinesPerSecond, Burst: answerLinesBurst}
}

// Run keeps pools and probes up to date until ctx is done. It then closes them, waits for its
// goroutines and sends nil on the channel.
func (h *Holder) Run(ctx context.Context) <-chan error {
	h.ctx = ctx
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(maintainInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			view, changed := h.Agent.Changes()
			if now := h.Now(); view != h.lastView || now.Sub(h.reconciledAt) >= reconcileInterval {
				h.reconcile(now, view)
			} else {
				h.maintain(now, view)
			}
			select {
			case <-ctx.Done():
			case <-tick.C:
			case <-changed:
			}
		}
		h.closeAll()
		h.wg.Wait()
		done <- nil
	}()
	return done
}

func (h *Holder) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pools {
		p.close()
	}
	for _, o := range h.observed {
		o.cancel()
	}
}

// maintain updates the groups that this host holds or observes. Unlike reconcile, its cost does
// not grow with the number of groups that other hosts hold.
func (h *Holder) maintain(now time.Time, view *agent.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.pools {
		r := view.Get(spec.Groups, name)
		if r.GetGroup().GetHolder() == h.Host {
			h.maintainPool(now, view, r)
		} else {
			h.releasePool(now, name)
		}
	}
	for _, o := range h.observed {
		h.reportFailureChange(now, o)
	}
}

// reconcile brings pools and probes in line with all groups in the view.
func (h *Holder) reconcile(now time.Time, view *agent.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastView, h.reconciledAt = view, now
	hosts := place.EntryHosts(view.List(spec.Hosts))
	declared := map[string]bool{}
	for _, r := range view.List(spec.Groups) {
		if r.Group == nil {
			continue
		}
		declared[r.Name] = true
		if r.Group.Holder == h.Host {
			h.maintainPool(now, view, r)
		} else {
			h.releasePool(now, r.Name)
		}
		h.updateProbe(now, view, r, hosts)
	}
	for name := range h.pools {
		if !declared[name] {
			h.releasePool(now, name)
		}
	}
	for name := range h.observed {
		if !declared[name] {
			h.stopProbe(name)
		}
	}
}

// maintainPool updates the pool of a held group and creates it if there is none. The caller holds
// mu.
func (h *Holder) maintainPool(now time.Time, view *agent.View, r *wire.Resource) {
	p := h.pools[r.Name]
	if p == nil {
		h.Log.WithField("group", r.Name).Info("started holding group")
		p = newPool(h, r.Name)
		h.pools[r.Name] = p
	}
	p.update(now, r, view.Instances(r.Name))
}

// releasePool closes the pool of a group that this host no longer holds, once its work has ended
// or drainTimeout has passed. The caller holds mu.
func (h *Holder) releasePool(now time.Time, name string) {
	p := h.pools[name]
	if p == nil {
		return
	}
	if p.retire(now) {
		h.Log.WithField("group", name).Info("stopped holding group")
		p.close()
		delete(h.pools, name)
	}
}

// updateProbe runs a probe of the group's primary while this host is one of its observers, and
// stops it otherwise.
func (h *Holder) updateProbe(now time.Time, view *agent.View, r *wire.Resource, hosts []place.Host) {
	name := r.Name
	if r.Group.Holder == h.Host || !h.isObserver(name, r.Group.Holder, hosts) || r.Group.Primary == "" {
		h.stopProbe(name)
		return
	}
	addr := view.Get(spec.Backends, r.Group.Primary).GetBackend().GetAddr()
	o := h.observed[name]
	if o == nil || o.addr != addr || o.primary != r.Group.Primary {
		h.stopProbe(name)
		o = h.startProbe(name, addr)
		o.primary = r.Group.Primary
	}
	o.setTerm(now, r.Group)
	h.reportFailureChange(now, o)
}

// reportFailureChange renews the lease at once when a primary starts or stops counting as failed,
// since renewals carry that report to the control leader.
func (h *Holder) reportFailureChange(now time.Time, o *observedPrimary) {
	if failed := o.hasFailed(now); failed != o.failed {
		o.failed = failed
		h.Agent.RenewNow()
	}
}

func (h *Holder) isObserver(name, holder string, hosts []place.Host) bool {
	return slices.Contains(place.Observers(name, holder, hosts), h.Host)
}

func (h *Holder) startProbe(name, addr string) *observedPrimary {
	ctx, cancel := context.WithCancel(h.ctx)
	o := &observedPrimary{addr: addr, cancel: cancel}
	o.probe = &probe.Probe{Server: h.NewAdapter(addr, name), SilenceTimeout: h.FailureTimeout, Now: h.Now}
	h.observed[name] = o
	h.waitOnExit(o.probe.Run(ctx))
	return o
}

func (h *Holder) stopProbe(name string) {
	if o := h.observed[name]; o != nil {
		o.cancel()
		delete(h.observed, name)
	}
}

// waitOnExit makes Run wait for the goroutine that sends on done.
func (h *Holder) waitOnExit(done <-chan error) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		<-done
	}()
}

// FailedPrimaries returns the primaries that count as failed, in groups that this host holds or
// observes, for the next lease renewal.
func (h *Holder) FailedPrimaries(now time.Time) []*wire.PrimaryHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.PrimaryHealth
	for name, o := range h.observed {
		if o.hasFailed(now) {
			list = append(list, &wire.PrimaryHealth{Group: name, Term: o.term, Primary: o.primary})
		}
	}
	for name, p := range h.pools {
		if s := p.failedPrimary(now); s != nil {
			s.Group = name
			list = append(list, s)
		}
	}
	return list
}

// Released returns, for the next lease renewal, the held groups in which this host acknowledges no
// more writes of earlier terms, and the groups that it held before and whose connections it has
// closed.
func (h *Holder) Released(now time.Time) []*wire.ReleaseReport {
	view := h.Agent.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.ReleaseReport
	for _, r := range view.List(spec.Groups) {
		state := r.Group
		p := h.pools[r.Name]
		switch {
		case state == nil:
		case state.Holder == h.Host && state.Phase != wire.Phase_OPEN:
			if p == nil || p.writesEndedBefore(now, state.Term) {
				list = append(list, &wire.ReleaseReport{Group: r.Name, Term: state.Term})
			}
		case state.Holder != h.Host && p == nil && slices.Contains(state.Prior, h.Host):
			list = append(list, &wire.ReleaseReport{Group: r.Name, Term: state.Term, Held: state.Held})
		}
	}
	return list
}

// Open starts a unit of work on a group that this host holds. Its errors have verdict NotRun and
// reason NoLease, NotHolder or CallerLimit.
func (h *Holder) Open(now time.Time, req *wire.WorkRequest) (*Work, error) {
	if !h.Agent.LeaseValid(now) {
		return nil, fault.New(fault.NotRun, fault.NoLease, "host %s has no valid lease", h.Host)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[req.Group]
	if p == nil || p.isRetired() {
		return nil, fault.New(fault.NotRun, fault.NotHolder, "host %s does not hold group %s", h.Host, req.Group)
	}
	if !h.limiter(req).allow(now) {
		return nil, fault.New(fault.NotRun, fault.CallerLimit, "caller %s exceeded its rate limit of %d statements per second", req.Caller, req.Rate)
	}
	return p.newWork(req), nil
}

// Idle reports whether this host has no pools, neither of held groups nor draining ones.
func (h *Holder) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pools) == 0
}

// Forwarded returns the number of requests of other hosts that have not been answered. A request outside
// of a transaction counts until the other host has received the answer.
func (h *Holder) Forwarded() int { return int(h.forwarded.Load()) }

// reportUnasked counts and logs a message of a backend server that no statement waits for.
func (h *Holder) reportUnasked(now time.Time, c *conn, kind byte) {
	h.Meter.AddCounter("answers.unasked", 1)
	h.logAnswer(now, c, kind, "backend server sent what no statement waits for")
}

// reportImpossible counts and logs a message that can't be a part of the answer to the statement that was sent.
func (h *Holder) reportImpossible(now time.Time, c *conn, kind byte) {
	h.Meter.AddCounter("answers.impossible", 1)
	h.logAnswer(now, c, kind, "backend server's answer does not belong to the statement")
}

func (h *Holder) logAnswer(now time.Time, c *conn, kind byte, text string) {
	if skipped, ok := h.answerLines.Allow(now); ok {
		h.Log.WithField("instance", c.server.name).WithField("message", string(rune(kind))).WithField("transaction", c.inTransaction()).
			WithField("skipped", skipped).Warn(text)
	}
}
