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
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// TestLenderWithholdsFromLeavingInstance guards against requests that reach a leaving instance through a
// lender, which may know of its deadline when the host that borrows does not.
func TestLenderWithholdsFromLeavingInstance(t *testing.T) {
	Convey("Given a control host that lends connections to an instance that has left", t, func() {
		a, topology := newLendingHost()
		topology.Borrow = func(string, string, string, pool.Priority, time.Duration) (pool.Handle, error) {
			return nil, errors.New("unused")
		}
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 22}}}
		a.OnView(agent.NewView(1, []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Hosts), Name: "k", Revision: 1, Host: &wire.HostState{Center: "a", Link: "k", Roles: []string{string(conf.RoleControl)}}},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 3, Born: 1, Standing: wire.LifecycleState_DRAINING}},
		}))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{lend.Service: (&lend.Lender{Topology: topology, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}).Serve}}).Run(ctx)
		dialer := &link.Dialer{Host: "e"}
		Reset(func() {
			dialer.Close()
			cancel()
			So(<-served, ShouldBeNil)
		})
		Convey("The host that borrows learns that nothing was sent, and why", func() {
			b := &lend.Borrower{Dialer: dialer, Now: clock.Monotonic}
			h, err := b.Open(ln.Addr().String(), "g", "i", pool.Priority{}, time.Second)
			So(err, ShouldBeNil)
			defer h.Release()
			answer, stage, err := h.Run(time.Second, flow.Values{}, flow.Request{ID: "s", Text: "WRITE x 1", Writes: true}, true)
			So(err, ShouldBeNil)
			So(stage, ShouldEqual, flow.Answered)
			So(answer.Code, ShouldEqual, flow.Leaving)
		})
		Convey("A host of an earlier build gets a code that it knows", func() {
			c, err := dialer.Open(ctx, ln.Addr().String(), lend.Service)
			So(err, ShouldBeNil)
			defer c.Close()
			So(c.Send(&wire.LendRequest{Group: "g", Instance: "i", Patience: int64(time.Second), Limit: int64(time.Second), Last: true, Question: &wire.InstanceRequest{Text: []byte("READ x")}}), ShouldBeNil)
			r := &wire.LendReply{}
			So(c.Recv(r), ShouldBeNil)
			So(flow.Code(r.Code), ShouldEqual, flow.Overloaded)
		})
	})
}
