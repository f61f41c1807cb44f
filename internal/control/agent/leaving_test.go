package agent_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// grant is one answer of a control leader in virtual time: its changes, whether they replace the view,
// and the time at which it arrives.
type grant struct {
	at      time.Duration
	reset   bool
	changes []*wire.Resource
}

// server returns the resource of an instance that started at born.
func server(name string, born int64, standing wire.LifecycleState) *wire.Resource {
	return &wire.Resource{Kind: string(spec.Backends), Name: name, Backend: &wire.BackendState{Group: "g", Instance: name, Born: born, Standing: standing}}
}

// viewAfter returns the view of an agent that has got the grants, one for each of its renewals. Its
// clock starts at zero and shows the time of a grant from that grant's arrival on.
func viewAfter(t *testing.T, grants ...grant) *agent.View {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(t.Context())
	var clock atomic.Int64
	sent := make(chan struct{})
	var once sync.Once
	served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{leader.LeaseService: func(_ context.Context, _ string, c *link.Conn) {
		for i, g := range grants {
			r := &wire.LeaseRenewal{}
			if c.Recv(r) != nil {
				return
			}
			clock.Store(int64(g.at))
			_ = c.Send(&wire.LeaseGrant{
				Seq: r.Seq, Term: 1, Granted: true, Lease: uint64(time.Second), Since: uint64(i), Revision: uint64(i + 1), Reset_: g.reset, Changes: g.changes,
			})
		}
		// Short of processor time, the agent may open a second stream before it has read the last grant.
		once.Do(func() { close(sent) })
		_ = c.Recv(&wire.LeaseRenewal{})
	}}}).Run(ctx)
	a := &agent.Agent{
		Host: "h", Registration: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, RenewInterval: time.Hour,
		Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: func() time.Time { return time.Unix(0, clock.Load()) },
	}
	a.Prepare()
	done := a.Run(ctx)
	<-sent
	v, changed := a.Changes()
	for v.Revision < uint64(len(grants)) {
		<-changed
		v, changed = a.Changes()
	}
	cancel()
	So(<-done, ShouldBeNil)
	a.Dialer.Close()
	So(<-served, ShouldBeNil)
	return v
}

// TestLeavingIsNotCountedFromWhenItIsLearned guards against an announcement that counts as younger than
// it is on a host that learns of it late.
func TestLeavingIsNotCountedFromWhenItIsLearned(t *testing.T) {
	ready, leaving := server("i", 7, wire.LifecycleState_READY), server("i", 7, wire.LifecycleState_DRAINING)
	Convey("An announcement is counted from the last renewal whose grant did not have it", t, func() {
		v := viewAfter(t, grant{at: time.Second, reset: true, changes: []*wire.Resource{ready}}, grant{at: 2 * time.Second}, grant{at: 9 * time.Second, changes: []*wire.Resource{leaving}})
		since, ok := v.LeavingSince("i", 7)
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, time.Unix(1, 0))
	})
	Convey("It keeps its time when the instance reports anew and when all resources are sent again", t, func() {
		v := viewAfter(t, grant{at: time.Second, reset: true, changes: []*wire.Resource{ready}}, grant{at: 2 * time.Second, changes: []*wire.Resource{leaving}},
			grant{at: 3 * time.Second, changes: []*wire.Resource{leaving}}, grant{at: 4 * time.Second, reset: true, changes: []*wire.Resource{leaving}})
		since, _ := v.LeavingSince("i", 7)
		So(since, ShouldEqual, time.Unix(0, 0))
	})
	Convey("A host that has just started knows no time", t, func() {
		since, ok := viewAfter(t, grant{at: time.Second, reset: true, changes: []*wire.Resource{leaving}}).LeavingSince("i", 7)
		So(ok, ShouldBeTrue)
		So(since.IsZero(), ShouldBeTrue)
	})
	Convey("Another incarnation under the same name is not leaving", t, func() {
		v := viewAfter(t, grant{at: time.Second, reset: true, changes: []*wire.Resource{leaving}}, grant{at: 2 * time.Second, changes: []*wire.Resource{server("i", 8, wire.LifecycleState_READY)}})
		_, ok := v.LeavingSince("i", 8)
		So(ok, ShouldBeFalse)
		_, ok = v.LeavingSince("i", 7)
		So(ok, ShouldBeFalse)
	})
}
