package quorum_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

func seeded(seed int64) func(time.Duration) time.Duration {
	r := rand.New(rand.NewSource(seed))
	return func(n time.Duration) time.Duration { return time.Duration(r.Int63n(int64(n))) }
}

// TestQuorumKeepsItsPromises drives cores with crashes, cuts, lost, late and doubled messages
// and checks one leader a term, one value an index, one lease at a time and current reads.
func TestQuorumKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newNet(rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts"), seeded(rapid.Int64().Draw(t, "seed")))
		host := rapid.SampledFrom(f.ids)
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				f.tick(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
			},
			"calm": func(t *rapid.T) { f.calm(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond) },
			"deliver": func(t *rapid.T) {
				if len(f.flight) > 0 {
					f.deliver(rapid.IntRange(0, len(f.flight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"))
				}
			},
			"drop": func(t *rapid.T) {
				if len(f.flight) > 0 {
					i := rapid.IntRange(0, len(f.flight)-1).Draw(t, "message")
					f.flight = append(f.flight[:i:i], f.flight[i+1:]...)
				}
			},
			"propose": func(t *rapid.T) { f.propose(host.Draw(t, "host"), fmt.Sprint(f.nextID)) },
			"read":    func(t *rapid.T) { f.read(host.Draw(t, "host")) },
			"crash":   func(t *rapid.T) { f.crash(host.Draw(t, "host")) },
			"restart": func(t *rapid.T) {
				if id := host.Draw(t, "host"); !f.nodes[id].up {
					f.start(id)
				}
			},
			"blackout": func(t *rapid.T) {
				for _, id := range f.ids {
					f.crash(id)
				}
				f.flight = nil
				for _, id := range f.ids {
					f.start(id)
				}
			},
			"cut":      func(t *rapid.T) { f.cut[host.Draw(t, "host")] = true },
			"heal":     func(t *rapid.T) { f.cut = map[string]bool{} },
			"compact":  func(t *rapid.T) { f.compact(host.Draw(t, "host")) },
			"handover": func(t *rapid.T) { f.step(host.Draw(t, "host"), quorum.Handover{}) },
			"": func(t *rapid.T) {
				if len(f.faults) > 0 {
					t.Fatal(f.faults)
				}
			},
		})
		recover1(t, f)
	})
}

// recover1 checks that hosts which are all up and connected agree again and go on.
func recover1(t *rapid.T, f *fakeNet) {
	f.cut = map[string]bool{}
	for _, id := range f.ids {
		if !f.nodes[id].up {
			f.start(id)
		}
	}
	f.calm(5 * time.Second)
	leader := f.leader()
	if leader == "" {
		t.Fatalf("no leader after all hosts were connected for 5 s")
	}
	id := f.propose(leader, "last")
	f.calm(time.Second)
	placed := f.placed[id]
	if f.applied[placed.Index] != fmt.Sprintf("%d:last", placed.Term) {
		t.Fatalf("proposal was not committed: %+v", placed)
	}
	for _, one := range f.ids {
		if f.nodes[one].index < placed.Index {
			t.Fatalf("%s did not catch up", one)
		}
	}
	if len(f.faults) > 0 {
		t.Fatal(f.faults)
	}
}

func TestQuorumLeader(t *testing.T) {
	Convey("Given three control hosts with a leader", t, func() {
		f := newNet(3, seeded(1))
		f.calm(2 * time.Second)
		first := f.leader()
		So(first, ShouldNotBeEmpty)

		Convey("A leader that is cut off loses its lease before another one has one", func() {
			f.cut[first] = true
			f.calm(3 * time.Second)
			So(f.leader(), ShouldNotEqual, first)
			So(f.leader(), ShouldNotBeEmpty)
			So(f.nodes[first].core.Role(), ShouldNotEqual, quorum.Leader)
			So(f.faults, ShouldBeEmpty)
		})
		Convey("A host that was cut off does not disturb the leader when it returns", func() {
			other := f.ids[0]
			if other == first {
				other = f.ids[1]
			}
			term := f.nodes[first].core.Term()
			f.cut[other] = true
			f.calm(10 * time.Second)
			f.cut = map[string]bool{}
			f.calm(time.Second)
			So(f.leader(), ShouldEqual, first)
			So(f.nodes[first].core.Term(), ShouldEqual, term)
		})
		Convey("After a restart of all hosts the former leader leads again within an election timeout", func() {
			for _, id := range f.ids {
				f.crash(id)
			}
			f.flight = nil
			for _, id := range f.ids {
				f.start(id)
			}
			f.calm(election - beat)
			So(f.leader(), ShouldEqual, first)
			So(f.faults, ShouldBeEmpty)
		})
		Convey("A leader that restarts while others hold its lease leads again at once", func() {
			f.crash(first)
			f.tick(beat)
			f.start(first)
			f.calm(3 * beat)
			So(f.leader(), ShouldEqual, first)
			So(f.faults, ShouldBeEmpty)
		})
		Convey("Another host waits for the lease of a leader that is gone", func() {
			f.crash(first)
			f.calm(election - beat)
			So(f.leader(), ShouldBeEmpty)
		})
		Convey("Handover moves the lead at once", func() {
			f.step(first, quorum.Handover{})
			f.calm(200 * time.Millisecond)
			So(f.leader(), ShouldNotEqual, first)
			So(f.leader(), ShouldNotBeEmpty)
		})
		Convey("The margin counts the voters that follow", func() {
			So(f.nodes[first].core.Margin(), ShouldEqual, 1)
			for _, id := range f.ids {
				if id != first {
					f.crash(id)
					break
				}
			}
			f.calm(400 * time.Millisecond)
			So(f.nodes[first].core.Margin(), ShouldEqual, 0)
		})
	})
}

func TestQuorumMembers(t *testing.T) {
	Convey("Given three control hosts of which one has lost its disk", t, func() {
		f := newNet(3, seeded(2))
		f.calm(2 * time.Second)
		first := f.leader()
		for i := range 20 {
			f.propose(first, fmt.Sprint(i))
		}
		f.calm(200 * time.Millisecond)
		f.compact(first)
		lost := f.ids[0]
		if lost == first {
			lost = f.ids[1]
		}
		f.crash(lost)
		members := func(change func(*wire.Members)) bool {
			m := f.nodes[f.leader()].core.Members()
			change(m)
			f.nextID++
			f.step(f.leader(), quorum.Propose{Items: []quorum.Proposal{{ID: f.nextID, Kind: wire.EntryKind_MEMBERS, Data: quorum.EncodeMembers(m)}}})
			return !f.refused[f.nextID]
		}
		Convey("Its new identity learns, the old one goes, and then it votes", func() {
			f.ids = append(f.ids, "new")
			f.nodes["new"] = &node{id: "new", disk: quorum.Restored{Snapshot: quorum.Snapshot{Members: &wire.Members{}}}}
			f.start("new")
			So(members(func(m *wire.Members) { m.Members = append(m.Members, &wire.Member{Id: "new", Learner: true}) }), ShouldBeTrue)
			f.calm(3 * time.Second)
			So(f.nodes[f.leader()].core.CaughtUp("new"), ShouldBeTrue)
			So(f.nodes["new"].index, ShouldBeGreaterThan, 20)
			So(members(func(m *wire.Members) { m.Members = without(m.Members, lost) }), ShouldBeTrue)
			f.calm(time.Second)
			So(members(func(m *wire.Members) { m.Members[len(m.Members)-1].Learner = false }), ShouldBeTrue)
			f.calm(time.Second)
			So(f.nodes[f.leader()].core.Margin(), ShouldEqual, 1)
			So(f.faults, ShouldBeEmpty)
		})
		Convey("Two voters cannot change at once", func() {
			So(members(func(m *wire.Members) { m.Members = m.Members[:1] }), ShouldBeFalse)
		})
		Convey("A change waits for the one before to be committed", func() {
			f.cut[f.leader()] = true
			lead := f.leader()
			So(members(func(m *wire.Members) { m.Members = append(m.Members, &wire.Member{Id: "x", Learner: true}) }), ShouldBeTrue)
			So(f.leader(), ShouldEqual, lead)
			So(members(func(m *wire.Members) { m.Members = append(m.Members, &wire.Member{Id: "y", Learner: true}) }), ShouldBeFalse)
		})
	})
}

func without(list []*wire.Member, id string) []*wire.Member {
	var out []*wire.Member
	for _, m := range list {
		if m.Id != id {
			out = append(out, m)
		}
	}
	return out
}

// TestRestartedVoterWaitsForTheLease checks whom a host votes for that may have confirmed a
// heartbeat just before it restarted.
func TestRestartedVoterWaitsForTheLease(t *testing.T) {
	Convey("Given a voter that restarts in a term that n0 has led", t, func() {
		now := time.Unix(1000, 0)
		members := &wire.Members{Members: []*wire.Member{{Id: "n0"}, {Id: "n1"}, {Id: "n2"}}}
		core := quorum.New(now, quorum.Options{ID: "n1", Election: election, Beat: beat, Jitter: seeded(1)}, quorum.Restored{
			Term: 3, Vote: "n0", Snapshot: quorum.Snapshot{Members: members},
			Entries: []*wire.Entry{{Index: 1, Term: 3, Kind: wire.EntryKind_BARRIER, Data: []byte("n0")}},
		})
		votes := func(at time.Time, from string) bool {
			m := &wire.Message{Kind: wire.MessageKind_PREVOTE, From: from, To: "n1", Term: 4, Index: 1, Logterm: 3}
			for _, a := range core.Step(at, quorum.Received{Message: m}) {
				if s, ok := a.(quorum.Send); ok && s.Message.Kind == wire.MessageKind_PREVOTED {
					return !s.Message.Reject
				}
			}
			return false
		}
		So(votes(now.Add(election-1), "n2"), ShouldBeFalse)
		So(votes(now, "n0"), ShouldBeTrue)
		So(votes(now.Add(election), "n2"), ShouldBeTrue)
	})
}
