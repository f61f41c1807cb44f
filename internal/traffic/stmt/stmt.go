// Package stmt classifies SQL statements by their first words. It doesn't parse SQL: a statement
// that looks like a read is tried on a replica, which rejects it if it writes.
package stmt

import "strings"

// Kind is the kind of a statement; it decides how the proxy handles the statement.
type Kind int

// The kinds of statements.
const (
	// Other statements are not recognized; they go to the primary.
	Other Kind = iota
	// Read statements can run on a replica, unless the replica rejects them as writes.
	Read
	// Write statements go to the primary and don't end a transaction.
	Write
	// Begin statements open a transaction.
	Begin
	// End statements commit or roll back a transaction.
	End
	// Set, Show and Reset statements concern one session parameter.
	Set
	Show
	Reset
	// Discard statements drop session state, such as prepared statements.
	Discard
	// Unsupported statements need a dedicated session on the backend server.
	Unsupported
	// Empty statements hold only blanks, comments and separators.
	Empty
)

// kindByVerb maps the first word of a statement, in upper case, to its kind. Other words give
// Other.
var kindByVerb = map[string]Kind{
	"SELECT": Read, "WITH": Read, "VALUES": Read, "TABLE": Read, "EXPLAIN": Read,
	"INSERT": Write, "UPDATE": Write, "DELETE": Write, "MERGE": Write, "SAVEPOINT": Write, "RELEASE": Write,
	"BEGIN": Begin, "START": Begin,
	"COMMIT": End, "END": End, "ROLLBACK": End, "ABORT": End,
	"SET": Set, "SHOW": Show, "RESET": Reset, "DISCARD": Discard, "DEALLOCATE": Discard,
	"COPY": Unsupported, "LISTEN": Unsupported, "UNLISTEN": Unsupported, "PREPARE": Unsupported, "EXECUTE": Unsupported,
}

// Statement describes the text of one message, which can hold several SQL statements.
type Statement struct {
	Kind Kind
	// Verb is the first word in upper case.
	Verb string
	// Single is set if the text certainly holds at most one statement.
	Single bool
	// ReadOnly is set if a Begin statement opens a read-only transaction.
	ReadOnly bool
	// Local is set for SET LOCAL, which ends with the transaction.
	Local bool
	// Name, in lower case, and Value are those of the parameter in a Set, Show or Reset statement.
	Name  string
	Value string
}

// Classify returns the kind and the properties of a statement text.
func Classify(text string) Statement {
	text = trimStart(text)
	if text == "" {
		return Statement{Kind: Empty, Single: true}
	}
	st := Statement{Verb: firstWord(text), Single: isSingle(text)}
	st.Kind = kindByVerb[st.Verb]
	switch st.Kind {
	case Begin:
		st.ReadOnly = strings.Contains(strings.ToUpper(text), "READ ONLY")
	case End:
		st.refineEnd(text)
	case Set, Show, Reset:
		st.parseParameter(strings.TrimSpace(strings.TrimRight(text[len(st.Verb):], "; \t\r\n")))
	}
	return st
}

// refineEnd corrects the kind of statements that start like an End statement: ROLLBACK TO a
// savepoint is a Write, and COMMIT PREPARED and ROLLBACK PREPARED are unsupported.
func (st *Statement) refineEnd(text string) {
	words := strings.Fields(strings.ToUpper(text))
	for _, w := range words[:min(len(words), 3)] {
		if w == "TO" {
			st.Kind = Write
		}
		if w == "PREPARED" {
			st.Kind = Unsupported
		}
	}
}

// MayRunOnReplica reports whether the statement can be tried on a replica.
func (st Statement) MayRunOnReplica() bool {
	return st.Single && (st.Kind == Read || (st.Kind == Begin && st.ReadOnly))
}

// MayEndTransaction reports whether the statement could end a transaction. It is true for all
// kinds except a single Read or Write.
func (st Statement) MayEndTransaction() bool {
	return !st.Single || (st.Kind != Read && st.Kind != Write)
}

// MayChangeSettings reports whether the statement could change session settings of the backend
// connection without the proxy noticing.
func (st Statement) MayChangeSettings() bool {
	return !st.Single || st.Kind == Other
}

// parseParameter sets Local, Name and Value from the text after SET, SHOW or RESET.
func (st *Statement) parseParameter(rest string) {
	for _, scope := range []string{"SESSION ", "LOCAL "} {
		if len(rest) > len(scope) && strings.EqualFold(rest[:len(scope)], scope) {
			st.Local = scope == "LOCAL "
			rest = strings.TrimSpace(rest[len(scope):])
		}
	}
	end := strings.IndexAny(rest, " =\t\r\n")
	if end < 0 {
		st.Name = strings.ToLower(rest)
		return
	}
	st.Name = strings.ToLower(rest[:end])
	value := strings.TrimSpace(rest[end:])
	value = strings.TrimPrefix(value, "=")
	if len(value) > 3 && strings.EqualFold(value[:3], "TO ") {
		value = value[3:]
	}
	st.Value = unquote(strings.TrimSpace(value))
}

// unquote removes the single quotes around a value, if there are any, and unescapes the quotes
// inside.
func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

// trimStart removes blanks, comments, semicolons and opening parentheses from the start of a text.
func trimStart(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n;(")
		switch {
		case strings.HasPrefix(text, "--"):
			_, rest, _ := strings.Cut(text, "\n")
			text = rest
		case strings.HasPrefix(text, "/*"):
			_, rest, ok := strings.Cut(text[2:], "*/")
			if !ok {
				return ""
			}
			text = rest
		default:
			return text
		}
	}
}

// firstWord returns the leading ASCII letters of a text in upper case.
func firstWord(text string) string {
	end := 0
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	return strings.ToUpper(text[:end])
}

func isLetter(c byte) bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') }

// isSingle reports whether the text has no semicolon except at its end. A semicolon inside quotes
// counts too: the statement then goes to the primary although a replica could have run it.
func isSingle(text string) bool {
	text = strings.TrimRight(text, "; \t\r\n")
	return !strings.Contains(text, ";")
}
