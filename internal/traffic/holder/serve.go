package holder

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Service is the name of the stream that carries one unit of work to a holder.
const Service = "work"

// Serve serves one unit of work of another host; it is a link.Handler.
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
		receive(ctx, c, batches, cancels)
	}()
	var w *Work
	defer func() {
		if w != nil {
			w.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cancels:
		case b := <-batches:
			if w == nil {
				var err error
				if w, err = h.Open(h.Now(), req); err != nil {
					if c.Send(failure(err)) != nil {
						return
					}
					continue
				}
			}
			if serveBatch(ctx, w, b, c, cancels) != nil {
				return
			}
		}
	}
}

func receive(ctx context.Context, c *link.Conn, batches chan<- *wire.Batch, cancels chan<- struct{}) {
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
		return c.Send(failure(err))
	}
	return c.Send(&wire.BatchReply{Last: true, Status: uint32(out.Status), Term: out.Mark.Term, Position: out.Mark.Position})
}

func failure(err error) *wire.BatchReply {
	e := fault.From(err)
	return &wire.BatchReply{Last: true, Failed: true, Reason: string(e.Reason), Text: e.Text, Verdict: uint32(e.Verdict)}
}

// Remote is a unit of work on a holder that is another host.
type Remote struct {
	conn *link.Conn
}

// OpenRemote opens a unit of work on the holder at addr.
func OpenRemote(ctx context.Context, d *link.Dialer, addr string, req *wire.WorkRequest) (*Remote, error) {
	c, err := d.Open(ctx, addr, Service)
	if err == nil {
		err = c.Send(req)
	}
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.NoHolder, "holder of group %s does not answer", req.Group).WithCause(err)
	}
	return &Remote{conn: c}, nil
}

// remoteGrace is how much longer than the batch itself its answer may take.
const remoteGrace = 500 * time.Millisecond

// Run runs a batch; it is as Work.Run. An answer that is lost may have run, unless the batch
// could only read and nothing was passed on.
func (r *Remote) Run(ctx context.Context, b *wire.Batch, sink Sink) (Outcome, error) {
	stop := context.AfterFunc(ctx, func() { r.conn.SetDeadline(time.Now().Add(remoteGrace)) })
	defer stop()
	if b.Timeout > 0 {
		r.conn.SetDeadline(time.Now().Add(time.Duration(b.Timeout) + remoteGrace))
	}
	if err := r.conn.Send(b); err != nil {
		return Outcome{}, fault.New(fault.MayHaveRun, fault.ConnectionLost, "holder was lost").WithCause(err)
	}
	for {
		p := &wire.BatchReply{}
		if err := r.conn.Recv(p); err != nil {
			return Outcome{}, fault.New(fault.MayHaveRun, fault.ConnectionLost, "holder was lost before it answered").WithCause(err)
		}
		if p.Failed {
			return Outcome{}, &fault.Error{Verdict: fault.Verdict(p.Verdict), Reason: fault.Reason(p.Reason), Text: p.Text}
		}
		if p.Last {
			return Outcome{Status: byte(p.Status), Mark: token.Mark{Term: p.Term, Position: p.Position}}, nil
		}
		if err := sink(p.Data); err != nil {
			return Outcome{}, err
		}
	}
}

// Cancel asks the holder to cancel what runs.
func (r *Remote) Cancel(context.Context) { _ = r.conn.Send(&wire.Batch{Cancel: true}) }

// Close ends the work; a transaction that is open is rolled back.
func (r *Remote) Close() { r.conn.Close() }
