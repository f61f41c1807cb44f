// Package agent provides a host's side of control: its lease, its copy of the resources and
// its calls to the control leader.
package agent

import (
	"context"
	"errors"
	"math/rand/v2"
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
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

const (
	retryPause = 50 * time.Millisecond
	// streamSilence ends a lease stream that brings no answer, unless Silence says otherwise.
	streamSilence = 1200 * time.Millisecond
	maxHistory    = 8192
	// firstAnswer bounds the wait for the first answer on a lease stream, many round trips.
	firstAnswer = 250 * time.Millisecond
	// lostLeader is how long a leader that did not answer is reached over the control host that
	// names it.
	lostLeader = 2 * time.Second
)

// Agent keeps a host's lease and its copy of the resources. The exported fields are set
// before Run.
type Agent struct {
	// Host is the name of this host.
	Host string
	// Record is what control keeps of this host.
	Record *wire.HostRun
	// Peers are the control hosts of the settings.
	Peers []conf.Peer
	// Renew is the interval between renewals.
	Renew time.Duration
	// Silence ends a lease stream that brings no answer; zero stands for 1.2 s.
	Silence time.Duration
	// Relays, where set, returns other hosts that pass lease streams on. They are tried in
	// turn with the control hosts once one of those has failed.
	Relays func() []string
	Dialer *link.Dialer
	Log    *logs.Logger
	Meter  *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time
	// Suspects and Released, where set, return what a renewal tells the leader.
	Suspects func(now time.Time) []*wire.Suspect
	Released func(now time.Time) []*wire.Released
	// Learned, where set, is called with each new view before the leader is told that this
	// host has it. It must not call the agent.
	Learned func(v *View)

	mu      sync.Mutex
	tenure  lease.HostLease
	view    *View
	changed chan struct{}
	leader  string
	next    int
	// attached is the control host that the lease stream goes to, "" over a relay.
	attached string
	// failures counts the streams that failed since one brought a grant.
	failures int
	// lost is the control host that last left a lease stream unanswered, and via the host that
	// passes the next stream on to it, where it still leads.
	lost   string
	lostAt time.Time
	via    string
	// learned are the addresses of the control hosts by the leader's word.
	learned []string
	history []*wire.Resource
	oldest  uint64
	inforce uint64
	kick    chan struct{}

	draining bool
}

// Prepare makes the agent ready for calls; Run must follow.
func (a *Agent) Prepare() {
	a.view = NewView(0, nil)
	a.changed = make(chan struct{})
	a.kick = make(chan struct{}, 1)
}

// Run keeps the lease until ctx ends; the end is reported on the channel.
func (a *Agent) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		redirected := false
		for ctx.Err() == nil {
			err := a.stream(ctx)
			if err != nil && ctx.Err() == nil {
				a.Log.WithError(err).Debug("lease stream ended")
				a.Meter.Add("lease.streams", 1)
			}
			// A leader that was named is asked at once, but not one that it names in turn.
			redirected = !redirected && errors.Is(err, errRedirect)
			if !redirected {
				clock.Sleep(ctx, retryPause)
			}
		}
		done <- nil
	}()
	return done
}

// Kick renews the lease at once, to confirm a revision or to tell of a failure.
func (a *Agent) Kick() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// Valid reports whether this host may serve.
func (a *Agent) Valid(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tenure.Valid(now)
}

// Until returns when the host's lease runs out or has run out, zero before the first one.
func (a *Agent) Until() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tenure.End()
}

// Lease returns the view together with whether this host may serve by it.
func (a *Agent) Lease(now time.Time) (*View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, a.tenure.Valid(now)
}

// View returns the host's copy of the resources. It says what to do only under a lease.
func (a *Agent) View() *View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// Changes returns the view and a channel that is closed at the next change.
func (a *Agent) Changes() (*View, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, a.changed
}

// InForce returns the newest revision that this host knows to be in force everywhere.
func (a *Agent) InForce() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inforce
}

// Since returns the changes after a revision, in order; false where it is too old.
func (a *Agent) Since(revision uint64) ([]*wire.Resource, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.oldest || revision > a.view.Revision {
		return nil, false
	}
	for i, r := range a.history {
		if r.Revision > revision {
			return a.history[i:len(a.history):len(a.history)], true
		}
	}
	return nil, true
}

// target returns the control address to try: the leader that was named, else the next one.
func (a *Agent) target() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return a.leader
	}
	all := slices.Clone(a.learned)
	for _, p := range a.Peers {
		if !slices.Contains(all, p.Link) {
			all = append(all, p.Link)
		}
	}
	a.next++
	turn := a.next
	if slices.Contains(all, a.Record.GetLink()) {
		// A control host asks itself each second time: it knows of a new leader before it could find
		// one among hosts that are down.
		if turn%2 == 0 {
			return a.Record.GetLink()
		}
		turn /= 2
	}
	return all[turn%len(all)]
}

// SetPeers replaces the control hosts of the settings, after these have changed.
func (a *Agent) SetPeers(peers []conf.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Peers = peers
}

func (a *Agent) setLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = addr
}

// stream opens one lease stream and works on it until it ends.
func (a *Agent) stream(ctx context.Context) error {
	addr, service := a.way()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := a.Dialer.Open(ctx, addr, service)
	if err != nil {
		a.miss(addr, service)
		return err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	a.attach(addr, service)
	failed := make(chan error, 1)
	go func() { failed <- a.receive(c) }()
	err = a.send(ctx, c, failed)
	if errors.Is(err, errRedirect) || ctx.Err() != nil {
		return err
	}
	if answered(err) {
		a.fail()
		return err
	}
	a.Dialer.Drop(addr)
	a.miss(addr, service)
	return err
}

// miss takes note of a stream that was not answered.
func (a *Agent) miss(addr, service string) {
	if service == leader.LeaseService {
		a.mu.Lock()
		a.lost, a.lostAt = addr, a.Now()
		a.mu.Unlock()
	}
	a.fail()
}

// answered reports whether a stream ended by what the control host said: its connection is in
// order, and others use it too.
func answered(err error) bool {
	return errors.Is(err, errRedirect) || errors.Is(err, errReplaced) || errors.Is(err, errGap)
}

func (a *Agent) silence() time.Duration {
	if a.Silence > 0 {
		return a.Silence
	}
	return streamSilence
}

// fail takes note of a stream that failed.
func (a *Agent) fail() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = ""
	a.failures++
}

// way returns where the next lease stream goes: to a control host, over one that has named a
// leader out of reach, or after each second failure over any host that may pass it on.
func (a *Agent) way() (addr, service string) {
	a.mu.Lock()
	if via := a.via; via != "" {
		a.via = ""
		a.mu.Unlock()
		return via, RelayService
	}
	turn := a.failures > 0 && a.failures%2 == 0
	a.mu.Unlock()
	if turn && a.Relays != nil {
		if list := a.Relays(); len(list) > 0 {
			return list[rand.IntN(len(list))], RelayService
		}
	}
	return a.target(), leader.LeaseService
}

// RelayService is the name of the stream that another host passes on to the leader.
const RelayService = "relay"

// Relay passes the lease stream of a host that does not reach control on to the leader; it is
// a link.Handler. The lease is that host's own: it counts from what it sent itself.
func (a *Agent) Relay(ctx context.Context, from string, c *link.Conn) {
	a.mu.Lock()
	addr, valid := a.attached, a.tenure.Valid(a.Now())
	a.mu.Unlock()
	if addr == "" || !valid {
		return
	}
	onward, err := a.Dialer.OpenFor(ctx, addr, leader.LeaseService, from)
	if err != nil {
		return
	}
	a.Meter.Add("lease.relayed", 1)
	link.Splice(c, onward)
}

// Attached returns the control host that the lease stream goes to, "" over a relay.
func (a *Agent) Attached() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attached
}

// attach takes note of a new lease stream.
func (a *Agent) attach(addr, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tenure.ForgetPending()
	a.attached = ""
	if service == leader.LeaseService {
		a.attached = addr
	}
}

func (a *Agent) send(ctx context.Context, c *link.Conn, failed <-chan error) error {
	tick := time.NewTicker(a.Renew)
	defer tick.Stop()
	for {
		if err := c.Send(a.renewal(a.Now())); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-tick.C:
		case <-a.kick:
		}
	}
}

func (a *Agent) renewal(now time.Time) *wire.Renew {
	r := &wire.Renew{Host: a.Host}
	if a.Suspects != nil {
		r.Suspects = a.Suspects(now)
	}
	if a.Released != nil {
		r.Released = a.Released(now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Run = a.record()
	r.Applied = a.view.Revision
	r.Seq = a.tenure.StartRenewal(now)
	return r
}

var (
	errRedirect = errors.New("another control host leads")
	errReplaced = errors.New("control leader was replaced")
	errGap      = errors.New("changes are missing")
)

func (a *Agent) receive(c *link.Conn) error {
	for wait := min(firstAnswer, a.silence()); ; wait = a.silence() {
		c.SetDeadline(time.Now().Add(wait))
		g := &wire.Grant{}
		if err := c.Recv(g); err != nil {
			return err
		}
		if err := a.take(g); err != nil {
			return err
		}
	}
}

// take applies a message of the leader.
func (a *Agent) take(g *wire.Grant) error {
	if g.Reason == string(fault.NoLeader) {
		return a.redirect(g.Leader)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(g.Control) > 0 {
		a.learned = g.Control
	}
	if !a.tenure.ObserveTerm(g.Term) {
		return errReplaced
	}
	if err := a.learn(g); err != nil {
		return err
	}
	a.inforce = max(a.inforce, g.Inforce)
	if g.Granted {
		a.failures = 0
		a.tenure.RecordGrant(g.Seq, g.Term, time.Duration(g.Lease))
	}
	return nil
}

// redirect goes on to the leader that a control host names, over that host if the leader has
// left this one without an answer a moment ago.
func (a *Agent) redirect(to string) error {
	a.setLeader(to)
	if to == "" {
		return errReplaced
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if to == a.lost && a.Now().Sub(a.lostAt) < lostLeader {
		a.via = a.attached
	}
	return errRedirect
}

// learn applies changes. The caller holds mu.
func (a *Agent) learn(g *wire.Grant) error {
	if g.Revision <= a.view.Revision && !(g.Reset_ && a.view.Revision == 0) {
		return nil
	}
	if g.Reset_ {
		a.view = NewView(g.Revision, g.Changes)
		a.history = nil
		a.oldest = g.Revision
	} else {
		if g.Since > a.view.Revision {
			return errGap
		}
		a.extend(g)
	}
	if a.Learned != nil {
		a.Learned(a.view)
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.Log.SetRevision(a.view.Revision)
	a.Meter.Set("view.revision", int64(a.view.Revision))
	a.Kick()
	return nil
}

func (a *Agent) extend(g *wire.Grant) {
	before := a.view.Revision
	a.view = a.view.With(g.Revision, g.Changes)
	for _, r := range g.Changes {
		if r.Revision > before {
			a.history = append(a.history, r)
		}
	}
	a.history = latestManifest(a.history)
	if drop := len(a.history) - maxHistory; drop > 0 {
		a.oldest = a.history[drop-1].Revision
		a.history = append([]*wire.Resource(nil), a.history[drop:]...)
	}
}

// latestManifest drops all manifests but the last one: they are large, and each replaces the
// one before.
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

// Drain tells control that this host takes no groups any more. Nothing takes it back.
func (a *Agent) Drain() {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.Kick()
}

// Draining reports whether Drain was called.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// record returns what control keeps of this host. The caller holds mu.
func (a *Agent) record() *wire.HostRun {
	if !a.draining {
		return a.Record
	}
	r := proto.Clone(a.Record).(*wire.HostRun)
	r.Draining = true
	return r
}
