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
	desk   *desk.Desk
	front  *front.Server
	lender *lend.Lender
}

// buildTraffic puts the part together that entry and control hosts share: what they know of
// groups, and the connections that they lend.
func (n *Node) buildTraffic() {
	t := &traffic{n: n}
	borrower := &lend.Borrower{Dialer: n.dialer, Now: clock.Monotonic}
	t.desk = &desk.Desk{
		Host: n.cfg.Host, Center: n.cfg.Center, Lends: !n.cfg.HasCallers(), Agent: n.Agent, Open: t.open, Borrow: borrower.Open,
		Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
	}
	t.desk.Prepare()
	t.lender = &lend.Lender{Desk: t.desk, Meter: n.Meter}
	n.links.Handlers[lend.Service] = t.lender.Serve
	n.links.Handlers[agent.RelayService] = n.Agent.Relay
	n.traffic = t
}

// buildFront puts the part together that takes callers.
func (n *Node) buildFront() {
	t := n.traffic
	n.Agent.Relays = n.relays
	broker := &sess.Broker{Desk: t.desk, Costs: route.DefaultCosts(), Log: n.Log, Lines: sess.NewBudget(), Meter: n.Meter, Now: clock.Monotonic}
	t.front = &front.Server{
		Addr: n.cfg.Listen.Callers, Codec: platform.CallerCodec(), Broker: broker, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
		Serves: func(time.Time) bool { return t.desk.Plan().Number > 0 }, Informed: t.desk.Informed(), Unfit: t.desk.Unfit, Quiet: balancerNotices,
		Bounds:   front.Bounds{Callers: n.cfg.Callers(), Message: front.MessageLimit, Unread: front.UnreadLimit},
		Patience: time.Duration(transactionShare * float64(n.cfg.Grace())),
	}
}

// relays returns the other entry hosts.
func (n *Node) relays() []string {
	var list []string
	for _, r := range n.Agent.View().List(spec.Hosts) {
		if r.Name != n.cfg.Host && slices.Contains(r.Host.GetRoles(), string(conf.RoleEntry)) {
			list = append(list, r.Host.Link)
		}
	}
	return list
}

// open returns the connections to an instance.
func (t *traffic) open(group, instance, addr string, near bool, slots int) *pool.Server {
	return &pool.Server{
		Group: group, Instance: instance, Addr: addr, Near: near, Slots: slots, Codec: platform.ServerCodec(),
		Log: t.n.Log, Meter: t.n.Meter, Dial: dial, Now: clock.Monotonic,
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
		return !t.n.draining.Load() && t.desk.Ready(clock.Monotonic())
	}))
}
