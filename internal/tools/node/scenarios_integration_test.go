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

func TestSessionsAndTransactions(t *testing.T) {
	Convey("Given three control and two entry hosts in front of a group with replica lag", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		open := func(i int, database string) *caller {
			s, err := openSession(c.callerAddr(i), database)
			So(err, ShouldBeNil)
			return s
		}
		Convey("A session reads its own writes at once, and primary reads see writes through other hosts", func() {
			notes, orders := open(0, "notes"), open(1, "orders")
			defer notes.Close()
			defer orders.Close()
			for i := range 30 {
				data := fmt.Sprint("v", i)
				So(notes.query("WRITE x "+data).ok(), ShouldBeTrue)
				So(notes.query("READ x").rows, ShouldResemble, []string{data})
				So(orders.query("READ x").rows, ShouldResemble, []string{data})
			}
		})
		Convey("Session values, prepared statements and transactions belong to their session", func() {
			a, b := open(0, "notes"), open(0, "notes")
			defer a.Close()
			defer b.Close()
			So(a.query("SET who anna").lastLine, ShouldEqual, "DONE -")
			So(b.query("SET who bert").lastLine, ShouldEqual, "DONE -")
			So(a.query("PREPARE s WRITE q1").ok(), ShouldBeTrue)
			So(b.query("PREPARE s READ q2").ok(), ShouldBeTrue)
			for i := range 10 {
				So(a.query("READ value:who").rows, ShouldResemble, []string{"anna"})
				So(b.query("READ value:who").rows, ShouldResemble, []string{"bert"})
				So(a.query("BEGIN").state, ShouldEqual, "T")
				So(a.query(fmt.Sprint("EXEC s y ", i)).ok(), ShouldBeTrue)
				So(b.query("EXEC s y").rows, ShouldNotResemble, []string{fmt.Sprint(i)})
				So(a.query("COMMIT").ok(), ShouldBeTrue)
				So(a.query("READ y").rows, ShouldResemble, []string{fmt.Sprint(i)})
			}
		})
		Convey("A transaction that is rolled back, or whose caller disconnects, has no effect", func() {
			a := open(0, "orders")
			So(a.query("BEGIN").ok(), ShouldBeTrue)
			So(a.query("WRITE z 1").ok(), ShouldBeTrue)
			So(a.query("ROLLBACK").state, ShouldEqual, "I")
			So(a.query("BEGIN").ok(), ShouldBeTrue)
			So(a.query("WRITE z 2").ok(), ShouldBeTrue)
			a.Close()
			b := open(1, "orders")
			defer b.Close()
			So(b.query("READ z").rows, ShouldResemble, []string{"none"})
		})
		Convey("A write whose answer from the instance was lost is in doubt and ran once", func() {
			a := open(0, "orders")
			defer a.Close()
			c.group.Instance(c.group.Primary()).DropResponses(1)
			r := a.query("WRITE w 1")
			So(r.lastLine, ShouldStartWith, "ERR INDOUBT")
			So(c.group.WriteCount(r.id), ShouldEqual, 1)
			So(a.query("READ w").rows, ShouldResemble, []string{"1"})
		})
	})
}

// writeLoad sends writes to entry hosts until stop is closed and records each reply.
type writeLoad struct {
	mu      sync.Mutex
	replies []reply
	wg      sync.WaitGroup
	stop    chan struct{}
}

// startLoad starts writers that spread their sessions over the first entryHosts entry hosts.
func (c *cluster) startLoad(writers, entryHosts int) *writeLoad {
	l := &writeLoad{stop: make(chan struct{})}
	for i := range writers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.write(c, i, entryHosts)
		}()
	}
	return l
}

// write runs writer i. It opens a new session after each failed reply.
func (l *writeLoad) write(c *cluster, i, entryHosts int) {
	var s *caller
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if s == nil {
			var err error
			if s, err = openSession(c.callerAddr((i+n)%entryHosts), "orders"); err != nil {
				time.Sleep(pollInterval)
				continue
			}
		}
		r := s.query(fmt.Sprintf("WRITE k%d %d", i, n))
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

// stopAndCollect stops the writers and returns all replies.
func (l *writeLoad) stopAndCollect() []reply {
	close(l.stop)
	l.wg.Wait()
	return l.replies
}

// checkReplies compares the replies with what the instances ran: acknowledged writes ran once, those
// reported as not run never did, and those in doubt ran at most once.
func (c *cluster) checkReplies(replies []reply) (acked, notRun, inDoubt int) {
	for _, r := range replies {
		ran := c.group.WriteCount(r.id)
		switch {
		case r.ok():
			acked++
			So(ran, ShouldEqual, 1)
		case r.notRun():
			notRun++
			So(ran, ShouldEqual, 0)
		default:
			inDoubt++
			So(ran, ShouldBeLessThanOrEqualTo, 1)
		}
	}
	return acked, notRun, inDoubt
}

func TestFailover(t *testing.T) {
	for _, dropResponses := range []bool{false, true} {
		Convey(fmt.Sprintf("Given writes through two entry hosts while the primary crashes (promotion responses dropped: %v)", dropResponses), t, func() {
			c := startCluster(t, 3, 2, dropResponses)
			c.declareAndAwaitReady(2)
			l := c.startLoad(6, 2)
			time.Sleep(500 * time.Millisecond)
			oldPrimary := c.group.Primary()
			c.group.Instance(oldPrimary).Crash()
			c.eventually("another primary", func() bool { return c.group.Primary() != oldPrimary })
			c.eventually("writes again", func() bool {
				s, err := openSession(c.callerAddr(0), "orders")
				if err != nil {
					return false
				}
				defer s.Close()
				return s.query("WRITE again 1").ok()
			})
			time.Sleep(300 * time.Millisecond)
			acked, notRun, inDoubt := c.checkReplies(l.stopAndCollect())
			t.Logf("acknowledged %d, reported as not run %d, in doubt %d, peak connections %d", acked, notRun, inDoubt, c.group.PeakConns())
			So(acked, ShouldBeGreaterThan, 50)
			So(c.group.PeakConns(), ShouldBeLessThanOrEqualTo, 16)
		})
	}
}

// TestNoFailoverFromOverloadedPrimary guards against a failover from a primary that is only
// overloaded. When replicas lag, the primary gets all reads and has no slot for the control leader's
// status queries either.
func TestNoFailoverFromOverloadedPrimary(t *testing.T) {
	Convey("Given a primary that refuses every statement because its slots are taken, and no callers", t, func() {
		c := startCluster(t, 3, 1, false)
		c.declareAndAwaitReady(1)
		primary := c.group.Primary()
		c.group.Instance(primary).SetOverloaded(true)
		// Twice as long as the leader waits for an answer from a primary without callers.
		time.Sleep(4 * time.Second)
		So(c.group.Primary(), ShouldEqual, primary)
		Convey("It serves writes once it has free slots again", func() {
			c.group.Instance(primary).SetOverloaded(false)
			s, err := openSession(c.callerAddr(0), "orders")
			So(err, ShouldBeNil)
			defer s.Close()
			So(s.query("WRITE again 1").ok(), ShouldBeTrue)
		})
	})
}

func TestEntryHostShutdownUnderLoad(t *testing.T) {
	Convey("Given writes through two entry hosts, stopping one interrupts no request", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		l := c.startLoad(4, 2)
		time.Sleep(300 * time.Millisecond)
		So(c.stopHost("edge-0"), ShouldBeNil)
		delete(c.running, "edge-0")
		replies := l.stopAndCollect()
		acked, _, _ := c.checkReplies(replies)
		So(acked, ShouldBeGreaterThan, 50)
		for _, r := range replies {
			if r.err == nil {
				So(r.lastLine, ShouldNotStartWith, "ERR INDOUBT")
				continue
			}
			// A statement sent while its idle session was being closed did not run.
			So(c.group.WriteCount(r.id), ShouldEqual, 0)
		}
	})
}

// recoveryPeriod is how long a control host counts as lost after a start.
const recoveryPeriod = 4 * time.Second

// voters returns the number of voters in the quorum as the leader reports it, or 0 if the call fails.
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

func TestDeclarations(t *testing.T) {
	Convey("Given five control hosts", t, func() {
		c := startCluster(t, 5, 1, false)
		c.declareAndAwaitReady(1)
		Convey("Invalid declarations are refused and not stored", func() {
			invalid := [][]byte{
				declarationJSON(9)[:100], []byte(`{"version":9,"routes":[],"services":[]} {}`), []byte(`{"version":"9","routes":[],"services":[]}`),
				[]byte(strings.Replace(string(declarationJSON(9)), `"service":"ledger"`, `"service":"other"`, 1)),
				[]byte(strings.Replace(string(declarationJSON(9)), `"timeout_ms":800`, `"timeout_ms":0`, 1)),
				[]byte(strings.Replace(string(declarationJSON(9)), `"host":"parts"`, `"host":"notes"`, 1)),
			}
			for _, b := range invalid {
				So(postDeclaration(c.controlAddr(1), b), ShouldEqual, http.StatusBadRequest)
			}
			So(fetchDeclaration(c.controlAddr(2)), ShouldEqual, string(declarationJSON(1)))
		})
		Convey("The highest version is in force; resent and older versions are acknowledged and change nothing", func() {
			for _, v := range []uint64{7, 3, 7, 1} {
				c.eventually("acknowledgment", func() bool { return postDeclaration(c.controlAddr(int(v)%5), declarationJSON(v)) == http.StatusOK })
			}
			So(fetchDeclaration(c.controlAddr(4)), ShouldEqual, string(declarationJSON(7)))
		})
		Convey("An acknowledged declaration survives a restart of all hosts and the loss of two disks", func() {
			// Hosts that have just started for the first time count as lost for recoveryPeriod. No
			// two others may be lost before that.
			for started := time.Now(); c.voters() < 5; time.Sleep(pollInterval) {
				So(time.Since(started), ShouldBeLessThan, recoveryPeriod)
			}
			c.eventually("acknowledgment", func() bool { return postDeclaration(c.controlAddr(3), declarationJSON(21)) == http.StatusOK })
			for i := range 5 {
				So(c.stopHost(fmt.Sprint("core-", i)), ShouldBeNil)
			}
			So(os.RemoveAll(c.dataDir(0)), ShouldBeNil)
			So(os.RemoveAll(c.dataDir(4)), ShouldBeNil)
			for i := range 5 {
				c.restartControl(i)
			}
			c.eventually("read back", func() bool { return fetchDeclaration(c.controlAddr(0)) == string(declarationJSON(21)) })
			Convey("And the later loss of two other disks", func() {
				c.eventually("acknowledgment", func() bool { return postDeclaration(c.controlAddr(3), declarationJSON(22)) == http.StatusOK })
				time.Sleep(2 * time.Second)
				for i := range 5 {
					So(c.stopHost(fmt.Sprint("core-", i)), ShouldBeNil)
				}
				So(os.RemoveAll(c.dataDir(1)), ShouldBeNil)
				So(os.RemoveAll(c.dataDir(2)), ShouldBeNil)
				for i := range 5 {
					c.restartControl(i)
				}
				c.eventually("read back", func() bool { return fetchDeclaration(c.controlAddr(1)) == string(declarationJSON(22)) })
			})
		})
	})
}

func TestBorrowedConnections(t *testing.T) {
	Convey("Given as many entry hosts as an instance accepts connections", t, func() {
		c := startCluster(t, 3, 5, false)
		c.group.MaxConns = 5
		c.declareAndAwaitReady(5)
		Convey("All of them serve sessions, values and transactions over borrowed connections, also after a failover", func() {
			for i := range 5 {
				s, err := openSession(c.callerAddr(i), "notes")
				So(err, ShouldBeNil)
				So(s.query(fmt.Sprint("SET who ", i)).ok(), ShouldBeTrue)
				So(s.query("BEGIN").ok(), ShouldBeTrue)
				So(s.query("PREPARE w WRITE q").ok(), ShouldBeTrue)
				So(s.query(fmt.Sprint("EXEC w x ", i)).ok(), ShouldBeTrue)
				So(s.query("READ value:who").rows, ShouldResemble, []string{fmt.Sprint(i)})
				So(s.query("COMMIT").ok(), ShouldBeTrue)
				So(s.query("READ x").rows, ShouldResemble, []string{fmt.Sprint(i)})
				s.Close()
			}
			l := c.startLoad(6, 5)
			time.Sleep(500 * time.Millisecond)
			oldPrimary := c.group.Primary()
			c.group.Instance(oldPrimary).Crash()
			c.eventually("another primary", func() bool { return c.group.Primary() != oldPrimary })
			time.Sleep(time.Second)
			acked, notRun, inDoubt := c.checkReplies(l.stopAndCollect())
			t.Logf("acknowledged %d, reported as not run %d, in doubt %d, peak connections %d", acked, notRun, inDoubt, c.group.PeakConns())
			So(acked, ShouldBeGreaterThan, 50)
			So(c.group.PeakConns(), ShouldBeLessThanOrEqualTo, 5)
		})
	})
}

// TestStaleReadsAvoidPrimary checks that bounded-staleness reads take no slot of the primary on a
// host that uses a group rarely, as each host does in a deployment of 72: its observed positions are
// older than the staleness bound at each read.
func TestStaleReadsAvoidPrimary(t *testing.T) {
	Convey("Given a host that only reads, at intervals longer than the staleness bound", t, func() {
		c := startCluster(t, 3, 1, false, func(g *mimic.Group) { g.Slots, g.QueueLimit, g.StatementTime = 2, 16, 9*time.Millisecond })
		c.declareAndAwaitReady(1)
		s, err := openSession(c.callerAddr(0), "parts")
		So(err, ShouldBeNil)
		defer s.Close()
		meter := c.running["edge-0"].node.Meter
		before := meter.CounterValue("served.primary")
		for range 3 {
			time.Sleep(1700 * time.Millisecond)
			So(s.query("READ warm").lastLine, ShouldStartWith, "DONE")
			So(s.query("BEGIN READ").ok(), ShouldBeTrue)
			So(s.query("READ warm").lastLine, ShouldStartWith, "DONE")
			So(s.query("COMMIT").lastLine, ShouldStartWith, "DONE")
		}
		So(meter.CounterValue("served.primary")-before, ShouldEqual, 0)
		So(meter.CounterValue("transactions.primary"), ShouldEqual, 0)
	})
}

// TestHostWithoutConnectionsBorrowsThem guards against restarted hosts that cannot serve: instances
// keep the connections of hosts that lost power for 3 s, which leaves no room for the hosts that
// restart first.
func TestHostWithoutConnectionsBorrowsThem(t *testing.T) {
	Convey("Given a host that starts while the instances accept no more connections", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		So(c.stopHost("edge-1"), ShouldBeNil)
		var heldConns []net.Conn
		defer func() {
			for _, conn := range heldConns {
				conn.Close()
			}
		}()
		for i := range 3 {
			heldConns = append(heldConns, exhaustConnections(fmt.Sprintf("%s%d:8069", c.prefix, 100+i), "ledger")...)
		}
		c.startHost("edge-1", c.ip(51), false, false)
		Convey("It serves writes, transactions and reads over borrowed connections", func() {
			var s *caller
			c.eventually("a session", func() bool {
				var err error
				s, err = openSession(c.callerAddr(1), "orders")
				return err == nil
			})
			defer s.Close()
			c.eventually("the lease", func() bool { return s.query("READ warm").ok() })
			served := 0
			for i := range 50 {
				ok := s.query(fmt.Sprintf("WRITE g%d 1", i)).ok() && s.query("BEGIN").ok()
				ok = s.query(fmt.Sprintf("READ g%d", i)).ok() && ok
				if s.query("COMMIT").ok() && ok {
					served++
				}
			}
			So(served, ShouldBeGreaterThanOrEqualTo, 48)
		})
	})
}

// exhaustConnections opens connections to an instance until it accepts no more, and returns them.
func exhaustConnections(addr, group string) []net.Conn {
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

// TestHostPartitionedFromControlKeepsServing covers a partition in which a host reaches the other
// entry hosts and the instances, but no control host (node_cut in the platform's scenarios).
func TestHostPartitionedFromControlKeepsServing(t *testing.T) {
	Convey("Given a host that is partitioned from all control hosts for longer than its lease", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		controlLinks := map[string]bool{}
		for i := range 3 {
			controlLinks[c.ip(i)+":7440"] = true
		}
		c.partitions.setBlocked("edge-0", func(addr string) bool { return controlLinks[addr] })
		time.Sleep(4 * time.Second)
		Convey("It renews its lease through another host, serves primary reads and gets new declarations", func() {
			s, err := openSession(c.callerAddr(0), "orders")
			So(err, ShouldBeNil)
			defer s.Close()
			So(s.query("WRITE cut 1").ok(), ShouldBeTrue)
			So(s.query("READ cut").rows, ShouldResemble, []string{"1"})
			So(postDeclaration(c.controlAddr(0), []byte(strings.Replace(string(declarationJSON(5)), `"host":"parts"`, `"host":"parts2"`, 1))), ShouldEqual, http.StatusOK)
			c.eventually("the new declaration", func() bool {
				s, err := openSession(c.callerAddr(0), "parts2")
				if err != nil {
					return false
				}
				s.Close()
				return true
			})
		})
	})
}

// TestHostPartitionedFromLeaderKeepsLease covers a partition in which a third of the hosts cannot
// reach the control leader but still reach its followers (primary_cut in the platform's scenarios).
func TestHostPartitionedFromLeaderKeepsLease(t *testing.T) {
	Convey("Given a host that is partitioned from the control leader only", t, func() {
		c := startCluster(t, 3, 1, false)
		c.declareAndAwaitReady(1)
		a := c.running["edge-0"].node.Agent
		leaderAddr := a.ControlAddr()
		So(leaderAddr, ShouldNotBeEmpty)
		c.partitions.setBlocked("edge-0", func(addr string) bool { return addr == leaderAddr })
		Convey("It renews through a follower before its lease expires", func() {
			withoutLease := 0
			for range 150 {
				time.Sleep(pollInterval)
				if !a.LeaseValid(clock.Monotonic()) {
					withoutLease++
				}
			}
			So(withoutLease, ShouldEqual, 0)
		})
	})
}

// TestReturningHostRejoinsOnce guards against a join loop: a host that control had removed during a
// partition joined and was removed again 200 times a second, which quadrupled the CPU time of the
// control hosts.
func TestReturningHostRejoinsOnce(t *testing.T) {
	Convey("Given a host that is partitioned from all others until control removes it", t, func() {
		c := startCluster(t, 3, 2, false)
		c.declareAndAwaitReady(2)
		other := c.running["edge-1"].node.Agent
		known := func() bool { return other.View().Get(spec.Hosts, "edge-0") != nil }
		c.partitions.setBlocked("edge-0", func(string) bool { return true })
		c.eventually("removal", func() bool { return !known() })
		c.partitions.setBlocked("edge-0", func(string) bool { return false })
		c.eventually("joining", known)
		Convey("It rejoins at most a few times and stays a member", func() {
			before := other.View().Revision
			time.Sleep(3 * time.Second)
			So(other.View().Revision-before, ShouldBeLessThan, 20)
			So(known(), ShouldBeTrue)
		})
	})
}
