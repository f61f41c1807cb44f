// Package verb provides what the first words of a statement tell. It is no parser: what may
// be a read is tried on a replica, and the replica's word decides.
package verb

import "strings"

// Kind is what the proxy does with a statement.
type Kind int

// The kinds.
const (
	// Other statements go to the primary.
	Other Kind = iota
	// Read statements may run on a replica.
	Read
	// Write statements go to the primary and end no transaction.
	Write
	// Begin statements open a transaction.
	Begin
	// End statements end a transaction.
	End
	// Set, Show and Reset statements name a parameter.
	Set
	Show
	Reset
	// Discard statements reset a session.
	Discard
	// Unsupported statements need a session of their own on the backend server.
	Unsupported
	// Empty statements have no words.
	Empty
)

var kindByVerb = map[string]Kind{
	"SELECT": Read, "WITH": Read, "VALUES": Read, "TABLE": Read, "EXPLAIN": Read,
	"INSERT": Write, "UPDATE": Write, "DELETE": Write, "MERGE": Write, "SAVEPOINT": Write, "RELEASE": Write,
	"BEGIN": Begin, "START": Begin,
	"COMMIT": End, "END": End, "ROLLBACK": End, "ABORT": End,
	"SET": Set, "SHOW": Show, "RESET": Reset, "DISCARD": Discard, "DEALLOCATE": Discard,
	"COPY": Unsupported, "LISTEN": Unsupported, "UNLISTEN": Unsupported, "PREPARE": Unsupported, "EXECUTE": Unsupported,
}

// Statement is what the proxy knows of a statement.
type Statement struct {
	Kind Kind
	// Verb is the first word in capitals.
	Verb string
	// Single is set where the text holds one statement for certain.
	Single bool
	// ReadOnly is set for the begin of a read-only transaction.
	ReadOnly bool
	// Local is set for a setting that ends with its transaction.
	Local bool
	// Name and Value are those of a parameter.
	Name  string
	Value string
}

// Classify looks at the text of a statement.
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

// refineEnd tells the return to a savepoint from the end of a transaction.
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

// MayRunOnReplica reports whether a replica may be tried.
func (st Statement) MayRunOnReplica() bool {
	return st.Single && (st.Kind == Read || (st.Kind == Begin && st.ReadOnly))
}

// MayEndTransaction reports whether the statement may end a transaction.
func (st Statement) MayEndTransaction() bool {
	return !st.Single || (st.Kind != Read && st.Kind != Write)
}

// MayChangeSettings reports whether the statement may change settings of the connection.
func (st Statement) MayChangeSettings() bool {
	return !st.Single || st.Kind == Other
}

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

func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

// trimStart drops blanks, comments and semicolons from the start of a text.
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

func firstWord(text string) string {
	end := 0
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	return strings.ToUpper(text[:end])
}

func isLetter(c byte) bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') }

// isSingle reports whether no semicolon stands before the end. One inside of quotes counts,
// which only sends a statement to the primary that a replica could have run.
func isSingle(text string) bool {
	text = strings.TrimRight(text, "; \t\r\n")
	return !strings.Contains(text, ";")
}
