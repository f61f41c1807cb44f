package lend_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// statementLimit is the time limit of the statements of these tests.
	statementLimit = 4 * time.Second
	// transactionLimit is how long transactions may go on after the start of a drain.
	transactionLimit = time.Second
	// drainLimit is the time that a host has for its drain.
	drainLimit = 5 * time.Second
)

// lendingHost is a control host that lends connections to a primary, and a host that borrows them.
type lendingHost struct {
	*lend.Lender
	agent    *agent.Agent
	instance string
	group    *mimic.Group
	dialer   *link.Dialer
	borrower *lend.Borrower
	addr     string
	// stop stops the link server, as a host does after its drain.
	stop func()
}

// startLendingHost starts a host that lends connections to a primary whose statements take serviceTime.
func startLendingHost(t *testing.T, serviceTime time.Duration) *lendingHost {
	t.Helper()
	g := &mimic.Group{Name: "g", MaxConns: 100, Slots: 4, QueueLimit: 4, StatementTime: serviceTime}
	in, err := g.Start("i", "127.0.0.1:0", "a")
	So(err, ShouldBeNil)
	t.Cleanup(in.Crash)
	h := startLender(in.Addr)
	h.group = g
	return h
}

// startLender starts a host that lends connections to the instance at an address.
func startLender(instance string) *lendingHost {
	a, topology := newLendingHost()
	topology.Borrow = (&lend.Borrower{}).Open
	topology.NewPool = func(group, instance, addr string, _ bool, slots int) *pool.Pool {
		return &pool.Pool{
			Group: group, Instance: instance, Addr: addr, Slots: slots, Codec: platform.BackendCodec(), Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			},
		}
	}
	a.OnView(agent.NewView(1, resources(backend("i", instance, 1))))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	h := &lendingHost{Lender: &lend.Lender{Topology: topology, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}, agent: a, instance: instance, dialer: &link.Dialer{Host: "e"}, addr: ln.Addr().String()}
	served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{lend.Service: h.Serve}}).Run(ctx)
	stopped := false
	h.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			<-served
		}
	}
	h.borrower = &lend.Borrower{Dialer: h.dialer, Now: clock.Monotonic}
	Reset(func() {
		h.dialer.Close()
		h.stop()
	})
	return h
}

// resources returns the resources of a group with the given instances.
func resources(instances ...*wire.Resource) []*wire.Resource {
	m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: 22}}}
	return append(instances,
		&wire.Resource{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()},
		&wire.Resource{Kind: string(spec.Hosts), Name: "k", Revision: 1, Host: &wire.HostState{Center: "a", Link: "k", Roles: []string{string(conf.RoleControl)}}})
}

// backend returns an instance that started at born.
func backend(name, addr string, born int64) *wire.Resource {
	return &wire.Resource{Kind: string(spec.Backends), Name: name, Revision: 1, Backend: &wire.BackendState{Group: "g", Addr: addr, Center: "a", Slots: 4, Born: born}}
}

// stopLending starts a drain that ends after drainLimit.
func (h *lendingHost) stopLending() {
	now := clock.Monotonic()
	h.StopLending(drain.New(now, 0, transactionLimit, now.Add(drainLimit)))
}

// drainAndStop drains the lender and then closes all connections of the host, as a shutdown does.
func (h *lendingHost) drainAndStop() {
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	h.Drain(ctx)
	h.stop()
}

func (h *lendingHost) open() pool.Handle {
	handle, err := h.borrower.Open(h.addr, "g", "i", pool.Priority{Rank: 2}, time.Second)
	So(err, ShouldBeNil)
	return handle
}

// outcome is the outcome of one request on a borrowed connection.
type outcome struct {
	code  flow.Code
	stage flow.Stage
	err   error
}

// run runs a request in the background.
func run(handle pool.Handle, req flow.Request, last bool) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		a, stage, err := handle.Run(statementLimit, flow.Values{}, req, last)
		done <- outcome{a.Code, stage, err}
	}()
	return done
}

// awaitArrival waits until a statement occupies a slot of the instance.
func (h *lendingHost) awaitArrival() {
	for end := time.Now().Add(time.Second); time.Now().Before(end) && h.Meter.CounterValue("errands.opened") == 0; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}

func write(id string) flow.Request { return flow.Request{ID: id, Text: "WRITE x " + id, Writes: true} }

// TestDrainWaitsForStatementWithinItsLimit guards against a lender that cuts a statement 1.5 s after the
// start of its drain, although the statement has a limit of 4 s.
func TestDrainWaitsForStatementWithinItsLimit(t *testing.T) {
	Convey("Given a write on a lent connection that takes longer than 1.5 s", t, func() {
		h := startLendingHost(t, 1700*time.Millisecond)
		handle := h.open()
		done := run(handle, write("w"), true)
		h.awaitArrival()
		h.stopLending()
		h.drainAndStop()
		So(<-done, ShouldResemble, outcome{flow.OK, flow.Answered, nil})
		handle.Release()
	})
}

// serveRows accepts connections like an instance, and answers each statement with the rows.
func serveRows(ln net.Listener, rows ...string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			n := 0
			for line, err := r.ReadString('\n'); err == nil; line, err = r.ReadString('\n') {
				n++
				if strings.HasPrefix(line, "QUERY") {
					for _, row := range rows {
						fmt.Fprintf(c, "ROW %s\r\n", row)
					}
					fmt.Fprintf(c, "DONE mac.%d\r\n", n)
				}
				fmt.Fprint(c, "READY I 1.1\r\n")
			}
		}()
	}
}

// askForLargeAnswer starts a host and sends it a request whose answer is larger than a stream's window.
func askForLargeAnswer(limit time.Duration) (*lendingHost, *link.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { ln.Close() })
	row := strings.Repeat("y", 1<<19)
	go serveRows(ln, row, row, row, row)
	h := startLender(ln.Addr().String())
	c, err := h.dialer.Open(context.Background(), h.addr, lend.Service)
	So(err, ShouldBeNil)
	So(c.SetDeadline(time.Now().Add(statementLimit)), ShouldBeNil)
	So(c.Send(&wire.LendRequest{
		Group: "g", Instance: "i", Patience: int64(limit), Limit: int64(limit), Last: true, Question: &wire.InstanceRequest{Id: []byte("s"), Text: []byte("READ x")},
	}), ShouldBeNil)
	h.awaitArrival()
	return h, c
}

// TestDrainWaitsUntilAnswerIsSent guards against a drain that ends, so that the connection to the borrower is
// closed, while an answer is still being sent.
func TestDrainWaitsUntilAnswerIsSent(t *testing.T) {
	Convey("Given a borrower that reads slowly an answer larger than the stream's window", t, func() {
		h, c := askForLargeAnswer(statementLimit)
		received := make(chan error, 1)
		reply := &wire.LendReply{}
		time.AfterFunc(300*time.Millisecond, func() { received <- c.Recv(reply) })
		h.stopLending()
		h.drainAndStop()
		So(<-received, ShouldBeNil)
		So(len(reply.Rows), ShouldEqual, 4)
	})
}

// TestDrainDoesNotWaitForAbandonedAnswer guards against a drain that is held up to its limit by an answer that
// nobody reads: the borrower has closed its stream at the time limit.
func TestDrainDoesNotWaitForAbandonedAnswer(t *testing.T) {
	Convey("Given an answer larger than the stream's window that the borrower has given up", t, func() {
		h, c := askForLargeAnswer(200 * time.Millisecond)
		So(c.Close(), ShouldBeNil)
		started := time.Now()
		h.stopLending()
		h.drainAndStop()
		So(time.Since(started), ShouldBeLessThan, drainLimit/2)
		So(h.Meter.CounterValue("errands.cut.borrower"), ShouldEqual, 1)
	})
}

// TestStoppingLenderRefusesNewUses guards against requests that a lender accepts, while its host shuts down,
// and then breaks off.
func TestStoppingLenderRefusesNewUses(t *testing.T) {
	Convey("Given a lender that has stopped lending while a transaction was open", t, func() {
		h := startLendingHost(t, 0)
		ask := func(handle pool.Handle, req flow.Request, last bool) outcome { return <-run(handle, req, last) }
		tx := h.open()
		So(ask(tx, flow.Request{Op: flow.BeginReadWriteTx}, false).code, ShouldEqual, flow.OK)
		So(ask(tx, write("w"), false).code, ShouldEqual, flow.OK)
		commit := flow.Request{ID: "c", Text: "COMMIT", Writes: true}
		stopped := time.Now()
		h.stopLending()

		Convey("A new use is refused at once as not sent", func() {
			handle := h.open()
			defer handle.Release()
			refused := ask(handle, write("n"), true)
			So(time.Since(stopped), ShouldBeLessThan, transactionLimit/2)
			So(refused.err, ShouldNotBeNil)
			So(refused.stage, ShouldEqual, flow.Unsent)
		})
		Convey("The transaction may commit, and the drain then ends early", func() {
			time.AfterFunc(100*time.Millisecond, func() { _ = ask(tx, commit, true) })
			h.drainAndStop()
			So(time.Since(stopped), ShouldBeLessThan, transactionLimit)
			So(h.group.WriteCount("w/c"), ShouldEqual, 1)
		})
		Convey("After its limit it is rolled back, and its commit refused as not sent", func() {
			time.Sleep(transactionLimit)
			refused := ask(tx, commit, true)
			So(refused.err, ShouldNotBeNil)
			So(refused.stage, ShouldEqual, flow.Unsent)
			So(h.group.WriteCount("w/c"), ShouldEqual, 0)
		})
		Convey("The drain does not wait longer than that for a transaction without a request", func() {
			h.drainAndStop()
			So(time.Since(stopped), ShouldBeBetween, transactionLimit, drainLimit/2)
			So(h.Meter.CounterValue("errands.ended.transaction"), ShouldEqual, 1)
		})
	})
}

// TestNoRequestIsInDoubtWhenLenderStops guards against writes that are in doubt although they did not run,
// since the lender closed the connection before it could refuse them.
func TestNoRequestIsInDoubtWhenLenderStops(t *testing.T) {
	Convey("Given hosts that borrow for one write after the other until the lender has been withdrawn", t, func() {
		h := startLendingHost(t, 2*time.Millisecond)
		withdrawn := make(chan struct{})
		h.Withdrawn = func() bool {
			select {
			case <-withdrawn:
				return true
			default:
				return false
			}
		}
		inDoubt := make(chan int, 4)
		for i := range cap(inDoubt) {
			go func() {
				n := 0
				defer func() { inDoubt <- n }()
				for j := 0; ; j++ {
					select {
					case <-withdrawn:
						return
					default:
					}
					handle, err := h.borrower.Open(h.addr, "g", "i", pool.Priority{Rank: 2}, time.Second)
					if err != nil {
						continue
					}
					if o := <-run(handle, write(fmt.Sprint(i, ".", j)), true); o.err != nil && o.stage != flow.Unsent {
						n++
					}
					handle.Release()
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { close(withdrawn) })
		h.stopLending()
		h.drainAndStop()
		for range cap(inDoubt) {
			So(<-inDoubt, ShouldEqual, 0)
		}
	})
}

// TestChangedTopologyKeepsRunningStatements guards against statements that are cut because their instance is
// announced anew, replaced or removed.
func TestChangedTopologyKeepsRunningStatements(t *testing.T) {
	for name, instances := range map[string]func(addr string) []*wire.Resource{
		"has a new incarnation": func(addr string) []*wire.Resource { return []*wire.Resource{backend("i", addr, 2)} },
		"has another address":   func(string) []*wire.Resource { return []*wire.Resource{backend("i", "127.0.0.1:1", 1)} },
		"is replaced":           func(addr string) []*wire.Resource { return []*wire.Resource{backend("j", addr, 2)} },
		"is removed":            func(string) []*wire.Resource { return nil },
	} {
		Convey("A write gets its answer although its instance "+name, t, func() {
			h := startLendingHost(t, 200*time.Millisecond)
			handle := h.open()
			defer handle.Release()
			done := run(handle, write("w"), true)
			h.awaitArrival()
			h.agent.OnView(agent.NewView(2, resources(instances(h.instance)...)))
			So(<-done, ShouldResemble, outcome{flow.OK, flow.Answered, nil})
		})
	}
}
