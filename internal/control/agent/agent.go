// Package agent implements a host's side of the control plane: it keeps the host's lease and a
// copy of the resources, and sends calls to the control leader.
package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/lease"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

const (
	// retryInterval is the time between the starts of two tries of a lease stream, and the pause
	// between two tries of a call.
	retryInterval = 50 * time.Millisecond
	// openPatience is how long a host may take to accept a lease stream before another one is asked
	// as well: a round trip between regions.
	openPatience = 40 * time.Millisecond
	// maxConcurrentOpens is the number of hosts that are asked for a lease stream at the same time.
	maxConcurrentOpens = 3
	// defaultStreamTimeout applies where Agent.StreamTimeout is zero.
	defaultStreamTimeout = 1200 * time.Millisecond
	// maxHistory is the number of changes that are kept for ChangesSince.
	maxHistory = 8192
	// firstAnswerTimeout bounds the wait for the first answer on a lease stream. It covers many
	// round trips.
	firstAnswerTimeout = 250 * time.Millisecond
	// leaderRelayPeriod is how long after an unanswered stream the leader is contacted through the
	// control host that names it instead of directly.
	leaderRelayPeriod = 2 * time.Second
)

// Agent keeps a host's lease and its copy of the resources. The exported fields are set before
// Prepare and Run.
type Agent struct {
	// Host is the name of this host.
	Host string
	// Registration is this host's registration in the replicated state.
	Registration *wire.HostState
	// Peers are the control hosts from the settings. SetPeers replaces them later.
	Peers []conf.Peer
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
	// StreamTimeout is how long a lease stream may deliver no answer before it is closed. Zero
	// means 1.2 s.
	StreamTimeout time.Duration
	// Relays, where set, returns other hosts that relay lease streams to the leader. They are
	// tried in alternation with the control hosts after a stream to one of those has failed.
	Relays func() []string
	Dialer *link.Dialer
	Log    *logs.Logger
	Meter  *meter.Meter
	// Now returns the current time. Tests replace it.
	Now func() time.Time
	// PrimaryHealth and Released, where set, return the primary health reports and the release
	// reports that a renewal carries to the leader.
	PrimaryHealth func(now time.Time) []*wire.PrimaryHealth
	Released      func(now time.Time) []*wire.ReleaseReport
	// Shares, where set, holds this host's shares of the limits of client accounts.
	Shares *share.Holder
	// OnView, where set, is called with each new view before the leader learns that this host has
	// it. It must not call the agent, whose mutex is held.
	OnView func(v *View)

	mu        sync.Mutex
	hostLease lease.HostLease
	view      *View
	changed   chan struct{}
	// leader is the address of the control leader as last named by a control host, or "".
	leader string
	// nextPeer counts the choices of nextControlAddr.
	nextPeer int
	// controlAddr is the control host that serves the lease stream, "" if the stream is relayed.
	controlAddr string
	// failures counts the failed streams since the last grant.
	failures int
	// unansweredAddr is the control host that last left a lease stream unanswered, at
	// unansweredAt.
	unansweredAddr string
	unansweredAt   time.Time
	// relayVia is the host through which the next stream goes, because the named leader is
	// unansweredAddr.
	relayVia string
	// knownControlAddrs are the addresses of the control hosts, as last sent by the leader.
	knownControlAddrs []string
	// history are the latest changes after revision historyStart, in order of their revisions.
	history      []*wire.Resource
	historyStart uint64
	// inForce is the newest revision known to be in force.
	inForce uint64
	// renewNow makes sendRenewals send a renewal at once.
	renewNow chan struct{}

	draining bool
	// left is set once this host leaves the replicated state; a renewal would register it again.
	left bool
}

// Prepare initializes the agent so that its methods can be called. It must be called before Run.
func (a *Agent) Prepare() {
	if a.Shares != nil {
		a.Shares.OnShort = a.RenewNow
	}
	a.view = NewView(0, nil)
	a.changed = make(chan struct{})
	a.renewNow = make(chan struct{}, 1)
}

// Run keeps the lease until ctx ends and then sends nil on the returned channel.
func (a *Agent) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		redirected := false
		for ctx.Err() == nil {
			started := a.Now()
			err := a.runStream(ctx)
			if err != nil && ctx.Err() == nil {
				a.Log.WithError(err).Debug("lease stream ended")
				a.Meter.AddCounter("lease.streams", 1)
			}
			// Follow a redirect at once, but not a second one in a row: two hosts may name each other.
			redirected = !redirected && errors.Is(err, errRedirect)
			if !redirected && !a.inFirstRound() {
				clock.Sleep(ctx, retryInterval-a.Now().Sub(started))
			}
		}
		done <- nil
	}()
	return done
}

// RenewNow sends a renewal at once, to confirm a revision or to report a failed primary.
func (a *Agent) RenewNow() {
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// LeaseValid reports whether this host holds a lease at now and so may serve.
func (a *Agent) LeaseValid(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hostLease.Valid(now)
}

// LeaseEnd returns when the host's lease ends or has ended, or the zero time before the first lease.
func (a *Agent) LeaseEnd() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hostLease.End()
}

// LeasedView returns the view and whether this host holds a lease at now and so may serve by it.
func (a *Agent) LeasedView(now time.Time) (*View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, a.hostLease.Valid(now)
}

// View returns the host's copy of the resources. The host may act on it only while it holds a
// lease.
func (a *Agent) View() *View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// Changes returns the view and a channel that is closed when the view changes.
func (a *Agent) Changes() (*View, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, a.changed
}

// InForce returns the newest revision that this host knows to be in force on all hosts.
func (a *Agent) InForce() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inForce
}

// ChangesSince returns the changes after a revision, in order. It reports false if the revision is
// older than the changes that are kept or newer than the view. The list must not be modified.
func (a *Agent) ChangesSince(revision uint64) ([]*wire.Resource, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.historyStart || revision > a.view.Revision {
		return nil, false
	}
	for i, r := range a.history {
		if r.Revision > revision {
			return a.history[i:len(a.history):len(a.history)], true
		}
	}
	return nil, true
}

// SetPeers replaces the control hosts after the settings have changed.
func (a *Agent) SetPeers(peers []conf.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Peers = peers
}

// runStream opens one lease stream and serves it until it ends.
func (a *Agent) runStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := a.openStream(ctx)
	if opened.err != nil {
		return opened.err
	}
	c, addr, service := opened.conn, opened.addr, opened.service
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	a.recordStream(addr, service)
	failed := make(chan error, 1)
	go func() { failed <- a.receiveGrants(c) }()
	err := a.sendRenewals(ctx, c, failed)
	if errors.Is(err, errRedirect) || ctx.Err() != nil {
		return err
	}
	if endedByAnswer(err) {
		a.recordFailure()
		return err
	}
	a.Dialer.RetireSession(addr)
	a.recordUnanswered(addr, service)
	return err
}

func (a *Agent) streamTimeout() time.Duration {
	if a.StreamTimeout > 0 {
		return a.StreamTimeout
	}
	return defaultStreamTimeout
}

// RelayService is the name of the stream on which a host relays another host's lease stream to the
// leader.
const RelayService = "relay"

// Relay forwards the lease stream of a host that cannot reach the control hosts. It is a
// link.Handler. The relayed lease belongs to the host named by from and counts from when that host
// sent its renewal. Without a valid lease of its own, or if its own stream is relayed, this host
// does not relay.
func (a *Agent) Relay(ctx context.Context, from string, c *link.Conn) {
	a.mu.Lock()
	addr, valid := a.controlAddr, a.hostLease.Valid(a.Now())
	a.mu.Unlock()
	if addr == "" || !valid {
		return
	}
	onward, err := a.Dialer.OpenAs(ctx, addr, leader.LeaseService, from)
	if err != nil {
		return
	}
	a.Meter.AddCounter("lease.relayed", 1)
	link.Splice(c, onward)
}

// ControlAddr returns the address of the control host that serves the lease stream, "" if the
// stream is relayed.
func (a *Agent) ControlAddr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controlAddr
}

func (a *Agent) sendRenewals(ctx context.Context, c *link.Conn, failed <-chan error) error {
	tick := time.NewTicker(a.RenewInterval)
	defer tick.Stop()
	for {
		if a.hasLeft() {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := c.Send(a.renewal(a.Now())); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-tick.C:
		case <-a.renewNow:
		}
	}
}

func (a *Agent) renewal(now time.Time) *wire.LeaseRenewal {
	r := &wire.LeaseRenewal{Host: a.Host}
	if a.PrimaryHealth != nil {
		r.Suspects = a.PrimaryHealth(now)
	}
	if a.Released != nil {
		r.Released = a.Released(now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Run = a.currentRegistration()
	r.Applied = a.view.Revision
	r.Seq = a.hostLease.StartRenewal(now)
	if a.Shares != nil {
		r.Shares = a.Shares.Report(now, r.Seq)
	}
	return r
}

var (
	errRedirect = errors.New("control host redirected to the leader")
	errReplaced = errors.New("control leader was replaced or is unknown")
	errGap      = errors.New("lease stream skipped changes")
)

func (a *Agent) receiveGrants(c *link.Conn) error {
	for timeout := min(firstAnswerTimeout, a.streamTimeout()); ; timeout = a.streamTimeout() {
		c.SetDeadline(time.Now().Add(timeout))
		g := &wire.LeaseGrant{}
		if err := c.Recv(g); err != nil {
			return err
		}
		if err := a.applyGrant(g); err != nil {
			return err
		}
	}
}

// applyGrant applies a message from the leader.
func (a *Agent) applyGrant(g *wire.LeaseGrant) error {
	if g.Reason == string(fault.NoLeader) {
		return a.followRedirect(g.Leader)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(g.Control) > 0 {
		a.knownControlAddrs = g.Control
	}
	if !a.hostLease.ObserveTerm(g.Term) {
		return errReplaced
	}
	if err := a.applyChanges(g); err != nil {
		return err
	}
	a.inForce = max(a.inForce, g.Inforce)
	if g.Granted {
		a.failures = 0
		a.hostLease.RecordGrant(g.Seq, g.Term, time.Duration(g.Lease))
	}
	if a.Shares != nil && g.Shares != nil && a.Shares.Apply(a.Now(), g.Seq, g.Shares) {
		a.RenewNow()
	}
	return nil
}

// applyChanges updates the view from a message of the leader. The caller holds mu.
func (a *Agent) applyChanges(g *wire.LeaseGrant) error {
	if g.Revision <= a.view.Revision && !(g.Reset_ && a.view.Revision == 0) {
		return nil
	}
	previous := a.view
	if g.Reset_ {
		a.view = NewView(g.Revision, g.Changes)
		a.history = nil
		a.historyStart = g.Revision
	} else {
		if g.Since > a.view.Revision {
			return errGap
		}
		a.appendChanges(g)
	}
	a.trackLeaving(previous, g)
	if a.OnView != nil {
		a.OnView(a.view)
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.Log.SetRevision(a.view.Revision)
	a.Meter.SetGauge("view.revision", int64(a.view.Revision))
	a.RenewNow()
	return nil
}

func (a *Agent) appendChanges(g *wire.LeaseGrant) {
	before := a.view.Revision
	a.view = a.view.With(g.Revision, g.Changes)
	for _, r := range g.Changes {
		if r.Revision > before {
			a.history = append(a.history, r)
		}
	}
	a.history = latestManifest(a.history)
	if drop := len(a.history) - maxHistory; drop > 0 {
		a.historyStart = a.history[drop-1].Revision
		a.history = append([]*wire.Resource(nil), a.history[drop:]...)
	}
}

// latestManifest drops all manifests but the last one. They are large, and each replaces the
// previous one.
func latestManifest(list []*wire.Resource) []*wire.Resource {
	var last *wire.Resource
	n := 0
	for _, r := range list {
		if r.Kind == string(spec.Manifests) {
			last = r
			n++
		}
	}
	if n < 2 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(r *wire.Resource) bool {
		return r.Kind == string(spec.Manifests) && r != last
	})
}

// Drain reports to the control leader that this host takes no more groups. It cannot be undone.
func (a *Agent) Drain() {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.RenewNow()
}

// hasLeft reports whether Leave was called.
func (a *Agent) hasLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Draining reports whether Drain was called.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// currentRegistration returns this host's registration, with the draining flag. The caller holds mu.
func (a *Agent) currentRegistration() *wire.HostState {
	if !a.draining {
		return a.Registration
	}
	r := proto.Clone(a.Registration).(*wire.HostState)
	r.Draining = true
	return r
}
