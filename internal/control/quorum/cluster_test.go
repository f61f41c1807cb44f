package quorum_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

const (
	electionTimeout   = 300 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond
)

// node is a control host in a testCluster: its Core and what it has on disk.
type node struct {
	id           string
	core         *quorum.Core
	stored       quorum.PersistentState
	running      bool
	appliedIndex uint64
}

// testCluster is a set of control hosts with a simulated network and clock: messages are delivered
// and time passes only when a test says so. It checks invariants and collects the violations.
type testCluster struct {
	now      time.Time
	nodes    map[string]*node
	ids      []string
	inFlight []*wire.QuorumMessage
	// partitioned is the set of hosts on one side of a partition; the others are on its other side.
	partitioned map[string]bool
	jitter      func(n time.Duration) time.Duration
	// applied is the value applied at each index, by whichever host applied it first.
	applied      map[uint64]string
	leaderByTerm map[uint64]string
	violations   []string
	// wiped are the hosts that have lost their disks.
	wiped map[string]bool
	// The results of proposals and reads, by their ID. indexBeforeRead is the highest index
	// that any host had applied when the read started.
	appended        map[uint64]quorum.ProposalAppended
	refused         map[uint64]bool
	readIndexes     map[uint64]uint64
	indexBeforeRead map[uint64]uint64
	nextID          uint64
}

// newTestCluster starts a cluster of n voters named n0, n1 and so on, with empty logs.
func newTestCluster(n int, jitter func(time.Duration) time.Duration) *testCluster {
	c := &testCluster{
		now: time.Unix(1000, 0), nodes: map[string]*node{}, partitioned: map[string]bool{}, jitter: jitter,
		applied: map[uint64]string{}, leaderByTerm: map[uint64]string{}, appended: map[uint64]quorum.ProposalAppended{},
		wiped: map[string]bool{}, refused: map[uint64]bool{}, readIndexes: map[uint64]uint64{}, indexBeforeRead: map[uint64]uint64{},
	}
	members := &wire.Members{}
	for i := range n {
		id := fmt.Sprintf("n%d", i)
		c.ids = append(c.ids, id)
		members.Members = append(members.Members, &wire.Member{Id: id, Addr: addrOf(id)})
	}
	for _, id := range c.ids {
		c.nodes[id] = &node{id: id, stored: quorum.PersistentState{Snapshot: quorum.Snapshot{Members: members}}}
		c.start(id)
	}
	return c
}

// addrOf returns the address of a host.
func addrOf(id string) string { return id + ":1" }

// wipe ends a host for good: it comes back with an empty disk, under another identity at the same address,
// and that process answers a query of the host asked.
func (c *testCluster) wipe(id, asked string) {
	c.crash(id)
	c.wiped[id] = true
	c.step(asked, quorum.Replaced{Member: &wire.Member{Id: id + "-new", Addr: addrOf(id)}})
}

// start starts a host from what it has on disk, unless it has lost its disk.
func (c *testCluster) start(id string) {
	if c.wiped[id] {
		return
	}
	nd := c.nodes[id]
	nd.running = true
	nd.appliedIndex = nd.stored.Snapshot.Index
	nd.core = quorum.New(c.now, quorum.Options{ID: id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Jitter: c.jitter}, nd.stored)
}

func (c *testCluster) crash(id string) { c.nodes[id].running = false }

// step gives an event to one host and performs the resulting actions.
func (c *testCluster) step(id string, ev quorum.Event) {
	nd := c.nodes[id]
	if !nd.running {
		return
	}
	for _, a := range nd.core.Step(c.now, ev) {
		c.perform(nd, a)
	}
	c.checkLease(nd)
}

// perform carries out an action of a host and records its result.
func (c *testCluster) perform(nd *node, a quorum.Action) {
	switch a := a.(type) {
	case quorum.Save:
		nd.save(a)
	case quorum.Send:
		c.inFlight = append(c.inFlight, proto.Clone(a.Message).(*wire.QuorumMessage))
	case quorum.Apply:
		for _, e := range a.Entries {
			c.apply(nd, e)
		}
	case quorum.InstallSnapshot:
		nd.stored.Snapshot = a.Snapshot
		nd.stored.Entries = nil
		nd.appliedIndex = a.Snapshot.Index
	case quorum.ProposalAppended:
		c.appended[a.ID] = a
	case quorum.Refused:
		c.refused[a.ID] = true
	case quorum.ReadReady:
		c.readIndexes[a.ID] = a.Index
		if a.Index < c.indexBeforeRead[a.ID] {
			c.violation("read %d returned index %d, but index %d was committed before the read", a.ID, a.Index, c.indexBeforeRead[a.ID])
		}
	case quorum.LeadershipChanged:
		if a.Role == quorum.Leader {
			c.checkNewLeader(nd.id, a.Term)
		}
	}
}

// checkNewLeader reports a second leader in one term, and a leader elected during a lease of
// another host.
func (c *testCluster) checkNewLeader(id string, term uint64) {
	if other, ok := c.leaderByTerm[term]; ok && other != id {
		c.violation("term %d has two leaders, %s and %s", term, other, id)
	}
	c.leaderByTerm[term] = id
	for _, nd := range c.nodes {
		if nd.running && nd.id != id && c.now.Before(nd.core.LeaseUntil()) {
			c.violation("%s became leader while %s held a lease", id, nd.id)
		}
	}
}

// checkLease reports two hosts that hold a lease at the same time.
func (c *testCluster) checkLease(nd *node) {
	if !c.now.Before(nd.core.LeaseUntil()) {
		return
	}
	for _, other := range c.nodes {
		if other != nd && other.running && c.now.Before(other.core.LeaseUntil()) {
			c.violation("%s and %s hold a lease at the same time", nd.id, other.id)
		}
	}
}

// save stores the term, the vote and the entries, which replace all from the first one's index on.
func (nd *node) save(s quorum.Save) {
	nd.stored.Term, nd.stored.Vote = s.Term, s.Vote
	for _, e := range s.Entries {
		keep := e.Index - nd.stored.Snapshot.Index - 1
		nd.stored.Entries = append(nd.stored.Entries[:keep:keep], e)
	}
}

// apply checks that entries are applied without gaps and that all hosts apply the same entry at an
// index.
func (c *testCluster) apply(nd *node, e *wire.Entry) {
	if e.Index != nd.appliedIndex+1 {
		c.violation("%s applied index %d after index %d", nd.id, e.Index, nd.appliedIndex)
	}
	nd.appliedIndex = e.Index
	value := fmt.Sprintf("%d:%s", e.Term, e.Data)
	if earlier, ok := c.applied[e.Index]; ok && earlier != value {
		c.violation("index %d has two values, %q and %q", e.Index, earlier, value)
	}
	c.applied[e.Index] = value
}

func (c *testCluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// deliver delivers message i unless a partition separates sender and receiver. With keep, the
// message stays in flight and can be delivered again.
func (c *testCluster) deliver(i int, keep bool) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	}
	if c.nodes[m.To] == nil || c.partitioned[m.From] != c.partitioned[m.To] {
		return
	}
	c.step(m.To, quorum.Received{Message: proto.Clone(m).(*wire.QuorumMessage)})
}

// tick moves the clock by d and lets all running hosts check their timeouts.
func (c *testCluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	for _, id := range c.ids {
		c.step(id, quorum.Tick{})
	}
}

// settle lets d pass in steps of 10 ms and delivers all messages immediately.
func (c *testCluster) settle(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(10 * time.Millisecond)
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
		}
	}
}

func (c *testCluster) propose(id, data string) uint64 {
	c.nextID++
	c.step(id, quorum.Propose{Items: []quorum.Proposal{{ID: c.nextID, Data: []byte(data)}}})
	return c.nextID
}

// read starts a read and records the highest index that was applied by then.
func (c *testCluster) read(id string) {
	c.nextID++
	for index := range c.applied {
		c.indexBeforeRead[c.nextID] = max(c.indexBeforeRead[c.nextID], index)
	}
	c.step(id, quorum.Read{ID: c.nextID})
}

// compact stores a snapshot of what a host has applied and drops the entries that it covers.
func (c *testCluster) compact(id string) {
	nd := c.nodes[id]
	if !nd.running || nd.appliedIndex <= nd.stored.Snapshot.Index {
		return
	}
	s := quorum.Snapshot{Index: nd.appliedIndex, Term: nd.core.TermAt(nd.appliedIndex), Members: nd.core.MembersAt(nd.appliedIndex)}
	var rest []*wire.Entry
	for _, e := range nd.stored.Entries {
		if e.Index > s.Index {
			rest = append(rest, e)
		}
	}
	nd.stored.Snapshot, nd.stored.Entries = s, rest
	c.step(id, quorum.Compact{Snapshot: s})
}

// leader returns the first host that leads and holds a lease, or "".
func (c *testCluster) leader() string {
	for _, id := range c.ids {
		if nd := c.nodes[id]; nd.running && nd.core.Leading() && c.now.Before(nd.core.LeaseUntil()) {
			return id
		}
	}
	return ""
}
