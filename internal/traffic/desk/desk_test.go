package desk_test

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
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// view returns what control says of a group whose term 2 is in a phase.
func view(revision uint64, phase wire.Phase) []*wire.Resource {
	m := spec.Manifest{Number: 1, Groups: []spec.Cluster{{Name: "g"}}}
	return []*wire.Resource{
		{Kind: string(spec.Manifests), Name: spec.Current, Version: 1, Revision: 1, Spec: m.Encode()},
		{Kind: string(spec.Groups), Name: "g", Revision: revision, Group: &wire.GroupState{Term: 2, Phase: phase, Primary: "i"}},
	}
}

// TestTermThatOpensMeanwhileDoesNotCount: a read that is sent to the chosen instance before it
// leads and comes back after its term has opened is none at the primary.
func TestTermThatOpensMeanwhileDoesNotCount(t *testing.T) {
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
			Host: "h", Record: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, RenewInterval: 5 * time.Millisecond,
			Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		}
		a.Prepare()
		d := &desk.Desk{Host: "h", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, Open: func(_, _, _ string, _ bool, _ int) *pool.Server { return nil }}
		d.Prepare()
		done := a.Run(ctx)
		take := func(p wire.Phase) *desk.Group {
			phases <- p
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if g := d.Plan().Groups["g"]; g != nil && g.Open == (p == wire.Phase_OPEN) && a.LeaseValid(clock.Monotonic()) {
					return g
				}
			}
			return nil
		}
		chosen := take(wire.Phase_CHOSEN)
		open := take(wire.Phase_OPEN)
		So(chosen, ShouldNotBeNil)
		So(open, ShouldNotBeNil)
		now := clock.Monotonic()
		So(d.Current(now, open), ShouldBeTrue)
		So(d.Current(now, chosen), ShouldBeFalse)
		So(d.Saw(now, now, chosen, token.Mark{Term: 1, Position: 1}), ShouldBeFalse)
		cancel()
		So(<-done, ShouldBeNil)
		a.Dialer.Close()
		So(<-served, ShouldBeNil)
	})
}

// TestLendersReportOnPrimaries: a control host that lends its connections is the one that uses
// the primary, so that it tells the leader of a failure, and of an answer just as well.
func TestLendersReportOnPrimaries(t *testing.T) {
	Convey("Given a control host that lends connections to a primary out of reach", t, func() {
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		now := time.Unix(1000, 0)
		d := &desk.Desk{
			Host: "core", Center: "a", Lends: true, Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: func() time.Time { return now },
			Borrow: func(string, string, string, int, time.Duration) (pool.Unit, error) { return nil, errors.New("unused") },
		}
		d.Open = func(group, instance, addr string, _ bool, slots int) *pool.Server {
			return &pool.Server{
				Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: d.Now,
				Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("out of reach") },
			}
		}
		d.Prepare()
		m := spec.Manifest{Number: 1, Groups: []spec.Cluster{{Name: "g", Connections: 20}}}
		a.OnView(agent.NewView(1, []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.Current, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Groups), Name: "g", Revision: 1, Group: &wire.GroupState{Term: 2, Phase: wire.Phase_OPEN, Primary: "i"}},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 2}},
			{Kind: string(spec.Hosts), Name: "core", Revision: 1, Host: &wire.HostState{Center: "a", Roles: []string{string(conf.RoleControl)}}},
		}))
		_, err := d.Find("g", "i").Get(t.Context(), time.Second, 1)
		So(err, ShouldNotBeNil)
		So(a.PrimaryHealth(now), ShouldBeEmpty)
		now = now.Add(time.Second)
		list := a.PrimaryHealth(now)
		So(list, ShouldHaveLength, 1)
		So(list[0].Primary, ShouldEqual, "i")
		So(list[0].Well, ShouldBeFalse)
	})
}

// TestStandbyHostsAskControlHostsFirst plays the closing of a recorded day of juguetoteca-uy (inc-4975):
// entry hosts on standby for control hosts used their own connections for their own callers, all
// day and past the order that the control host keeps; with those of before the loss of power the
// instance was full.
func TestStandbyHostsAskControlHostsFirst(t *testing.T) {
	Convey("Given an entry host on standby for a control host", t, func() {
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		asked := make(chan string, 16)
		d := &desk.Desk{
			Host: "e0", Center: "a", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: time.Now,
			Borrow: func(addr, _, _ string, _ int, _ time.Duration) (pool.Unit, error) {
				asked <- "borrowed from " + addr
				return nil, errors.New("out of reach")
			},
		}
		d.Open = func(group, instance, addr string, _ bool, slots int) *pool.Server {
			return &pool.Server{
				Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: d.Now,
				Dial: func(context.Context, string) (net.Conn, error) {
					asked <- "opened"
					return nil, errors.New("out of reach")
				},
			}
		}
		d.Prepare()
		m := spec.Manifest{Number: 1, Groups: []spec.Cluster{{Name: "g", Connections: 22}}}
		list := []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.Current, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 3}},
			{Kind: string(spec.Hosts), Name: "k", Revision: 1, Host: &wire.HostState{Center: "a", Link: "k", Roles: []string{string(conf.RoleControl)}}},
		}
		for _, name := range []string{"e0", "e1"} {
			list = append(list, &wire.Resource{Kind: string(spec.Hosts), Name: name, Revision: 1, Host: &wire.HostState{Center: "a", Link: name, Roles: []string{string(conf.RoleEntry)}}})
		}
		a.OnView(agent.NewView(1, list))
		u, err := d.Find("g", "i").Open(t.Context(), time.Second, 1)
		So(err, ShouldBeNil)
		_, _, err = u.Run(time.Second, flow.Values{}, flow.Request{ID: "1", Text: "READ x"}, true)
		So(err, ShouldNotBeNil)
		So([]string{<-asked, <-asked}, ShouldResemble, []string{"borrowed from k", "opened"})
	})
}
