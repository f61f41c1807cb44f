package pool

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// errSurplus is returned for a request that isn't sent because an answer to no request has arrived.
var errSurplus = errors.New("received an answer to no request")

// errDoubt is returned for a request that isn't sent because answers have lost their order.
var errDoubt = errors.New("an earlier answer belongs to another request")

// errUnsendable is returned for a request that the instance would read as another one.
var errUnsendable = errors.New("request can't be sent as it is")

// errFull is returned for a request that isn't sent because no more answers can be recorded.
var errFull = errors.New("too many answers on one connection")

// roundTrip writes requests in one batch, reads an answer to each, and returns the last answer. last is set if the
// last request commits an open transaction. An error code in an earlier answer is returned as an error. After any
// error the connection must be closed. An answer that may belong to another request is replaced by one with code
// flow.InDoubt.
func (c *Conn) roundTrip(timeout time.Duration, last bool, reqs ...flow.Request) (flow.Answer, flow.Stage, error) {
	if err := c.pool.beginRequest(c); err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	defer c.pool.endRequest(c)
	if err := c.checkQuiet(); err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	c.startAnswer()
	c.buf = c.buf[:0]
	for _, req := range reqs {
		n := len(c.buf)
		if c.buf = c.pool.Codec.AppendRequest(c.buf, req); len(c.buf) == n {
			return flow.Answer{}, flow.Unsent, errUnsendable
		}
	}
	start := time.Now()
	if err := c.raw.SetDeadline(start.Add(timeout)); err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	if n, err := c.raw.Write(c.buf); err != nil {
		c.lost = true
		stage := flow.Sent
		if n == 0 {
			stage = flow.Unsent
		}
		return flow.Answer{}, stage, err
	}
	for i, req := range reqs {
		a, err := c.pool.Codec.ReadAnswer(c.r)
		if err != nil {
			return c.unanswered(req, err)
		}
		final := i == len(reqs)-1
		a, ok := c.judge(req, last && final, a)
		switch {
		case !ok:
			return c.doubt(), flow.Answered, nil
		case final:
			c.pool.recordAnswer(time.Since(start))
			return a, flow.Answered, nil
		case a.Code != flow.OK:
			return flow.Answer{}, flow.Sent, errors.New("setup request refused: " + a.Code.String() + " " + a.Text)
		}
	}
	return flow.Answer{}, flow.Unsent, nil
}

// judge records the answer to a request, and updates the state of the connection by it. An answer that may be an
// earlier one has no position. It returns false if the request is in doubt.
func (c *Conn) judge(req flow.Request, commits bool, a flow.Answer) (flow.Answer, bool) {
	ends := req.Op == flow.RollbackTx || commits && c.inTransaction
	found := c.answers.Judge(c.pool.Now(), Exchange{req, c.inTransaction, ends}, a)
	c.noteAnswer(found, req, a)
	switch {
	case found == Uncertain && isTriedAgain(req, a) && !c.inTransaction:
		c.retire, c.dead = "doubt", true
	case found == Unfit || found == Repeated || found == Uncertain && a.Code != flow.OK:
		return a, false
	case found == Uncertain:
		a.Position = token.Position{}
	}
	if opensTransaction(req.Op) {
		c.openedAt = a.Position
	}
	c.inTransaction = a.State != flow.Idle
	if a.Code != flow.OK && a.Code != flow.Behind {
		c.retire = "error"
	}
	return a, true
}

// unanswered ends a request whose answer can't be read. What no instance sends puts it in doubt, as does the loss
// of the connection in a transaction that may not be open.
func (c *Conn) unanswered(req flow.Request, err error) (flow.Answer, flow.Stage, error) {
	var broken net.Error
	c.lost = errors.As(err, &broken) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe)
	if !c.lost {
		c.noteUnreadable(req, err)
	}
	if !c.lost || c.inTransaction && c.answers.Unsettled() {
		return c.doubt(), flow.Answered, nil
	}
	return flow.Answer{}, flow.Sent, err
}

// isTriedAgain reports whether a request is tried again after an error answer and may be even if the instance has
// run it, since it has no lasting effect.
func isTriedAgain(req flow.Request, a flow.Answer) bool {
	return (a.Code == flow.Busy || a.Code == flow.Behind) && !req.Writes
}

// doubt returns the answer to a request that may have run, where nothing more is known since answers have lost their
// order. The connection is not used any more.
func (c *Conn) doubt() flow.Answer {
	c.retire, c.dead, c.inTransaction = "doubt", true, false
	return flow.Answer{Code: flow.InDoubt, Text: c.pool.Instance, State: flow.Idle}
}

// checkQuiet returns an error if the connection is closed, or if something has arrived on it although no request
// is outstanding: the next answer would then belong to an earlier request.
func (c *Conn) checkQuiet() error {
	switch {
	case c.dead:
		return errDoubt
	case c.answers.exhausted():
		c.retire = "full"
		return errFull
	}
	switch c.unasked() {
	case adapt.Data:
		c.noteSurplus()
		c.retire, c.dead = "surplus", true
		return errSurplus
	case adapt.End:
		c.lost = true
		return net.ErrClosed
	}
	return nil
}

// unasked returns what has arrived on the connection while no request is outstanding.
func (c *Conn) unasked() adapt.Unasked {
	if c.r.Buffered() > 0 {
		return adapt.Data
	}
	return adapt.Peek(c.network())
}

// locate runs a position query: an empty transaction that may write, which only the primary opens. If the answer
// may be an earlier one, the query is sent again on a new connection; if none may be opened now, its answer has no
// position.
func (c *Conn) locate(timeout time.Duration) (flow.Answer, flow.Stage, error) {
	start := time.Now()
	for renewed := false; ; renewed = true {
		a, stage, err := c.roundTrip(timeout-time.Since(start), false, flow.Request{Op: flow.BeginReadWriteTx}, flow.Request{Op: flow.RollbackTx})
		a.Position = c.openedAt
		if err != nil || a.Code != flow.OK || a.Position != (token.Position{}) || renewed || !c.pool.startRenewal(timeout-time.Since(start)) {
			return a, stage, err
		}
		err = c.renew()
		c.pool.endRenewal()
		if err != nil {
			return flow.Answer{}, flow.Unsent, err
		}
	}
}

// renew replaces the network connection by a new one of the same account.
func (c *Conn) renew() error {
	c.pool.Meter.AddCounter("connections.renewed", 1)
	c.raw.Close()
	fresh, code, err := c.pool.connect(c.account)
	switch {
	case err != nil:
		c.lost = true
		return err
	case code != flow.OK:
		c.retire = "refused"
		return errors.New("connection refused: " + code.String())
	}
	c.raw, c.r, c.answers = fresh.raw, fresh.r, Answers{}
	c.values, c.preparedNames, c.preparedBytes, c.stale = flow.Values{}, nil, 0, false
	return nil
}
