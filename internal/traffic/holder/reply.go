package holder

import (
	"bytes"
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// maxBufferedBytes is the number of bytes of a response that are buffered before any are forwarded,
// so that the request can go to another server if this one rejects it.
const maxBufferedBytes = 64 << 10

// reply is the response to a batch as far as it has been read.
type reply struct {
	// buf holds the messages that were not forwarded yet.
	buf []byte
	// position is the log position of the commit; zero if the server reported none.
	position token.Position
	// barrier, if not zero, is the position that a session without a token must see from now on.
	barrier token.Position
	// status is the transaction state, sqlState the SQLSTATE of the first error and commandTag the
	// tag of the last completed statement. rows are kept only without a sink.
	status     byte
	sqlState   string
	commandTag string
	rows       [][][]byte
	// ready is set when the server has reported that it is ready for a query.
	ready bool
	// forwarded is set once a part of the response was passed to the sink.
	forwarded bool
	// inTransaction is set for a batch that was sent in an open transaction, and unsynced for one that follows
	// statements without a Sync.
	inTransaction bool
	unsynced      bool
	// unsent is set if nothing of the batch was sent.
	unsent bool
}

// errNotQuiet means that a connection was closed by its server, or held bytes that no statement waits for.
var errNotQuiet = errors.New("connection was closed or held an answer that no statement waits for")

// errNoState means that a server was ready for a query without a transaction state of the protocol.
var errNoState = errors.New("server is ready in an unknown transaction state")

// exchange sends the messages of a batch, unless the connection is not quiet, and reads the response until the
// server is ready for a query or, after a Flush, until all messages were answered or one has failed.
func (w *Work) exchange(ctx context.Context, b *wire.Batch, sink Sink) (*reply, error) {
	c := w.conn
	r := &reply{inTransaction: c.inTransaction(), unsynced: c.unsynced}
	quiet := false
	if c.inTransaction() {
		r.buf, quiet = c.takeNotices(w.pool.h.Now())
	} else {
		quiet = c.quiet(w.pool.h.Now())
	}
	if !quiet {
		r.unsent = true
		return r, errNotQuiet
	}
	answered := b.Data
	if c.skipping {
		answered = afterError(answered)
	}
	x := expectAnswer(answered, c.status, b.Commits || c.unsynced)
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	defer c.expireWith(ctx)()
	if _, err := c.Write(b.Data); err != nil {
		return r, err
	}
	for len(x.open) > 0 {
		kind, body, err := adapt.ReadMessage(c.r)
		if err != nil {
			return r, err
		}
		if !x.takes(kind, body) {
			w.pool.h.reportImpossible(w.pool.h.Now(), c, kind)
			return r, errImpossible
		}
		if err := r.add(kind, body, sink); err != nil {
			return r, err
		}
	}
	c.unsynced, c.skipping = !r.ready, !r.ready && (c.skipping || x.failed)
	if r.ready {
		c.status = r.status
	} else {
		r.status = InTransaction
	}
	return r, nil
}

// add adds one message to the reply and forwards the buffer once it exceeds maxBufferedBytes.
func (r *reply) add(kind byte, body []byte, sink Sink) error {
	switch kind {
	case 'S': // ParameterStatus
		if r.parsePosition(body) {
			return nil
		}
	case 'E': // ErrorResponse
		r.recordError(body)
	case 'G', 'H', 'W': // CopyInResponse, CopyOutResponse, CopyBothResponse
		return fault.New(fault.MayHaveRun, fault.Unsupported, "COPY is not supported")
	case 'C': // CommandComplete
		r.commandTag = string(bytes.TrimSuffix(body, []byte{0}))
	case 'Z': // ReadyForQuery
		if len(body) != 1 || body[0] != Idle && body[0] != InTransaction && body[0] != InFailedTransaction {
			return errNoState
		}
		r.ready = true
		r.status = body[0]
	case 'D': // DataRow
		if sink == nil {
			r.appendRow(body)
		}
	}
	r.buf = adapt.AppendMessage(r.buf, kind, body)
	if kind == 'D' && len(r.buf) > maxBufferedBytes && sink != nil {
		r.forwarded = true
		err := sink(r.buf)
		r.buf = r.buf[:0]
		return err
	}
	return nil
}

// parsePosition reports whether a ParameterStatus message has a commit's position, and records the
// position. Such messages are not forwarded to callers.
func (r *reply) parsePosition(body []byte) bool {
	m := &pgproto3.ParameterStatus{}
	if m.Decode(body) != nil || m.Name != adapt.PositionParameter {
		return false
	}
	if position, ok := token.ParsePosition(m.Value); ok {
		r.position = position
	}
	return true
}

// recordError records the SQLSTATE of the first error.
func (r *reply) recordError(body []byte) {
	m := &pgproto3.ErrorResponse{}
	if m.Decode(body) == nil && r.sqlState == "" {
		r.sqlState = m.Code
	}
}

func (r *reply) appendRow(body []byte) {
	m := &pgproto3.DataRow{}
	if m.Decode(body) != nil {
		return
	}
	row := make([][]byte, len(m.Values))
	for i, v := range m.Values {
		row[i] = bytes.Clone(v)
	}
	r.rows = append(r.rows, row)
}

// query runs a simple query of the proxy itself and keeps its rows. The tag of its last statement starts with
// the given word, unless the query fails.
func (w *Work) query(ctx context.Context, text, word string) (*reply, error) {
	b, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return &reply{}, err
	}
	r, err := w.exchange(ctx, &wire.Batch{Data: b, Commits: true}, nil)
	if err == nil && r.sqlState == "" && !completes(r.commandTag, word) {
		w.pool.h.reportImpossible(w.pool.h.Now(), w.conn, 'C')
		return r, errImpossible
	}
	return r, err
}
