package host

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/roster"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

const (
	// joinInterval is the time between two requests to join the quorum, and the time limit of each.
	joinInterval = time.Second
	// recoveryTime is how long after its start a control host should vote.
	recoveryTime = 6 * time.Second
	// leaderSilenceLimit is how long a voter goes without a message from the leader before it asks to
	// join again: it may have been removed from the quorum during a network partition.
	leaderSilenceLimit = 3 * time.Second
	// handoverTimeout bounds the transfer of leadership during shutdown, and leaveTimeout the call that
	// tells the leader of it.
	handoverTimeout = 2 * time.Second
	leaveTimeout    = 500 * time.Millisecond
)

// control is the control role of a host: its member of the replicated log's quorum, and the
// leader's tasks.
type control struct {
	h         *Host
	bootstrap *driver.PeerBootstrap
	driver    *driver.Driver
	leader    *leader.Leader
	// ready is set once the log has its first membership and the driver is prepared.
	ready atomic.Bool
}

// buildControl opens the store and registers the link handlers of the control role.
func (h *Host) buildControl() error {
	s, restored, err := store.Open(filepath.Join(h.Config.DataDir, "control"))
	if err != nil {
		return err
	}
	id, err := s.Identity(h.Config.Host)
	if err != nil {
		return err
	}
	c := &control{h: h}
	c.driver = &driver.Driver{
		ID: id, Store: s, Restored: restored, Dialer: h.dialer, Log: h.Log, Meter: h.Meter, Now: time.Now,
		Options: quorum.Options{
			ElectionTimeout: h.Config.ElectionTimeout.Std(), HeartbeatInterval: h.Config.HeartbeatInterval.Std(),
			Jitter: func(n time.Duration) time.Duration { return rand.N(n) },
		},
	}
	c.leader = &leader.Leader{
		Driver: c.driver, Log: h.Log, Meter: h.Meter, LeaseDuration: h.Config.LeaseDuration.Std(), Now: time.Now, FailoverOptions: group.DefaultOptions(),
		QuorumOptions: roster.NewOptions((len(h.Config.ControlPeers)-1)/2, recoveryTime),
		Server:        func(addr string) adapt.Server { return h.opt.Server(addr, adapt.AdminDatabase) },
	}
	c.bootstrap = &driver.PeerBootstrap{ID: id, Addr: h.Config.LinkAddr, Peers: h.Config.ControlPeers, Store: s, Dialer: h.dialer, Log: h.Log, Members: c.members}
	h.control = c
	h.links.Handlers[driver.BootstrapService] = c.bootstrap.Serve
	h.links.Handlers[driver.QuorumService] = c.whenReady(c.driver.Serve)
	h.links.Handlers[driver.IdentityService] = c.whenReady(c.driver.ServeIdentity)
	h.links.Handlers[leader.LeaseService] = c.whenReady(c.leader.ServeLease)
	h.links.Handlers[leader.CallService] = c.serveCall
	return nil
}

// whenReady returns a handler that passes streams to next once the control role is ready, and drops
// them before.
func (c *control) whenReady(next link.Handler) link.Handler {
	return func(ctx context.Context, from string, conn *link.Conn) {
		if c.ready.Load() {
			next(ctx, from, conn)
		}
	}
}

// serveCall serves calls to the leader. Before the control role is ready it answers that the call
// did not run.
func (c *control) serveCall(ctx context.Context, from string, conn *link.Conn) {
	if c.ready.Load() {
		c.leader.ServeCall(ctx, from, conn)
		return
	}
	if conn.Recv(&wire.ControlRequest{}) == nil {
		_ = conn.Send(&wire.ControlReply{Verdict: fault.NotRun.String(), Reason: string(fault.NoLeader), Text: "control quorum is not bootstrapped yet"})
	}
}

// members returns the membership that this host knows: nil if its log is empty, and an empty one if
// the log holds state but no snapshot with a membership.
func (c *control) members() *wire.Members {
	if c.ready.Load() {
		return c.driver.Status().Members
	}
	r := c.driver.Restored
	if r.Term == 0 && r.Snapshot.Members == nil && len(r.Entries) == 0 {
		return nil
	}
	if r.Snapshot.Members != nil {
		return r.Snapshot.Members
	}
	return &wire.Members{}
}

// start bootstraps the quorum in the background, then runs the driver and the leader. The channel
// receives the error that ended them.
func (c *control) start(ctx context.Context) (<-chan error, error) {
	done := make(chan error, 1)
	go func() { done <- c.run(ctx) }()
	return done, nil
}

// run bootstraps or restores the log and runs the driver, the leader and joinQuorum until ctx ends
// or the driver fails.
func (c *control) run(ctx context.Context) error {
	restored, err := c.bootstrap.Initialize(ctx, c.driver.Restored)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	c.driver.Restored = restored
	if err := c.driver.Prepare(); err != nil {
		return err
	}
	c.leader.Prepare()
	c.ready.Store(true)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	driverDone := c.driver.Run(ctx)
	leaderDone := c.leader.Run(ctx)
	joinDone := c.joinQuorum(ctx)
	err = <-driverDone
	cancel()
	<-leaderDone
	<-joinDone
	return err
}

// joinQuorum requests membership in the quorum whenever this host is not an active voter, until ctx
// ends. A host that shuts down does not.
func (c *control) joinQuorum(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, joinInterval)
			if !c.h.Agent.Draining() && !c.isActiveVoter(time.Now()) {
				c.requestMembership(ctx)
			}
		}
		done <- nil
	}()
	return done
}

// isActiveVoter reports whether this host is a voter and has lately been in touch with the leader.
func (c *control) isActiveVoter(now time.Time) bool {
	return c.driver.Status().ActiveVoter(now, c.driver.ID, leaderSilenceLimit)
}

// requestMembership asks the control leader once to add this host to the quorum.
func (c *control) requestMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	self := &wire.Member{Id: c.driver.ID, Addr: c.h.Config.LinkAddr}
	if _, err := c.h.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodJoinQuorum, Member: self}); err != nil {
		c.h.Log.WithField("reason", string(fault.From(err).Reason)).Debug("request to join the quorum failed; retrying")
	}
}

// leaveQuorum hands leadership of the replicated log to another control host, if this host leads, and
// tells the leader that this host stops.
func (c *control) leaveQuorum(ctx context.Context) {
	if !c.ready.Load() {
		return
	}
	transfer, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	c.driver.TransferLeadership(transfer)
	ctx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	c.h.Agent.LeaveQuorum(ctx, c.driver.ID)
}
