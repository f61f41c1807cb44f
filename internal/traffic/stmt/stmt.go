// Package stmt classifies SQL statements by their first words, which it separates as PostgreSQL's lexer does.
// It doesn't parse SQL: a statement that looks like a read is tried on a replica, which rejects it if it writes.
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
	single := isSingle(text)
	text = trimStart(text)
	if text == "" {
		return Statement{Kind: Empty, Single: true}
	}
	st := Statement{Verb: firstWord(text), Single: single}
	st.Kind = kindByVerb[st.Verb]
	switch st.Kind {
	case Begin, End, Set, Show, Reset:
		text = plain(text)
	}
	switch st.Kind {
	case Begin:
		upper := strings.ToUpper(text)
		st.ReadOnly = strings.Contains(upper, " READ ONLY") && !strings.Contains(upper, " READ WRITE")
	case End:
		st.refineEnd(strings.Split(strings.ToUpper(text), " "))
	case Set, Show, Reset:
		st.parseParameter(strings.Trim(text[len(st.Verb):], " ;"))
	}
	return st
}

// refineEnd corrects the kind of statements that start like an End statement: ROLLBACK TO a
// savepoint is a Write, and COMMIT PREPARED and ROLLBACK PREPARED are unsupported.
func (st *Statement) refineEnd(words []string) {
	rest := words[1:]
	if len(rest) > 0 && (rest[0] == "WORK" || rest[0] == "TRANSACTION") {
		rest = rest[1:]
	}
	switch {
	case len(words) > 1 && words[1] == "PREPARED":
		st.Kind = Unsupported
	case len(rest) > 0 && rest[0] == "TO" && words[0] == "ROLLBACK":
		st.Kind = Write
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
	end := strings.IndexAny(rest, " =")
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
	for text != "" {
		n, space := skip(text)
		if !space && text[0] != ';' && text[0] != '(' {
			break
		}
		text = text[n:]
	}
	return text
}

// plain returns the text with each run of blanks and comments outside of quotes replaced by one space.
func plain(text string) string {
	var b strings.Builder
	for i := 0; i < len(text); {
		n, space := skip(text[i:])
		switch {
		case space:
			if s := b.String(); s == "" || s[len(s)-1] != ' ' {
				b.WriteByte(' ')
			}
		case i > 0 && text[i] == '\'' && (text[i-1] == 'E' || text[i-1] == 'e'):
			n = quotedLen(text[i:], true)
			b.WriteString(text[i : i+n])
		default:
			b.WriteString(text[i : i+n])
		}
		i += n
	}
	return b.String()
}

// skip returns the length of the blank, the comment, the quoted text or the single byte that a text starts with,
// and whether it separates words: PostgreSQL's comments nest, and the others end at any end of a line.
func skip(text string) (n int, space bool) {
	switch {
	case strings.IndexByte(blanks, text[0]) >= 0:
		return 1, true
	case strings.HasPrefix(text, "--"):
		if end := strings.IndexAny(text, "\r\n"); end >= 0 {
			return end, true
		}
		return len(text), true
	case strings.HasPrefix(text, "/*"):
		return commentLen(text), true
	case text[0] == '\'' || text[0] == '"':
		return quotedLen(text, false), false
	}
	return 1, false
}

// blanks are the white space of PostgreSQL. Other white space of Unicode is part of words.
const blanks = " \t\n\r\f\v"

// commentLen returns the length of the comment that a text starts with.
func commentLen(text string) int {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return i + 1
		}
	}
	return len(text)
}

// quotedLen returns the length of the quoted text that a text starts with.
func quotedLen(text string, escapes bool) int {
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == text[0]:
			return i + 1
		case escapes && text[i] == '\\':
			i++
		}
	}
	return len(text)
}

// firstWord returns the first word of a text in upper case, if it is one of ASCII letters.
func firstWord(text string) string {
	end := 0
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	if end < len(text) && (text[end] >= 0x80 || text[end] == '_' || text[end] == '$' || text[end] >= '0' && text[end] <= '9') {
		return ""
	}
	return strings.ToUpper(text[:end])
}

func isLetter(c byte) bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') }

// isSingle reports whether the text has no semicolon except at its end. A semicolon inside quotes or comments
// counts too: where those end depends on settings of the backend server. The statement then goes to the primary
// although a replica could have run it.
func isSingle(text string) bool {
	return !strings.Contains(strings.TrimRight(text, ";"+blanks), ";")
}
