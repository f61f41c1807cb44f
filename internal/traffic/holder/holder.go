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
	// upkeepInterval is the longest time between two rounds of upkeep.
	upkeepInterval = 50 * time.Millisecond
	// sweepInterval is the longest time between two looks at all groups.
	sweepInterval = 5 * time.Second
)

// Holder holds groups. The exported fields are set before Run.
type Holder struct {
	// Host and Center are this host's name and data centre.
	Host   string
	Center string
	Agent  *agent.Agent
	// Server returns the adapter for a backend server of a group; it is a seam for tests.
	Server func(addr, group string) adapt.Server
	// Silence is how long a primary must be silent to count as failed.
	Silence time.Duration
	// Routes are the limits of routing.
	Routes route.Options
	// PrimaryRead, where set, is called for each read that goes to the primary, with the
	// position that a replica would have needed; it is a seam for measurements.
	PrimaryRead func(group string, position uint64)
	Log         *logs.Logger
	Meter       *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	ctx     context.Context
	seen    *agent.View
	swept   time.Time
	mu      sync.Mutex
	pools   map[string]*pool
	watched map[string]*watched
	rates   map[string]*rate
	wg      sync.WaitGroup
}

// watched is the probe of a primary that this host observes without holding its group.
type watched struct {
	name   string
	term   uint64
	addr   string
	probe  *probe.Probe
	cancel context.CancelFunc
	failed bool
}

// Prepare makes the holder ready for calls; Run must follow.
func (h *Holder) Prepare() {
	h.pools = map[string]*pool{}
	h.watched = map[string]*watched{}
	h.rates = map[string]*rate{}
}

// Run holds groups until ctx ends; the end is reported on the channel.
func (h *Holder) Run(ctx context.Context) <-chan error {
	h.ctx = ctx
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(upkeepInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			view, changed := h.Agent.Changes()
			if now := h.Now(); view != h.seen || now.Sub(h.swept) >= sweepInterval {
				h.sweep(now, view)
			} else {
				h.upkeep(now, view)
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
	for _, w := range h.watched {
		w.cancel()
	}
}

// upkeep looks after the groups that this host holds or observes. Its cost does not grow
// with the groups of other hosts.
func (h *Holder) upkeep(now time.Time, view *agent.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.pools {
		r := view.Get(spec.Groups, name)
		if r.GetGroup().GetHolder() == h.Host {
			h.hold(now, view, r)
		} else {
			h.letGo(now, name)
		}
	}
	for _, w := range h.watched {
		h.noteFailure(now, w)
	}
}

// sweep brings pools and probes in line with a view that has changed.
func (h *Holder) sweep(now time.Time, view *agent.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen, h.swept = view, now
	hosts := place.Entries(view.List(spec.Hosts))
	seen := map[string]bool{}
	for _, r := range view.List(spec.Groups) {
		if r.Group == nil {
			continue
		}
		seen[r.Name] = true
		if r.Group.Holder == h.Host {
			h.hold(now, view, r)
		} else {
			h.letGo(now, r.Name)
		}
		h.observe(now, view, r, hosts)
	}
	for name := range h.pools {
		if !seen[name] {
			h.letGo(now, name)
		}
	}
	for name := range h.watched {
		if !seen[name] {
			h.unwatch(name)
		}
	}
}

func (h *Holder) hold(now time.Time, view *agent.View, r *wire.Resource) {
	p := h.pools[r.Name]
	if p == nil {
		h.Log.WithField("group", r.Name).Info("holding group")
		p = newPool(h, r.Name)
		h.pools[r.Name] = p
	}
	p.update(now, r, view.Instances(r.Name))
}

// letGo ends the pool of a group that another host holds: work in flight ends first, within
// a grace. The caller holds mu.
func (h *Holder) letGo(now time.Time, name string) {
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

// observe keeps a probe on the primary while this host is one of its observers.
func (h *Holder) observe(now time.Time, view *agent.View, r *wire.Resource, hosts []place.Host) {
	name := r.Name
	if r.Group.Holder == h.Host || !h.observes(name, r.Group.Holder, hosts) || r.Group.Primary == "" {
		h.unwatch(name)
		return
	}
	addr := view.Get(spec.Backends, r.Group.Primary).GetBackend().GetAddr()
	w := h.watched[name]
	if w == nil || w.addr != addr || w.name != r.Group.Primary {
		h.unwatch(name)
		w = h.watch(name, addr)
		w.name = r.Group.Primary
	}
	w.term = r.Group.Term
	h.noteFailure(now, w)
}

// noteFailure tells control at once when a primary's failure is noticed or over.
func (h *Holder) noteFailure(now time.Time, w *watched) {
	if failed := w.probe.Failed(now); failed != w.failed {
		w.failed = failed
		h.Agent.RenewNow()
	}
}

func (h *Holder) observes(name, holder string, hosts []place.Host) bool {
	return slices.Contains(place.Observers(name, holder, hosts), h.Host)
}

func (h *Holder) watch(name, addr string) *watched {
	ctx, cancel := context.WithCancel(h.ctx)
	w := &watched{addr: addr, cancel: cancel}
	w.probe = &probe.Probe{Server: h.Server(addr, name), Silence: h.Silence, Now: h.Now}
	h.watched[name] = w
	h.wait(w.probe.Run(ctx))
	return w
}

func (h *Holder) unwatch(name string) {
	if w := h.watched[name]; w != nil {
		w.cancel()
		delete(h.watched, name)
	}
}

// wait makes the holder's end wait for a goroutine's.
func (h *Holder) wait(done <-chan error) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		<-done
	}()
}

// Suspects returns what this host observes of primaries, for the next renewal.
func (h *Holder) Suspects(now time.Time) []*wire.PrimaryHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.PrimaryHealth
	for name, w := range h.watched {
		if w.probe.Failed(now) {
			list = append(list, &wire.PrimaryHealth{Group: name, Term: w.term, Primary: w.name})
		}
	}
	for name, p := range h.pools {
		if s := p.suspect(now); s != nil {
			s.Group = name
			list = append(list, s)
		}
	}
	return list
}

// Released returns the groups in which this host does no work under an earlier term, and
// those whose connections it has closed for another holder, for the next renewal.
func (h *Holder) Released(now time.Time) []*wire.ReleaseReport {
	view := h.Agent.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.ReleaseReport
	for _, r := range view.List(spec.Groups) {
		run := r.Group
		p := h.pools[r.Name]
		switch {
		case run == nil:
		case run.Holder == h.Host && run.Phase != wire.Phase_OPEN:
			if p == nil || p.doneBefore(now, run.Term) {
				list = append(list, &wire.ReleaseReport{Group: r.Name, Term: run.Term})
			}
		case run.Holder != h.Host && p == nil && slices.Contains(run.Prior, h.Host):
			list = append(list, &wire.ReleaseReport{Group: r.Name, Term: run.Term, Held: run.Held})
		}
	}
	return list
}

// Open opens a unit of work on a group that this host holds.
func (h *Holder) Open(now time.Time, w *wire.WorkRequest) (*Work, error) {
	if !h.Agent.LeaseValid(now) {
		return nil, fault.New(fault.NotRun, fault.NoLease, "host %s has no lease", h.Host)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[w.Group]
	if p == nil || p.retiring() {
		return nil, fault.New(fault.NotRun, fault.NotHolder, "host %s does not hold group %s", h.Host, w.Group)
	}
	if !h.rate(w).take(now) {
		return nil, fault.New(fault.NotRun, fault.CallerLimit, "caller %s is over its rate of %d statements a second", w.Caller, w.Rate)
	}
	return p.open(w), nil
}

// Idle reports whether this host holds no groups.
func (h *Holder) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pools) == 0
}
