package logs_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/logs"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.Buffer.Write(p)
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	Convey("A blocked output does not block writers, and dropped lines are counted", t, func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := logs.NewBoundedWriter()
		ctx, cancel := context.WithCancel(context.Background())
		done := w.Run(ctx, out)
		began := time.Now()
		for i := range 20_000 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		So(w.Dropped(), ShouldBeGreaterThan, int64(10_000))
		close(out.unblock)
		cancel()
		So(<-done, ShouldBeNil)
		So(strings.HasPrefix(out.String(), "line 0\nline 1\n"), ShouldBeTrue)
	})
}

func TestRateLimiter(t *testing.T) {
	Convey("Lines over the rate are skipped, and the next allowed line gets their number", t, func() {
		l := logs.RateLimiter{PerSecond: 10, Burst: 3}
		now := time.Unix(100, 0)
		allowed := 0
		for range 10 {
			if _, ok := l.Allow(now); ok {
				allowed++
			}
		}
		So(allowed, ShouldEqual, 3)
		skipped, ok := l.Allow(now.Add(100 * time.Millisecond))
		So(ok, ShouldBeTrue)
		So(skipped, ShouldEqual, int64(7))
	})
	Convey("All hosts sample the same ids, about one in 256", t, func() {
		n := 0
		for i := range 10_000 {
			if logs.Sampled(fmt.Sprint(i)) {
				n++
			}
		}
		So(n, ShouldBeBetween, 15, 80)
	})
}
