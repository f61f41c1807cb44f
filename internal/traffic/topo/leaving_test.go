package topo_test

import (
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
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// TestLeaveDeadlineBelongsToOneIncarnation guards against a primary that is used although its deadline
// may have passed, and against an instance that is not used because another one left.
func TestLeaveDeadlineBelongsToOneIncarnation(t *testing.T) {
	Convey("Given a host that learns at its start that the primary leaves", t, func() {
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		topology := &topo.Topology{Host: "e", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, LeaveBound: spec.LeaveBound(time.Minute)}
		topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
			return &pool.Pool{Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: topology.Now}
		}
		topology.Prepare()
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 20}}}
		apply := func(revision uint64, primary string, servers ...*wire.Resource) *topo.Group {
			a.OnView(agent.NewView(revision, append(servers,
				&wire.Resource{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
				&wire.Resource{Kind: string(spec.Groups), Name: "g", Revision: revision, Group: &wire.GroupState{Term: revision, Phase: wire.Phase_OPEN, Primary: primary}})))
			return topology.Snapshot().Groups["g"]
		}
		server := func(name, addr string, born int64, standing wire.LifecycleState) *wire.Resource {
			return &wire.Resource{Kind: string(spec.Backends), Name: name, Backend: &wire.BackendState{Group: "g", Addr: addr, Born: born, Slots: 2, Standing: standing}}
		}
		pick := func(g *topo.Group) string {
			name, _ := route.DefaultCosts().Pick(route.Requirement{Primary: true}, g.Candidates(clock.Monotonic(), nil))
			return name
		}
		g := apply(1, "i", server("i", "h:1", 7, wire.LifecycleState_DRAINING))

		Convey("It cannot tell how long ago that was announced, and does not use the primary", func() {
			So(pick(g), ShouldBeEmpty)
			So(g.CatchingUp(clock.Monotonic(), nil), ShouldBeFalse)
		})
		Convey("It uses the instance once it has started again under its name", func() {
			So(pick(apply(2, "i", server("i", "h:1", 8, wire.LifecycleState_READY))), ShouldEqual, "i")
		})
		Convey("It uses another instance at its address", func() {
			So(pick(apply(2, "j", server("i", "h:1", 7, wire.LifecycleState_DRAINING), server("j", "h:1", 8, wire.LifecycleState_READY))), ShouldEqual, "j")
		})
	})
}
