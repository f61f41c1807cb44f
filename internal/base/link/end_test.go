package link_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
)

const (
	// slowClose is how long the connections of these tests take to close.
	slowClose = 300 * time.Millisecond
	// waitingShare is the largest share of the elapsed time that waiting may take from a processor. An entry
	// host has 0.192 of one for everything.
	waitingShare = 0.1
	// waitingReads is the number of streams that wait for a message.
	waitingReads = 24
	// unsentBytes is the size of a message that exceeds the window of a stream whose other end reads nothing.
	unsentBytes = 4 << 20
	// firstWindow is the window of a new stream in bytes.
	firstWindow = 256 << 10
	endLimit    = 10 * time.Second
)

// usage is the processor time of the process at a moment.
type usage struct {
	at  time.Time
	cpu time.Duration
}

func usageNow() usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return usage{time.Now(), time.Duration(r.Utime.Nano() + r.Stime.Nano())}
}

// endingConn is a connection that takes slowClose to close. It can be broken in the ways that end a session.
type endingConn struct {
	net.Conn
	// written receives a value when a stream may have used up its first window.
	written chan struct{}
	// closing receives the usage at the start of Close and closed is closed at its end.
	closing chan usage
	closed  chan struct{}

	bytes                    atomic.Int64
	reset, failWrites, mutes atomic.Bool
	once                     sync.Once
}

func newEndingConn(raw net.Conn) *endingConn {
	return &endingConn{Conn: raw, written: make(chan struct{}, 1), closing: make(chan usage, 1), closed: make(chan struct{})}
}

func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *endingConn) Write(b []byte) (int, error) {
	if c.failWrites.Load() {
		return 0, syscall.EPIPE
	}
	if c.mutes.Load() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if c.bytes.Add(int64(n)) >= firstWindow {
		select {
		case c.written <- struct{}{}:
		default:
		}
	}
	return n, err
}

func (c *endingConn) Close() error {
	var err error
	c.once.Do(func() {
		c.closing <- usageNow()
		time.Sleep(slowClose)
		err = c.Conn.Close()
		close(c.closed)
	})
	return err
}

// endingListener accepts connections as endingConns.
type endingListener struct {
	net.Listener
	conns chan *endingConn
}

func (l endingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newEndingConn(raw)
	l.conns <- c
	return c, nil
}

// endingPair is a dialer and a server with one session between them.
type endingPair struct {
	dialer *link.Dialer
	addr   string
	ctx    context.Context
	stop   context.CancelFunc
	served <-chan error
	// conns are the ends of the connection: the dialer's and the server's.
	conns [2]*endingConn
	// waiting receives a value for each stream of the server that waits, and ended what ended its wait.
	waiting chan struct{}
	ended   chan error
	// streams are the dialer's streams; the first one has nothing to send.
	streams []*link.Conn
}

func newEndingPair(t *testing.T) *endingPair {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	p := &endingPair{addr: ln.Addr().String(), waiting: make(chan struct{}, waitingReads+1), ended: make(chan error, waitingReads+1)}
	p.ctx, p.stop = context.WithCancel(t.Context())
	accepted, dialed := make(chan *endingConn, 1), make(chan *endingConn, 1)
	p.served = (&link.Server{Listener: endingListener{ln, accepted}, Handlers: map[string]link.Handler{
		"idle": func(ctx context.Context, _ string, _ *link.Conn) { <-ctx.Done() },
		"reads": func(_ context.Context, _ string, c *link.Conn) {
			p.waiting <- struct{}{}
			p.ended <- receiveEnd(c)
		},
		"writes": func(_ context.Context, _ string, c *link.Conn) {
			p.waiting <- struct{}{}
			p.ended <- c.Send(&wire.BootstrapState{Id: string(make([]byte, unsentBytes))})
		},
	}}).Run(p.ctx)
	p.dialer = &link.Dialer{Host: "h", Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		c := newEndingConn(raw)
		dialed <- c
		return c, nil
	}}
	p.open("idle")
	p.conns = [2]*endingConn{<-dialed, <-accepted}
	return p
}

// receiveEnd waits for a message that never comes. The end of a session is the end of a stream, and is known by then.
func receiveEnd(c *link.Conn) error {
	err := c.Recv(&wire.BootstrapState{})
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("end of a session was told as %v", err)
	}
	if !c.SessionClosed() {
		return errors.New("session was not known to have ended")
	}
	return io.EOF
}

func (p *endingPair) open(service string) *link.Conn {
	c, err := p.dialer.Open(p.ctx, p.addr, service)
	So(err, ShouldBeNil)
	p.streams = append(p.streams, c)
	return c
}

// wait makes waitingReads reads and one write wait at one end: the dialer's (0) or the server's (1).
func (p *endingPair) wait(end int) {
	for range waitingReads {
		if end == 1 {
			p.open("reads")
			continue
		}
		c := p.open("idle")
		go func() {
			p.waiting <- struct{}{}
			p.ended <- receiveEnd(c)
		}()
	}
	if end == 1 {
		p.open("writes")
	} else {
		c := p.open("idle")
		go func() {
			p.waiting <- struct{}{}
			p.ended <- c.Send(&wire.BootstrapState{Id: string(make([]byte, unsentBytes))})
		}()
	}
	for range waitingReads + 1 {
		<-p.waiting
	}
	<-p.conns[end].written
	So(p.streams[0].Ping(time.Second), ShouldBeNil)
}

// cost waits until the connection is closed and all waits have ended, and returns the processor time since the
// close was begun and the time that passed.
func (p *endingPair) cost(end int) (cpu, elapsed time.Duration) {
	limit := time.After(endLimit)
	var begun usage
	select {
	case begun = <-p.conns[end].closing:
	case <-limit:
		So("the connection was closed", ShouldBeEmpty)
	}
	for range waitingReads + 1 {
		select {
		case err := <-p.ended:
			So(err, ShouldNotBeNil)
			if !errors.Is(err, io.EOF) {
				So(err.Error(), ShouldStartWith, "send message: ")
			}
		case <-limit:
			So("the waits ended", ShouldBeEmpty)
		}
	}
	<-p.conns[end].closed
	now := usageNow()
	return now.cpu - begun.cpu, now.at.Sub(begun.at)
}

// sessionEnds are the ways in which a session ends at an end of its connection.
var sessionEnds = []struct {
	name string
	end  func(p *endingPair, end int)
}{
	{"its own host closes it", func(p *endingPair, end int) {
		if end == 0 {
			go p.dialer.Close()
		} else {
			p.stop()
		}
	}},
	{"the connection is reset", func(p *endingPair, end int) {
		p.conns[end].reset.Store(true)
		_ = p.conns[end].SetReadDeadline(time.Now())
	}},
	{"a write fails", func(p *endingPair, end int) {
		p.conns[end].failWrites.Store(true)
		go func() { _ = p.streams[0].Ping(time.Second) }()
	}},
	{"the other host violates the protocol", func(p *endingPair, end int) {
		_, _ = p.conns[1-end].Conn.Write([]byte("no frame of any session"))
	}},
	{"the other host answers no keep-alive", func(p *endingPair, end int) { p.conns[end].mutes.Store(true) }},
}

// TestWaitsCostNothingWhileSessionEnds answers the hosts that kept a processor until they were ended by hand: a
// read that waited on a session that ended went round without waiting until the streams were closed too.
func TestWaitsCostNothingWhileSessionEnds(t *testing.T) {
	for _, processors := range []int{runtime.GOMAXPROCS(0), 1} {
		for end, side := range []string{"dialer", "server"} {
			for _, how := range sessionEnds {
				Convey(fmt.Sprintf("Given waits at the %s on %d processors, when %s", side, processors, how.name), t, func() {
					before := runtime.GOMAXPROCS(processors)
					p := newEndingPair(t)
					Reset(func() {
						p.dialer.Close()
						p.stop()
						So(<-p.served, ShouldBeNil)
						runtime.GOMAXPROCS(before)
					})
					p.wait(end)
					how.end(p, end)
					cpu, elapsed := p.cost(end)
					So(cpu.Seconds(), ShouldBeLessThan, waitingShare*elapsed.Seconds())
				})
			}
		}
	}
}

// TestNothingWaitsAfterSessionEnded guards against a wait that begins, or gets another deadline, while the
// connection is being closed.
func TestNothingWaitsAfterSessionEnded(t *testing.T) {
	Convey("Given a session that has ended while its connection is being closed", t, func() {
		p := newEndingPair(t)
		Reset(func() {
			p.stop()
			So(<-p.served, ShouldBeNil)
		})
		c := p.streams[0]
		ended := make(chan struct{})
		go func() {
			p.dialer.Close()
			close(ended)
		}()
		begun := <-p.conns[0].closing
		Convey("A stream with a later deadline, or none, ends at once", func() {
			for _, deadline := range []time.Time{time.Now().Add(time.Minute), {}} {
				So(c.SetDeadline(deadline), ShouldBeNil)
				So(receiveEnd(c), ShouldEqual, io.EOF)
			}
			So(time.Since(begun.at), ShouldBeLessThan, slowClose)
			So(c.Close(), ShouldBeNil)
			So(receiveEnd(c), ShouldEqual, io.EOF)
			<-ended
			now := usageNow()
			So((now.cpu - begun.cpu).Seconds(), ShouldBeLessThan, waitingShare*now.at.Sub(begun.at).Seconds())
		})
	})
}

// TestReceivedMessagesOutliveSession guards against answers that were received and are lost with the session.
func TestReceivedMessagesOutliveSession(t *testing.T) {
	Convey("Given a message that was received but not read", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{"answer": func(ctx context.Context, _ string, c *link.Conn) {
			_ = c.Send(&wire.BootstrapState{Id: "7"})
			<-ctx.Done()
		}}}).Run(ctx)
		d := &link.Dialer{Host: "h"}
		Reset(func() {
			cancel()
			So(<-served, ShouldBeNil)
		})
		c, err := d.Open(ctx, ln.Addr().String(), "answer")
		So(err, ShouldBeNil)
		m := &wire.BootstrapState{}
		other, err := d.Open(ctx, ln.Addr().String(), "answer")
		So(err, ShouldBeNil)
		So(other.Recv(m), ShouldBeNil)
		So(c.Ping(time.Second), ShouldBeNil)
		Convey("It is read after the session has ended", func() {
			d.Close()
			So(c.SessionClosed(), ShouldBeTrue)
			So(c.Recv(m), ShouldBeNil)
			So(m.Id, ShouldEqual, "7")
			So(c.Recv(m), ShouldEqual, io.EOF)
		})
	})
}
