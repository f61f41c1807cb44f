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

// TestLateReplyIsNotTakenForAnotherRequest guards against a caller that gets the answer to another caller's
// statement after a request on a connection that was given back was not answered in time.
func TestLateReplyIsNotTakenForAnotherRequest(t *testing.T) {
	Convey("Given a lender that answers the rollback after a failed commit too late", t, func() {
		b, addr := startScriptedLender(func(c *link.Conn) {
			for {
				req := &wire.LendRequest{}
				if c.Recv(req) != nil {
					return
				}
				reply := &wire.LendReply{Proof: []byte("proof of " + string(req.Question.Id)), Stage: uint32(flow.Answered)}
				switch {
				case string(req.Question.Id) == "commit":
					reply.Code = uint32(flow.Failed)
				case flow.Op(req.Question.Op) == flow.RollbackTx:
					time.Sleep(400 * time.Millisecond)
				}
				if c.Send(reply) != nil {
					return
				}
			}
		})
		open := func() pool.Handle {
			h, err := b.Open(addr, "g", "i", pool.Priority{}, 0)
			So(err, ShouldBeNil)
			return h
		}
		first := open()
		answer, _, err := first.Run(time.Second, flow.Values{}, flow.Request{ID: "commit", Text: "COMMIT", Writes: true}, true)
		So(err, ShouldBeNil)
		So(answer.Code, ShouldEqual, flow.Failed)
		_, _, err = first.Run(50*time.Millisecond, flow.Values{}, flow.Request{Op: flow.RollbackTx}, true)
		So(err, ShouldNotBeNil)
		first.Close()
		second := open()
		defer second.Release()
		answer, _, err = second.Run(2*time.Second, flow.Values{}, flow.Request{ID: "read", Text: "READ x"}, true)
		So(err, ShouldBeNil)
		So(answer.Proof, ShouldEqual, "proof of read")
	})
}

// TestSecondReplyIsNotTakenForAnotherRequest guards against a caller that gets the answer to another caller's
// statement from a lender that replies twice.
func TestSecondReplyIsNotTakenForAnotherRequest(t *testing.T) {
	Convey("Given a lender that replies to each first request of a stream twice", t, func() {
		b, addr := startScriptedLender(func(c *link.Conn) {
			for {
				req := &wire.LendRequest{}
				if c.Recv(req) != nil {
					return
				}
				reply := &wire.LendReply{Proof: []byte("proof of " + string(req.Question.Id)), Serial: req.Serial, Stage: uint32(flow.Answered)}
				if c.Send(reply) != nil || req.Serial == 1 && c.Send(reply) != nil {
					return
				}
			}
		})
		mismatches := 0
		b.OnMismatch = func(string, uint64, uint64) { mismatches++ }
		read := func(id string) (flow.Answer, flow.Stage, error) {
			h, err := b.Open(addr, "g", "i", pool.Priority{}, 0)
			So(err, ShouldBeNil)
			defer h.Close()
			return h.Run(time.Second, flow.Values{}, flow.Request{ID: id, Text: "READ x"}, true)
		}
		answer, _, err := read("a")
		So(err, ShouldBeNil)
		So(answer.Proof, ShouldEqual, "proof of a")
		answer, stage, err := read("b")
		So(err, ShouldNotBeNil)
		So(stage, ShouldEqual, flow.Sent)
		So(answer, ShouldResemble, flow.Answer{})
		So(mismatches, ShouldEqual, 1)
		answer, _, err = read("c")
		So(err, ShouldBeNil)
		So(answer.Proof, ShouldEqual, "proof of c")
	})
}

// TestNothingIsSentAfterLostReply guards against a request on a stream whose last reply may still arrive.
func TestNothingIsSentAfterLostReply(t *testing.T) {
	Convey("Given a transaction whose statement is not answered in time", t, func() {
		received := make(chan string, 8)
		b, addr := startScriptedLender(func(c *link.Conn) {
			for {
				req := &wire.LendRequest{}
				if c.Recv(req) != nil {
					return
				}
				received <- string(req.Question.Id)
			}
		})
		h, err := b.Open(addr, "g", "i", pool.Priority{}, 0)
		So(err, ShouldBeNil)
		defer h.Close()
		_, stage, err := h.Run(10*time.Millisecond, flow.Values{}, flow.Request{ID: "a", Text: "READ x"}, false)
		So(err, ShouldNotBeNil)
		So(stage, ShouldEqual, flow.Sent)
		_, stage, err = h.Run(10*time.Millisecond, flow.Values{}, flow.Request{ID: "b", Text: "COMMIT", Writes: true}, true)
		So(err, ShouldNotBeNil)
		So(stage, ShouldEqual, flow.Unsent)
		So(received, ShouldHaveLength, 1)
	})
}
