package leader

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
)

// members takes a control host with a new identity into the quorum, one change at a time:
// it learns first; once it has caught up, the old identity of the same host is removed; then
// it votes. The caller holds mu.
func (l *Leader) members(ctx context.Context, _ time.Time, st driver.Status) {
	for id, m := range l.joining {
		next := nextMembers(st, m)
		if next == nil {
			delete(l.joining, id)
			continue
		}
		if proto.Equal(next, st.Members) {
			continue
		}
		l.background("members", func() {
			ctx, cancel := context.WithTimeout(ctx, callLimit)
			defer cancel()
			if err := l.Driver.ChangeMembers(ctx, next); err != nil {
				l.Log.WithError(err).Debug("membership not changed")
				return
			}
			l.Log.WithField("joining", m.Id).Info("membership changed")
		})
		return
	}
}

// nextMembers returns the next membership on the way to m's vote: the one in use while m
// catches up, and nil once m votes.
func nextMembers(st driver.Status, m *wire.Member) *wire.Members {
	next := proto.Clone(st.Members).(*wire.Members)
	at := indexOf(next, m.Id)
	if at < 0 {
		next.Members = append(next.Members, &wire.Member{Id: m.Id, Addr: m.Addr, Learner: true})
		return next
	}
	if !next.Members[at].Learner {
		return nil
	}
	if !st.CaughtUp[m.Id] {
		return next
	}
	for i, other := range next.Members {
		if other.Id != m.Id && driver.HostOf(other.Id) == driver.HostOf(m.Id) {
			next.Members = append(next.Members[:i], next.Members[i+1:]...)
			return next
		}
	}
	next.Members[at].Learner = false
	return next
}

func indexOf(m *wire.Members, id string) int {
	for i, one := range m.Members {
		if one.Id == id {
			return i
		}
	}
	return -1
}
