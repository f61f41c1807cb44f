package node_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

func TestPathOnThePlatform(t *testing.T) {
	Convey("Given three control and two entry hosts before a group that replicates late", t, func() {
		c := start(t, 3, 2, false)
		c.serve(2)
		open := func(i int, database string) *caller {
			s, err := dial(c.front(i), database)
			So(err, ShouldBeNil)
			return s
		}
		Convey("A session reads its own writes at once, and fresh reads see those of other hosts", func() {
			notes, orders := open(0, "notes"), open(1, "orders")
			defer notes.Close()
			defer orders.Close()
			for i := range 30 {
				data := fmt.Sprint("v", i)
				So(notes.ask("WRITE x "+data).ok(), ShouldBeTrue)
				So(notes.ask("READ x").rows, ShouldResemble, []string{data})
				So(orders.ask("READ x").rows, ShouldResemble, []string{data})
			}
		})
		Convey("Values, prepared statements and transactions belong to their session", func() {
			a, b := open(0, "notes"), open(0, "notes")
			defer a.Close()
			defer b.Close()
			So(a.ask("SET who anna").last, ShouldEqual, "DONE -")
			So(b.ask("SET who bert").last, ShouldEqual, "DONE -")
			So(a.ask("PREPARE s WRITE q1").ok(), ShouldBeTrue)
			So(b.ask("PREPARE s READ q2").ok(), ShouldBeTrue)
			for i := range 10 {
				So(a.ask("READ value:who").rows, ShouldResemble, []string{"anna"})
				So(b.ask("READ value:who").rows, ShouldResemble, []string{"bert"})
				So(a.ask("BEGIN").state, ShouldEqual, "T")
				So(a.ask(fmt.Sprint("EXEC s y ", i)).ok(), ShouldBeTrue)
				So(b.ask("EXEC s y").rows, ShouldNotResemble, []string{fmt.Sprint(i)})
				So(a.ask("COMMIT").ok(), ShouldBeTrue)
				So(a.ask("READ y").rows, ShouldResemble, []string{fmt.Sprint(i)})
			}
		})
		Convey("A transaction that was rolled back, or left, keeps nothing", func() {
			a := open(0, "orders")
			So(a.ask("BEGIN").ok(), ShouldBeTrue)
			So(a.ask("WRITE z 1").ok(), ShouldBeTrue)
			So(a.ask("ROLLBACK").state, ShouldEqual, "I")
			So(a.ask("BEGIN").ok(), ShouldBeTrue)
			So(a.ask("WRITE z 2").ok(), ShouldBeTrue)
			a.Close()
			b := open(1, "orders")
			defer b.Close()
			So(b.ask("READ z").rows, ShouldResemble, []string{"none"})
		})
		Convey("A write whose answer was lost is in doubt and ran once", func() {
			a := open(0, "orders")
			defer a.Close()
			c.group.Instance(c.group.Leader()).LoseAnswers(1)
			r := a.ask("WRITE w 1")
			So(r.last, ShouldStartWith, "ERR INDOUBT")
			So(c.group.Ran(r.id), ShouldEqual, 1)
			So(a.ask("READ w").rows, ShouldResemble, []string{"1"})
		})
	})
}

// load writes on entry hosts until stop is closed and keeps each answer.
type load struct {
	mu      sync.Mutex
	replies []reply
	wg      sync.WaitGroup
	stop    chan struct{}
}

func (c *cluster) load(writers, entry int) *load {
	l := &load{stop: make(chan struct{})}
	for i := range writers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.write(c, i, entry)
		}()
	}
	return l
}

func (l *load) write(c *cluster, i, entry int) {
	var s *caller
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if s == nil {
			var err error
			if s, err = dial(c.front((i+n)%entry), "orders"); err != nil {
				time.Sleep(poll)
				continue
			}
		}
		r := s.ask(fmt.Sprintf("WRITE k%d %d", i, n))
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.mu.Unlock()
		if r.err != nil {
			s.Close()
			s = nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *load) end() []reply {
	close(l.stop)
	l.wg.Wait()
	return l.replies
}

// check compares what callers were told with what ran: acknowledged writes once, promised
// ones never, and those in doubt at most once.
func (c *cluster) check(replies []reply) (acked, promised, doubt int) {
	for _, r := range replies {
		ran := c.group.Ran(r.id)
		switch {
		case r.ok():
			acked++
			So(ran, ShouldEqual, 1)
		case r.promised():
			promised++
			So(ran, ShouldEqual, 0)
		default:
			doubt++
			So(ran, ShouldBeLessThanOrEqualTo, 1)
		}
	}
	return acked, promised, doubt
}

func TestFailoverOnThePlatform(t *testing.T) {
	for _, silent := range []bool{false, true} {
		Convey(fmt.Sprintf("Given a load on two entry hosts (answers of promotions are lost: %v)", silent), t, func() {
			c := start(t, 3, 2, silent)
			c.serve(2)
			l := c.load(6, 2)
			time.Sleep(500 * time.Millisecond)
			first := c.group.Leader()
			c.group.Instance(first).Crash()
			c.eventually("another primary", func() bool { return c.group.Leader() != first })
			c.eventually("writes again", func() bool {
				s, err := dial(c.front(0), "orders")
				if err != nil {
					return false
				}
				defer s.Close()
				return s.ask("WRITE again 1").ok()
			})
			time.Sleep(300 * time.Millisecond)
			acked, promised, doubt := c.check(l.end())
			t.Logf("acknowledged %d, promised not kept %d, in doubt %d, most connections %d", acked, promised, doubt, c.group.MostConns())
			So(acked, ShouldBeGreaterThan, 50)
			So(c.group.MostConns(), ShouldBeLessThanOrEqualTo, 16)
		})
	}
}

// TestBusyPrimaryIsKept plays scale-1 of juguetoteca-uy: replicas that lag leave all reads to a
// primary, which has no slot for the leader's own questions either.
func TestBusyPrimaryIsKept(t *testing.T) {
	Convey("Given a primary that refuses every statement for want of a slot, and no statements", t, func() {
		c := start(t, 3, 1, false)
		c.serve(1)
		first := c.group.Leader()
		c.group.Instance(first).Occupy(true)
		// Twice as long as the leader waits for an answer of a primary that nobody uses.
		time.Sleep(4 * time.Second)
		So(c.group.Leader(), ShouldEqual, first)
		Convey("It goes on once it has slots again", func() {
			c.group.Instance(first).Occupy(false)
			s, err := dial(c.front(0), "orders")
			So(err, ShouldBeNil)
			defer s.Close()
			So(s.ask("WRITE again 1").ok(), ShouldBeTrue)
		})
	})
}

func TestRollingStopOnThePlatform(t *testing.T) {
	Convey("Given a load, an entry host that is stopped cuts off no request", t, func() {
		c := start(t, 3, 2, false)
		c.serve(2)
		l := c.load(4, 2)
		time.Sleep(300 * time.Millisecond)
		So(c.stop("edge-0"), ShouldBeNil)
		delete(c.running, "edge-0")
		replies := l.end()
		acked, _, _ := c.check(replies)
		So(acked, ShouldBeGreaterThan, 50)
		for _, r := range replies {
			if r.err == nil {
				So(r.last, ShouldNotStartWith, "ERR INDOUBT")
				continue
			}
			// A statement that met the end of its idle session did not run.
			So(c.group.Ran(r.id), ShouldEqual, 0)
		}
	})
}

// catchUp is how long a host counts as lost after it has started anew, by the deployment.
const catchUp = 4 * time.Second

// voters returns the number of voters in the quorum by the leader's word, zero without it.
func (c *cluster) voters() int {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	reply, err := c.running["edge-0"].node.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodFetch})
	if err != nil {
		return 0
	}
	n := 0
	for _, m := range reply.Members.GetMembers() {
		if !m.Learner {
			n++
		}
	}
	return n
}

func TestDeclarationsOnThePlatform(t *testing.T) {
	Convey("Given five control hosts", t, func() {
		c := start(t, 5, 1, false)
		c.serve(1)
		Convey("Invalid declarations are refused and never held", func() {
			bad := [][]byte{
				manifest(9)[:100], []byte(`{"version":9,"routes":[],"services":[]} {}`), []byte(`{"version":"9","routes":[],"services":[]}`),
				[]byte(strings.Replace(string(manifest(9)), `"service":"ledger"`, `"service":"other"`, 1)),
				[]byte(strings.Replace(string(manifest(9)), `"timeout_ms":800`, `"timeout_ms":0`, 1)),
				[]byte(strings.Replace(string(manifest(9)), `"host":"parts"`, `"host":"notes"`, 1)),
			}
			for _, b := range bad {
				So(post(c.control(1), b), ShouldEqual, http.StatusBadRequest)
			}
			So(held(c.control(2)), ShouldEqual, string(manifest(1)))
		})
		Convey("The highest version holds; resent and overtaken ones are acknowledged and change nothing", func() {
			for _, v := range []uint64{7, 3, 7, 1} {
				c.eventually("acknowledgment", func() bool { return post(c.control(int(v)%5), manifest(v)) == http.StatusOK })
			}
			So(held(c.control(4)), ShouldEqual, string(manifest(7)))
		})
		Convey("What was acknowledged outlasts the end of all hosts and the loss of two disks", func() {
			// Hosts that have just started for the first time still count as lost, for catchUp; two
			// more must not be lost before.
			for began := time.Now(); c.voters() < 5; time.Sleep(poll) {
				So(time.Since(began), ShouldBeLessThan, catchUp)
			}
			c.eventually("acknowledgment", func() bool { return post(c.control(3), manifest(21)) == http.StatusOK })
			for i := range 5 {
				So(c.stop(fmt.Sprint("core-", i)), ShouldBeNil)
			}
			So(os.RemoveAll(c.folder(0)), ShouldBeNil)
			So(os.RemoveAll(c.folder(4)), ShouldBeNil)
			for i := range 5 {
				c.bootControl(i)
			}
			c.eventually("read back", func() bool { return held(c.control(0)) == string(manifest(21)) })
			Convey("And the next loss of two others", func() {
				c.eventually("acknowledgment", func() bool { return post(c.control(3), manifest(22)) == http.StatusOK })
				time.Sleep(2 * time.Second)
				for i := range 5 {
					So(c.stop(fmt.Sprint("core-", i)), ShouldBeNil)
				}
				So(os.RemoveAll(c.folder(1)), ShouldBeNil)
				So(os.RemoveAll(c.folder(2)), ShouldBeNil)
				for i := range 5 {
					c.bootControl(i)
				}
				c.eventually("read back", func() bool { return held(c.control(1)) == string(manifest(22)) })
			})
		})
	})
}

func TestLentConnectionsOnThePlatform(t *testing.T) {
	Convey("Given more entry hosts than an instance accepts connections", t, func() {
		c := start(t, 3, 5, false)
		c.group.MaxConns = 5
		c.serve(5)
		Convey("All of them serve sessions, values, transactions and a failover over lent ones", func() {
			for i := range 5 {
				s, err := dial(c.front(i), "notes")
				So(err, ShouldBeNil)
				So(s.ask(fmt.Sprint("SET who ", i)).ok(), ShouldBeTrue)
				So(s.ask("BEGIN").ok(), ShouldBeTrue)
				So(s.ask("PREPARE w WRITE q").ok(), ShouldBeTrue)
				So(s.ask(fmt.Sprint("EXEC w x ", i)).ok(), ShouldBeTrue)
				So(s.ask("READ value:who").rows, ShouldResemble, []string{fmt.Sprint(i)})
				So(s.ask("COMMIT").ok(), ShouldBeTrue)
				So(s.ask("READ x").rows, ShouldResemble, []string{fmt.Sprint(i)})
				s.Close()
			}
			l := c.load(6, 5)
			time.Sleep(500 * time.Millisecond)
			first := c.group.Leader()
			c.group.Instance(first).Crash()
			c.eventually("another primary", func() bool { return c.group.Leader() != first })
			time.Sleep(time.Second)
			acked, promised, doubt := c.check(l.end())
			t.Logf("acknowledged %d, promised not kept %d, in doubt %d, most connections %d", acked, promised, doubt, c.group.MostConns())
			So(acked, ShouldBeGreaterThan, 50)
			So(c.group.MostConns(), ShouldBeLessThanOrEqualTo, 5)
		})
	})
}

// TestReadsLeaveThePrimaryAlone plays a host that seldom uses a group, as each of the 72 hosts of
// dosf-spindle-grown does: its reads that may be old need no slot of the primary.
func TestReadsLeaveThePrimaryAlone(t *testing.T) {
	Convey("Given a host that only reads, more seldom than positions stay young enough", t, func() {
		c := start(t, 3, 1, false, func(g *mimic.Group) { g.Slots, g.Queue, g.Work = 2, 16, 9*time.Millisecond })
		c.serve(1)
		s, err := dial(c.front(0), "parts")
		So(err, ShouldBeNil)
		defer s.Close()
		meter := c.running["edge-0"].node.Meter
		before := meter.CounterValue("served.primary")
		for range 3 {
			time.Sleep(1700 * time.Millisecond)
			So(s.ask("READ warm").last, ShouldStartWith, "DONE")
			So(s.ask("BEGIN READ").ok(), ShouldBeTrue)
			So(s.ask("READ warm").last, ShouldStartWith, "DONE")
			So(s.ask("COMMIT").last, ShouldStartWith, "DONE")
		}
		So(meter.CounterValue("served.primary")-before, ShouldEqual, 0)
		So(meter.CounterValue("transactions.primary"), ShouldEqual, 0)
	})
}

// TestHostWithoutConnectionsServesOverAnother plays the end of scale-2 (bmpp-pool): connections
// of hosts that lost their power stay at the instances for 3 s and leave no room for those that
// come back first.
func TestHostWithoutConnectionsServesOverAnother(t *testing.T) {
	Convey("Given a host that starts while an instance accepts no more connections", t, func() {
		c := start(t, 3, 2, false)
		c.serve(2)
		So(c.stop("edge-1"), ShouldBeNil)
		var ghosts []net.Conn
		defer func() {
			for _, g := range ghosts {
				g.Close()
			}
		}()
		for i := range 3 {
			ghosts = append(ghosts, occupy(fmt.Sprintf("%s%d:8069", c.prefix, 100+i), "ledger")...)
		}
		c.boot("edge-1", c.ip(51), false, false)
		Convey("It serves writes, transactions and reads over the connections of another host", func() {
			var s *caller
			c.eventually("a session", func() bool {
				var err error
				s, err = dial(c.front(1), "orders")
				return err == nil
			})
			defer s.Close()
			c.eventually("the lease", func() bool { return s.ask("READ warm").ok() })
			served := 0
			for i := range 50 {
				ok := s.ask(fmt.Sprintf("WRITE g%d 1", i)).ok() && s.ask("BEGIN").ok()
				ok = s.ask(fmt.Sprintf("READ g%d", i)).ok() && ok
				if s.ask("COMMIT").ok() && ok {
					served++
				}
			}
			So(served, ShouldBeGreaterThanOrEqualTo, 48)
		})
	})
}

// occupy opens connections to an instance until it accepts no more.
func occupy(addr, group string) []net.Conn {
	var list []net.Conn
	for range 64 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return list
		}
		fmt.Fprintf(conn, "STARTUP %s ghost\r\n", group)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		if !strings.HasPrefix(line, "READY") {
			conn.Close()
			return list
		}
		list = append(list, conn)
	}
	return list
}

// TestHostCutFromControlServesOverAnother plays node_cut of the platform's days: the host
// reaches other entry hosts and the instances, and no control host.
func TestHostCutFromControlServesOverAnother(t *testing.T) {
	Convey("Given a host that is cut off from all control hosts for longer than its lease", t, func() {
		c := start(t, 3, 2, false)
		c.serve(2)
		control := map[string]bool{}
		for i := range 3 {
			control[c.ip(i)+":7440"] = true
		}
		c.cuts.set("edge-0", func(addr string) bool { return control[addr] })
		time.Sleep(4 * time.Second)
		Convey("It keeps its lease over another host, and reads what must be fresh", func() {
			s, err := dial(c.front(0), "orders")
			So(err, ShouldBeNil)
			defer s.Close()
			So(s.ask("WRITE cut 1").ok(), ShouldBeTrue)
			So(s.ask("READ cut").rows, ShouldResemble, []string{"1"})
			So(post(c.control(0), []byte(strings.Replace(string(manifest(5)), `"host":"parts"`, `"host":"parts2"`, 1))), ShouldEqual, http.StatusOK)
			c.eventually("the new declaration", func() bool {
				s, err := dial(c.front(0), "parts2")
				if err != nil {
					return false
				}
				s.Close()
				return true
			})
		})
	})
}

// TestHostCutFromTheLeaderKeepsItsLease plays primary_cut (split) of the grown days: a third of
// the hosts lose their way to the control leader and reach its followers.
func TestHostCutFromTheLeaderKeepsItsLease(t *testing.T) {
	Convey("Given a host that is cut off from the control leader alone", t, func() {
		c := start(t, 3, 1, false)
		c.serve(1)
		a := c.running["edge-0"].node.Agent
		leader := a.ControlAddr()
		So(leader, ShouldNotBeEmpty)
		c.cuts.set("edge-0", func(addr string) bool { return addr == leader })
		Convey("It goes on over a follower before its lease runs out", func() {
			without := 0
			for range 150 {
				time.Sleep(poll)
				if !a.LeaseValid(clock.Monotonic()) {
					without++
				}
			}
			So(without, ShouldEqual, 0)
		})
	})
}

// TestHostThatComesBackJoinsOnce plays what cost control hosts four times their processor time
// on trouble-3 (bmpp-pool): a host that was forgotten while it was away joined and was forgotten
// over and over, two hundred times a second.
func TestHostThatComesBackJoinsOnce(t *testing.T) {
	Convey("Given a host that is cut off from all others until control forgets it", t, func() {
		c := start(t, 3, 2, false)
		c.serve(2)
		other := c.running["edge-1"].node.Agent
		known := func() bool { return other.View().Get(spec.Hosts, "edge-0") != nil }
		c.cuts.set("edge-0", func(string) bool { return true })
		c.eventually("forgetting", func() bool { return !known() })
		c.cuts.set("edge-0", func(string) bool { return false })
		c.eventually("joining", known)
		Convey("It joins a few times at most, and stays", func() {
			before := other.View().Revision
			time.Sleep(3 * time.Second)
			So(other.View().Revision-before, ShouldBeLessThan, 20)
			So(known(), ShouldBeTrue)
		})
	})
}
