package group_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

// TestNextPrimaryHasWhatAnyReplicaReported guards against acknowledged writes that are lost because the
// only replica that has received them is passed over, as it is draining or could not be promoted (review
// case 2).
func TestNextPrimaryHasWhatAnyReplicaReported(t *testing.T) {
	Convey("Given a failed primary, a replica that lacks the last writes, and one that has them, with writes that require a copy", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		v.RequiredCopies = 1
		f.Step(startTime, v)
		at := startTime.Add(10 * time.Millisecond)
		v.Statuses["a"], v.Statuses["b"] = statusAt(at, 1, 5), statusAt(at, 1, 9)
		choose := func(waited time.Duration) string { return proposedPrimary(f.Step(startTime.Add(waited), v)) }
		Convey("The latter is chosen although it is draining", func() {
			v.Candidates[1].Draining, v.Candidates[1].LeaveDeadline = true, startTime.Add(time.Minute)
			So(choose(time.Second), ShouldEqual, "b")
		})
		Convey("While it leaves too soon to be chosen, and once it is gone, nobody is, until another instance has its log", func() {
			v.Candidates[1].Draining, v.Candidates[1].LeaveDeadline = true, startTime.Add(time.Second)
			So(choose(time.Second), ShouldBeEmpty)
			v.Candidates = []group.Candidate{{Name: "a"}, {Name: "p"}}
			So(f.Step(startTime.Add(time.Minute), v), ShouldContain, group.Waiting{Reason: group.WaitForWrites})
			v.Candidates = append(v.Candidates, group.Candidate{Name: "c"})
			v.Statuses["c"] = statusAt(startTime.Add(time.Minute), 1, 9)
			So(choose(2*time.Minute), ShouldEqual, "c")
		})
		Convey("It is chosen again after its promotion was refused, and not the other one", func() {
			chosen := v
			chosen.State = stateAfterChoice("b")
			chosen.Promotion = group.PromotionDeclined
			now := startTime.Add(time.Second)
			So(sealReason(f.Step(now, chosen)), ShouldEqual, group.ReasonPromotionRefused)
			v.State = sealedState(group.ReasonPromotionRefused, "b", 3)
			f.Step(now, v)
			at = now.Add(10 * time.Millisecond)
			v.Statuses["a"], v.Statuses["b"], v.Statuses["p"] = statusAt(at, 1, 5), statusAt(at, 1, 9), statusAt(at, 1, 4)
			var name string
			for waited := time.Duration(0); name == "" && waited < 5*time.Second; waited += 20 * time.Millisecond {
				name = proposedPrimary(f.Step(at.Add(waited), v))
			}
			So(name, ShouldEqual, "b")
		})
	})
}

// TestNothingIsAcknowledgedAfterTheChoice guards against writes that the former primary has acknowledged
// by a replica that the leader does not reach, while another one is promoted (review case 3).
func TestNothingIsAcknowledgedAfterTheChoice(t *testing.T) {
	Convey("Given a primary that leaves, a replica with its whole log, and one that does not answer", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryDraining)
		v.RequiredCopies, v.State.Reign = 1, 4
		v.Candidates[2].Draining, v.Candidates[2].LeaveDeadline = true, startTime.Add(time.Minute)
		f.Step(startTime, v)
		at := startTime.Add(10 * time.Millisecond)
		former := statusAt(at, 4, 9)
		former.Primary, former.PrimaryTerm = true, 4
		v.Statuses["p"], v.Statuses["a"] = former, statusAt(at, 4, 9)
		Convey("While the primary leads, the replica is not chosen, and the primary is told to step down", func() {
			acts := f.Step(startTime.Add(200*time.Millisecond), v)
			So(proposedPrimary(acts), ShouldBeEmpty)
			So(acts, ShouldContain, group.QueryStatus{Instance: "p", StepDownTerm: 5})
			So(acts, ShouldContain, group.QueryStatus{Instance: "b"})
		})
		Convey("If it does not step down in time, its term is revoked, also if both replicas have answered", func() {
			v.Statuses["b"] = statusAt(at, 4, 9)
			acts := f.Step(startTime.Add(time.Second), v)
			So(proposedPrimary(acts), ShouldBeEmpty)
			So(sealReason(acts), ShouldEqual, group.ReasonPrimaryDraining)
			So(acts[len(acts)-1].(group.Propose).Command.GetSeal().Revoke, ShouldBeTrue)
		})
		Convey("If its term is revoked and it leaves too soon to be chosen again, nobody is, and the reason is reported", func() {
			v.State.Revoked = v.State.Term
			v.Candidates[2].LeaveDeadline = startTime.Add(2 * time.Second)
			acts := f.Step(startTime.Add(2*time.Second), v)
			So(proposedPrimary(acts), ShouldBeEmpty)
			So(acts, ShouldContain, group.Waiting{Reason: group.WaitForHold})
		})
		Convey("Once it has stepped down, a replica with its whole log is chosen", func() {
			former.Primary = false
			v.Statuses["p"] = former
			So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldEqual, "a")
		})
		Convey("A replica that lacks the end of its log receives it first", func() {
			former.Primary = false
			held := statusAt(at, 4, 8)
			held.Held = true
			v.Statuses["p"], v.Statuses["a"] = former, held
			acts := f.Step(startTime.Add(time.Second), v)
			So(proposedPrimary(acts), ShouldBeEmpty)
			So(acts, ShouldContain, group.QueryStatus{Instance: "a", ResumeReplication: true})
			v.Statuses["a"] = statusAt(startTime.Add(time.Second), 4, 9)
			So(proposedPrimary(f.Step(startTime.Add(time.Second+stepInterval), v)), ShouldEqual, "a")
		})
		Convey("A primary that has lost its data has not stepped down", func() {
			former.Primary, former.Received = false, group.LogPosition{}
			v.State.Fork = &wire.LogPosition{Term: 3, Number: 1}
			v.Statuses["p"] = former
			So(proposedPrimary(f.Step(startTime.Add(time.Minute), v)), ShouldBeEmpty)
		})
		Convey("Once its term is revoked and both replicas are held, it need not step down", func() {
			v.State.Revoked = v.State.Term
			v.Statuses["b"] = statusAt(at, 4, 3)
			Convey("But has the time to do so if it answers", func() {
				So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldBeEmpty)
				So(proposedPrimary(f.Step(startTime.Add(group.DefaultPlatformOptions().CatchUpTimeout), v)), ShouldEqual, "a")
			})
			Convey("Also if it answers only that it is busy", func() {
				delete(v.Statuses, "p")
				v.OverloadedAt = map[string]time.Time{"p": at}
				So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldBeEmpty)
			})
			Convey("And none if it does not answer", func() {
				delete(v.Statuses, "p")
				So(proposedPrimary(f.Step(startTime.Add(group.DefaultPlatformOptions().AnswerTimeout), v)), ShouldEqual, "a")
			})
			Convey("Unless a control host is silent, to which an instance may have announced itself", func() {
				delete(v.Statuses, "p")
				v.SilentControlHosts = 1
				So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldBeEmpty)
				So(proposedPrimary(f.Step(startTime.Add(group.DefaultPlatformOptions().AnnouncementTimeout), v)), ShouldEqual, "a")
			})
			Convey("And a wait for several silent control hosts is reported", func() {
				delete(v.Statuses, "p")
				v.SilentControlHosts = 2
				So(f.Step(startTime.Add(2*time.Second), v), ShouldContain, group.Waiting{Reason: group.WaitForFormer})
			})
			Convey("A replica that was let receive again is not held", func() {
				delete(v.Statuses, "p")
				b := v.Statuses["b"]
				b.Resumed = true
				v.Statuses["b"] = b
				So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldBeEmpty)
			})
		})
	})
	Convey("Replicas are held until the chosen instance leads", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPrimaryFailed)
		v.RequiredCopies, v.State = 1, stateAfterChoice("a")
		v.State.Revoked = v.State.Term
		v.Promotion = group.PromotionPending
		So(f.Step(startTime, v), ShouldContain, group.QueryStatus{Instance: "b", MinPrimaryTerm: 1})
	})
	Convey("After a refused promotion the former primary is unknown, and two of three must be held", t, func() {
		f, v := newPlatformFailover(), sealedView(group.ReasonPromotionRefused)
		v.RequiredCopies, v.State.Primary = 1, "a"
		f.Step(startTime, v)
		v.Statuses["a"] = statusAt(startTime.Add(1), 1, 9)
		So(proposedPrimary(f.Step(startTime.Add(time.Second), v)), ShouldBeEmpty)
		v.Statuses["b"] = statusAt(startTime.Add(1), 1, 7)
		So(proposedPrimary(f.Step(startTime.Add(2*time.Second), v)), ShouldEqual, "a")
	})
}
