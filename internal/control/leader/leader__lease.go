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
	grantLimit = 2 * time.Second
	// gatherFor is the least time between two messages that tell a host of changes. Where hundreds
	// of hosts join within a second, each is told of the others some fifty times a second instead of
	// once for each; a change that comes alone is told at once.
	gatherFor = 20 * time.Millisecond
)

// feed is the leader's side of one host's lease stream.
type feed struct {
	conn *link.Conn
	host string
	sent uint64
	// inforce is the revision in force that the host was told.
	inforce uint64
	// control are the addresses of the control hosts that the host was told.
	control []string
	full    bool
	// pushed is when the host was last told of changes.
	pushed time.Time
}

// rest returns how long the next changes are gathered before the host is told.
func (f *feed) rest(now time.Time) time.Duration { return f.pushed.Add(gatherFor).Sub(now) }

// ServeLease serves a host's lease stream; it is a link.Handler.
func (l *Leader) ServeLease(ctx context.Context, host string, c *link.Conn) {
	f := &feed{conn: c, host: host, full: true}
	renewals := make(chan *wire.Renew, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		receive(ctx, c, renewals)
	}()
	for {
		changed, raised := l.Driver.Changes(), l.inForceRaised()
		var gathered <-chan time.Time
		rest := f.rest(l.Now())
		switch {
		case rest > 0:
			changed, raised = nil, nil
			gathered = time.After(rest)
		case !f.full && l.push(f) != nil:
			return
		}
		select {
		case <-ctx.Done():
			return
		case r := <-renewals:
			if l.renew(ctx, f, r) != nil {
				return
			}
		case <-changed:
		case <-raised:
		case <-gathered:
		}
	}
}

func receive(ctx context.Context, c *link.Conn, renewals chan<- *wire.Renew) {
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
func (l *Leader) renew(ctx context.Context, f *feed, r *wire.Renew) error {
	g := &wire.Grant{Seq: r.Seq, Lease: uint64(l.Length)}
	reason := l.decide(ctx, l.Now(), f.host, r)
	if reason == fault.NoLeader {
		g.Leader = l.Driver.Status().LeaderAddr
	}
	g.Granted = reason == ""
	g.Reason = string(reason)
	if reason != "" {
		l.Meter.Refused(reason)
	}
	if f.full && reason != fault.NoLeader {
		f.sent = r.Applied
		f.full = false
	}
	l.fill(f, g)
	return f.send(g)
}

func (l *Leader) decide(ctx context.Context, now time.Time, host string, r *wire.Renew) fault.Reason {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads(st) || r.Term > st.Term {
		return fault.NoLeader
	}
	if reason := l.joined(ctx, now, host, r.Run); reason != "" {
		return reason
	}
	l.note(host, r)
	reason := l.grantor.Renew(now, st.LeaseUntil, host, r.Applied)
	if len(r.Released) > 0 || slices.ContainsFunc(r.Suspects, func(s *wire.Suspect) bool { return !s.Well }) {
		l.wake()
	} else {
		l.Driver.View(func(s *state.State) { l.raiseInForce(now, s) })
	}
	return reason
}

// joined makes sure that the host stands in the log as it is now; before that it gets no
// lease. A process of the same name takes its place once the old one's lease has run out, and
// at once where it listens at the same address: the old one must have ended for that.
func (l *Leader) joined(ctx context.Context, now time.Time, host string, run *wire.HostRun) fault.Reason {
	var have *wire.HostRun
	l.Driver.View(func(s *state.State) { have = s.Get(spec.Hosts, host).GetHost() })
	if proto.Equal(have, run) && have != nil {
		return ""
	}
	if have != nil && have.Instance != run.GetInstance() && have.Link != run.GetLink() && !l.grantor.Expired(now, host) {
		return fault.Conflict
	}
	l.propose(ctx, "join "+host, &wire.Command{Body: &wire.Command_Join{Join: &wire.Join{Host: host, Run: run}}})
	if have.GetInstance() == run.GetInstance() {
		return ""
	}
	l.grantor.Forget(host)
	delete(l.released, host)
	return fault.Behind
}

// note keeps what a renewal tells of primaries and of work that has ended, in place of what
// the one before told.
func (l *Leader) note(host string, r *wire.Renew) {
	suspects := map[string]*wire.Suspect{}
	for _, s := range r.Suspects {
		suspects[s.Group] = s
	}
	l.suspects[host] = suspects
	done := map[string]*wire.Released{}
	for _, one := range r.Released {
		done[one.Group] = one
	}
	l.released[host] = done
}

// push sends the changes since the last ones that were sent.
func (l *Leader) push(f *feed) error {
	g := &wire.Grant{}
	l.fill(f, g)
	if g.Revision <= f.sent && g.Inforce <= f.inforce && len(g.Changes) == 0 && len(g.Control) == 0 && !g.Reset_ {
		return nil
	}
	f.pushed = l.Now()
	l.Meter.Add("lease.pushes", 1)
	return f.send(g)
}

// fill adds the changes after f.sent and the revision that the host has with them.
func (l *Leader) fill(f *feed, g *wire.Grant) {
	st := l.Driver.Status()
	g.Term = st.Term
	l.mu.Lock()
	g.Inforce = l.inforce
	l.mu.Unlock()
	if f.full {
		return
	}
	l.Driver.View(func(s *state.State) {
		g.Since = f.sent
		g.Revision = s.Revision()
		changes, ok := s.Since(f.sent)
		if f.sent == 0 || !ok {
			g.Reset_ = true
			changes = s.List("")
		}
		g.Changes = forHosts(changes)
	})
	if addrs := addresses(st.Members); !slices.Equal(addrs, f.control) {
		f.control = addrs
		g.Control = addrs
	}
}

// forHosts leaves out what only control needs.
func forHosts(list []*wire.Resource) []*wire.Resource {
	if !slices.ContainsFunc(list, isSource) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isSource)
}

func isSource(r *wire.Resource) bool { return r.Kind == string(spec.ManifestSources) }

func addresses(m *wire.Members) []string {
	var list []string
	for _, one := range m.GetMembers() {
		list = append(list, one.Addr)
	}
	return list
}

func (f *feed) send(g *wire.Grant) error {
	f.conn.SetDeadline(time.Now().Add(grantLimit * 10))
	if err := f.conn.Send(g); err != nil {
		return err
	}
	f.sent = max(f.sent, g.Revision)
	f.inforce = max(f.inforce, g.Inforce)
	return nil
}
