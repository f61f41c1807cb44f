package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/kernel"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// balancerDetectionTime is how long the load balancer may keep sending callers after the first
	// failed readiness check: it checks every second and needs two failures.
	balancerDetectionTime = 2600 * time.Millisecond
	// leaveReserve is the part of a drain that is left to take an entry host off control's list, which
	// takes a few round trips.
	leaveReserve = 100 * time.Millisecond
	// transactionDrainShare is the fraction of the grace period (SIGTERM to SIGKILL) in which open
	// transactions may finish.
	transactionDrainShare = 0.6
)

// traffic is the part of a host that lends connections to other hosts and, on an entry host, serves
// callers.
type traffic struct {
	n        *Node
	topology *topo.Topology
	front    *front.Server
	lender   *lend.Lender
	// memory bounds what callers, and hosts that borrow, hold; nil means no bound.
	memory *bounds.Budget
}

// buildTraffic builds what entry and control hosts have in common: the topology, and the lender of
// connections to instances.
func (n *Node) buildTraffic() {
	t := &traffic{n: n, memory: n.callerMemory()}
	borrower := &lend.Borrower{Dialer: n.dialer, Now: clock.Monotonic, Memory: t.memory, OnMismatch: lend.ReportMismatch(n.Log, n.Meter)}
	t.topology = &topo.Topology{
		Host: n.cfg.Host, Center: n.cfg.Center, LendOnly: !n.cfg.ServesCallers(), Agent: n.Agent, NewPool: t.newPool, Borrow: borrower.Open,
		LeaveBound: n.cfg.LeaveBound(), Shares: n.Agent.Shares, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
	}
	borrower.OnLoad = t.topology.RecordLoad
	t.topology.Prepare()
	t.lender = &lend.Lender{Topology: t.topology, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic, Withdrawn: n.withdrawn, Memory: t.memory}
	n.links.Handlers[lend.Service] = t.lender.Serve
	n.links.Handlers[agent.RelayService] = n.Agent.Relay
	n.traffic = t
}

// buildFront builds the server that accepts callers.
func (n *Node) buildFront() {
	t := n.traffic
	n.Agent.Relays = n.relayAddrs
	costs := route.DefaultCosts()
	manager := &sess.Manager{Topology: t.topology, Costs: costs, Placer: even.NewPlacer(costs.Remote, costs.Primary), Log: n.Log, LogBudget: sess.NewLogBudget(), Meter: n.Meter, Now: clock.Monotonic}
	t.front = &front.Server{
		Addr: n.cfg.Listen.Callers, Codec: platform.Protocol{Meter: n.Meter}.CallerCodec(), Sessions: manager, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
		CanOpenSession: func(time.Time) bool { return t.topology.Snapshot().ManifestNumber > 0 }, DatabasesKnown: t.topology.ManifestLoaded(), ShedCallers: t.topology.LeaseLapsed, DrainDelay: balancerDetectionTime,
		Limits:           front.Limits{Callers: n.cfg.MaxCallers(), MessageTimeout: front.DefaultMessageTimeout, UnreadBytes: front.DefaultUnreadBytes, SessionBytes: front.DefaultSessionBytes, SessionValues: front.DefaultSessionValues},
		Memory:           t.memory,
		TransactionLimit: n.transactionLimit(),
	}
}

// callerShare is what each caller may hold when callers have used up their memory, in bytes: ordinary
// statements and answers.
const callerShare = 16 << 10

// callerMemory returns the budget of memory for callers, or nil if the settings give no limit.
func (n *Node) callerMemory() *bounds.Budget {
	total := bounds.BudgetFor(n.cfg.MemoryLimit())
	if total == 0 {
		return nil
	}
	return &bounds.Budget{Total: total, Share: callerShare, Meter: n.Meter, Name: "memory.callers"}
}

// transactionLimit returns how long transactions may go on after the start of a shutdown.
func (n *Node) transactionLimit() time.Duration {
	return time.Duration(transactionDrainShare * float64(n.cfg.GracePeriod()))
}

// relayAddrs returns the link addresses of the other entry hosts, which relay lease renewals while
// this host cannot reach a control host.
func (n *Node) relayAddrs() []string {
	var list []string
	for _, r := range n.Agent.View().List(spec.Hosts) {
		if r.Name != n.cfg.Host && slices.Contains(r.Host.GetRoles(), string(conf.RoleEntry)) {
			list = append(list, r.Host.Link)
		}
	}
	return list
}

// newPool returns the connection pool for an instance at addr. sameCenter says that the instance is
// in this host's data centre; slots is the number of statements that the instance runs
// concurrently.
func (t *traffic) newPool(group, instance, addr string, sameCenter bool, slots int) *pool.Pool {
	return &pool.Pool{
		Group: group, Instance: instance, Addr: addr, Local: sameCenter, Slots: slots, Codec: platform.Protocol{Meter: t.n.Meter}.BackendCodec(),
		Log: t.n.Log, Meter: t.n.Meter, Dial: dial, Now: clock.Monotonic, Memory: t.memory,
	}
}

// dial opens a TCP connection to an instance.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// services returns the services of this part, in start order.
func (t *traffic) services() []kernel.Service {
	list := []kernel.Service{{Name: ServiceTopology, Value: t.topology, Start: startFunc(t.topology.Run), Drain: t.drainLender}}
	if t.front == nil {
		return list
	}
	return append(list, []kernel.Service{
		{Name: ServiceFront, Value: t.front, Start: t.front.Run, Drain: t.drainFront},
		{Name: ServiceReady, Start: t.serveReady},
	}...)
}

// stopLending makes the lender refuse new uses. Lent connections have until ctx ends, less the time to
// take this host off control's list.
func (t *traffic) stopLending(ctx context.Context) {
	ctx, cancel := withReserve(ctx, leaveTimeout)
	defer cancel()
	now := clock.Monotonic()
	t.lender.StopLending(drain.New(now, 0, t.n.transactionLimit(), drain.Deadline(ctx, now)))
}

// withReserve returns a context that ends earlier than ctx, if ctx has a deadline.
func withReserve(ctx context.Context, reserve time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}

// withdrawn reports whether all hosts know that this host drains, so that none borrows from it.
func (n *Node) withdrawn() bool {
	r := n.Agent.View().Get(spec.Hosts, n.cfg.Host)
	return r.GetHost().GetDraining() && n.Agent.InForce() >= r.Revision
}

// drainFront ends the connections of callers, and leaves the time to take this host off control's list.
func (t *traffic) drainFront(ctx context.Context) {
	ctx, cancel := withReserve(ctx, leaveReserve)
	defer cancel()
	t.front.Drain(ctx)
}

// drainLender waits until nothing runs on lent connections.
func (t *traffic) drainLender(ctx context.Context) {
	t.stopLending(ctx)
	ctx, cancel := withReserve(ctx, leaveTimeout)
	defer cancel()
	t.lender.Drain(ctx)
}

// serveReady serves the load balancer's readiness check, which fails from the start of a drain.
func (t *traffic) serveReady(ctx context.Context) (<-chan error, error) {
	return platform.Serve(ctx, t.n.cfg.Listen.Ready, platform.Readiness(func() bool {
		return !t.n.draining.Load() && t.topology.Ready(clock.Monotonic())
	}), platform.ProbeConns, t.n.Meter)
}
