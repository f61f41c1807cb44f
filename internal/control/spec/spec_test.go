package spec_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
)

func TestValidate(t *testing.T) {
	Convey("Missing fields get their defaults", t, func() {
		b, fieldErrors := spec.Validate(spec.Groups, "parts-ledger", []byte(`{"size":5}`))
		So(fieldErrors, ShouldBeEmpty)
		g := spec.DecodeGroup(b)
		So(g, ShouldResemble, spec.Group{Size: 5, Acks: 2, Slots: 2, Connections: 16})
	})
	Convey("Errors name the invalid field", t, func() {
		for _, tt := range []struct {
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
			_, fieldErrors := spec.Validate(tt.kind, tt.name, []byte(tt.text))
			So(fieldErrors, ShouldNotBeEmpty)
			So(fieldErrors[0].Field, ShouldEqual, tt.field)
		}
	})
	Convey("Class names are parsed and formatted consistently", t, func() {
		for _, c := range []spec.Class{spec.Urgent, spec.Normal, spec.Browse, spec.Report} {
			So(spec.ParseClass(c.String()), ShouldEqual, c)
		}
		So(spec.ParseClass(""), ShouldEqual, spec.Normal)
	})
}
