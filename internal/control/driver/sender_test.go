package driver_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

// TestVotesSurviveClosedSession closes the session between two control hosts after each message.
// The candidate must send the next message over a new session instead of dropping it.
func TestVotesSurviveClosedSession(t *testing.T) {
	Convey("A candidate's messages arrive although the previous session was closed", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		candidateListener, voterListener := listen(), listen()
		dialer, voterDialer := &link.Dialer{Host: "a"}, &link.Dialer{Host: "b"}
		kinds := make(chan wire.MessageKind, 64)
		handleVote := func(ctx context.Context, _ string, c *link.Conn) {
			m := &wire.QuorumMessage{}
			for c.Recv(m) == nil {
				kinds <- m.Kind
				dialer.Close()
				if m.Kind == wire.MessageKind_PREVOTE {
					sendMessage(ctx, voterDialer, candidateListener.Addr().String(), &wire.QuorumMessage{Kind: wire.MessageKind_PREVOTED, From: "b", To: "a", Term: m.Term})
				}
			}
		}
		voterDone := (&link.Server{Listener: voterListener, Handlers: map[string]link.Handler{driver.QuorumService: handleVote}}).Run(ctx)
		s, restored, err := store.Open(t.TempDir())
		So(err, ShouldBeNil)
		restored.Snapshot.Members = &wire.Members{Members: []*wire.Member{
			{Id: "a", Addr: candidateListener.Addr().String()}, {Id: "b", Addr: voterListener.Addr().String()},
		}}
		d := &driver.Driver{
			ID: "a", Store: s, Restored: restored, Dialer: dialer, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
			Options: quorum.Options{ElectionTimeout: 50 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }},
		}
		So(d.Prepare(), ShouldBeNil)
		candidateDone := (&link.Server{Listener: candidateListener, Handlers: map[string]link.Handler{driver.QuorumService: d.Serve}}).Run(ctx)
		driverDone := d.Run(ctx)
		for range 10 {
			So(nextKind(kinds), ShouldEqual, wire.MessageKind_PREVOTE)
			So(nextKind(kinds), ShouldEqual, wire.MessageKind_VOTE)
		}
		cancel()
		dialer.Close()
		voterDialer.Close()
		So([]error{<-driverDone, <-candidateDone, <-voterDone}, ShouldResemble, []error{nil, nil, nil})
	})
}

// listen opens a listener on a free local port.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return ln
}

// sendMessage sends a message to a control host over a new stream.
func sendMessage(ctx context.Context, d *link.Dialer, addr string, m *wire.QuorumMessage) {
	c, err := d.Open(ctx, addr, driver.QuorumService)
	if err != nil {
		return
	}
	_ = c.Send(m)
	_ = c.Close()
}

// nextKind returns the kind of the next message. After 2 s without one it returns APPENDED, which a
// candidate never sends.
func nextKind(kinds <-chan wire.MessageKind) wire.MessageKind {
	select {
	case k := <-kinds:
		return k
	case <-time.After(2 * time.Second):
		return wire.MessageKind_APPENDED
	}
}
