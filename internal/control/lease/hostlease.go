package lease

import "time"

// HostLease tracks a host's own lease. Its zero value has no lease. It is not safe for concurrent
// use.
type HostLease struct {
	// seq is the sequence number of the latest renewal request; sentAt holds when those without
	// an answer were sent.
	seq    uint64
	sentAt map[uint64]time.Time
	end    time.Time
	// confirmed is when the latest renewal request that was granted was sent.
	confirmed time.Time
	// term is the latest term of a control leader that the host has seen.
	term uint64
}

// maxPendingRenewals is the maximum number of renewal requests that are tracked until answered.
// Older ones are dropped.
const maxPendingRenewals = 64

// StartRenewal returns the sequence number for a renewal request that is about to be sent at now.
func (l *HostLease) StartRenewal(now time.Time) uint64 {
	if l.sentAt == nil {
		l.sentAt = map[uint64]time.Time{}
	}
	l.seq++
	l.sentAt[l.seq] = now
	delete(l.sentAt, l.seq-maxPendingRenewals)
	return l.seq
}

// RecordGrant extends the lease after the leader of a term has granted the renewal request seq.
// The duration counts from when the request was sent, less the margin for clock drift. It has no
// effect if the term is older than one seen before or if the request is no longer tracked.
func (l *HostLease) RecordGrant(seq, term uint64, duration time.Duration) {
	if !l.ObserveTerm(term) {
		return
	}
	at, known := l.sentAt[seq]
	if !known {
		return
	}
	delete(l.sentAt, seq)
	if at.After(l.confirmed) {
		l.confirmed = at
	}
	until := at.Add(duration - duration/clockDriftDivisor)
	if until.After(l.end) {
		l.end = until
	}
}

// ObserveTerm records the term of a control leader. It returns false if a newer term was seen
// before, that is if the leader has been replaced.
func (l *HostLease) ObserveTerm(term uint64) bool {
	if term < l.term {
		return false
	}
	l.term = term
	return true
}

// ForgetPending drops the renewal requests without an answer. The current lease is unaffected.
func (l *HostLease) ForgetPending() { l.sentAt = nil }

// Valid reports whether the host holds a lease at now.
func (l *HostLease) Valid(now time.Time) bool { return now.Before(l.end) }

// End returns when the lease ends, or the zero time if the host never had one.
func (l *HostLease) End() time.Time { return l.end }

// Confirmed returns a time up to which the host has all committed changes: when it sent the latest
// renewal request that was granted, or the zero time if there was none. The grant of a request
// carries all changes that were committed before it.
func (l *HostLease) Confirmed() time.Time { return l.confirmed }
