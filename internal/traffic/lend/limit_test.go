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
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// TestLenderKeepsLimits covers requests of an account for which the lender may start nothing.
func TestLenderKeepsLimits(t *testing.T) {
	Convey("Given a control host that lends connections and holds no share of an account's limit", t, func() {
		a, topology := newLendingHost()
		holder := &share.Holder{}
		topology.Shares = holder
		topology.Borrow = func(string, string, string, pool.Priority, time.Duration) (pool.Handle, error) {
			return nil, errors.New("unused")
		}
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 22}}, Accounts: []spec.Account{{Name: "x", Rate: 10, Burst: 5}}}
		a.OnView(agent.NewView(1, []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Hosts), Name: "k", Revision: 1, Host: &wire.HostState{Center: "a", Link: "k", Roles: []string{string(conf.RoleControl)}}},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 3, Born: 1}},
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
		run := func() (flow.Answer, flow.Stage, error) {
			h, err := (&lend.Borrower{Dialer: dialer, Now: clock.Monotonic}).Open(ln.Addr().String(), "g", "i", pool.Priority{Account: "x"}, time.Second)
			So(err, ShouldBeNil)
			defer h.Close()
			return h.Run(time.Second, flow.Values{}, flow.Request{ID: "s", Text: "WRITE x 1", Writes: true}, true)
		}
		Convey("The host that borrows learns that nothing was sent and that another lender may have a share", func() {
			_, stage, err := run()
			So(stage, ShouldEqual, flow.Unsent)
			So(errors.Is(err, topo.ErrNoShare), ShouldBeTrue)
		})
		Convey("Once the account has used up its limit, it learns that others would refuse as well", func() {
			now := clock.Monotonic()
			holder.Report(now, 1)
			So(holder.Apply(now, 1, &wire.ShareGrant{Term: 1, Report: true}), ShouldBeTrue)
			holder.Report(now, 2)
			So(holder.Apply(now, 2, &wire.ShareGrant{Term: 1, Complete: true, Version: 1, Limited: []string{"x"}}), ShouldBeTrue)
			answer, stage, err := run()
			So(err, ShouldBeNil)
			So(stage, ShouldEqual, flow.Answered)
			So(answer.Code, ShouldEqual, flow.Limited)
			So(answer.Code.NotRun(), ShouldBeTrue)
		})
	})
}
