package driver

import (
	"slices"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

// SeedBootstrap determines the state that a control host starts from in deployments that
// configure only the addresses of a few seed hosts. Members are identified by their address.
type SeedBootstrap struct {
	// Addr is this host's address (host:port) for other hosts.
	Addr string
	// Seeds are the addresses of the initial members. They must be the same on all hosts at
	// the first start.
	Seeds []string
	// FirstStart is set only while the whole deployment starts for the first time.
	FirstStart bool
}

// Initialize returns the identity of this host's log and the state that the host starts from.
// A host with a log keeps both. At the first start the seeds form the quorum: the membership
// follows from the settings alone, so neither start order nor lost messages can create a
// second quorum. Any other host with an empty log, including one that lost its disk, gets a new
// identity and waits until the quorum adds it. The error is that of the store.
func (b SeedBootstrap) Initialize(s *store.Store, r quorum.PersistentState) (string, quorum.PersistentState, error) {
	if !isEmpty(r) {
		id, err := s.Identity(b.Addr)
		return id, r, err
	}
	if !b.FirstStart || !slices.Contains(b.Seeds, b.Addr) {
		id, err := s.Identity(b.Addr)
		return id, r, err
	}
	id, err := s.SeedIdentity(b.Addr)
	if err != nil || id != store.SeedID(b.Addr) {
		return id, r, err
	}
	r.Snapshot.Members = b.seedMembers()
	return id, r, s.InstallSnapshot(r.Snapshot)
}

func isEmpty(r quorum.PersistentState) bool {
	return r.Term == 0 && r.Snapshot.Members == nil && len(r.Entries) == 0
}

func (b SeedBootstrap) seedMembers() *wire.Members {
	m := &wire.Members{}
	for _, addr := range slices.Sorted(slices.Values(b.Seeds)) {
		m.Members = append(m.Members, &wire.Member{Id: store.SeedID(addr), Addr: addr})
	}
	return m
}
