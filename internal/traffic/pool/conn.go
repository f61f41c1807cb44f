package pool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/keep"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

const (
	// readBufferSize, in bytes, is large enough for most answers.
	readBufferSize = 4 << 10
	// setupTimeout limits the time to set session values.
	setupTimeout = 400 * time.Millisecond
	// rollbackTimeout limits a rollback. A connection that takes longer is closed, which also
	// rolls back.
	rollbackTimeout = time.Second
)

// errSurplus is returned for a request that isn't sent because an answer to no request has arrived.
var errSurplus = errors.New("received an answer to no request")

// errDoubt is returned for a request that isn't sent because answers have lost their order.
var errDoubt = errors.New("an earlier answer belongs to another request")

// errUnsendable is returned for a request that the instance would read as another one.
var errUnsendable = errors.New("request can't be sent as it is")

// errFull is returned for a request that isn't sent because no more answers can be recorded.
var errFull = errors.New("too many answers on one connection")

// Handle gives exclusive use of one connection to an instance. The connection belongs to this
// host or is borrowed from another one. Each handle must be ended by one call of Release or Close.
type Handle interface {
	// Run sets the session values on the connection, prepares the statement if needed, and runs
	// the request, all within timeout. If last is set, the connection isn't needed after the
	// answer unless a transaction is open then. The stage tells how far the request got. A
	// request that gets no admission slot in time has an answer with code flow.Overloaded, and
	// one outside of a transaction to an instance that has left has code flow.Leaving; neither
	// is an error. After an error the handle must be closed.
	Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error)
	// Release returns the connection to its pool.
	Release()
	// Close closes the connection, which rolls back an open transaction.
	Close()
}

var _ Handle = (*Conn)(nil)

// Conn is a connection of this host to an instance. It is not safe for concurrent use.
type Conn struct {
	raw  net.Conn
	r    *bufio.Reader
	pool *Pool
	// buf is the write buffer, reused between requests.
	buf []byte
	// values are the session values currently set on the connection.
	values flow.Values
	// preparedBytes is the size of the statements that are prepared on the connection.
	preparedBytes int
	// stale is set if the instance keeps values or statements that are no longer known here.
	stale bool
	// preparedNames holds the name of each statement prepared on the connection.
	preparedNames map[preparedKey]string
	idleSince     time.Time
	// account is the client account that the connection was opened for, or "" for the proxy itself.
	account string
	// usage is how much the requests of its account have used it.
	usage keep.Usage
	// prio is the priority of the current use.
	prio Priority
	// slotDeadline is the latest time at which the first statement of the current use must get
	// an admission slot.
	slotDeadline time.Time
	// inTransaction is set while a transaction is open.
	inTransaction bool
	// answers are those that the connection has given.
	answers Answers
	// retire is why the connection is closed at the end of its use, or "".
	retire string
	// dead is set if no more requests may be sent, and lost if the connection has failed.
	dead, lost bool
	// openedAt is the position at which the latest transaction was opened, zero if that is not certain.
	openedAt token.Position
}

// serves reports whether a request may run on the connection.
func (c *Conn) serves(prio Priority) bool { return c.account == prio.Account || prio.own() }

// preparedKey identifies a prepared statement.
type preparedKey struct {
	stmt   string
	writes bool
}

// roundTrip writes requests in one batch, reads an answer to each, and returns the last answer. last is set if the
// last request commits an open transaction. An error code in an earlier answer is returned as an error. After any
// error the connection must be closed. An answer that may belong to another request is replaced by one with code
// flow.InDoubt.
func (c *Conn) roundTrip(timeout time.Duration, last bool, reqs ...flow.Request) (flow.Answer, flow.Stage, error) {
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
	c.pool.requestSent()
	defer c.pool.requestDone()
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
		ends := req.Op == flow.RollbackTx || last && i == len(reqs)-1 && c.inTransaction
		found := c.answers.Judge(c.pool.Now(), Exchange{req, c.inTransaction, ends}, a)
		c.noteAnswer(found, req, a)
		switch {
		case found == Uncertain && isTriedAgain(req, a) && !c.inTransaction:
			c.retire, c.dead = "doubt", true
		case found == Unfit || found == Repeated || found == Uncertain && a.Code != flow.OK:
			return c.doubt(), flow.Answered, nil
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
		if i == len(reqs)-1 {
			c.pool.recordAnswer(time.Since(start))
			return a, flow.Answered, nil
		}
		if a.Code != flow.OK {
			return flow.Answer{}, flow.Sent, errors.New("setup request refused: " + a.Code.String() + " " + a.Text)
		}
	}
	return flow.Answer{}, flow.Unsent, nil
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

// applyValues sets the session values of the connection to want. If the connection has other
// values, it is reset first, which also drops its prepared statements.
func (c *Conn) applyValues(timeout time.Duration, want flow.Values) error {
	if !c.stale && c.values.Equal(want) {
		return nil
	}
	var reqs []flow.Request
	if c.stale || !c.values.Empty() {
		reqs = append(reqs, flow.Request{Op: flow.ResetSession})
		c.preparedNames, c.preparedBytes = nil, 0
	}
	want.Each(func(name, value string) {
		reqs = append(reqs, flow.Request{Op: flow.SetValue, Name: name, Value: value})
	})
	a, _, err := c.roundTrip(timeout, false, reqs...)
	if err != nil {
		return err
	}
	if a.Code != flow.OK {
		return errors.New("session values refused: " + a.Code.String())
	}
	c.values, c.stale = want, false
	return nil
}

// preparedName returns the connection's name for a prepared statement, and the request to prepare
// it first if the connection doesn't have it yet.
func (c *Conn) preparedName(stmt string, writes bool) (string, []flow.Request) {
	key := preparedKey{stmt, writes}
	if name, ok := c.preparedNames[key]; ok {
		return name, nil
	}
	if c.preparedNames == nil {
		c.preparedNames = map[preparedKey]string{}
	}
	name := "p" + itoa(len(c.preparedNames))
	c.preparedNames[key] = name
	c.preparedBytes += len(stmt)
	return name, []flow.Request{{Op: flow.PrepareStatement, Name: name, Template: stmt, Writes: writes}}
}

// Run implements Handle. Setting session values and preparing statements takes no admission slot.
func (c *Conn) Run(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	start := c.pool.Now()
	t := newTicket(c.prio, c.inTransaction, c.slotDeadline)
	switch {
	case c.inTransaction:
		t.Deadline = start.Add(timeout)
	case opensTransaction(req.Op):
		t = beginTicket(c.prio, c.slotDeadline)
	}
	release, ok := c.pool.admit(t, req.Op)
	if !ok {
		return c.pool.overloaded(c.state()), flow.Answered, nil
	}
	defer release()
	return c.runAdmitted(timeout-c.pool.Now().Sub(start), values, req, last)
}

// runAdmitted runs a request that has been admitted.
func (c *Conn) runAdmitted(timeout time.Duration, values flow.Values, req flow.Request, last bool) (flow.Answer, flow.Stage, error) {
	if c.lacksMemory(req.Op) {
		return c.pool.overloaded(c.state()), flow.Answered, nil
	}
	if !c.inTransaction {
		if a, withheld := c.pool.withhold(); withheld {
			return a, flow.Answered, nil
		}
	}
	if req.Op == flow.QueryPosition {
		return c.locate(timeout)
	}
	if req.Op != flow.RollbackTx {
		if err := c.applyValues(min(timeout, setupTimeout), values); err != nil {
			return flow.Answer{}, flow.Unsent, err
		}
	}
	if req.Op != flow.ExecPrepared {
		return c.roundTrip(timeout, last, req)
	}
	name, prepare := c.preparedName(req.Template, req.Writes)
	req.Name = name
	return c.roundTrip(timeout, last, append(prepare, req)...)
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

// state returns the transaction state of the connection after the last answer.
func (c *Conn) state() flow.State {
	if c.inTransaction {
		return flow.InTransaction
	}
	return flow.Idle
}

// Rollback rolls back in the background and releases the handle, or closes it if the rollback
// fails.
func Rollback(h Handle) {
	go func() {
		a, _, err := h.Run(rollbackTimeout, flow.Values{}, flow.Request{Op: flow.RollbackTx}, true)
		if err != nil || a.Code != flow.OK || a.State != flow.Idle {
			h.Close()
			return
		}
		h.Release()
	}()
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

// Close closes the connection and removes it from the pool.
func (c *Conn) Close() { c.pool.discard(c) }

// Release returns the connection to the pool, or closes it if its next answers might not be told from earlier ones.
func (c *Conn) Release() {
	switch {
	case c.retire != "":
	case c.inTransaction:
		c.retire = "open"
	case c.answers.full():
		c.retire = "full"
	}
	if c.retire != "" {
		c.pool.discard(c)
		return
	}
	c.forget()
	c.startAnswer()
	c.pool.putBack(c)
}
