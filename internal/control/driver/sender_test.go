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

// TestVotesSurviveALostSession closes the session between two control hosts after each vote:
// the message that finds it closed is sent over a new one.
func TestVotesSurviveALostSession(t *testing.T) {
	Convey("A candidate's messages arrive, whatever became of the session before", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		ours, theirs := listen(), listen()
		dialer, back := &link.Dialer{Host: "a"}, &link.Dialer{Host: "b"}
		got := make(chan wire.MessageKind, 64)
		vote := func(ctx context.Context, _ string, c *link.Conn) {
			m := &wire.QuorumMessage{}
			for c.Recv(m) == nil {
				got <- m.Kind
				dialer.CloseSession(theirs.Addr().String())
				if m.Kind == wire.MessageKind_PREVOTE {
					reply(ctx, back, ours.Addr().String(), &wire.QuorumMessage{Kind: wire.MessageKind_PREVOTED, From: "b", To: "a", Term: m.Term})
				}
			}
		}
		theirEnd := (&link.Server{Listener: theirs, Handlers: map[string]link.Handler{driver.Service: vote}}).Run(ctx)
		s, restored, err := store.Open(t.TempDir())
		So(err, ShouldBeNil)
		restored.Snapshot.Members = &wire.Members{Members: []*wire.Member{
			{Id: "a", Addr: ours.Addr().String()}, {Id: "b", Addr: theirs.Addr().String()},
		}}
		d := &driver.Driver{
			ID: "a", Store: s, Restored: restored, Dialer: dialer, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
			Options: quorum.Options{ElectionTimeout: 50 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }},
		}
		So(d.Prepare(), ShouldBeNil)
		ourEnd := (&link.Server{Listener: ours, Handlers: map[string]link.Handler{driver.Service: d.Serve}}).Run(ctx)
		done := d.Run(ctx)
		for range 10 {
			So(next(got), ShouldEqual, wire.MessageKind_PREVOTE)
			So(next(got), ShouldEqual, wire.MessageKind_VOTE)
		}
		cancel()
		dialer.Close()
		back.Close()
		So([]error{<-done, <-ourEnd, <-theirEnd}, ShouldResemble, []error{nil, nil, nil})
	})
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return ln
}

// reply sends a message to a control host over a stream of its own.
func reply(ctx context.Context, d *link.Dialer, addr string, m *wire.QuorumMessage) {
	c, err := d.Open(ctx, addr, driver.Service)
	if err != nil {
		return
	}
	_ = c.Send(m)
	_ = c.Close()
}

// next returns the next message's kind, or a kind that no candidate sends after 2 s.
func next(got <-chan wire.MessageKind) wire.MessageKind {
	select {
	case k := <-got:
		return k
	case <-time.After(2 * time.Second):
		return wire.MessageKind_APPENDED
	}
}
