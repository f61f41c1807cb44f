package leader

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// LeaseService is the name of the stream on which a host renews its lease and receives changes.
const LeaseService = "lease"

const (
	// grantTimeout is a tenth of the timeout for sending a message to a host (20 s).
	grantTimeout = 2 * time.Second
	// pushInterval is the least time between two pushes of changes to a host. When hundreds of
	// hosts join within a second, each host gets about fifty messages a second instead of one for
	// each join. A single change is pushed at once.
	pushInterval = 20 * time.Millisecond
	// leaderWait is how long a control host that has known no leader since its start keeps a renewal
	// before it refuses it. It is less than a host waits for the first answer on a lease stream.
	leaderWait = 200 * time.Millisecond
)

// leaseStream is the leader's side of one host's lease stream.
type leaseStream struct {
	conn *link.Conn
	host string
	// sentRevision is the last revision that was sent to the host.
	sentRevision uint64
	// sentInForce is the last revision in force that was sent to the host.
	sentInForce uint64
	// sentControlAddrs are the control hosts' addresses that were last sent to the host.
	sentControlAddrs []string
	// awaitingRenewal is set until the first renewal, which says what revision the host has. No
	// changes are sent before that.
	awaitingRenewal bool
	// pushedAt is when changes were last pushed.
	pushedAt time.Time
}

// pushDelay returns how long to wait until the next push, zero or less if it is due.
func (ls *leaseStream) pushDelay(now time.Time) time.Duration {
	return ls.pushedAt.Add(pushInterval).Sub(now)
}

// ServeLease serves a host's lease stream until it ends. It is a link.Handler.
func (l *Leader) ServeLease(ctx context.Context, host string, c *link.Conn) {
	ls := &leaseStream{conn: c, host: host, awaitingRenewal: true}
	renewals := make(chan *wire.LeaseRenewal, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		receiveRenewals(ctx, c, renewals)
	}()
	for {
		changed, inForceChanged := l.Driver.Changes(), l.inForceChanges()
		var pushDue <-chan time.Time
		delay := ls.pushDelay(l.Now())
		switch {
		case delay > 0:
			changed, inForceChanged = nil, nil
			pushDue = time.After(delay)
		case !ls.awaitingRenewal && l.pushChanges(ls) != nil:
			return
		}
		select {
		case <-ctx.Done():
			return
		case r := <-renewals:
			if l.renew(ctx, ls, r) != nil {
				return
			}
		case <-changed:
		case <-inForceChanged:
		case <-pushDue:
		}
	}
}

func receiveRenewals(ctx context.Context, c *link.Conn, renewals chan<- *wire.LeaseRenewal) {
	for {
		r := &wire.LeaseRenewal{}
		if c.Recv(r) != nil {
			return
		}
		select {
		case renewals <- r:
		case <-ctx.Done():
			return
		}
	}
}

// renew answers one renewal. The time is taken after the request was received, so that the lease
// ends later for the leader than for the host.
func (l *Leader) renew(ctx context.Context, ls *leaseStream, r *wire.LeaseRenewal) error {
	l.awaitLeader(ctx)
	g := &wire.LeaseGrant{Seq: r.Seq, Lease: uint64(l.LeaseDuration)}
	reason, shares := l.decideLease(ctx, l.Now(), ls.host, r)
	g.Shares = shares
	if reason == fault.NoLeader {
		g.Leader = l.Driver.Status().LeaderAddr
	}
	g.Granted = reason == ""
	g.Reason = string(reason)
	if reason != "" {
		l.Meter.CountRefusal(reason)
	}
	if ls.awaitingRenewal && reason != fault.NoLeader {
		ls.sentRevision = r.Applied
		ls.awaitingRenewal = false
	}
	l.addChanges(ls, g)
	return ls.send(g)
}

// awaitLeader waits, for at most leaderWait, while this control host or the leader itself has just
// started. After a restart of all hosts each entry host thus learns of the leader when there is
// one, and not after a pause between two tries.
func (l *Leader) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for ctx.Err() == nil {
		changed := l.Driver.LeaderChanges()
		if !LeaderPending(l.Driver.ID, l.Driver.Status()) {
			return
		}
		clock.Await(ctx, changed)
	}
}

// LeaderPending reports whether the control host with the identity id and the status st will soon know
// a leader, so that renewals are worth keeping: it is a voter that has known none since its start, or
// it was elected and has not committed an entry yet. A voter that has lost its leader may be
// partitioned from the quorum, and a host without a log learns of a leader only once that one has
// added it; a host that asks either of them should ask another one.
func LeaderPending(id string, st driver.Status) bool {
	if st.Role == quorum.Leader {
		return !st.Leading
	}
	return !st.LeaderKnown && slices.ContainsFunc(st.Members.GetMembers(), func(m *wire.Member) bool { return m.Id == id && !m.Learner })
}

// decideLease grants a lease and returns "" and the answer to the host's report of its shares, or returns
// the reason for refusing it.
func (l *Leader) decideLease(ctx context.Context, now time.Time, host string, r *wire.LeaseRenewal) (fault.Reason, *wire.ShareGrant) {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkLeading(st) || r.Term > st.Term {
		return fault.NoLeader, nil
	}
	if reason := l.ensureJoined(ctx, now, host, r.Run); reason != "" {
		return reason, nil
	}
	l.recordReports(host, r)
	reason := l.grantor.Renew(now, st.LeaseUntil, host, r.Applied)
	if len(r.Released) > 0 || slices.ContainsFunc(r.Suspects, func(s *wire.PrimaryHealth) bool { return !s.Well }) {
		l.wake()
	} else {
		l.Driver.View(func(s *state.State) { l.advanceInForce(now, s) })
	}
	if reason != "" {
		return reason, nil
	}
	return "", l.shares.Renew(now, shareHost(host, r.Run), r.Seq, r.Shares)
}

// ensureJoined proposes a join unless the log has the host's current registration. A new process
// gets no lease until its join is committed. It replaces an earlier process of the same name once
// that one's lease has expired, or at once if it listens on the same address, since the earlier
// process must have ended then. The caller holds mu.
func (l *Leader) ensureJoined(ctx context.Context, now time.Time, host string, registration *wire.HostState) fault.Reason {
	var current *wire.HostState
	l.Driver.View(func(s *state.State) { current = s.Get(spec.Hosts, host).GetHost() })
	if proto.Equal(current, registration) && current != nil {
		return ""
	}
	if current != nil && current.Instance != registration.GetInstance() && current.Link != registration.GetLink() &&
		(!l.grantor.Expired(now, host) || l.mayHoldShares(now, host)) {
		return fault.Conflict
	}
	l.propose(ctx, "join "+host, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinHost{Host: host, Run: registration}}})
	if current.GetInstance() == registration.GetInstance() {
		return ""
	}
	l.grantor.Remove(host)
	delete(l.released, host)
	return fault.Behind
}

// recordReports replaces the host's primary health and release reports by those of its latest
// renewal. The caller holds mu.
func (l *Leader) recordReports(host string, r *wire.LeaseRenewal) {
	health := map[string]*wire.PrimaryHealth{}
	for _, h := range r.Suspects {
		health[h.Group] = h
	}
	l.primaryHealth[host] = health
	released := map[string]*wire.ReleaseReport{}
	for _, report := range r.Released {
		released[report.Group] = report
	}
	l.released[host] = released
}

// pushChanges sends the host what has changed since the last message, if anything has.
func (l *Leader) pushChanges(ls *leaseStream) error {
	g := &wire.LeaseGrant{}
	l.addChanges(ls, g)
	if g.Revision <= ls.sentRevision && g.Inforce <= ls.sentInForce && len(g.Changes) == 0 && len(g.Control) == 0 && !g.Reset_ {
		return nil
	}
	ls.pushedAt = l.Now()
	l.Meter.AddCounter("lease.pushes", 1)
	return ls.send(g)
}

// addChanges adds the changes after ls.sentRevision to a message, and the revision that the host
// has once it applies them. If these changes are no longer kept, it adds all resources.
func (l *Leader) addChanges(ls *leaseStream, g *wire.LeaseGrant) {
	st := l.Driver.Status()
	g.Term = st.Term
	l.mu.Lock()
	g.Inforce = l.inForce
	l.mu.Unlock()
	if ls.awaitingRenewal {
		return
	}
	l.Driver.View(func(s *state.State) {
		g.Since = ls.sentRevision
		g.Revision = s.Revision()
		changes, ok := s.ChangesSince(ls.sentRevision)
		if ls.sentRevision == 0 || !ok {
			g.Reset_ = true
			changes = s.List("")
		}
		g.Changes = withoutSources(changes)
	})
	if addrs := memberAddrs(st.Members); !slices.Equal(addrs, ls.sentControlAddrs) {
		ls.sentControlAddrs = addrs
		g.Control = addrs
	}
}

// withoutSources drops the resources that only control hosts need.
func withoutSources(list []*wire.Resource) []*wire.Resource {
	if !slices.ContainsFunc(list, isSource) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isSource)
}

func isSource(r *wire.Resource) bool { return r.Kind == string(spec.ManifestSources) }

func memberAddrs(m *wire.Members) []string {
	var list []string
	for _, member := range m.GetMembers() {
		list = append(list, member.Addr)
	}
	return list
}

func (ls *leaseStream) send(g *wire.LeaseGrant) error {
	ls.conn.SetDeadline(time.Now().Add(grantTimeout * 10))
	if err := ls.conn.Send(g); err != nil {
		return err
	}
	ls.sentRevision = max(ls.sentRevision, g.Revision)
	ls.sentInForce = max(ls.sentInForce, g.Inforce)
	return nil
}
