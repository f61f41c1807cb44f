package pool

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

const (
	// maxAnswers is the number of answers after which a connection is not used again.
	maxAnswers = 1024
	// mostAnswers is the number of answers after which a use of a connection ends.
	mostAnswers = 64 * maxAnswers
	// recentAnswers is the number of answers of which the request is kept, and keptID the number of bytes
	// that are kept of its ID.
	recentAnswers = 32
	keptID        = 64
)

// Finding is what can be said of an answer.
type Finding int

const (
	// Genuine means that the answer is the one to the request.
	Genuine Finding = iota
	// Uncertain means that it fits, but may be an earlier answer given again.
	Uncertain
	// Repeated means that it is an earlier answer given again.
	Repeated
	// Unfit means that no instance gives it to the request.
	Unfit
)

// String returns the name of the finding used in metrics and log lines.
func (f Finding) String() string { return [...]string{"genuine", "uncertain", "repeated", "unfit"}[f] }

// Exchange is a request on a connection.
type Exchange struct {
	Request flow.Request
	// InTransaction is set if a transaction is open before the request.
	InTransaction bool
	// Ends is set if the request commits or rolls back.
	Ends bool
}

// fits reports whether an instance can give the answer to the request: successful answers to callers'
// statements always carry a proof, those to internal operations never do, and the state follows from the
// state before.
func (x Exchange) fits(a flow.Answer) bool {
	caller := x.Request.Op == flow.Forward || x.Request.Op == flow.ExecPrepared
	switch {
	case a.Code == flow.Behind && x.Request.MinPosition == (token.Position{}):
		return false
	case a.Code != flow.OK && !x.InTransaction:
		return a.State == flow.Idle
	case a.Code != flow.OK:
		return a.State != flow.Idle || x.Ends
	case caller == (a.Proof == ""):
		return false
	case opensTransaction(x.Request.Op):
		return a.State == flow.InTransaction && !a.Position.Before(x.Request.MinPosition)
	case x.Request.Op == flow.RollbackTx || !x.InTransaction:
		return a.State == flow.Idle
	}
	return a.State == flow.InTransaction || x.Ends && a.State == flow.Idle
}

// Answers is the record of the answers on one connection. Answers name no request, so that only their order
// tells to which one they belong, and an instance may give any of them again at any later time. Each proof is
// given to one execution; an answer without a proof is genuine if no equal one came before.
type Answers struct {
	seen map[uint64]struct{}
	// unsettled is set once an answer was uncertain, until one is genuine: the true answer may still arrive.
	unsettled bool
	recent    [recentAnswers]givenAnswer
	next      int
}

// givenAnswer is an answer with the ID of the request that it belongs to.
type givenAnswer struct {
	digest uint64
	id     string
	at     time.Time
}

// Judge records the next answer and returns what can be said of it as the answer to a request.
func (r *Answers) Judge(now time.Time, x Exchange, a flow.Answer) Finding {
	d := digest(a)
	_, again := r.seen[d]
	switch {
	case again && a.Proof != "":
		return Repeated
	case !x.fits(a):
		return Unfit
	}
	if !again {
		r.note(now, d, x.Request.ID)
	}
	r.unsettled = again || r.unsettled && !settles(x, a)
	if r.unsettled {
		return Uncertain
	}
	return Genuine
}

// settles reports whether an answer that has not been seen before shows that all earlier ones were genuine: it
// can't be the answer to a request that sets values or prepares a statement.
func settles(x Exchange, a flow.Answer) bool {
	switch a.Code {
	case flow.OK:
		return a.Proof != "" || opensTransaction(x.Request.Op)
	case flow.ReadOnly, flow.Behind, flow.NoStatement:
		return !x.InTransaction
	}
	return false
}

// note records an answer that has not been seen before.
func (r *Answers) note(now time.Time, d uint64, id string) {
	if r.seen == nil {
		r.seen = map[uint64]struct{}{}
	}
	r.seen[d] = struct{}{}
	r.recent[r.next%recentAnswers] = givenAnswer{d, strings.Clone(id[:min(len(id), keptID)]), now}
	r.next++
}

// Unsettled reports whether the latest answers may have been earlier ones, so that the true ones may still arrive.
func (r *Answers) Unsettled() bool { return r.unsettled }

// full reports whether the connection is not to be used again.
func (r *Answers) full() bool { return len(r.seen) >= maxAnswers }

// exhausted reports whether no more answers can be recorded.
func (r *Answers) exhausted() bool { return len(r.seen) >= mostAnswers }

// origin returns the ID of the request to which an answer was first given and how long ago that was, or false
// if too many came since.
func (r *Answers) origin(now time.Time, a flow.Answer) (string, time.Duration, bool) {
	d := digest(a)
	for _, g := range r.recent {
		if g.digest == d && !g.at.IsZero() {
			return g.id, now.Sub(g.at), true
		}
	}
	return "", 0, false
}

// latest returns the ID of the request of the latest new answer and how long ago that came.
func (r *Answers) latest(now time.Time) (string, time.Duration, bool) {
	if r.next == 0 {
		return "", 0, false
	}
	g := r.recent[(r.next-1)%recentAnswers]
	return g.id, now.Sub(g.at), true
}

// digest returns a hash that is equal for equal answers: of the proof or, without one, of the whole answer. Errors are
// equal whatever the state and the position.
func digest(a flow.Answer) uint64 {
	h := xxhash.New()
	if a.Proof != "" {
		_, _ = h.WriteString(a.Proof)
		return h.Sum64()
	}
	var b [18]byte
	b[0] = byte(a.Code)
	if a.Code == flow.OK {
		b[1] = byte(a.State)
		binary.LittleEndian.PutUint64(b[2:], a.Position.Term)
		binary.LittleEndian.PutUint64(b[10:], a.Position.Position)
	}
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(a.Text)
	for _, row := range a.Rows {
		_, _ = h.Write(row)
	}
	return h.Sum64()
}
