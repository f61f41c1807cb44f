package sess_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

// broker returns what sessions share on a host that knows one database and no instance.
func broker() *sess.Broker {
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	d := &desk.Desk{Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, Open: func(_, _, _ string, _ bool, _ int) *pool.Server { return nil }}
	d.Prepare()
	m := spec.Manifest{Number: 1, Groups: []spec.Cluster{{Name: "g"}}, Databases: []spec.Database{{Name: "stock", Group: "g", Reads: spec.AllWrites, Timeout: time.Second}}}
	a.OnView(agent.NewView(1, []*wire.Resource{{Kind: string(spec.Manifests), Name: spec.Current, Version: 1, Revision: 1, Spec: m.Encode()}}))
	return &sess.Broker{Desk: d, Costs: route.DefaultCosts(), Log: logs.Discard(), Lines: sess.NewBudget(), Meter: meter.New(), Now: clock.Monotonic}
}

// TestStatementsAfterTheEndAreRefused plays a statement that comes while its host ends.
func TestStatementsAfterTheEndAreRefused(t *testing.T) {
	Convey("Given a host whose time is over", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s, ok := broker().Open("stock")
		So(ok, ShouldBeTrue)
		Convey("A single statement is refused as not run", func() {
			So(s.Run(ctx, flow.Statement{ID: "1", Text: "READ x", Kind: flow.Read}).Code, ShouldEqual, flow.Busy)
		})
		Convey("So is the first of a transaction", func() {
			_, done := s.Local(clock.Monotonic(), flow.Statement{ID: "1", Text: "BEGIN", Kind: flow.Begin})
			So(done, ShouldBeTrue)
			So(s.Run(ctx, flow.Statement{ID: "2", Text: "READ x", Kind: flow.Read}).Code, ShouldEqual, flow.Busy)
		})
	})
}
