package probe_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/traffic/probe"
)

// TestLostRole plays the statuses of a primary that starts anew while its term stays open.
func TestLostRole(t *testing.T) {
	Convey("Given a server whose term 7 is open", t, func() {
		start := time.Unix(100, 0)
		var elapsed atomic.Int64
		now := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
		statuses, seen := make(chan adapt.Status), make(chan struct{})
		p := &probe.Probe{SilenceTimeout: time.Minute, Now: now, OnUpdate: func() { seen <- struct{}{} }, Server: adapt.Server{
			Watch: func(ctx context.Context, handle func(adapt.Status)) error {
				for {
					select {
					case <-ctx.Done():
						return ctx.Err()
					case s := <-statuses:
						handle(s)
					}
				}
			},
		}}
		ctx, cancel := context.WithCancel(t.Context())
		done := p.Run(ctx)
		Reset(func() {
			cancel()
			<-seen
			<-done
		})
		report := func(after time.Duration, s adapt.Status) {
			elapsed.Store(int64(after))
			statuses <- s
			<-seen
		}
		primary, restarted := adapt.Status{Term: 7, Primary: true}, adapt.Status{Term: 7}
		Convey("It has its role as long as it says so", func() {
			report(0, primary)
			So(p.LostRole(now().Add(time.Hour), 7, start), ShouldBeFalse)
		})
		Convey("It has lost it once it has denied it for 300 ms", func() {
			report(0, primary)
			report(time.Second, restarted)
			report(1200*time.Millisecond, restarted)
			So(p.LostRole(now(), 7, start), ShouldBeFalse)
			report(1300*time.Millisecond, restarted)
			So(p.LostRole(now(), 7, start), ShouldBeTrue)
			report(1400*time.Millisecond, primary)
			So(p.LostRole(now(), 7, start), ShouldBeFalse)
		})
		Convey("A status from before the opening does not count, nor one of the first 300 ms after it", func() {
			report(0, restarted)
			opened := start.Add(5 * time.Second)
			So(p.LostRole(opened.Add(time.Hour), 7, opened), ShouldBeFalse)
			report(5100*time.Millisecond, restarted)
			So(p.LostRole(now(), 7, opened), ShouldBeFalse)
			report(5200*time.Millisecond, primary)
			So(p.LostRole(now().Add(time.Hour), 7, opened), ShouldBeFalse)
		})
		Convey("The role of another term is none in this one", func() {
			report(0, adapt.Status{Term: 6, Primary: true})
			report(400*time.Millisecond, adapt.Status{Term: 6, Primary: true})
			So(p.LostRole(now(), 7, start), ShouldBeTrue)
		})
	})
}
