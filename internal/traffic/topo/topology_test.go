package topo_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// view returns the resources of a group whose term 2 is in the given phase.
func view(revision uint64, phase wire.Phase) []*wire.Resource {
	m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g"}}}
	return []*wire.Resource{
		{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
		{Kind: string(spec.Groups), Name: "g", Revision: revision, Group: &wire.GroupState{Term: 2, Phase: phase, Primary: "i"}},
	}
}

// TestPositionBeforeTermOpensIsRejected guards against recording a stale position: a read is sent to
// an instance that is chosen as primary but not promoted yet, and its answer arrives after the term
// has opened. That read was not served by the primary.
func TestPositionBeforeTermOpensIsRejected(t *testing.T) {
	Convey("Given a host with a lease", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		phases := make(chan wire.Phase, 2)
		grant := func(_ context.Context, _ string, c *link.Conn) {
			revision := uint64(1)
			r := &wire.LeaseRenewal{}
			for c.Recv(r) == nil {
				g := &wire.LeaseGrant{Granted: true, Seq: r.Seq, Term: 1, Lease: uint64(time.Minute)}
				select {
				case p := <-phases:
					revision++
					g.Reset_, g.Revision, g.Changes = true, revision, view(revision, p)
				default:
				}
				if c.Send(g) != nil {
					return
				}
			}
		}
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{leader.LeaseService: grant}}).Run(ctx)
		a := &agent.Agent{
			Host: "h", Registration: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, RenewInterval: 5 * time.Millisecond,
			Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		}
		a.Prepare()
		topology := &topo.Topology{Host: "h", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, NewPool: func(_, _, _ string, _ bool, _ int) *pool.Pool { return nil }}
		topology.Prepare()
		done := a.Run(ctx)
		applyPhase := func(p wire.Phase) *topo.Group {
			phases <- p
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if g := topology.Snapshot().Groups["g"]; g != nil && g.Open == (p == wire.Phase_OPEN) && a.LeaseValid(clock.Monotonic()) {
					return g
				}
			}
			return nil
		}
		chosen := applyPhase(wire.Phase_CHOSEN)
		open := applyPhase(wire.Phase_OPEN)
		So(chosen, ShouldNotBeNil)
		So(open, ShouldNotBeNil)
		now := clock.Monotonic()
		So(topology.TermStillOpen(now, open), ShouldBeTrue)
		So(topology.TermStillOpen(now, chosen), ShouldBeFalse)
		So(topology.RecordPosition(now, now, chosen, token.Position{Term: 1, Position: 1}), ShouldBeFalse)
		cancel()
		So(<-done, ShouldBeNil)
		a.Dialer.Close()
		So(<-served, ShouldBeNil)
	})
}

// TestLendersReportPrimaryHealth checks that a control host that only lends connections reports the
// health of a primary: the borrowing hosts have no connections of their own to judge it by.
func TestLendersReportPrimaryHealth(t *testing.T) {
	Convey("Given a control host that lends connections to an unreachable primary", t, func() {
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		now := time.Unix(1000, 0)
		topology := &topo.Topology{
			Host: "core", Center: "a", LendOnly: true, Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: func() time.Time { return now },
			Borrow: func(string, string, string, pool.Priority, time.Duration) (pool.Handle, error) {
				return nil, errors.New("unused")
			},
		}
		topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
			return &pool.Pool{
				Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: topology.Now,
				Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("unreachable") },
			}
		}
		topology.Prepare()
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 20}}}
		a.OnView(agent.NewView(1, []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Groups), Name: "g", Revision: 1, Group: &wire.GroupState{Term: 2, Phase: wire.Phase_OPEN, Primary: "i"}},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 2}},
			{Kind: string(spec.Hosts), Name: "core", Revision: 1, Host: &wire.HostState{Center: "a", Roles: []string{string(conf.RoleControl)}}},
		}))
		_, err := topology.Member("g", "i").Get(t.Context(), time.Second, pool.Priority{Rank: 1})
		So(err, ShouldNotBeNil)
		So(a.PrimaryHealth(now), ShouldBeEmpty)
		now = now.Add(time.Second)
		list := a.PrimaryHealth(now)
		So(list, ShouldHaveLength, 1)
		So(list[0].Primary, ShouldEqual, "i")
		So(list[0].Well, ShouldBeFalse)
	})
}

// TestStandbyHostsBorrowFromControlHostsFirst guards against the failure in inc-4975 (juguetoteca-uy):
// entry hosts on standby for control hosts used their own connections for their own callers, which
// bypassed the admission order of the control host. Together with connections left over from before
// a power loss they used up the instance's connection limit.
func TestStandbyHostsBorrowFromControlHostsFirst(t *testing.T) {
	Convey("Given an entry host on standby for a control host", t, func() {
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		asked := make(chan string, 16)
		topology := &topo.Topology{
			Host: "e0", Center: "a", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: time.Now,
			Borrow: func(addr, _, _ string, _ pool.Priority, _ time.Duration) (pool.Handle, error) {
				asked <- "borrowed from " + addr
				return nil, errors.New("unreachable")
			},
		}
		topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
			return &pool.Pool{
				Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: topology.Now,
				Dial: func(context.Context, string) (net.Conn, error) {
					asked <- "opened"
					return nil, errors.New("unreachable")
				},
			}
		}
		topology.Prepare()
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 22}}}
		list := []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 3}},
			{Kind: string(spec.Hosts), Name: "k", Revision: 1, Host: &wire.HostState{Center: "a", Link: "k", Roles: []string{string(conf.RoleControl)}}},
		}
		for _, name := range []string{"e0", "e1"} {
			list = append(list, &wire.Resource{Kind: string(spec.Hosts), Name: name, Revision: 1, Host: &wire.HostState{Center: "a", Link: name, Roles: []string{string(conf.RoleEntry)}}})
		}
		a.OnView(agent.NewView(1, list))
		h, err := topology.Member("g", "i").Open(t.Context(), time.Second, pool.Priority{Rank: 1})
		So(err, ShouldBeNil)
		_, _, err = h.Run(time.Second, flow.Values{}, flow.Request{ID: "1", Text: "READ x"}, true)
		So(err, ShouldNotBeNil)
		So([]string{<-asked, <-asked}, ShouldResemble, []string{"borrowed from k", "opened"})
	})
}

// TestMissesNoWrite checks when a read at an instance that was primary afterwards is fresh.
func TestMissesNoWrite(t *testing.T) {
	Convey("Given the primary of term 3 of its own count", t, func() {
		g := &topo.Group{PrimaryTerm: 3}
		at := func(term, position uint64) token.Position { return token.Position{Term: term, Position: position} }
		Convey("A read is fresh if nothing was written since, or only by that primary in its term", func() {
			So(g.MissesNoWrite(at(2, 7), at(2, 7)), ShouldBeTrue)
			So(g.MissesNoWrite(at(3, 8), at(3, 9)), ShouldBeTrue)
		})
		Convey("It may miss writes of others if positions of another term lie in between", func() {
			So(g.MissesNoWrite(at(2, 7), at(2, 8)), ShouldBeFalse)
			So(g.MissesNoWrite(at(3, 8), at(4, 9)), ShouldBeFalse)
			So(g.MissesNoWrite(at(2, 7), at(3, 8)), ShouldBeFalse)
			So(g.MissesNoWrite(at(0, 0), at(0, 0)), ShouldBeFalse)
		})
	})
}
