package lend_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
)

// silence holds back what a host receives while it is set, as if the other host were suspended.
type silence struct {
	net.Conn
	on *atomic.Bool
}

func (s silence) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	for s.on.Load() {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// startSilenceableHost starts a host that lends connections, and can be made silent.
func startSilenceableHost(t *testing.T) (*lendingHost, *atomic.Bool) {
	on := &atomic.Bool{}
	Reset(func() { on.Store(false) })
	h := startLendingHost(t, 0)
	h.dialer.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return silence{raw, on}, err
	}
	return h, on
}

// TestSilentLenderHoldsWriteUntilItsLimit guards against a caller that waits, behind a lender that does not
// answer, for much longer than its time limit.
func TestSilentLenderHoldsWriteUntilItsLimit(t *testing.T) {
	Convey("Given a write whose lender is silent", t, func() {
		h, silent := startSilenceableHost(t)
		limit := 500 * time.Millisecond
		h.open().Release()
		silent.Store(true)
		handle, err := h.borrower.Open(h.addr, "g", "i", pool.Priority{Rank: 2}, limit)
		So(err, ShouldBeNil)
		defer handle.Close()
		started := time.Now()
		_, stage, err := handle.Run(limit, flow.Values{}, write("w"), true)
		So(err, ShouldNotBeNil)
		So(stage, ShouldEqual, flow.Sent)
		So(time.Since(started), ShouldBeBetween, limit, limit+250*time.Millisecond)
	})
}

// TestTransactionSurvivesShortSilenceOfItsLender guards against transactions that are aborted since a read
// in them is abandoned, as if it could be tried elsewhere, when the lender leaves a ping unanswered.
func TestTransactionSurvivesShortSilenceOfItsLender(t *testing.T) {
	Convey("Given a transaction whose lender is silent for 0.5 s", t, func() {
		h, silent := startSilenceableHost(t)
		tx := h.open()
		defer tx.Close()
		So((<-run(tx, flow.Request{Op: flow.BeginReadWriteTx}, false)).code, ShouldEqual, flow.OK)
		silent.Store(true)
		time.AfterFunc(500*time.Millisecond, func() { silent.Store(false) })
		So(<-run(tx, flow.Request{ID: "r", Text: "READ x"}, false), ShouldResemble, outcome{flow.OK, flow.Answered, nil})
	})
}

// TestCommitIsUnsentOnceLenderIsGone guards against commits that are in doubt although the connection to the
// lender had ended before they were sent.
func TestCommitIsUnsentOnceLenderIsGone(t *testing.T) {
	Convey("Given a transaction whose lender has gone", t, func() {
		h := startLendingHost(t, 0)
		tx := h.open()
		defer tx.Close()
		So((<-run(tx, flow.Request{Op: flow.BeginReadWriteTx}, false)).code, ShouldEqual, flow.OK)
		So((<-run(tx, write("w"), false)).code, ShouldEqual, flow.OK)
		h.stop()
		time.Sleep(50 * time.Millisecond)
		o := <-run(tx, flow.Request{ID: "c", Text: "COMMIT", Writes: true}, true)
		So(o.err, ShouldNotBeNil)
		So(o.stage, ShouldEqual, flow.Unsent)
	})
}
