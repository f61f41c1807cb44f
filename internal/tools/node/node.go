// Package node provides one running host on the users' platform: the services of its roles,
// put together from the platform's settings.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
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
	"github.com/agatespindle/agatespindle/platform"
)

// Names of the services in the kernel.
const (
	ServiceLink    = "link"
	ServiceQuorum  = "quorum"
	ServiceAgent   = "agent"
	ServiceDesk    = "desk"
	ServiceFront   = "front"
	ServiceReady   = "ready"
	ServiceControl = "control"
	ServiceMetrics = "metrics"
	ServiceReload  = "reload"
)

const (
	// leaseLength is how long a host may read at primaries without word from control. A
	// failover waits that long for a host that is cut off.
	leaseLength = 1500 * time.Millisecond
	// renewInterval leaves four tries within a lease.
	renewInterval = 300 * time.Millisecond
	// leaseSilence ends a lease stream without an answer early enough for another way to be
	// found within the lease.
	leaseSilence = 650 * time.Millisecond
	// linkDial bounds the opening of a connection to another host, many times a round trip. A
	// host that is down does not answer, and another one is asked then.
	linkDial = 150 * time.Millisecond
	// leaveLimit bounds the last word to control.
	leaveLimit = 500 * time.Millisecond
	// stopMargin is kept back from the time between SIGTERM and SIGKILL.
	stopMargin = 500 * time.Millisecond
)

// Options are what a node is made of.
type Options struct {
	Settings platform.Settings
	// Reload, where set, reads the settings again.
	Reload func() (platform.Settings, error)
	// Changed brings a value when the settings may have changed.
	Changed <-chan struct{}
	// Log receives the log lines; it must not block.
	Log io.Writer
	// Dropped, where set, returns how many lines Log has dropped.
	Dropped func() int64
	// Dial, where set, opens connections to other hosts; it is a seam for tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Metrics is the address of the metrics; empty serves none.
	Metrics string
	Level   string
}

// Node is one host. The exported fields are its services, for tests.
type Node struct {
	Kernel *kernel.Kernel
	Agent  *agent.Agent
	Meter  *meter.Meter
	Log    *logs.Logger

	opt      Options
	cfg      platform.Settings
	dialer   *link.Dialer
	links    *link.Server
	draining atomic.Bool
	traffic  *traffic
	control  *control
}

// New puts a node together. It opens the listener for other hosts and the store.
func New(opt Options) (*Node, error) {
	cfg := opt.Settings
	n := &Node{opt: opt, cfg: cfg, Meter: meter.New(), dialer: &link.Dialer{Host: cfg.Host, Timeout: linkDial, Dial: opt.Dial}}
	n.Log = logs.New(logs.Options{Out: opt.Log, Host: cfg.Host, Roles: n.roles(), Level: opt.Level})
	n.Kernel = &kernel.Kernel{DrainLimit: cfg.Grace() - stopMargin, StopLimit: stopMargin}
	ln, err := net.Listen("tcp", cfg.Link())
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	n.links = &link.Server{Listener: ln, Handlers: map[string]link.Handler{}}
	if err := n.build(); err != nil {
		ln.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) roles() []string {
	var list []string
	if n.cfg.HasCallers() {
		list = append(list, string(conf.RoleEntry))
	}
	if n.cfg.HasControl() {
		list = append(list, string(conf.RoleControl))
	}
	return list
}

func (n *Node) build() error {
	life := make([]byte, 6)
	if _, err := rand.Read(life); err != nil {
		return err
	}
	n.Agent = &agent.Agent{
		Host: n.cfg.Host, Peers: peers(n.cfg), RenewInterval: renewInterval, Dialer: n.dialer, Log: n.Log, Meter: n.Meter, Now: clock.Monotonic,
		Record: &wire.HostState{Link: n.cfg.Link(), Center: n.cfg.Center, Instance: hex.EncodeToString(life), Roles: n.roles()},
	}
	n.Agent.StreamTimeout = leaseSilence
	n.Agent.Prepare()
	k := n.Kernel
	k.Register(kernel.Service{Name: ServiceLink, Value: n.links, Start: n.startLink})
	if n.cfg.HasControl() {
		if err := n.buildControl(); err != nil {
			return err
		}
	}
	k.Register(kernel.Service{Name: ServiceAgent, Value: n.Agent, Start: running(n.Agent.Run), Drain: n.leave})
	if n.control != nil {
		k.Register(n.control.services()...)
	}
	n.buildTraffic()
	if n.cfg.HasCallers() {
		n.buildFront()
	}
	k.Register(n.traffic.services()...)
	k.Register(kernel.Service{Name: ServiceMetrics, Start: n.serveMetrics})
	k.Register(kernel.Service{Name: ServiceReload, Start: running(n.reload), Drain: n.beginDrain})
	return nil
}

func peers(cfg platform.Settings) []conf.Peer {
	var list []conf.Peer
	for _, addr := range cfg.SeedLinks() {
		list = append(list, conf.Peer{Host: addr, LinkAddr: addr})
	}
	return list
}

// running adapts a Run method that cannot fail at its start.
func running(run func(context.Context) <-chan error) func(context.Context) (<-chan error, error) {
	return func(ctx context.Context) (<-chan error, error) { return run(ctx), nil }
}

func (n *Node) startLink(ctx context.Context) (<-chan error, error) {
	context.AfterFunc(ctx, n.dialer.Close)
	return n.links.Run(ctx), nil
}

// beginDrain is the first step of a shutdown: the balancer is told, and so are the hosts that
// use this one's connections.
func (n *Node) beginDrain(context.Context) {
	n.draining.Store(true)
	n.Agent.Drain()
	n.Log.Info("stop asked for")
}

// leave takes this host out of control's list, so that nobody waits for its lease.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	n.Agent.Leave(ctx)
}

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
			n.Log.WithField("error", err.Error()).Debug("metrics not written")
		}
	})
	return platform.Serve(ctx, n.opt.Metrics, mux)
}

// reload takes over new seeds when the settings change.
func (n *Node) reload(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-n.opt.Changed:
			}
			cfg, err := n.opt.Reload()
			if err != nil {
				n.Log.WithField("error", err.Error()).Error("settings not reloaded; those before stay in force")
				continue
			}
			n.Agent.SetPeers(peers(cfg))
			n.Log.WithField("seeds", cfg.Seeds).Info("settings reloaded")
		}
	}()
	return done
}

// Run runs the node until ctx ends, then drains and stops it.
func (n *Node) Run(ctx context.Context) error {
	n.Log.WithField("settings", n.cfg.String()).WithField("first", n.cfg.First).Info("start")
	err := n.Kernel.Run(ctx)
	n.Log.WithField("error", text(err)).Info("stop")
	if err != nil {
		return fmt.Errorf("host %s: %w", n.cfg.Host, err)
	}
	return nil
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
