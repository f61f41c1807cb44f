package pool

import (
	"bufio"
	"errors"
	"net"
	"time"

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
	// pending is set while a request is sent and not yet answered, and suspended once the connection was given up. Both
	// are guarded by the mutex of the pool.
	pending, suspended bool
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
