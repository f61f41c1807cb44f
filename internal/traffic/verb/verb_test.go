package verb_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/verb"
)

func TestClassify(t *testing.T) {
	Convey("The first words decide the kind of a statement", t, func() {
		for _, tc := range []struct {
			text    string
			kind    verb.Kind
			mayRead bool
			commits bool
		}{
			{"select 1", verb.Read, true, false},
			{"SELECT 1;", verb.Read, true, false},
			{"/* x */ -- y\n (select 1)", verb.Read, true, false},
			{"select 1; commit", verb.Read, false, true},
			{"select ';'", verb.Read, false, true},
			{"insert into t values (1)", verb.Write, false, false},
			{"create table t (i int)", verb.Other, false, true},
			{"begin", verb.Begin, false, true},
			{"START TRANSACTION READ ONLY", verb.Begin, true, true},
			{"commit", verb.End, false, true},
			{"rollback to savepoint a", verb.Write, false, false},
			{"commit prepared 'x'", verb.Unsupported, false, true},
			{"copy t from stdin", verb.Unsupported, false, true},
			{"", verb.Empty, false, true},
			{"/* open", verb.Empty, false, true},
		} {
			st := verb.Classify(tc.text)
			So(st.Kind, ShouldEqual, tc.kind)
			So(st.MayRunOnReplica(), ShouldEqual, tc.mayRead)
			So(st.MayEndTransaction(), ShouldEqual, tc.commits)
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
			st := verb.Classify(tc.text)
			So([]any{st.Name, st.Value, st.Local}, ShouldResemble, []any{tc.name, tc.value, tc.local})
		}
	})
}

func FuzzClassify(f *testing.F) {
	f.Add("SET a = '")
	f.Add("/*")
	f.Add("rollback to")
	f.Fuzz(func(_ *testing.T, text string) { verb.Classify(text) })
}
