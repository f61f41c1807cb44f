package driver_test

import (
	"context"
	"net"
	"sync/atomic"
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

// TestRestartedVoterProbesLeaseHolder restarts a voter whose leader runs at another address: a voter must wait
// for that leader's lease unless the leader's host has lost its disk.
func TestRestartedVoterProbesLeaseHolder(t *testing.T) {
	Convey("Given a voter that restarts and knows who led", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var queries atomic.Int64
		var identity atomic.Value
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{driver.IdentityService: func(_ context.Context, _ string, c *link.Conn) {
			queries.Add(1)
			_ = c.Send(&wire.Member{Id: identity.Load().(string)})
		}}}).Run(ctx)
		s, restored, err := store.Open(t.TempDir())
		So(err, ShouldBeNil)
		restored.Term = 1
		restored.Snapshot.Members = &wire.Members{Members: []*wire.Member{{Id: "a", Addr: "127.0.0.1:1"}, {Id: "b", Addr: ln.Addr().String()}, {Id: "c", Addr: "127.0.0.1:2"}}}
		restored.Entries = []*wire.Entry{{Index: 1, Term: 1, Kind: wire.EntryKind_BARRIER, Data: []byte("b")}}
		d := &driver.Driver{
			ID: "a", Store: s, Restored: restored, Dialer: &link.Dialer{Host: "a"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
			Options: quorum.Options{ElectionTimeout: time.Minute, HeartbeatInterval: 20 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }},
		}
		So(d.Prepare(), ShouldBeNil)
		await := func(condition func() bool) bool {
			for end := time.Now().Add(5 * time.Second); !condition() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			return condition()
		}
		run := func(id string) <-chan error {
			identity.Store(id)
			return d.Run(ctx)
		}
		var done <-chan error
		Convey("It campaigns once another process runs at the leader's address", func() {
			done = run("b-new")
			So(await(func() bool { return d.Status().Role == quorum.Candidate }), ShouldBeTrue)
			So(d.Status().LeaseHolder, ShouldBeNil)
		})
		Convey("It waits while the leader's own process answers", func() {
			done = run("b")
			So(await(func() bool { return queries.Load() >= 3 }), ShouldBeTrue)
			So(d.Status().Role, ShouldEqual, quorum.Follower)
			So(d.Status().LeaseHolder.GetId(), ShouldEqual, "b")
		})
		Reset(func() {
			cancel()
			So(<-done, ShouldBeNil)
			d.Dialer.Close()
			So(<-served, ShouldBeNil)
		})
	})
}
