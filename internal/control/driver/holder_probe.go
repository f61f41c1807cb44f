package driver

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

// IdentityService is the name of the link service that returns the identity of a control host's log.
const IdentityService = "identity"

// identityTimeout bounds one query for an identity: three round trips between regions.
const identityTimeout = dialTimeout

// ServeIdentity answers a query for the identity of this host's log. It is a link.Handler.
func (d *Driver) ServeIdentity(_ context.Context, _ string, c *link.Conn) {
	_ = c.SetDeadline(time.Now().Add(identityTimeout))
	_ = c.Send(&wire.Member{Id: d.ID})
}

// probeLeaseHolder asks, after a start and until a leader is known, which process runs at the address of
// the former leader. Another identity there means that the former leader has lost its disk: its
// lease ended with its process, and nothing has to wait for it. It returns once ctx ends at the
// latest.
func (d *Driver) probeLeaseHolder(ctx context.Context) {
	defer d.wg.Done()
	for st := d.Status(); ctx.Err() == nil && !st.LeaderKnown && st.LeaseHolder != nil; st = d.Status() {
		if id, err := d.queryIdentity(ctx, st.LeaseHolder.Addr); err == nil && id != st.LeaseHolder.Id {
			d.enqueue(request{event: quorum.Replaced{Member: &wire.Member{Id: id, Addr: st.LeaseHolder.Addr}}})
		}
		clock.Sleep(ctx, redialDelay)
	}
}

// queryIdentity returns the identity of the log of the control host at addr.
func (d *Driver) queryIdentity(ctx context.Context, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	c, err := d.Dialer.Open(ctx, addr, IdentityService)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(identityTimeout)); err != nil {
		return "", err
	}
	m := &wire.Member{}
	if err := c.Recv(m); err != nil {
		return "", err
	}
	return m.Id, nil
}
