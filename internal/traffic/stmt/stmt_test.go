package stmt_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/stmt"
)

func TestClassify(t *testing.T) {
	Convey("The first words decide the kind of a statement", t, func() {
		for _, tc := range []struct {
			text              string
			kind              stmt.Kind
			mayRunOnReplica   bool
			mayEndTransaction bool
		}{
			{"select 1", stmt.Read, true, false},
			{"SELECT 1;", stmt.Read, true, false},
			{"/* x */ -- y\n (select 1)", stmt.Read, true, false},
			{"select 1; commit", stmt.Read, false, true},
			{"select ';'", stmt.Read, false, true},
			{"insert into t values (1)", stmt.Write, false, false},
			{"create table t (i int)", stmt.Other, false, true},
			{"begin", stmt.Begin, false, true},
			{"START TRANSACTION READ ONLY", stmt.Begin, true, true},
			{"commit", stmt.End, false, true},
			{"rollback to savepoint a", stmt.Write, false, false},
			{"commit prepared 'x'", stmt.Unsupported, false, true},
			{"copy t from stdin", stmt.Unsupported, false, true},
			{"", stmt.Empty, false, true},
			{"/* open", stmt.Empty, false, true},
		} {
			st := stmt.Classify(tc.text)
			So(st.Kind, ShouldEqual, tc.kind)
			So(st.MayRunOnReplica(), ShouldEqual, tc.mayRunOnReplica)
			So(st.MayEndTransaction(), ShouldEqual, tc.mayEndTransaction)
		}
	})
	Convey("SET and SHOW statements give a parameter name and value", t, func() {
		for _, tc := range []struct {
			text, name, value string
			local             bool
		}{
			{"SET agatespindle.key = 'it''s'", "agatespindle.key", "it's", false},
			{"set session a.b to 5;", "a.b", "5", false},
			{"SET LOCAL x=1", "x", "1", true},
			{"SHOW Agatespindle.Session", "agatespindle.session", "", false},
		} {
			st := stmt.Classify(tc.text)
			So([]any{st.Name, st.Value, st.Local}, ShouldResemble, []any{tc.name, tc.value, tc.local})
		}
	})
}

// TestCommentsAndBlanksAreThoseOfTheServer guards against a statement that is taken for another one than the
// backend server runs, because a comment or a blank ends elsewhere.
func TestCommentsAndBlanksAreThoseOfTheServer(t *testing.T) {
	Convey("Comments nest, and words inside them don't count", t, func() {
		for _, tc := range []struct {
			text              string
			kind              stmt.Kind
			mayRunOnReplica   bool
			mayEndTransaction bool
		}{
			{"/* /* */ SELECT */ COMMIT", stmt.End, false, true},
			{"/* /* */ SELECT 1 */ DROP TABLE t", stmt.Other, false, true},
			{"/*/*/*/**/*/*/*/commit", stmt.End, false, true},
			{"/* a */ /* /* b */ */ select 1", stmt.Read, true, false},
			{"COMMIT /* TO x */", stmt.End, false, true},
			{"COMMIT -- TO x", stmt.End, false, true},
			{"END WORK -- PREPARED", stmt.End, false, true},
			{"ROLLBACK /* TO x */", stmt.End, false, true},
			{"ROLLBACK/* a b c */TO x", stmt.Write, false, false},
			{"ROLLBACK WORK\f TO SAVEPOINT x", stmt.Write, false, false},
			{"COMMIT --x\n PREPARED 'y'", stmt.Unsupported, false, true},
			{"BEGIN /* READ ONLY */", stmt.Begin, false, true},
			{"BEGIN READ /* x */\vONLY", stmt.Begin, true, true},
			{"BEGIN READ ONLY, READ WRITE", stmt.Begin, false, true},
		} {
			st := stmt.Classify(tc.text)
			So([]any{tc.text, st.Kind}, ShouldResemble, []any{tc.text, tc.kind})
			So([]any{tc.text, st.MayRunOnReplica()}, ShouldResemble, []any{tc.text, tc.mayRunOnReplica})
			So([]any{tc.text, st.MayEndTransaction()}, ShouldResemble, []any{tc.text, tc.mayEndTransaction})
		}
	})
	Convey("A comment ends at a carriage return too, and blanks are those of the server alone", t, func() {
		for _, tc := range []struct {
			text string
			kind stmt.Kind
		}{
			{"-- x\rDELETE FROM t", stmt.Write},
			{"-- x\rCOMMIT", stmt.End},
			{"\f\vSELECT 1", stmt.Read},
			{"\u00a0SELECT 1", stmt.Other},
			{"COMMIT\u00a0TO x", stmt.Other},
			{"COMMIT_", stmt.Other},
			{"\u017felect 1", stmt.Other},
		} {
			So([]any{tc.text, stmt.Classify(tc.text).Kind}, ShouldResemble, []any{tc.text, tc.kind})
		}
	})
	Convey("Quotes keep comments and blanks as they are, and semicolons count wherever they stand", t, func() {
		st := stmt.Classify("SET\fLOCAL /* x */ a.b\v=\r\n'c /* ''d''  -- e'")
		So([]any{st.Name, st.Value, st.Local}, ShouldResemble, []any{"a.b", "c /* 'd'  -- e", true})
		So(stmt.Classify("SELECT '\\' -- '; DELETE FROM t").Single, ShouldBeFalse)
		So(stmt.Classify("SELECT 1 /* ; */").Single, ShouldBeFalse)
	})
}

func FuzzClassify(f *testing.F) {
	f.Add("SET a = '")
	f.Add("/*")
	f.Add("rollback to")
	f.Fuzz(func(_ *testing.T, text string) { stmt.Classify(text) })
}
