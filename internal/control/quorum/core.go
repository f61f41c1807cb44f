// Package quorum implements the Raft protocol for the replicated log of the control hosts:
// leader election, log replication, membership changes and linearizable reads. It does no I/O:
// a Core takes events and returns the actions that its driver has to perform.
//
// It follows Ongaro, "Consensus: Bridging Theory and Practice" (2014), with pre-vote (9.6),
// check-quorum and leases for reads (6.4), and leadership transfer (3.10).
package quorum

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Role is the Raft role of a control host in the current term.
type Role int

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// Options are the settings of a Core; they do not change while it runs.
type Options struct {
	// ID identifies this control host. A host that lost its disk joins under a new ID.
	ID string
	// ElectionTimeout is the minimum time without contact from a leader before an election.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds of the leader.
	HeartbeatInterval time.Duration
	// Jitter returns a random duration in [0, n) that is added to the election timeout. The
	// random source is injected so that tests are reproducible.
	Jitter func(n time.Duration) time.Duration
}

// PersistentState is what a control host reads from its disk when it starts.
type PersistentState struct {
	// Term is the latest term that the host has seen.
	Term uint64
	// Vote is the ID of the candidate that got the host's vote in Term, or "".
	Vote string
	// Snapshot is the latest snapshot. Its index is 0 if none was taken.
	Snapshot Snapshot
	// Entries are the log entries, in order. Those that Snapshot covers are ignored.
	Entries []*wire.Entry
}

// Snapshot is the state after applying the log up to and including an index.
type Snapshot struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Members is the membership at Index.
	Members *wire.Members
	// Data is the encoded state; this package does not read it.
	Data []byte
}

// Core is the Raft state machine of one control host. It is not safe for concurrent use.
type Core struct {
	opt         Options
	term        uint64
	vote        string
	role        Role
	leader      string
	log         raftLog
	commitIndex uint64

	// members is the membership in use, by ID; peers holds the leader's view of the others.
	members map[string]*wire.Member
	peers   map[string]*peer
	// votes are the replies to this candidate, by ID; preVote is set if they are pre-votes.
	votes   map[string]bool
	preVote bool

	// lastContact is when a leader's message last arrived, at first when this host started.
	lastContact time.Time
	// leaseHolder is the leader that may hold a lease which this host confirmed at lastContact.
	// After a restart it is the leader of the stored term, or "" if unknown.
	leaseHolder string
	// endedHolder is a leader whose process is known to have ended, and with it its lease.
	endedHolder string
	// wasLeader is set after a restart if this host led the latest term, until it wins an
	// election or becomes a follower.
	wasLeader        bool
	electionDeadline time.Time
	// heartbeatSent is when this leader started its latest heartbeat round.
	heartbeatSent time.Time
	electedAt     time.Time

	// round is the number of the latest heartbeat round in this term; roundStarted holds the
	// start times of the last maxTrackedRounds rounds.
	round        uint64
	roundStarted map[uint64]time.Time
	pendingReads []pendingRead

	// transferTarget is the voter that this leader has told to take over, or "".
	transferTarget  string
	transferStarted time.Time

	// actions and save collect the results of the current step; save is used if dirty is set.
	actions []Action
	save    Save
	dirty   bool
}

// peer is the leader's view of another member.
type peer struct {
	// nextIndex is the next entry to send.
	nextIndex uint64
	// matchIndex is the last entry that the member is known to have stored.
	matchIndex uint64
	// ackedRound is the latest heartbeat round that the member has confirmed.
	ackedRound uint64
	// probing is set until the leader knows where the member's log matches its own; no entries
	// are sent meanwhile.
	probing bool
	// resendAt is when unconfirmed entries, or an unconfirmed snapshot, are sent again.
	resendAt time.Time
}

// pendingRead is a read that waits until a majority confirms its heartbeat round.
type pendingRead struct {
	id    uint64
	round uint64
}

// New returns a Core that continues from the stored state. It starts as a follower without a
// leader and waits a full election timeout, since it may have confirmed a heartbeat just before
// it stopped. If this host led the latest term, it campaigns at once and then once per heartbeat
// interval: its own lease ended with its process.
func New(now time.Time, opt Options, stored PersistentState) *Core {
	c := &Core{opt: opt, term: stored.Term, vote: stored.Vote, log: newRaftLog(stored.Snapshot, stored.Entries), commitIndex: stored.Snapshot.Index}
	c.lastContact = now
	c.leaseHolder = c.log.leaderOf(stored.Term)
	c.wasLeader = c.leaseHolder == opt.ID
	c.resetElectionDeadline(now)
	if c.wasLeader {
		c.electionDeadline = now
	}
	c.refreshMembers()
	return c
}

// Step processes one event and returns the actions to perform, in order. A Save must be synced
// to disk before any later action is performed.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = nil
	c.save = Save{}
	c.dirty = false
	role, term, leader := c.role, c.term, c.leader
	ev.step(now, c)
	if role != c.role || term != c.term || leader != c.leader {
		c.emit(LeadershipChanged{Role: c.role, Term: c.term, Leader: c.leader})
	}
	return c.finishStep()
}

// finishStep returns the actions of the step, with the Save first if there is one.
func (c *Core) finishStep() []Action {
	if !c.dirty {
		return c.actions
	}
	c.save.Term = c.term
	c.save.Vote = c.vote
	return append([]Action{c.save}, c.actions...)
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// send emits a message from this host, in the current term unless the message has one.
func (c *Core) send(m *wire.QuorumMessage) {
	m.From = c.opt.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.role == Leader {
		m.Addr = c.members[c.opt.ID].GetAddr()
	}
	c.emit(Send{m})
}

// resetElectionDeadline sets when this host campaigns if no leader contacts it: after a random
// time between one and two election timeouts, or sooner if it led before its restart.
func (c *Core) resetElectionDeadline(now time.Time) {
	if c.wasLeader {
		c.electionDeadline = now.Add(c.opt.HeartbeatInterval)
		return
	}
	c.electionDeadline = now.Add(c.opt.ElectionTimeout + c.opt.Jitter(c.opt.ElectionTimeout))
}

// Leading reports whether this host is the leader and has committed an entry of its term. Only
// then does it know all committed entries and serves reads.
func (c *Core) Leading() bool {
	if c.role != Leader {
		return false
	}
	t, ok := c.log.termAt(c.commitIndex)
	return ok && t == c.term
}

// ElectedAt returns when this host last became leader, zero if it has not since it started.
func (c *Core) ElectedAt() time.Time { return c.electedAt }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// CommitIndex returns the index of the last entry known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commitIndex }

// LeaseUntil returns until when no other host can become leader: a majority confirmed a
// heartbeat and grants no votes to others for one election timeout from then. The lease is a
// tenth shorter, to allow for clocks that run at different rates. A sole voter needs no
// confirmation; its lease lasts one election timeout from its latest heartbeat round. The result
// is zero if this host has no lease, for instance while it transfers leadership.
func (c *Core) LeaseUntil() time.Time {
	if !c.Leading() || c.transferTarget != "" {
		return time.Time{}
	}
	if c.voterCount() == 1 && c.isVoter(c.opt.ID) {
		return c.heartbeatSent.Add(c.opt.ElectionTimeout)
	}
	at, ok := c.roundStarted[c.quorumAckedRound()]
	if !ok {
		return time.Time{}
	}
	return at.Add(c.opt.ElectionTimeout - c.opt.ElectionTimeout/10)
}

// Members returns the membership in use, which may not be committed yet.
func (c *Core) Members() *wire.Members {
	m := &wire.Members{}
	for _, id := range sortedIDs(c.members) {
		m.Members = append(m.Members, c.members[id])
	}
	return m
}

// FailureTolerance returns how many more voters may fail before the quorum is lost. Voters that
// do not confirm heartbeats count as failed already. It is zero unless this host leads.
func (c *Core) FailureTolerance() int {
	if c.role != Leader {
		return 0
	}
	healthy := 0
	if c.isVoter(c.opt.ID) {
		healthy++
	}
	for id, p := range c.peers {
		if c.isVoter(id) && p.ackedRound+maxMissedRounds >= c.round {
			healthy++
		}
	}
	return max(0, healthy-c.majority())
}

// maxMissedRounds is how many heartbeat rounds a member may miss and still count as healthy.
const maxMissedRounds = 4

// Healthy reports whether a member has confirmed one of the last few heartbeat rounds of this term.
// This host itself is always healthy; other members are reported unhealthy unless this host leads.
func (c *Core) Healthy(id string) bool {
	if id == c.opt.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && p.ackedRound > 0 && p.ackedRound+maxMissedRounds >= c.round
}

// LeaseHolder returns the member that may hold a lease which this host confirmed, or nil if it is
// unknown, this host itself, or known to have ended.
func (c *Core) LeaseHolder() *wire.Member {
	if c.leaseHolder == c.opt.ID || c.holderEnded() {
		return nil
	}
	return c.members[c.leaseHolder]
}

// LastContact returns when a message of a leader last arrived, at first when this host started.
func (c *Core) LastContact() time.Time { return c.lastContact }

// CaughtUp reports whether a member has stored all committed entries. It is false unless this
// host leads, and for this host itself.
func (c *Core) CaughtUp(id string) bool {
	p := c.peers[id]
	return p != nil && !p.probing && p.matchIndex >= c.commitIndex
}

// Role returns the role of this host in the current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the ID of the leader of the current term, or "" if it is unknown.
func (c *Core) Leader() string { return c.leader }

// TermAt returns the term of the entry at index, or zero if the log does not have it: the entry
// is covered by the snapshot (except for its last one) or not yet appended.
func (c *Core) TermAt(index uint64) uint64 {
	t, _ := c.log.termAt(index)
	return t
}

// MembersAt returns the latest membership in the snapshot and the log up to index.
func (c *Core) MembersAt(index uint64) *wire.Members {
	return c.log.membersAt(index)
}
