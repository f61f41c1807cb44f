package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

const (
	// lossSlack is how long after it was sent a statement that reached no instance may be cut.
	lossSlack = 200 * time.Millisecond
	// stableWindow is how long before a statement an unplanned fault excuses a missing answer.
	stableWindow = 4 * time.Second
	// grace is the time from SIGTERM to SIGKILL, and stopSlack how long after it answers are judged.
	grace     = graceSeconds * time.Second
	stopSlack = time.Second
	// earlySend is how long after SIGTERM a statement may be sent that an instance may still execute
	// near the end of grace.
	earlySend = 3 * time.Second
	// routeTimeout is the timeout of every route.
	routeTimeout = 800 * time.Millisecond
)

// Ending is how a statement ended for its caller.
type Ending int

// Endings of a statement.
const (
	// Answered means that the complete answer arrived.
	Answered Ending = iota
	// ConnectionEnded means that the connection ended before.
	ConnectionEnded
	// LimitReached means that the caller gave up waiting.
	LimitReached
)

// Statement is a statement that was sent completely.
type Statement struct {
	ID   string
	Text string
	// Host took the statement, and Caller is the kind of its caller.
	Host          string
	Caller        string
	InTransaction bool
	// Account is the client account of the caller, and Key the key that it used; empty if there are none.
	Account string
	Key     string
	// OpenedAt is when the connection was opened, and SentAt when the statement had been sent.
	OpenedAt time.Time
	SentAt   time.Time
	// FirstAt is when the statements before it had ended, if that was after SentAt.
	FirstAt time.Time
	Ending  Ending
	EndedAt time.Time
	// Runs are the executions at instances.
	Runs []mimic.Run
	// Attempt is the id of the first statement of the transaction, or of the statement itself.
	Attempt string
	// Shape is what the caller prepared under the statement's name, READ or WRITE and the shape.
	Shape string
	// Values are the session values that were acknowledged. They must not be changed.
	Values map[string]string
	// Want, if set, is the row that a success has to hold.
	Want *string
	// Outcome, Error, Proof and Rows are what the answer told; Error is its code, if it was one.
	Outcome Outcome
	Error   string
	Proof   string
	Rows    []string
}

// Signal is a planned signal to a host.
type Signal struct {
	Host   string
	Signal syscall.Signal
	At     time.Time
}

// Fault is an unplanned fault. An empty Host means that it may affect every statement.
type Fault struct {
	Host string
	At   time.Time
}

// judgeCuts describes the statements whose answers were cut around planned work: those that no
// exception allows, and the others.
func (h History) judgeCuts() (cut, excused []string) {
	for _, s := range h.Statements {
		sig, ok := s.cutBy(h.Signals)
		if !ok {
			continue
		}
		if reasons := s.excuses(h.Signals, h.Faults); len(reasons) > 0 {
			excused = append(excused, s.describe(sig)+", excused: "+strings.Join(reasons, ", "))
		} else {
			cut = append(cut, s.describe(sig))
		}
	}
	return cut, excused
}

// cutBy returns the first signal around which the statement lost its answer, and false if there is
// none.
func (s Statement) cutBy(signals []Signal) (Signal, bool) {
	if s.Ending == Answered || len(s.Runs) == 0 && s.EndedAt.Sub(s.SentAt) <= lossSlack {
		return Signal{}, false
	}
	for _, sig := range signals {
		if sig.Host == s.Host && !s.EndedAt.Before(sig.At) && s.isNear(sig) {
			return sig, true
		}
	}
	return Signal{}, false
}

// isNear reports whether a statement that ended after the signal was cut within the time in which its
// host has to answer it.
func (s Statement) isNear(sig Signal) bool {
	if sig.Signal == syscall.SIGHUP {
		return s.SentAt.Sub(sig.At) <= configApplyLimit
	}
	return s.EndedAt.Sub(sig.At) <= grace+stopSlack
}

// excuses returns the reasons for which the missing answer is no violation.
func (s Statement) excuses(signals []Signal, faults []Fault) []string {
	var reasons []string
	if s.Ending == LimitReached {
		reasons = append(reasons, "caller's limit")
	}
	if s.EndedAt.Sub(s.turn()) >= routeTimeout {
		reasons = append(reasons, "route's timeout")
	}
	for _, r := range s.Runs {
		if r.BrokeOff {
			reasons = append(reasons, r.Instance+" broke off")
		}
		for _, sig := range signals {
			if sig.Host == s.Host && sig.Signal == syscall.SIGTERM && s.isLongRun(r, sig) {
				reasons = append(reasons, r.Instance+" at work at the end of grace")
			}
		}
	}
	for _, f := range faults {
		if (f.Host == "" || f.Host == s.Host) && !f.At.Before(s.SentAt.Add(-stableWindow)) && !f.At.After(s.EndedAt) {
			return append(reasons, "unplanned fault")
		}
	}
	return reasons
}

// turn returns when the statement was both sent and the first without an answer.
func (s Statement) turn() time.Time {
	if s.FirstAt.After(s.SentAt) {
		return s.FirstAt
	}
	return s.SentAt
}

// isLongRun reports whether the statement was sent early after the SIGTERM, or before, and its run had
// not ended in the last sixth of the grace period, in which the statement was cut.
func (s Statement) isLongRun(r mimic.Run, sig Signal) bool {
	lateFrom, end := sig.At.Add(grace-grace/6), sig.At.Add(grace)
	atWork := r.EndedAt.IsZero() || r.EndedAt.After(lateFrom)
	return s.SentAt.Sub(sig.At) <= earlySend && atWork && s.EndedAt.After(lateFrom) && !s.EndedAt.After(end)
}

// describe returns what is known about a statement that was cut after the signal.
func (s Statement) describe(sig Signal) string {
	text, _, _ := strings.Cut(s.Text, " ")
	if s.InTransaction {
		text += " in a transaction"
	}
	what := fmt.Sprintf("%s %q of a caller of kind %s at %s cut %.2fs after %s, sent %.2fs before, the first for %.2fs, connection opened %+.2fs from the signal",
		text, s.ID, s.Caller, s.Host, s.EndedAt.Sub(sig.At).Seconds(), sig.Signal, s.EndedAt.Sub(s.SentAt).Seconds(),
		s.EndedAt.Sub(s.turn()).Seconds(), s.OpenedAt.Sub(sig.At).Seconds())
	if len(s.Runs) == 0 {
		return what + ", reached no instance"
	}
	for _, r := range s.Runs {
		what += fmt.Sprintf(", reached %s %.2fs before", r.Instance, s.EndedAt.Sub(r.ArrivedAt).Seconds())
		if !r.EndedAt.IsZero() {
			what += fmt.Sprintf(" (ended %+.2fs)", r.EndedAt.Sub(s.EndedAt).Seconds())
		}
	}
	return what
}
