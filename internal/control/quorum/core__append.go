package quorum

import (
	"sort"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

const (
	// maxEntriesPerMessage is the maximum number of entries in one message.
	maxEntriesPerMessage = 256
	// maxDataPerMessage is the maximum data size of the entries in one message, in bytes. A
	// larger entry is sent in a message of its own.
	maxDataPerMessage = 512 << 10
)

// resendHeartbeats is the number of heartbeat intervals after which unconfirmed entries are sent
// again.
const resendHeartbeats = 3

// maxTrackedRounds is the number of heartbeat rounds whose start times the leader keeps.
const maxTrackedRounds = 256

// propose appends the items to the leader's log and replicates them. It refuses all of them if
// this host does not lead or is transferring leadership, and membership changes that are not
// allowed now.
func (c *Core) propose(now time.Time, items []Proposal) {
	if c.role != Leader || c.transferTarget != "" {
		for _, item := range items {
			c.emit(Refused{ID: item.ID, Leader: c.leader})
		}
		return
	}
	var entries []*wire.Entry
	for _, item := range items {
		if item.Kind == wire.EntryKind_MEMBERS && !c.membersProposalAllowed(item, entries) {
			c.emit(Refused{ID: item.ID, Leader: c.leader})
			continue
		}
		entries = append(entries, &wire.Entry{Kind: item.Kind, Data: item.Data})
		c.emit(ProposalAppended{ID: item.ID, Index: c.log.lastIndex() + uint64(len(entries)), Term: c.term})
	}
	if len(entries) == 0 {
		return
	}
	c.appendAsLeader(entries)
	c.replicateNewEntries(now)
}

// membersProposalAllowed reports whether a membership proposal may be appended after the
// preceding entries of its batch.
func (c *Core) membersProposalAllowed(item Proposal, preceding []*wire.Entry) bool {
	for _, e := range preceding {
		if e.Kind == wire.EntryKind_MEMBERS {
			return false
		}
	}
	return c.membersChangeAllowed() && c.changesAtMostOneVoter(decodeMembers(item.Data))
}

// appendAsLeader appends entries to the leader's log and sets their term and index.
func (c *Core) appendAsLeader(entries []*wire.Entry) {
	for i, e := range entries {
		e.Term = c.term
		e.Index = c.log.lastIndex() + uint64(i) + 1
	}
	c.appendEntries(entries)
	c.advanceCommitIndex()
}

// appendEntries stores entries in the log, in place of all from the first one's index on, and in
// the Save of this step.
func (c *Core) appendEntries(entries []*wire.Entry) {
	c.log = c.log.withEntries(entries)
	c.save.Entries = append(c.save.Entries, entries...)
	c.dirty = true
	c.refreshMembers()
}

// startHeartbeatRound sends every other member a message with a new round number.
func (c *Core) startHeartbeatRound(now time.Time) {
	c.heartbeatSent = now
	c.round++
	c.roundStarted[c.round] = now
	delete(c.roundStarted, c.round-maxTrackedRounds)
	for _, id := range sortedIDs(c.members) {
		if p := c.peers[id]; p != nil {
			c.replicate(now, id, p, true)
		}
	}
	c.advanceCommitIndex()
}

// replicateNewEntries sends new entries to the members whose logs are known to match.
func (c *Core) replicateNewEntries(now time.Time) {
	for _, id := range sortedIDs(c.members) {
		if p := c.peers[id]; p != nil && !p.probing {
			c.replicate(now, id, p, false)
		}
	}
}

// replicate sends a member the entries from its nextIndex on, or a snapshot if the log no longer
// has the entry before them. Entries that were not confirmed in time are sent again. Without
// entries it sends a message only if sendEmpty is set.
func (c *Core) replicate(now time.Time, id string, p *peer, sendEmpty bool) {
	prev := p.nextIndex - 1
	prevTerm, known := c.log.termAt(prev)
	if !known {
		c.sendSnapshot(now, id, p)
		return
	}
	if !p.probing && p.matchIndex+1 < p.nextIndex && now.After(p.resendAt) {
		p.nextIndex = p.matchIndex + 1
		prev = p.matchIndex
		if prevTerm, known = c.log.termAt(prev); !known {
			c.sendSnapshot(now, id, p)
			return
		}
	}
	entries := limitData(c.log.entriesFrom(p.nextIndex, maxEntriesPerMessage))
	if p.probing {
		entries = nil
	}
	if len(entries) == 0 && !sendEmpty {
		return
	}
	c.send(&wire.QuorumMessage{
		Kind: wire.MessageKind_APPEND, To: id, Index: prev, Logterm: prevTerm,
		Commit: c.commitIndex, Seq: c.round, Entries: entries,
	})
	if len(entries) > 0 {
		p.nextIndex += uint64(len(entries))
		p.resendAt = now.Add(resendHeartbeats * c.opt.HeartbeatInterval)
	}
}

// limitData returns the leading entries that fit into maxDataPerMessage, at least one.
func limitData(entries []*wire.Entry) []*wire.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxDataPerMessage {
			return entries[:i]
		}
	}
	return entries
}

// sendSnapshot sends the latest snapshot. If the member has not confirmed it after 4 election
// timeouts, it is sent again; until then the member gets heartbeats only.
func (c *Core) sendSnapshot(now time.Time, id string, p *peer) {
	s := c.log.snapshot
	if now.Before(p.resendAt) {
		s.Data = nil
		c.send(&wire.QuorumMessage{Kind: wire.MessageKind_APPEND, To: id, Index: s.Index, Logterm: s.Term, Seq: c.round})
		return
	}
	p.resendAt = now.Add(4 * c.opt.ElectionTimeout)
	c.send(&wire.QuorumMessage{
		Kind: wire.MessageKind_SNAPSHOT, To: id, Index: s.Index, Logterm: s.Term,
		Commit: c.commitIndex, Seq: c.round, Snapshot: s.Data, Members: s.Members,
	})
}

// handleAppend processes entries and heartbeats from the leader. It rejects entries whose
// predecessor this log does not have, and replies with the last index that may match.
func (c *Core) handleAppend(now time.Time, m *wire.QuorumMessage) {
	c.recordLeaderContact(now, m)
	t, known := c.log.termAt(m.Index)
	if m.Index < c.log.snapshot.Index {
		c.replyAppended(m, c.commitIndex, false)
		return
	}
	if !known || t != m.Logterm {
		c.replyAppended(m, min(c.log.lastIndex(), m.Index-1), true)
		return
	}
	c.appendMissing(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.replyAppended(m, match, false)
}

// appendMissing appends the entries that this log does not have. It removes own entries that
// differ, but never committed ones.
func (c *Core) appendMissing(entries []*wire.Entry) {
	for i, e := range entries {
		t, known := c.log.termAt(e.Index)
		if known && t == e.Term {
			continue
		}
		if e.Index > c.commitIndex {
			c.appendEntries(entries[i:])
		}
		return
	}
}

// recordLeaderContact follows the sender as leader and restarts the election timeout.
func (c *Core) recordLeaderContact(now time.Time, m *wire.QuorumMessage) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.lastContact = now
	c.leaseHolder = m.From
	c.resetElectionDeadline(now)
}

// replyAppended sends the leader the last index that matches, or a rejection. Hint repeats the index
// that the leader asked about, so that it can ignore replies to older messages.
func (c *Core) replyAppended(m *wire.QuorumMessage, match uint64, reject bool) {
	c.send(&wire.QuorumMessage{Kind: wire.MessageKind_APPENDED, To: m.From, Index: match, Reject: reject, Hint: m.Index, Seq: m.Seq})
}

// handleSnapshot replaces the log by the leader's snapshot unless it is already committed here.
func (c *Core) handleSnapshot(now time.Time, m *wire.QuorumMessage) {
	c.recordLeaderContact(now, m)
	if m.Index <= c.commitIndex {
		c.replyAppended(m, c.commitIndex, false)
		return
	}
	s := Snapshot{Index: m.Index, Term: m.Logterm, Members: m.Members, Data: m.Snapshot}
	c.log = raftLog{snapshot: s}
	c.commitIndex = m.Index
	c.refreshMembers()
	c.emit(InstallSnapshot{s})
	c.replyAppended(m, m.Index, false)
}

// handleAppended processes a member's reply to entries, a snapshot or a heartbeat. After a
// rejection the leader steps back and probes for the last matching index.
func (c *Core) handleAppended(now time.Time, m *wire.QuorumMessage) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Seq)
	if m.Reject {
		if m.Hint == p.nextIndex-1 {
			p.nextIndex = max(p.matchIndex, min(m.Index, p.nextIndex-1)) + 1
			p.probing = true
			c.replicate(now, m.From, p, true)
		}
		c.completeReads()
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.resendAt = now.Add(resendHeartbeats * c.opt.HeartbeatInterval)
	}
	p.probing = false
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	c.advanceCommitIndex()
	c.completeReads()
	if p.nextIndex <= c.log.lastIndex() {
		c.replicate(now, m.From, p, false)
	}
}

// advanceCommitIndex commits the last index that a majority of voters has stored, but only if
// its entry is of the current term (Ongaro 3.6.2).
func (c *Core) advanceCommitIndex() {
	if c.role != Leader {
		return
	}
	var matchIndexes []uint64
	for id := range c.members {
		if !c.isVoter(id) {
			continue
		}
		if id == c.opt.ID {
			matchIndexes = append(matchIndexes, c.log.lastIndex())
			continue
		}
		matchIndexes = append(matchIndexes, c.peers[id].matchIndex)
	}
	if len(matchIndexes) == 0 {
		return
	}
	sort.Slice(matchIndexes, func(i, j int) bool { return matchIndexes[i] > matchIndexes[j] })
	index := matchIndexes[c.majority()-1]
	if t, ok := c.log.termAt(index); ok && t == c.term {
		c.commitTo(index)
	}
}

// commitTo raises the commit index and emits the newly committed entries.
func (c *Core) commitTo(index uint64) {
	if index <= c.commitIndex {
		return
	}
	entries := c.log.entriesBetween(c.commitIndex, index)
	c.commitIndex = index
	c.emit(Apply{entries})
}

// quorumAckedRound returns the latest heartbeat round that a majority of voters has confirmed, or
// zero if there is none.
func (c *Core) quorumAckedRound() uint64 {
	var ackedRounds []uint64
	for id := range c.members {
		if !c.isVoter(id) {
			continue
		}
		if id == c.opt.ID {
			ackedRounds = append(ackedRounds, c.round)
			continue
		}
		if p := c.peers[id]; p != nil {
			ackedRounds = append(ackedRounds, p.ackedRound)
		}
	}
	if len(ackedRounds) < c.majority() {
		return 0
	}
	sort.Slice(ackedRounds, func(i, j int) bool { return ackedRounds[i] > ackedRounds[j] })
	return ackedRounds[c.majority()-1]
}

// startRead starts a heartbeat round and queues the read until a majority confirms the round,
// which proves that this host still led when the round started (Ongaro 6.4).
func (c *Core) startRead(now time.Time, id uint64) {
	if !c.Leading() {
		c.emit(Refused{ID: id, Leader: c.leader})
		return
	}
	c.startHeartbeatRound(now)
	c.pendingReads = append(c.pendingReads, pendingRead{id, c.round})
	c.completeReads()
}

// completeReads answers the reads whose heartbeat round a majority has confirmed.
func (c *Core) completeReads() {
	confirmedRound := c.quorumAckedRound()
	for len(c.pendingReads) > 0 && c.pendingReads[0].round <= confirmedRound {
		c.emit(ReadReady{ID: c.pendingReads[0].id, Index: c.commitIndex})
		c.pendingReads = c.pendingReads[1:]
	}
}
