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

// convergenceTimeout bounds the waits for a quorum of one to change its mind.
const convergenceTimeout = 10 * time.Second

// host is a control host that is a quorum by itself, on a disk that can be made to refuse writes.
type host struct {
	*driver.Driver
	diskFull atomic.Bool
	done     <-chan error
}

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
		ID: id, Store: s, Restored: restored, Dialer: &link.Dialer{Host: "h"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Boot,
		Options: quorum.Options{Election: 20 * time.Millisecond, Beat: 5 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }},
	}
	So(h.Prepare(), ShouldBeNil)
	h.done = h.Run(ctx)
	So(h.eventually(func() bool { return h.Status().Leading }), ShouldBeTrue)
	return h
}

func (h *host) eventually(condition func() bool) bool {
	for end := time.Now().Add(convergenceTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// proposeJoin puts a host into the log.
func (h *host) proposeJoin(ctx context.Context, name string) error {
	_, err := h.Propose(ctx, &wire.Command{Body: &wire.Command_Join{Join: &wire.Join{Host: name, Run: &wire.HostRun{Link: name}}}})
	return err
}

func (h *host) hasHost(name string) bool {
	found := false
	h.View(func(s *state.State) { found = s.Get("hosts", name) != nil })
	return found
}

// TestFullDiskDoesNotStopDriver plays scale-2 of bmpp-pool, where "no space left on device" ended a
// control host's process with all that it serves beside the quorum.
func TestFullDiskDoesNotStopDriver(t *testing.T) {
	Convey("Given a control host that leads and whose disk fills up", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		dir := t.TempDir()
		h := startSingleHostQuorum(ctx, dir)
		So(h.proposeJoin(ctx, "before"), ShouldBeNil)
		h.diskFull.Store(true)
		err := h.proposeJoin(ctx, "during")
		Convey("What was proposed may have run, and the host leads no more", func() {
			So(fault.Of(err).Verdict, ShouldEqual, fault.MayHaveRun)
			So(h.eventually(func() bool { return !h.Status().Leading }), ShouldBeTrue)
			So(fault.Of(h.proposeJoin(ctx, "refused")).Verdict, ShouldEqual, fault.NotRun)
			So(fault.Of(h.ReadIndex(ctx)).Verdict, ShouldEqual, fault.NotRun)
			select {
			case err := <-h.done:
				So(err, ShouldBeNil)
				t.Error("the driver has ended")
			default:
			}
			Convey("Once it takes writes again the host votes and leads, and holds what was acknowledged", func() {
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
