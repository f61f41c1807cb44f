package flow

// Stage is how far an attempt at a statement got.
type Stage int

// The stages.
const (
	// Unsent means that nothing of the statement was written to a backend server.
	Unsent Stage = iota
	// Sent means that some of it may have arrived and that no whole answer came.
	Sent
	// Answered means that a whole answer came.
	Answered
)

// String returns the name of the stage as it stands in log lines.
func (s Stage) String() string { return [...]string{"unsent", "sent", "answered"}[s] }

// Effect is what a statement may leave behind.
type Effect int

// The effects.
const (
	// Reads leaves nothing behind.
	Reads Effect = iota
	// Writes takes effect at once: a single write, or the commit of a transaction that wrote.
	Writes
	// Pending takes effect with the commit of its transaction only.
	Pending
)

// Verdict is what follows from an attempt.
type Verdict struct {
	// Retry is set where the statement may be tried again without being doubled.
	Retry bool
	// Code is what the caller is told where it is not tried again.
	Code Code
}

// VerdictFor is the one table from where an attempt stopped to what may follow. A promise that
// nothing is kept is made only where that is certain: nothing was sent, the backend server
// refused, or what was sent can have no effect without a commit.
func VerdictFor(stage Stage, effect Effect, code Code) Verdict {
	switch {
	case stage == Unsent:
		return Verdict{Retry: true, Code: Busy}
	case stage == Answered && code.NotRun():
		return Verdict{Retry: true, Code: noEffectCode(code)}
	case stage == Answered:
		return Verdict{Retry: effect == Reads && code == Failed, Code: code}
	case effect == Reads:
		return Verdict{Retry: true, Code: Aborted}
	case effect == Pending:
		return Verdict{Code: Aborted}
	}
	return Verdict{Code: InDoubt}
}

// noEffectCode returns the code that tells a caller what a backend server's refusal means. A
// refusal that is no promise in the caller's protocol becomes one.
func noEffectCode(c Code) Code {
	if c.GuaranteesNoEffect() {
		return c
	}
	return Aborted
}
