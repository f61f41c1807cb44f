package pool_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// TestFormerPrimaryGetsRoomForControl guards against a former primary that can't be told to step down because open
// transactions have all of its connections (review case 11).
func TestFormerPrimaryGetsRoomForControl(t *testing.T) {
	Convey("Given an instance all of whose connections have open transactions", t, func() {
		const limit = 4
		g := &mimic.Group{Name: "g", MaxConns: limit, Slots: slots, QueueLimit: limit, StatementTime: longServiceTime}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		t.Cleanup(in.Crash)
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
		p, control := newPool(in, dial), newPool(in, dial)
		p.SetConnLimits(limit+1, limit)
		defer p.Shutdown()
		defer control.Shutdown()
		run := func(h pool.Handle, op flow.Op, text string) (flow.Answer, flow.Stage, error) {
			return h.Run(time.Second, flow.Values{}, flow.Request{Op: op, ID: "w", Text: text, Writes: op == flow.Forward}, false)
		}
		var list []*pool.Conn
		for range limit {
			c, err := p.Get(context.Background(), time.Second, pool.Priority{})
			So(err, ShouldBeNil)
			a, _, err := run(c, flow.BeginReadWriteTx, "")
			So(err, ShouldBeNil)
			So(a.Code, ShouldEqual, flow.OK)
			list = append(list, c)
		}
		_, err = control.Get(context.Background(), time.Second, pool.Priority{})
		So(err, ShouldNotBeNil)
		type result struct {
			answer flow.Answer
			err    error
		}
		answered := make(chan result, 1)
		go func() {
			a, _, err := run(list[0], flow.Forward, "WRITE x 1")
			answered <- result{a, err}
		}()
		time.Sleep(longServiceTime / 4) // The write has been sent.
		p.Suspend(false)

		Convey("When the host gives them up, there is room at once, and a statement that was sent is answered", func() {
			var c *pool.Conn
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if c, err = control.Get(context.Background(), longServiceTime, pool.Priority{}); err == nil {
					break
				}
			}
			So(err, ShouldBeNil)
			c.Release()
			r := <-answered
			So(r.err, ShouldBeNil)
			So(r.answer.Code, ShouldEqual, flow.OK)
		})
		Convey("The next statement of each transaction has not run, and nothing of it is kept", func() {
			<-answered
			for _, c := range list {
				_, stage, err := run(c, flow.Forward, "COMMIT")
				So(err, ShouldNotBeNil)
				So(stage, ShouldEqual, flow.Unsent)
				c.Close()
			}
			So(g.WriteCount("w"), ShouldEqual, 0)
			So(p.Down(), ShouldBeFalse)
		})
		Convey("If answers do not count any more, a statement that was sent ends at once", func() {
			p.Suspend(true)
			select {
			case r := <-answered:
				So(r.err, ShouldNotBeNil)
			case <-time.After(longServiceTime / 2):
				So("the statement", ShouldEqual, "ended")
			}
			So(p.Down(), ShouldBeFalse)
		})
		Convey("Connections that were given up are not used again", func() {
			<-answered
			p.Resume()
			for _, c := range list {
				_, stage, err := run(c, flow.Forward, "COMMIT")
				So(err, ShouldNotBeNil)
				So(stage, ShouldEqual, flow.Unsent)
				c.Release()
			}
			failing, _ := p.Health()
			So(failing.IsZero(), ShouldBeTrue)
			So(p.Load(), ShouldEqual, 0)
		})
		Convey("No connection is opened until it may be used again", func() {
			<-answered
			_, err := p.Get(context.Background(), longServiceTime, pool.Priority{})
			So(err, ShouldNotBeNil)
			p.Resume()
			for _, c := range list {
				c.Close()
			}
			c, err := p.Get(context.Background(), time.Second, pool.Priority{})
			So(err, ShouldBeNil)
			c.Release()
		})
	})
}
