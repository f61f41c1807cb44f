package agent_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/leader"
)

// TestCallThatCannotBeEncodedHasNotRun guards against an operator who is told that a change may have run, after
// seconds of tries, although a name or request id that is no UTF-8 never left the host.
func TestCallThatCannotBeEncodedHasNotRun(t *testing.T) {
	Convey("A change whose request id is not UTF-8 is refused at once as not run", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(t.Context())
		served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{leader.CallService: func(ctx context.Context, _ string, _ *link.Conn) { <-ctx.Done() }}}).Run(ctx)
		a := &agent.Agent{
			Peers: []conf.Peer{{LinkAddr: ln.Addr().String()}}, Dialer: &link.Dialer{Host: "e"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		}
		a.Prepare()
		defer func() {
			a.Dialer.Close()
			cancel()
			So(<-served, ShouldBeNil)
		}()
		callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
		defer cancelCall()
		started := time.Now()
		_, err = a.Call(callCtx, &wire.ControlRequest{Method: leader.MethodChange, Command: &wire.Command{Request: "\xff"}})
		e := fault.From(err)
		So(e.Verdict, ShouldEqual, fault.NotRun)
		So(e.Reason, ShouldEqual, fault.Invalid)
		So(time.Since(started), ShouldBeLessThan, 500*time.Millisecond)
	})
}
