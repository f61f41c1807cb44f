// Package flow provides the values that pass between a caller's codec and a backend server's:
// statements, requests to a backend server and answers. It knows no wire format.
package flow

import (
	"bufio"

	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

// Kind is what a statement does.
type Kind int

// The kinds of statements.
const (
	// Malformed statements are answered with an error.
	Malformed Kind = iota
	Begin
	// BeginRead opens a transaction that writes nothing.
	BeginRead
	Commit
	Rollback
	Read
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement of a shape.
	Prepare
	// Exec runs a prepared statement.
	Exec
	// Deallocate drops a prepared statement.
	Deallocate
)

var kindNames = [...]string{"malformed", "begin", "beginread", "commit", "rollback", "read", "write", "set", "prepare", "exec", "forget"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's id of the request.
	ID string
	// Text is the statement as the caller sent it.
	Text string
	Kind Kind
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is that of a session value.
	Value string
	// Template and Writes describe a statement that is prepared.
	Template string
	Writes   bool
	// Args are the arguments of a prepared statement that is run.
	Args string
}

// State is that of a session or of a connection to a backend server.
type State byte

// The states.
const (
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// InFailedTransaction means that the transaction has failed and must be ended.
	InFailedTransaction
)

// Code is the cause of an error answer.
type Code int

// The codes. What each promises to a caller is told by Promises.
const (
	OK Code = iota
	Busy
	Aborted
	Behind
	ReadOnly
	Misdirected
	TooMany
	Failed
	NoStatement
	Timeout
	Denied
	NoDatabase
	TooLarge
	Invalid
	InDoubt
	// Overloaded means that this system has not sent the statement, since it would get no slot in
	// time.
	Overloaded
	// Unknown stands for a code that the codec does not know.
	Unknown
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "behind", "readonly", "misdirected", "toomany", "failed", "nostatement",
	"timeout", "denied", "nodatabase", "toolarge", "invalid", "indoubt", "crowded", "unknown",
}

// String returns the name of the code as it stands in counters and log lines.
func (c Code) String() string { return codeNames[c] }

// GuaranteesNoEffect reports whether the code tells a caller that nothing of its attempt is kept.
func (c Code) GuaranteesNoEffect() bool {
	switch c {
	case Busy, Aborted, Behind, ReadOnly, Misdirected, TooMany, Overloaded:
		return true
	}
	return false
}

// NotRun reports whether the code, as the answer of a backend server, means that the
// statement did not run there.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Behind, ReadOnly, Misdirected, TooMany, Overloaded:
		return true
	}
	return false
}

// Answer is the answer to one statement.
type Answer struct {
	// Rows are the rows in the order of the answer.
	Rows [][]byte
	// Proof is the backend server's proof that it ran the statement; empty where the system
	// answered by itself.
	Proof string
	Code  Code
	Text  string
	State State
	// Position is the position that the backend server reports; zero where it reports none.
	Position token.Position
}

// SuccessAnswer returns an answer that the system gives by itself.
func SuccessAnswer(st State) Answer { return Answer{State: st} }

// ErrorAnswer returns an error answer.
func ErrorAnswer(c Code, st State, text string) Answer { return Answer{Code: c, State: st, Text: text} }

// Op is what a request asks of a backend server.
type Op int

// The operations. Those other than Forward are the system's own.
const (
	// Forward passes a caller's statement on with its id and text.
	Forward Op = iota
	// ExecPrepared runs a prepared statement of a caller under the connection's name for it.
	ExecPrepared
	BeginReadWriteTx
	BeginReadOnlyTx
	RollbackTx
	ResetSession
	SetValue
	PrepareStatement
	QueryStatus
	// PauseReplication stops a replica from receiving; Release lets it go on.
	PauseReplication
	ResumeReplication
	// QueryPosition asks for the position alone and takes no slot.
	QueryPosition
)

// Request is one request to a backend server.
type Request struct {
	Op Op
	// ID and Text are those of the caller's statement.
	ID   string
	Text string
	// MinPosition, where not zero, is the position that the server's log must hold.
	MinPosition token.Position
	// Name, Value and Shape are those of Assign, Define and Run. Writes is set for what writes or
	// commits.
	Name     string
	Value    string
	Template string
	Writes   bool
	// Term is that of Hold.
	Term uint64
}

// Codec speaks with backend servers. All fields are set.
type Codec struct {
	// AppendStartup appends the opening of a connection to an instance of a group.
	AppendStartup func(b []byte, group, instance string) []byte
	// ReadStartupAnswer reads the answer to the opening.
	ReadStartupAnswer func(r *bufio.Reader) (Answer, error)
	// AppendRequest appends a request.
	AppendRequest func(b []byte, q Request) []byte
	// ReadAnswer reads one whole answer. After an error the connection is of no more use.
	ReadAnswer func(r *bufio.Reader) (Answer, error)
}
