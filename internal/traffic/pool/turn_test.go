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

// instance starts a stand-in's instance that works on statements, and returns a way to it that
// counts the connections that are opened.
func instance(t *testing.T) (*mimic.Group, *mimic.Instance, func(context.Context, string) (net.Conn, error), *atomic.Int64) {
	g := &mimic.Group{Name: "g", MaxConns: 100, Slots: slots, QueueLimit: 4, StatementTime: work}
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

// read runs one read over a unit.
func read(s *pool.Server, id string) bool {
	u, err := s.Unit(context.Background(), 4*goal, 2)
	if err != nil {
		return false
	}
	a, _, err := u.Run(time.Second, flow.Values{}, flow.Request{ID: id, Text: "READ x"}, true)
	if err != nil {
		u.Close()
		return false
	}
	u.Release()
	return a.Code == flow.OK
}

// TestStatementsInLineHoldNoConnection plays the burst of scale-2 of juguetoteca-uy: instances
// there accept 22 connections, and one for each statement that waits is more than that.
func TestStatementsInLineHoldNoConnection(t *testing.T) {
	Convey("Given many more statements than an instance runs at once", t, func() {
		g, in, dial, _ := instance(t)
		s := server(in, dial)
		s.Guard()
		defer s.Shut()
		var wg sync.WaitGroup
		var served atomic.Int64
		for i := range 24 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if read(s, fmt.Sprint("s", i)) {
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

// TestConnectionsAtRestAreClosed plays the loss of power at the end of trouble-1 of juguetoteca-uy:
// an instance holds the connections of the hosts that were lost for 3 s, beside those of the same
// hosts after their start.
func TestConnectionsAtRestAreClosed(t *testing.T) {
	Convey("Given a host with more connections within its share than the instance has slots", t, func() {
		_, in, dial, _ := instance(t)
		var now atomic.Int64
		now.Store(time.Now().UnixNano())
		s := server(in, dial)
		s.Now = func() time.Time { return time.Unix(0, now.Load()) }
		defer s.Shut()
		var used []*pool.Conn
		for range 8 {
			c, err := s.Get(context.Background(), time.Second, 2)
			So(err, ShouldBeNil)
			used = append(used, c)
		}
		for _, c := range used {
			c.Release()
		}
		Convey("They stay open for a moment, and then as many as it runs at once", func() {
			s.Warm(s.Now().Add(time.Second))
			So(in.Conns(), ShouldEqual, 8)
			s.Warm(s.Now().Add(3 * time.Second))
			for end := time.Now().Add(5 * time.Second); in.Conns() > slots+1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(in.Conns(), ShouldEqual, slots+1)
		})
	})
}

// TestStandbyOpensNoneAhead plays the same: a host that others ask only if the first one is lost
// leaves the few connections that are left to that one.
func TestStandbyOpensNoneAhead(t *testing.T) {
	Convey("Given a host that stands by, just after its start", t, func() {
		_, in, dial, opened := instance(t)
		s := server(in, dial)
		defer s.Shut()
		s.Standby(true)
		s.Warm(s.Now())
		// The span in which nothing may be opened.
		time.Sleep(50 * time.Millisecond)
		So(opened.Load(), ShouldEqual, 0)
		Convey("It opens a connection when it is asked", func() {
			So(read(s, "a"), ShouldBeTrue)
			So(opened.Load(), ShouldEqual, 1)
		})
		Convey("And ahead once those of a former life are gone", func() {
			s.Warm(s.Now().Add(5 * time.Second))
			for end := time.Now().Add(5 * time.Second); opened.Load() < 1 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(opened.Load(), ShouldEqual, 1)
		})
	})
}
