package lease

import "time"

// Tenure is a host's own view of its lease. It is not safe for concurrent use.
type Tenure struct {
	seq   uint64
	sent  map[uint64]time.Time
	until time.Time
	term  uint64
}

// maxPending is the number of renewals without an answer whose times are kept.
const maxPending = 64

// Asked records that a renewal is about to be sent and returns its sequence number.
func (t *Tenure) Asked(now time.Time) uint64 {
	if t.sent == nil {
		t.sent = map[uint64]time.Time{}
	}
	t.seq++
	t.sent[t.seq] = now
	delete(t.sent, t.seq-maxPending)
	return t.seq
}

// Granted records a grant for the renewal seq by the leader of a term. It counts from
// before the renewal was sent. A grant of an older term than was seen has no effect.
func (t *Tenure) Granted(seq, term uint64, length time.Duration) {
	if !t.Saw(term) {
		return
	}
	at, known := t.sent[seq]
	if !known {
		return
	}
	delete(t.sent, seq)
	until := at.Add(length - length/driftShare)
	if until.After(t.until) {
		t.until = until
	}
}

// Saw records the term of a control leader. It reports false for one that was replaced.
func (t *Tenure) Saw(term uint64) bool {
	if term < t.term {
		return false
	}
	t.term = term
	return true
}

// Reset forgets renewals that are under way; the lease that is held goes on.
func (t *Tenure) Reset() { t.sent = nil }

// Valid reports whether the host holds a lease.
func (t *Tenure) Valid(now time.Time) bool { return now.Before(t.until) }

// Until returns when the lease runs out.
func (t *Tenure) Until() time.Time { return t.until }
