package group_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

// TestTermOfLeavingPrimaryEndsOnlyForAnsweringSuccessor guards against a group that closes, and stays
// closed, because its primary is to leave while too few other instances answer.
func TestTermOfLeavingPrimaryEndsOnlyForAnsweringSuccessor(t *testing.T) {
	Convey("Given an open group whose primary is to leave", t, func() {
		now := startTime
		f := &group.Failover{Options: group.DefaultOptions()}
		v := group.View{
			Name: "g", Size: 3, Acks: 2, Reports: map[string]group.Report{},
			State:     &wire.GroupState{Term: 4, Phase: wire.Phase_OPEN, Primary: "a", Forks: []*wire.TermStart{{Term: 1}}, Disks: map[string]string{"a": "a1", "b": "b1", "c": "c1"}},
			Instances: []group.Instance{{Name: "a", Draining: true}, {Name: "b"}, {Name: "c"}},
		}
		report := func(name string) {
			v.Reports[name] = group.Report{QueriedAt: now, DiskID: name + "1", Term: 4}
		}
		step := func() string {
			now = now.Add(100 * time.Millisecond)
			return sealReason(f.Step(now, v))
		}

		Convey("Its term stays open while it alone answers, and instances are queried", func() {
			So(f.Step(now, v), ShouldResemble, []group.Action{group.QueryStatus{Instance: "a"}, group.QueryStatus{Instance: "b"}, group.QueryStatus{Instance: "c"}})
			report("a")
			So(step(), ShouldBeEmpty)
		})
		Convey("Its term ends once another instance and enough for a choice have answered", func() {
			report("b")
			So(step(), ShouldBeEmpty)
			report("a")
			So(step(), ShouldEqual, group.ReasonPrimaryDraining)
		})
		Convey("Old answers and answers from a new disk do not count", func() {
			report("a")
			report("b")
			now = now.Add(time.Second)
			report("a")
			So(step(), ShouldBeEmpty)
			v.Reports["b"] = group.Report{QueriedAt: now, DiskID: "b2", Term: 4}
			So(step(), ShouldBeEmpty)
		})
		Convey("After a hand-over that chose the leaving primary again, the next one waits", func() {
			report("a")
			report("b")
			So(step(), ShouldEqual, group.ReasonPrimaryDraining)
			for _, phase := range []wire.Phase{wire.Phase_SEALED, wire.Phase_CHOSEN, wire.Phase_OPEN} {
				v.State.Term, v.State.Phase = 5, phase
				f.Step(now, v)
			}
			report("a")
			report("b")
			So(step(), ShouldBeEmpty)
			now = now.Add(time.Second)
			report("a")
			report("b")
			So(step(), ShouldEqual, group.ReasonPrimaryDraining)
		})
	})
}
