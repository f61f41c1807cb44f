package quorum

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// EncodeMembers encodes a membership as the data of a MEMBERS entry. It panics if an ID or address
// is not valid UTF-8.
func EncodeMembers(m *wire.Members) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("cannot encode members: " + err.Error())
	}
	return b
}

// decodeMembers returns an empty membership if the data is invalid.
func decodeMembers(b []byte) *wire.Members {
	m := &wire.Members{}
	if proto.Unmarshal(b, m) != nil {
		return &wire.Members{}
	}
	return m
}

// refreshMembers takes the membership from the log. The last MEMBERS entry is in use as soon as
// it is appended, committed or not (Ongaro 4.1).
func (c *Core) refreshMembers() {
	m, _ := c.log.latestMembers()
	c.members = map[string]*wire.Member{}
	for _, member := range m.GetMembers() {
		c.members[member.Id] = member
	}
	if c.role == Leader {
		c.refreshPeers()
	}
}

// refreshPeers adds a peer for each new member other than this host and removes the peers that
// are no longer members.
func (c *Core) refreshPeers() {
	for id := range c.members {
		if id != c.opt.ID && c.peers[id] == nil {
			c.peers[id] = &peer{nextIndex: c.log.lastIndex() + 1, probing: true}
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

func (c *Core) voterCount() int {
	n := 0
	for id := range c.members {
		if c.isVoter(id) {
			n++
		}
	}
	return n
}

func (c *Core) majority() int { return c.voterCount()/2 + 1 }

// membersChangeAllowed reports whether a new membership may be appended: the previous one and an
// entry of the current term must be committed.
func (c *Core) membersChangeAllowed() bool {
	_, index := c.log.latestMembers()
	return c.Leading() && index <= c.commitIndex
}

// changesAtMostOneVoter reports whether next differs from the membership in use by at most one
// voter, so that any old and new majority overlap, and has a voter at all.
func (c *Core) changesAtMostOneVoter(next *wire.Members) bool {
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
