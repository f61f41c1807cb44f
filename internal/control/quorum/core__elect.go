package quorum

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

func (c *Core) tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) || !c.isVoter(c.opt.ID) {
		return
	}
	c.leader = ""
	c.campaign(now, true, false)
}

func (c *Core) tickLeader(now time.Time) {
	if c.lostQuorum(now) {
		c.follow(now, c.term, "")
		return
	}
	if c.handover != "" && now.Sub(c.handoverAt) > 2*c.opt.Election {
		c.handover = ""
	}
	if now.Before(c.beat.Add(c.opt.Beat)) {
		return
	}
	c.round(now)
}

// lostQuorum reports whether no quorum has confirmed a heartbeat for two election timeouts.
func (c *Core) lostQuorum(now time.Time) bool {
	if c.majority() == 1 {
		return false
	}
	last := c.elected
	if at, ok := c.sent[c.quorumSeq()]; ok {
		last = at
	}
	return now.Sub(last) > 2*c.opt.Election
}

// campaign asks for votes. A pre-vote changes no term; forced votes ignore a live leader.
func (c *Core) campaign(now time.Time, pre, force bool) {
	c.resetDeadline(now)
	c.role = Candidate
	c.pre = pre
	c.votes = map[string]bool{c.opt.ID: true}
	term := c.term + 1
	kind := wire.MessageKind_PREVOTE
	if !pre {
		c.setTerm(term, c.opt.ID)
		kind = wire.MessageKind_VOTE
	}
	if c.won() {
		c.win(now)
		return
	}
	for _, id := range sortedIDs(c.members) {
		if id == c.opt.ID || !c.isVoter(id) {
			continue
		}
		c.send(&wire.Message{
			Kind: kind, To: id, Term: term, Force: force,
			Index: c.log.last(), Logterm: c.log.lastTerm(),
		})
	}
}

func (c *Core) setTerm(term uint64, vote string) {
	c.term = term
	c.vote = vote
	c.dirty = true
}

func (c *Core) won() bool {
	n := 0
	for id, granted := range c.votes {
		if granted && c.isVoter(id) {
			n++
		}
	}
	return n >= c.majority()
}

func (c *Core) win(now time.Time) {
	if c.pre {
		c.campaign(now, false, false)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Time) {
	c.role = Leader
	c.leader = c.opt.ID
	c.former = false
	c.elected = now
	c.handover = ""
	c.peers = map[string]*peer{}
	c.sent = map[uint64]time.Time{}
	c.seq = 0
	c.reads = nil
	c.matchPeers()
	c.appendOwn([]*wire.Entry{{Kind: wire.EntryKind_BARRIER, Data: []byte(c.opt.ID)}})
	c.round(now)
}

// follow makes this host a follower in term; the vote is kept within a term.
func (c *Core) follow(now time.Time, term uint64, leader string) {
	if term > c.term {
		c.setTerm(term, "")
	}
	if c.role == Leader {
		c.failReads()
	}
	c.role = Follower
	c.leader = leader
	c.former = false
	c.peers = nil
	c.resetDeadline(now)
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.emit(Refused{ID: r.id, Leader: ""})
	}
	c.reads = nil
}

func (c *Core) receive(now time.Time, m *wire.Message) {
	if m.Kind == wire.MessageKind_PREVOTE || m.Kind == wire.MessageKind_VOTE {
		c.answerVote(now, m)
		return
	}
	if m.Term > c.term && m.Kind != wire.MessageKind_PREVOTED {
		c.follow(now, m.Term, "")
	}
	if m.Term < c.term && m.Kind != wire.MessageKind_PREVOTED {
		c.refuseOld(m)
		return
	}
	switch m.Kind {
	case wire.MessageKind_PREVOTED, wire.MessageKind_VOTED:
		c.countVote(now, m)
	case wire.MessageKind_APPEND:
		c.acceptEntries(now, m)
	case wire.MessageKind_SNAPSHOT:
		c.acceptSnapshot(now, m)
	case wire.MessageKind_APPENDED:
		c.confirmed(now, m)
	case wire.MessageKind_HANDOVER:
		c.campaign(now, false, true)
	}
}

// refuseOld answers a leader of an older term, so that it steps down.
func (c *Core) refuseOld(m *wire.Message) {
	if m.Kind == wire.MessageKind_APPEND || m.Kind == wire.MessageKind_SNAPSHOT {
		c.send(&wire.Message{Kind: wire.MessageKind_APPENDED, To: m.From, Reject: true})
	}
}

// answerVote grants a vote to a candidate whose log is as up to date as this one, unless
// another leader was heard within an election timeout: leases rest on that refusal. A leader
// that asks for votes has given up its lease itself.
func (c *Core) answerVote(now time.Time, m *wire.Message) {
	leased := (c.role == Leader && !c.lostQuorum(now)) || (now.Sub(c.heard) < c.opt.Election && m.From != c.lessor)
	if leased && !m.Force {
		return
	}
	if m.Kind == wire.MessageKind_PREVOTE {
		granted := m.Term > c.term && c.upToDate(m)
		c.send(&wire.Message{Kind: wire.MessageKind_PREVOTED, To: m.From, Term: max(m.Term, c.term), Reject: !granted})
		return
	}
	if m.Term > c.term {
		c.follow(now, m.Term, "")
	}
	free := c.vote == "" || c.vote == m.From
	granted := m.Term == c.term && free && c.role == Follower && c.upToDate(m)
	if granted {
		c.vote = m.From
		c.dirty = true
		c.resetDeadline(now)
	}
	c.send(&wire.Message{Kind: wire.MessageKind_VOTED, To: m.From, Reject: !granted})
}

func (c *Core) upToDate(m *wire.Message) bool {
	if m.Logterm != c.log.lastTerm() {
		return m.Logterm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) countVote(now time.Time, m *wire.Message) {
	pre := m.Kind == wire.MessageKind_PREVOTED
	if c.role != Candidate || c.pre != pre {
		return
	}
	asked := c.term
	if pre {
		asked = c.term + 1
	}
	if m.Reject && m.Term > asked {
		c.follow(now, m.Term, "")
		return
	}
	if m.Term != asked {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.won() {
		c.win(now)
	}
}

// startHandover tells the best caught-up voter to campaign at once.
func (c *Core) startHandover(now time.Time) {
	if !c.Leading() {
		return
	}
	best := ""
	for _, id := range sortedIDs(c.members) {
		p := c.peers[id]
		if !c.isVoter(id) || p == nil || p.match != c.log.last() {
			continue
		}
		if best == "" || p.acked > c.peers[best].acked {
			best = id
		}
	}
	if best == "" {
		return
	}
	c.handover = best
	c.handoverAt = now
	c.send(&wire.Message{Kind: wire.MessageKind_HANDOVER, To: best})
}
