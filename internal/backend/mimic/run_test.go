package mimic_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// TestInstanceRecordsWhatRan guards against a record that differs from what arrived and what was answered.
func TestInstanceRecordsWhatRan(t *testing.T) {
	Convey("Given an instance that records", t, func() {
		g := &mimic.Group{Name: "g", MaxConns: 4, RecordRuns: true, Initial: map[string]string{"old": "a\nDONE x"}}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		defer in.Crash()
		answers := func(sent string) { exchange(t, in, "STARTUP g me\r\n"+sent+"QUERY - STAT\r\nQUIT\r\n", 1<<10) }
		Convey("texts are kept without the position, rows and proofs as they were answered", func() {
			answers("QUERY a WRITE k b\nc \r\nQUERY b AFTER 1.1 READ k\r\nQUERY c READ old\r\nQUERY d AFTER 9.9 READ k\r\n")
			all := g.AllRuns()
			So(all, ShouldHaveLength, 4)
			So(all["a"][0].Text, ShouldEqual, "WRITE k b\nc ")
			So(all["b"][0].Text, ShouldEqual, "READ k")
			So(all["b"][0].Rows, ShouldResemble, []string{"b\nc "})
			So(all["b"][0].Proof, ShouldEqual, "i.2")
			So(all["c"][0].Rows, ShouldResemble, []string{"a\nDONE x"})
			So(all["d"][0].Proof, ShouldBeEmpty)
			So(all["d"][0].Refused, ShouldBeTrue)
			So(g.Strays(), ShouldBeEmpty)
		})
		Convey("prepared statements are kept with their shape and the session values of their time", func() {
			answers("QUERY - SET n a\nb\r\nQUERY - PREPARE p WRITE s t\r\nQUERY a EXEC p k v\r\nQUERY - SET n c\r\nQUERY b EXEC p k w\r\n")
			So(g.Runs("a")[0].Shape, ShouldEqual, "WRITE s t")
			So(g.Runs("a")[0].Values, ShouldResemble, map[string]string{"n": "a\nb"})
			So(g.Runs("b")[0].Values, ShouldResemble, map[string]string{"n": "c"})
		})
		Convey("committed writes are counted by the id of the write", func() {
			answers("QUERY a WRITE k v\r\nQUERY - BEGIN\r\nQUERY b WRITE k w\r\nQUERY c COMMIT\r\nQUERY - BEGIN\r\nQUERY d WRITE k x\r\nQUERY - ROLLBACK\r\n")
			So(g.Committed(), ShouldResemble, map[string]int{"a": 1, "b": 1})
		})
		Convey("lines that are no message, and statements without a caller's id, are strays", func() {
			answers("QUERY - WRITE k v\r\nv\r\n")
			So(g.Strays(), ShouldResemble, []string{`i got "WRITE k v"`, `i got "v"`})
		})
	})
}
