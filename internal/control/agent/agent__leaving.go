package agent

import (
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// trackLeaving adds to the view since when its leaving instances have been leaving, and logs those that
// are new. A host may learn of an announcement long after it was made, so that it is counted from
// when the host was last known to have all changes. The caller holds mu.
func (a *Agent) trackLeaving(previous *View, g *wire.LeaseGrant) {
	if !g.Reset_ && !slices.ContainsFunc(g.Changes, func(r *wire.Resource) bool { return r.Kind == string(spec.Backends) }) {
		return
	}
	next, added := a.view.withLeaving(previous, a.hostLease.Confirmed())
	a.view = next
	now := a.Now()
	for _, r := range added {
		since, _ := next.LeavingSince(r.Name, r.Backend.Born)
		a.Log.WithField("instance", r.Name).WithField("group", r.Backend.Group).WithField("born", r.Backend.Born).WithField("primary", r.Backend.Primary).
			WithField("age", ageText(now, since)).Info("instance is leaving")
	}
}

// ageText returns the highest age that something has that happened at since or later, for log lines.
func ageText(now, since time.Time) string {
	if since.IsZero() {
		return "unknown"
	}
	return now.Sub(since).String()
}

// ViewAge returns the highest age of this host's view, for log lines.
func (a *Agent) ViewAge(now time.Time) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ageText(now, a.hostLease.Confirmed())
}

// LeavingSince returns the earliest time at which an instance that started at born (Unix milliseconds)
// can have announced that it leaves. It is the zero time if this host cannot tell. An instance
// that this host's view does not have as leaving may have announced it after the view was confirmed.
func (a *Agent) LeavingSince(name string, born int64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if since, leaving := a.view.LeavingSince(name, born); leaving {
		return since
	}
	return a.hostLease.Confirmed()
}
