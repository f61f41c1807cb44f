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

// BirthService is the name of the call that asks a control host for what it holds.
const BirthService = "birth"

const birthLimit = time.Second

// Birth settles the first membership. A quorum is born once all hosts of the settings have
// shown an empty log: a host that lost its disk meets others that have one, and joins anew.
// The exported fields are set before the first call.
type Birth struct {
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
func (b *Birth) Serve(_ context.Context, _ string, c *link.Conn) {
	c.SetDeadline(time.Now().Add(birthLimit))
	if c.Recv(&wire.BootstrapState{}) != nil {
		return
	}
	m := b.Members()
	_ = c.Send(&wire.BootstrapState{Id: b.ID, Addr: b.Addr, Empty: m == nil, Members: m})
}

// Settle returns what the host starts from: its own log, or the first membership. A host
// whose identity is in no membership starts without one and waits to be added.
func (b *Birth) Settle(ctx context.Context, r quorum.PersistentState) (quorum.PersistentState, error) {
	if r.Term > 0 || r.Snapshot.Members != nil || len(r.Entries) > 0 {
		return r, nil
	}
	for ctx.Err() == nil {
		if m := b.round(ctx); m != nil {
			r.Snapshot.Members = m
			b.Log.WithField("members", len(m.Members)).Info("first membership settled")
			return r, b.Store.Install(r.Snapshot)
		}
		clock.Sleep(ctx, redialPause)
	}
	return r, ctx.Err()
}

// round asks every host once. It returns nil while the first membership is open.
func (b *Birth) round(ctx context.Context) *wire.Members {
	own := &wire.Member{Id: b.ID, Addr: b.Addr}
	found := []*wire.Member{own}
	for _, p := range b.Peers {
		if p.Host == HostOf(b.ID) {
			continue
		}
		answer, err := b.ask(ctx, p.LinkAddr)
		if err != nil {
			continue
		}
		if !answer.Empty {
			return joining(answer.Members, b.ID)
		}
		found = append(found, &wire.Member{Id: answer.Id, Addr: answer.Addr})
	}
	if len(found) < len(b.Peers) {
		return nil
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Id < found[j].Id })
	return &wire.Members{Members: found}
}

// joining returns the membership that an existing quorum has. Where it does not hold id,
// this host is no member of it and never campaigns until it is added.
func joining(m *wire.Members, id string) *wire.Members {
	for _, one := range m.GetMembers() {
		if one.Id == id {
			return m
		}
	}
	return &wire.Members{}
}

func (b *Birth) ask(ctx context.Context, addr string) (*wire.BootstrapState, error) {
	c, err := b.Dialer.Open(ctx, addr, BirthService)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(birthLimit))
	if err := c.Send(&wire.BootstrapState{Id: b.ID}); err != nil {
		return nil, err
	}
	answer := &wire.BootstrapState{}
	if err := c.Recv(answer); err != nil {
		return nil, fmt.Errorf("ask %s for its log: %w", addr, err)
	}
	return answer, nil
}
