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
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
	"github.com/agatespindle/agatespindle/platform"
)

// answerWithin bounds the answer to a statement that needs no instance.
const answerWithin = 2 * time.Second

// host is a front before no instance at all.
type host struct {
	*front.Server
	stop  func()
	unfit *atomic.Bool
}

func startHost(t *testing.T, changes ...func(*front.Server)) host {
	t.Helper()
	a := &agent.Agent{Peers: []conf.Peer{{LinkAddr: "127.0.0.1:1"}}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic}
	a.Prepare()
	d := &desk.Desk{Agent: a, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic, Open: func(_, _, _ string, _ bool, _ int) *pool.Server { return nil }}
	d.Prepare()
	m := spec.Manifest{Number: 1, Groups: []spec.Cluster{{Name: "g"}}, Databases: []spec.Database{{Name: "stock", Group: "g", Reads: spec.AllWrites, Timeout: time.Second}}}
	a.OnView(agent.NewView(1, []*wire.Resource{{Kind: string(spec.Manifests), Name: spec.Current, Version: 1, Revision: 1, Spec: m.Encode()}}))
	s := &front.Server{
		Addr: freeAddr(t), Codec: platform.CallerCodec(), Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Broker: &sess.Broker{Desk: d, Costs: route.DefaultCosts(), Log: logs.Discard(), Lines: sess.NewBudget(), Meter: meter.New(), Now: clock.Monotonic},
		Serves: func(time.Time) bool { return true },
	}
	unfit := &atomic.Bool{}
	s.Unfit = func(time.Time) bool { return unfit.Load() }
	for _, change := range changes {
		change(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, err := s.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return host{s, func() {
		cancel()
		<-done
	}, unfit}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// ask opens a session and returns the answer to one statement.
func ask(addr, text string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, answerWithin)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerWithin))
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

// TestResetCallersDoNotStopTheHost plays what stopped an entry host for good on the day
// bad-configs (dosf-spindle): the answer to a caller that has reset its connection closes the
// connection while the answer is being written.
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

// TestUnfitHostLetsCallersGo plays a host that is parted from control (trouble-3 of bmpp-pool).
func TestUnfitHostLetsCallersGo(t *testing.T) {
	Convey("An unfit host closes sessions that rest, and those only", t, func() {
		h := startHost(t)
		defer h.stop()
		rest, busy := openSession(h.Addr), openSession(h.Addr)
		defer rest.Close()
		defer busy.Close()
		fmt.Fprint(busy, "QUERY 1 BEGIN\r\n")
		h.unfit.Store(true)
		_ = rest.SetDeadline(time.Now().Add(answerWithin))
		_, err := io.ReadAll(rest)
		So(err, ShouldBeNil)
		fmt.Fprint(busy, "QUERY 2 ROLLBACK\r\n")
		_ = busy.SetDeadline(time.Now().Add(answerWithin))
		b, err := io.ReadAll(busy)
		So(err, ShouldBeNil)
		So(string(b), ShouldEqual, "READY I -\r\nDONE -\r\nREADY T -\r\nDONE -\r\nREADY I -\r\n")
	})
}

// TestOpeningsAreHeldAfterAStart plays the restart of all hosts at the end of scale-1 of
// juguetoteca-uy: every host that a caller could turn to has just started as well.
func TestOpeningsAreHeldAfterAStart(t *testing.T) {
	Convey("Given a host that does not know the declared databases yet", t, func() {
		informed := make(chan struct{})
		var serves atomic.Bool
		h := startHost(t, func(s *front.Server) {
			s.Informed = informed
			s.Serves = func(time.Time) bool { return serves.Load() }
		})
		defer h.stop()
		c := openSession(h.Addr)
		defer c.Close()
		fmt.Fprint(c, "QUERY 1 SET a 1\r\n")
		r := bufio.NewReader(c)
		_ = c.SetDeadline(time.Now().Add(answerWithin))
		Convey("An opening waits for them, and what follows it does too", func() {
			serves.Store(true)
			close(informed)
			for _, want := range []string{"READY I -\r\n", "DONE -\r\n"} {
				line, err := r.ReadString('\n')
				So(err, ShouldBeNil)
				So(line, ShouldEqual, want)
			}
		})
		Convey("One that waits in vain is refused before its caller gives up", func() {
			line, err := r.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR BUSY")
		})
	})
}

// TestNobodyComesInAfterTheDrain plays a hunted day of juguetoteca-uy (core-replaced, seed
// 953273824582): a caller that came after the last session of a stopping host had ended was taken in,
// and cut 50 ms later with its statement under way.
func TestNobodyComesInAfterTheDrain(t *testing.T) {
	Convey("Given a host whose drain has ended and whose process has not", t, func() {
		h := startHost(t)
		defer h.stop()
		h.Drain(t.Context())
		Convey("A caller is refused, so that it turns to another host", func() {
			line, err := ask(h.Addr, "SET a 1")
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR BUSY")
			So(h.Meter.CounterValue("refused.stopping"), ShouldEqual, 1)
		})
	})
}

// TestRudeCallersAreBounded plays the callers of the platform's kind "rude", each beside one that
// behaves.
func TestRudeCallersAreBounded(t *testing.T) {
	const slow = 300 * time.Millisecond
	Convey("Given a host with bounds", t, func() {
		h := startHost(t, func(s *front.Server) { s.Bounds = front.Bounds{Callers: 8, Message: slow, Unread: 64 << 10} })
		defer h.stop()
		dial := func() net.Conn {
			c, err := net.Dial("tcp", h.Addr)
			So(err, ShouldBeNil)
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			return c
		}
		polite := func() {
			line, err := ask(h.Addr, "SET a 1")
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "DONE -\r\n")
		}
		Convey("One that trickles a message is closed, in a session and before one", func() {
			for _, first := range []string{"", "STARTUP stock u\r\n"} {
				c := dial()
				fmt.Fprint(c, first+"QUERY 1 SE")
				polite()
				_, err := io.ReadAll(c)
				So(err, ShouldBeNil)
				c.Close()
			}
			So(h.Meter.CounterValue("refused.slowmessage"), ShouldEqual, 2)
		})
		Convey("One that never asks for a session is closed", func() {
			c := dial()
			defer c.Close()
			_, err := io.ReadAll(c)
			So(err, ShouldBeNil)
			So(h.Meter.CounterValue("refused.noopening"), ShouldEqual, 1)
		})
		Convey("One that rests in a session is not", func() {
			c := dial()
			defer c.Close()
			fmt.Fprint(c, "STARTUP stock u\r\n")
			time.Sleep(4 * slow)
			fmt.Fprint(c, "QUERY 1 SET a 1\r\nQUIT\r\n")
			b, err := io.ReadAll(c)
			So(err, ShouldBeNil)
			So(string(b), ShouldEqual, "READY I -\r\nDONE -\r\nREADY I -\r\n")
		})
		Convey("One that floods and does not read is closed before it takes much", func() {
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
			polite()
		})
		Convey("A herd is told at once that the host is full, and others come in again after it", func() {
			var herd []net.Conn
			for range 8 {
				c := dial()
				fmt.Fprint(c, "STARTUP stock u\r\n")
				_, err := bufio.NewReader(c).ReadString('\n')
				So(err, ShouldBeNil)
				herd = append(herd, c)
			}
			c := dial()
			b, _ := io.ReadAll(c)
			So(string(b), ShouldStartWith, "ERR BUSY")
			c.Close()
			for _, one := range herd {
				one.Close()
			}
			for end := time.Now().Add(answerWithin); h.Meter.CounterValue("callers.closed") < 8 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			polite()
			So(h.Meter.CounterValue("refused.toomanycallers"), ShouldEqual, 1)
		})
	})
}

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
	Convey("A database that is not declared, a foreign first word and a whole megabyte are refused", t, func() {
		h := startHost(t)
		defer h.stop()
		for _, b := range []string{"STARTUP other u\r\n", "GET / HTTP/1.1\r\n", string(make([]byte, 1<<20+2))} {
			c, err := net.Dial("tcp", h.Addr)
			So(err, ShouldBeNil)
			_ = c.SetDeadline(time.Now().Add(answerWithin))
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
