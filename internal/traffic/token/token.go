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

// Position is a place in the log of a group.
type Position struct {
	Term     uint64
	Position uint64
}

// Token is an immutable set of marks by group.
type Token struct {
	positions map[string]Position
}

// Bounds of a token that comes from outside.
const (
	maxTextBytes = 4096
	maxGroups    = 64
	maxNameBytes = 63
)

// ErrInvalid tells that a token's text does not parse.
var ErrInvalid = errors.New(`session token is invalid; hand over the text that was reported as "agatespindle.session"`)

// Parse reads the text form "group@term/position,…"; an empty text is an empty token.
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
		name, m, ok := parsePosition(part)
		if _, twice := t.positions[name]; !ok || twice {
			return Token{}, ErrInvalid
		}
		t.positions[name] = m
	}
	return t, nil
}

func parsePosition(part string) (string, Position, bool) {
	name, place, ok := strings.Cut(part, "@")
	if !ok || name == "" || len(name) > maxNameBytes {
		return "", Position{}, false
	}
	a, b, ok := strings.Cut(place, "/")
	if !ok {
		return "", Position{}, false
	}
	term, errTerm := strconv.ParseUint(a, 10, 64)
	position, errPosition := strconv.ParseUint(b, 10, 64)
	return name, Position{term, position}, errTerm == nil && errPosition == nil
}

// ParsePosition reads the form "term/position" that a backend server reports.
func ParsePosition(text string) (Position, bool) {
	_, m, ok := parsePosition("x@" + text)
	return m, ok
}

// String returns the text form, groups in order.
func (t Token) String() string {
	names := make([]string, 0, len(t.positions))
	for name := range t.positions {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		m := t.positions[name]
		names[i] = name + "@" + strconv.FormatUint(m.Term, 10) + "/" + strconv.FormatUint(m.Position, 10)
	}
	return strings.Join(names, ",")
}

// Position returns the mark of a group; the zero mark asks for nothing.
func (t Token) Position(group string) Position { return t.positions[group] }

// With returns a token whose mark of the group is m, unless the one it has is later.
func (t Token) With(group string, m Position) Token {
	if !t.positions[group].Before(m) {
		return t
	}
	next := Token{positions: make(map[string]Position, len(t.positions)+1)}
	for name, have := range t.positions {
		next.positions[name] = have
	}
	next.positions[group] = m
	return next
}

// Before reports whether m is earlier than other: terms decide, then positions.
func (m Position) Before(other Position) bool {
	if m.Term != other.Term {
		return m.Term < other.Term
	}
	return m.Position < other.Position
}

// Resolve returns the position that stands for the mark in the log of a group as it runs now. A
// mark of an earlier term is good up to the start of the next one. It reports false for a
// mark of a term that this host does not know yet.
func (m Position) Resolve(run *wire.GroupRun) (uint64, bool) {
	if m.Term > run.GetTerm() {
		return 0, false
	}
	return group.Cut(run.GetForks(), m.Term, m.Position), true
}
