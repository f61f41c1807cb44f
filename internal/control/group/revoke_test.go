package group_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

// handOverScene is a group that requires one copy of each write. Its primary p leaves, and its connections are taken.
// All times are counted from the announcement that it leaves. A time of never means that the event does not happen.
type handOverScene struct {
	// free is when p has a connection for the leader.
	free time.Duration
	// starts is when a new instance starts, and unknown for how long the leader does not know of it.
	starts, unknown time.Duration
	// silentHosts is the number of control hosts that do not answer.
	silentHosts int
	// resumed is when an order to receive again that was given earlier is carried out at replica b.
	resumed time.Duration
	// crash is when p crashes, and cut when nothing of it reaches the leader any more.
	crash, cut time.Duration
	// newLeader is when another control host becomes the leader.
	newLeader time.Duration
}

// calmHandOver is a hand-over from a primary whose connections stay taken.
func calmHandOver() handOverScene {
	return handOverScene{free: never, starts: never, resumed: never, crash: never, cut: never, newLeader: never}
}

// play plays the scene. It returns the group, and for how long it had no open term.
func (sc handOverScene) play() (*copiesSimulation, time.Duration) {
	s := newCopiesSimulation(true, 1)
	b, p := s.find("b"), s.find("p")
	s.silentHosts = sc.silentHosts
	p.full = true
	events := []sceneEvent{
		{0, func() { p.draining = true }},
		{sc.free, func() { p.full = false }},
		{sc.starts, func() { s.add("n", sc.unknown) }},
		{sc.resumed, func() { b.held = 0 }},
		{sc.crash, func() { p.up = false }},
		{sc.cut, func() { p.cut = true }},
		{sc.newLeader, s.replaceLeader},
	}
	return s, s.playEvents(events, 0, 8*time.Second)
}

// maxHandOver is how long a group may be closed by a hand-over from a primary that is never reached: until its term is
// revoked, until it need not step down any more, and until the next one leads.
var maxHandOver = group.DefaultPlatformOptions().AnswerTimeout + group.DefaultPlatformOptions().CatchUpTimeout + failoverTime

// losesNothing plays a scene and checks that nothing acknowledged is lost, and that the group gets another primary in
// time.
func losesNothing(sc handOverScene) {
	s, closed := sc.play()
	So(s.lost, ShouldBeEmpty)
	So(s.gaveUp, ShouldBeFalse)
	So(s.state.Phase, ShouldEqual, wire.Phase_OPEN)
	So(s.state.Primary, ShouldNotEqual, "p")
	limit := maxHandOver
	if sc.newLeader != never {
		// A new leader waits anew.
		limit *= 2
	}
	So(closed, ShouldBeLessThanOrEqualTo, limit)
}

// TestInstanceThatStartsInAHandOverLosesNothing guards against acknowledged writes whose only copy is at an instance
// that started after the replicas were held (review case 11).
func TestInstanceThatStartsInAHandOverLosesNothing(t *testing.T) {
	Convey("Given a primary that leaves, and an instance that starts at any moment of the hand-over", t, func() {
		for starts := -time.Second; starts < 3*time.Second; starts += stepInterval {
			sc := calmHandOver()
			sc.starts = starts
			losesNothing(sc)
			sc.newLeader = starts + 60*time.Millisecond
			losesNothing(sc)
			sc.free = 100 * time.Millisecond
			losesNothing(sc)
		}
	})
}

// TestUnknownInstanceLosesNothing guards against acknowledged writes whose only copy is at an instance that the leader
// does not know yet, because a control host does not answer (review case 12).
func TestUnknownInstanceLosesNothing(t *testing.T) {
	Convey("Given a primary that leaves, and an instance of which the leader learns late", t, func() {
		for starts := -time.Second; starts < 2*time.Second; starts += 2 * stepInterval {
			sc := calmHandOver()
			sc.starts, sc.unknown, sc.silentHosts = starts, time.Second, 1
			losesNothing(sc)
			for end := stepInterval; end < time.Second; end += 6 * stepInterval {
				sc.cut, sc.crash = end, never
				losesNothing(sc)
				sc.cut, sc.crash = never, end
				losesNothing(sc)
			}
		}
	})
}

// TestLateOrderToReceiveLosesNothing guards against acknowledged writes whose only copy is at a replica that was held
// and then carried out an earlier order to receive again (review case 13).
func TestLateOrderToReceiveLosesNothing(t *testing.T) {
	Convey("Given a primary that leaves, and a replica that receives again at any moment of the hand-over", t, func() {
		for resumed := time.Duration(0); resumed < 3*time.Second; resumed += stepInterval {
			sc := calmHandOver()
			sc.resumed = resumed
			losesNothing(sc)
			sc.cut = resumed
			losesNothing(sc)
			sc.cut, sc.free = never, 200*time.Millisecond
			losesNothing(sc)
		}
	})
}

// TestHandOverIsShortWhereThePrimaryIsReached guards against a group that stays closed although its primary can be told
// to step down.
func TestHandOverIsShortWhereThePrimaryIsReached(t *testing.T) {
	Convey("Given a primary that leaves, and has a connection for the leader within 100 ms", t, func() {
		for free := time.Duration(0); free <= 100*time.Millisecond; free += stepInterval {
			sc := calmHandOver()
			sc.free = free
			_, closed := sc.play()
			So(closed, ShouldBeLessThanOrEqualTo, failoverTime)
		}
	})
}

// TestReplicasThatReceiveAreNotToldTo guards against orders to receive again that are carried out late, when the
// replica is to be held (review case 13).
func TestReplicasThatReceiveAreNotToldTo(t *testing.T) {
	Convey("A hand-over from a primary that steps down, and the term after it, order no replica to receive again", t, func() {
		s := newCopiesSimulation(true, 1)
		s.find("p").draining = true
		s.lateResumes = true
		for range 500 {
			s.step()
			s.commit()
		}
		So(s.serves(), ShouldBeTrue)
		for _, c := range s.copies {
			So(c.resumesAt, ShouldBeEmpty)
		}
	})
	Convey("A replica that is held and does not answer for long is let receive again when it answers", t, func() {
		s := newCopiesSimulation(true, 1)
		s.find("p").up = false
		for !s.serves() {
			s.step()
		}
		other := s.find("a")
		if s.state.Primary == "a" {
			other = s.find("b")
		}
		other.held, other.cut = 9, true
		s.statuses[other.name] = group.InstanceStatus{QueriedAt: s.now, PrimaryTerm: 1, Received: other.end(), Held: true}
		for range 500 {
			s.step()
		}
		other.cut = false
		for range 50 {
			s.step()
		}
		So(other.held, ShouldEqual, 0)
	})
}
