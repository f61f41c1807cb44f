package holder

import (
	"errors"
	"strings"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// errImpossible means that an answer, or a message of it, can't belong to the messages that were sent: answers
// carry no name of their statement, so that this alone tells one of another statement.
var errImpossible = errors.New("answer does not belong to the statement")

// expectation is what may still arrive in answer to a batch.
type expectation struct {
	// open are the messages of the batch without a complete answer, by kind: in place of Describe, describe for a
	// statement and rows for a portal.
	open []byte
	// inRows is set after a RowDescription, and answered after an answer, of a simple query.
	inRows   bool
	answered bool
	// before is the state of the connection before the batch, and commits is set if the batch may change it.
	before  byte
	commits bool
	failed  bool
}

// Steps of Describe in expectation.open.
const (
	describe = 'd'
	rows     = 'r'
)

// expectAnswer returns the expectation for a batch.
func expectAnswer(data []byte, before byte, commits bool) *expectation {
	x := &expectation{before: before, commits: commits}
	for len(data) > 0 {
		kind, n := data[0], messageSize(data)
		switch {
		case kind == 'D' && n > adapt.HeaderBytes && data[adapt.HeaderBytes] == 'S':
			kind = describe
		case kind == 'D':
			kind = rows
		}
		if kind != 'H' {
			x.open = append(x.open, kind)
		}
		data = data[n:]
	}
	return x
}

// answersByStep are, for each step of a batch, the messages that complete it.
var answersByStep = map[byte]string{'P': "1", 'B': "2", 'C': "3", rows: "Tn", 'E': "CIs"}

// comesAnyTime reports whether a message answers no statement and may come at any time: NoticeResponse,
// ParameterStatus and NotificationResponse.
func comesAnyTime(kind byte) bool { return kind == 'N' || kind == 'S' || kind == 'A' }

// takes reports whether a message of the server may come next, and takes it into account.
func (x *expectation) takes(kind byte, body []byte) bool {
	switch {
	case comesAnyTime(kind):
		return true
	case kind == 'G' || kind == 'H' || kind == 'W': // CopyInResponse, CopyOutResponse, CopyBothResponse: add refuses them
		return true
	case len(x.open) == 0:
		return false
	case kind == 'E':
		x.fail()
		return true
	}
	step := x.open[0]
	switch {
	case step == 'Q':
		return x.takesSimple(kind, body)
	case step == 'S':
		x.open = x.open[1:]
		return kind == 'Z' && x.allows(body)
	case step == describe:
		x.open[0] = rows
		return kind == 't'
	case step == 'E' && kind == 'D':
		return true
	}
	x.open = x.open[1:]
	return strings.IndexByte(answersByStep[step], kind) >= 0
}

// takesSimple is takes for the answer to a simple query.
func (x *expectation) takesSimple(kind byte, body []byte) bool {
	switch kind {
	case 'T':
		x.inRows = true
		return true
	case 'D':
		return x.inRows
	case 'C', 'I':
		x.inRows, x.answered = false, true
		return true
	case 'Z':
		x.open = x.open[1:]
		return x.answered && !x.inRows && x.allows(body)
	}
	return false
}

// fail takes an ErrorResponse into account: the server skips the rest of the batch up to its Sync.
func (x *expectation) fail() {
	x.failed, x.answered, x.inRows = true, true, false
	for len(x.open) > 0 && x.open[0] != 'S' && x.open[0] != 'Q' {
		x.open = x.open[1:]
	}
}

// allows reports whether the batch can have led to the state in a ReadyForQuery. Only a ROLLBACK TO a savepoint
// leaves a failed transaction open.
func (x *expectation) allows(body []byte) bool {
	if x.commits || len(body) != 1 {
		return true
	}
	switch x.before {
	case InTransaction:
		return body[0] == InTransaction && !x.failed || body[0] == InFailedTransaction && x.failed
	case InFailedTransaction:
		return body[0] != Idle
	}
	return body[0] == Idle
}

// afterError returns the part of a batch that a server answers which skips messages up to the next Sync.
func afterError(data []byte) []byte {
	for len(data) > 0 && data[0] != 'S' {
		data = data[messageSize(data):]
	}
	return data
}

// completes reports whether the tag of a CommandComplete is that of a statement which starts with the word.
func completes(tag, word string) bool {
	return tag == word || len(tag) > len(word) && tag[:len(word)] == word && tag[len(word)] == ' '
}
