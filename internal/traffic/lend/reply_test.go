package lend_test

import (
	"bytes"
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
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// startScriptedLender starts a host that serves each stream with serve, and returns a borrower and the host's
// address.
func startScriptedLender(serve func(c *link.Conn)) (*lend.Borrower, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	handler := func(_ context.Context, _ string, c *link.Conn) { serve(c) }
	served := (&link.Server{Listener: ln, Handlers: map[string]link.Handler{lend.Service: handler}}).Run(ctx)
	dialer := &link.Dialer{Host: "e"}
	Reset(func() {
		dialer.Close()
		cancel()
		So(<-served, ShouldBeNil)
	})
	return &lend.Borrower{Dialer: dialer, Now: clock.Monotonic}, ln.Addr().String()
}

// TestReplyToAnotherRequestIsCounted covers the metric and the log line for replies with another serial.
func TestReplyToAnotherRequestIsCounted(t *testing.T) {
	Convey("Given a lender that answers with the serial of another request", t, func() {
		b, addr := startScriptedLender(func(c *link.Conn) {
			req := &wire.LendRequest{}
			if c.Recv(req) == nil {
				_ = c.Send(&wire.LendReply{Serial: req.Serial + 7, Stage: uint32(flow.Answered)})
			}
		})
		m, lines := meter.New(), &bytes.Buffer{}
		b.OnMismatch = lend.ReportMismatch(logs.New(logs.Options{Out: lines}), m)
		h, err := b.Open(addr, "g", "i", pool.Priority{}, 0)
		So(err, ShouldBeNil)
		defer h.Close()
		_, _, _ = h.Run(time.Second, flow.Values{}, flow.Request{ID: "read", Text: "READ x"}, true)
		So(m.CounterValue("errands.mismatched"), ShouldEqual, 1)
		So(lines.String(), ShouldContainSubstring, `"replied":8`)
		So(lines.String(), ShouldContainSubstring, `"sent":1`)
	})
}
