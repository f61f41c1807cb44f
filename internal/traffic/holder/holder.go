// Package holder provides the connections to the backend servers of the groups that this
// host holds, and runs the work of all hosts on them.
package holder

import (
	"context"
	"slices"
	"sync"
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
	// maintainInterval is the longest time between two rounds of upkeep.
	maintainInterval = 50 * time.Millisecond
	// reconcileInterval is the longest time between two looks at all groups.
	reconcileInterval = 5 * time.Second
)

// Holder holds groups. The exported fields are set before Run.
type Holder struct {
	// Host and Center are this host's name and data centre.
	Host   string
	Center string
	Agent  *agent.Agent
	// NewAdapter returns the adapter for a backend server of a group; it is a seam for tests.
	NewAdapter func(addr, group string) adapt.Server
	// FailureTimeout is how long a primary must be silent to count as failed.
	FailureTimeout time.Duration
	// Routing are the limits of routing.
	Routing route.Options
	// OnPrimaryRead, where set, is called for each read that goes to the primary, with the
	// position that a replica would have needed; it is a seam for measurements.
	OnPrimaryRead func(group string, position uint64)
	Log           *logs.Logger
	Meter         *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	ctx          context.Context
	lastView     *agent.View
	reconciledAt time.Time
	mu           sync.Mutex
	pools        map[string]*pool
	observed     map[string]*observedPrimary
	limiters     map[string]*rateLimiter
	wg           sync.WaitGroup
}

// observedPrimary is the probe of a primary that this host observes without holding its group.
type observedPrimary struct {
	instance string
	term     uint64
	addr     string
	probe    *probe.Probe
	cancel   context.CancelFunc
	failed   bool
}

// Prepare makes the holder ready for calls; Run must follow.
func (h *Holder) Prepare() {
	h.pools = map[string]*pool{}
	h.observed = map[string]*observedPrimary{}
	h.limiters = map[string]*rateLimiter{}
}

// Run holds groups until ctx ends; the end is reported on the channel.
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
	for _, w := range h.observed {
		w.cancel()
	}
}

// maintain looks after the groups that this host holds or observes. Its cost does not grow
// with the groups of other hosts.
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
	for _, w := range h.observed {
		h.reportFailureChange(now, w)
	}
}

// reconcile brings pools and probes in line with a view that has changed.
func (h *Holder) reconcile(now time.Time, view *agent.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastView, h.reconciledAt = view, now
	hosts := place.Entries(view.List(spec.Hosts))
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

func (h *Holder) maintainPool(now time.Time, view *agent.View, r *wire.Resource) {
	p := h.pools[r.Name]
	if p == nil {
		h.Log.WithField("group", r.Name).Info("holding group")
		p = newPool(h, r.Name)
		h.pools[r.Name] = p
	}
	p.update(now, r, view.Instances(r.Name))
}

// releasePool ends the pool of a group that another host holds: work in flight ends first, within
// a grace. The caller holds mu.
func (h *Holder) releasePool(now time.Time, name string) {
	p := h.pools[name]
	if p == nil {
		return
	}
	if p.retire(now) {
		h.Log.WithField("group", name).Info("group let go")
		p.close()
		delete(h.pools, name)
	}
}

// updateProbe keeps a probe on the primary while this host is one of its observers.
func (h *Holder) updateProbe(now time.Time, view *agent.View, r *wire.Resource, hosts []place.Host) {
	name := r.Name
	if r.Group.Holder == h.Host || !h.isObserver(name, r.Group.Holder, hosts) || r.Group.Primary == "" {
		h.stopProbe(name)
		return
	}
	addr := view.Get(spec.Backends, r.Group.Primary).GetBackend().GetAddr()
	w := h.observed[name]
	if w == nil || w.addr != addr || w.instance != r.Group.Primary {
		h.stopProbe(name)
		w = h.startProbe(name, addr)
		w.instance = r.Group.Primary
	}
	w.term = r.Group.Term
	h.reportFailureChange(now, w)
}

// reportFailureChange tells control at once when a primary's failure is noticed or over.
func (h *Holder) reportFailureChange(now time.Time, w *observedPrimary) {
	if failed := w.probe.Failed(now); failed != w.failed {
		w.failed = failed
		h.Agent.RenewNow()
	}
}

func (h *Holder) isObserver(name, holder string, hosts []place.Host) bool {
	return slices.Contains(place.Observers(name, holder, hosts), h.Host)
}

func (h *Holder) startProbe(name, addr string) *observedPrimary {
	ctx, cancel := context.WithCancel(h.ctx)
	w := &observedPrimary{addr: addr, cancel: cancel}
	w.probe = &probe.Probe{Server: h.NewAdapter(addr, name), Silence: h.FailureTimeout, Now: h.Now}
	h.observed[name] = w
	h.waitOnExit(w.probe.Run(ctx))
	return w
}

func (h *Holder) stopProbe(name string) {
	if w := h.observed[name]; w != nil {
		w.cancel()
		delete(h.observed, name)
	}
}

// waitOnExit makes the holder's end wait for a goroutine's.
func (h *Holder) waitOnExit(done <-chan error) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		<-done
	}()
}

// FailedPrimaries returns what this host observes of primaries, for the next renewal.
func (h *Holder) FailedPrimaries(now time.Time) []*wire.Suspect {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.Suspect
	for name, w := range h.observed {
		if w.probe.Failed(now) {
			list = append(list, &wire.Suspect{Group: name, Term: w.term, Primary: w.instance})
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

// Released returns the groups in which this host does no work under an earlier term, and
// those whose connections it has closed for another holder, for the next renewal.
func (h *Holder) Released(now time.Time) []*wire.Released {
	view := h.Agent.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.Released
	for _, r := range view.List(spec.Groups) {
		run := r.Group
		p := h.pools[r.Name]
		switch {
		case run == nil:
		case run.Holder == h.Host && run.Phase != wire.Phase_OPEN:
			if p == nil || p.writesEndedBefore(now, run.Term) {
				list = append(list, &wire.Released{Group: r.Name, Term: run.Term})
			}
		case run.Holder != h.Host && p == nil && slices.Contains(run.Prior, h.Host):
			list = append(list, &wire.Released{Group: r.Name, Term: run.Term, Held: run.Held})
		}
	}
	return list
}

// Open opens a unit of work on a group that this host holds.
func (h *Holder) Open(now time.Time, req *wire.Work) (*Work, error) {
	if !h.Agent.LeaseValid(now) {
		return nil, fault.New(fault.NotRun, fault.NoLease, "host %s has no lease", h.Host)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[req.Group]
	if p == nil || p.isRetired() {
		return nil, fault.New(fault.NotRun, fault.NotHolder, "host %s does not hold group %s", h.Host, req.Group)
	}
	if !h.limiter(req).allow(now) {
		return nil, fault.New(fault.NotRun, fault.CallerLimit, "caller %s is over its rate of %d statements a second", req.Caller, req.Rate)
	}
	return p.newWork(req), nil
}

// Idle reports whether this host holds no groups.
func (h *Holder) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pools) == 0
}
