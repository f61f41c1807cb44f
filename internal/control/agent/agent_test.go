package agent_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/leader"
)

// countingListener counts the connections it accepts.
type countingListener struct {
	net.Listener
	n atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.n.Add(1)
	}
	return conn, err
}

// countConnections runs an agent with one control host whose lease streams are served by serve. It
// returns the number of connections opened for the given number of streams.
func countConnections(t *testing.T, streams int, streamTimeout time.Duration, serve func(c *link.Conn)) int64 {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	count := &countingListener{Listener: ln}
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan struct{}, 64)
	handler := func(_ context.Context, _ string, c *link.Conn) {
		opened <- struct{}{}
		serve(c)
	}
	served := (&link.Server{Listener: count, Handlers: map[string]link.Handler{leader.LeaseService: handler}}).Run(ctx)
	a := &agent.Agent{
		Host: "h", Registration: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, RenewInterval: 20 * time.Millisecond, StreamTimeout: streamTimeout,
		Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
	}
	a.Prepare()
	done := a.Run(ctx)
	for range streams {
		<-opened
	}
	n := count.n.Load()
	cancel()
	So(<-done, ShouldBeNil)
	a.Dialer.Close()
	So(<-served, ShouldBeNil)
	return n
}

// TestAnswerKeepsTheConnection guards against dropping the connection when a control host answers
// that there is no leader. Control hosts send their votes on the same connection, and during an
// election all of them give that answer.
func TestAnswerKeepsTheConnection(t *testing.T) {
	Convey("A control host that answers that there is no leader keeps its connection", t, func() {
		n := countConnections(t, 5, time.Second, func(c *link.Conn) {
			r := &wire.LeaseRenewal{}
			if c.Recv(r) == nil {
				_ = c.Send(&wire.LeaseGrant{Reason: string(fault.NoLeader)})
				_ = c.Recv(r)
			}
		})
		So(n, ShouldEqual, 1)
	})
	Convey("One that sends nothing loses its connection, which may be dead", t, func() {
		n := countConnections(t, 3, 60*time.Millisecond, func(c *link.Conn) {
			for c.Recv(&wire.LeaseRenewal{}) == nil {
			}
		})
		So(n, ShouldEqual, 3)
	})
}

// TestRedirectsDoNotSpin guards against a busy loop of redirects. A redirect is followed at once,
// but two control hosts that name each other as leader are asked no more often than one that names
// none.
func TestRedirectsDoNotSpin(t *testing.T) {
	Convey("Given control hosts that name each other as leader", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		var streams atomic.Int64
		var lns [2]net.Listener
		var served [2]<-chan error
		for i := range lns {
			var err error
			lns[i], err = net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
		}
		for i := range lns {
			other := lns[1-i].Addr().String()
			served[i] = (&link.Server{Listener: lns[i], Handlers: map[string]link.Handler{leader.LeaseService: func(_ context.Context, _ string, c *link.Conn) {
				streams.Add(1)
				if c.Recv(&wire.LeaseRenewal{}) == nil {
					_ = c.Send(&wire.LeaseGrant{Reason: string(fault.NoLeader), Leader: other})
				}
			}}}).Run(ctx)
		}
		a := &agent.Agent{
			Host: "h", Registration: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: lns[0].Addr().String()}}, RenewInterval: 20 * time.Millisecond,
			Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		}
		a.Prepare()
		done := a.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		cancel()
		So(<-done, ShouldBeNil)
		a.Dialer.Close()
		So(<-served[0], ShouldBeNil)
		So(<-served[1], ShouldBeNil)
		// Two streams in each retry interval of 50 ms, and the first ones.
		So(streams.Load(), ShouldBeLessThanOrEqualTo, 24)
	})
}

// serveLeases serves lease streams at a free address until ctx ends, and returns the address.
func serveLeases(t *testing.T, ctx context.Context, serve func(c *link.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{leader.LeaseService: func(_ context.Context, _ string, c *link.Conn) { serve(c) }}}).Run(ctx)
	t.Cleanup(func() {
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// grantLeases grants every renewal.
func grantLeases(c *link.Conn) {
	r := &wire.LeaseRenewal{}
	for c.Recv(r) == nil {
		if c.Send(&wire.LeaseGrant{Granted: true, Seq: r.Seq, Term: 1, Lease: uint64(time.Minute)}) != nil {
			return
		}
	}
}

// timeToLease runs an agent and returns how long it takes to get a lease, at most two seconds.
func timeToLease(ctx context.Context, peers []string, dial func(ctx context.Context, addr string) (net.Conn, error)) time.Duration {
	a := &agent.Agent{
		Host: "h", Registration: &wire.HostState{}, RenewInterval: 20 * time.Millisecond, Dialer: &link.Dialer{Host: "h", Timeout: 2 * time.Second, Dial: dial},
		Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
	}
	for _, addr := range peers {
		a.Peers = append(a.Peers, conf.Peer{LinkAddr: addr})
	}
	a.Prepare()
	ctx, cancel := context.WithCancel(ctx)
	done := a.Run(ctx)
	started := time.Now()
	for !a.LeaseValid(clock.Monotonic()) && time.Since(started) < 2*time.Second {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(started)
	cancel()
	<-done
	a.Dialer.Close()
	return took
}

// TestHostsFindTheLeaderAfterARestart plays what an entry host meets when all hosts have lost power: control
// hosts that are down, that refuse connections, that lost their disks, or that were down until just
// before they were elected. It must have a lease well before one attempt to connect is given up.
func TestHostsFindTheLeaderAfterARestart(t *testing.T) {
	// bound is far above what the tries take, and below the dial timeout of 2 s.
	const bound = 700 * time.Millisecond
	Convey("Given a control leader and other control hosts that are of no use", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		elected := serveLeases(t, ctx, grantLeases)
		useless := serveLeases(t, ctx, func(c *link.Conn) {
			if c.Recv(&wire.LeaseRenewal{}) == nil {
				_ = c.Send(&wire.LeaseGrant{Reason: string(fault.NoLeader)})
			}
		})
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "down" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
		Convey("Hosts that do not answer delay it only briefly", func() {
			So(timeToLease(ctx, []string{elected, "down", "down"}, dial), ShouldBeLessThan, bound)
		})
		Convey("Hosts without a log are passed over without a pause", func() {
			So(timeToLease(ctx, []string{elected, useless, useless}, dial), ShouldBeLessThan, bound)
		})
		Convey("A leader that refused a connection a moment ago is asked directly when another host names it", func() {
			naming := serveLeases(t, ctx, func(c *link.Conn) {
				if c.Recv(&wire.LeaseRenewal{}) == nil {
					_ = c.Send(&wire.LeaseGrant{Reason: string(fault.NoLeader), Leader: elected})
				}
			})
			var refused atomic.Bool
			took := timeToLease(ctx, []string{naming, elected}, func(ctx context.Context, addr string) (net.Conn, error) {
				if addr == elected && refused.CompareAndSwap(false, true) {
					return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			})
			So(took, ShouldBeLessThan, bound)
			So(refused.Load(), ShouldBeTrue)
		})
	})
}

// TestUnansweredLeaseStreamKeepsOtherStreams guards against statements on lent connections that are broken
// off because the lending control host is slow to answer on a lease stream.
func TestUnansweredLeaseStreamKeepsOtherStreams(t *testing.T) {
	Convey("Given a control host that runs a statement and leaves lease streams unanswered", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		var unanswered atomic.Int64
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{
			leader.LeaseService: func(_ context.Context, _ string, c *link.Conn) {
				unanswered.Add(1)
				for c.Recv(&wire.LeaseRenewal{}) == nil {
				}
			},
			"statement": func(_ context.Context, _ string, c *link.Conn) {
				m := &wire.BootstrapState{}
				if c.Recv(m) == nil {
					time.Sleep(500 * time.Millisecond)
					_ = c.Send(m)
				}
			},
		}}).Run(ctx)
		dialer := &link.Dialer{Host: "h"}
		c, err := dialer.Open(ctx, ln.Addr().String(), "statement")
		So(err, ShouldBeNil)
		So(c.Send(&wire.BootstrapState{}), ShouldBeNil)
		a := &agent.Agent{
			Host: "h", Registration: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, RenewInterval: 20 * time.Millisecond, StreamTimeout: 60 * time.Millisecond,
			Dialer: dialer, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		}
		a.Prepare()
		done := a.Run(ctx)
		So(c.Recv(&wire.BootstrapState{}), ShouldBeNil)
		So(unanswered.Load(), ShouldBeGreaterThan, 1)
		cancel()
		So(<-done, ShouldBeNil)
		dialer.Close()
		So(<-served, ShouldBeNil)
	})
}

// TestHostThatLeftRenewsNoMore guards against a host that registers itself again with the renewal after its
// leave, so that a failover waits until its lease has expired.
func TestHostThatLeftRenewsNoMore(t *testing.T) {
	Convey("Given a host that renews its lease", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		var left atomic.Bool
		var before, after atomic.Int64
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{
			leader.LeaseService: func(_ context.Context, _ string, c *link.Conn) {
				r := &wire.LeaseRenewal{}
				for c.Recv(r) == nil {
					if left.Load() {
						after.Add(1)
					} else {
						before.Add(1)
					}
					_ = c.Send(&wire.LeaseGrant{Granted: true, Seq: r.Seq, Term: 1, Lease: uint64(time.Second)})
				}
			},
			leader.CallService: func(_ context.Context, _ string, c *link.Conn) {
				if c.Recv(&wire.ControlRequest{}) == nil {
					left.Store(true)
					_ = c.Send(&wire.ControlReply{})
				}
			},
		}}).Run(ctx)
		a := &agent.Agent{
			Host: "h", Registration: &wire.HostState{}, Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, RenewInterval: 20 * time.Millisecond,
			Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		}
		a.Prepare()
		done := a.Run(ctx)
		for before.Load() < 3 {
			time.Sleep(time.Millisecond)
		}
		a.Leave(ctx)
		So(left.Load(), ShouldBeTrue)
		time.Sleep(200 * time.Millisecond)
		a.RenewNow()
		time.Sleep(50 * time.Millisecond)
		So(after.Load(), ShouldEqual, 0)
		cancel()
		So(<-done, ShouldBeNil)
		a.Dialer.Close()
		So(<-served, ShouldBeNil)
	})
}
