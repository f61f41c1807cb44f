package topo_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// TestConnectionsToFormerPrimaryAreGivenUp guards against a former primary that can't be told to step down because hosts
// keep its connections (review case 11), and against an instance that is not used again afterwards.
func TestConnectionsToFormerPrimaryAreGivenUp(t *testing.T) {
	Convey("Given a group with the primary i and the replica j", t, func() {
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		topology := &topo.Topology{Host: "e", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
			return &pool.Pool{Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: topology.Now}
		}
		topology.Prepare()
		revision := uint64(0)
		// suspended returns the instances whose connections are given up once the group is in a state.
		suspended := func(copies int, gs *wire.GroupState) []string {
			revision++
			m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 20, SyncReplicas: copies}}}
			resources := []*wire.Resource{
				{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
				{Kind: string(spec.Groups), Name: "g", Revision: revision, Group: gs},
			}
			for _, name := range []string{"i", "j"} {
				resources = append(resources, &wire.Resource{Kind: string(spec.Backends), Name: name, Backend: &wire.BackendState{Group: "g", Addr: "h:" + name, Born: 1, Slots: 2}})
			}
			a.OnView(agent.NewView(revision, resources))
			var names []string
			for _, c := range topology.Snapshot().Groups["g"].Candidates(clock.Monotonic(), nil) {
				if c.Down {
					names = append(names, c.Name)
				}
			}
			return names
		}
		open := &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "i"}
		So(suspended(1, open), ShouldBeEmpty)
		Convey("Those to i are given up from the end of its term until the next one opens", func() {
			So(suspended(1, &wire.GroupState{Term: 2, Phase: wire.Phase_SEALED, Primary: "i", Former: "i"}), ShouldResemble, []string{"i"})
			So(suspended(1, &wire.GroupState{Term: 2, Phase: wire.Phase_CHOSEN, Primary: "j", Former: "i"}), ShouldResemble, []string{"i"})
			So(suspended(1, &wire.GroupState{Term: 2, Phase: wire.Phase_OPEN, Primary: "j"}), ShouldBeEmpty)
		})
		Convey("None are where writes require no copy", func() {
			So(suspended(0, &wire.GroupState{Term: 2, Phase: wire.Phase_SEALED, Primary: "i", Former: "i"}), ShouldBeEmpty)
		})
	})
}
