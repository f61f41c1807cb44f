package state_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

func declared(number uint64, text string) *wire.Command {
	m := spec.Manifest{Number: number, Groups: []spec.Cluster{{Name: "g"}}, Databases: []spec.Database{{Name: text, Group: "g", Timeout: time.Second}}}
	return &wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: number, Spec: m.Encode(), Source: []byte(text)}}}
}

func announced(name, addr string, born int64, seq uint64, standing wire.LifecycleState) *wire.Command {
	return &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: name, Run: &wire.BackendState{
		Group: "g", Addr: addr, Born: born, Seq: seq, Standing: standing,
	}}}}
}

func withdrawn(name string, born int64) *wire.Command {
	return &wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{Name: name, Born: born}}}
}

// TestHighestNumberHolds checks that whatever order declarations come in, each is
// acknowledged, the first content of the highest number holds, and nothing goes back.
func TestHighestNumberHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		content := map[uint64]string{}
		var highest uint64
		for i, n := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 1, 30).Draw(t, "numbers") {
			text := rapid.SampledFrom([]string{"one", "two"}).Draw(t, "text")
			if n > highest {
				highest = n
				content[n] = text
			}
			if out := s.Apply(uint64(i+1), declared(n, text)); !out.Ok {
				t.Fatalf("number %d was refused: %s", n, out.Text)
			}
			if got := s.Get(spec.Sources, spec.Current); got.Version != highest || string(got.Spec) != content[highest] {
				t.Fatalf("number %d with %q holds, not %d with %q", got.Version, got.Spec, highest, content[highest])
			}
		}
		restored, err := state.Restore(s.Snapshot())
		if err != nil || string(restored.Get(spec.Sources, spec.Current).Spec) != content[highest] {
			t.Fatalf("snapshot does not hold number %d: %v", highest, err)
		}
	})
}

func TestHistoryKeepsOneManifest(t *testing.T) {
	Convey("Hundreds of declarations leave the latest one in the history", t, func() {
		s := state.New()
		for n := uint64(1); n <= 500; n++ {
			s.Apply(n, declared(n, "x"))
		}
		changes, ok := s.Since(1)
		So(ok, ShouldBeTrue)
		kinds := map[string]int{}
		for _, r := range changes {
			kinds[r.Kind]++
		}
		So(kinds[string(spec.Manifests)], ShouldEqual, 1)
		So(kinds[string(spec.Sources)], ShouldEqual, 1)
	})
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	Convey("Given an instance that has said that it drains", t, func() {
		s := state.New()
		So(s.Apply(1, announced("a", "h:1", 100, 4, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
		So(s.Apply(2, announced("a", "h:1", 100, 6, wire.LifecycleState_DRAINING)).Ok, ShouldBeTrue)
		Convey("An earlier word that comes late has no effect", func() {
			So(s.Apply(3, announced("a", "h:1", 100, 5, wire.LifecycleState_READY)).Ok, ShouldBeFalse)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_DRAINING)
		})
		Convey("After it has gone, nothing of the same life brings it back", func() {
			So(s.Apply(3, withdrawn("a", 100)).Ok, ShouldBeTrue)
			So(s.Apply(4, announced("a", "h:1", 100, 9, wire.LifecycleState_READY)).Ok, ShouldBeFalse)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_GONE)
		})
		Convey("A later life counts, whatever its sequence, and an earlier one's end does not touch it", func() {
			So(s.Apply(3, announced("a", "h:1", 200, 1, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
			So(s.Apply(4, withdrawn("a", 100)).Ok, ShouldBeFalse)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_READY)
		})
		Convey("Another instance that has taken over the address later makes it outdated", func() {
			So(s.Apply(3, announced("b", "h:1", 300, 1, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
			So(s.Apply(4, announced("a", "h:1", 100, 8, wire.LifecycleState_READY)).Ok, ShouldBeFalse)
		})
	})
}
