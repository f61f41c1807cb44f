package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Service is the name of the link stream that carries one unit of work to a holder.
const Service = "work"

// Serve runs one unit of work of another host; it is a link.Handler.
func (h *Holder) Serve(ctx context.Context, _ string, c *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := &wire.WorkRequest{}
	if c.Recv(req) != nil {
		return
	}
	batches := make(chan *wire.Batch)
	cancels := make(chan struct{}, 1)
	go func() {
		defer cancel()
		receiveBatches(ctx, c, batches, cancels)
	}()
	var w *Work
	defer func() {
		if w != nil {
			w.Close()
		}
	}()
	request := forwardedRequest{h: h}
	defer request.setOpen(false)
	for {
		select {
		case <-ctx.Done():
			return
		case <-cancels:
		case b := <-batches:
			request.setOpen(true)
			if w == nil {
				var err error
				if w, err = h.Open(h.Now(), req); err != nil {
					if c.Send(errorReply(err)) != nil {
						return
					}
					continue
				}
			}
			if serveBatch(ctx, w, b, c, cancels) != nil {
				return
			}
			// Outside of a transaction the other host closes the stream when it has the answer.
			request.setOpen(w.conn == nil)
		}
	}
}

// forwardedRequest counts the request of a stream while it has not been answered.
type forwardedRequest struct {
	h    *Holder
	open bool
}

func (r *forwardedRequest) setOpen(open bool) {
	switch {
	case open && !r.open:
		r.h.forwarded.Add(1)
	case !open && r.open:
		r.h.forwarded.Add(-1)
	}
	r.open = open
}

// receiveBatches reads from the stream until it ends. Cancel requests go to their own channel, so
// that they get through while a batch runs.
func receiveBatches(ctx context.Context, c *link.Conn, batches chan<- *wire.Batch, cancels chan<- struct{}) {
	for {
		b := &wire.Batch{}
		if c.Recv(b) != nil {
			return
		}
		if b.Cancel {
			select {
			case cancels <- struct{}{}:
			default:
			}
			continue
		}
		select {
		case batches <- b:
		case <-ctx.Done():
			return
		}
	}
}

// serveBatch runs a batch and sends its response. A cancel request cancels the running statement.
func serveBatch(ctx context.Context, w *Work, b *wire.Batch, c *link.Conn, cancels <-chan struct{}) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-cancels:
			w.Cancel(ctx)
		case <-done:
		}
	}()
	out, err := w.Run(ctx, b, func(p []byte) error { return c.Send(&wire.BatchReply{Data: p}) })
	if err != nil {
		return c.Send(errorReply(err))
	}
	return c.Send(&wire.BatchReply{Last: true, Status: uint32(out.Status), Term: out.Position.Term, Position: out.Position.Position})
}

// errorReply returns the last message of the response to a failed batch.
func errorReply(err error) *wire.BatchReply {
	e := fault.From(err)
	return &wire.BatchReply{Last: true, Failed: true, Reason: string(e.Reason), Text: e.Text, Verdict: uint32(e.Verdict)}
}

// RemoteWork is a unit of work on a holder that is another host.
type RemoteWork struct {
	conn *link.Conn
}

// OpenRemote starts a unit of work on the holder at addr. Its errors have verdict NotRun and
// reason NoHolder.
func OpenRemote(ctx context.Context, d *link.Dialer, addr string, req *wire.WorkRequest) (*RemoteWork, error) {
	c, err := d.Open(ctx, addr, Service)
	if err == nil {
		err = c.Send(req)
	}
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.NoHolder, "cannot reach the holder of group %s", req.Group).WithCause(err)
	}
	return &RemoteWork{conn: c}, nil
}

// remoteGrace is how long after the timeout or cancellation of a batch its response may still
// arrive.
const remoteGrace = 500 * time.Millisecond

// Run runs a batch as Work.Run does. If the response is lost, the verdict is MayHaveRun.
func (r *RemoteWork) Run(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	stop := context.AfterFunc(ctx, func() { r.conn.SetDeadline(time.Now().Add(remoteGrace)) })
	defer stop()
	if b.Timeout > 0 {
		r.conn.SetDeadline(time.Now().Add(time.Duration(b.Timeout) + remoteGrace))
	}
	if err := r.conn.Send(b); err != nil {
		return Outcome{}, fault.New(fault.MayHaveRun, fault.ConnectionLost, "connection to the holder was lost").WithCause(err)
	}
	for {
		part := &wire.BatchReply{}
		if err := r.conn.Recv(part); err != nil {
			return Outcome{}, fault.New(fault.MayHaveRun, fault.ConnectionLost, "connection to the holder was lost before the response was complete").WithCause(err)
		}
		if part.Failed {
			return Outcome{}, &fault.Error{Verdict: fault.Verdict(part.Verdict), Reason: fault.Reason(part.Reason), Text: part.Text}
		}
		if part.Last {
			return Outcome{Status: byte(part.Status), Position: token.Position{Term: part.Term, Position: part.Position}}, nil
		}
		if err := sink(part.Data); err != nil {
			return Outcome{}, err
		}
	}
}

// Cancel asks the holder to cancel the running statement.
func (r *RemoteWork) Cancel(context.Context) { _ = r.conn.Send(&wire.Batch{Cancel: true}) }

// Close ends the unit of work. An open transaction is rolled back.
func (r *RemoteWork) Close() { r.conn.Close() }
