// Package host assembles and runs one host: the services of its roles, configured by its settings.
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

const (
	// handOverReserve is the part of a drain that is kept for handing over groups, after the callers'
	// connections have been closed: open transactions may continue for 2 s.
	handOverReserve = 3 * time.Second
	// handOverReserveDivisor bounds handOverReserve in short drains.
	handOverReserveDivisor = 4
)

// ProxyUser is the user name with which the proxy connects to backend servers.
const ProxyUser = "agatespindle"

// Options configure a host.
type Options struct {
	// Config is the settings of the host.
	Config conf.Config
	// Log receives the log lines.
	Log io.Writer
	// Dial opens connections to other hosts; nil uses TCP. Tests replace it.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Server returns the adapter for the backend server at addr and the database group; nil uses
	// PostgreSQL. Tests replace it.
	Server func(addr, group string) adapt.Server
	// Routing, if set, replaces the default routing options. Measurements use it.
	Routing *route.Options
	// Ready is called once all services run. Optional.
	Ready func()
}

// Host is one host. The exported fields give tests and the dev command access to its services.
type Host struct {
	// Config is the settings that the host was built from.
	Config conf.Config
	// Kernel starts, drains and stops the services.
	Kernel *kernel.Kernel
	// Agent keeps the host's lease and its view of the control state.
	Agent *agent.Agent
	// Holder runs the groups that this host holds; nil without the entry role.
	Holder *holder.Holder
	// Entry accepts callers; nil without the entry role.
	Entry *entry.Server
	// Meter holds the host's metrics.
	Meter *meter.Meter
	// Log writes the host's log lines.
	Log *logs.Logger

	opt     Options
	dialer  *link.Dialer
	links   *link.Server
	control *control
}

// New assembles a host. It opens the listeners and, on a control host, the store; it starts no
// service. It returns an error if one of them cannot be opened or the operators' token is unusable.
func New(opt Options) (*Host, error) {
	cfg := opt.Config
	h := &Host{Config: cfg, opt: opt, Meter: meter.New(), dialer: &link.Dialer{Host: cfg.Host, Dial: opt.Dial}}
	h.Log = logs.New(logs.Options{Out: opt.Log, Host: cfg.Host, Roles: roleNames(cfg), Level: cfg.LogLevel})
	h.dialer.OnSilent = link.ReportSilent(h.Log, h.Meter)
	h.Kernel = &kernel.Kernel{DrainLimit: cfg.DrainTimeout.Std(), Ready: opt.Ready, Ended: h.Log.ServiceEnded}
	if opt.Server == nil {
		h.opt.Server = func(addr, group string) adapt.Server { return adapt.Postgres(addr, ProxyUser, group) }
	}
	if err := h.build(); err != nil {
		return nil, oops.In("host").With("host", cfg.Host).Wrap(err)
	}
	return h, nil
}

// roleNames returns the names of the configured roles.
func roleNames(cfg conf.Config) []string {
	names := make([]string, len(cfg.Roles))
	for i, r := range cfg.Roles {
		names[i] = string(r)
	}
	return names
}

// build opens the listeners, creates the services and registers them with the kernel.
func (h *Host) build() error {
	incarnation := make([]byte, 6)
	if _, err := rand.Read(incarnation); err != nil {
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
	h.buildAgent(hex.EncodeToString(incarnation))
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

// buildAgent creates the agent. incarnation is a random ID that changes at each start of the process.
func (h *Host) buildAgent(incarnation string) {
	cfg := h.Config
	h.Agent = &agent.Agent{
		Host: cfg.Host, Peers: cfg.ControlPeers, RenewInterval: cfg.RenewInterval.Std(), Dialer: h.dialer, Log: h.Log, Meter: h.Meter, Now: time.Now,
		Registration: &wire.HostState{Link: cfg.LinkAddr, Api: cfg.APIAddr, Center: cfg.DataCentre, Instance: incarnation, Roles: roleNames(cfg)},
	}
	h.Agent.Prepare()
}

// buildEntry creates the services of the entry role.
func (h *Host) buildEntry() {
	cfg := h.Config
	h.Holder = &holder.Holder{
		Host: cfg.Host, Center: cfg.DataCentre, Agent: h.Agent, NewAdapter: h.opt.Server, FailureTimeout: cfg.PrimaryTimeout.Std(),
		Routing: route.DefaultOptions(), Log: h.Log, Meter: h.Meter, Now: time.Now,
	}
	if h.opt.Routing != nil {
		h.Holder.Routing = *h.opt.Routing
	}
	h.Holder.Prepare()
	h.Agent.PrimaryHealth = h.Holder.FailedPrimaries
	h.Agent.Released = h.Holder.Released
	h.links.Handlers[holder.Service] = h.Holder.Serve
	h.Entry = &entry.Server{
		Addr: cfg.CallerAddr, Host: cfg.Host, Agent: h.Agent, Holder: h.Holder, Dialer: h.dialer,
		Timeout: cfg.StatementTimeout.Std(), Log: h.Log, Meter: h.Meter, Now: time.Now,
	}
}

// register registers the services with the kernel, in start order. token is the operators' token,
// or "" for an open API.
func (h *Host) register(api net.Listener, token string) {
	k := h.Kernel
	k.Register(kernel.Service{Name: ServiceLink, Value: h.links, Start: h.startLink})
	if h.control != nil {
		k.Register(kernel.Service{Name: ServiceControl, Value: h.control, Start: h.control.start, Drain: h.control.leaveQuorum})
	}
	k.Register(kernel.Service{Name: ServiceAgent, Value: h.Agent, Start: startFunc(h.Agent.Run), Drain: h.leave})
	if h.Holder != nil {
		k.Register(kernel.Service{Name: ServiceHolder, Value: h.Holder, Start: startFunc(h.Holder.Run), Drain: h.handOverGroups})
	}
	srv := &rest.Server{
		Listener: api, Agent: h.Agent, Log: h.Log, Meter: h.Meter, Token: token, Now: time.Now, Ready: h.ready,
	}
	k.Register(kernel.Service{Name: ServiceAPI, Value: srv, Start: startFunc(srv.Run)})
	if h.Entry != nil {
		k.Register(kernel.Service{Name: ServiceEntry, Value: h.Entry, Start: h.Entry.Run, Drain: h.drainCallers})
	}
}

// startFunc adapts a Run method that cannot fail to start to kernel.Service.Start.
func startFunc(run func(context.Context) <-chan error) func(context.Context) (<-chan error, error) {
	return func(ctx context.Context) (<-chan error, error) { return run(ctx), nil }
}

// startLink accepts connections from other hosts; outgoing ones are closed when ctx ends.
func (h *Host) startLink(ctx context.Context) (<-chan error, error) {
	context.AfterFunc(ctx, h.dialer.Close)
	return h.links.Run(ctx), nil
}

// readToken reads the operators' token from the file at path; an empty path means no token. A file
// without a token is an error: the API must not be open by mistake.
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
		return "", fmt.Errorf("operators' token file %s is empty; write a token to it or remove the setting", path)
	}
	return token, nil
}

// ready reports whether callers may be sent to this host: its lease is valid and it is not draining.
func (h *Host) ready(now time.Time) bool {
	draining := h.Agent.Draining() || h.Entry != nil && h.Entry.Draining()
	return h.Agent.LeaseValid(now) && !draining
}

// drainCallers drains the entry server. It keeps a part of the time for handing over the groups.
func (h *Host) drainCallers(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left-min(handOverReserve, left/handOverReserveDivisor))
		defer cancel()
	}
	h.Entry.Drain(ctx)
}

// handOverGroups waits until other entry hosts have taken over the groups that this host holds, unless
// there is no such host or the lease expires, and until the requests that other hosts have forwarded
// here have been answered. It returns early if ctx ends.
func (h *Host) handOverGroups(ctx context.Context) {
	h.Agent.Drain()
	for ctx.Err() == nil && (h.Holder.Forwarded() > 0 || !h.handedOver(time.Now())) {
		clock.Sleep(ctx, 20*time.Millisecond)
	}
}

// handedOver reports whether other hosts have taken over the groups that this host holds, or cannot.
func (h *Host) handedOver(now time.Time) bool {
	return !h.hasOtherEntryHosts() || !h.Agent.LeaseValid(now) || h.Holder.Idle() && h.groupsReleased()
}

// groupsReleased reports whether no group lists this host as its current or a previous holder.
func (h *Host) groupsReleased() bool {
	for _, r := range h.Agent.View().List(spec.Groups) {
		if r.Group.GetHolder() == h.Config.Host || slices.Contains(r.Group.GetPrior(), h.Config.Host) {
			return false
		}
	}
	return true
}

// hasOtherEntryHosts reports whether another entry host that is not draining can take over groups.
func (h *Host) hasOtherEntryHosts() bool {
	for _, r := range h.Agent.View().List(spec.Hosts) {
		state := r.Host
		if r.Name != h.Config.Host && state != nil && !state.Draining && slices.Contains(state.Roles, string(conf.RoleEntry)) {
			return true
		}
	}
	return false
}

// leave removes this host from control's list of hosts, so that no failover waits for its lease to
// expire.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	h.Agent.Leave(ctx)
}

// Run runs the host until ctx ends or a service fails, then drains and stops it. It returns the
// first error of a service.
func (h *Host) Run(ctx context.Context) error {
	h.Log.WithField("link", h.Config.LinkAddr).WithField("api", h.Config.APIAddr).WithField("callers", h.Config.CallerAddr).Info("start")
	context.AfterFunc(ctx, func() { h.Log.Info("shutdown requested; draining") })
	err := h.Kernel.Run(ctx)
	h.Log.Stopped(err)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.Config.Host, err)
	}
	return nil
}
