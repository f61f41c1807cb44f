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

// settleWithin bounds the waits for a quorum of one to change its mind.
const settleWithin = 10 * time.Second

// host is a control host that is a quorum by itself, on a disk that can be made to refuse writes.
type host struct {
	*driver.Driver
	full atomic.Bool
	done <-chan error
}

func startAlone(ctx context.Context, dir string) *host {
	s, restored, err := store.Open(dir)
	So(err, ShouldBeNil)
	founding := driver.Founding{Addr: "h:1", Seeds: []string{"h:1"}, First: true}
	id, restored, err := founding.Settle(s, restored)
	So(err, ShouldBeNil)
	h := &host{}
	s.Sync = func(f *os.File) error {
		if h.full.Load() {
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
	So(h.within(func() bool { return h.Status().Leading }), ShouldBeTrue)
	return h
}

func (h *host) within(ok func() bool) bool {
	for end := time.Now().Add(settleWithin); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// join puts a host into the log.
func (h *host) join(ctx context.Context, name string) error {
	_, err := h.Propose(ctx, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinHost{Host: name, Run: &wire.HostState{Link: name}}}})
	return err
}

func (h *host) has(name string) bool {
	found := false
	h.View(func(s *state.State) { found = s.Get("hosts", name) != nil })
	return found
}

// TestFullDiskEndsNoProcess plays scale-2 of bmpp-pool, where "no space left on device" ended a
// control host's process with all that it serves beside the quorum.
func TestFullDiskEndsNoProcess(t *testing.T) {
	Convey("Given a control host that leads and whose disk fills up", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		dir := t.TempDir()
		h := startAlone(ctx, dir)
		So(h.join(ctx, "before"), ShouldBeNil)
		h.full.Store(true)
		err := h.join(ctx, "during")
		Convey("What was proposed may have run, and the host leads no more", func() {
			So(fault.From(err).Verdict, ShouldEqual, fault.MayHaveRun)
			So(h.within(func() bool { return !h.Status().Leading }), ShouldBeTrue)
			So(fault.From(h.join(ctx, "refused")).Verdict, ShouldEqual, fault.NotRun)
			So(fault.From(h.ReadIndex(ctx)).Verdict, ShouldEqual, fault.NotRun)
			select {
			case err := <-h.done:
				So(err, ShouldBeNil)
				t.Error("the driver has ended")
			default:
			}
			Convey("Once it takes writes again the host votes and leads, and holds what was acknowledged", func() {
				h.full.Store(false)
				So(h.within(func() bool { return h.Status().Leading && h.has("before") }), ShouldBeTrue)
				So(h.has("refused"), ShouldBeFalse)
				So(h.join(ctx, "after"), ShouldBeNil)
				cancel()
				So(<-h.done, ShouldBeNil)
				again, stop := context.WithCancel(t.Context())
				h = startAlone(again, dir)
				So(h.within(func() bool { return h.has("before") && h.has("after") }), ShouldBeTrue)
				stop()
				So(<-h.done, ShouldBeNil)
			})
		})
		Reset(func() {
			cancel()
		})
	})
}
