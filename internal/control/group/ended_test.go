package group_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

const (
	// never is the time of an event that does not happen.
	never = time.Hour
	// addressDelay is how long after the end of an instance another one starts at its address, and
	// crashDuration how long an instance is down that comes back.
	addressDelay  = 2 * time.Second
	crashDuration = 7 * time.Second
	// failoverTime is how long a failover may take once nothing is waited for.
	failoverTime = time.Second
	// commitInterval is the time between two commits.
	commitInterval = 40 * time.Millisecond
	// leadTime is how long a scene plays before its first event.
	leadTime = 3 * time.Second
)

// endedScene is a group that requires one copy of each write: replica a has ended, and the primary p crashes.
// All times are counted from the end of a. A time of never means that the event does not happen.
type endedScene struct {
	// deaf is from when on replica b receives nothing.
	deaf time.Duration
	// crash is when p crashes, and returns when it is back under another name.
	crash, returns time.Duration
	// successor is when another instance starts with the log of a.
	successor time.Duration
	// newLeader is when another control host becomes the leader.
	newLeader time.Duration
	// until is the end of the scene.
	until time.Duration
}

// play plays the scene. It returns the group, and for how long after the crash it had no open term.
func (sc endedScene) play() (*copiesSimulation, time.Duration) {
	s := newCopiesSimulation(true, 1)
	a, b, p := s.find("a"), s.find("b"), s.find("p")
	events := []sceneEvent{
		{0, func() { s.withdraw(a, 0) }},
		{sc.successor, func() { s.restart(a, true) }},
		{sc.crash, func() { p.up = false }},
		{sc.returns, func() { s.restart(p, true) }},
		{sc.deaf, func() { b.deaf = true }},
		{sc.newLeader, s.replaceLeader},
	}
	return s, s.playEvents(events, sc.crash, sc.until)
}

// sceneEvent is something that happens in a scene at a time.
type sceneEvent struct {
	at time.Duration
	do func()
}

// replaceLeader makes another control host the leader, which knows nothing that is not recorded.
func (s *copiesSimulation) replaceLeader() {
	s.failovers["x"], s.statuses = newPlatformFailover(), map[string]group.InstanceStatus{}
}

// playEvents plays events beside commits until the given time. It returns for how long the group had no open term
// since another one.
func (s *copiesSimulation) playEvents(events []sceneEvent, since, until time.Duration) time.Duration {
	closed := time.Duration(0)
	for at := -leadTime; at < until; at += stepInterval {
		for _, e := range events {
			if e.at == at {
				e.do()
			}
		}
		s.step()
		if at%commitInterval == 0 {
			s.commit()
		}
		if at >= since && !s.serves() {
			closed += stepInterval
		}
	}
	return closed
}

// serves reports whether the group's term is open and its primary leads.
func (s *copiesSimulation) serves() bool {
	p := s.find(s.state.Primary)
	return s.state.Phase == wire.Phase_OPEN && p.name == s.state.Primary && s.leads(p)
}

// TestEndedReplicaIsNotForgotten guards against acknowledged writes that only a replica had which has ended
// when the primary crashes (review case 6), at every time of the crash.
func TestEndedReplicaIsNotForgotten(t *testing.T) {
	Convey("Given a replica that has ended, another one that receives nothing, and a primary that crashes", t, func() {
		play := func(sc endedScene) (*copiesSimulation, time.Duration) {
			sc.until = sc.crash + 12*time.Second
			s, closed := sc.play()
			So(s.lost, ShouldBeEmpty)
			So(s.gaveUp, ShouldBeFalse)
			return s, closed
		}
		for crash := time.Duration(0); crash < 6*time.Second; crash += 100 * time.Millisecond {
			for _, deaf := range []time.Duration{-2 * time.Second, -time.Second / 2, time.Second / 2, never} {
				sc := endedScene{deaf: deaf, crash: crash, returns: crash + crashDuration, successor: addressDelay, newLeader: never}
				_, closed := play(sc)
				So(closed, ShouldBeLessThanOrEqualTo, max(0, addressDelay-crash)+failoverTime)

				sc.successor = never
				_, closed = play(sc)
				So(closed, ShouldBeLessThanOrEqualTo, crashDuration+failoverTime)

				sc.successor, sc.returns = addressDelay, never
				_, closed = play(sc)
				So(closed, ShouldBeLessThanOrEqualTo, max(0, addressDelay-crash)+failoverTime)

				sc.newLeader = crash + stepInterval
				_, closed = play(sc)
				So(closed, ShouldBeLessThanOrEqualTo, max(0, addressDelay-crash)+failoverTime)
			}
		}
	})
}

// TestCopiedLogIsNotWaitedFor guards against a group that stays closed because an instance ended long ago.
func TestCopiedLogIsNotWaitedFor(t *testing.T) {
	Convey("If neither the ended replica nor the failed primary has a successor, the other replica is chosen", t, func() {
		sc := endedScene{deaf: never, crash: time.Second / 2, returns: never, successor: never, newLeader: never, until: 4 * time.Second}
		Convey("At once, where it is known to have all that the ended one may have received", func() {
			s, closed := sc.play()
			So(s.find("a").copied, ShouldBeTrue)
			So(closed, ShouldBeLessThanOrEqualTo, failoverTime)
			So(s.lost, ShouldBeEmpty)
			So(s.gaveUp, ShouldBeFalse)
		})
		Convey("At once, also by a new leader", func() {
			sc.newLeader = sc.crash + stepInterval
			_, closed := sc.play()
			So(closed, ShouldBeLessThanOrEqualTo, failoverTime)
		})
		Convey("After LostLogTimeout, where that is not known, and this is reported", func() {
			sc.crash, sc.until = 0, 3*time.Minute
			s, closed := sc.play()
			So(s.gaveUp, ShouldBeTrue)
			So(closed, ShouldBeBetweenOrEqual, group.DefaultPlatformOptions().LostLogTimeout, group.DefaultPlatformOptions().LostLogTimeout+failoverTime)
		})
	})
}

// TestFirstInstanceAfterAnOutageIsNotPromoted guards against acknowledged writes that are given up because all
// instances were down for long, and the one that comes back first lacks them.
func TestFirstInstanceAfterAnOutageIsNotPromoted(t *testing.T) {
	Convey("Given a group all of whose instances were down for an hour", t, func() {
		s := newCopiesSimulation(true, 1)
		run := func(d time.Duration) {
			for end := s.now.Add(d); s.now.Before(end); {
				s.step()
			}
		}
		run(time.Second)
		s.find("b").deaf = true
		s.commit()
		for _, c := range s.copies {
			c.up = false
		}
		run(time.Hour)
		Convey("A replica that lacks the last write and comes back first is not promoted before the others", func() {
			s.restart(s.find("b"), true)
			run(time.Minute)
			So(s.serves(), ShouldBeFalse)
			s.restart(s.find("a"), true)
			run(failoverTime)
			So(s.state.Primary, ShouldEqual, "a'")
			So(s.serves(), ShouldBeTrue)
			So(s.lost, ShouldBeEmpty)
			So(s.gaveUp, ShouldBeFalse)
		})
		Convey("It is promoted if the others do not come back", func() {
			s.restart(s.find("b"), true)
			run(group.DefaultPlatformOptions().LostLogTimeout + failoverTime)
			So(s.serves(), ShouldBeTrue)
			So(s.gaveUp, ShouldBeTrue)
		})
	})
}

// TestChoiceBeginsAnewWhenTheChosenInstanceEnds guards against a group that stays closed until a promotion
// times out whose instance has ended.
func TestChoiceBeginsAnewWhenTheChosenInstanceEnds(t *testing.T) {
	Convey("A term ends whose chosen instance has ended", t, func() {
		f, v := newPlatformFailover(), openView()
		v.State, v.Promotion = stateAfterChoice("a"), group.PromotionConfirmed
		So(sealReason(f.Step(startTime, v)), ShouldBeEmpty)
		v.Candidates = v.Candidates[1:]
		So(sealReason(f.Step(startTime.Add(time.Second), v)), ShouldEqual, group.ReasonPromotionRefused)
	})
}

// TestLogIsCopiedOnlyAfterItsInstanceStopped guards against a log that is taken to be copied while its
// instance, which has deregistered, may still receive writes and so have them acknowledged.
func TestLogIsCopiedOnlyAfterItsInstanceStopped(t *testing.T) {
	Convey("Given an open group, and a replica that has just deregistered", t, func() {
		f, v := newPlatformFailover(), openView()
		v.RequiredCopies, v.State.Reign = 1, 1
		v.Candidates = v.Candidates[1:]
		v.Ended = []group.EndedInstance{{Name: "a", StoppedAt: startTime.Add(-time.Second)}}
		f.Step(startTime, v)
		answer := func(waited time.Duration) {
			at := startTime.Add(waited)
			p := statusAt(at, 1, 9)
			p.Primary = true
			v.Statuses["p"], v.Statuses["b"] = p, statusAt(at, 1, 9)
		}
		copied := func(waited time.Duration) bool {
			return slices.Contains(f.Step(startTime.Add(waited), v), group.Action(group.RecordCopied{Instance: v.Ended[0]}))
		}
		answer(time.Second)
		Convey("It may run on, also if its address refused connections earlier", func() {
			So(copied(time.Second), ShouldBeFalse)
		})
		Convey("What the others had before its address refused connections does not count, what they have later does", func() {
			v.Ended[0].StoppedAt = startTime.Add(1100 * time.Millisecond)
			So(copied(1200*time.Millisecond), ShouldBeFalse)
			answer(1300 * time.Millisecond)
			So(copied(1300*time.Millisecond), ShouldBeTrue)
		})
		Convey("After two seconds it is taken to have stopped", func() {
			answer(1900 * time.Millisecond)
			So(copied(2*time.Second), ShouldBeFalse)
			answer(2 * time.Second)
			So(copied(2*time.Second), ShouldBeTrue)
		})
		Convey("A replica that lacks the end of the primary's log is not a copy", func() {
			answer(2 * time.Second)
			v.Statuses["b"] = statusAt(startTime.Add(2*time.Second), 1, 8)
			So(copied(2*time.Second), ShouldBeFalse)
			v.Statuses["b"] = statusAt(startTime.Add(3*time.Second), 1, 9)
			So(copied(3*time.Second), ShouldBeTrue)
		})
		Convey("An instance that is no longer the primary does not tell the end", func() {
			answer(2 * time.Second)
			v.State.Reign = 2
			So(copied(2*time.Second), ShouldBeFalse)
		})
	})
}

// TestInstancesThatCameBackAreNotWaitedFor guards against a group that stays closed for good although all its
// instances answer, because some of them were known by other names before they crashed.
func TestInstancesThatCameBackAreNotWaitedFor(t *testing.T) {
	Convey("Given a group whose replicas have crashed and come back under other names", t, func() {
		s := newCopiesSimulation(true, 1)
		run := func(d time.Duration) {
			for end := s.now.Add(d); s.now.Before(end); {
				s.step()
				s.commit()
			}
		}
		for _, name := range []string{"a", "b"} {
			s.find(name).up = false
			run(time.Second)
			s.restart(s.find(name), true)
			run(time.Second)
		}
		Convey("When the primary is lost, one of them replaces it", func() {
			s.find("p").up = false
			run(failoverTime)
			So(s.state.Phase, ShouldEqual, wire.Phase_OPEN)
			So(s.state.Primary, ShouldBeIn, "a'", "b'")
		})
		Convey("When the primary comes back likewise and is a replica by then, there is a primary again", func() {
			s.find("p").up = false
			s.find("a").up, s.find("b").up = false, false
			run(time.Second)
			for _, name := range []string{"p", "a", "b"} {
				s.restart(s.find(name), true)
			}
			run(2 * failoverTime)
			So(s.state.Phase, ShouldEqual, wire.Phase_OPEN)
		})
		So(s.lost, ShouldBeEmpty)
	})
}
