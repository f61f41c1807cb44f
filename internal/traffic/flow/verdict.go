package flow

// Stage is how far a try of a statement got.
type Stage int

// The stages.
const (
	// Unsent means that no part of the statement was written to a backend server.
	Unsent Stage = iota
	// Sent means that the statement may have arrived and no complete answer was received.
	Sent
	// Answered means that a complete answer was received.
	Answered
)

// String returns the name of the stage used in log lines.
func (s Stage) String() string { return [...]string{"unsent", "sent", "answered"}[s] }

// Effect is the lasting effect that a statement can have.
type Effect int

// The effects.
const (
	// Reads means no lasting effect.
	Reads Effect = iota
	// Writes means an immediate effect: a write outside of a transaction, or the commit of a
	// transaction that wrote.
	Writes
	// Pending means an effect only once the transaction commits.
	Pending
)

// Verdict is the decision after a failed try.
type Verdict struct {
	// Retry is set if the statement can be retried without the risk of applying it twice.
	Retry bool
	// Code is the result code for the caller if the statement is not retried.
	Code Code
}

// VerdictFor returns the verdict on a try that ended at a stage. Code is the backend server's code
// and matters only if stage is Answered; InDoubt means that the answer may belong to another statement.
// The verdict guarantees no effect, or allows a retry of a write, only where that is certain: nothing was
// sent, the backend server refused, or the statement has no effect without a commit.
func VerdictFor(stage Stage, effect Effect, code Code) Verdict {
	switch {
	case stage == Unsent:
		return Verdict{Retry: true, Code: Busy}
	case stage == Answered && code.NotRun():
		return Verdict{Retry: true, Code: noEffectCode(code)}
	case stage == Answered && code == InDoubt && effect == Reads:
		return Verdict{Retry: true, Code: Aborted}
	case stage == Answered:
		return Verdict{Retry: effect == Reads && code == Failed, Code: code}
	case effect == Reads:
		return Verdict{Retry: true, Code: Aborted}
	case effect == Pending:
		return Verdict{Code: Aborted}
	}
	return Verdict{Code: InDoubt}
}

// noEffectCode returns the code that tells a caller that a backend server refused the statement. It
// replaces codes that guarantee nothing in the caller's protocol by Aborted, which does.
func noEffectCode(c Code) Code {
	if c.GuaranteesNoEffect() {
		return c
	}
	return Aborted
}
