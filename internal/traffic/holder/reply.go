package holder

import (
	"bytes"
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// maxHeldBytes is how much of an answer is held back, so that the request can go to another
// server when this one refuses it.
const maxHeldBytes = 64 << 10

// reply is the answer to a batch as far as it was read.
type reply struct {
	buf      []byte
	position token.Mark
	// barrier is what a session without a token must see from now on.
	barrier    token.Mark
	status     byte
	sqlState   string
	commandTag string
	rows       [][][]byte
	// ready is set when the server reported that it is ready for a query.
	ready bool
	// forwarded is set once a part of the answer was passed on.
	forwarded bool
	// inTransaction is set for a batch that was sent into an open transaction.
	inTransaction bool
	answered      uint32
}

// exchange sends messages and reads the answer: up to the report that the server is ready
// or, where expect is not zero, that many answers to single messages.
func (w *Work) exchange(ctx context.Context, data []byte, expect uint32, sink Sink) (*reply, error) {
	c := w.conn
	a := &reply{inTransaction: c.inTransaction}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.Write(data); err != nil {
		return a, err
	}
	for !a.ready && (expect == 0 || (a.answered < expect && a.sqlState == "")) {
		kind, body, err := adapt.ReadMessage(c.r)
		if err != nil {
			return a, err
		}
		if err := a.add(kind, body, sink); err != nil {
			return a, err
		}
	}
	c.inTransaction = !a.ready || a.status != Idle
	if !a.ready {
		a.status = InTransaction
	}
	return a, nil
}

// add adds one message to the reply.
func (a *reply) add(kind byte, body []byte, sink Sink) error {
	switch kind {
	case 'S':
		if a.parsePosition(body) {
			return nil
		}
	case 'E':
		a.recordError(body)
	case 'G', 'H', 'W':
		return fault.New(fault.MayHaveRun, fault.Unsupported, "COPY is not supported")
	case 'C':
		a.commandTag = string(bytes.TrimSuffix(body, []byte{0}))
		a.answered++
	case '1', '2', '3', 'I', 'n', 'T', 's':
		a.answered++
	case 'Z':
		a.ready = true
		a.status = body[0]
	case 'D':
		if sink == nil {
			a.appendRow(body)
		}
	}
	a.buf = adapt.AppendMessage(a.buf, kind, body)
	if kind == 'D' && len(a.buf) > maxHeldBytes && sink != nil {
		a.forwarded = true
		err := sink(a.buf)
		a.buf = a.buf[:0]
		return err
	}
	return nil
}

// parsePosition takes in the report of a commit's position; callers do not see it.
func (a *reply) parsePosition(body []byte) bool {
	m := &pgproto3.ParameterStatus{}
	if m.Decode(body) != nil || m.Name != adapt.PositionParameter {
		return false
	}
	if position, ok := token.ParseMark(m.Value); ok {
		a.position = position
	}
	return true
}

func (a *reply) recordError(body []byte) {
	m := &pgproto3.ErrorResponse{}
	if m.Decode(body) == nil && a.sqlState == "" {
		a.sqlState = m.Code
	}
}

func (a *reply) appendRow(body []byte) {
	m := &pgproto3.DataRow{}
	if m.Decode(body) != nil {
		return
	}
	row := make([][]byte, len(m.Values))
	for i, v := range m.Values {
		row[i] = bytes.Clone(v)
	}
	a.rows = append(a.rows, row)
}

// query runs a simple query of the proxy's own and keeps its rows.
func (w *Work) query(ctx context.Context, text string) (*reply, error) {
	b, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return &reply{}, err
	}
	return w.exchange(ctx, b, 0, nil)
}
