package driver_test

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/state"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

// convergenceTimeout bounds each wait for a condition on the driver.
const convergenceTimeout = 10 * time.Second

// host is the only control host of a quorum. Its disk fails writes while diskFull is set.
type host struct {
	*driver.Driver
	diskFull atomic.Bool
	done     <-chan error
}

// startSingleHostQuorum starts a host on the log in dir and waits until it leads.
func startSingleHostQuorum(ctx context.Context, dir string) *host {
	s, restored, err := store.Open(dir)
	So(err, ShouldBeNil)
	bootstrap := driver.SeedBootstrap{Addr: "h:1", Seeds: []string{"h:1"}, FirstStart: true}
	id, restored, err := bootstrap.Initialize(s, restored)
	So(err, ShouldBeNil)
	h := &host{}
	s.Sync = func(f *os.File) error {
		if h.diskFull.Load() {
			return syscall.ENOSPC
		}
		return f.Sync()
	}
	h.Driver = &driver.Driver{
		ID: id, Store: s, Restored: restored, Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Options: quorum.Options{ElectionTimeout: 20 * time.Millisecond, HeartbeatInterval: 5 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }},
	}
	So(h.Prepare(), ShouldBeNil)
	h.done = h.Run(ctx)
	So(h.eventually(func() bool { return h.Status().Leading }), ShouldBeTrue)
	return h
}

// eventually reports whether condition becomes true within convergenceTimeout.
func (h *host) eventually(condition func() bool) bool {
	for end := time.Now().Add(convergenceTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// proposeJoin proposes a command that registers a host.
func (h *host) proposeJoin(ctx context.Context, name string) error {
	_, err := h.Propose(ctx, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinHost{Host: name, Run: &wire.HostState{Link: name}}}})
	return err
}

// hasHost reports whether the state has a host resource of that name.
func (h *host) hasHost(name string) bool {
	found := false
	h.View(func(s *state.State) { found = s.Get("hosts", name) != nil })
	return found
}

// TestFullDiskDoesNotStopDriver guards against a failure seen in the scale-2 trial of bmpp-pool: the
// disk error "no space left on device" ended the process of a control host, and with it everything
// else that the host served.
func TestFullDiskDoesNotStopDriver(t *testing.T) {
	Convey("Given a leading control host whose disk fills up", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		dir := t.TempDir()
		h := startSingleHostQuorum(ctx, dir)
		So(h.proposeJoin(ctx, "before"), ShouldBeNil)
		h.diskFull.Store(true)
		err := h.proposeJoin(ctx, "during")
		Convey("The pending proposal may have run, and the host is no longer the leader", func() {
			So(fault.From(err).Verdict, ShouldEqual, fault.MayHaveRun)
			So(h.eventually(func() bool { return !h.Status().Leading }), ShouldBeTrue)
			So(fault.From(h.proposeJoin(ctx, "refused")).Verdict, ShouldEqual, fault.NotRun)
			So(fault.From(h.ReadIndex(ctx)).Verdict, ShouldEqual, fault.NotRun)
			select {
			case err := <-h.done:
				So(err, ShouldBeNil)
				t.Error("driver stopped after a failed disk write")
			default:
			}
			Convey("Once the disk is writable again, the host leads and has all acknowledged changes", func() {
				h.diskFull.Store(false)
				So(h.eventually(func() bool { return h.Status().Leading && h.hasHost("before") }), ShouldBeTrue)
				So(h.hasHost("refused"), ShouldBeFalse)
				So(h.proposeJoin(ctx, "after"), ShouldBeNil)
				cancel()
				So(<-h.done, ShouldBeNil)
				restartCtx, stopRestarted := context.WithCancel(t.Context())
				h = startSingleHostQuorum(restartCtx, dir)
				So(h.eventually(func() bool { return h.hasHost("before") && h.hasHost("after") }), ShouldBeTrue)
				stopRestarted()
				So(<-h.done, ShouldBeNil)
			})
		})
		Reset(func() {
			cancel()
		})
	})
}
