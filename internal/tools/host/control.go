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
	"github.com/agatespindle/agatespindle/internal/control/store"
)

// joinInterval is the time between two requests for a place in the quorum.
const joinInterval = time.Second

// control is the role control of a host: its log, and the leader's duties.
type control struct {
	h      *Host
	birth  *driver.Birth
	driver *driver.Driver
	leader *leader.Leader
	// settled is set once the log has its first membership and the driver runs.
	settled atomic.Bool
}

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
		Server: func(addr string) adapt.Server { return h.opt.Server(addr, adapt.AdminDatabase) },
	}
	c.birth = &driver.Birth{ID: id, Addr: h.Config.LinkAddr, Peers: h.Config.ControlPeers, Store: s, Dialer: h.dialer, Log: h.Log, Members: c.members}
	h.control = c
	h.links.Handlers[driver.BirthService] = c.birth.Serve
	h.links.Handlers[driver.Service] = c.when(c.driver.Serve)
	h.links.Handlers[leader.LeaseService] = c.when(c.leader.ServeLease)
	h.links.Handlers[leader.CallService] = c.serveCall
	return nil
}

// when serves streams only once the log is settled.
func (c *control) when(next link.Handler) link.Handler {
	return func(ctx context.Context, from string, conn *link.Conn) {
		if c.settled.Load() {
			next(ctx, from, conn)
		}
	}
}

// serveCall serves calls; before the log is settled it answers that they did not run.
func (c *control) serveCall(ctx context.Context, from string, conn *link.Conn) {
	if c.settled.Load() {
		c.leader.ServeCall(ctx, from, conn)
		return
	}
	if conn.Recv(&wire.ControlRequest{}) == nil {
		_ = conn.Send(&wire.ControlReply{Verdict: fault.NotRun.String(), Reason: string(fault.NoLeader), Text: "control has no quorum yet"})
	}
}

// members returns the membership that this host knows, or nil before there is one.
func (c *control) members() *wire.Members {
	if c.settled.Load() {
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

// start settles the first membership in the background, then runs driver and leader.
func (c *control) start(ctx context.Context) (<-chan error, error) {
	done := make(chan error, 1)
	go func() { done <- c.run(ctx) }()
	return done, nil
}

func (c *control) run(ctx context.Context) error {
	restored, err := c.birth.Settle(ctx, c.driver.Restored)
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
	c.settled.Store(true)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	driven := c.driver.Run(ctx)
	led := c.leader.Run(ctx)
	joined := c.join(ctx)
	err = <-driven
	cancel()
	<-led
	<-joined
	return err
}

// join asks for a place in the quorum while this host's identity has none.
func (c *control) join(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, joinInterval)
			if !c.votes() {
				c.ask(ctx)
			}
		}
		done <- nil
	}()
	return done
}

func (c *control) votes() bool {
	for _, m := range c.driver.Status().Members.GetMembers() {
		if m.Id == c.driver.ID {
			return !m.Learner
		}
	}
	return false
}

func (c *control) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	me := &wire.Member{Id: c.driver.ID, Addr: c.h.Config.LinkAddr}
	if _, err := c.h.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodJoinQuorum, Member: me}); err != nil {
		c.h.Log.WithField("reason", string(fault.From(err).Reason)).Debug("no place in the quorum yet")
	}
}

// drain lets another control host lead.
func (c *control) drain(ctx context.Context) {
	if c.settled.Load() {
		limit, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		c.driver.Handover(limit)
	}
}
