package topo_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"context"

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
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// lentHandle is a borrowed connection whose answers are given by a function.
type lentHandle struct{ run func() flow.Answer }

func (h lentHandle) Run(time.Duration, flow.Values, flow.Request, bool) (flow.Answer, flow.Stage, error) {
	return h.run(), flow.Answered, nil
}
func (lentHandle) Release() {}
func (lentHandle) Close()   {}

// TestRefusalsAreNoLatency answers 24 callers of slow statements, of whom each lender refused most within a
// millisecond: by the mean of answers and refusals the instance was fast, so that reads were sent there and
// then abandoned before their answer.
func TestRefusalsAreNoLatency(t *testing.T) {
	Convey("Given an instance whose lender answers after 300 ms and refuses at once", t, func() {
		now := time.Unix(1000, 0)
		answer, takes := flow.Answer{Code: flow.OK}, 300*time.Millisecond
		a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
		a.Prepare()
		topology := &topo.Topology{
			Host: "e", Center: "a", Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: func() time.Time { return now },
			Borrow: func(string, string, string, pool.Priority, time.Duration) (pool.Handle, error) {
				return lentHandle{func() flow.Answer {
					now = now.Add(takes)
					return answer
				}}, nil
			},
		}
		topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
			return &pool.Pool{
				Group: group, Instance: instance, Addr: addr, Slots: slots, Log: logs.Discard(), Meter: meter.New(), Now: topology.Now,
				Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("unreachable") },
			}
		}
		topology.Prepare()
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 22}}}
		a.OnView(agent.NewView(1, []*wire.Resource{
			{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
			{Kind: string(spec.Backends), Name: "i", Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: "h:1", Center: "a", Slots: 2}},
			{Kind: string(spec.Hosts), Name: "k", Revision: 1, Host: &wire.HostState{Center: "a", Link: "k", Roles: []string{string(conf.RoleControl)}}},
		}))
		member := topology.Member("g", "i")
		run := func() {
			h, err := member.Open(t.Context(), time.Second, pool.Priority{Rank: 1})
			So(err, ShouldBeNil)
			_, _, err = h.Run(time.Second, flow.Values{}, flow.Request{ID: "1", Text: "READ x"}, true)
			So(err, ShouldBeNil)
			h.Release()
		}
		run()
		So(member.Latency(), ShouldEqual, 300*time.Millisecond)
		Convey("Refusals leave the latency as it is, and answers change it", func() {
			takes = 0
			for _, code := range []flow.Code{flow.Overloaded, flow.Behind, flow.Busy, flow.Leaving} {
				answer.Code = code
				run()
			}
			So(member.Latency(), ShouldEqual, 300*time.Millisecond)
			answer.Code = flow.OK
			run()
			So(member.Latency(), ShouldBeLessThan, 300*time.Millisecond)
		})
	})
}
