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

func FuzzClassify(f *testing.F) {
	f.Add("SET a = '")
	f.Add("/*")
	f.Add("rollback to")
	f.Fuzz(func(_ *testing.T, text string) { stmt.Classify(text) })
}
