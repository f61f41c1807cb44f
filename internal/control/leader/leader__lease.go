package leader

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// LeaseService is the name of the stream on which a host renews its lease and gets changes.
const LeaseService = "lease"

const (
	grantTimeout = 2 * time.Second
	// pushInterval is the least time between two messages that tell a host of changes. Where hundreds
	// of hosts join within a second, each is told of the others some fifty times a second instead of
	// once for each; a change that comes alone is told at once.
	pushInterval = 20 * time.Millisecond
)

// leaseStream is the leader's side of one host's lease stream.
type leaseStream struct {
	conn         *link.Conn
	host         string
	sentRevision uint64
	// sentInForce is the revision in force that the host was told.
	sentInForce uint64
	// sentControlAddrs are the addresses of the control hosts that the host was told.
	sentControlAddrs []string
	awaitingRenewal  bool
	// pushedAt is when the host was last told of changes.
	pushedAt time.Time
}

// pushDelay returns how long the next changes are gathered before the host is told.
func (ls *leaseStream) pushDelay(now time.Time) time.Duration {
	return ls.pushedAt.Add(pushInterval).Sub(now)
}

// ServeLease serves a host's lease stream; it is a link.Handler.
func (l *Leader) ServeLease(ctx context.Context, host string, c *link.Conn) {
	ls := &leaseStream{conn: c, host: host, awaitingRenewal: true}
	renewals := make(chan *wire.Renew, 1)
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

func receiveRenewals(ctx context.Context, c *link.Conn, renewals chan<- *wire.Renew) {
	for {
		r := &wire.Renew{}
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

// renew answers one renewal. The lease is decided on with the time after the request came.
func (l *Leader) renew(ctx context.Context, ls *leaseStream, r *wire.Renew) error {
	g := &wire.Grant{Seq: r.Seq, Lease: uint64(l.LeaseDuration)}
	reason := l.decideLease(ctx, l.Now(), ls.host, r)
	if reason == fault.NoLeader {
		g.Leader = l.Driver.Status().LeaderAddr
	}
	g.Granted = reason == ""
	g.Reason = string(reason)
	if reason != "" {
		l.Meter.Refused(reason)
	}
	if ls.awaitingRenewal && reason != fault.NoLeader {
		ls.sentRevision = r.Applied
		ls.awaitingRenewal = false
	}
	l.addChanges(ls, g)
	return ls.send(g)
}

func (l *Leader) decideLease(ctx context.Context, now time.Time, host string, r *wire.Renew) fault.Reason {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkLeading(st) || r.Term > st.Term {
		return fault.NoLeader
	}
	if reason := l.ensureJoined(ctx, now, host, r.Run); reason != "" {
		return reason
	}
	l.recordReports(host, r)
	reason := l.grantor.Renew(now, st.LeaseUntil, host, r.Applied)
	if len(r.Released) > 0 || slices.ContainsFunc(r.Suspects, func(s *wire.Suspect) bool { return !s.Well }) {
		l.wake()
	} else {
		l.Driver.View(func(s *state.State) { l.advanceInForce(now, s) })
	}
	return reason
}

// ensureJoined makes sure that the host stands in the log as it is now; before that it gets no
// lease. A process of the same name takes its place once the old one's lease has run out, and
// at once where it listens at the same address: the old one must have ended for that.
func (l *Leader) ensureJoined(ctx context.Context, now time.Time, host string, run *wire.HostRun) fault.Reason {
	var current *wire.HostRun
	l.Driver.View(func(s *state.State) { current = s.Get(spec.Hosts, host).GetHost() })
	if proto.Equal(current, run) && current != nil {
		return ""
	}
	if current != nil && current.Instance != run.GetInstance() && current.Link != run.GetLink() && !l.grantor.Expired(now, host) {
		return fault.Conflict
	}
	l.propose(ctx, "join "+host, &wire.Command{Body: &wire.Command_Join{Join: &wire.Join{Host: host, Run: run}}})
	if current.GetInstance() == run.GetInstance() {
		return ""
	}
	l.grantor.Forget(host)
	delete(l.released, host)
	return fault.Behind
}

// recordReports keeps what a renewal tells of primaries and of work that has ended, in place of what
// the one before told.
func (l *Leader) recordReports(host string, r *wire.Renew) {
	health := map[string]*wire.Suspect{}
	for _, s := range r.Suspects {
		health[s.Group] = s
	}
	l.primaryHealth[host] = health
	released := map[string]*wire.Released{}
	for _, one := range r.Released {
		released[one.Group] = one
	}
	l.released[host] = released
}

// pushChanges sends the changes since the last ones that were sent.
func (l *Leader) pushChanges(ls *leaseStream) error {
	g := &wire.Grant{}
	l.addChanges(ls, g)
	if g.Revision <= ls.sentRevision && g.Inforce <= ls.sentInForce && len(g.Changes) == 0 && len(g.Control) == 0 && !g.Reset_ {
		return nil
	}
	ls.pushedAt = l.Now()
	l.Meter.Add("lease.pushes", 1)
	return ls.send(g)
}

// addChanges adds the changes after f.sent and the revision that the host has with them.
func (l *Leader) addChanges(ls *leaseStream, g *wire.Grant) {
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
		changes, ok := s.Since(ls.sentRevision)
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

// withoutSources leaves out what only control needs.
func withoutSources(list []*wire.Resource) []*wire.Resource {
	if !slices.ContainsFunc(list, isSource) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isSource)
}

func isSource(r *wire.Resource) bool { return r.Kind == string(spec.Sources) }

func memberAddrs(m *wire.Members) []string {
	var list []string
	for _, one := range m.GetMembers() {
		list = append(list, one.Addr)
	}
	return list
}

func (ls *leaseStream) send(g *wire.Grant) error {
	ls.conn.SetDeadline(time.Now().Add(grantTimeout * 10))
	if err := ls.conn.Send(g); err != nil {
		return err
	}
	ls.sentRevision = max(ls.sentRevision, g.Revision)
	ls.sentInForce = max(ls.sentInForce, g.Inforce)
	return nil
}
