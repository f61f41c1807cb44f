package quorum

import (
	"sort"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

const (
	// maxEntries is the number of entries that one message carries at most.
	maxEntries = 256
	// maxEntryBytes bounds the data of several entries in one message; a larger one goes alone.
	maxEntryBytes = 512 << 10
)

// resendBeats is after how many heartbeats unconfirmed entries are sent again.
const resendBeats = 3

// keptRounds is how many heartbeat rounds the leader remembers the time of.
const keptRounds = 256

func (c *Core) propose(now time.Time, items []Proposal) {
	if c.role != Leader || c.handover != "" {
		for _, it := range items {
			c.emit(Refused{ID: it.ID, Leader: c.leader})
		}
		return
	}
	var entries []*wire.Entry
	for _, it := range items {
		if it.Kind == wire.EntryKind_MEMBERS && !c.mayChange(it, entries) {
			c.emit(Refused{ID: it.ID, Leader: c.leader})
			continue
		}
		entries = append(entries, &wire.Entry{Kind: it.Kind, Data: it.Data})
		c.emit(Placed{ID: it.ID, Index: c.log.last() + uint64(len(entries)), Term: c.term})
	}
	if len(entries) == 0 {
		return
	}
	c.appendOwn(entries)
	c.broadcast(now)
}

// mayChange reports whether a membership proposal may follow the entries before it.
func (c *Core) mayChange(it Proposal, before []*wire.Entry) bool {
	for _, e := range before {
		if e.Kind == wire.EntryKind_MEMBERS {
			return false
		}
	}
	return c.changesAllowed() && c.oneStep(decodeMembers(it.Data))
}

// appendOwn gives entries their place at the end of the leader's log.
func (c *Core) appendOwn(entries []*wire.Entry) {
	for i, e := range entries {
		e.Term = c.term
		e.Index = c.log.last() + uint64(i) + 1
	}
	c.store(entries)
	c.advance()
}

func (c *Core) store(entries []*wire.Entry) {
	c.log = c.log.replaced(entries)
	c.save.Entries = append(c.save.Entries, entries...)
	c.dirty = true
	c.readMembers()
}

// round starts a heartbeat: every member gets a message with a new sequence number.
func (c *Core) round(now time.Time) {
	c.beat = now
	c.seq++
	c.sent[c.seq] = now
	delete(c.sent, c.seq-keptRounds)
	for _, id := range sortedIDs(c.members) {
		if p := c.peers[id]; p != nil {
			c.replicate(now, id, p, true)
		}
	}
	c.advance()
}

// broadcast sends new entries to members that are ready for them.
func (c *Core) broadcast(now time.Time) {
	for _, id := range sortedIDs(c.members) {
		if p := c.peers[id]; p != nil && !p.probing {
			c.replicate(now, id, p, false)
		}
	}
}

func (c *Core) replicate(now time.Time, id string, p *peer, always bool) {
	prev := p.next - 1
	prevTerm, known := c.log.termAt(prev)
	if !known {
		c.sendSnapshot(now, id, p)
		return
	}
	if !p.probing && p.match+1 < p.next && now.After(p.resend) {
		p.next = p.match + 1
		prev = p.match
		if prevTerm, known = c.log.termAt(prev); !known {
			c.sendSnapshot(now, id, p)
			return
		}
	}
	entries := bounded(c.log.slice(p.next, maxEntries))
	if p.probing {
		entries = nil
	}
	if len(entries) == 0 && !always {
		return
	}
	c.send(&wire.Message{
		Kind: wire.MessageKind_APPEND, To: id, Index: prev, Logterm: prevTerm,
		Commit: c.commit, Seq: c.seq, Entries: entries,
	})
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.resend = now.Add(resendBeats * c.opt.Beat)
	}
}

// bounded cuts a list of entries to what one message may carry, at least one.
func bounded(entries []*wire.Entry) []*wire.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxEntryBytes {
			return entries[:i]
		}
	}
	return entries
}

func (c *Core) sendSnapshot(now time.Time, id string, p *peer) {
	s := c.log.snap
	if now.Before(p.resend) {
		s.Data = nil
		c.send(&wire.Message{Kind: wire.MessageKind_APPEND, To: id, Index: s.Index, Logterm: s.Term, Seq: c.seq})
		return
	}
	p.resend = now.Add(4 * c.opt.Election)
	c.send(&wire.Message{
		Kind: wire.MessageKind_SNAPSHOT, To: id, Index: s.Index, Logterm: s.Term,
		Commit: c.commit, Seq: c.seq, Snapshot: s.Data, Members: s.Members,
	})
}

// acceptEntries is the follower's side of replication.
func (c *Core) acceptEntries(now time.Time, m *wire.Message) {
	c.hear(now, m)
	t, known := c.log.termAt(m.Index)
	if m.Index < c.log.snap.Index {
		c.answer(m, c.commit, false)
		return
	}
	if !known || t != m.Logterm {
		c.answer(m, min(c.log.last(), m.Index-1), true)
		return
	}
	c.storeNew(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.answer(m, match, false)
}

// storeNew appends the entries that this log does not have, cutting a tail that differs.
func (c *Core) storeNew(entries []*wire.Entry) {
	for i, e := range entries {
		t, known := c.log.termAt(e.Index)
		if known && t == e.Term {
			continue
		}
		if e.Index > c.commit {
			c.store(entries[i:])
		}
		return
	}
}

func (c *Core) hear(now time.Time, m *wire.Message) {
	if c.role != Follower || c.leader != m.From {
		c.follow(now, m.Term, m.From)
	}
	c.heard = now
	c.lessor = m.From
	c.resetDeadline(now)
}

func (c *Core) answer(m *wire.Message, match uint64, reject bool) {
	c.send(&wire.Message{Kind: wire.MessageKind_APPENDED, To: m.From, Index: match, Reject: reject, Hint: m.Index, Seq: m.Seq})
}

func (c *Core) acceptSnapshot(now time.Time, m *wire.Message) {
	c.hear(now, m)
	if m.Index <= c.commit {
		c.answer(m, c.commit, false)
		return
	}
	s := Snapshot{Index: m.Index, Term: m.Logterm, Members: m.Members, Data: m.Snapshot}
	c.log = tail{snap: s}
	c.commit = m.Index
	c.readMembers()
	c.emit(Install{s})
	c.answer(m, m.Index, false)
}

// confirmed is the leader's side of an answer to replication.
func (c *Core) confirmed(now time.Time, m *wire.Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.acked = max(p.acked, m.Seq)
	if m.Reject {
		if m.Hint == p.next-1 {
			p.next = max(p.match, min(m.Index, p.next-1)) + 1
			p.probing = true
			c.replicate(now, m.From, p, true)
		}
		c.releaseReads()
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.resend = now.Add(resendBeats * c.opt.Beat)
	}
	p.probing = false
	p.next = max(p.next, p.match+1)
	c.advance()
	c.releaseReads()
	if p.next <= c.log.last() {
		c.replicate(now, m.From, p, false)
	}
}

// advance commits what a majority holds, if it is of this term (Ongaro 3.6.2).
func (c *Core) advance() {
	if c.role != Leader {
		return
	}
	var held []uint64
	for id := range c.members {
		if !c.isVoter(id) {
			continue
		}
		if id == c.opt.ID {
			held = append(held, c.log.last())
			continue
		}
		held = append(held, c.peers[id].match)
	}
	if len(held) == 0 {
		return
	}
	sort.Slice(held, func(i, j int) bool { return held[i] > held[j] })
	index := held[c.majority()-1]
	if t, ok := c.log.termAt(index); ok && t == c.term {
		c.commitTo(index)
	}
}

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	entries := c.log.between(c.commit, index)
	c.commit = index
	c.emit(Apply{entries})
}

// quorumSeq returns the newest heartbeat round that a majority of voters has confirmed.
func (c *Core) quorumSeq() uint64 {
	var acked []uint64
	for id := range c.members {
		if !c.isVoter(id) {
			continue
		}
		if id == c.opt.ID {
			acked = append(acked, c.seq)
			continue
		}
		if p := c.peers[id]; p != nil {
			acked = append(acked, p.acked)
		}
	}
	if len(acked) < c.majority() {
		return 0
	}
	sort.Slice(acked, func(i, j int) bool { return acked[i] > acked[j] })
	return acked[c.majority()-1]
}

// read waits for a heartbeat round that starts now and is confirmed by a majority.
func (c *Core) read(now time.Time, id uint64) {
	if !c.Leading() {
		c.emit(Refused{ID: id, Leader: c.leader})
		return
	}
	c.round(now)
	c.reads = append(c.reads, read{id, c.seq})
	c.releaseReads()
}

func (c *Core) releaseReads() {
	done := c.quorumSeq()
	for len(c.reads) > 0 && c.reads[0].seq <= done {
		c.emit(ReadAt{ID: c.reads[0].id, Index: c.commit})
		c.reads = c.reads[1:]
	}
}
