package desk_test

import (
	"errors"
	"fmt"
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
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// The sizes of the large deployment.
const (
	entries  = 295
	controls = 5
	groups   = 20
)

// large returns a desk of an entry host of the large deployment, and the view that it has learned.
func large() (*desk.Desk, *agent.View) {
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	d := &desk.Desk{
		Host: "e0", Center: "c0", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: time.Now,
		Borrow: func(string, string, string, int, time.Duration) (pool.Unit, error) { return nil, errors.New("unused") },
	}
	d.Open = func(group, instance, addr string, _ bool, slots int) *pool.Server {
		return &pool.Server{Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: d.Now}
	}
	d.Prepare()
	m := spec.Manifest{Number: 1}
	var list []*wire.Resource
	for g := range groups {
		name := fmt.Sprint("g", g)
		m.Groups = append(m.Groups, spec.Cluster{Name: name, Connections: 88})
		list = append(list, &wire.Resource{Kind: string(spec.Groups), Name: name, Revision: 1, Group: &wire.GroupState{Term: 2, Phase: wire.Phase_OPEN, Primary: name + "i0"}})
		for i := range 3 {
			one := fmt.Sprint(name, "i", i)
			list = append(list, &wire.Resource{Kind: string(spec.Backends), Name: one, Revision: 1, Backend: &wire.BackendState{Group: name, Addr: one + ":1", Center: fmt.Sprint("c", i), Slots: 2}})
		}
	}
	list = append(list, &wire.Resource{Kind: string(spec.Manifests), Name: spec.Current, Version: 1, Revision: 1, Spec: m.Encode()})
	for h := range entries {
		list = append(list, joined(fmt.Sprint("e", h), h, conf.RoleEntry, 1))
	}
	for h := range controls {
		list = append(list, joined(fmt.Sprint("k", h), h, conf.RoleControl, 1))
	}
	v := agent.NewView(1, list)
	a.OnView(v)
	return d, v
}

// joined returns a host's record at a revision.
func joined(name string, n int, role conf.Role, revision uint64) *wire.Resource {
	return &wire.Resource{Kind: string(spec.Hosts), Name: name, Revision: revision, Host: &wire.HostState{
		Center: fmt.Sprint("c", n%controls), Link: name, Instance: fmt.Sprint(revision), Roles: []string{string(role)},
	}}
}

// TestRestartsLeaveThePlacement plays the restart of all hosts of the large deployment: each host
// learns of each of the others, and chose the lenders of 60 instances anew for each (7 ms, 36 ms on
// the 0.192 of a core that it has, 300 times).
func TestRestartsLeaveThePlacement(t *testing.T) {
	Convey("Given an entry host of the large deployment", t, func() {
		d, v := large()
		So(d.Meter.CounterValue("lenders.chosen"), ShouldEqual, 1)
		Convey("Hosts that join again at their addresses change no lender", func() {
			for n := range entries {
				revision := uint64(2 + n)
				v = v.With(revision, []*wire.Resource{joined(fmt.Sprint("e", n), n, conf.RoleEntry, revision)})
				d.Agent.OnView(v)
			}
			So(d.Meter.CounterValue("lenders.chosen"), ShouldEqual, 1)
		})
		Convey("One that leaves, and one that comes, do", func() {
			gone := joined("e7", 7, conf.RoleEntry, 2)
			gone.Deleted = true
			d.Agent.OnView(v.With(2, []*wire.Resource{gone}))
			d.Agent.OnView(v.With(3, []*wire.Resource{joined("e999", 1, conf.RoleEntry, 3)}))
			So(d.Meter.CounterValue("lenders.chosen"), ShouldEqual, 3)
		})
	})
}

// BenchmarkJoin measures what a host spends on learning of another one.
func BenchmarkJoin(b *testing.B) {
	d, v := large()
	for n := 0; b.Loop(); n++ {
		revision := uint64(2 + n)
		v = v.With(revision, []*wire.Resource{joined("e7", 7, conf.RoleEntry, revision)})
		d.Agent.OnView(v)
	}
}
