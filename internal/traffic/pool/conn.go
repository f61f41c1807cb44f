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
	// readBuffer holds most answers whole.
	readBuffer = 4 << 10
	// setupLimit bounds the setting of session values.
	setupLimit = 400 * time.Millisecond
	// undoLimit bounds a rollback; a connection that takes longer is closed, which rolls
	// back too.
	undoLimit = time.Second
)

// errCrossed tells of an answer that cannot belong to the request before it.
var errCrossed = errors.New("answer belongs to no request")

// Unit is the use of one connection to an instance, of this host or of another one.
type Unit interface {
	// Run brings the connection's session values in line, prepares what the request needs,
	// and runs it. With last set the connection is not needed after the answer if no
	// transaction is open then. After an error the unit must be closed.
	Run(limit time.Duration, values flow.Values, q flow.Request, last bool) (flow.Answer, flow.Stage, error)
	// Release gives the connection back for others to use.
	Release()
	// Close ends the connection, which rolls back.
	Close()
}

var _ Unit = (*Conn)(nil)

// Conn is a connection to an instance. One goroutine uses it at a time.
type Conn struct {
	raw    net.Conn
	r      *bufio.Reader
	server *Server
	buf    []byte
	// values are the session values that are set on the connection.
	values flow.Values
	// shapes are the names under which statements are prepared on the connection.
	shapes map[shape]string
	parked time.Time
	// rank is the urgency of the present use, and until when its first statement must have a
	// slot to be served in time.
	rank  int
	until time.Time
	// pinned is set while a transaction is open.
	pinned bool
}

type shape struct {
	text   string
	writes bool
}

// ask writes requests in one go and reads an answer to each. It returns the last one; an
// error of one before it ends the connection's use, as does every error that is returned.
func (c *Conn) ask(limit time.Duration, list ...flow.Request) (flow.Answer, flow.Stage, error) {
	c.buf = c.buf[:0]
	for _, q := range list {
		c.buf = c.server.Codec.Put(c.buf, q)
	}
	c.server.asks()
	defer c.server.asked()
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
		if err := fits(q, a); err != nil {
			return flow.Answer{}, flow.Sent, err
		}
		c.pinned = a.State != flow.Idle
		if i == len(list)-1 {
			c.server.served(time.Since(began))
			return a, flow.Answered, nil
		}
		if a.Code != flow.OK {
			return flow.Answer{}, flow.Sent, errors.New("preparation was refused: " + a.Code.String() + " " + a.Text)
		}
	}
	return flow.Answer{}, flow.Unsent, nil
}

// fits checks that an answer can be that to the request: only statements of callers carry a
// proof, and each that succeeds does.
func fits(q flow.Request, a flow.Answer) error {
	own := q.Op != flow.Forward && q.Op != flow.Run
	if a.Code == flow.OK && own == (a.Proof != "") {
		return errCrossed
	}
	return nil
}

// dress brings the session values of the connection in line with those of a session.
func (c *Conn) dress(limit time.Duration, want flow.Values) error {
	if c.values.Equal(want) {
		return nil
	}
	var list []flow.Request
	if !c.values.Empty() {
		list = append(list, flow.Request{Op: flow.Reset})
		c.shapes = nil
	}
	want.Each(func(name, value string) {
		list = append(list, flow.Request{Op: flow.Assign, Name: name, Value: value})
	})
	a, _, err := c.ask(limit, list...)
	if err != nil {
		return err
	}
	if a.Code != flow.OK {
		return errors.New("session values were refused: " + a.Code.String())
	}
	c.values = want
	return nil
}

// named returns the connection's name for a prepared statement, and the request that
// prepares it where it is not yet.
func (c *Conn) named(text string, writes bool) (string, []flow.Request) {
	key := shape{text, writes}
	if name, ok := c.shapes[key]; ok {
		return name, nil
	}
	if c.shapes == nil {
		c.shapes = map[shape]string{}
	}
	name := "p" + itoa(len(c.shapes))
	c.shapes[key] = name
	return name, []flow.Request{{Op: flow.Define, Name: name, Shape: text, Writes: writes}}
}

// Run implements Unit. What is set or prepared beforehand takes no slot.
func (c *Conn) Run(limit time.Duration, values flow.Values, q flow.Request, _ bool) (flow.Answer, flow.Stage, error) {
	began := c.server.Now()
	t := ticket(c.rank, c.pinned, c.until)
	switch {
	case c.pinned:
		t.Deadline = began.Add(limit)
	case opens(q.Op):
		t = opening(c.rank, c.until)
	}
	leave, ok := c.server.admit(t, q.Op)
	if !ok {
		return c.server.crowded(c.state()), flow.Answered, nil
	}
	defer leave()
	return c.run(limit-c.server.Now().Sub(began), values, q)
}

// run runs a request that has its place at the instance.
func (c *Conn) run(limit time.Duration, values flow.Values, q flow.Request) (flow.Answer, flow.Stage, error) {
	if q.Op == flow.Look {
		return c.ask(limit, flow.Request{Op: flow.OpenRead}, flow.Request{Op: flow.Undo})
	}
	if q.Op != flow.Undo {
		if err := c.dress(min(limit, setupLimit), values); err != nil {
			return flow.Answer{}, flow.Unsent, err
		}
	}
	if q.Op != flow.Run {
		return c.ask(limit, q)
	}
	name, before := c.named(q.Shape, q.Writes)
	q.Name = name
	return c.ask(limit, append(before, q)...)
}

// state returns the state of the connection after the last answer.
func (c *Conn) state() flow.State {
	if c.pinned {
		return flow.Open
	}
	return flow.Idle
}

// Undo rolls back in the background and gives the connection back, or closes it.
func Undo(u Unit) {
	go func() {
		a, _, err := u.Run(undoLimit, flow.Values{}, flow.Request{Op: flow.Undo}, true)
		if err != nil || a.Code != flow.OK || a.State != flow.Idle {
			u.Close()
			return
		}
		u.Release()
	}()
}

// quiet reports whether an idle connection is open and has brought nothing unasked.
func (c *Conn) quiet() bool { return c.r.Buffered() == 0 && adapt.Idle(c.raw) }

// Close ends the connection for good.
func (c *Conn) Close() { c.server.drop(c) }

// Release gives the connection back for others to use.
func (c *Conn) Release() { c.server.put(c) }
