package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
