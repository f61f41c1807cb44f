package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
	"github.com/agatespindle/agatespindle/platform"
)

// answerTimeout limits the wait for the answer to a statement that needs no instance.
const answerTimeout = 2 * time.Second

// testHost is a front server without any instance behind it.
type testHost struct {
	*front.Server
	stop func()
	// shed makes the host shed its callers.
	shed *atomic.Bool
}

// newServer returns a server with one declared database, "stock", and no instance, after applying changes.
func newServer(addr string, changes ...func(*front.Server)) *front.Server {
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	topology := &topo.Topology{Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, NewPool: func(_, _, _ string, _ bool, _ int) *pool.Pool { return nil }}
	topology.Prepare()
	m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g"}}, Databases: []spec.Database{{Name: "stock", Group: "g", Consistency: spec.StrongConsistency, StatementTimeout: time.Second}}}
	a.OnView(agent.NewView(1, []*wire.Resource{{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 1, Revision: 1, Spec: m.Encode()}}))
	s := &front.Server{
		Addr: addr, Codec: platform.CallerCodec(), Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Sessions:       &sess.Manager{Topology: topology, Costs: route.DefaultCosts(), Log: logs.Discard(), LogBudget: sess.NewLogBudget(), Meter: meter.New(), Now: clock.Monotonic},
		CanOpenSession: func(time.Time) bool { return true },
	}
	for _, change := range changes {
		change(s)
	}
	return s
}

// startHost starts a host on a free port with one declared database, "stock", after applying changes.
func startHost(t *testing.T, changes ...func(*front.Server)) testHost {
	t.Helper()
	shed := &atomic.Bool{}
	sheds := func(s *front.Server) { s.ShedCallers = func(time.Time) bool { return shed.Load() } }
	s := newServer(freeAddr(t), append([]func(*front.Server){sheds}, changes...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := s.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return testHost{s, func() {
		cancel()
		<-done
	}, shed}
}

func freeAddr(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// ask opens a session, runs one statement and returns the first line other than READY, if any.
func ask(addr, text string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, answerTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	fmt.Fprintf(c, "STARTUP stock u\r\nQUERY 1 %s\r\n", text)
	r := bufio.NewReader(c)
	for range 2 {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		if line != "READY I -\r\n" {
			return line, nil
		}
	}
	return "", nil
}

// TestResetCallersDoNotStopTheHost guards against a deadlock that stopped an entry host for good: when
// a caller has reset its connection, writing the answer closes the connection during the write.
func TestResetCallersDoNotStopTheHost(t *testing.T) {
	Convey("Given callers that send statements and reset their connections at once", t, func() {
		h := startHost(t)
		defer h.stop()
		for range 200 {
			c, err := net.Dial("tcp", h.Addr)
			So(err, ShouldBeNil)
			fmt.Fprint(c, "STARTUP stock u\r\n")
			for i := range 200 {
				fmt.Fprintf(c, "QUERY %d SET a %d\r\n", i+1, i)
			}
			So(c.(*net.TCPConn).SetLinger(0), ShouldBeNil)
			c.Close()
		}
		Convey("The host still answers others", func() {
			line, err := ask(h.Addr, "SET a 1")
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "DONE -\r\n")
		})
	})
}

// TestShedCallersClosesIdleSessionsOnly covers a host that is partitioned from the control quorum.
func TestShedCallersClosesIdleSessionsOnly(t *testing.T) {
	Convey("A host that sheds callers closes idle sessions, but none with an open transaction", t, func() {
		h := startHost(t)
		defer h.stop()
		idle, busy := openSession(h.Addr), openSession(h.Addr)
		defer idle.Close()
		defer busy.Close()
		fmt.Fprint(busy, "QUERY 1 BEGIN\r\n")
		h.shed.Store(true)
		_ = idle.SetDeadline(time.Now().Add(answerTimeout))
		_, err := io.ReadAll(idle)
		So(err, ShouldBeNil)
		fmt.Fprint(busy, "QUERY 2 ROLLBACK\r\n")
		_ = busy.SetDeadline(time.Now().Add(answerTimeout))
		b, err := io.ReadAll(busy)
		So(err, ShouldBeNil)
		So(string(b), ShouldEqual, "READY I -\r\nDONE -\r\nREADY T -\r\nDONE -\r\nREADY I -\r\n")
	})
}

// TestStartupsAreHeldAfterHostStart covers a restart of all hosts: a refused caller could not turn to
// another host, since that has just started as well.
func TestStartupsAreHeldAfterHostStart(t *testing.T) {
	Convey("Given a host that does not know the declared databases yet", t, func() {
		databasesKnown := make(chan struct{})
		var canOpenSession atomic.Bool
		h := startHost(t, func(s *front.Server) {
			s.DatabasesKnown = databasesKnown
			s.CanOpenSession = func(time.Time) bool { return canOpenSession.Load() }
		})
		defer h.stop()
		c := openSession(h.Addr)
		defer c.Close()
		fmt.Fprint(c, "QUERY 1 SET a 1\r\n")
		r := bufio.NewReader(c)
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		Convey("A startup message is held until it does, and so are the messages after it", func() {
			canOpenSession.Store(true)
			close(databasesKnown)
			for _, want := range []string{"READY I -\r\n", "DONE -\r\n"} {
				line, err := r.ReadString('\n')
				So(err, ShouldBeNil)
				So(line, ShouldEqual, want)
			}
		})
		Convey("A startup message held too long is refused before its caller times out", func() {
			line, err := r.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR BUSY")
		})
	})
}

// TestStatementsOfCallersWhoLeftEnd closes a caller's connection while its statement waits for an
// instance that accepts connections and never answers.
func TestStatementsOfCallersWhoLeftEnd(t *testing.T) {
	Convey("Given a caller that leaves while its statement waits", t, func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer silent.Close()
		h := startHost(t, func(s *front.Server) { addPrimary(s.Sessions.Topology, silent.Addr().String()) })
		defer h.stop()
		c, err := net.Dial("tcp", h.Addr)
		So(err, ShouldBeNil)
		fmt.Fprint(c, "STARTUP stock u\r\nQUERY 1 WRITE a b\r\n")
		_, err = bufio.NewReader(c).ReadString('\n')
		So(err, ShouldBeNil)
		instance, err := silent.Accept()
		So(err, ShouldBeNil)
		defer instance.Close()
		c.Close()
		Convey("The statement ends and is counted as left", func() {
			left := func() bool { return h.Sessions.Meter.CounterValue("callers.left") == 1 }
			for end := time.Now().Add(answerTimeout); !left() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(left(), ShouldBeTrue)
			So(h.Sessions.Meter.CounterValue("tries.failed"), ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

// addPrimary declares the instance at addr as the primary of the database's group, with two slots.
func addPrimary(topology *topo.Topology, addr string) { addPrimaryWithSlots(topology, addr, 2) }

// addPrimaryWithSlots declares the instance at addr, which runs that many statements concurrently, as
// the primary of the database's group.
func addPrimaryWithSlots(topology *topo.Topology, addr string, slots uint32) {
	topology.NewPool = func(group, instance, addr string, local bool, slots int) *pool.Pool {
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
		return &pool.Pool{
			Group: group, Instance: instance, Addr: addr, Local: local, Slots: slots, Codec: platform.BackendCodec(), Log: logs.Discard(), Meter: meter.New(),
			Dial: dial, Now: clock.Monotonic,
		}
	}
	m := spec.Manifest{
		Number: 1, Groups: []spec.ManifestGroup{{Name: "g", MaxConnections: max(8, int(slots))}},
		Databases: []spec.Database{{Name: "stock", Group: "g", Consistency: spec.StrongConsistency, StatementTimeout: 5 * time.Second, TargetLatency: 5 * time.Second}},
	}
	topology.Agent.OnView(agent.NewView(2, []*wire.Resource{
		{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 2, Revision: 2, Spec: m.Encode()},
		{Kind: string(spec.Groups), Name: "g", Revision: 2, Group: &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "i", Reign: 1}},
		{Kind: string(spec.Backends), Name: "i", Revision: 2, Backend: &wire.BackendState{Group: "g", Addr: addr, Slots: slots}},
	}))
}

// TestCallersAreRefusedAfterDrain guards against a fault found in a soak run (core-replaced, seed
// 953273824582): a caller that connected after the last session of a stopping host had ended was
// admitted, and disconnected 50 ms later during its statement.
func TestCallersAreRefusedAfterDrain(t *testing.T) {
	Convey("Given a host whose drain is complete and whose process still runs", t, func() {
		h := startHost(t)
		defer h.stop()
		h.Drain(t.Context())
		Convey("A caller is refused, so that it connects to another host", func() {
			line, err := ask(h.Addr, "SET a 1")
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR BUSY")
			So(h.Meter.CounterValue("refused.stopping"), ShouldEqual, 1)
		})
	})
}

// TestMisbehavingCallersAreLimited covers each kind of misbehaving caller (the platform's "rude"
// callers) next to a well-behaved one.
func TestMisbehavingCallersAreLimited(t *testing.T) {
	const slow = 300 * time.Millisecond
	Convey("Given a host with limits", t, func() {
		h := startHost(t, func(s *front.Server) {
			s.Limits = front.Limits{Callers: 8, MessageTimeout: slow, UnreadBytes: 64 << 10}
		})
		defer h.stop()
		dial := func() net.Conn {
			c, err := net.Dial("tcp", h.Addr)
			So(err, ShouldBeNil)
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			return c
		}
		checkWellBehaved := func() {
			line, err := ask(h.Addr, "SET a 1")
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "DONE -\r\n")
		}
		Convey("A caller that sends a message too slowly is disconnected, before and after startup", func() {
			for _, first := range []string{"", "STARTUP stock u\r\n"} {
				c := dial()
				fmt.Fprint(c, first+"QUERY 1 SE")
				checkWellBehaved()
				_, err := io.ReadAll(c)
				So(err, ShouldBeNil)
				c.Close()
			}
			So(h.Meter.CounterValue("refused.slowmessage"), ShouldEqual, 2)
		})
		Convey("A caller that never sends a startup message is disconnected", func() {
			c := dial()
			defer c.Close()
			_, err := io.ReadAll(c)
			So(err, ShouldBeNil)
			So(h.Meter.CounterValue("refused.noopening"), ShouldEqual, 1)
		})
		Convey("A caller with an idle session is not disconnected", func() {
			c := dial()
			defer c.Close()
			fmt.Fprint(c, "STARTUP stock u\r\n")
			time.Sleep(4 * slow)
			fmt.Fprint(c, "QUERY 1 SET a 1\r\nQUIT\r\n")
			b, err := io.ReadAll(c)
			So(err, ShouldBeNil)
			So(string(b), ShouldEqual, "READY I -\r\nDONE -\r\nREADY I -\r\n")
		})
		Convey("A caller that floods the host without reading is disconnected before it uses much memory", func() {
			c := dial()
			defer c.Close()
			line := []byte("QUERY 1 SET a 1\r\n")
			fmt.Fprint(c, "STARTUP stock u\r\n")
			var err error
			for n := 0; err == nil && n < 64<<20; n += len(line) << 10 {
				_, err = c.Write(bytes.Repeat(line, 1<<10))
			}
			So(err, ShouldNotBeNil)
			So(h.Meter.CounterValue("refused.unread"), ShouldEqual, 1)
			checkWellBehaved()
		})
		Convey("Callers over the limit are refused at once, and new ones admitted once others have left", func() {
			var conns []net.Conn
			for range 8 {
				c := dial()
				fmt.Fprint(c, "STARTUP stock u\r\n")
				_, err := bufio.NewReader(c).ReadString('\n')
				So(err, ShouldBeNil)
				conns = append(conns, c)
			}
			c := dial()
			b, _ := io.ReadAll(c)
			So(string(b), ShouldStartWith, "ERR BUSY")
			c.Close()
			for _, conn := range conns {
				conn.Close()
			}
			for end := time.Now().Add(answerTimeout); h.Meter.CounterValue("callers.closed") < 8 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			checkWellBehaved()
			So(h.Meter.CounterValue("refused.toomanycallers"), ShouldEqual, 1)
		})
	})
}

// openSession connects and sends a startup message without reading the answer.
func openSession(addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	So(err, ShouldBeNil)
	fmt.Fprint(c, "STARTUP stock u\r\n")
	return c
}

func TestStatementsWithoutInstance(t *testing.T) {
	Convey("Given a host", t, func() {
		h := startHost(t)
		defer h.stop()
		for text, want := range map[string]string{
			"BEGIN": "DONE -\r\n", "PREPARE s1 READ q1": "DONE -\r\n", "COMMIT": "ERR MALFORMED no transaction is open\r\n",
			"DROP it": "ERR MALFORMED statement is not known\r\n", "EXEC s9 1": "ERR NOSTMT s9\r\n",
			"READ 1": "ERR BUSY g\r\n", "CLOSE s9": "ERR NOSTMT s9\r\n",
		} {
			line, err := ask(h.Addr, text)
			So(err, ShouldBeNil)
			So(line, ShouldEqual, want)
		}
	})
	Convey("An undeclared database, a foreign protocol and a message over 1 MiB are refused", t, func() {
		h := startHost(t)
		defer h.stop()
		for _, b := range []string{"STARTUP other u\r\n", "GET / HTTP/1.1\r\n", string(make([]byte, 1<<20+2))} {
			c, err := net.Dial("tcp", h.Addr)
			So(err, ShouldBeNil)
			_ = c.SetDeadline(time.Now().Add(answerTimeout))
			fmt.Fprint(c, b)
			line, err := bufio.NewReader(c).ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR ")
			c.Close()
		}
		line, err := ask(h.Addr, "SET a 1")
		So(err, ShouldBeNil)
		So(line, ShouldEqual, "DONE -\r\n")
	})
}
