package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/roster"
)

// membershipInterval is the least time between two membership proposals. A change takes a few
// milliseconds.
const membershipInterval = 20 * time.Millisecond

// updateMembership proposes the next change of the control quorum's membership, if there is one. The
// caller holds mu.
func (l *Leader) updateMembership(ctx context.Context, now time.Time, st driver.Status) {
	v := roster.View{Members: st.Members, Healthy: st.Healthy, CaughtUp: st.CaughtUp, HostOf: driver.HostOf}
	l.forgetJoined(st.Members)
	next, id := l.roster.Next(now, v, l.joiningMembers())
	if next == nil || now.Sub(l.membershipProposedAt) < membershipInterval {
		return
	}
	if !slices.ContainsFunc(next.Members, func(m *wire.Member) bool { return m.Id == id }) {
		// A host that is removed asks again should it come back.
		delete(l.joining, id)
	}
	l.proposeMembership(ctx, now, id, next)
}

// forgetJoined forgets the requests of hosts that have become voters. The caller holds mu.
func (l *Leader) forgetJoined(members *wire.Members) {
	for _, m := range members.GetMembers() {
		if !m.Learner {
			delete(l.joining, m.Id)
		}
	}
}

// joiningMembers returns the hosts that asked to join, ordered by identity. The caller holds mu.
func (l *Leader) joiningMembers() []*wire.Member {
	var list []*wire.Member
	for _, id := range slices.Sorted(maps.Keys(l.joining)) {
		list = append(list, l.joining[id])
	}
	return list
}

// proposeMembership proposes a membership that differs by the member id, in the background. A
// proposal made before the previous one is committed is refused at once, so membershipInterval spaces
// them. The caller holds mu.
func (l *Leader) proposeMembership(ctx context.Context, now time.Time, id string, next *wire.Members) {
	l.membershipProposedAt = now
	l.background("members", func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := l.Driver.ChangeMembers(ctx, next); err != nil {
			l.Log.WithError(err).WithField("member", id).Debug("membership change failed")
			return
		}
		l.Log.WithField("member", id).WithField("members", next.String()).Info("membership changed")
	})
}
