package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// checkAnswers describes what instances ran that differs from what callers sent, what callers got that differs
// from what instances answered, and attempts that took effect otherwise than their callers were told.
func (h History) checkAnswers() []string {
	var violations []string
	for _, s := range h.Strays {
		violations = append(violations, "UNASKED line: "+s)
	}
	for _, s := range h.Extra {
		violations = append(violations, "MIXED line: "+s)
	}
	for _, id := range slices.Sorted(maps.Keys(h.Runs)) {
		for _, r := range h.Runs[id] {
			if s := h.checkRun(id, r); s != "" {
				violations = append(violations, s)
			}
		}
	}
	proofs := h.proofs()
	for _, s := range h.Statements {
		if v := s.checkAnswer(h.Runs[s.ID], proofs); v != "" {
			violations = append(violations, v)
		}
	}
	return append(violations, h.checkEffects()...)
}

// checkRun describes how an execution differs from what the caller with the id sent.
func (h History) checkRun(id string, r mimic.Run) string {
	sent, ok := h.Sent[id]
	switch {
	case !ok:
		return fmt.Sprintf("UNASKED id: %s ran %.80q with the id %.80q, which nobody sent", r.Instance, r.Text, id)
	case withoutName(sent.Text) != withoutName(r.Text):
		return fmt.Sprintf("UNASKED text: %s ran %.80q for %.80q, its caller sent %.80q to %s", r.Instance, r.Text, id, sent.Text, sent.Host)
	case r.Refused:
		return ""
	case sent.Shape != r.Shape:
		return fmt.Sprintf("PINNED shape: %s ran %.80q for %.80q with the shape %.80q, its caller prepared %.80q", r.Instance, r.Text, id, r.Shape, sent.Shape)
	case !maps.Equal(sent.Values, r.Values):
		return fmt.Sprintf("PINNED values: %s ran %.80q for %.80q with the values %.80q, its caller has %.80q", r.Instance, r.Text, id, r.Values, sent.Values)
	}
	return ""
}

// withoutName returns a statement without the name of the prepared statement that it executes.
func withoutName(text string) string {
	if rest, ok := strings.CutPrefix(text, "EXEC "); ok {
		_, args, _ := strings.Cut(rest, " ")
		return "EXEC " + args
	}
	return text
}

// proofs returns the id of the statement that each proof was given to.
func (h History) proofs() map[string]string {
	owners := map[string]string{}
	for id, runs := range h.Runs {
		for _, r := range runs {
			if r.Proof != "" {
				owners[r.Proof] = id
			}
		}
	}
	return owners
}

// checkAnswer describes how the success that a caller got differs from what an instance answered to the
// statement. owners has the ids that proofs were given to.
func (s Statement) checkAnswer(runs []mimic.Run, owners map[string]string) string {
	if s.Outcome != Acked || !s.isForwarded() {
		return ""
	}
	i := slices.IndexFunc(runs, func(r mimic.Run) bool { return r.Proof != "" && r.Proof == s.Proof })
	switch {
	case i < 0 && owners[s.Proof] != "":
		return fmt.Sprintf("MIXED answer: %s gave %.80q to %.80q the proof %s and rows %.80q, which belong to %.80q", s.Host, s.Text, s.ID, s.Proof, s.Rows, owners[s.Proof])
	case i < 0:
		return fmt.Sprintf("MIXED proof: %s gave %.80q to %.80q the proof %.80q and rows %.80q, which no instance gave", s.Host, s.Text, s.ID, s.Proof, s.Rows)
	case !slices.Equal(s.Rows, runs[i].Rows):
		return fmt.Sprintf("MIXED rows: %s gave %.80q the rows %.80q, %s answered %.80q", s.Host, s.ID, s.Rows, runs[i].Instance, runs[i].Rows)
	case s.Want != nil && !slices.Equal(s.Rows, []string{*s.Want}):
		return fmt.Sprintf("STALE: %.80q to %.80q returned %.80q, want %.80q", s.Text, s.ID, s.Rows, *s.Want)
	}
	return ""
}

// isForwarded reports whether only an instance may answer the statement.
func (s Statement) isForwarded() bool {
	verb, _, _ := strings.Cut(s.Text, " ")
	return verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT"
}

// isWrite reports whether the statement writes an item.
func (s Statement) isWrite() bool {
	return strings.HasPrefix(s.Text, "WRITE ") || strings.HasPrefix(s.Text, "EXEC ") && strings.HasPrefix(s.Shape, "WRITE ")
}

// attempt is what became of a caller's operation.
type attempt struct {
	// promised is set if the caller was told that nothing is kept, askedFor and acknowledged if it asked to
	// keep the writes and was told that they are kept.
	promised, askedFor, acknowledged bool
}

// attempts returns the callers' operations by the id of their first statement.
func (h History) attempts() map[string]attempt {
	all := map[string]attempt{}
	for _, s := range h.Sent {
		a := all[s.Attempt]
		a.askedFor = a.askedFor || s.Text == "COMMIT" || s.ID == s.Attempt && s.isWrite()
		all[s.Attempt] = a
	}
	for _, s := range h.Statements {
		a := all[s.Attempt]
		a.promised = a.promised || s.Outcome == NotRun
		a.acknowledged = a.acknowledged || s.Outcome == Acked && (s.Text == "COMMIT" || s.ID == s.Attempt && s.isWrite())
		all[s.Attempt] = a
	}
	return all
}

// checkEffects describes each write that took effect more than once, or otherwise than its caller was told.
func (h History) checkEffects() []string {
	var violations []string
	attempts := h.attempts()
	for _, id := range slices.Sorted(maps.Keys(h.Sent)) {
		s, n := h.Sent[id], h.Committed[id]
		a := attempts[s.Attempt]
		switch {
		case !s.isWrite():
		case n > 1:
			violations = append(violations, fmt.Sprintf("TWICE: %.80q with the id %.80q took effect %d times", s.Text, id, n))
		case n == 1 && a.promised:
			violations = append(violations, fmt.Sprintf("REFUSED: %.80q with the id %.80q took effect, its caller was told that nothing is kept", s.Text, id))
		case n == 1 && !a.askedFor:
			violations = append(violations, fmt.Sprintf("UNASKED commit: %.80q with the id %.80q was committed, its caller did not ask for that", s.Text, id))
		case n == 0 && a.acknowledged:
			violations = append(violations, fmt.Sprintf("LOST: %.80q with the id %.80q was acknowledged and did not take effect", s.Text, id))
		}
	}
	return violations
}
