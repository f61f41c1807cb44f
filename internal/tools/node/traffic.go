package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/kernel"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/desk"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// balancerNotices is how long the balancer may go on sending callers after the first
	// refusal: it asks each second and believes two refusals.
	balancerNotices = 2600 * time.Millisecond
	// transactionShare is the part of the time until SIGKILL that open transactions have.
	transactionShare = 0.6
)

// traffic is the part of a host that serves callers, or other hosts that do.
type traffic struct {
	n      *Node
	desk   *desk.Topology
	front  *front.Server
	lender *lend.Lender
}

// buildTraffic puts the part together that entry and control hosts share: what they know of
// groups, and the connections that they lend.
func (n *Node) buildTraffic() {
	t := &traffic{n: n}
	borrower := &lend.Borrower{Dialer: n.dialer, Now: clock.Boot}
	t.desk = &desk.Topology{
		Host: n.cfg.Host, Center: n.cfg.Center, LendOnly: !n.cfg.ServesCallers(), Agent: n.Agent, NewServer: t.open, Borrow: borrower.Open,
		Log: n.Log, Meter: n.Meter, Now: clock.Boot,
	}
	t.desk.Prepare()
	t.lender = &lend.Lender{Topology: t.desk, Meter: n.Meter}
	n.links.Handlers[lend.Service] = t.lender.Serve
	n.links.Handlers[agent.RelayService] = n.Agent.Relay
	n.traffic = t
}

// buildFront puts the part together that takes callers.
func (n *Node) buildFront() {
	t := n.traffic
	n.Agent.Relays = n.relays
	broker := &sess.Manager{Desk: t.desk, Costs: route.DefaultCosts(), Log: n.Log, LogBudget: sess.NewLogBudget(), Meter: n.Meter, Now: clock.Boot}
	t.front = &front.Server{
		Addr: n.cfg.Listen.Callers, Codec: platform.CallerCodec(), Sessions: broker, Log: n.Log, Meter: n.Meter, Now: clock.Boot,
		CanOpenSession: func(time.Time) bool { return t.desk.Snapshot().ManifestNumber > 0 }, DatabasesKnown: t.desk.ManifestLoaded(), ShedCallers: t.desk.LeaseLapsed, DrainDelay: balancerNotices,
		Limits:           front.Limits{Callers: n.cfg.MaxCallers(), MessageTimeout: front.DefaultMessageTimeout, UnreadBytes: front.DefaultUnreadBytes},
		TransactionLimit: time.Duration(transactionShare * float64(n.cfg.GracePeriod())),
	}
}

// relays returns the other entry hosts.
func (n *Node) relays() []string {
	var list []string
	for _, r := range n.Agent.View().List(spec.Hosts) {
		if r.Name != n.cfg.Host && slices.Contains(r.Host.GetRoles(), string(conf.Entry)) {
			list = append(list, r.Host.Link)
		}
	}
	return list
}

// open returns the connections to an instance.
func (t *traffic) open(group, instance, addr string, near bool, slots int) *pool.Server {
	return &pool.Server{
		Group: group, Instance: instance, Addr: addr, Near: near, Slots: slots, Codec: platform.BackendCodec(),
		Log: t.n.Log, Meter: t.n.Meter, Dial: dial, Now: clock.Boot,
	}
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

func (t *traffic) services() []kernel.Service {
	list := []kernel.Service{{Name: ServiceDesk, Value: t.desk, Start: running(t.desk.Run), Drain: t.lender.Drain}}
	if t.front == nil {
		return list
	}
	return append(list, []kernel.Service{
		{Name: ServiceFront, Value: t.front, Start: t.front.Run, Drain: t.front.Drain},
		{Name: ServiceReady, Start: t.serveReady},
	}...)
}

func (t *traffic) serveReady(ctx context.Context) (<-chan error, error) {
	return platform.Serve(ctx, t.n.cfg.Listen.Ready, platform.Readiness(func() bool {
		return !t.n.draining.Load() && t.desk.Ready(clock.Boot())
	}))
}
