package node

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/kernel"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/intake"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/roster"
	"github.com/agatespindle/agatespindle/internal/control/store"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// electionTimeout is the minimum time without a heartbeat from the control leader before a
	// follower starts an election.
	electionTimeout = 350 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of the control leader.
	heartbeatInterval = 80 * time.Millisecond
	// joinInterval is the time between two requests to join the quorum, and joinTimeout bounds each
	// request. Both are short: a host that lost its disk needs three membership changes before it
	// votes again, and a second disk may be lost as soon as the host counts as recovered.
	joinInterval = 100 * time.Millisecond
	joinTimeout  = 500 * time.Millisecond
	// leaderSilenceLimit is how long a voter goes without a message from the leader before it asks
	// to join again: it may have been removed from the quorum during a network partition.
	leaderSilenceLimit = 3 * time.Second
	// handoverTimeout bounds the transfer of leadership during shutdown.
	handoverTimeout = 1500 * time.Millisecond
)

// control is the control role of a host: its member of the replicated log's quorum, the leader's
// tasks and the platform's control API.
type control struct {
	n      *Node
	driver *driver.Driver
	leader *leader.Leader
	api    *platform.ControlAPI
	// left is closed once this host has left the quorum; nil before the start of a shutdown.
	left <-chan struct{}
}

// buildControl opens the store, restores or bootstraps the log, and registers the quorum and
// leader services.
func (n *Node) buildControl() error {
	s, restored, err := store.Open(filepath.Join(n.cfg.DataDir, "control"))
	if err != nil {
		return err
	}
	bootstrap := driver.SeedBootstrap{Addr: n.cfg.LinkAddr(), Seeds: n.cfg.SeedLinkAddrs(), FirstStart: n.cfg.Bootstrap}
	id, restored, err := bootstrap.Initialize(s, restored)
	if err != nil {
		return err
	}
	c := &control{n: n}
	c.driver = &driver.Driver{
		ID: id, Store: s, Restored: restored, Dialer: n.dialer, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
		Options: quorum.Options{
			ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
			Jitter: func(d time.Duration) time.Duration { return rand.N(d) },
		},
	}
	if err := c.driver.Prepare(); err != nil {
		return err
	}
	cloud := &platform.Client{Addr: n.cfg.Cloud.Addr, Host: n.cfg.Host}
	c.leader = &leader.Leader{
		Driver: c.driver, Log: n.Log, Meter: n.Meter, LeaseDuration: leaseDuration, Now: clock.Monotonic, FailoverOptions: group.DefaultOptions(),
		Tolerance:     n.cfg.LimitTolerance(),
		ControlLends:  !n.cfg.ServesCallers(),
		QuorumOptions: roster.NewOptions(n.cfg.Tolerate.Machines, n.cfg.CatchUpBound()),
		Host:          n.cfg.Host, Platform: &leader.Platform{QueryStatus: platform.QueryInstanceStatus, Promote: cloud.Promote, LeaveDeadline: n.leaveDeadline},
	}
	c.leader.Prepare()
	c.api = &platform.ControlAPI{Intake: &intake.Forwarder{Agent: n.Agent, Log: n.Log, Meter: n.Meter}, Log: n.Log, Meter: n.Meter}
	c.api.Bodies.Budget = n.apiMemory()
	n.links.Handlers[driver.QuorumService] = c.driver.Serve
	n.links.Handlers[driver.IdentityService] = c.driver.ServeIdentity
	n.links.Handlers[leader.LeaseService] = c.leader.ServeLease
	n.links.Handlers[leader.CallService] = c.leader.ServeCall
	n.control = c
	n.Kernel.Register(
		kernel.Service{Name: ServiceQuorum, Value: c.driver, Start: startFunc(c.driver.Run), Drain: c.awaitLeft},
		kernel.Service{Name: "leader", Value: c.leader, Start: startFunc(c.leader.Run)},
	)
	return nil
}

// apiShare is what each request of the control API may hold when others have used up the memory for them, in
// bytes: an ordinary heartbeat.
const apiShare = 64 << 10

// apiMemory returns the budget of memory for requests of the control API, or nil if the settings give no limit.
func (n *Node) apiMemory() *bounds.Budget {
	total := bounds.BudgetFor(n.cfg.MemoryLimit())
	if total == 0 {
		return nil
	}
	return &bounds.Budget{Total: total, Share: apiShare, Meter: n.Meter, Name: "memory.api"}
}

// leaveDeadline returns the time from which an instance that leaves gets no new requests, as far as this
// host can tell.
func (n *Node) leaveDeadline(name string, born int64) time.Time {
	return n.cfg.LeaveBound().Deadline(n.Agent.LeavingSince(name, born))
}

// services returns the services that start after the agent, in start order.
func (c *control) services() []kernel.Service {
	return []kernel.Service{
		{Name: "join", Start: startFunc(c.joinQuorum)},
		{Name: ServiceControl, Value: c.api, Start: func(ctx context.Context) (<-chan error, error) {
			return platform.Serve(ctx, c.n.cfg.Listen.Control, c.api.Handler(), platform.APIConns, c.n.Meter)
		}},
	}
}

// joinQuorum requests membership in the quorum whenever this host is not an active voter, until
// ctx ends. A host that shuts down does not.
func (c *control) joinQuorum(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, joinInterval)
			if !c.n.Agent.Draining() && !c.isActiveVoter(clock.Monotonic()) {
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
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := &wire.Member{Id: c.driver.ID, Addr: c.n.cfg.LinkAddr()}
	if _, err := c.n.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodJoinQuorum, Member: self}); err != nil {
		c.n.Log.WithField("reason", string(fault.From(err).Reason)).Debug("request to join the quorum failed; retrying")
	}
}

// startLeaving leaves the quorum in the background. The returned channel is closed when that has ended.
func (c *control) startLeaving(ctx context.Context) <-chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.leaveQuorum(ctx)
	}()
	return left
}

// awaitLeft waits until this host has left the quorum, or ctx ends.
func (c *control) awaitLeft(ctx context.Context) {
	if c.left == nil {
		c.left = c.startLeaving(ctx)
	}
	clock.Await(ctx, c.left)
}

// leaveQuorum hands leadership of the replicated log to another control host, if this host leads, and
// tells the leader that this host stops.
func (c *control) leaveQuorum(ctx context.Context) {
	transfer, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	c.driver.TransferLeadership(transfer)
	ctx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	c.n.Agent.LeaveQuorum(ctx, c.driver.ID)
}
