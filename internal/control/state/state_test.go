package state_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// putCommand returns a command that puts a caller's spec.
func putCommand(request, name, text string, checked bool, expect uint64) *wire.Command {
	return &wire.Command{Request: request, Body: &wire.Command_Put{Put: &wire.PutResource{
		Kind: string(spec.Callers), Name: name, Spec: []byte(text), Checked: checked, Expect: expect,
	}}}
}

func TestState(t *testing.T) {
	Convey("Given a state with one caller", t, func() {
		s := state.New()
		first := s.Apply(1, putCommand("r1", "reports", `{"class":"report"}`, true, 0))
		So(first.Ok, ShouldBeTrue)

		Convey("Of two changes that expect the same version, one is accepted and the other conflicts", func() {
			So(s.Apply(2, putCommand("r2", "reports", `{"class":"browse"}`, true, 1)).Ok, ShouldBeTrue)
			out := s.Apply(3, putCommand("r3", "reports", `{"class":"urgent"}`, true, 1))
			So(out.Ok, ShouldBeFalse)
			So(out.Reason, ShouldEqual, "conflict")
			So(string(out.Resource.Spec), ShouldEqual, `{"class":"browse"}`)
			So(string(s.Get(spec.Callers, "reports").Spec), ShouldEqual, `{"class":"browse"}`)
		})
		Convey("A resent change gets its first outcome, even after other changes and a restart", func() {
			So(s.Apply(2, putCommand("r2", "reports", `{"class":"browse"}`, true, 1)).Ok, ShouldBeTrue)
			restored, err := state.Restore(s.Snapshot())
			So(err, ShouldBeNil)
			again := restored.Apply(3, putCommand("r1", "reports", `{"class":"report"}`, true, 0))
			So(proto.Equal(again, first), ShouldBeTrue)
			So(string(restored.Get(spec.Callers, "reports").Spec), ShouldEqual, `{"class":"browse"}`)
		})
		Convey("A request ID that was used for another change is rejected", func() {
			out := s.Apply(2, putCommand("r1", "reports", `{"class":"urgent"}`, false, 0))
			So(out.Reason, ShouldEqual, "keyreused")
		})
		Convey("ChangesSince returns the changes in order", func() {
			for i := uint64(2); i < 10; i++ {
				s.Apply(i, putCommand("", fmt.Sprint("c", i), `{"class":"urgent"}`, false, 0))
			}
			changes, ok := s.ChangesSince(5)
			So(ok, ShouldBeTrue)
			So(changes, ShouldHaveLength, 4)
			So(changes[0].Revision, ShouldEqual, 6)
		})
		Convey("A revision before the snapshot is too old", func() {
			s.Apply(2, putCommand("", "x", `{}`, false, 0))
			restored, err := state.Restore(s.Snapshot())
			So(err, ShouldBeNil)
			_, ok := restored.ChangesSince(1)
			So(ok, ShouldBeFalse)
			_, ok = restored.ChangesSince(2)
			So(ok, ShouldBeTrue)
		})
		Convey("A deleted resource is not found, and its name can be reused", func() {
			out := s.Apply(2, &wire.Command{Body: &wire.Command_Delete{Delete: &wire.DeleteResource{Kind: string(spec.Callers), Name: "reports", Checked: true, Expect: 9}}})
			So(out.Reason, ShouldEqual, "conflict")
			out = s.Apply(3, &wire.Command{Body: &wire.Command_Delete{Delete: &wire.DeleteResource{Kind: string(spec.Callers), Name: "reports"}}})
			So(out.Ok, ShouldBeTrue)
			So(s.Get(spec.Callers, "reports"), ShouldBeNil)
			So(s.Apply(4, putCommand("", "reports", `{}`, true, 0)).Ok, ShouldBeTrue)
		})
	})
	Convey("A restored state has the same snapshot", t, func() {
		s := state.New()
		for i := uint64(1); i < 50; i++ {
			s.Apply(i, putCommand(fmt.Sprint(i%7), fmt.Sprint("c", i%5), fmt.Sprintf(`{"rate":%d}`, i), false, 0))
		}
		b := s.Snapshot()
		again, err := state.Restore(b)
		So(err, ShouldBeNil)
		So(again.Snapshot(), ShouldResemble, b)
	})
}

func TestStateGroup(t *testing.T) {
	groupCommand := func(b *wire.Command) *wire.Command { return b }
	seal := func(term uint64) *wire.Command {
		return groupCommand(&wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{Group: "g", Term: term}}})
	}
	choose := func(term uint64, primary string) *wire.Command {
		return groupCommand(&wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{Group: "g", Term: term, Primary: primary, Start: 7}}})
	}
	open := func(term uint64, primary string) *wire.Command {
		return groupCommand(&wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{Group: "g", Term: term, Primary: primary}}})
	}
	hold := func(holder, from string) *wire.Command {
		return groupCommand(&wire.Command{Body: &wire.Command_Hold{Hold: &wire.AssignHolder{Group: "g", Holder: holder, From: from}}})
	}
	Convey("Given a group", t, func() {
		s := state.New()
		s.Apply(1, &wire.Command{Body: &wire.Command_Put{Put: &wire.PutResource{Kind: string(spec.Groups), Name: "g", Spec: []byte(`{}`)}}})
		n := uint64(1)
		apply := func(c *wire.Command) bool { n++; return s.Apply(n, c).Ok }
		groupState := func() *wire.GroupState { return s.Get(spec.Groups, "g").Group }

		Convey("The steps of a failover are accepted in order only, and once each", func() {
			So(apply(choose(0, "a")), ShouldBeFalse)
			So(apply(seal(0)), ShouldBeTrue)
			So(apply(seal(0)), ShouldBeFalse)
			So(apply(seal(1)), ShouldBeFalse)
			So(apply(choose(1, "a")), ShouldBeTrue)
			So(apply(choose(1, "b")), ShouldBeFalse)
			So(apply(open(1, "b")), ShouldBeFalse)
			So(apply(open(1, "a")), ShouldBeTrue)
			So(groupState().Primary, ShouldEqual, "a")
			So(groupState().Forks, ShouldHaveLength, 1)
			So(apply(seal(1)), ShouldBeTrue)
			So(apply(open(2, "a")), ShouldBeFalse)
		})
		Convey("A previous holder stays listed until it has released the connections", func() {
			So(apply(hold("x", "")), ShouldBeTrue)
			So(apply(hold("y", "z")), ShouldBeFalse)
			So(apply(hold("y", "x")), ShouldBeTrue)
			So(groupState().Prior, ShouldResemble, []string{"x"})
			So(apply(hold("x", "y")), ShouldBeTrue)
			So(groupState().Prior, ShouldResemble, []string{"y"})
			release := &wire.Command{Body: &wire.Command_Release{Release: &wire.ReleaseGroup{Group: "g", Host: "y"}}}
			So(apply(release), ShouldBeTrue)
			So(apply(release), ShouldBeFalse)
			So(groupState().Prior, ShouldBeEmpty)
		})
		Convey("Putting a new spec keeps the run-time state", func() {
			apply(seal(0))
			s.Apply(50, &wire.Command{Body: &wire.Command_Put{Put: &wire.PutResource{Kind: string(spec.Groups), Name: "g", Spec: []byte(`{"size":5}`)}}})
			So(groupState().Term, ShouldEqual, 1)
		})
	})
}
