package pool_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// runFor runs one read for an account and returns the code of the answer.
func runFor(p *pool.Pool, account, id string) flow.Code {
	h, err := p.NewHandle(context.Background(), time.Second, pool.Priority{Rank: 2, Database: "d", Account: account})
	So(err, ShouldBeNil)
	a, _, err := h.Run(time.Second, flow.Values{}, flow.Request{ID: id, Text: "READ x"}, true)
	So(err, ShouldBeNil)
	h.Release()
	return a.Code
}

// TestConnectionsBelongToAccounts covers many accounts that share fewer connections.
func TestConnectionsBelongToAccounts(t *testing.T) {
	Convey("Given an instance that accepts six connections, and eight accounts", t, func() {
		g, in, dial, opened := startInstance(t)
		g.MaxConns, g.RecordRuns = 6, true
		p := newPool(in, dial)
		p.SetConnLimits(6, 5)
		defer p.Shutdown()
		started := p.Now()
		// The host has run for long: after its start it keeps fewer.
		p.Now = func() time.Time { return clock.Monotonic().Add(time.Minute) }
		So(p.Now().Sub(started), ShouldBeGreaterThan, 30*time.Second)
		Convey("Each statement runs on a connection of its account, and the limit is never exceeded", func() {
			for i := range 24 {
				account, id := fmt.Sprint("a", i%8), fmt.Sprint("s", i)
				So(runFor(p, account, id), ShouldEqual, flow.OK)
				So(g.Runs(id)[0].Account, ShouldEqual, account)
			}
			So(g.PeakConns(), ShouldBeLessThanOrEqualTo, 6)
		})
		Convey("A connection that comes back for another account makes room for an account that waits", func() {
			var held []*pool.Conn
			for range 5 {
				c, err := p.Get(context.Background(), time.Second, pool.Priority{Database: "d", Account: "large"})
				So(err, ShouldBeNil)
				held = append(held, c)
			}
			got := make(chan error, 1)
			go func() {
				c, err := p.Get(context.Background(), 5*time.Second, pool.Priority{Database: "d", Account: "small"})
				if err == nil {
					c.Release()
				}
				got <- err
			}()
			held[0].Release()
			So(<-got, ShouldBeNil)
			for _, c := range held[1:] {
				c.Release()
			}
		})
		Convey("Requests of the host itself use a connection of any account", func() {
			So(runFor(p, "a", "s"), ShouldEqual, flow.OK)
			before := opened.Load()
			c, err := p.Get(context.Background(), time.Second, pool.Priority{Rank: pool.UrgentRank})
			So(err, ShouldBeNil)
			c.Release()
			So(opened.Load(), ShouldEqual, before)
		})
	})
}

// TestFewConnectionsAfterAStart guards against an instance that must turn away connections, because it holds
// those that a host had before a loss of power for 3 s, in addition to its new ones.
func TestFewConnectionsAfterAStart(t *testing.T) {
	Convey("Given a host with a share of twenty that has just started, and twelve accounts", t, func() {
		g, in, dial, _ := startInstance(t)
		var later atomic.Int64
		p := newPool(in, dial)
		p.Now = func() time.Time { return clock.Monotonic().Add(time.Duration(later.Load())) }
		p.SetConnLimits(30, 20)
		defer p.Shutdown()
		serveAll := func(round string) {
			for i := range 12 {
				So(runFor(p, fmt.Sprint("a", i), fmt.Sprint(round, i)), ShouldEqual, flow.OK)
			}
		}
		serveAll("first")
		Convey("It keeps about as many as the instance has slots, and more 4 s later", func() {
			So(g.PeakConns(), ShouldBeLessThanOrEqualTo, slots+2)
			later.Store(int64(5 * time.Second))
			serveAll("second")
			So(in.Conns(), ShouldBeGreaterThanOrEqualTo, 12)
		})
		Convey("When its share grows, it keeps as many as before for 4 s", func() {
			later.Store(int64(5 * time.Second))
			serveAll("second")
			p.SetConnLimits(30, 12)
			p.SetConnLimits(30, 25)
			for i := range 8 {
				So(runFor(p, fmt.Sprint("b", i), fmt.Sprint("third", i)), ShouldEqual, flow.OK)
			}
			So(g.PeakConns(), ShouldBeLessThanOrEqualTo, 13)
			later.Store(int64(10 * time.Second))
			for i := range 8 {
				So(runFor(p, fmt.Sprint("c", i), fmt.Sprint("fourth", i)), ShouldEqual, flow.OK)
			}
			So(in.Conns(), ShouldBeGreaterThan, 13)
		})
	})
}

// TestManyAccountsAtOnce plays many callers of thirty accounts of unequal size, at an instance that accepts
// thirteen connections and whose slots also open them.
func TestManyAccountsAtOnce(t *testing.T) {
	Convey("Given sixteen callers of thirty accounts and one host that orders their requests", t, func() {
		g, in, dial, opened := startInstance(t)
		g.MaxConns, g.RecordRuns, g.StatementTime, g.OpeningTime = 13, true, 3*time.Millisecond, time.Millisecond
		p := newPool(in, dial)
		p.Now = func() time.Time { return clock.Monotonic().Add(time.Minute) }
		p.SetConnLimits(13, 10)
		p.EnableAdmissionControl()
		defer p.Shutdown()
		const callers, each = 16, 30
		var wg sync.WaitGroup
		var mu sync.Mutex
		served := map[string]string{}
		for caller := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := rand.New(rand.NewPCG(uint64(caller), 7))
				for n := range each {
					account, id := fmt.Sprint("a", int(30*math.Pow(r.Float64(), 3))), fmt.Sprintf("%d-%d", caller, n)
					h, err := p.NewHandle(context.Background(), 5*time.Second, pool.Priority{Rank: 2, Database: "d", Account: account})
					if err != nil {
						continue
					}
					a, _, err := h.Run(5*time.Second, flow.Values{}, flow.Request{ID: id, Text: "READ x"}, true)
					if err != nil {
						h.Close()
						continue
					}
					h.Release()
					if a.Code == flow.OK {
						mu.Lock()
						served[id] = account
						mu.Unlock()
					}
				}
			}()
		}
		wg.Wait()
		Convey("All are served, each on a connection of its account, within the limit, and most on one that was open", func() {
			So(served, ShouldHaveLength, callers*each)
			for id, account := range served {
				So(g.Runs(id)[0].Account, ShouldEqual, account)
			}
			So(g.PeakConns(), ShouldBeLessThanOrEqualTo, 13)
			So(p.Meter.CounterValue("connections.refused.toomany"), ShouldEqual, 0)
			So(opened.Load(), ShouldBeLessThan, callers*each*6/10)
			t.Logf("%d connections opened for %d statements", opened.Load(), callers*each)
		})
	})
}

// TestLostOpeningIsNoOutage covers a link that loses packets: the one that opens a connection is sent again only
// after a second.
func TestLostOpeningIsNoOutage(t *testing.T) {
	Convey("Given an instance that answers one account", t, func() {
		_, in, dial, _ := startInstance(t)
		var lose atomic.Bool
		p := newPool(in, func(ctx context.Context, addr string) (net.Conn, error) {
			if lose.Swap(false) {
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
			}
			return dial(ctx, addr)
		})
		defer p.Shutdown()
		So(runFor(p, "a", "a0"), ShouldEqual, flow.OK)
		lose.Store(true)
		Convey("An opening for another account that is lost is tried again, and the instance stays reachable", func() {
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for i := 1; ; i++ {
					select {
					case <-stop:
						return
					default:
						if c, err := p.Get(context.Background(), time.Second, pool.Priority{Database: "d", Account: "a"}); err == nil {
							_, _, _ = c.Run(time.Second, flow.Values{}, flow.Request{ID: fmt.Sprint("a", i), Text: "READ x"}, true)
							c.Release()
						}
					}
				}
			}()
			So(runFor(p, "b", "b0"), ShouldEqual, flow.OK)
			close(stop)
			<-stopped
			So(p.Meter.CounterValue("connections.timedout"), ShouldEqual, 1)
			So(p.Meter.CounterValue("connections.failed"), ShouldEqual, 0)
			So(p.Down(), ShouldBeFalse)
		})
	})
}
