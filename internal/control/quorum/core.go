// Package quorum provides the decisions of the replicated log: elections, replication,
// membership and reads. It follows Ongaro, "Consensus: Bridging Theory and Practice" (2014),
// with pre-vote (9.6), check-quorum and leases for reads (6.4), and hand-over (3.10).
package quorum

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Role is the part that a control host plays in a term.
type Role int

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// Options are the fixed properties of a core.
type Options struct {
	// ID is the identity of this control host; a host that lost its disk has a new one.
	ID string
	// Election is the least silence of a leader before an election.
	Election time.Duration
	// Beat is the interval of heartbeats.
	Beat time.Duration
	// Jitter returns a duration in [0, n); it comes from an injected source.
	Jitter func(n time.Duration) time.Duration
}

// Restored is what a control host has on its disk when it starts.
type Restored struct {
	Term     uint64
	Vote     string
	Snapshot Snapshot
	Entries  []*wire.Entry
}

// Snapshot is the state up to an index, with the membership at that index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members *wire.Members
	Data    []byte
}

// Core decides for one control host. It is not safe for concurrent use.
type Core struct {
	opt    Options
	term   uint64
	vote   string
	role   Role
	leader string
	log    tail
	commit uint64

	members map[string]*wire.Member
	peers   map[string]*peer
	votes   map[string]bool
	pre     bool

	heard time.Time
	// lessor is the leader that the moment in heard concerns: the one that may hold a lease by
	// this host's word. It is "" where a restart has left it unknown.
	lessor string
	// former is set after a restart of the leader of the latest term, until another host is
	// followed.
	former   bool
	deadline time.Time
	beat     time.Time
	elected  time.Time

	seq   uint64
	sent  map[uint64]time.Time
	reads []read

	handover   string
	handoverAt time.Time
	out        []Action
	save       Save
	dirty      bool
}

// peer is the leader's view of another member.
type peer struct {
	next  uint64
	match uint64
	acked uint64
	// probing is set while the follower's log is not known to match.
	probing bool
	// resend is when entries that were not confirmed are sent again.
	resend time.Time
}

type read struct {
	id  uint64
	seq uint64
}

// New returns a core that continues from r. It starts as a follower without a leader and
// waits a whole election timeout, since it may have confirmed a heartbeat just before. The
// leader of the latest term itself asks for votes at once: its lease ended with its process.
func New(now time.Time, opt Options, r Restored) *Core {
	c := &Core{opt: opt, term: r.Term, vote: r.Vote, log: newTail(r.Snapshot, r.Entries), commit: r.Snapshot.Index}
	c.heard = now
	c.lessor = c.log.leaderOf(r.Term)
	c.former = c.lessor == opt.ID
	c.resetDeadline(now)
	c.readMembers()
	return c
}

// Step takes one event and returns the actions that follow from it, in order. A Save must
// be on disk before any action after it is carried out.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = nil
	c.save = Save{}
	c.dirty = false
	role, term, leader := c.role, c.term, c.leader
	ev.step(now, c)
	if role != c.role || term != c.term || leader != c.leader {
		c.emit(Changed{Role: c.role, Term: c.term, Leader: c.leader})
	}
	return c.finish()
}

func (c *Core) finish() []Action {
	if !c.dirty {
		return c.out
	}
	c.save.Term = c.term
	c.save.Vote = c.vote
	return append([]Action{c.save}, c.out...)
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) send(m *wire.Message) {
	m.From = c.opt.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.role == Leader {
		m.Addr = c.members[c.opt.ID].GetAddr()
	}
	c.emit(Send{m})
}

func (c *Core) resetDeadline(now time.Time) {
	if c.former {
		c.deadline = now.Add(c.opt.Beat)
		return
	}
	c.deadline = now.Add(c.opt.Election + c.opt.Jitter(c.opt.Election))
}

// Leading reports whether this host leads and has committed an entry of its own term.
func (c *Core) Leading() bool {
	if c.role != Leader {
		return false
	}
	t, ok := c.log.termAt(c.commit)
	return ok && t == c.term
}

// Elected returns when this host became the leader of its term.
func (c *Core) Elected() time.Time { return c.elected }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the index up to which entries are committed.
func (c *Core) Commit() uint64 { return c.commit }

// LeaseUntil returns until when no other host can have become leader: a quorum confirmed a
// heartbeat and refuses its votes for an election timeout from then. A tenth is kept back
// for clocks that run at different rates.
func (c *Core) LeaseUntil() time.Time {
	if !c.Leading() || c.handover != "" {
		return time.Time{}
	}
	if c.voters() == 1 && c.isVoter(c.opt.ID) {
		return c.beat.Add(c.opt.Election)
	}
	at, ok := c.sent[c.quorumSeq()]
	if !ok {
		return time.Time{}
	}
	return at.Add(c.opt.Election - c.opt.Election/10)
}

// Members returns the membership in use, which may not be committed yet.
func (c *Core) Members() *wire.Members {
	m := &wire.Members{}
	for _, id := range sortedIDs(c.members) {
		m.Members = append(m.Members, c.members[id])
	}
	return m
}

// Margin returns how many voters may still be lost, counting only those that follow.
func (c *Core) Margin() int {
	if c.role != Leader {
		return 0
	}
	healthy := 0
	if c.isVoter(c.opt.ID) {
		healthy++
	}
	for id, p := range c.peers {
		if c.isVoter(id) && p.acked+staleRounds >= c.seq {
			healthy++
		}
	}
	return max(0, healthy-c.majority())
}

// staleRounds is how many heartbeat rounds a voter may miss and still count as healthy.
const staleRounds = 4

// Healthy reports whether a member has confirmed a heartbeat lately, where this host leads.
func (c *Core) Healthy(id string) bool {
	if id == c.opt.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && p.acked+staleRounds >= c.seq
}

// Heard returns when this host last heard a leader.
func (c *Core) Heard() time.Time { return c.heard }

// CaughtUp reports whether the member's log holds all that is committed.
func (c *Core) CaughtUp(id string) bool {
	p := c.peers[id]
	return p != nil && !p.probing && p.match >= c.commit
}

// Role returns the role in the current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the identity of the leader of the current term, or "".
func (c *Core) Leader() string { return c.leader }

// TermAt returns the term of the entry at index, zero where it is not known.
func (c *Core) TermAt(index uint64) uint64 {
	t, _ := c.log.termAt(index)
	return t
}

// MembersAt returns the membership that stands in the log up to index.
func (c *Core) MembersAt(index uint64) *wire.Members {
	return c.log.membersAt(index)
}
