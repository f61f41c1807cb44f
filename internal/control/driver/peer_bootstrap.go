package driver

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

// BootstrapService is the name of the link service that returns the membership known to a control
// host.
const BootstrapService = "birth"

// bootstrapTimeout bounds one query to one host.
const bootstrapTimeout = time.Second

// PeerBootstrap determines the initial membership by asking all configured control hosts. A
// new quorum forms only once every one of them reports an empty log, so a host that lost its disk
// finds the hosts that have a log and joins their quorum as a new member.
//
// The exported fields must be set before the first call.
type PeerBootstrap struct {
	// ID is the identity of this host's log, and Addr its address (host:port) for other hosts.
	ID   string
	Addr string
	// Peers are all control hosts in the settings, this one included.
	Peers  []conf.Peer
	Store  *store.Store
	Dialer *link.Dialer
	Log    *logs.Logger
	// Members returns the membership known to this host, or nil if its log is empty.
	Members func() *wire.Members
}

// Serve answers a query from another host. It is a link.Handler.
func (b *PeerBootstrap) Serve(_ context.Context, _ string, c *link.Conn) {
	c.SetDeadline(time.Now().Add(bootstrapTimeout))
	if c.Recv(&wire.BootstrapState{}) != nil {
		return
	}
	m := b.Members()
	_ = c.Send(&wire.BootstrapState{Id: b.ID, Addr: b.Addr, Empty: m == nil, Members: m})
}

// Initialize returns the state that the host starts from. A host with a log gets r unchanged.
// Otherwise Initialize asks the peers until the initial membership is known, and writes it to
// the store. A host that is not a member of an existing quorum starts with an empty membership
// and waits to be added. The error is ctx's, or that of the store.
func (b *PeerBootstrap) Initialize(ctx context.Context, r quorum.PersistentState) (quorum.PersistentState, error) {
	if r.Term > 0 || r.Snapshot.Members != nil || len(r.Entries) > 0 {
		return r, nil
	}
	for ctx.Err() == nil {
		if m := b.pollPeers(ctx); m != nil {
			r.Snapshot.Members = m
			b.Log.WithField("members", len(m.Members)).Info("initial quorum membership determined")
			return r, b.Store.InstallSnapshot(r.Snapshot)
		}
		clock.Sleep(ctx, redialDelay)
	}
	return r, ctx.Err()
}

// pollPeers asks every peer once. It returns nil if the initial membership is not known yet.
func (b *PeerBootstrap) pollPeers(ctx context.Context) *wire.Members {
	self := &wire.Member{Id: b.ID, Addr: b.Addr}
	members := []*wire.Member{self}
	for _, p := range b.Peers {
		if p.Host == HostOf(b.ID) {
			continue
		}
		reply, err := b.queryPeer(ctx, p.LinkAddr)
		if err != nil {
			continue
		}
		if !reply.Empty {
			return membershipIncluding(reply.Members, b.ID)
		}
		members = append(members, &wire.Member{Id: reply.Id, Addr: reply.Addr})
	}
	if len(members) < len(b.Peers) {
		return nil
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Id < members[j].Id })
	return &wire.Members{Members: members}
}

// membershipIncluding returns m, the membership of an existing quorum, if id is in it, and an
// empty membership otherwise: a host that is not a member must not start an election.
func membershipIncluding(m *wire.Members, id string) *wire.Members {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return m
		}
	}
	return &wire.Members{}
}

func (b *PeerBootstrap) queryPeer(ctx context.Context, addr string) (*wire.BootstrapState, error) {
	c, err := b.Dialer.Open(ctx, addr, BootstrapService)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(bootstrapTimeout))
	if err := c.Send(&wire.BootstrapState{Id: b.ID}); err != nil {
		return nil, err
	}
	reply := &wire.BootstrapState{}
	if err := c.Recv(reply); err != nil {
		return nil, fmt.Errorf("query membership from %s: %w", addr, err)
	}
	return reply, nil
}
