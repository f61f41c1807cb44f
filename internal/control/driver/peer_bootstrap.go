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

// BootstrapService is the name of the call that asks a control host for what it holds.
const BootstrapService = "birth"

const bootstrapTimeout = time.Second

// PeerBootstrap settles the first membership. A quorum is born once all hosts of the settings have
// shown an empty log: a host that lost its disk meets others that have one, and joins anew.
// The exported fields are set before the first call.
type PeerBootstrap struct {
	ID     string
	Addr   string
	Peers  []conf.Peer
	Store  *store.Store
	Dialer *link.Dialer
	Log    *logs.Logger
	// Members returns the membership that this host knows, or nil.
	Members func() *wire.Members
}

// Serve answers another host's call; it is a link.Handler.
func (b *PeerBootstrap) Serve(_ context.Context, _ string, c *link.Conn) {
	c.SetDeadline(time.Now().Add(bootstrapTimeout))
	if c.Recv(&wire.Birth{}) != nil {
		return
	}
	m := b.Members()
	_ = c.Send(&wire.Birth{Id: b.ID, Addr: b.Addr, Empty: m == nil, Members: m})
}

// Initialize returns what the host starts from: its own log, or the first membership. A host
// whose identity is in no membership starts without one and waits to be added.
func (b *PeerBootstrap) Initialize(ctx context.Context, r quorum.Restored) (quorum.Restored, error) {
	if r.Term > 0 || r.Snapshot.Members != nil || len(r.Entries) > 0 {
		return r, nil
	}
	for ctx.Err() == nil {
		if m := b.pollPeers(ctx); m != nil {
			r.Snapshot.Members = m
			b.Log.WithField("members", len(m.Members)).Info("first membership settled")
			return r, b.Store.InstallSnapshot(r.Snapshot)
		}
		clock.Sleep(ctx, redialDelay)
	}
	return r, ctx.Err()
}

// pollPeers asks every host once. It returns nil while the first membership is open.
func (b *PeerBootstrap) pollPeers(ctx context.Context) *wire.Members {
	self := &wire.Member{Id: b.ID, Addr: b.Addr}
	members := []*wire.Member{self}
	for _, p := range b.Peers {
		if p.Host == HostOf(b.ID) {
			continue
		}
		reply, err := b.queryPeer(ctx, p.Link)
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

// membershipIncluding returns the membership that an existing quorum has. Where it does not hold id,
// this host is no member of it and never campaigns until it is added.
func membershipIncluding(m *wire.Members, id string) *wire.Members {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return m
		}
	}
	return &wire.Members{}
}

func (b *PeerBootstrap) queryPeer(ctx context.Context, addr string) (*wire.Birth, error) {
	c, err := b.Dialer.Open(ctx, addr, BootstrapService)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(bootstrapTimeout))
	if err := c.Send(&wire.Birth{Id: b.ID}); err != nil {
		return nil, err
	}
	reply := &wire.Birth{}
	if err := c.Recv(reply); err != nil {
		return nil, fmt.Errorf("ask %s for its log: %w", addr, err)
	}
	return reply, nil
}
