package pool

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

const (
	// readBufferSize holds most answers whole.
	readBufferSize = 4 << 10
	// setupTimeout bounds the setting of session values.
	setupTimeout = 400 * time.Millisecond
	// rollbackTimeout bounds a rollback; a connection that takes longer is closed, which rolls
	// back too.
	rollbackTimeout = time.Second
)

// errAnswerMismatch tells of an answer that cannot belong to the request before it.
var errAnswerMismatch = errors.New("answer belongs to no request")

// Handle is the use of one connection to an instance, of this host or of another one.
type Handle interface {
	// Run brings the connection's session values in line, prepares what the request needs,
	// and runs it. With last set the connection is not needed after the answer if no
	// transaction is open then. After an error the unit must be closed.
	Run(limit time.Duration, values flow.Values, q flow.Request, last bool) (flow.Answer, flow.Stage, error)
	// Release gives the connection back for others to use.
	Release()
	// Close ends the connection, which rolls back.
	Close()
}

var _ Handle = (*Conn)(nil)

// Conn is a connection to an instance. One goroutine uses it at a time.
type Conn struct {
	raw    net.Conn
	r      *bufio.Reader
	server *Server
	buf    []byte
	// values are the session values that are set on the connection.
	values flow.Values
	// preparedNames are the names under which statements are prepared on the connection.
	preparedNames map[preparedKey]string
	idleSince     time.Time
	// rank is the urgency of the present use, and until when its first statement must have a
	// slot to be served in time.
	rank         int
	slotDeadline time.Time
	// inTransaction is set while a transaction is open.
	inTransaction bool
}

type preparedKey struct {
	text   string
	writes bool
}

// roundTrip writes requests in one go and reads an answer to each. It returns the last one; an
// error of one before it ends the connection's use, as does every error that is returned.
func (c *Conn) roundTrip(limit time.Duration, list ...flow.Request) (flow.Answer, flow.Stage, error) {
	c.buf = c.buf[:0]
	for _, q := range list {
		c.buf = c.server.Codec.Put(c.buf, q)
	}
	c.server.requestSent()
	defer c.server.requestDone()
	began := time.Now()
	if err := c.raw.SetDeadline(began.Add(limit)); err != nil {
		return flow.Answer{}, flow.Unsent, err
	}
	if n, err := c.raw.Write(c.buf); err != nil {
		stage := flow.Sent
		if n == 0 {
			stage = flow.Unsent
		}
		return flow.Answer{}, stage, err
	}
	for i, q := range list {
		a, err := c.server.Codec.Take(c.r)
		if err != nil {
			return flow.Answer{}, flow.Sent, err
		}
		if err := checkAnswer(q, a); err != nil {
			return flow.Answer{}, flow.Sent, err
		}
		c.inTransaction = a.State != flow.Idle
		if i == len(list)-1 {
			c.server.recordAnswer(time.Since(began))
			return a, flow.Answered, nil
		}
		if a.Code != flow.OK {
			return flow.Answer{}, flow.Sent, errors.New("preparation was refused: " + a.Code.String() + " " + a.Text)
		}
	}
	return flow.Answer{}, flow.Unsent, nil
}

// checkAnswer checks that an answer can be that to the request: only statements of callers carry a
// proof, and each that succeeds does.
func checkAnswer(q flow.Request, a flow.Answer) error {
	own := q.Op != flow.Forward && q.Op != flow.Run
	if a.Code == flow.OK && own == (a.Proof != "") {
		return errAnswerMismatch
	}
	return nil
}

// applyValues brings the session values of the connection in line with those of a session.
func (c *Conn) applyValues(limit time.Duration, want flow.Values) error {
	if c.values.Equal(want) {
		return nil
	}
	var list []flow.Request
	if !c.values.Empty() {
		list = append(list, flow.Request{Op: flow.Reset})
		c.preparedNames = nil
	}
	want.Each(func(name, value string) {
		list = append(list, flow.Request{Op: flow.Assign, Name: name, Value: value})
	})
	a, _, err := c.roundTrip(limit, list...)
	if err != nil {
		return err
	}
	if a.Code != flow.OK {
		return errors.New("session values were refused: " + a.Code.String())
	}
	c.values = want
	return nil
}

// preparedName returns the connection's name for a prepared statement, and the request that
// prepares it where it is not yet.
func (c *Conn) preparedName(text string, writes bool) (string, []flow.Request) {
	key := preparedKey{text, writes}
	if name, ok := c.preparedNames[key]; ok {
		return name, nil
	}
	if c.preparedNames == nil {
		c.preparedNames = map[preparedKey]string{}
	}
	name := "p" + itoa(len(c.preparedNames))
	c.preparedNames[key] = name
	return name, []flow.Request{{Op: flow.Define, Name: name, Shape: text, Writes: writes}}
}

// Run implements Unit. What is set or prepared beforehand takes no slot.
func (c *Conn) Run(limit time.Duration, values flow.Values, q flow.Request, _ bool) (flow.Answer, flow.Stage, error) {
	began := c.server.Now()
	t := newTicket(c.rank, c.inTransaction, c.slotDeadline)
	switch {
	case c.inTransaction:
		t.Deadline = began.Add(limit)
	case opensTransaction(q.Op):
		t = beginTicket(c.rank, c.slotDeadline)
	}
	leave, ok := c.server.admit(t, q.Op)
	if !ok {
		return c.server.overloaded(c.state()), flow.Answered, nil
	}
	defer leave()
	return c.runAdmitted(limit-c.server.Now().Sub(began), values, q)
}

// runAdmitted runs a request that has its place at the instance.
func (c *Conn) runAdmitted(limit time.Duration, values flow.Values, q flow.Request) (flow.Answer, flow.Stage, error) {
	if q.Op == flow.Look {
		return c.roundTrip(limit, flow.Request{Op: flow.OpenRead}, flow.Request{Op: flow.Undo})
	}
	if q.Op != flow.Undo {
		if err := c.applyValues(min(limit, setupTimeout), values); err != nil {
			return flow.Answer{}, flow.Unsent, err
		}
	}
	if q.Op != flow.Run {
		return c.roundTrip(limit, q)
	}
	name, before := c.preparedName(q.Shape, q.Writes)
	q.Name = name
	return c.roundTrip(limit, append(before, q)...)
}

// state returns the state of the connection after the last answer.
func (c *Conn) state() flow.State {
	if c.inTransaction {
		return flow.Open
	}
	return flow.Idle
}

// Rollback rolls back in the background and gives the connection back, or closes it.
func Rollback(u Handle) {
	go func() {
		a, _, err := u.Run(rollbackTimeout, flow.Values{}, flow.Request{Op: flow.Undo}, true)
		if err != nil || a.Code != flow.OK || a.State != flow.Idle {
			u.Close()
			return
		}
		u.Release()
	}()
}

// healthy reports whether an idle connection is open and has brought nothing unasked.
func (c *Conn) healthy() bool { return c.r.Buffered() == 0 && adapt.Quiet(c.raw) }

// Close ends the connection for good.
func (c *Conn) Close() { c.server.discard(c) }

// Release gives the connection back for others to use.
func (c *Conn) Release() { c.server.putBack(c) }
