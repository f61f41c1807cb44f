package soak

import (
	"fmt"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// Outcome is what a caller was told about a statement.
type Outcome int

// Outcomes of a statement.
const (
	// MayHaveRun means that the statement may or may not have run.
	MayHaveRun Outcome = iota
	// Acked means that the statement was acknowledged.
	Acked
	// NotRun means that the statement had no effect.
	NotRun
)

// Write is one write by a caller. Each item has a single writer, which writes increasing values.
type Write struct {
	ID      string
	Item    string
	Value   int
	Outcome Outcome
	// AnsweredAt is when the caller received the answer or gave up waiting for it.
	AnsweredAt time.Time
}

// Read is one successful read of an item.
type Read struct {
	Item      string
	Value     int
	StartedAt time.Time
	// MaxAge is the allowed staleness of the answer. It does not apply if ByWriter is set: the read
	// was made by the item's writer and must return its latest acknowledged write.
	MaxAge   time.Duration
	ByWriter bool
}

// ConfigVersion is a configuration version that the control host named Host acknowledged or returned.
type ConfigVersion struct {
	Host    string
	Version uint64
	// SentAt is when the request was sent, AnsweredAt when its answer arrived.
	SentAt     time.Time
	AnsweredAt time.Time
}

// History is what callers and the operator observed.
type History struct {
	Writes []Write
	Reads  []Read
	// AckedConfigs are the acknowledged configurations, ReadConfigs those that hosts returned.
	AckedConfigs []ConfigVersion
	ReadConfigs  []ConfigVersion
	// Statements are all statements of the callers, Signals and Faults what was done to the hosts.
	Statements []Statement
	Signals    []Signal
	Faults     []Fault
	// SpareKey and Limits are the declarations of the spare key and of the hot account's limit, in order.
	SpareKey []KeyChange
	Limits   []AccountLimit
	// Sent has the statements that callers sent, completely or not, by id. Runs has what instances ran, Committed
	// how often each write is in the primary's log, and Strays what no instance should have got.
	Sent      map[string]Statement
	Runs      map[string][]mimic.Run
	Committed map[string]int
	Strays    []string
	// Extra describes what callers got that belongs to no answer.
	Extra []string
	// UnknownKeyAccepted are the hosts that opened a session for a key of no account.
	UnknownKeyAccepted []string
}

// configApplyLimit is the time after its acknowledgment by which a configuration must be in force on
// every host.
const configApplyLimit = 3 * time.Second

// Check returns a description of each consistency violation in the history. runCount returns how
// often a write occurs in the primary's log, and logIndex its index there, or -1 if it is absent.
func (h History) Check(runCount, logIndex func(id string) int) []string {
	var violations []string
	for _, w := range h.Writes {
		if s := w.check(runCount(w.ID)); s != "" {
			violations = append(violations, s)
		}
	}
	acked, index := map[string][]Write{}, map[string]int{}
	for _, w := range h.Writes {
		index[w.itemVersion()] = logIndex(w.ID)
		if w.Outcome == Acked {
			acked[w.Item] = append(acked[w.Item], w)
		}
	}
	for _, r := range h.Reads {
		if s := r.check(acked[r.Item], index); s != "" {
			violations = append(violations, s)
		}
	}
	for _, v := range h.ReadConfigs {
		if s := v.check(h.AckedConfigs); s != "" {
			violations = append(violations, s)
		}
	}
	violations = append(violations, h.checkAccounts()...)
	violations = append(violations, h.checkAnswers()...)
	cut, _ := h.judgeCuts()
	return append(violations, cut...)
}

// check compares the outcome with how often the write ran. It returns an empty string if they agree.
func (w Write) check(runs int) string {
	switch {
	case w.Outcome == Acked && runs != 1:
		return fmt.Sprintf("acknowledged write %s ran %d times", w.ID, runs)
	case w.Outcome == NotRun && runs != 0:
		return fmt.Sprintf("write %s was reported as not run but ran %d times", w.ID, runs)
	case runs > 1:
		return fmt.Sprintf("write %s ran %d times", w.ID, runs)
	}
	return ""
}

// itemVersion returns a key for the item and the value written.
func (w Write) itemVersion() string { return fmt.Sprint(w.Item, "=", w.Value) }

// check returns a description of the violation if the read missed an acknowledged write that it had to
// return, or else an empty string. It compares log indexes, not values: a write whose outcome was
// MayHaveRun may take effect after a later write was acknowledged, and reads then return the earlier
// value.
func (r Read) check(acked []Write, index map[string]int) string {
	readIndex, found := index[Write{Item: r.Item, Value: r.Value}.itemVersion()]
	if !found {
		readIndex = -1
	}
	for _, w := range acked {
		mustBeSeen := w.AnsweredAt.Before(r.StartedAt.Add(-r.MaxAge))
		if r.ByWriter {
			mustBeSeen = w.AnsweredAt.Before(r.StartedAt)
		}
		if mustBeSeen && index[w.itemVersion()] > readIndex {
			return fmt.Sprintf("read of %s returned %d, but %d had been acknowledged %s earlier (max age %s, by writer %v)", r.Item, r.Value, w.Value, r.StartedAt.Sub(w.AnsweredAt), r.MaxAge, r.ByWriter)
		}
	}
	return ""
}

// check returns a description of the violation if a later version had been acknowledged more than
// configApplyLimit before v was requested, or else an empty string.
func (v ConfigVersion) check(acked []ConfigVersion) string {
	for _, a := range acked {
		if a.Version > v.Version && a.AnsweredAt.Add(configApplyLimit).Before(v.SentAt) {
			return fmt.Sprintf("%s returned configuration version %d, but version %d had been acknowledged %s earlier", v.Host, v.Version, a.Version, v.SentAt.Sub(a.AnsweredAt))
		}
	}
	return ""
}
