package leader

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
)

// updateMembership adds control hosts with a new identity to the quorum, and removes a voter that
// has been unhealthy for voterRemovalDelay if the number of voters is even. It makes one change at
// a time: the new identity joins as a learner; once it has caught up, the old identity of the same
// host, or else a voter that has been unhealthy for voterReplaceDelay, is removed; then the new
// identity becomes a voter. The caller holds mu.
func (l *Leader) updateMembership(ctx context.Context, now time.Time, st driver.Status) {
	l.trackUnhealthy(now, st)
	if now.Sub(l.membershipProposedAt) < membershipInterval {
		return
	}
	if next := l.withoutSurplusVoter(now, st); next != nil {
		l.proposeMembership(ctx, now, "surplus", next)
		return
	}
	for id, m := range l.joining {
		next := nextMembers(st, m, l.longestUnhealthyVoter(now, st, voterReplaceDelay))
		if next == nil {
			delete(l.joining, id)
			continue
		}
		if proto.Equal(next, st.Members) {
			continue
		}
		l.proposeMembership(ctx, now, m.Id, next)
		return
	}
}

// proposeMembership proposes a membership in the background. A proposal made before the previous
// one is committed is refused at once, so membershipInterval spaces them. The caller holds mu.
func (l *Leader) proposeMembership(ctx context.Context, now time.Time, joining string, next *wire.Members) {
	l.membershipProposedAt = now
	l.background("members", func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := l.Driver.ChangeMembers(ctx, next); err != nil {
			l.Log.WithError(err).Debug("membership change failed")
			return
		}
		l.Log.WithField("joining", joining).WithField("members", next.String()).Info("membership changed")
	})
}

const (
	// membershipInterval is the least time between two membership proposals. A change takes a few
	// milliseconds.
	membershipInterval = 20 * time.Millisecond
	// voterReplaceDelay is how long a voter must be unhealthy before a learner that has caught up
	// replaces it. It is longer than an election and a restart.
	voterReplaceDelay = 3 * time.Second
	// voterRemovalDelay is how long a voter must be unhealthy before it is removed from an even
	// number of voters. An even number tolerates no more failures than one voter fewer.
	voterRemovalDelay = 8 * time.Second
)

// trackUnhealthy records when each member stopped confirming heartbeats. The caller holds mu.
func (l *Leader) trackUnhealthy(now time.Time, st driver.Status) {
	if l.unhealthySince == nil {
		l.unhealthySince = map[string]time.Time{}
	}
	for _, m := range st.Members.GetMembers() {
		if st.Healthy[m.Id] {
			delete(l.unhealthySince, m.Id)
		} else if _, known := l.unhealthySince[m.Id]; !known {
			l.unhealthySince[m.Id] = now
		}
	}
}

// longestUnhealthyVoter returns the voter that has been unhealthy longest, for at least limit, or
// "". The caller holds mu.
func (l *Leader) longestUnhealthyVoter(now time.Time, st driver.Status, limit time.Duration) string {
	voter, earliest := "", time.Time{}
	for _, m := range st.Members.GetMembers() {
		since, unhealthy := l.unhealthySince[m.Id]
		if m.Learner || !unhealthy || now.Sub(since) < limit {
			continue
		}
		if voter == "" || since.Before(earliest) {
			voter, earliest = m.Id, since
		}
	}
	return voter
}

// withoutSurplusVoter returns the membership without an unhealthy voter if there are four or more
// voters and their number is even, or else nil. The caller holds mu.
func (l *Leader) withoutSurplusVoter(now time.Time, st driver.Status) *wire.Members {
	voters := 0
	for _, m := range st.Members.GetMembers() {
		if !m.Learner {
			voters++
		}
	}
	unhealthyVoter := l.longestUnhealthyVoter(now, st, voterRemovalDelay)
	if voters%2 != 0 || voters < 4 || unhealthyVoter == "" {
		return nil
	}
	return withoutMember(st.Members, unhealthyVoter)
}

func withoutMember(m *wire.Members, id string) *wire.Members {
	next := proto.Clone(m).(*wire.Members)
	next.Members = slices.DeleteFunc(next.Members, func(member *wire.Member) bool { return member.Id == id })
	return next
}

// nextMembers returns the next membership on the way to making m a voter: the current one while m
// catches up, and nil once m is a voter. When m has caught up, the old identity of its host is
// removed first, or else unhealthyVoter unless it is "".
func nextMembers(st driver.Status, m *wire.Member, unhealthyVoter string) *wire.Members {
	next := proto.Clone(st.Members).(*wire.Members)
	index := indexOf(next, m.Id)
	if index < 0 {
		next.Members = append(next.Members, &wire.Member{Id: m.Id, Addr: m.Addr, Learner: true})
		return next
	}
	if !next.Members[index].Learner {
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
	if unhealthyVoter != "" {
		return withoutMember(next, unhealthyVoter)
	}
	next.Members[index].Learner = false
	return next
}

func indexOf(m *wire.Members, id string) int {
	for i, member := range m.Members {
		if member.Id == id {
			return i
		}
	}
	return -1
}
