// Package token provides session tokens: per group, the term and the position up to which a
// session has seen its own writes.
package token

import (
	"errors"
	"sort"
	"strconv"
	"strings"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

// Mark is a place in the log of a group.
type Mark struct {
	Term     uint64
	Position uint64
}

// Token is an immutable set of marks by group.
type Token struct {
	marks map[string]Mark
}

// Bounds of a token that comes from outside.
const (
	maxText   = 4096
	maxGroups = 64
	maxName   = 63
)

// ErrInvalid tells that a token's text does not parse.
var ErrInvalid = errors.New(`session token is invalid; hand over the text that was reported as "agatespindle.session"`)

// Parse reads the text form "group@term/position,…"; an empty text is an empty token.
func Parse(text string) (Token, error) {
	t := Token{marks: map[string]Mark{}}
	if text == "" {
		return t, nil
	}
	if len(text) > maxText {
		return Token{}, ErrInvalid
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxGroups {
		return Token{}, ErrInvalid
	}
	for _, part := range parts {
		name, m, ok := parseMark(part)
		if _, twice := t.marks[name]; !ok || twice {
			return Token{}, ErrInvalid
		}
		t.marks[name] = m
	}
	return t, nil
}

func parseMark(part string) (string, Mark, bool) {
	name, place, ok := strings.Cut(part, "@")
	if !ok || name == "" || len(name) > maxName {
		return "", Mark{}, false
	}
	a, b, ok := strings.Cut(place, "/")
	if !ok {
		return "", Mark{}, false
	}
	term, errTerm := strconv.ParseUint(a, 10, 64)
	position, errPosition := strconv.ParseUint(b, 10, 64)
	return name, Mark{term, position}, errTerm == nil && errPosition == nil
}

// ParseMark reads the form "term/position" that a backend server reports.
func ParseMark(text string) (Mark, bool) {
	_, m, ok := parseMark("x@" + text)
	return m, ok
}

// String returns the text form, groups in order.
func (t Token) String() string {
	names := make([]string, 0, len(t.marks))
	for name := range t.marks {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		m := t.marks[name]
		names[i] = name + "@" + strconv.FormatUint(m.Term, 10) + "/" + strconv.FormatUint(m.Position, 10)
	}
	return strings.Join(names, ",")
}

// Mark returns the mark of a group; the zero mark asks for nothing.
func (t Token) Mark(group string) Mark { return t.marks[group] }

// With returns a token whose mark of the group is m, unless the one it has is later.
func (t Token) With(group string, m Mark) Token {
	if !t.marks[group].Before(m) {
		return t
	}
	next := Token{marks: make(map[string]Mark, len(t.marks)+1)}
	for name, have := range t.marks {
		next.marks[name] = have
	}
	next.marks[group] = m
	return next
}

// Before reports whether m is earlier than other: terms decide, then positions.
func (m Mark) Before(other Mark) bool {
	if m.Term != other.Term {
		return m.Term < other.Term
	}
	return m.Position < other.Position
}

// In returns the position that stands for the mark in the log of a group as it runs now. A
// mark of an earlier term is good up to the start of the next one. It reports false for a
// mark of a term that this host does not know yet.
func (m Mark) In(run *wire.GroupState) (uint64, bool) {
	if m.Term > run.GetTerm() {
		return 0, false
	}
	return group.Cut(run.GetForks(), m.Term, m.Position), true
}
