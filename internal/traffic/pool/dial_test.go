package pool_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
)

// TestConnectionsAreOpenedOneAtATime guards against a connection storm after all hosts restart: each
// opening takes 12 ms of a slot, so that one for each waiting statement would keep the instance from
// serving any.
func TestConnectionsAreOpenedOneAtATime(t *testing.T) {
	Convey("Given many statements that arrive before there is a connection", t, func() {
		g := &mimic.Group{Name: "g", MaxConns: 100}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		defer in.Crash()
		var d net.Dialer
		var dialing, mostDialing atomic.Int64
		p := newPool(in, func(ctx context.Context, addr string) (net.Conn, error) {
			mostDialing.Store(max(mostDialing.Load(), dialing.Add(1)))
			defer dialing.Add(-1)
			clock.Sleep(ctx, 5*time.Millisecond)
			return d.DialContext(ctx, "tcp", addr)
		})
		defer p.Shutdown()
		var wg sync.WaitGroup
		var served atomic.Int64
		for i := range 30 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if runRead(p, 2, fmt.Sprint("s", i)) {
					served.Add(1)
				}
			}()
		}
		wg.Wait()
		So(mostDialing.Load(), ShouldEqual, 1)
		So(served.Load(), ShouldEqual, 30)
	})
}
