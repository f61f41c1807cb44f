package topo

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/traffic/even"
)

// RecordLoad adds a lender's report about the load of an instance, which came at now, to what this host
// knows. Reports that can't be used are counted and dropped.
func (t *Topology) RecordLoad(now time.Time, group, instance string, r even.Report) {
	m, dropped := t.Member(group, instance), even.DroppedForeign
	if m != nil && slices.Contains(m.lenders, r.Lender) {
		dropped = m.state.view.Merge(now, r)
	}
	if dropped != "" {
		t.Meter.AddCounter("loads.dropped."+dropped, 1)
		return
	}
	t.Meter.AddCounter("loads.merged", 1)
}

// LoadNews returns what this host knows of the instance's load for requests of a database.
func (m *Member) LoadNews(now time.Time, database string) even.News {
	return m.state.view.News(now, database)
}

// RecordMissingAnswer records that a request sent to the instance got no answer. It counts as a failure when
// instances are chosen by load, but starts no backoff.
func (m *Member) RecordMissingAnswer(now time.Time) { m.state.view.Judge(now, true) }

// RecordAnswer records that the instance answered a request, whatever with, and did not fail it.
func (m *Member) RecordAnswer(now time.Time) { m.state.view.Judge(now, false) }

// avoidance is why an instance gets fewer requests than its peers.
type avoidance struct {
	mu sync.Mutex
	// reason is the one that was logged last.
	reason string
	// next is a reason other than reason that has held since the time since.
	next  string
	since time.Time
}

// minAvoidancePeriod is how long a reason must hold before it is logged: what is known of an instance may be
// close to a limit.
const minAvoidancePeriod = time.Second

// observe reports whether a reason is new and has held for minAvoidancePeriod, and returns the one before.
func (a *avoidance) observe(now time.Time, reason string) (before string, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before = a.reason
	switch {
	case reason == a.reason:
		a.since = time.Time{}
	case a.since.IsZero() || reason != a.next:
		a.next, a.since = reason, now
	case now.Sub(a.since) >= minAvoidancePeriod:
		a.reason, a.since = reason, time.Time{}
		return before, true
	}
	return before, false
}

// RecordAvoidance logs and counts that the instance has got fewer requests than its peers for
// minAvoidancePeriod, or its share again for as long.
func (m *Member) RecordAvoidance(now time.Time, a even.Avoidance) {
	before, changed := m.state.avoidance.observe(now, a.Reason)
	if !changed {
		return
	}
	entry := m.topology.Log.WithFields(log.Fields{
		"group": m.Group, "instance": m.Instance, "failures": a.FailureShare, "service": a.Service.String(), "typical": a.Typical.String(), "newsage": a.Age.String(),
	})
	if a.Reason == "" {
		entry.WithField("reason", before).Info("instance gets its share of requests again")
		return
	}
	m.topology.Meter.AddCounter("placed.avoided."+a.Reason, 1)
	entry.WithField("reason", a.Reason).Info("instance gets fewer requests")
}

// balanceNewsAge is the largest age of reports by which the balance of a group is measured.
const balanceNewsAge = 500 * time.Millisecond

// measureBalance adds the present balance of a group, as far as this host knows it, to the metrics: the
// instances that may serve its reads and whose load was reported lately.
func (t *Topology) measureBalance(now time.Time, g *Group) {
	var names []string
	var options []even.Option
	for _, m := range g.Members {
		news := m.LoadNews(now, "")
		if m.Draining || m.unreachable(now) || !news.Known || news.Age > balanceNewsAge {
			continue
		}
		names = append(names, m.Instance)
		options = append(options, even.Option{Slots: m.Slots, News: news})
	}
	balance, ok := even.Measure(options)
	if !ok {
		return
	}
	t.Meter.AddCounter("balance.samples", 1)
	t.Meter.AddCounter("balance.ratio_percent", int64(100*balance.Ratio))
	if balance.WaitsBesideFree {
		t.Meter.AddCounter("balance.waits_beside_free_ms", maintenanceInterval.Milliseconds())
	}
	if largest := names[balance.Largest]; t.largestLoads[g.Name] != largest {
		t.largestLoads[g.Name] = largest
		t.Meter.AddCounter("balance.largest_changes", 1)
	}
}
