package spec_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
)

func TestCheck(t *testing.T) {
	Convey("Missing fields get their defaults", t, func() {
		b, broken := spec.Validate(spec.Groups, "parts-ledger", []byte(`{"size":5}`))
		So(broken, ShouldBeEmpty)
		g := spec.DecodeGroup(b)
		So(g, ShouldResemble, spec.Group{Size: 5, Acks: 2, Slots: 2, Connections: 16})
	})
	Convey("Errors name the invalid field", t, func() {
		for _, one := range []struct {
			kind  spec.Kind
			name  string
			text  string
			field string
		}{
			{spec.Groups, "g", `{"size":0}`, "spec.size"},
			{spec.Groups, "g", `{"size":2,"acks":3}`, "spec.acks"},
			{spec.Groups, "g", `{"sise":3}`, "spec"},
			{spec.Groups, "Not a name", `{}`, "name"},
			{spec.Callers, "c", `{"class":"loud"}`, "spec.class"},
			{spec.Callers, "c", `{"stale":"5"}`, "spec.stale"},
			{spec.Services, "s", `{"groups":[]}`, "spec.groups"},
			{"nothing", "n", `{}`, "kind"},
		} {
			_, broken := spec.Validate(one.kind, one.name, []byte(one.text))
			So(broken, ShouldNotBeEmpty)
			So(broken[0].Field, ShouldEqual, one.field)
		}
	})
	Convey("Class names are parsed and formatted consistently", t, func() {
		for _, c := range []spec.Class{spec.Urgent, spec.Normal, spec.Browse, spec.Report} {
			So(spec.ParseClass(c.String()), ShouldEqual, c)
		}
		So(spec.ParseClass(""), ShouldEqual, spec.Normal)
	})
}
