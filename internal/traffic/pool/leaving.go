package pool

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// SetLeaveDeadline sets the time from which this host sends nothing new to the instance, because the
// instance has announced that it leaves. A transaction that is open by then may go on.
func (p *Pool) SetLeaveDeadline(deadline time.Time) { p.leaveDeadline.Store(&deadline) }

// HasLeft reports whether the instance is leaving and gets no new requests any more.
func (p *Pool) HasLeft(now time.Time) bool {
	deadline, leaving := p.LeaveDeadline()
	return leaving && !now.Before(deadline)
}

// LeaveDeadline returns the time from which the instance gets no new requests, and whether it is
// leaving.
func (p *Pool) LeaveDeadline() (time.Time, bool) {
	deadline := p.leaveDeadline.Load()
	if deadline == nil {
		return time.Time{}, false
	}
	return *deadline, true
}

// withhold returns the answer to a request outside of a transaction that must not be sent any more,
// and whether it must not. It is called right before a request is sent, which may have waited for
// a long time since an instance was chosen for it.
func (p *Pool) withhold() (flow.Answer, bool) {
	if _, leaving := p.LeaveDeadline(); !leaving || !p.HasLeft(p.Now()) {
		return flow.Answer{}, false
	}
	p.Meter.AddCounter("tries.withheld.leaving", 1)
	return flow.Answer{Code: flow.Leaving, Text: p.Instance, State: flow.Idle}, true
}
