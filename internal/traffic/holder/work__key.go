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

// Idempotency keys are stored in a table of the group itself, so that a key is committed and
// replicated together with its write.
const (
	createKeysSQL    = "CREATE TABLE IF NOT EXISTS agatespindle_keys (key TEXT PRIMARY KEY, digest TEXT NOT NULL, outcome TEXT NOT NULL, at BIGINT NOT NULL)"
	insertKeySQL     = "INSERT INTO agatespindle_keys (key, digest, outcome, at) VALUES (%s, %s, '', %d)"
	updateOutcomeSQL = "UPDATE agatespindle_keys SET outcome = %s WHERE key = %s"
	selectOutcomeSQL = "SELECT digest, outcome FROM agatespindle_keys WHERE key = %s"
	deleteExpiredSQL = "DELETE FROM agatespindle_keys WHERE at < %d"
)

// keyRetention is how long a key is kept, in seconds. A request that is repeated later runs again.
const keyRetention = 24 * 60 * 60

// keyExpiryInterval is the number of writes with an idempotency key on a holder between two
// deletions of expired keys.
const keyExpiryInterval = 1024

// sqlStateUniqueViolation is the SQLSTATE of an insert whose primary key exists.
const sqlStateUniqueViolation = "23505"

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func digest(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// transactionDigest takes the place of a statement's digest where the key is that of a caller's transaction.
const transactionDigest = "transaction"

// signed returns what is stored as the digest of a key: that of its statement and that of the caller.
func (w *Work) signed(statement string) string { return statement + "." + digest([]byte(w.req.Caller)) }

// isOwn reports whether a stored digest is that of a key of the caller, and returns that of the statement. A key
// that was stored without a caller is anyone's.
func (w *Work) isOwn(stored string) (statement string, own bool) {
	statement, _, signed := strings.Cut(stored, ".")
	return statement, !signed || stored == w.signed(statement)
}

// errForeignKey is the refusal of a key that another caller has used.
func errForeignKey(key string) error {
	return fault.New(fault.NotRun, fault.RequestKeyReused, "idempotency key %q was already used by another caller", key)
}

// runKeyed runs a batch with an idempotency key: the key, the write and its outcome are one
// transaction. If the key exists, nothing runs and the response is the stored first outcome.
func (w *Work) runKeyed(ctx context.Context, b *wire.Batch, sink Sink, release func()) (Outcome, error) {
	r, replay, err := w.runKeyedTransaction(ctx, b)
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
	return w.finish(ctx, r, sink)
}

// storedOutcome is the outcome of the first request with a key.
type storedOutcome struct {
	commandTag string
}

// queryBeforeCommit runs a statement that precedes the commit of its transaction. If the connection
// is lost, the error has verdict NotRun, because nothing takes effect.
func (w *Work) queryBeforeCommit(ctx context.Context, text, word string) (*reply, error) {
	r, err := w.query(ctx, text, word)
	if err != nil {
		return r, fault.New(fault.NotRun, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
	}
	return r, nil
}

// runKeyedTransaction returns the reply to the batch or, if its key exists, the first outcome.
func (w *Work) runKeyedTransaction(ctx context.Context, b *wire.Batch) (*reply, *storedOutcome, error) {
	if _, err := w.queryBeforeCommit(ctx, "BEGIN", "BEGIN"); err != nil {
		return nil, nil, err
	}
	first, err := w.claimKey(ctx, b)
	if err != nil || first != nil {
		return nil, first, err
	}
	r, err := w.exchange(ctx, b, nil)
	if err != nil {
		return nil, nil, fault.New(fault.NotRun, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
	}
	if r.status != InTransaction {
		_, err := w.queryBeforeCommit(ctx, "ROLLBACK", "ROLLBACK")
		r.overrideStatus(Idle)
		return r, nil, err
	}
	if _, err := w.queryBeforeCommit(ctx, fmt.Sprintf(updateOutcomeSQL, quote(r.commandTag), quote(b.Key)), "UPDATE"); err != nil {
		return nil, nil, err
	}
	return w.commitKeyed(ctx, r)
}

// commitKeyed commits the transaction of a keyed batch and adds the commit's position to the
// batch's reply.
func (w *Work) commitKeyed(ctx context.Context, r *reply) (*reply, *storedOutcome, error) {
	committed, err := w.query(ctx, "COMMIT", "COMMIT")
	if err != nil {
		return nil, nil, fault.New(fault.MayHaveRun, fault.ConnectionLost, "connection to the backend server was lost during the commit").WithCause(err)
	}
	if committed.sqlState == sqlStateReadOnly {
		return nil, nil, fault.New(fault.NotRun, fault.TermSealed, "primary rejected a write because it was replaced")
	}
	if committed.sqlState != "" {
		return nil, nil, fault.New(fault.MayHaveRun, fault.Internal, "commit failed with SQLSTATE %s", committed.sqlState)
	}
	r.position = committed.position
	r.overrideStatus(Idle)
	return r, nil, nil
}

// claimKey inserts the key in the open transaction. If the key exists, it ends the transaction and
// returns the first outcome. After any other failed insert it creates the table, which may not
// exist yet, and tries once more.
func (w *Work) claimKey(ctx context.Context, b *wire.Batch) (*storedOutcome, error) {
	for try := 0; ; try++ {
		r, err := w.queryBeforeCommit(ctx, w.keyInsertion(b), "INSERT")
		if err != nil || r.sqlState == "" {
			return nil, err
		}
		if _, err := w.queryBeforeCommit(ctx, "ROLLBACK", "ROLLBACK"); err != nil {
			return nil, err
		}
		switch {
		case r.sqlState == sqlStateUniqueViolation:
			return w.loadOutcome(ctx, b)
		case r.sqlState == sqlStateReadOnly:
			return nil, fault.New(fault.NotRun, fault.TermSealed, "primary rejected a write because it was replaced")
		case try > 0:
			return nil, fault.New(fault.NotRun, fault.Internal, "cannot record the idempotency key: SQLSTATE %s", r.sqlState)
		}
		if _, err := w.queryBeforeCommit(ctx, createKeysSQL, "CREATE"); err != nil {
			return nil, err
		}
		if _, err := w.queryBeforeCommit(ctx, "BEGIN", "BEGIN"); err != nil {
			return nil, err
		}
	}
}

// keyInsertion returns the statement that inserts the batch's key, preceded by the deletion of
// expired keys when that is due.
func (w *Work) keyInsertion(b *wire.Batch) string {
	now := w.pool.h.Now().Unix()
	text := fmt.Sprintf(insertKeySQL, quote(b.Key), quote(w.signed(digest(b.Data))), now)
	if w.pool.keyExpiryDue() {
		text = fmt.Sprintf(deleteExpiredSQL, now-keyRetention) + "; " + text
	}
	return text
}

// keyExpiryDue counts a keyed write and reports whether it should delete expired keys.
func (p *pool) keyExpiryDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keyedWrites++
	return p.keyedWrites%keyExpiryInterval == 0
}

// insertKey inserts a key in the caller's own transaction. If the key exists, the transaction has
// run before.
func (w *Work) insertKey(ctx context.Context, b *wire.Batch) error {
	r, err := w.queryBeforeCommit(ctx, fmt.Sprintf(insertKeySQL, quote(b.Key), quote(w.signed(transactionDigest)), w.pool.h.Now().Unix()), "INSERT")
	switch {
	case err != nil:
		return err
	case r.sqlState == sqlStateUniqueViolation:
		if err := w.checkOwner(ctx, b); err != nil {
			return err
		}
		return fault.New(fault.Ran, fault.RequestKeyReused, "transaction with idempotency key %q has already run", b.Key)
	case r.sqlState != "":
		return fault.New(fault.NotRun, fault.BadRequestKey, "cannot record the idempotency key: SQLSTATE %s; set it before the transaction's first statement", r.sqlState)
	}
	return nil
}

// checkOwner rolls the caller's transaction back and returns an error unless its key is the caller's.
func (w *Work) checkOwner(ctx context.Context, b *wire.Batch) error {
	_, err := w.queryBeforeCommit(ctx, "ROLLBACK", "ROLLBACK")
	var r *reply
	if err == nil {
		r, err = w.queryBeforeCommit(ctx, fmt.Sprintf(selectOutcomeSQL, quote(b.Key)), "SELECT")
	}
	if err != nil || len(r.rows) != 1 || len(r.rows[0]) != 2 {
		return fault.New(fault.MayHaveRun, fault.ConnectionLost, "transaction with idempotency key %q may have run before", b.Key).WithCause(err)
	}
	if _, own := w.isOwn(string(r.rows[0][0])); !own {
		return errForeignKey(b.Key)
	}
	return nil
}

// loadOutcome returns the outcome stored with the batch's key. The key must have been used by the
// same caller for the same statement.
func (w *Work) loadOutcome(ctx context.Context, b *wire.Batch) (*storedOutcome, error) {
	r, err := w.queryBeforeCommit(ctx, fmt.Sprintf(selectOutcomeSQL, quote(b.Key)), "SELECT")
	if err != nil {
		return nil, err
	}
	if len(r.rows) != 1 || len(r.rows[0]) != 2 {
		return nil, fault.New(fault.MayHaveRun, fault.Internal, "idempotency key %q has no stored outcome", b.Key)
	}
	statement, own := w.isOwn(string(r.rows[0][0]))
	if !own {
		return nil, errForeignKey(b.Key)
	}
	if statement != digest(b.Data) {
		return nil, fault.New(fault.NotRun, fault.RequestKeyReused, "idempotency key %q was already used for a different statement", b.Key)
	}
	return &storedOutcome{commandTag: string(r.rows[0][1])}, nil
}

// replay responds with the first outcome, once everything on the primary is replicated: the first
// request's commit may not be replicated yet.
func (w *Work) replay(ctx context.Context, b *wire.Batch, first *storedOutcome, sink Sink) (Outcome, error) {
	p := w.pool
	s := w.conn.server
	st, err := s.adapter.Status(ctx)
	if err != nil || !st.Primary || st.Term != w.term {
		w.closeConn()
		return Outcome{}, fault.New(fault.MayHaveRun, fault.NotReplicated, "outcome of the first request could not be confirmed as replicated")
	}
	position := token.Position{Term: st.Term, Position: st.Position}
	if err := p.awaitReplication(ctx, position); err != nil {
		w.closeConn()
		return Outcome{}, err
	}
	w.releaseConn(ctx)
	p.h.Meter.AddCounter("keys.replayed", 1)
	return Outcome{Status: Idle, Position: position}, sink(replayResponse(b.Data, first.commandTag))
}

// replayResponse returns the response to a batch whose statement completed with the command tag.
func replayResponse(data []byte, tag string) []byte {
	var out []byte
	for len(data) > 0 {
		kind, n := data[0], messageSize(data)
		switch kind {
		case 'P': // Parse: ParseComplete
			out = adapt.AppendMessage(out, '1', nil)
		case 'B': // Bind: BindComplete
			out = adapt.AppendMessage(out, '2', nil)
		case 'C': // Close: CloseComplete
			out = adapt.AppendMessage(out, '3', nil)
		case 'D': // Describe: NoData
			out = adapt.AppendMessage(out, 'n', nil)
		case 'E', 'Q': // Execute, Query: CommandComplete
			out = adapt.AppendMessage(out, 'C', append([]byte(tag), 0))
		}
		data = data[n:]
	}
	return adapt.AppendMessage(out, 'Z', []byte{Idle})
}

// messageSize returns the size in bytes of the first message in b, or all of b if the message is
// malformed or incomplete.
func messageSize(b []byte) int {
	n, ok := adapt.MessageSize(b)
	if !ok {
		return len(b)
	}
	return min(n, len(b))
}

// overrideStatus changes the transaction state in the final ReadyForQuery of the response.
func (r *reply) overrideStatus(status byte) {
	r.status = status
	if r.ready && len(r.buf) > 0 {
		r.buf[len(r.buf)-1] = status
	}
}
