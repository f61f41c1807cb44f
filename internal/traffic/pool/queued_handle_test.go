package pool_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// slots is the number of statements that the instances of these tests run at once.
const slots = 2

// startInstance starts a simulated instance whose statements take serviceTime. It also returns a
// dial function and the number of connections opened with it.
func startInstance(t *testing.T) (*mimic.Group, *mimic.Instance, func(context.Context, string) (net.Conn, error), *atomic.Int64) {
	g := &mimic.Group{Name: "g", MaxConns: 100, Slots: slots, QueueLimit: 4, StatementTime: serviceTime}
	in, err := g.Start("i", "127.0.0.1:0", "a")
	So(err, ShouldBeNil)
	t.Cleanup(in.Crash)
	var opened atomic.Int64
	return g, in, func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		opened.Add(1)
		return d.DialContext(ctx, "tcp", addr)
	}, &opened
}

// runReadOnHandle runs one read on a new handle and reports whether it succeeded.
func runReadOnHandle(p *pool.Pool, id string) bool {
	h, err := p.NewHandle(context.Background(), 4*waitLimit, pool.Priority{Rank: 2})
	if err != nil {
		return false
	}
	a, _, err := h.Run(time.Second, flow.Values{}, flow.Request{ID: id, Text: "READ x"}, true)
	if err != nil {
		h.Close()
		return false
	}
	h.Release()
	return a.Code == flow.OK
}

// TestQueuedStatementsHoldNoConnection guards against running out of connections in a burst: the
// instances may accept only 22 connections, fewer than there are waiting statements.
func TestQueuedStatementsHoldNoConnection(t *testing.T) {
	Convey("Given many more statements than an instance runs at once", t, func() {
		g, in, dial, _ := startInstance(t)
		p := newPool(in, dial)
		p.EnableAdmissionControl()
		defer p.Shutdown()
		var wg sync.WaitGroup
		var served atomic.Int64
		for i := range 24 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if runReadOnHandle(p, fmt.Sprint("s", i)) {
					served.Add(1)
				}
			}()
		}
		wg.Wait()
		Convey("All are served over as many connections as the instance can use", func() {
			So(served.Load(), ShouldEqual, 24)
			So(g.PeakConns(), ShouldBeLessThanOrEqualTo, slots+1)
		})
	})
}

// TestIdleConnectionsAreClosed guards against running out of connections after a power loss: an
// instance holds the connections of the lost hosts for 3 s, in addition to those that the same hosts
// open after their restart.
func TestIdleConnectionsAreClosed(t *testing.T) {
	Convey("Given a host with more connections within its share than the instance has slots", t, func() {
		_, in, dial, _ := startInstance(t)
		var now atomic.Int64
		now.Store(time.Now().UnixNano())
		p := newPool(in, dial)
		p.Now = func() time.Time { return time.Unix(0, now.Load()) }
		defer p.Shutdown()
		var used []*pool.Conn
		for range 8 {
			c, err := p.Get(context.Background(), time.Second, pool.Priority{Rank: 2})
			So(err, ShouldBeNil)
			used = append(used, c)
		}
		for _, c := range used {
			c.Release()
		}
		Convey("All stay open at first; later only about as many as the instance has slots", func() {
			p.Maintain(p.Now().Add(time.Second))
			So(in.Conns(), ShouldEqual, 8)
			p.Maintain(p.Now().Add(3 * time.Second))
			for end := time.Now().Add(5 * time.Second); in.Conns() > slots+1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(in.Conns(), ShouldEqual, slots+1)
		})
	})
}

// TestStandbyOpensConnectionsOnDemand guards against the same failure: a standby lender, which
// other hosts ask only if the first lender fails, must leave the few remaining connections to the
// first one.
func TestStandbyOpensConnectionsOnDemand(t *testing.T) {
	Convey("Given a standby lender just after its start", t, func() {
		_, in, dial, opened := startInstance(t)
		p := newPool(in, dial)
		defer p.Shutdown()
		p.SetStandby(true)
		p.Maintain(p.Now())
		// Nothing may be opened during this time.
		time.Sleep(50 * time.Millisecond)
		So(opened.Load(), ShouldEqual, 0)
		Convey("It opens a connection on demand", func() {
			So(runReadOnHandle(p, "a"), ShouldBeTrue)
			So(opened.Load(), ShouldEqual, 1)
		})
		Convey("It opens one in advance once the connections of its previous incarnation are gone", func() {
			p.Maintain(p.Now().Add(5 * time.Second))
			for end := time.Now().Add(5 * time.Second); opened.Load() < 1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(opened.Load(), ShouldEqual, 1)
		})
	})
}

// TestStatementThatNothingElseServesMayBeLate answers statements that were refused after half of their goal, with
// most of their time limit left, though the slots had room soon after.
func TestStatementThatNothingElseServesMayBeLate(t *testing.T) {
	Convey("Given an instance whose slots are in use for longer than a statement may wait", t, func() {
		g, in, dial, _ := startInstance(t)
		g.ExtraTime = func(text string) time.Duration {
			if text == "READ long" {
				return 4 * waitLimit
			}
			return 0
		}
		p := newPool(in, dial)
		p.EnableAdmissionControl()
		defer p.Shutdown()
		run := func(text string, mayBeLate bool) flow.Answer {
			h, err := p.NewHandle(context.Background(), waitLimit, pool.Priority{Rank: 2, MayBeLate: mayBeLate})
			So(err, ShouldBeNil)
			a, _, err := h.Run(20*waitLimit, flow.Values{}, flow.Request{ID: fmt.Sprint("s", mayBeLate), Text: text}, true)
			So(err, ShouldBeNil)
			h.Release()
			return a
		}
		So(run("READ x", false).Code, ShouldEqual, flow.OK)
		var long sync.WaitGroup
		for i := range slots + 1 {
			h, err := p.NewHandle(context.Background(), waitLimit, pool.Priority{Rank: 2})
			So(err, ShouldBeNil)
			long.Add(1)
			go func() {
				defer long.Done()
				_, _, _ = h.Run(20*waitLimit, flow.Values{}, flow.Request{ID: fmt.Sprint("long", i), Text: "READ long"}, true)
				h.Release()
			}()
		}
		for p.Load() < slots+1 {
			time.Sleep(time.Millisecond)
		}
		Convey("One that another instance can serve is refused in time for it", func() {
			So(run("READ x", false).Code, ShouldEqual, flow.Overloaded)
		})
		Convey("One that nothing else serves gets its answer", func() {
			So(run("READ x", true).Code, ShouldEqual, flow.OK)
		})
		long.Wait()
	})
}
