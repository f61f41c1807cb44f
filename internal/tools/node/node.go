// Package node assembles and runs one host on the users' platform: the services of its roles,
// configured by the platform's settings.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/kernel"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/platform"
)

// Names of the services in the kernel.
const (
	ServiceLink     = "link"
	ServiceQuorum   = "quorum"
	ServiceAgent    = "agent"
	ServiceTopology = "desk"
	ServiceFront    = "front"
	ServiceReady    = "ready"
	ServiceControl  = "control"
	ServiceMetrics  = "metrics"
	ServiceReload   = "reload"
)

const (
	// leaseDuration is how long after its last renewal by control a host may read at primaries. A
	// failover waits that long for a partitioned host.
	leaseDuration = 1500 * time.Millisecond
	// renewInterval is the time between two lease renewals; it leaves four attempts within a lease.
	renewInterval = 300 * time.Millisecond
	// leaseStreamTimeout is how long a lease stream may go without an answer before it is closed. It
	// leaves time to renew through another host within the lease.
	leaseStreamTimeout = 650 * time.Millisecond
	// linkDialTimeout bounds the opening of a connection to another host. It is many times the round
	// trip time, but short because a host that is down does not answer and another one is tried next.
	linkDialTimeout = 150 * time.Millisecond
	// leaveTimeout bounds the request that removes this host from control's list at shutdown.
	leaveTimeout = 500 * time.Millisecond
	// stopMargin is the part of the grace period (SIGTERM to SIGKILL) reserved for stopping services
	// after the drain.
	stopMargin = 500 * time.Millisecond
)

// Options configure a node.
type Options struct {
	// Settings are the platform's settings of this host.
	Settings platform.Settings
	// Reload reads the settings again. It must be set if SettingsChanged is.
	Reload func() (platform.Settings, error)
	// SettingsChanged receives a value when the settings may have changed; nil disables reloading.
	SettingsChanged <-chan struct{}
	// Log receives the log lines; it must not block.
	Log io.Writer
	// Dropped returns the number of lines that Log has dropped. Optional.
	Dropped func() int64
	// Dial opens connections to other hosts; nil uses TCP. Tests replace it.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Metrics is the address (host:port) on which metrics are served; empty disables them.
	Metrics string
	// Level is the lowest level of lines that are logged, for instance "info".
	Level string
}

// Node is one host on the users' platform. The exported fields give tests access to its services.
type Node struct {
	// Kernel starts, drains and stops the services.
	Kernel *kernel.Kernel
	// Agent keeps the host's lease and its view of the control state.
	Agent *agent.Agent
	// Meter holds the host's metrics.
	Meter *meter.Meter
	// Log writes the host's log lines.
	Log *logs.Logger

	opt      Options
	cfg      platform.Settings
	dialer   *link.Dialer
	links    *link.Server
	draining atomic.Bool
	traffic  *traffic
	control  *control
}

// New assembles a node. It opens the listener for other hosts and, on a control host, the store;
// it starts no service. It returns an error if the listener or the store cannot be opened.
func New(opt Options) (*Node, error) {
	cfg := opt.Settings
	n := &Node{opt: opt, cfg: cfg, Meter: meter.New(), dialer: &link.Dialer{Host: cfg.Host, Timeout: linkDialTimeout, Dial: opt.Dial}}
	n.Log = logs.New(logs.Options{Out: opt.Log, Host: cfg.Host, Roles: n.roles(), Level: opt.Level})
	n.dialer.OnSilent = link.ReportSilent(n.Log, n.Meter)
	n.Kernel = &kernel.Kernel{DrainLimit: cfg.GracePeriod() - stopMargin, StopLimit: stopMargin, Ended: n.Log.ServiceEnded}
	ln, err := net.Listen("tcp", cfg.LinkAddr())
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	n.links = &link.Server{Listener: ln, Handlers: map[string]link.Handler{}, MaxSessions: cfg.MaxHosts(), MaxStreams: cfg.MaxStreams()}
	n.links.OnClosed = func() { n.Meter.AddCounter("hosts.closed", 1) }
	if err := n.build(); err != nil {
		ln.Close()
		return nil, err
	}
	return n, nil
}

// roles returns the names of the host's roles.
func (n *Node) roles() []string {
	var list []string
	if n.cfg.ServesCallers() {
		list = append(list, string(conf.RoleEntry))
	}
	if n.cfg.ServesControl() {
		list = append(list, string(conf.RoleControl))
	}
	return list
}

// build creates the services and registers them with the kernel, in start order.
func (n *Node) build() error {
	incarnation := make([]byte, 6)
	if _, err := rand.Read(incarnation); err != nil {
		return err
	}
	n.Agent = &agent.Agent{
		Host: n.cfg.Host, Peers: peers(n.cfg), RenewInterval: renewInterval, Dialer: n.dialer, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
		Registration: &wire.HostState{Link: n.cfg.LinkAddr(), Center: n.cfg.Center, Instance: hex.EncodeToString(incarnation), Roles: n.roles()},
	}
	n.Agent.StreamTimeout = leaseStreamTimeout
	n.Agent.Shares = &share.Holder{Tolerance: n.cfg.LimitTolerance(), OnRefused: n.logRefusals}
	n.Agent.Prepare()
	k := n.Kernel
	k.Register(kernel.Service{Name: ServiceLink, Value: n.links, Start: n.startLink})
	if n.cfg.ServesControl() {
		if err := n.buildControl(); err != nil {
			return err
		}
	}
	k.Register(kernel.Service{Name: ServiceAgent, Value: n.Agent, Start: startFunc(n.Agent.Run), Drain: n.leave})
	if n.control != nil {
		k.Register(n.control.services()...)
	}
	n.buildTraffic()
	if n.cfg.ServesCallers() {
		n.buildFront()
	}
	k.Register(n.traffic.services()...)
	k.Register(kernel.Service{Name: ServiceMetrics, Start: n.serveMetrics})
	k.Register(kernel.Service{Name: ServiceReload, Start: startFunc(n.reload), Drain: n.beginDrain})
	return nil
}

// logRefusals logs that operations of a client account were refused because of its limit.
func (n *Node) logRefusals(r share.Refusals) {
	n.Log.WithField("account", r.Account).WithField("limited", r.Limited).WithField("noshare", r.NoShare).WithField("admitted", r.Admitted).WithField("ms", r.Elapsed.Milliseconds()).WithField("rate", math.Round(r.Rate*100)/100).
		WithField("demand", math.Round(r.Demand*100)/100).WithField("share", math.Round(float64(r.Share)/float64(share.Whole)*1000)/1000).Info("account over its limit")
}

// peers returns the control hosts that the settings list as seeds.
func peers(cfg platform.Settings) []conf.Peer {
	var list []conf.Peer
	for _, addr := range cfg.SeedLinkAddrs() {
		list = append(list, conf.Peer{Host: addr, LinkAddr: addr})
	}
	return list
}

// startFunc adapts a Run method that cannot fail to start to kernel.Service.Start.
func startFunc(run func(context.Context) <-chan error) func(context.Context) (<-chan error, error) {
	return func(ctx context.Context) (<-chan error, error) { return run(ctx), nil }
}

// startLink accepts connections from other hosts; outgoing ones are closed when ctx ends.
func (n *Node) startLink(ctx context.Context) (<-chan error, error) {
	context.AfterFunc(ctx, n.dialer.Close)
	return n.links.Run(ctx), nil
}

// beginDrain is the first step of a shutdown: it fails the load balancer's readiness check, stops
// lending connections and tells the hosts that borrow them. A control host leaves the quorum
// meanwhile: what runs on lent connections may take most of the drain.
func (n *Node) beginDrain(ctx context.Context) {
	n.draining.Store(true)
	n.traffic.stopLending(ctx)
	n.Agent.Drain()
	n.Log.Info("shutdown requested; draining")
	if n.control != nil {
		n.control.left = n.control.startLeaving(ctx)
	}
}

// leave removes this host from control's list of hosts, so that no failover waits for its lease to
// expire.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.Agent.Leave(ctx)
}

// serveMetrics serves GET /metrics on Options.Metrics.
func (n *Node) serveMetrics(ctx context.Context) (<-chan error, error) {
	if n.opt.Metrics == "" {
		return nil, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if n.opt.Dropped != nil {
			n.Meter.SetGauge("log.lines.dropped", n.opt.Dropped())
		}
		if err := n.Meter.WriteText(w); err != nil {
			n.Log.WithField("error", err.Error()).Debug("writing metrics response failed")
		}
	})
	return platform.Serve(ctx, n.opt.Metrics, mux, platform.ProbeConns, n.Meter)
}

// reload rereads the settings when they change and applies the seeds; the other settings need a
// restart.
func (n *Node) reload(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-n.opt.SettingsChanged:
			}
			cfg, err := n.opt.Reload()
			if err != nil {
				n.Log.WithField("error", err.Error()).Error("reloading settings failed; previous settings stay in force")
				continue
			}
			n.Agent.SetPeers(peers(cfg))
			n.Log.WithField("seeds", cfg.Seeds).Info("settings reloaded")
		}
	}()
	return done
}

// Run runs the node until ctx ends or a service fails, then drains and stops it. It returns the
// first error of a service.
func (n *Node) Run(ctx context.Context) error {
	n.Log.WithField("settings", n.cfg.String()).WithField("first", n.cfg.Bootstrap).Info("start")
	err := n.Kernel.Run(ctx)
	n.Log.Stopped(err)
	if err != nil {
		return fmt.Errorf("host %s: %w", n.cfg.Host, err)
	}
	return nil
}
