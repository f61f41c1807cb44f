package node

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/kernel"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/intake"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/store"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// election is the least silence of a control leader before an election.
	election = 350 * time.Millisecond
	// beat is the interval of heartbeats between control hosts.
	beat = 80 * time.Millisecond
	// joinPause is the time between two requests for a place in the quorum, and joinLimit bounds
	// one: three changes of the membership lie between a lost disk and a vote, and a second disk
	// may be lost as soon as the host counts as back.
	joinPause = 100 * time.Millisecond
	joinLimit = 500 * time.Millisecond
	// unheard is how long a voter hears no leader before it asks for its place again: it may
	// have been removed while it was cut off.
	unheard = 3 * time.Second
	// handoverLimit bounds the handing over of the lead at a shutdown.
	handoverLimit = 1500 * time.Millisecond
)

// control is the part of a host that keeps the replicated log.
type control struct {
	n      *Node
	driver *driver.Driver
	leader *leader.Leader
	calls  *platform.Control
}

func (n *Node) buildControl() error {
	s, restored, err := store.Open(filepath.Join(n.cfg.Data, "control"))
	if err != nil {
		return err
	}
	founding := driver.Founding{Addr: n.cfg.Link(), Seeds: n.cfg.SeedLinks(), First: n.cfg.First}
	id, restored, err := founding.Settle(s, restored)
	if err != nil {
		return err
	}
	c := &control{n: n}
	c.driver = &driver.Driver{
		ID: id, Store: s, Restored: restored, Dialer: n.dialer, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
		Options: quorum.Options{
			ElectionTimeout: election, HeartbeatInterval: beat,
			Jitter: func(d time.Duration) time.Duration { return rand.N(d) },
		},
	}
	if err := c.driver.Prepare(); err != nil {
		return err
	}
	cloud := &platform.Cloud{Addr: n.cfg.Cloud.Addr, Host: n.cfg.Host}
	c.leader = &leader.Leader{
		Driver: c.driver, Log: n.Log, Meter: n.Meter, LeaseDuration: leaseLength, Now: clock.Monotonic, FailoverOptions: group.DefaultOptions(),
		Host: n.cfg.Host, Platform: &leader.Platform{QueryStatus: platform.AskServer, Promote: cloud.Promote},
	}
	c.leader.Prepare()
	c.calls = &platform.Control{Intake: &intake.Desk{Agent: n.Agent, Log: n.Log, Meter: n.Meter}, Log: n.Log, Meter: n.Meter}
	n.links.Handlers[driver.Service] = c.driver.Serve
	n.links.Handlers[leader.LeaseService] = c.leader.ServeLease
	n.links.Handlers[leader.CallService] = c.leader.ServeCall
	n.control = c
	n.Kernel.Register(
		kernel.Service{Name: ServiceQuorum, Value: c.driver, Start: running(c.driver.Run), Drain: c.handOver},
		kernel.Service{Name: "leader", Value: c.leader, Start: running(c.leader.Run)},
	)
	return nil
}

func (c *control) services() []kernel.Service {
	return []kernel.Service{
		{Name: "join", Start: running(c.join)},
		{Name: ServiceControl, Value: c.calls, Start: func(ctx context.Context) (<-chan error, error) {
			return platform.Serve(ctx, c.n.cfg.Listen.Control, c.calls.Handler())
		}},
	}
}

// join asks for a place in the quorum while this host's identity has none.
func (c *control) join(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, joinPause)
			if !c.settled(clock.Monotonic()) {
				c.ask(ctx)
			}
		}
		done <- nil
	}()
	return done
}

// settled reports whether this host votes and hears the leader.
func (c *control) settled(now time.Time) bool {
	st := c.driver.Status()
	for _, m := range st.Members.GetMembers() {
		if m.Id == c.driver.ID {
			return !m.Learner && (st.Role == quorum.Leader || now.Sub(st.Heard) < unheard)
		}
	}
	return false
}

func (c *control) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	me := &wire.Member{Id: c.driver.ID, Addr: c.n.cfg.Link()}
	if _, err := c.n.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodJoinQuorum, Member: me}); err != nil {
		c.n.Log.WithField("reason", string(fault.From(err).Reason)).Debug("no place in the quorum yet")
	}
}

// handOver lets another control host lead.
func (c *control) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	c.driver.Handover(ctx)
}
