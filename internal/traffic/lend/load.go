package lend

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// load returns the load of the last request's instance as this lender sees it, or nil if it doesn't order the
// instance's requests.
func (s *lentStream) load() *wire.InstanceLoad {
	if s.member == nil {
		return nil
	}
	load, ok := s.member.AdmissionLoad(s.database)
	if !ok {
		return nil
	}
	return &wire.InstanceLoad{
		Version: s.lender.loadVersion.Add(1), Running: uint32(load.Running), Waiting: uint32(load.Waiting),
		Service: int64(load.Service), DatabaseService: int64(load.DatabaseService),
	}
}

// decline returns the reply to a movable request for an instance without a free slot.
func (l *Lender) decline(m *topo.Member) *wire.LendReply {
	l.Meter.AddCounter("errands.declined", 1)
	return &wire.LendReply{Code: uint32(flow.Overloaded), Text: []byte(m.Instance), State: uint32(flow.Idle), Stage: uint32(flow.Answered), Declined: true}
}

// passLoad passes the load in a reply on, if there is one.
func (b *borrowedConn) passLoad(load *wire.InstanceLoad) {
	if load == nil || b.borrower.OnLoad == nil {
		return
	}
	b.borrower.OnLoad(b.borrower.Now(), b.group, b.instance, even.Report{
		Lender: b.addr, Version: load.Version, Running: int(load.Running), Waiting: int(load.Waiting),
		Service: time.Duration(load.Service), Kind: b.database, KindService: time.Duration(load.DatabaseService),
	})
}
