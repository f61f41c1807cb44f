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
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// newManager returns the session manager of a host that knows one database and no instance.
func newManager() *sess.Manager {
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	topology := &topo.Topology{Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, NewPool: func(_, _, _ string, _ bool, _ int) *pool.Pool { return nil }}
	topology.Prepare()
	m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g"}}, Databases: []spec.Database{{Name: "stock", Group: "g", Consistency: spec.StrongConsistency, StatementTimeout: time.Second}}}
	a.OnView(agent.NewView(1, []*wire.Resource{{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()}}))
	return &sess.Manager{Topology: topology, Costs: route.DefaultCosts(), Log: logs.Discard(), LogBudget: sess.NewLogBudget(), Meter: meter.New(), Now: clock.Monotonic}
}

// TestStatementsAfterShutdownAreRefused covers a statement that arrives while its host shuts down.
func TestStatementsAfterShutdownAreRefused(t *testing.T) {
	Convey("Given a host that is shutting down", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s, code := newManager().Open("stock", "")
		So(code, ShouldEqual, flow.OK)
		Convey("A single statement is refused as not run", func() {
			So(s.Run(ctx, flow.Statement{ID: "1", Text: "READ x", Kind: flow.Read}).Code, ShouldEqual, flow.Busy)
		})
		Convey("The first statement of a transaction is refused as well", func() {
			_, done := s.RunLocal(clock.Monotonic(), flow.Statement{ID: "1", Text: "BEGIN", Kind: flow.Begin})
			So(done, ShouldBeTrue)
			So(s.Run(ctx, flow.Statement{ID: "2", Text: "READ x", Kind: flow.Read}).Code, ShouldEqual, flow.Busy)
		})
	})
}
