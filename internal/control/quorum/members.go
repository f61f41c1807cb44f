package quorum

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// EncodeMembers returns the data of a MEMBERS entry.
func EncodeMembers(m *wire.Members) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("members do not encode: " + err.Error())
	}
	return b
}

func decodeMembers(b []byte) *wire.Members {
	m := &wire.Members{}
	if proto.Unmarshal(b, m) != nil {
		return &wire.Members{}
	}
	return m
}

// readMembers takes the membership from the log: the last one counts from the moment that
// it is appended, committed or not (Ongaro 4.1).
func (c *Core) readMembers() {
	m, _ := c.log.members()
	c.members = map[string]*wire.Member{}
	for _, one := range m.GetMembers() {
		c.members[one.Id] = one
	}
	if c.role == Leader {
		c.matchPeers()
	}
}

// matchPeers keeps one peer for each other member.
func (c *Core) matchPeers() {
	for id := range c.members {
		if id != c.opt.ID && c.peers[id] == nil {
			c.peers[id] = &peer{next: c.log.last() + 1, probing: true}
		}
	}
	for id := range c.peers {
		if c.members[id] == nil {
			delete(c.peers, id)
		}
	}
}

func sortedIDs(members map[string]*wire.Member) []string {
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (c *Core) isVoter(id string) bool {
	m := c.members[id]
	return m != nil && !m.Learner
}

func (c *Core) voters() int {
	n := 0
	for id := range c.members {
		if c.isVoter(id) {
			n++
		}
	}
	return n
}

func (c *Core) majority() int { return c.voters()/2 + 1 }

// changesAllowed reports whether a new membership may be appended: the last one must be
// committed, and so must an entry of this term.
func (c *Core) changesAllowed() bool {
	_, index := c.log.members()
	return c.Leading() && index <= c.commit
}

// oneStep reports whether next differs from the membership in use by one voter at most.
func (c *Core) oneStep(next *wire.Members) bool {
	voters := map[string]bool{}
	for _, m := range next.Members {
		if !m.Learner {
			voters[m.Id] = true
		}
	}
	changed := 0
	for id := range voters {
		if !c.isVoter(id) {
			changed++
		}
	}
	for id := range c.members {
		if c.isVoter(id) && !voters[id] {
			changed++
		}
	}
	return changed <= 1 && len(voters) > 0
}
