// Package flow defines the protocol-neutral types that pass between the caller's protocol and the
// backend server's: statements, requests to a backend server and answers. It also decides which
// failed statements may be retried and what callers are told about them.
package flow

import (
	"bufio"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Kind is the kind of a statement.
type Kind int

// The kinds of statements.
const (
	// Malformed is a statement that the codec cannot parse. It is answered with an error.
	Malformed Kind = iota
	Begin
	// BeginRead begins a read-only transaction.
	BeginRead
	Commit
	Rollback
	Read
	Write
	// Set sets a session value.
	Set
	// Prepare names a statement template.
	Prepare
	// Exec runs a prepared statement.
	Exec
	// Deallocate drops a prepared statement.
	Deallocate
)

var kindNames = [...]string{"malformed", "begin", "beginread", "commit", "rollback", "read", "write", "set", "prepare", "exec", "forget"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement sent by a caller.
type Statement struct {
	// ID is the request ID chosen by the caller.
	ID string
	// Text is the statement as the caller sent it.
	Text string
	Kind Kind
	// Name is the name of the session value (Set) or of the prepared statement (Prepare, Exec,
	// Deallocate).
	Name string
	// Value is the new session value (Set).
	Value string
	// Template is the text of the prepared statement (Prepare); Writes is set if it writes.
	Template string
	Writes   bool
	// Args are the arguments of an Exec, as the caller sent them.
	Args string
}

// State is the transaction state of a session or of a connection to a backend server.
type State byte

// The transaction states.
const (
	Idle State = iota
	// InTransaction means that a transaction is open and has not failed.
	InTransaction
	// InFailedTransaction means that the open transaction has failed; only a commit or rollback is
	// accepted, and both roll back.
	InFailedTransaction
)

// Code is the result code of an answer.
type Code int

// The result codes. GuaranteesNoEffect tells which of them promise that nothing was applied.
const (
	OK Code = iota
	// Busy means that the server or host has no capacity now; the statement did not run.
	Busy
	// Aborted means that the statement or its transaction was rolled back.
	Aborted
	// Behind means that the replica has not yet reached the required log position.
	Behind
	// ReadOnly means that the instance accepts no writes, as after a failover.
	ReadOnly
	// Misdirected means that the request reached the wrong instance.
	Misdirected
	// TooMany means that the instance accepts no more connections.
	TooMany
	// Failed means that the statement failed at the backend server.
	Failed
	// NoStatement means that no prepared statement has the given name.
	NoStatement
	Timeout
	Denied
	// NoDatabase means that no database of that name is declared.
	NoDatabase
	TooLarge
	// Invalid means that the statement is malformed or not allowed in the session's state.
	Invalid
	// InDoubt means that a write may or may not have taken effect.
	InDoubt
	// Overloaded means that the proxy shed the statement before sending it, because it would not
	// have been admitted in time.
	Overloaded
	// Unknown stands for a code that the codec does not recognize.
	Unknown
	// Leaving means that the proxy withheld the statement: the instance has announced that it leaves,
	// and its deadline for new requests has passed.
	Leaving
	// Limited means that the proxy withheld the statement: its client account has used up its allowance.
	// Other instances withhold it as well.
	Limited
	// Declined means that the proxy withheld the statement because the instance had no free slot while
	// another may have one. Callers never get it.
	Declined
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "behind", "readonly", "misdirected", "toomany", "failed", "nostatement",
	"timeout", "denied", "nodatabase", "toolarge", "invalid", "indoubt", "crowded", "unknown", "leaving", "limited", "declined",
}

// String returns the name of the code used in metrics and log lines.
func (c Code) String() string { return codeNames[c] }

// GuaranteesNoEffect reports whether the code promises a caller that the statement, or its whole
// transaction, left no effect.
func (c Code) GuaranteesNoEffect() bool {
	switch c {
	case Busy, Aborted, Behind, ReadOnly, Misdirected, TooMany, Overloaded, Leaving, Limited, Declined:
		return true
	}
	return false
}

// NotRun reports whether the code, in the answer of a backend server, means that the server did not
// run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Behind, ReadOnly, Misdirected, TooMany, Overloaded, Leaving, Limited, Declined:
		return true
	}
	return false
}

// Answer is the answer to one statement.
type Answer struct {
	// Rows are the result rows in order, encoded as the backend server sent them.
	Rows [][]byte
	// Proof is the backend server's proof that it ran the statement; empty if the proxy answered
	// without a backend server.
	Proof string
	Code  Code
	// Text is the message of an error answer.
	Text string
	// State is the transaction state after the statement.
	State State
	// Position is the log position that the backend server reported; zero if it reported none.
	Position token.Position
}

// RowBytes returns the number of bytes of the rows.
func (a Answer) RowBytes() int {
	n := 0
	for _, row := range a.Rows {
		n += len(row)
	}
	return n
}

// SuccessAnswer returns an OK answer without rows, for statements that the proxy handles itself.
func SuccessAnswer(st State) Answer { return Answer{State: st} }

// ErrorAnswer returns an answer with an error code and message.
func ErrorAnswer(c Code, st State, text string) Answer { return Answer{Code: c, State: st, Text: text} }

// Op is the operation that a request asks of a backend server.
type Op int

// The operations. Forward and ExecPrepared carry a caller's statement; the proxy issues the others
// itself.
const (
	// Forward sends a caller's statement with its ID and text.
	Forward Op = iota
	// ExecPrepared runs a caller's prepared statement under the name that it has on the connection.
	ExecPrepared
	BeginReadWriteTx
	BeginReadOnlyTx
	RollbackTx
	// ResetSession discards session values and prepared statements of the connection.
	ResetSession
	// SetValue sets a session value on the connection.
	SetValue
	PrepareStatement
	// QueryStatus asks for the status of the instance.
	QueryStatus
	// PauseReplication stops a replica from receiving the log; ResumeReplication undoes it.
	PauseReplication
	ResumeReplication
	// StepDown makes a primary a replica.
	StepDown
	// QueryPosition asks for the log position only and needs no admission slot. Only a primary
	// answers it with success.
	QueryPosition
)

// Request is one request to a backend server.
type Request struct {
	Op Op
	// ID is the caller's request ID. Text is the statement (Forward) or its arguments (ExecPrepared).
	ID   string
	Text string
	// MinPosition, if not zero, is the log position that the server must have reached.
	MinPosition token.Position
	// Name is the name of the session value (SetValue) or of the prepared statement
	// (PrepareStatement, ExecPrepared). Value is set for SetValue; Template is set for
	// PrepareStatement and ExecPrepared. Writes is set if the request writes or commits.
	Name     string
	Value    string
	Template string
	Writes   bool
	// Term is the term given to PauseReplication and StepDown: the replica stops receiving from
	// primaries of lower terms; a primary of a lower term steps down.
	Term uint64
}

// Codec encodes requests to backend servers and decodes their answers. All fields are required.
type Codec struct {
	// AppendStartup appends the startup message of a connection to an instance of a group, for a client
	// account or, if account is empty, for the proxy itself.
	AppendStartup func(b []byte, group, account, instance string) []byte
	// ReadStartupAnswer reads the answer to the startup message.
	ReadStartupAnswer func(r *bufio.Reader) (Answer, error)
	// AppendRequest appends an encoded request.
	AppendRequest func(b []byte, q Request) []byte
	// ReadAnswer reads one complete answer. After an error the connection must be closed.
	ReadAnswer func(r *bufio.Reader) (Answer, error)
}
