package topo_test

import (
	"errors"
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
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// lenderAddr is the address of the host that lends.
const lenderAddr = "k:1"

// borrowingHost returns the topology of an entry host that borrows, and the instance that it borrows.
func borrowingHost() (*topo.Topology, *topo.Member) {
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	topology := &topo.Topology{
		Host: "e", Center: "a", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Borrow: func(string, string, string, pool.Priority, time.Duration) (pool.Handle, error) {
			return nil, errors.New("unused")
		},
		NewPool: func(group, instance, addr string, _ bool, slots int) *pool.Pool {
			return &pool.Pool{Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		},
	}
	topology.Prepare()
	m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 20}}}
	host := func(name string, role conf.Role) *wire.Resource {
		return &wire.Resource{Kind: string(spec.Hosts), Name: name, Revision: 1, Host: &wire.HostState{Center: "a", Link: name + ":1", Roles: []string{string(role)}}}
	}
	a.OnView(agent.NewView(1, []*wire.Resource{
		{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
		{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 2}},
		host("e", conf.RoleEntry), host("k", conf.RoleControl),
	}))
	return topology, topology.Member("g", "i")
}

// TestAvoidanceIsLoggedOnce is a grey instance close to the limit, which thousands of requests judge.
func TestAvoidanceIsLoggedOnce(t *testing.T) {
	Convey("An instance that is avoided is logged and counted once, if the reason has held for a second", t, func() {
		topology, member := borrowingHost()
		now := time.Unix(1000, 0)
		failing := even.Avoidance{Reason: even.AvoidedFailing, FailureShare: 0.4}
		for i := range 100 {
			member.RecordAvoidance(now.Add(time.Duration(i)*100*time.Millisecond), failing)
			member.RecordAvoidance(now.Add(time.Duration(i)*100*time.Millisecond), even.Avoidance{})
		}
		So(topology.Meter.CounterValue("placed.avoided.failing"), ShouldEqual, 0)
		now = now.Add(time.Minute)
		for i := range 100 {
			member.RecordAvoidance(now.Add(time.Duration(i)*100*time.Millisecond), failing)
		}
		So(topology.Meter.CounterValue("placed.avoided.failing"), ShouldEqual, 1)
	})
}

// TestRecordLoadDropsForeignReports is the news of a host that lends an instance no more, or of an instance
// that is gone.
func TestRecordLoadDropsForeignReports(t *testing.T) {
	Convey("Reports about unknown instances and of hosts that don't lend the instance are counted and dropped", t, func() {
		topology, member := borrowingHost()
		now := time.Unix(1000, 0)
		report := even.Report{Lender: lenderAddr, Version: 1, Running: 3}
		topology.RecordLoad(now, "g", "gone", report)
		foreign := report
		foreign.Lender = "elsewhere:1"
		topology.RecordLoad(now, "g", member.Instance, foreign)
		So(topology.Meter.CounterValue("loads.dropped.foreign"), ShouldEqual, 2)
		So(member.LoadNews(now, "").Known, ShouldBeFalse)
		topology.RecordLoad(now, "g", member.Instance, report)
		topology.RecordLoad(now, "g", member.Instance, report)
		So(topology.Meter.CounterValue("loads.merged"), ShouldEqual, 1)
		So(topology.Meter.CounterValue("loads.dropped.old"), ShouldEqual, 1)
		So(member.LoadNews(now, "").Load, ShouldEqual, 3)
	})
}
