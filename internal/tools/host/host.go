// Package host provides one running host: the services of its roles, put together from its
// settings.
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/kernel"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/rest"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/entry"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
)

// Names of the services in the kernel.
const (
	ServiceLink    = "link"
	ServiceControl = "control"
	ServiceAgent   = "agent"
	ServiceHolder  = "holder"
	ServiceEntry   = "entry"
	ServiceAPI     = "api"
)

// ProxyUser is the user name with which the proxy connects to backend servers.
const ProxyUser = "agatespindle"

// Options are what a host is made of.
type Options struct {
	Config conf.Config
	// Log receives the log lines.
	Log io.Writer
	// Dial, where set, opens connections to other hosts; it is a seam for tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Server, where set, returns the adapter for a backend server; it is a seam for tests.
	Server func(addr, group string) adapt.Server
	// Routes, where set, are the limits of routing; it is a seam for measurements.
	Routes *route.Options
	// Ready, where set, is called once all services run.
	Ready func()
}

// Host is one host. Its fields are its services, for tests and for the command dev.
type Host struct {
	Config conf.Config
	Kernel *kernel.Kernel
	Agent  *agent.Agent
	Holder *holder.Holder
	Entry  *entry.Server
	Meter  *meter.Meter
	Log    *logs.Logger

	opt     Options
	dialer  *link.Dialer
	links   *link.Server
	control *control
}

// New puts a host together. It opens the listeners and the store, and starts nothing.
func New(opt Options) (*Host, error) {
	cfg := opt.Config
	h := &Host{Config: cfg, opt: opt, Meter: meter.New(), dialer: &link.Dialer{Host: cfg.Host, Dial: opt.Dial}}
	h.Log = logs.New(logs.Options{Out: opt.Log, Host: cfg.Host, Roles: roleNames(cfg), Level: cfg.LogLevel})
	h.Kernel = &kernel.Kernel{DrainLimit: cfg.DrainTimeout.Std(), Ready: opt.Ready}
	if opt.Server == nil {
		h.opt.Server = func(addr, group string) adapt.Server { return adapt.Postgres(addr, ProxyUser, group) }
	}
	if err := h.build(); err != nil {
		return nil, oops.In("host").With("host", cfg.Host).Wrap(err)
	}
	return h, nil
}

func roleNames(cfg conf.Config) []string {
	names := make([]string, len(cfg.Roles))
	for i, r := range cfg.Roles {
		names[i] = string(r)
	}
	return names
}

func (h *Host) build() error {
	instance := make([]byte, 6)
	if _, err := rand.Read(instance); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", h.Config.LinkAddr)
	if err != nil {
		return err
	}
	api, err := net.Listen("tcp", h.Config.APIAddr)
	if err != nil {
		ln.Close()
		return err
	}
	h.links = &link.Server{Listener: ln, Handlers: map[string]link.Handler{}}
	if h.Config.HasRole(conf.RoleControl) {
		if err := h.buildControl(); err != nil {
			ln.Close()
			api.Close()
			return err
		}
	}
	h.buildAgent(hex.EncodeToString(instance))
	if h.Config.HasRole(conf.RoleEntry) {
		h.buildEntry()
	}
	token, err := readToken(h.Config.TokenFile)
	if err != nil {
		ln.Close()
		api.Close()
		return err
	}
	h.register(api, token)
	return nil
}

func (h *Host) buildAgent(instance string) {
	cfg := h.Config
	h.Agent = &agent.Agent{
		Host: cfg.Host, Peers: cfg.ControlPeers, RenewInterval: cfg.RenewInterval.Std(), Dialer: h.dialer, Log: h.Log, Meter: h.Meter, Now: time.Now,
		Record: &wire.HostState{Link: cfg.LinkAddr, Api: cfg.APIAddr, Center: cfg.DataCentre, Instance: instance, Roles: roleNames(cfg)},
	}
	h.Agent.Prepare()
}

func (h *Host) buildEntry() {
	cfg := h.Config
	h.Holder = &holder.Holder{
		Host: cfg.Host, Center: cfg.DataCentre, Agent: h.Agent, Server: h.opt.Server, Silence: cfg.PrimaryTimeout.Std(),
		Routes: route.DefaultOptions(), Log: h.Log, Meter: h.Meter, Now: time.Now,
	}
	if h.opt.Routes != nil {
		h.Holder.Routes = *h.opt.Routes
	}
	h.Holder.Prepare()
	h.Agent.PrimaryHealth = h.Holder.Suspects
	h.Agent.Released = h.Holder.Released
	h.links.Handlers[holder.Service] = h.Holder.Serve
	h.Entry = &entry.Server{
		Addr: cfg.CallerAddr, Host: cfg.Host, Agent: h.Agent, Holder: h.Holder, Dialer: h.dialer,
		Timeout: cfg.StatementTimeout.Std(), Log: h.Log, Meter: h.Meter, Now: time.Now,
	}
}

// register hands the services to the kernel, in the order in which they start.
func (h *Host) register(api net.Listener, token string) {
	k := h.Kernel
	k.Register(kernel.Service{Name: ServiceLink, Value: h.links, Start: h.startLink})
	if h.control != nil {
		k.Register(kernel.Service{Name: ServiceControl, Value: h.control, Start: h.control.start, Drain: h.control.drain})
	}
	k.Register(kernel.Service{Name: ServiceAgent, Value: h.Agent, Start: running(h.Agent.Run), Drain: h.leave})
	if h.Holder != nil {
		k.Register(kernel.Service{Name: ServiceHolder, Value: h.Holder, Start: running(h.Holder.Run), Drain: h.handOver})
	}
	srv := &rest.Server{
		Listener: api, Agent: h.Agent, Log: h.Log, Meter: h.Meter, Token: token, Now: time.Now, Ready: h.ready,
	}
	k.Register(kernel.Service{Name: ServiceAPI, Value: srv, Start: running(srv.Run)})
	if h.Entry != nil {
		k.Register(kernel.Service{Name: ServiceEntry, Value: h.Entry, Start: h.Entry.Run, Drain: h.Entry.Drain})
	}
}

// running adapts a Run method that cannot fail at its start.
func running(run func(context.Context) <-chan error) func(context.Context) (<-chan error, error) {
	return func(ctx context.Context) (<-chan error, error) { return run(ctx), nil }
}

func (h *Host) startLink(ctx context.Context) (<-chan error, error) {
	context.AfterFunc(ctx, h.dialer.Close)
	return h.links.Run(ctx), nil
}

// readToken reads the operators' token. A file that is named but holds none is an error: the
// API must not be open by mistake.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read operators' token: %w", err)
	}
	token := strings.TrimSpace(string(b))
	if token == "" {
		return "", fmt.Errorf("file %s holds no token; write one or remove the setting", path)
	}
	return token, nil
}

// ready reports whether the host may get callers: it holds a lease, and groups have primaries.
func (h *Host) ready(now time.Time) bool { return h.Agent.LeaseValid(now) && !h.Agent.Draining() }

// handOver lets other hosts take the groups that this host holds, where there are any.
func (h *Host) handOver(ctx context.Context) {
	h.Agent.Drain()
	for ctx.Err() == nil && h.others() && h.Agent.LeaseValid(time.Now()) {
		if h.Holder.Idle() && h.released() {
			return
		}
		clock.Sleep(ctx, 20*time.Millisecond)
	}
}

// released reports whether no group lists this host as its holder or a former one.
func (h *Host) released() bool {
	for _, r := range h.Agent.View().List(spec.Groups) {
		if r.Group.GetHolder() == h.Config.Host || slices.Contains(r.Group.GetPrior(), h.Config.Host) {
			return false
		}
	}
	return true
}

// others reports whether another entry host could hold groups.
func (h *Host) others() bool {
	for _, r := range h.Agent.View().List(spec.Hosts) {
		run := r.Host
		if r.Name != h.Config.Host && run != nil && !run.Draining && slices.Contains(run.Roles, string(conf.RoleEntry)) {
			return true
		}
	}
	return false
}

// leave takes this host out of control's list, so that nobody waits for its lease.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	h.Agent.Leave(ctx)
}

// Run runs the host until ctx ends, then drains and stops it.
func (h *Host) Run(ctx context.Context) error {
	err := h.Kernel.Run(ctx)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.Config.Host, err)
	}
	return nil
}
