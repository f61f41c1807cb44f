// Package token provides session tokens, which give a session read-your-writes consistency: for
// each database group they hold the log position of the session's latest write.
package token

import (
	"errors"
	"sort"
	"strconv"
	"strings"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

// Position is a log position of a database group. The zero Position precedes all others.
type Position struct {
	// Term is the term of the primary that wrote the log entry.
	Term uint64
	// Position is the offset in the group's log, which continues across terms.
	Position uint64
}

// Token is an immutable map from group names to positions. The zero Token is empty.
type Token struct {
	positions map[string]Position
}

// Limits of the text form, which callers send.
const (
	maxTextBytes = 4096
	maxGroups    = 64
	maxNameBytes = 63
)

// ErrInvalid is returned for a text that is not a valid token.
var ErrInvalid = errors.New(`invalid session token: pass the text that was reported as "agatespindle.session" unchanged`)

// Parse parses the text form "group@term/position,…"; an empty text is an empty token. It returns
// ErrInvalid for malformed, duplicate or too many entries and for texts that are too long.
func Parse(text string) (Token, error) {
	t := Token{positions: map[string]Position{}}
	if text == "" {
		return t, nil
	}
	if len(text) > maxTextBytes {
		return Token{}, ErrInvalid
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxGroups {
		return Token{}, ErrInvalid
	}
	for _, part := range parts {
		name, p, ok := parsePosition(part)
		if _, duplicate := t.positions[name]; !ok || duplicate {
			return Token{}, ErrInvalid
		}
		t.positions[name] = p
	}
	return t, nil
}

// parsePosition parses one "group@term/position" entry of a token.
func parsePosition(part string) (string, Position, bool) {
	name, numbers, ok := strings.Cut(part, "@")
	if !ok || name == "" || len(name) > maxNameBytes {
		return "", Position{}, false
	}
	termText, positionText, ok := strings.Cut(numbers, "/")
	if !ok {
		return "", Position{}, false
	}
	term, errTerm := strconv.ParseUint(termText, 10, 64)
	position, errPosition := strconv.ParseUint(positionText, 10, 64)
	return name, Position{term, position}, errTerm == nil && errPosition == nil
}

// ParsePosition parses "term/position", the form in which backend servers report positions. It
// reports false for a malformed text.
func ParsePosition(text string) (Position, bool) {
	_, p, ok := parsePosition("x@" + text)
	return p, ok
}

// String returns the text form, sorted by group name.
func (t Token) String() string {
	names := make([]string, 0, len(t.positions))
	for name := range t.positions {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		p := t.positions[name]
		names[i] = name + "@" + strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Position, 10)
	}
	return strings.Join(names, ",")
}

// Position returns the position of a group, or the zero Position if the token has none.
func (t Token) Position(group string) Position { return t.positions[group] }

// With returns a token whose position of the group is p, or t itself if its position is not earlier
// than p.
func (t Token) With(group string, p Position) Token {
	if !t.positions[group].Before(p) {
		return t
	}
	next := Token{positions: make(map[string]Position, len(t.positions)+1)}
	for name, existing := range t.positions {
		next.positions[name] = existing
	}
	next.positions[group] = p
	return next
}

// Before reports whether p is earlier than other. Terms are compared first, then positions.
func (p Position) Before(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Position < other.Position
}

// Resolve returns the equivalent position in the group's current log. Entries beyond the start of a
// later term were rolled back by a failover, so a position of an earlier term is cut off there. It
// reports false for a term that this host does not know yet.
func (p Position) Resolve(state *wire.GroupState) (uint64, bool) {
	if p.Term > state.GetTerm() {
		return 0, false
	}
	return group.TruncatePosition(state.GetForks(), p.Term, p.Position), true
}
