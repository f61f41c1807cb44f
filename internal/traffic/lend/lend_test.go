package lend_test

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
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// newLendingHost returns the agent and the topology of a control host that reaches no instance.
func newLendingHost() (*agent.Agent, *topo.Topology) {
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	topology := &topo.Topology{Host: "k", Center: "a", LendOnly: true, Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
		return &pool.Pool{
			Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: topology.Now,
			Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("unreachable") },
		}
	}
	topology.Prepare()
	return a, topology
}

// TestRequestsWaitForStartingLender guards against the failure in inc-4975 (juguetoteca-uy): after a
// restart of all hosts a control host learned of the instances 100 ms later than the hosts that
// borrowed from it. It refused their requests, and each opened a connection of its own.
func TestRequestsWaitForStartingLender(t *testing.T) {
	Convey("Given a control host that knows no instance yet", t, func() {
		a, topology := newLendingHost()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		lender := &lend.Lender{Topology: topology, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{lend.Service: lender.Serve}}).Run(ctx)
		dialer := &link.Dialer{Host: "e"}
		ask := func(waitLimit time.Duration) string {
			c, err := dialer.Open(ctx, ln.Addr().String(), lend.Service)
			So(err, ShouldBeNil)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			So(c.Send(&wire.LendRequest{Group: "g", Instance: "i", Patience: int64(waitLimit), Limit: int64(time.Second), Last: true, Question: &wire.InstanceRequest{Text: []byte("READ x")}}), ShouldBeNil)
			r := &wire.LendReply{}
			So(c.Recv(r), ShouldBeNil)
			return r.Error
		}
		Convey("A request is refused unsent once its wait limit has passed", func() {
			So(ask(20*time.Millisecond), ShouldContainSubstring, "does not lend connections")
		})
		Convey("A waiting request proceeds once the instances are known", func() {
			m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 22}}}
			time.AfterFunc(50*time.Millisecond, func() {
				a.OnView(agent.NewView(1, []*wire.Resource{
					{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
					{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 3}},
				}))
			})
			So(ask(5*time.Second), ShouldNotContainSubstring, "does not lend connections")
		})
		Reset(func() {
			dialer.Close()
			cancel()
			So(<-served, ShouldBeNil)
		})
	})
}
