package soak_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

// answered returns a history with statements that had complete answers, and what an instance ran for each id.
func answered(runs map[string][]mimic.Run, committed map[string]int, statements ...soak.Statement) soak.History {
	h := soak.History{Sent: map[string]soak.Statement{}, Runs: runs, Committed: committed}
	for _, s := range statements {
		if s.Attempt == "" {
			s.Attempt = s.ID
		}
		h.Sent[s.ID] = s
		h.Statements = append(h.Statements, s)
	}
	return h
}

// TestCheckDetectsChangedStatementsAndAnswers checks histories with and without one violation of each kind.
func TestCheckDetectsChangedStatementsAndAnswers(t *testing.T) {
	none := func(string) int { return -1 }
	check := func(h soak.History) []string { return h.Check(none, none) }
	read := soak.Statement{ID: "r", Text: "READ k", Outcome: soak.Acked, Proof: "i.1", Rows: []string{"a\nb"}}
	ranRead := func(text, proof string, rows ...string) map[string][]mimic.Run {
		return map[string][]mimic.Run{"r": {{Instance: "i", Text: text, Proof: proof, Rows: rows}}}
	}
	Convey("A statement that ran as it was sent, and whose answer arrived as it was given, breaks nothing", t, func() {
		So(check(answered(ranRead("READ k", "i.1", "a\nb"), nil, read)), ShouldBeEmpty)
	})
	Convey("A statement that ran with another text, or that nobody sent, is reported", t, func() {
		So(check(answered(ranRead("READ k ", "i.1", "a\nb"), nil, read))[0], ShouldStartWith, "UNASKED text")
		So(check(answered(map[string][]mimic.Run{"x": {{Text: "READ k"}}}, nil))[0], ShouldStartWith, "UNASKED id")
		So(check(soak.History{Strays: []string{"x"}})[0], ShouldStartWith, "UNASKED line")
	})
	Convey("A success with a proof that was not given to it, or with other rows, is reported", t, func() {
		So(check(answered(ranRead("READ k", "i.2", "a\nb"), nil, read))[0], ShouldStartWith, "MIXED proof")
		So(check(answered(ranRead("READ k", "i.1", "a", "b"), nil, read))[0], ShouldStartWith, "MIXED rows")
		others := map[string][]mimic.Run{"o": {{Text: "READ o", Proof: "i.1"}}}
		other := soak.Statement{ID: "o", Text: "READ o"}
		So(check(answered(others, nil, read, other))[0], ShouldStartWith, "MIXED answer")
		unproven := read
		unproven.Proof = "-"
		So(check(answered(ranRead("READ k", "", "a\nb"), nil, unproven))[0], ShouldStartWith, "MIXED proof")
		So(check(soak.History{Extra: []string{"x"}})[0], ShouldStartWith, "MIXED line")
	})
	Convey("A row that is not the one that the caller has to get is reported", t, func() {
		want := read
		data := "a"
		want.Want = &data
		So(check(answered(ranRead("READ k", "i.1", "a\nb"), nil, want))[0], ShouldStartWith, "STALE")
	})
	Convey("A prepared statement may be renamed, but must keep its shape, arguments and session values", t, func() {
		exec := soak.Statement{ID: "r", Text: "EXEC n k\n v", Shape: "WRITE s", Values: map[string]string{"n": "v"}}
		ran := func(text, shape, value string) map[string][]mimic.Run {
			return map[string][]mimic.Run{"r": {{Text: text, Shape: shape, Values: map[string]string{"n": value}}}}
		}
		So(check(answered(ran("EXEC p0 k\n v", "WRITE s", "v"), nil, exec)), ShouldBeEmpty)
		So(check(answered(ran("EXEC p0 k", "WRITE s", "v"), nil, exec))[0], ShouldStartWith, "UNASKED text")
		So(check(answered(ran("EXEC p0 k\n v", "READ s", "v"), nil, exec))[0], ShouldStartWith, "PINNED shape")
		So(check(answered(ran("EXEC p0 k\n v", "WRITE s", "w"), nil, exec))[0], ShouldStartWith, "PINNED values")
	})
	Convey("Effects of an attempt are compared with what its caller was told", t, func() {
		transaction := func(outcome soak.Outcome, end string) []soak.Statement {
			return []soak.Statement{
				{ID: "b", Text: "BEGIN", Outcome: soak.Acked}, {ID: "w", Text: "WRITE k v", Attempt: "b"}, {ID: "c", Text: end, Attempt: "b", Outcome: outcome},
			}
		}
		effects := func(n int, statements ...soak.Statement) []string {
			statements[len(statements)-1].Proof = "i.1"
			runs := map[string][]mimic.Run{"c": {{Text: "COMMIT", Proof: "i.1"}}, "w": {{Text: "WRITE k v", Proof: "i.1"}}}
			for id := range runs {
				if len(statements) == 1 && id == "c" || len(statements) > 1 && statements[2].Text != "COMMIT" {
					delete(runs, id)
				}
			}
			return check(answered(runs, map[string]int{"w": n}, statements...))
		}
		So(effects(1, transaction(soak.Acked, "COMMIT")...), ShouldBeEmpty)
		So(effects(1, transaction(soak.MayHaveRun, "COMMIT")...), ShouldBeEmpty)
		So(effects(0, transaction(soak.NotRun, "COMMIT")...), ShouldBeEmpty)
		So(effects(2, transaction(soak.Acked, "COMMIT")...)[0], ShouldStartWith, "TWICE")
		So(effects(0, transaction(soak.Acked, "COMMIT")...)[0], ShouldStartWith, "LOST")
		So(effects(1, transaction(soak.NotRun, "COMMIT")...)[0], ShouldStartWith, "REFUSED")
		So(effects(1, transaction(soak.Acked, "ROLLBACK")...)[0], ShouldStartWith, "UNASKED commit")
		write := soak.Statement{ID: "w", Text: "WRITE k v", Outcome: soak.Acked}
		So(effects(1, write), ShouldBeEmpty)
		So(effects(0, write)[0], ShouldStartWith, "LOST")
		write.Outcome = soak.NotRun
		So(effects(1, write)[0], ShouldStartWith, "REFUSED")
	})
}
