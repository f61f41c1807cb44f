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
	createKeys = "CREATE TABLE IF NOT EXISTS agatespindle_keys (key TEXT PRIMARY KEY, digest TEXT NOT NULL, outcome TEXT NOT NULL, at BIGINT NOT NULL)"
	insertKeys = "INSERT INTO agatespindle_keys (key, digest, outcome, at) VALUES (%s, %s, '', %d)"
	updateKeys = "UPDATE agatespindle_keys SET outcome = %s WHERE key = %s"
	selectKeys = "SELECT digest, outcome FROM agatespindle_keys WHERE key = %s"
	expireKeys = "DELETE FROM agatespindle_keys WHERE at < %d"
)

// keyLife is for how long a key is kept, in seconds; a resend after that runs again.
const keyLife = 24 * 60 * 60

// expireEvery is the number of keyed writes between two removals of old keys on a holder.
const expireEvery = 1024

const codeUnique = "23505"

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func digest(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// keyed runs a batch with a request key: the key, the write and its outcome are one
// transaction. A key that is there already gets the first outcome, and nothing runs.
func (w *Work) keyed(ctx context.Context, b *wire.Batch, sink Sink, leave func()) (Outcome, error) {
	a, replay, err := w.keyedTransaction(ctx, b)
	leave()
	if err != nil {
		if w.conn != nil {
			w.drop()
		}
		return Outcome{}, err
	}
	if replay != nil {
		return w.replay(ctx, b, replay, sink)
	}
	return w.settle(ctx, a, sink)
}

// stored is the outcome of the first request with a key.
type stored struct {
	tag string
}

// step runs one statement of a keyed transaction before its commit: if the connection is
// lost here, nothing has run.
func (w *Work) step(ctx context.Context, text string) (*reply, error) {
	a, err := w.command(ctx, text)
	if err != nil {
		return a, fault.New(fault.NotRun, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
	}
	return a, nil
}

func (w *Work) keyedTransaction(ctx context.Context, b *wire.Batch) (*reply, *stored, error) {
	if _, err := w.step(ctx, "BEGIN"); err != nil {
		return nil, nil, err
	}
	first, err := w.takeKey(ctx, b)
	if err != nil || first != nil {
		return nil, first, err
	}
	a, err := w.exchange(ctx, b.Data, b.Expect, func([]byte) error { return nil })
	if err != nil {
		return nil, nil, fault.New(fault.NotRun, fault.ConnectionLost, "connection to the backend server was lost").WithCause(err)
	}
	if a.status != InTransaction {
		_, err := w.step(ctx, "ROLLBACK")
		a.setStatus(Idle)
		return a, nil, err
	}
	if _, err := w.step(ctx, fmt.Sprintf(updateKeys, quote(a.tag), quote(b.Key))); err != nil {
		return nil, nil, err
	}
	return w.commitKeyed(ctx, a)
}

func (w *Work) commitKeyed(ctx context.Context, a *reply) (*reply, *stored, error) {
	done, err := w.command(ctx, "COMMIT")
	if err != nil {
		return nil, nil, fault.New(fault.MayHaveRun, fault.ConnectionLost, "connection was lost while the write was committed").WithCause(err)
	}
	if done.code == codeReadOnly {
		return nil, nil, fault.New(fault.NotRun, fault.TermSealed, "primary refused a write, since it was replaced")
	}
	if done.code != "" {
		return nil, nil, fault.New(fault.MayHaveRun, fault.Internal, "commit failed with %s", done.code)
	}
	a.mark = done.mark
	a.setStatus(Idle)
	return a, nil, nil
}

// takeKey inserts the key into the open transaction. Where it is there already, it ends the
// transaction and returns the first outcome.
func (w *Work) takeKey(ctx context.Context, b *wire.Batch) (*stored, error) {
	for try := 0; ; try++ {
		a, err := w.step(ctx, w.insertion(b))
		if err != nil || a.code == "" {
			return nil, err
		}
		if _, err := w.step(ctx, "ROLLBACK"); err != nil {
			return nil, err
		}
		switch {
		case a.code == codeUnique:
			return w.storedOutcome(ctx, b)
		case a.code == codeReadOnly:
			return nil, fault.New(fault.NotRun, fault.TermSealed, "primary refused a write, since it was replaced")
		case try > 0:
			return nil, fault.New(fault.NotRun, fault.Internal, "request key cannot be recorded: %s", a.code)
		}
		if _, err := w.step(ctx, createKeys); err != nil {
			return nil, err
		}
		if _, err := w.step(ctx, "BEGIN"); err != nil {
			return nil, err
		}
	}
}

func (w *Work) insertion(b *wire.Batch) string {
	now := w.pool.h.Now().Unix()
	text := fmt.Sprintf(insertKeys, quote(b.Key), quote(digest(b.Data)), now)
	if w.pool.expireDue() {
		text = fmt.Sprintf(expireKeys, now-keyLife) + "; " + text
	}
	return text
}

// expireDue reports whether old keys are to be removed with this write.
func (p *pool) expireDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keyed++
	return p.keyed%expireEvery == 0
}

// insertKey inserts a key into the caller's own transaction. A key that is there already
// means that the transaction ran before.
func (w *Work) insertKey(ctx context.Context, b *wire.Batch) error {
	a, err := w.step(ctx, fmt.Sprintf(insertKeys, quote(b.Key), quote("transaction"), w.pool.h.Now().Unix()))
	switch {
	case err != nil:
		return err
	case a.code == codeUnique:
		return fault.New(fault.Ran, fault.RequestKeyReused, "transaction with request key %q has run already", b.Key)
	case a.code != "":
		return fault.New(fault.NotRun, fault.BadRequestKey, "request key cannot be recorded: %s; set it before the transaction's first statement", a.code)
	}
	return nil
}

func (w *Work) storedOutcome(ctx context.Context, b *wire.Batch) (*stored, error) {
	a, err := w.step(ctx, fmt.Sprintf(selectKeys, quote(b.Key)))
	if err != nil {
		return nil, err
	}
	if len(a.rows) != 1 || len(a.rows[0]) != 2 {
		return nil, fault.New(fault.MayHaveRun, fault.Internal, "request key %q has no outcome", b.Key)
	}
	if string(a.rows[0][0]) != digest(b.Data) {
		return nil, fault.New(fault.NotRun, fault.RequestKeyReused, "request key %q was used for another statement", b.Key)
	}
	return &stored{tag: string(a.rows[0][1])}, nil
}

// replay answers with the first outcome, once what the primary holds is replicated: the
// first request's commit may not have been.
func (w *Work) replay(ctx context.Context, b *wire.Batch, first *stored, sink Sink) (Outcome, error) {
	p := w.pool
	s := w.conn.s
	st, err := s.adapter.Status(ctx)
	if err != nil || !st.Primary || st.Term != w.term {
		w.drop()
		return Outcome{}, fault.New(fault.MayHaveRun, fault.NotReplicated, "first outcome could not be confirmed")
	}
	mark := token.Mark{Term: st.Term, Position: st.Position}
	if err := p.replicated(ctx, mark); err != nil {
		w.drop()
		return Outcome{}, err
	}
	w.release(ctx)
	p.h.Meter.AddCounter("keys.replayed", 1)
	return Outcome{Status: Idle, Mark: mark}, sink(answerOf(b.Data, first.tag))
}

// answerOf returns the answer to a batch whose statement had the outcome tag.
func answerOf(data []byte, tag string) []byte {
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

// setStatus changes the state that the reply reports at its end.
func (a *reply) setStatus(status byte) {
	a.status = status
	if a.ready && len(a.buf) > 0 {
		a.buf[len(a.buf)-1] = status
	}
}
