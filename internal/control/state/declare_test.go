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

// declareCommand returns a command that declares a manifest whose content depends on text.
func declareCommand(number uint64, text string) *wire.Command {
	m := spec.Manifest{Number: number, Groups: []spec.ManifestGroup{{Name: "g"}}, Databases: []spec.Database{{Name: text, Group: "g", StatementTimeout: time.Second}}}
	return &wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: number, Spec: m.Encode(), Source: []byte(text)}}}
}

func announceCommand(name, addr string, born int64, seq uint64, standing wire.LifecycleState) *wire.Command {
	return &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: name, Run: &wire.BackendState{
		Group: "g", Addr: addr, Born: born, Seq: seq, Standing: standing,
	}}}}
}

func withdrawCommand(name string, born int64) *wire.Command {
	return &wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{Name: name, Born: born}}}
}

// TestHighestManifestNumberWins checks that each declaration is acknowledged in any order of
// arrival, and that the first content of the highest number so far is the current one.
func TestHighestManifestNumberWins(t *testing.T) {
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
			if out := s.Apply(uint64(i+1), declareCommand(n, text)); !out.Ok {
				t.Fatalf("manifest number %d was rejected: %s", n, out.Text)
			}
			if got := s.Get(spec.ManifestSources, spec.CurrentManifest); got.Version != highest || string(got.Spec) != content[highest] {
				t.Fatalf("current manifest is number %d with %q; want %d with %q", got.Version, got.Spec, highest, content[highest])
			}
		}
		restored, err := state.Restore(s.Snapshot())
		if err != nil || string(restored.Get(spec.ManifestSources, spec.CurrentManifest).Spec) != content[highest] {
			t.Fatalf("snapshot does not have manifest number %d: %v", highest, err)
		}
	})
}

func TestHistoryKeepsLatestManifestOnly(t *testing.T) {
	Convey("After hundreds of declarations, the history has only the latest one", t, func() {
		s := state.New()
		for n := uint64(1); n <= 500; n++ {
			s.Apply(n, declareCommand(n, "x"))
		}
		changes, ok := s.ChangesSince(1)
		So(ok, ShouldBeTrue)
		kinds := map[string]int{}
		for _, r := range changes {
			kinds[r.Kind]++
		}
		So(kinds[string(spec.Manifests)], ShouldEqual, 1)
		So(kinds[string(spec.ManifestSources)], ShouldEqual, 1)
	})
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	Convey("Given an instance that has announced that it is draining", t, func() {
		s := state.New()
		So(s.Apply(1, announceCommand("a", "h:1", 100, 4, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
		So(s.Apply(2, announceCommand("a", "h:1", 100, 6, wire.LifecycleState_DRAINING)).Ok, ShouldBeTrue)
		Convey("An older announcement that arrives late has no effect", func() {
			So(s.Apply(3, announceCommand("a", "h:1", 100, 5, wire.LifecycleState_READY)).Ok, ShouldBeFalse)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_DRAINING)
		})
		Convey("A later announcement of the same incarnation does not take that back", func() {
			So(s.Apply(3, announceCommand("a", "h:1", 100, 7, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_DRAINING)
			So(s.Get(spec.Backends, "a").Backend.Seq, ShouldEqual, 7)
		})
		Convey("After a withdrawal, no announcement of the same incarnation brings it back", func() {
			So(s.Apply(3, withdrawCommand("a", 100)).Ok, ShouldBeTrue)
			So(s.Apply(4, announceCommand("a", "h:1", 100, 9, wire.LifecycleState_READY)).Ok, ShouldBeFalse)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_GONE)
		})
		Convey("A log that is recorded as copied stays so, until a later incarnation announces itself", func() {
			copied := withdrawCommand("a", 100)
			copied.GetWithdraw().Copied = true
			s.Apply(3, withdrawCommand("a", 100))
			So(s.Get(spec.Backends, "a").Backend.Copied, ShouldBeFalse)
			So(s.Apply(4, copied).Ok, ShouldBeTrue)
			So(s.Apply(5, withdrawCommand("a", 100)).Ok, ShouldBeTrue)
			So(s.Get(spec.Backends, "a").Backend.Copied, ShouldBeTrue)
			So(s.Apply(6, announceCommand("a", "h:1", 200, 1, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
			So(s.Get(spec.Backends, "a").Backend.Copied, ShouldBeFalse)
			So(s.Apply(7, copied).Ok, ShouldBeFalse)
		})
		Convey("A later incarnation is accepted with any sequence number, and a withdrawal of an earlier one has no effect", func() {
			So(s.Apply(3, announceCommand("a", "h:1", 200, 1, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
			So(s.Apply(4, withdrawCommand("a", 100)).Ok, ShouldBeFalse)
			So(s.Get(spec.Backends, "a").Backend.Standing, ShouldEqual, wire.LifecycleState_READY)
		})
		Convey("Its announcements are stale once a later instance has its address", func() {
			So(s.Apply(3, announceCommand("b", "h:1", 300, 1, wire.LifecycleState_READY)).Ok, ShouldBeTrue)
			So(s.Apply(4, announceCommand("a", "h:1", 100, 8, wire.LifecycleState_READY)).Ok, ShouldBeFalse)
		})
	})
}
