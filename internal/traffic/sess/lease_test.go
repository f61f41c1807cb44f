package sess_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
	"github.com/agatespindle/agatespindle/platform"
)

// unleasedHost is a host that has lost control, or has not reached it yet, and still reaches the instances
// i-1 (the primary) and i-2 (a replica).
type unleasedHost struct {
	*sess.Manager
	group *mimic.Group
	// resources are those of the host's view.
	resources []*wire.Resource
}

// newUnleasedHost starts two instances and returns a host without a lease.
func newUnleasedHost(t *testing.T) unleasedHost {
	return newUnleasedHostOf(t, &mimic.Group{Name: "g", MaxConns: 16})
}

// newUnleasedHostOf starts two instances of a group and returns a host without a lease.
func newUnleasedHostOf(t *testing.T, g *mimic.Group) unleasedHost {
	var resources []*wire.Resource
	for _, name := range []string{"i-1", "i-2"} {
		in, err := g.Start(name, "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		t.Cleanup(in.Crash)
		resources = append(resources, &wire.Resource{
			Kind: string(spec.Backends), Name: name, Revision: 2, Backend: &wire.BackendState{Group: "g", Addr: in.Addr, Slots: 2, Born: 1},
		})
	}
	m := spec.Manifest{Number: 2, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 16}}}
	for name, consistency := range map[string]spec.Consistency{"strong": spec.StrongConsistency, "aged": spec.BoundedStaleness, "own": spec.ReadYourWrites} {
		m.Databases = append(m.Databases, spec.Database{
			Name: name, Group: "g", Consistency: consistency, StatementTimeout: time.Second, TargetLatency: 500 * time.Millisecond, MaxStaleness: time.Second,
		})
	}
	mgr := newManager()
	mgr.Topology.NewPool = func(group, instance, addr string, local bool, slots int) *pool.Pool {
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
		return &pool.Pool{
			Group: group, Instance: instance, Addr: addr, Local: local, Slots: slots, Codec: platform.BackendCodec(), Log: logs.Discard(), Meter: meter.New(),
			Dial: dial, Now: clock.Monotonic,
		}
	}
	resources = append(resources,
		&wire.Resource{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 2, Revision: 2, Spec: m.Encode()},
		&wire.Resource{Kind: string(spec.Groups), Name: "g", Revision: 2, Group: &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "i-1", Reign: 1}})
	mgr.Topology.Agent.OnView(agent.NewView(2, resources))
	return unleasedHost{mgr, g, resources}
}

// open opens a session on a database.
func (h unleasedHost) open(database string) *sess.Session {
	s, code := h.Open(database, "")
	So(code, ShouldEqual, flow.OK)
	return s
}

// run runs one statement.
func run(s *sess.Session, kind flow.Kind, text string) flow.Answer {
	st := flow.Statement{ID: "1", Text: text, Kind: kind}
	if a, ok := s.RunLocal(clock.Monotonic(), st); ok {
		return a
	}
	return s.Run(context.Background(), st)
}

// value returns the value that a read was answered with.
func value(a flow.Answer) string { return string(bytes.Join(a.Rows, nil)) }

// TestUnleasedHostServesByProof plays a network partition that cuts a host off from control for longer
// than its lease, but not from the instances.
func TestUnleasedHostServesByProof(t *testing.T) {
	Convey("Given a host without a lease that reaches the primary", t, func() {
		h := newUnleasedHost(t)
		writer := h.open("own")
		So(run(writer, flow.Write, "WRITE a new").Code, ShouldEqual, flow.OK)
		Convey("It serves reads of all databases, with what was written", func() {
			for _, database := range []string{"strong", "aged"} {
				for range 5 {
					a := run(h.open(database), flow.Read, "READ a")
					So(a.Code, ShouldEqual, flow.OK)
					So(value(a), ShouldEqual, "new")
				}
			}
			So(value(run(writer, flow.Read, "READ a")), ShouldEqual, "new")
			So(h.Meter.CounterValue("served.proven"), ShouldBeGreaterThan, 0)
		})
		Convey("It serves read-only transactions at the primary, and refuses to write in them", func() {
			s := h.open("strong")
			So(run(s, flow.BeginRead, "BEGIN READ").Code, ShouldEqual, flow.OK)
			So(value(run(s, flow.Read, "READ a")), ShouldEqual, "new")
			So(run(s, flow.Write, "WRITE a other").Code, ShouldEqual, flow.ReadOnly)
			So(run(s, flow.Rollback, "ROLLBACK").Code, ShouldEqual, flow.OK)
			So(value(run(h.open("strong"), flow.Read, "READ a")), ShouldEqual, "new")
		})
		Convey("Once the primary is replaced behind its back, no fresh read is served from it", func() {
			So(h.group.Promote("i-2", 1), ShouldBeTrue)
			for end := time.Now().Add(time.Second); h.group.Primary() != "i-2" && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			s := h.open("strong")
			a := run(s, flow.Read, "READ a")
			So(a.Code, ShouldNotEqual, flow.OK)
			So(a.Code.GuaranteesNoEffect(), ShouldBeTrue)
			So(h.Meter.CounterValue("tries.unproven"), ShouldBeGreaterThan, 0)
			So(run(s, flow.BeginRead, "BEGIN READ").Code, ShouldEqual, flow.OK)
			So(run(s, flow.Read, "READ a").Code, ShouldNotEqual, flow.OK)
		})
	})
}

// TestRequestsForLeftPrimaryAreRefusedAtOnce guards against requests that wait, or are sent, although the
// only instance that could run them gets none any more.
func TestRequestsForLeftPrimaryAreRefusedAtOnce(t *testing.T) {
	Convey("Given a primary that leaves and whose deadline has passed", t, func() {
		h := newUnleasedHost(t)
		h.resources[0].Backend.Standing = wire.LifecycleState_DRAINING
		h.Topology.Agent.OnView(agent.NewView(3, h.resources))
		for _, statement := range []flow.Kind{flow.Write, flow.Read} {
			started := time.Now()
			a := run(h.open("strong"), statement, "WRITE x 1")
			So(a.Code, ShouldEqual, flow.Leaving)
			So(a.Code.GuaranteesNoEffect(), ShouldBeTrue)
			So(time.Since(started), ShouldBeLessThan, 500*time.Millisecond)
		}
		So(h.group.WriteCount("1"), ShouldEqual, 0)
		So(h.Meter.CounterValue("refused.leaving"), ShouldEqual, 2)
	})
}
