// Package fault provides errors that say whether the failed request may have run, and why it failed.
package fault

import (
	"errors"
	"fmt"
)

// Verdict says whether a failed request was executed.
type Verdict int

// The verdicts, from the safest to retry to the one that must not be retried.
const (
	// NotRun means that the request did not run and never will, so it may be sent again.
	NotRun Verdict = iota
	// MayHaveRun means that the outcome is unknown, so only an idempotent request may be sent again.
	MayHaveRun
	// Ran means that the request ran and the error is its result.
	Ran
)

// String returns the name of the verdict, as error details show it.
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

// Reason is the cause of a refusal or a retry. Its text is part of counter names.
type Reason string

// The reasons of refusals and retries.
const (
	NoLease          Reason = "nolease"         // the host has no valid lease from control
	NoLeader         Reason = "noleader"        // there is no control leader, or none answered
	NoHolder         Reason = "noholder"        // the group has no holder that answers, or no host lends a connection to the instance
	NoPrimary        Reason = "noprimary"       // the group has no primary that can serve the request
	NoBackend        Reason = "nobackend"       // the backend server is gone or cannot be reached
	InstanceFull     Reason = "noroom"          // the instance accepts no more connections
	NotHolder        Reason = "notholder"       // the host is not the holder of the group
	TermSealed       Reason = "sealed"          // the term of the group ended; its primary was replaced
	Deadline         Reason = "deadline"        // the time limit of the request passed
	QueueFull        Reason = "queuefull"       // the admission queue is full
	CallerLimit      Reason = "callerlimit"     // the caller is over a limit, such as its connections or its rate
	Draining         Reason = "draining"        // the host is shutting down
	ReadOnly         Reason = "readonly"        // a replica refused a write
	ConnectionLost   Reason = "connectionlost"  // the connection to the backend server was lost
	NotReplicated    Reason = "notreplicated"   // no replica confirmed the write
	UnknownDatabase  Reason = "unknowndatabase" // the database is not known
	BadMessage       Reason = "badmessage"      // the protocol message is malformed
	Unsupported      Reason = "unsupported"     // the operation is not supported
	Conflict         Reason = "conflict"        // the state differs from what the request expects
	Invalid          Reason = "invalid"         // the content of the request is invalid
	NotFound         Reason = "notfound"        // the resource does not exist
	TooOld           Reason = "tooold"          // the revision, position or announcement is outdated
	NoQuorum         Reason = "noquorum"        // the control quorum did not commit or apply in time
	Behind           Reason = "behind"          // the host or replica has not yet applied the required revision or position
	BadSessionToken  Reason = "badtoken"        // the session token is invalid
	BadRequestKey    Reason = "badkey"          // the request key is too long or cannot be recorded
	RequestKeyReused Reason = "keyreused"       // the request key was used before
	Unauthorized     Reason = "unauthorized"    // the API token is missing or wrong
	SlowReader       Reason = "slowreader"      // the caller does not read its answer
	RetryBudget      Reason = "retrybudget"     // the retry budget is used up
	Internal         Reason = "internal"        // an unexpected error
)

// Error is a failure with its verdict and its reason.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Text    string // the message for the caller
	Hint    string // what the caller can do, or empty
	Cause   error  // the wrapped error, or nil
}

// New returns an error with a text formatted as by fmt.Sprintf.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Text: fmt.Sprintf(format, args...)}
}

// Error returns the text, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Text
	}
	return e.Text + ": " + e.Cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of e that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithHint returns a copy of e with a hint for the caller.
func (e *Error) WithHint(hint string) *Error {
	c := *e
	c.Hint = hint
	return &c
}

// From returns the *Error in the chain of err, or nil if err is nil. An error without one becomes an
// internal error with the verdict MayHaveRun, since nothing is known about the request.
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

// HasReason reports whether the chain of err contains an *Error with the reason r.
func HasReason(err error, r Reason) bool {
	var e *Error
	return errors.As(err, &e) && e.Reason == r
}

// SQLState returns the SQLSTATE code of the error (PostgreSQL documentation, appendix A). An unknown
// outcome has a code of its own, whatever the reason.
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

// sqlStates are the codes by reason; other reasons have sqlStateUnavailable.
var sqlStates = map[Reason]string{
	Deadline:         "57014", // query_canceled
	QueueFull:        "53300", // too_many_connections
	CallerLimit:      "53300", // too_many_connections
	Draining:         "57P01", // admin_shutdown
	ReadOnly:         "25006", // read_only_sql_transaction
	ConnectionLost:   "08006", // connection_failure
	UnknownDatabase:  "3D000", // invalid_catalog_name
	BadMessage:       "08P01", // protocol_violation
	Unsupported:      "0A000", // feature_not_supported
	BadSessionToken:  "22023", // invalid_parameter_value
	BadRequestKey:    "22023", // invalid_parameter_value
	RequestKeyReused: "23505", // unique_violation
	Invalid:          "22023", // invalid_parameter_value
	Unauthorized:     "28000", // invalid_authorization_specification
	SlowReader:       "57P05", // idle_session_timeout
}
