package holder

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// The table of request keys stands in the group itself, so that a key is committed with the
// write that it stands for, and is replicated with it.
const (
	createKeysSQL    = "CREATE TABLE IF NOT EXISTS agatespindle_keys (key TEXT PRIMARY KEY, digest TEXT NOT NULL, outcome TEXT NOT NULL, at BIGINT NOT NULL)"
	insertKeySQL     = "INSERT INTO agatespindle_keys (key, digest, outcome, at) VALUES (%s, %s, '', %d)"
	updateOutcomeSQL = "UPDATE agatespindle_keys SET outcome = %s WHERE key = %s"
	selectOutcomeSQL = "SELECT digest, outcome FROM agatespindle_keys WHERE key = %s"
	deleteExpiredSQL = "DELETE FROM agatespindle_keys WHERE at < %d"
)

// keyRetention is for how long a key is kept, in seconds; a resend after that runs again.
const keyRetention = 24 * 60 * 60

// keyExpiryInterval is the number of keyed writes between two removals of old keys on a holder.
const keyExpiryInterval = 1024

const sqlStateUniqueViolation = "23505"

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func digest(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// runKeyed runs a batch with a request key: the key, the write and its outcome are one
// transaction. A key that is there already gets the first outcome, and nothing runs.
func (w *Work) runKeyed(ctx context.Context, b *wire.Batch, sink Sink, release func()) (Outcome, error) {
	a, replay, err := w.runKeyedTransaction(ctx, b)
	release()
	if err != nil {
		if w.conn != nil {
			w.closeConn()
		}
		return Outcome{}, err
	}
	if replay != nil {
		return w.replay(ctx, b, replay, sink)
	}
	return w.finish(ctx, a, sink)
}

// storedOutcome is the outcome of the first request with a key.
type storedOutcome struct {
	commandTag string
}

// queryBeforeCommit runs one statement of a keyed transaction before its commit: if the connection is
// lost here, nothing has run.
func (w *Work) queryBeforeCommit(ctx context.Context, text string) (*reply, error) {
	a, err := w.query(ctx, text)
	if err != nil {
		return a, fault.New(fault.NotRun, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
	}
	return a, nil
}

func (w *Work) runKeyedTransaction(ctx context.Context, b *wire.Batch) (*reply, *storedOutcome, error) {
	if _, err := w.queryBeforeCommit(ctx, "BEGIN"); err != nil {
		return nil, nil, err
	}
	first, err := w.claimKey(ctx, b)
	if err != nil || first != nil {
		return nil, first, err
	}
	a, err := w.exchange(ctx, b.Data, b.Expect, func([]byte) error { return nil })
	if err != nil {
		return nil, nil, fault.New(fault.NotRun, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
	}
	if a.status != InTransaction {
		_, err := w.queryBeforeCommit(ctx, "ROLLBACK")
		a.overrideStatus(Idle)
		return a, nil, err
	}
	if _, err := w.queryBeforeCommit(ctx, fmt.Sprintf(updateOutcomeSQL, quote(a.commandTag), quote(b.Key))); err != nil {
		return nil, nil, err
	}
	return w.commitKeyed(ctx, a)
}

func (w *Work) commitKeyed(ctx context.Context, a *reply) (*reply, *storedOutcome, error) {
	done, err := w.query(ctx, "COMMIT")
	if err != nil {
		return nil, nil, fault.New(fault.MayHaveRun, fault.ConnectionLost, "connection was lost while the write was committed").WithCause(err)
	}
	if done.sqlState == sqlStateReadOnly {
		return nil, nil, fault.New(fault.NotRun, fault.Sealed, "primary refused a write, since it was replaced")
	}
	if done.sqlState != "" {
		return nil, nil, fault.New(fault.MayHaveRun, fault.Internal, "commit failed with %s", done.sqlState)
	}
	a.position = done.position
	a.overrideStatus(Idle)
	return a, nil, nil
}

// claimKey inserts the key into the open transaction. Where it is there already, it ends the
// transaction and returns the first outcome.
func (w *Work) claimKey(ctx context.Context, b *wire.Batch) (*storedOutcome, error) {
	for try := 0; ; try++ {
		a, err := w.queryBeforeCommit(ctx, w.keyInsertion(b))
		if err != nil || a.sqlState == "" {
			return nil, err
		}
		if _, err := w.queryBeforeCommit(ctx, "ROLLBACK"); err != nil {
			return nil, err
		}
		switch {
		case a.sqlState == sqlStateUniqueViolation:
			return w.loadOutcome(ctx, b)
		case a.sqlState == sqlStateReadOnly:
			return nil, fault.New(fault.NotRun, fault.Sealed, "primary refused a write, since it was replaced")
		case try > 0:
			return nil, fault.New(fault.NotRun, fault.Internal, "request key cannot be recorded: %s", a.sqlState)
		}
		if _, err := w.queryBeforeCommit(ctx, createKeysSQL); err != nil {
			return nil, err
		}
		if _, err := w.queryBeforeCommit(ctx, "BEGIN"); err != nil {
			return nil, err
		}
	}
}

func (w *Work) keyInsertion(b *wire.Batch) string {
	now := w.pool.h.Now().Unix()
	text := fmt.Sprintf(insertKeySQL, quote(b.Key), quote(digest(b.Data)), now)
	if w.pool.keyExpiryDue() {
		text = fmt.Sprintf(deleteExpiredSQL, now-keyRetention) + "; " + text
	}
	return text
}

// keyExpiryDue reports whether old keys are to be removed with this write.
func (p *pool) keyExpiryDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keyedWrites++
	return p.keyedWrites%keyExpiryInterval == 0
}

// insertKey inserts a key into the caller's own transaction. A key that is there already
// means that the transaction ran before.
func (w *Work) insertKey(ctx context.Context, b *wire.Batch) error {
	a, err := w.queryBeforeCommit(ctx, fmt.Sprintf(insertKeySQL, quote(b.Key), quote("transaction"), w.pool.h.Now().Unix()))
	switch {
	case err != nil:
		return err
	case a.sqlState == sqlStateUniqueViolation:
		return fault.New(fault.Ran, fault.KeyReused, "transaction with request key %q has run already", b.Key)
	case a.sqlState != "":
		return fault.New(fault.NotRun, fault.BadKey, "request key cannot be recorded: %s; set it before the transaction's first statement", a.sqlState)
	}
	return nil
}

func (w *Work) loadOutcome(ctx context.Context, b *wire.Batch) (*storedOutcome, error) {
	a, err := w.queryBeforeCommit(ctx, fmt.Sprintf(selectOutcomeSQL, quote(b.Key)))
	if err != nil {
		return nil, err
	}
	if len(a.rows) != 1 || len(a.rows[0]) != 2 {
		return nil, fault.New(fault.MayHaveRun, fault.Internal, "request key %q has no outcome", b.Key)
	}
	if string(a.rows[0][0]) != digest(b.Data) {
		return nil, fault.New(fault.NotRun, fault.KeyReused, "request key %q was used for another statement", b.Key)
	}
	return &storedOutcome{commandTag: string(a.rows[0][1])}, nil
}

// replay answers with the first outcome, once what the primary holds is replicated: the
// first request's commit may not have been.
func (w *Work) replay(ctx context.Context, b *wire.Batch, first *storedOutcome, sink Sink) (Outcome, error) {
	p := w.pool
	s := w.conn.server
	st, err := s.adapter.Status(ctx)
	if err != nil || !st.Primary || st.Term != w.term {
		w.closeConn()
		return Outcome{}, fault.New(fault.MayHaveRun, fault.NotReplicated, "first outcome could not be confirmed")
	}
	position := token.Mark{Term: st.Term, Position: st.Position}
	if err := p.awaitReplication(ctx, position); err != nil {
		w.closeConn()
		return Outcome{}, err
	}
	w.releaseConn(ctx)
	p.h.Meter.Add("keys.replayed", 1)
	return Outcome{Status: Idle, Position: position}, sink(replayAnswer(b.Data, first.commandTag))
}

// replayAnswer returns the answer to a batch whose statement had the outcome tag.
func replayAnswer(data []byte, tag string) []byte {
	var out []byte
	for len(data) > 0 {
		kind, n := data[0], messageSize(data)
		switch kind {
		case 'P':
			out = adapt.AppendMessage(out, '1', nil)
		case 'B':
			out = adapt.AppendMessage(out, '2', nil)
		case 'C':
			out = adapt.AppendMessage(out, '3', nil)
		case 'D':
			out = adapt.AppendMessage(out, 'n', nil)
		case 'E', 'Q':
			out = adapt.AppendMessage(out, 'C', append([]byte(tag), 0))
		}
		data = data[n:]
	}
	return adapt.AppendMessage(out, 'Z', []byte{Idle})
}

func messageSize(b []byte) int {
	n, ok := adapt.MessageSize(b)
	if !ok {
		return len(b)
	}
	return min(n, len(b))
}

// overrideStatus changes the state that the reply reports at its end.
func (a *reply) overrideStatus(status byte) {
	a.status = status
	if a.ready && len(a.buf) > 0 {
		a.buf[len(a.buf)-1] = status
	}
}
