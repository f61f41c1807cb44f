package quorum

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// handleTick starts a pre-vote if the election timeout has passed. Learners never campaign.
func (c *Core) handleTick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) || !c.isVoter(c.opt.ID) {
		return
	}
	c.leader = ""
	c.campaign(now, true, false)
}

// tickLeader steps down without a quorum, gives up a leadership transfer after 2 election
// timeouts, and starts a heartbeat round when it is due.
func (c *Core) tickLeader(now time.Time) {
	if c.lostQuorum(now) {
		c.becomeFollower(now, c.term, "")
		return
	}
	if c.transferTarget != "" && now.Sub(c.transferStarted) > 2*c.opt.ElectionTimeout {
		c.transferTarget = ""
	}
	if now.Before(c.heartbeatSent.Add(c.opt.HeartbeatInterval)) {
		return
	}
	c.startHeartbeatRound(now)
}

// lostQuorum reports whether no heartbeat round of the last two election timeouts was confirmed
// by a majority (check-quorum).
func (c *Core) lostQuorum(now time.Time) bool {
	if c.majority() == 1 {
		return false
	}
	lastConfirmed := c.electedAt
	if at, ok := c.roundStarted[c.quorumAckedRound()]; ok {
		lastConfirmed = at
	}
	return now.Sub(lastConfirmed) > 2*c.opt.ElectionTimeout
}

// campaign asks the other voters for votes. A pre-vote does not change the term. With force, used
// in a leadership transfer, they may grant their vote despite the current leader's lease.
func (c *Core) campaign(now time.Time, preVote, force bool) {
	c.resetElectionDeadline(now)
	c.role = Candidate
	c.preVote = preVote
	c.votes = map[string]bool{c.opt.ID: true}
	term := c.term + 1
	kind := wire.MessageKind_PREVOTE
	if !preVote {
		c.setTerm(term, c.opt.ID)
		kind = wire.MessageKind_VOTE
	}
	if c.hasMajorityVotes() {
		c.winElection(now)
		return
	}
	for _, id := range sortedIDs(c.members) {
		if id == c.opt.ID || !c.isVoter(id) {
			continue
		}
		c.send(&wire.QuorumMessage{
			Kind: kind, To: id, Term: term, Force: force,
			Index: c.log.lastIndex(), Logterm: c.log.lastTerm(), Ended: c.endedHolder,
		})
	}
}

// setTerm sets the term and the vote in it, and has both saved.
func (c *Core) setTerm(term uint64, vote string) {
	c.term = term
	c.vote = vote
	c.dirty = true
}

// hasMajorityVotes reports whether a majority of voters has granted its vote or pre-vote.
func (c *Core) hasMajorityVotes() bool {
	n := 0
	for id, granted := range c.votes {
		if granted && c.isVoter(id) {
			n++
		}
	}
	return n >= c.majority()
}

// winElection starts the real election after a won pre-vote, and takes the lead after a won
// election.
func (c *Core) winElection(now time.Time) {
	if c.preVote {
		c.campaign(now, false, false)
		return
	}
	c.becomeLeader(now)
}

// becomeLeader starts to lead the current term. It appends a BARRIER entry with its own ID:
// earlier entries are committed with it, and restarted hosts learn who led the term.
func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.leader = c.opt.ID
	c.wasLeader = false
	c.electedAt = now
	c.transferTarget = ""
	c.peers = map[string]*peer{}
	c.roundStarted = map[uint64]time.Time{}
	c.round = 0
	c.pendingReads = nil
	c.refreshPeers()
	c.appendAsLeader([]*wire.Entry{{Kind: wire.EntryKind_BARRIER, Data: []byte(c.opt.ID)}})
	c.startHeartbeatRound(now)
}

// becomeFollower makes this host a follower in term, of a leader that may be "" (unknown). The
// vote is kept unless the term is new.
func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > c.term {
		c.setTerm(term, "")
	}
	if c.role == Leader {
		c.refusePendingReads()
	}
	c.role = Follower
	c.leader = leader
	c.wasLeader = false
	c.peers = nil
	c.resetElectionDeadline(now)
}

func (c *Core) refusePendingReads() {
	for _, r := range c.pendingReads {
		c.emit(Refused{ID: r.id, Leader: ""})
	}
	c.pendingReads = nil
}

// handleMessage processes a message from another control host. A newer term makes this host a
// follower; messages of an older term are ignored or rejected. Vote requests have rules of their
// own, and replies to a pre-vote may carry a term that the candidate has not entered yet.
func (c *Core) handleMessage(now time.Time, m *wire.QuorumMessage) {
	if m.Kind == wire.MessageKind_PREVOTE || m.Kind == wire.MessageKind_VOTE {
		c.handleVoteRequest(now, m)
		return
	}
	if m.Term > c.term && m.Kind != wire.MessageKind_PREVOTED {
		c.becomeFollower(now, m.Term, "")
	}
	if m.Term < c.term && m.Kind != wire.MessageKind_PREVOTED {
		c.rejectStaleLeader(m)
		return
	}
	switch m.Kind {
	case wire.MessageKind_PREVOTED, wire.MessageKind_VOTED:
		c.handleVoteReply(now, m)
	case wire.MessageKind_APPEND:
		c.handleAppend(now, m)
	case wire.MessageKind_SNAPSHOT:
		c.handleSnapshot(now, m)
	case wire.MessageKind_APPENDED:
		c.handleAppended(now, m)
	case wire.MessageKind_HANDOVER:
		c.campaign(now, false, true)
	}
}

// rejectStaleLeader replies to a leader of an older term with the current term, so that it steps
// down.
func (c *Core) rejectStaleLeader(m *wire.QuorumMessage) {
	if m.Kind == wire.MessageKind_APPEND || m.Kind == wire.MessageKind_SNAPSHOT {
		c.send(&wire.QuorumMessage{Kind: wire.MessageKind_APPENDED, To: m.From, Reject: true})
	}
}

// handleVoteRequest grants a vote or pre-vote to a candidate whose log is at least as up to date
// as this one. It ignores the request while this host leads with a quorum, and within one
// election timeout of the last contact from another leader: leases rely on this. The lease holder
// itself may ask, as it has given up its lease by then, and anybody may once its process is known to
// have ended. Requests with Force, from a leadership transfer, skip the check.
func (c *Core) handleVoteRequest(now time.Time, m *wire.QuorumMessage) {
	c.recordEnded(now, m.Ended)
	holderMayLive := m.From != c.leaseHolder && !c.holderEnded()
	mayBeLeased := (c.role == Leader && !c.lostQuorum(now)) || (now.Sub(c.lastContact) < c.opt.ElectionTimeout && holderMayLive)
	if mayBeLeased && !m.Force {
		return
	}
	if m.Kind == wire.MessageKind_PREVOTE {
		granted := m.Term > c.term && c.candidateUpToDate(m)
		c.send(&wire.QuorumMessage{Kind: wire.MessageKind_PREVOTED, To: m.From, Term: max(m.Term, c.term), Reject: !granted})
		return
	}
	if m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
	}
	voteAvailable := c.vote == "" || c.vote == m.From
	granted := m.Term == c.term && voteAvailable && c.role == Follower && c.candidateUpToDate(m)
	if granted {
		c.vote = m.From
		c.dirty = true
		c.resetElectionDeadline(now)
	}
	c.send(&wire.QuorumMessage{Kind: wire.MessageKind_VOTED, To: m.From, Reject: !granted})
}

// handleReplaced records that the process of the lease holder has ended, if another one now runs at its
// address. That is so after the host has lost its disk.
func (c *Core) handleReplaced(now time.Time, m *wire.Member) {
	holder := c.members[c.leaseHolder]
	if holder.GetAddr() != "" && holder.GetAddr() == m.GetAddr() && m.GetId() != c.leaseHolder {
		c.recordEnded(now, c.leaseHolder)
	}
}

// holderEnded reports whether the process of the lease holder is known to have ended.
func (c *Core) holderEnded() bool { return c.endedHolder != "" && c.endedHolder == c.leaseHolder }

// recordEnded records that the process of the leader id has ended, and has this host campaign soon if
// that leader held the lease. Voters campaign a quarter of a heartbeat interval apart, so that their
// votes are not split.
func (c *Core) recordEnded(now time.Time, id string) {
	if id == "" || c.endedHolder == id || c.role == Leader {
		return
	}
	c.endedHolder = id
	if !c.holderEnded() || !c.isVoter(c.opt.ID) {
		return
	}
	deadline := now.Add(time.Duration(c.rank()) * c.opt.HeartbeatInterval / 4)
	if deadline.Before(c.electionDeadline) {
		c.electionDeadline = deadline
	}
}

// rank returns the number of voters whose identities sort before this host's.
func (c *Core) rank() int {
	n := 0
	for id := range c.members {
		if id < c.opt.ID && c.isVoter(id) {
			n++
		}
	}
	return n
}

// candidateUpToDate reports whether the candidate's log is at least as up to date as this one,
// by the term and then the index of the last entry.
func (c *Core) candidateUpToDate(m *wire.QuorumMessage) bool {
	if m.Logterm != c.log.lastTerm() {
		return m.Logterm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

// handleVoteReply counts a vote or pre-vote of the current campaign. A rejection in a newer term
// makes this host a follower in that term.
func (c *Core) handleVoteReply(now time.Time, m *wire.QuorumMessage) {
	preVote := m.Kind == wire.MessageKind_PREVOTED
	if c.role != Candidate || c.preVote != preVote {
		return
	}
	campaignTerm := c.term
	if preVote {
		campaignTerm = c.term + 1
	}
	if m.Reject && m.Term > campaignTerm {
		c.becomeFollower(now, m.Term, "")
		return
	}
	if m.Term != campaignTerm {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasMajorityVotes() {
		c.winElection(now)
	}
}

// startLeadershipTransfer tells a voter to campaign at once: among those whose log is complete,
// the one that confirmed the latest heartbeat round. Meanwhile this host takes no proposals and
// has no lease.
func (c *Core) startLeadershipTransfer(now time.Time) {
	if !c.Leading() {
		return
	}
	target := ""
	for _, id := range sortedIDs(c.members) {
		p := c.peers[id]
		if !c.isVoter(id) || p == nil || p.matchIndex != c.log.lastIndex() {
			continue
		}
		if target == "" || p.ackedRound > c.peers[target].ackedRound {
			target = id
		}
	}
	if target == "" {
		return
	}
	c.transferTarget = target
	c.transferStarted = now
	c.send(&wire.QuorumMessage{Kind: wire.MessageKind_HANDOVER, To: target})
}
