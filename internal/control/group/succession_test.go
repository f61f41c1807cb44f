package group_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
)

var begin = time.Unix(5000, 0)

func succession() *group.Succession {
	return &group.Succession{Options: group.DefaultSuccessionOptions()}
}

// views of an open group with a primary p and replicas a and b.
func openView() group.SuccessionView {
	return group.SuccessionView{
		Name: "g", Host: "core", Run: &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "p"},
		Candidates: []group.Candidate{{Name: "a"}, {Name: "b"}, {Name: "p", Primary: true}},
		Sights:     map[string]group.Sight{},
	}
}

func sealedView(reason string) group.SuccessionView {
	v := openView()
	v.Run = &wire.GroupState{Term: 2, Phase: wire.Phase_SEALED, Primary: "p", Reason: reason, Sealed: 9}
	v.Released = true
	return v
}

func seen(at time.Time, term, number uint64) group.Sight {
	return group.Sight{Asked: at, Reign: 1, Received: group.Place{Term: term, Number: number}}
}

func chosen(acts []group.Action) string {
	for _, a := range acts {
		if p, ok := a.(group.Propose); ok && p.Command.GetChoose() != nil {
			return p.Command.GetChoose().Primary
		}
	}
	return ""
}

func sealed(acts []group.Action) string {
	for _, a := range acts {
		if p, ok := a.(group.Propose); ok && p.Command.GetSeal() != nil {
			return p.Command.GetSeal().Reason
		}
	}
	return ""
}

func TestSuccessionGuards(t *testing.T) {
	Convey("An open term ends when its primary failed, leaves or was deposed, and not otherwise", t, func() {
		v := openView()
		So(succession().Step(begin, v), ShouldBeEmpty)
		v.Failed = true
		So(sealed(succession().Step(begin, v)), ShouldEqual, group.Failed)
		v = openView()
		v.Candidates[2].Leaving = true
		So(sealed(succession().Step(begin, v)), ShouldEqual, group.Leaving)
		v.Candidates[0].Leaving, v.Candidates[1].Leaving = true, true
		So(succession().Step(begin, v), ShouldBeEmpty)
		v = openView()
		v.Candidates[2].Primary = false
		s := succession()
		So(s.Step(begin, v), ShouldResemble, []group.Action{group.Ask{Instance: "p"}})
		v.Sights["p"] = seen(begin.Add(time.Millisecond), 1, 5)
		So(sealed(s.Step(begin.Add(2*time.Millisecond), v)), ShouldEqual, group.Deposed)
	})
}

func TestSuccessionChooses(t *testing.T) {
	Convey("Nothing is chosen before the seal is in force", t, func() {
		v := sealedView(group.Failed)
		v.Released = false
		So(succession().Step(begin, v), ShouldBeEmpty)
	})
	Convey("Of the replicas that answered after the release the one that has received most is chosen", t, func() {
		s, v := succession(), sealedView(group.Failed)
		So(chosen(s.Step(begin, v)), ShouldBeEmpty)
		v.Sights["a"] = seen(begin.Add(-time.Second), 1, 99)
		v.Sights["b"] = seen(begin.Add(time.Millisecond), 1, 7)
		So(chosen(s.Step(begin.Add(10*time.Millisecond), v)), ShouldBeEmpty)
		v.Sights["a"] = seen(begin.Add(11*time.Millisecond), 1, 8)
		So(chosen(s.Step(begin.Add(20*time.Millisecond), v)), ShouldEqual, "a")
	})
	Convey("A higher term goes before a higher number", t, func() {
		s, v := succession(), sealedView(group.Failed)
		s.Step(begin, v)
		v.Sights["a"], v.Sights["b"] = seen(begin.Add(1), 1, 900), seen(begin.Add(1), 2, 3)
		So(chosen(s.Step(begin.Add(time.Millisecond), v)), ShouldEqual, "b")
	})
	Convey("A silent replica is waited for, but not for long", t, func() {
		s, v := succession(), sealedView(group.Failed)
		s.Step(begin, v)
		v.Sights["b"] = seen(begin.Add(1), 1, 3)
		So(chosen(s.Step(begin.Add(100*time.Millisecond), v)), ShouldBeEmpty)
		So(chosen(s.Step(begin.Add(group.DefaultSuccessionOptions().Answers), v)), ShouldEqual, "b")
	})
	Convey("A planned replacement waits until the next primary has received all, within a limit", t, func() {
		s, v := succession(), sealedView(group.Leaving)
		v.Candidates[2].Leaving = true
		s.Step(begin, v)
		v.Sights = map[string]group.Sight{"p": seen(begin.Add(1), 1, 9), "a": seen(begin.Add(1), 1, 8), "b": seen(begin.Add(1), 1, 7)}
		So(chosen(s.Step(begin.Add(time.Millisecond), v)), ShouldBeEmpty)
		v.Sights["a"] = seen(begin.Add(2), 1, 9)
		So(chosen(s.Step(begin.Add(2*time.Millisecond), v)), ShouldEqual, "a")
	})
	Convey("Where only the former primary answers, it is chosen again", t, func() {
		s, v := succession(), sealedView(group.Failed)
		s.Step(begin, v)
		v.Sights["p"] = seen(begin.Add(1), 1, 9)
		So(chosen(s.Step(begin.Add(2*group.DefaultSuccessionOptions().Answers), v)), ShouldEqual, "p")
	})
}

func TestSuccessionWithCopies(t *testing.T) {
	Convey("Given a group whose writes are acknowledged once a replica has received them", t, func() {
		s, v := succession(), sealedView(group.Failed)
		v.Copies, v.Run.Reign = 1, 4
		Convey("Replicas are held before one is chosen, the primary is only asked", func() {
			So(s.Step(begin, v), ShouldResemble, []group.Action{
				group.Ask{Instance: "a", Hold: 5}, group.Ask{Instance: "b", Hold: 5}, group.Ask{Instance: "p"},
			})
		})
		Convey("One answer of two replicas is not enough, however long it takes", func() {
			s.Step(begin, v)
			v.Sights["a"] = seen(begin.Add(1), 1, 9)
			So(chosen(s.Step(begin.Add(time.Minute), v)), ShouldBeEmpty)
			v.Sights["b"] = seen(begin.Add(1), 1, 10)
			So(chosen(s.Step(begin.Add(time.Minute+time.Second), v)), ShouldEqual, "b")
		})
		Convey("With the former primary's answer one is, once it has received all", func() {
			s.Step(begin, v)
			v.Sights["p"], v.Sights["a"] = seen(begin.Add(1), 1, 9), seen(begin.Add(1), 1, 8)
			So(chosen(s.Step(begin.Add(time.Second), v)), ShouldBeEmpty)
			So(chosen(s.Step(begin.Add(2*time.Second), v)), ShouldEqual, "p")
		})
		Convey("After the term has opened the others receive again", func() {
			open := openView()
			open.Copies = 1
			So(succession().Step(begin, open), ShouldResemble, []group.Action{
				group.Ask{Instance: "a", Resume: true}, group.Ask{Instance: "b", Resume: true},
			})
		})
	})
}

func TestSuccessionPromotes(t *testing.T) {
	Convey("Given a choice of this control host", t, func() {
		s, v := succession(), sealedView(group.Failed)
		v.Run = &wire.GroupState{Term: 2, Phase: wire.Phase_CHOSEN, Primary: "a", Chooser: "core", Fence: 40}
		So(s.Step(begin, v), ShouldResemble, []group.Action{group.Order{Instance: "a", Fence: 40}})
		Convey("An instance that leads already does not open the term before its order is confirmed", func() {
			v.Sights["a"] = group.Sight{Asked: begin.Add(1), Primary: true, Reign: 2}
			v.Order = group.Pending
			So(s.Step(begin.Add(time.Second), v), ShouldBeEmpty)
		})
		Convey("An order without an answer is repeated under a new choice, and so a new token", func() {
			v.Order = group.Unanswered
			So(chosen(s.Step(begin.Add(time.Second), v)), ShouldEqual, "a")
		})
		Convey("A refused order ends the term, and another instance is chosen next", func() {
			v.Order = group.Declined
			So(sealed(s.Step(begin.Add(time.Millisecond), v)), ShouldEqual, group.Refused)
			now := begin.Add(10 * time.Millisecond)
			next := sealedView(group.Refused)
			next.Run.Term = 3
			s.Step(now, next)
			next.Sights["a"], next.Sights["b"] = seen(now.Add(1), 1, 9), seen(now.Add(1), 1, 1)
			So(chosen(s.Step(now.Add(300*time.Millisecond), next)), ShouldEqual, "b")
		})
		Convey("A confirmed order opens the term once the instance leads", func() {
			v.Order = group.Confirmed
			So(s.Step(begin.Add(time.Millisecond), v), ShouldResemble, []group.Action{group.Ask{Instance: "a"}})
			v.Sights["a"] = group.Sight{Asked: begin.Add(1), Primary: true, Reign: 2, Received: group.Place{Term: 1, Number: 8}}
			acts := s.Step(begin.Add(70*time.Millisecond), v)
			So(acts, ShouldHaveLength, 1)
			o := acts[0].(group.Propose).Command.GetOpen()
			So(o.Reign, ShouldEqual, 2)
			So(o.Fork.Number, ShouldEqual, 8)
		})
	})
	Convey("Another control host's choice is made anew before anything is ordered", t, func() {
		v := sealedView(group.Failed)
		v.Run = &wire.GroupState{Term: 2, Phase: wire.Phase_CHOSEN, Primary: "a", Chooser: "former", Fence: 40}
		So(chosen(succession().Step(begin, v)), ShouldEqual, "a")
	})
}

// late is an order on its way to the platform.
type late struct {
	instance string
	fence    uint64
}

// outside is a group as the platform runs it, with two control hosts that may both believe that
// they lead, and orders that are carried out late or lose their answers.
type outside struct {
	run    *wire.GroupState
	index  uint64
	now    time.Time
	steps  map[string]*group.Succession
	orders map[string]map[uint64]group.OrderState
	way    []late
	seenBy uint64
	leader string
	reign  uint64
	sights map[string]group.Sight
	used   map[uint64]string
}

func newOutside() *outside {
	return &outside{
		run: &wire.GroupState{Term: 1, Phase: wire.Phase_OPEN, Primary: "p"}, index: 10, now: begin, leader: "p", reign: 1,
		steps:  map[string]*group.Succession{"x": succession(), "y": succession()},
		orders: map[string]map[uint64]group.OrderState{"x": {}, "y": {}}, sights: map[string]group.Sight{}, used: map[uint64]string{},
	}
}

func (w *outside) view(host string, failed bool) group.SuccessionView {
	v := openView()
	v.Host, v.Run, v.Failed, v.Released, v.Sights = host, w.run, failed, true, w.sights
	for i := range v.Candidates {
		v.Candidates[i].Primary = v.Candidates[i].Name == w.leader
	}
	v.Order = w.orders[host][w.run.Fence]
	return v
}

// apply carries out a proposal as the replicated state does.
func (w *outside) apply(cmd *wire.Command) {
	w.index++
	run := &wire.GroupState{Term: w.run.Term, Phase: w.run.Phase, Primary: w.run.Primary, Chooser: w.run.Chooser, Fence: w.run.Fence, Reason: w.run.Reason}
	switch {
	case cmd.GetSeal() != nil && cmd.GetSeal().Term == run.Term:
		run.Term++
		run.Phase, run.Reason = wire.Phase_SEALED, cmd.GetSeal().Reason
	case cmd.GetChoose() != nil && cmd.GetChoose().Term == run.Term && run.Phase != wire.Phase_OPEN:
		run.Phase, run.Primary, run.Chooser, run.Fence = wire.Phase_CHOSEN, cmd.GetChoose().Primary, cmd.GetChoose().Chooser, w.index
	case cmd.GetOpen() != nil && cmd.GetOpen().Term == run.Term && run.Phase == wire.Phase_CHOSEN && run.Primary == cmd.GetOpen().Primary:
		run.Phase = wire.Phase_OPEN
	}
	w.run = run
}

// deliver lets the platform carry out an order.
func (w *outside) deliver(o late) bool {
	if o.fence < w.seenBy {
		return false
	}
	w.seenBy = o.fence
	if w.leader != o.instance {
		w.leader = o.instance
		w.reign++
	}
	return true
}

// TestOpenTermsAreNotOvertaken plays two control hosts, late orders and lost answers, and
// checks that the primary of an open term leads and that no order that is still on its way
// can change that, and that no fencing token is used by two hosts.
func TestOpenTermsAreNotOvertaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOutside()
		step := func(t *rapid.T) {
			host := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host")
			failed := w.run.Phase == wire.Phase_OPEN && rapid.IntRange(0, 3).Draw(t, "failed") == 0
			for _, a := range w.steps[host].Step(w.now, w.view(host, failed)) {
				switch a := a.(type) {
				case group.Propose:
					w.apply(a.Command)
				case group.Ask:
					w.sights[a.Instance] = group.Sight{Asked: w.now, Primary: a.Instance == w.leader, Reign: w.reign, Received: group.Place{Term: 1, Number: uint64(len(a.Instance))}}
				case group.Order:
					if by, twice := w.used[a.Fence]; twice && by != host {
						t.Fatalf("token %d is used by %s and %s", a.Fence, by, host)
					}
					w.used[a.Fence] = host
					w.orders[host][a.Fence] = group.Pending
					w.way = append(w.way, late{a.Instance, a.Fence})
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":  step,
			"step2": step,
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				if len(w.way) == 0 {
					return
				}
				o := w.way[len(w.way)-1]
				w.way = w.way[:len(w.way)-1]
				st := group.Declined
				if w.deliver(o) {
					st = group.Confirmed
				}
				w.orders[w.used[o.fence]][o.fence] = st
			},
			"lose answer": func(t *rapid.T) {
				if len(w.way) > 0 {
					o := w.way[len(w.way)-1]
					w.orders[w.used[o.fence]][o.fence] = group.Unanswered
				}
			},
			"late": func(t *rapid.T) {
				if len(w.way) > 0 {
					i := rapid.IntRange(0, len(w.way)-1).Draw(t, "order")
					w.deliver(w.way[i])
					w.way = append(w.way[:i], w.way[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if w.run.Phase != wire.Phase_OPEN || w.run.Term == 1 {
					return
				}
				if w.leader != w.run.Primary {
					t.Fatalf("term %d is open for %s, and %s leads", w.run.Term, w.run.Primary, w.leader)
				}
				for _, o := range w.way {
					if o.fence >= w.seenBy && o.instance != w.leader {
						t.Fatalf("order %s can still replace %s", fmt.Sprint(o), w.leader)
					}
				}
			},
		})
	})
}
