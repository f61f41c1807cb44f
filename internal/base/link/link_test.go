package link_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

func TestStreams(t *testing.T) {
	Convey("Streams reach the service that they name, and end when the server stops", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		echo := func(_ context.Context, from string, c *link.Conn) {
			m := &wire.BootstrapState{}
			for c.Recv(m) == nil {
				m.Addr = from
				if c.Send(m) != nil {
					return
				}
			}
		}
		done := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"echo": echo}}).Run(ctx)
		d := &link.Dialer{Host: "me"}
		defer d.Close()
		for i := range 3 {
			c, err := d.Open(ctx, ln.Addr().String(), "echo")
			So(err, ShouldBeNil)
			So(c.Send(&wire.BootstrapState{Id: fmt.Sprint(i)}), ShouldBeNil)
			m := &wire.BootstrapState{}
			So(c.Recv(m), ShouldBeNil)
			So([]string{m.Id, m.Addr}, ShouldResemble, []string{fmt.Sprint(i), "me"})
		}
		c, err := d.Open(ctx, ln.Addr().String(), "nothing")
		So(err, ShouldBeNil)
		So(c.Recv(&wire.BootstrapState{}), ShouldNotBeNil)
		cancel()
		So(<-done, ShouldBeNil)
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{5, 1, 2, 3, 4, 5})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add([]byte{128, 128, 128, 30, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := link.ReadFrame(bufio.NewReader(bytes.NewReader(b)))
		if err == nil && len(frame) > len(b) {
			t.Fatal("frame is longer than what was sent")
		}
	})
}

// TestConcurrentOpensShareConnection guards against one connection for each concurrent stream. In a run with
// 100 machines, a control host restarted, and hundreds of statements without a session each opened one.
func TestConcurrentOpensShareConnection(t *testing.T) {
	Convey("Given many streams to a host without an open session", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		end := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"any": func(context.Context, string, *link.Conn) {}}}).Run(ctx)
		var dials atomic.Int64
		var failing atomic.Bool
		d := &link.Dialer{Host: "h", Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			dials.Add(1)
			time.Sleep(20 * time.Millisecond)
			if failing.Load() {
				return nil, errors.New("host unreachable")
			}
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", addr)
		}}
		open := func() (failed int64) {
			var wg sync.WaitGroup
			var n atomic.Int64
			for range 100 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c, err := d.Open(ctx, ln.Addr().String(), "any")
					if err != nil {
						n.Add(1)
						return
					}
					c.Close()
				}()
			}
			wg.Wait()
			return n.Load()
		}
		Convey("They share one connection", func() {
			So(open(), ShouldEqual, 0)
			So(dials.Load(), ShouldEqual, 1)
		})
		Convey("They share a failure, and the next stream tries again", func() {
			failing.Store(true)
			So(open(), ShouldEqual, 100)
			So(dials.Load(), ShouldBeLessThanOrEqualTo, 5)
			failing.Store(false)
			So(open(), ShouldEqual, 0)
		})
		Convey("A stream whose context expires does not wait for the connection", func() {
			short, stop := context.WithTimeout(ctx, time.Millisecond)
			defer stop()
			_, err := d.Open(short, ln.Addr().String(), "any")
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		})
		Reset(func() {
			cancel()
			d.Close()
			So(<-end, ShouldBeNil)
		})
	})
}

// TestDialIsRepeated opens streams to a host that is down at first. The first packet of an attempt is then
// lost, and the attempt gets no answer before TCP sends the packet again after a second.
func TestDialIsRepeated(t *testing.T) {
	Convey("Given a host that answers only attempts made after its start", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		end := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"any": func(context.Context, string, *link.Conn) {}}}).Run(ctx)
		var attempts, lost atomic.Int64
		d := &link.Dialer{Host: "h", Timeout: time.Second, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			if attempts.Add(1) <= lost.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}}
		Convey("A later attempt opens the stream well before the first one is given up", func() {
			lost.Store(2)
			started := time.Now()
			_, err := d.Open(ctx, ln.Addr().String(), "any")
			So(err, ShouldBeNil)
			So(time.Since(started), ShouldBeLessThan, 900*time.Millisecond)
			So(attempts.Load(), ShouldEqual, 3)
		})
		Convey("A host that stays down is given up after the timeout and five attempts", func() {
			lost.Store(100)
			_, err := d.Open(ctx, ln.Addr().String(), "any")
			So(err, ShouldNotBeNil)
			So(attempts.Load(), ShouldBeLessThanOrEqualTo, 5)
		})
		Reset(func() {
			cancel()
			d.Close()
			So(<-end, ShouldBeNil)
		})
	})
}

// failingListener is a listener whose first accepts fail as in a process without free file descriptors.
type failingListener struct {
	net.Listener
	failuresLeft atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptRetriesWithoutDescriptors guards against a server that stops when an accept fails. In a run with
// 300 machines, "too many open files" ended two control hosts.
func TestAcceptRetriesWithoutDescriptors(t *testing.T) {
	Convey("A server continues to accept connections after accepts have failed", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		failing := &failingListener{Listener: ln}
		failing.failuresLeft.Store(3)
		served := make(chan struct{}, 1)
		end := (&link.Server{Listener: failing, Handlers: map[string]link.Handler{"any": func(context.Context, string, *link.Conn) { served <- struct{}{} }}}).Run(ctx)
		d := &link.Dialer{Host: "h"}
		c, err := d.Open(ctx, ln.Addr().String(), "any")
		So(err, ShouldBeNil)
		<-served
		c.Close()
		d.Close()
		cancel()
		So(<-end, ShouldBeNil)
	})
}
