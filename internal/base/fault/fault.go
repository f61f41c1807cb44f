// Package fault provides errors that say whether the failed request may have run.
package fault

import (
	"errors"
	"fmt"
)

// Verdict says what is known of the execution of a failed request.
type Verdict int

// The verdicts, in the order of what a caller may still do about the request.
const (
	// NotRun means that the request did not run and never will: it may be sent again.
	NotRun Verdict = iota
	// MayHaveRun means that the outcome is unknown: only an idempotent request may be sent again.
	MayHaveRun
	// Ran means that the request ran and the error is its own answer.
	Ran
)

// String returns the verdict as it stands in error details.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case MayHaveRun:
		return "MayHaveRun"
	case Ran:
		return "Ran"
	}
	return fmt.Sprintf("Verdict(%d)", int(v))
}

// Reason names the cause of a refusal or a retry, as it stands in the counters.
type Reason string

// The reasons of refusals and retries.
const (
	NoLease         Reason = "nolease"
	NoLeader        Reason = "noleader"
	NoHolder        Reason = "noholder"
	NoPrimary       Reason = "noprimary"
	NoBackend       Reason = "nobackend"
	NoRoom          Reason = "noroom"
	NotHolder       Reason = "notholder"
	Sealed          Reason = "sealed"
	Deadline        Reason = "deadline"
	QueueFull       Reason = "queuefull"
	CallerLimit     Reason = "callerlimit"
	Draining        Reason = "draining"
	ReadOnly        Reason = "readonly"
	ConnectionLost  Reason = "connectionlost"
	NotReplicated   Reason = "notreplicated"
	UnknownDatabase Reason = "unknowndatabase"
	BadMessage      Reason = "badmessage"
	Unsupported     Reason = "unsupported"
	Conflict        Reason = "conflict"
	Invalid         Reason = "invalid"
	NotFound        Reason = "notfound"
	TooOld          Reason = "tooold"
	NoQuorum        Reason = "noquorum"
	Behind          Reason = "behind"
	BadToken        Reason = "badtoken"
	BadKey          Reason = "badkey"
	KeyReused       Reason = "keyreused"
	Unauthorized    Reason = "unauthorized"
	SlowReader      Reason = "slowreader"
	RetryBudget     Reason = "retrybudget"
	Internal        Reason = "internal"
)

// Error is a failure with its verdict, its reason and, where one applies, its SQLSTATE.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Text    string
	Hint    string
	Cause   error
}

// New returns an error with a formatted text.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Text: fmt.Sprintf(format, args...)}
}

// Error returns the text and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Text
	}
	return e.Text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of e that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithHint returns a copy of e that tells the user what to do.
func (e *Error) WithHint(hint string) *Error {
	c := *e
	c.Hint = hint
	return &c
}

// From returns err as an *Error; an error of another type may have run.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: Internal, Text: "internal error", Cause: err}
}

// HasReason reports whether err carries the reason r.
func HasReason(err error, r Reason) bool {
	var e *Error
	return errors.As(err, &e) && e.Reason == r
}

// SQLState returns the SQLSTATE of the reason (PostgreSQL documentation, appendix A).
func (e *Error) SQLState() string {
	if e.Verdict == MayHaveRun {
		return sqlStateOutcomeUnknown
	}
	if c, ok := sqlStates[e.Reason]; ok {
		return c
	}
	return sqlStateUnavailable
}

const (
	sqlStateOutcomeUnknown = "40003" // statement_completion_unknown
	sqlStateUnavailable    = "57P03" // cannot_connect_now
)

var sqlStates = map[Reason]string{
	Deadline:        "57014",
	QueueFull:       "53300",
	CallerLimit:     "53300",
	Draining:        "57P01",
	ReadOnly:        "25006",
	ConnectionLost:  "08006",
	UnknownDatabase: "3D000",
	BadMessage:      "08P01",
	Unsupported:     "0A000",
	BadToken:        "22023",
	BadKey:          "22023",
	KeyReused:       "23505",
	Invalid:         "22023",
	Unauthorized:    "28000",
	SlowReader:      "57P05",
}
