package quorum_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

const (
	election = 300 * time.Millisecond
	beat     = 50 * time.Millisecond
)

// node is one control host: its core and what it has on disk.
type node struct {
	id    string
	core  *quorum.Core
	disk  quorum.Restored
	up    bool
	index uint64
}

// fakeNet is control hosts with a network that delivers by hand. Its time moves by hand too.
type fakeNet struct {
	now     time.Time
	nodes   map[string]*node
	ids     []string
	flight  []*wire.Message
	cut     map[string]bool
	jitter  func(n time.Duration) time.Duration
	applied map[uint64]string
	leaders map[uint64]string
	faults  []string
	placed  map[uint64]quorum.Placed
	refused map[uint64]bool
	reads   map[uint64]uint64
	asked   map[uint64]uint64
	nextID  uint64
}

func newNet(n int, jitter func(time.Duration) time.Duration) *fakeNet {
	f := &fakeNet{
		now: time.Unix(1000, 0), nodes: map[string]*node{}, cut: map[string]bool{}, jitter: jitter,
		applied: map[uint64]string{}, leaders: map[uint64]string{}, placed: map[uint64]quorum.Placed{},
		refused: map[uint64]bool{}, reads: map[uint64]uint64{}, asked: map[uint64]uint64{},
	}
	members := &wire.Members{}
	for i := range n {
		id := fmt.Sprintf("n%d", i)
		f.ids = append(f.ids, id)
		members.Members = append(members.Members, &wire.Member{Id: id})
	}
	for _, id := range f.ids {
		f.nodes[id] = &node{id: id, disk: quorum.Restored{Snapshot: quorum.Snapshot{Members: members}}}
		f.start(id)
	}
	return f
}

func (f *fakeNet) start(id string) {
	nd := f.nodes[id]
	nd.up = true
	nd.index = nd.disk.Snapshot.Index
	nd.core = quorum.New(f.now, quorum.Options{ID: id, Election: election, Beat: beat, Jitter: f.jitter}, nd.disk)
}

func (f *fakeNet) crash(id string) { f.nodes[id].up = false }

// step lets one host decide and carries out its actions.
func (f *fakeNet) step(id string, ev quorum.Event) {
	nd := f.nodes[id]
	if !nd.up {
		return
	}
	for _, a := range nd.core.Step(f.now, ev) {
		f.carryOut(nd, a)
	}
	f.checkLease(nd)
}

func (f *fakeNet) carryOut(nd *node, a quorum.Action) {
	switch a := a.(type) {
	case quorum.Save:
		nd.save(a)
	case quorum.Send:
		f.flight = append(f.flight, proto.Clone(a.Message).(*wire.Message))
	case quorum.Apply:
		for _, e := range a.Entries {
			f.apply(nd, e)
		}
	case quorum.Install:
		nd.disk.Snapshot = a.Snapshot
		nd.disk.Entries = nil
		nd.index = a.Snapshot.Index
	case quorum.Placed:
		f.placed[a.ID] = a
	case quorum.Refused:
		f.refused[a.ID] = true
	case quorum.ReadAt:
		f.reads[a.ID] = a.Index
		if a.Index < f.asked[a.ID] {
			f.fault("read %d saw index %d, but %d was committed before it", a.ID, a.Index, f.asked[a.ID])
		}
	case quorum.Changed:
		if a.Role == quorum.Leader {
			f.lead(nd.id, a.Term)
		}
	}
}

func (f *fakeNet) lead(id string, term uint64) {
	if other, ok := f.leaders[term]; ok && other != id {
		f.fault("term %d has leaders %s and %s", term, other, id)
	}
	f.leaders[term] = id
	for _, nd := range f.nodes {
		if nd.up && nd.id != id && f.now.Before(nd.core.LeaseUntil()) {
			f.fault("%s became leader while %s had a lease", id, nd.id)
		}
	}
}

// checkLease notes a lease that begins while another one runs.
func (f *fakeNet) checkLease(nd *node) {
	if !f.now.Before(nd.core.LeaseUntil()) {
		return
	}
	for _, other := range f.nodes {
		if other != nd && other.up && f.now.Before(other.core.LeaseUntil()) {
			f.fault("%s and %s have a lease at once", nd.id, other.id)
		}
	}
}

func (nd *node) save(s quorum.Save) {
	nd.disk.Term, nd.disk.Vote = s.Term, s.Vote
	for _, e := range s.Entries {
		keep := e.Index - nd.disk.Snapshot.Index - 1
		nd.disk.Entries = append(nd.disk.Entries[:keep:keep], e)
	}
}

func (f *fakeNet) apply(nd *node, e *wire.Entry) {
	if e.Index != nd.index+1 {
		f.fault("%s applied %d after %d", nd.id, e.Index, nd.index)
	}
	nd.index = e.Index
	value := fmt.Sprintf("%d:%s", e.Term, e.Data)
	if have, ok := f.applied[e.Index]; ok && have != value {
		f.fault("index %d has values %q and %q", e.Index, have, value)
	}
	f.applied[e.Index] = value
}

func (f *fakeNet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// deliver passes message i on, unless its path is cut, and keeps it for a second time if asked.
func (f *fakeNet) deliver(i int, again bool) {
	m := f.flight[i]
	if !again {
		f.flight = append(f.flight[:i:i], f.flight[i+1:]...)
	}
	if f.nodes[m.To] == nil || f.cut[m.From] != f.cut[m.To] {
		return
	}
	f.step(m.To, quorum.Received{Message: proto.Clone(m).(*wire.Message)})
}

func (f *fakeNet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for _, id := range f.ids {
		f.step(id, quorum.Tick{})
	}
}

// calm lets time pass with all messages delivered at once.
func (f *fakeNet) calm(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick(10 * time.Millisecond)
		for len(f.flight) > 0 {
			f.deliver(0, false)
		}
	}
}

func (f *fakeNet) propose(id, data string) uint64 {
	f.nextID++
	f.step(id, quorum.Propose{Items: []quorum.Proposal{{ID: f.nextID, Data: []byte(data)}}})
	return f.nextID
}

func (f *fakeNet) read(id string) {
	f.nextID++
	for index := range f.applied {
		f.asked[f.nextID] = max(f.asked[f.nextID], index)
	}
	f.step(id, quorum.Read{ID: f.nextID})
}

// compact puts what a host has applied into a snapshot.
func (f *fakeNet) compact(id string) {
	nd := f.nodes[id]
	if !nd.up || nd.index <= nd.disk.Snapshot.Index {
		return
	}
	s := quorum.Snapshot{Index: nd.index, Term: nd.core.TermAt(nd.index), Members: nd.core.MembersAt(nd.index)}
	var rest []*wire.Entry
	for _, e := range nd.disk.Entries {
		if e.Index > s.Index {
			rest = append(rest, e)
		}
	}
	nd.disk.Snapshot, nd.disk.Entries = s, rest
	f.step(id, quorum.Compact{Snapshot: s})
}

func (f *fakeNet) leader() string {
	for _, id := range f.ids {
		if nd := f.nodes[id]; nd.up && nd.core.Leading() && f.now.Before(nd.core.LeaseUntil()) {
			return id
		}
	}
	return ""
}
