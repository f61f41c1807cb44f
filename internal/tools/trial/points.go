package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
	"github.com/agatespindle/agatespindle/internal/tools/host"
)

// Ports of the measurements, below those of outgoing connections.
const (
	slopePort   = 17000
	slopeRenew  = 300 * time.Millisecond
	putsAtOnce  = 64
	settlePause = 1500 * time.Millisecond
)

func measurements() []measurement {
	groups := []float64{500, 1000, 2000, 4000}
	hosts := []float64{100, 200, 400, 800}
	callers := []float64{500, 1000, 2000, 4000}
	return []measurement{
		{"control state", "B", "group", groups, stateBytes},
		{"snapshot", "B", "group", groups, snapshotBytes},
		{"host's copy", "B", "group", groups, viewBytes},
		{"taking in a change", "us", "group", groups, changeMicros},
		{"leader's look at all groups", "% of a core", "group", groups, leaderLoad},
		{"commands through the log, 64 at once", "ms", "command", groups, commandMillis},
		{"lease, both sides", "% of a core", "host", hosts, leaseLoad},
		{"lease, sent and received", "B/s", "host", hosts, leaseBytes},
		{"watch of an idle backend server", "B/s", "server", []float64{4, 8, 16, 32}, watchBytes},
		{"idle caller", "B", "connection", callers, callerBytes},
		{"statement, direct", "us", "statement", []float64{1000, 2000, 4000, 8000}, statementMicros(-1)},
		{"statement, through the holder", "us", "statement", []float64{1000, 2000, 4000, 8000}, statementMicros(1)},
		{"statement, through two hosts", "us", "statement", []float64{1000, 2000, 4000, 8000}, statementMicros(2)},
	}
}

// resources returns what n groups of three instances leave in the state.
func resources(n int) []*wire.Command {
	var list []*wire.Command
	for i := range n {
		name := fmt.Sprintf("database-%05d", i)
		list = append(list,
			&wire.Command{Body: &wire.Command_Put{Put: &wire.PutResource{Kind: string(spec.Groups), Name: name, Spec: []byte(`{"size":3,"acks":2,"slots":2,"connections":16}`)}}},
			&wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{Group: name, Reason: "first"}}},
			&wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{Group: name, Term: 1, Primary: name + "-a", Disks: map[string]string{
				name + "-a": "ABCDEFGHIJKLMNOPQRSTUVWXYZ", name + "-b": "ABCDEFGHIJKLMNOPQRSTUVWXYZ", name + "-c": "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			}}}},
			&wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{Group: name, Term: 1, Primary: name + "-a"}}},
		)
		for _, in := range "abc" {
			server := fmt.Sprintf("%s-%c", name, in)
			list = append(list, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: server, Run: &wire.BackendState{
				Group: name, Addr: "10.200.100.50:5432", Center: "kingston", Instance: server + "-1764800000000000000",
			}}}})
		}
	}
	return list
}

func filled(n int) *state.State {
	s := state.New()
	for i, cmd := range resources(n) {
		s.Apply(uint64(i+1), cmd)
	}
	return s
}

func stateBytes(_ context.Context, n int) (float64, error) {
	before := heap()
	s := filled(n)
	used := heap() - before
	runtime.KeepAlive(s)
	return used, nil
}

func snapshotBytes(_ context.Context, n int) (float64, error) {
	return float64(len(filled(n).Snapshot())), nil
}

func viewBytes(_ context.Context, n int) (float64, error) {
	s, err := state.Restore(filled(n).Snapshot())
	if err != nil {
		return 0, err
	}
	list := s.List("")
	before := heap()
	v := agent.NewView(1, list)
	used := heap() - before
	runtime.KeepAlive(v)
	runtime.KeepAlive(list)
	return used + float64(len(s.Snapshot())), nil
}

func changeMicros(_ context.Context, n int) (float64, error) {
	v := agent.NewView(1, filled(n).List(""))
	const rounds = 5
	at := time.Now()
	for i := range rounds {
		v = v.With(uint64(i+2), []*wire.Resource{{Kind: string(spec.Callers), Name: "x", Revision: uint64(i + 2)}})
	}
	return float64(time.Since(at).Microseconds()) / rounds, nil
}

// lone starts one host with the given roles and returns it with its end.
func lone(ctx context.Context, port int, roles ...conf.Role) (*host.Host, func(), error) {
	dir, err := os.MkdirTemp("", "agatespindle-slope-")
	if err != nil {
		return nil, nil, err
	}
	cfg := conf.Default()
	cfg.Host, cfg.DataCentre, cfg.Roles, cfg.DataDir = "host-1", "kingston", roles, filepath.Join(dir, "host-1")
	cfg.LinkAddr, cfg.APIAddr = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	cfg.CallerAddr = fmt.Sprintf("127.0.0.1:%d", port+2)
	cfg.ControlPeers = []conf.Peer{{Host: cfg.Host, LinkAddr: cfg.LinkAddr}}
	cfg.DrainTimeout = conf.Duration(200 * time.Millisecond)
	h, err := host.New(host.Options{Config: cfg, Log: io.Discard})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	return h, func() {
		cancel()
		<-done
		os.RemoveAll(dir)
	}, nil
}

// propose puts commands into the log of a host's quorum, many at once but in their order for
// each group.
func propose(ctx context.Context, a *agent.Agent, list []*wire.Command, each int) error {
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	next := make(chan []*wire.Command)
	for range putsAtOnce {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for part := range next {
				for _, cmd := range part {
					if _, err := a.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
						failed.Store(&err)
					}
				}
			}
		}()
	}
	for i := 0; i < len(list); i += each {
		next <- list[i:min(len(list), i+each)]
	}
	close(next)
	wg.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

const commandsPerGroup = 7

func leaderLoad(ctx context.Context, n int) (float64, error) {
	h, stop, err := lone(ctx, slopePort, conf.RoleControl)
	if err != nil {
		return 0, err
	}
	defer stop()
	if err := propose(ctx, h.Agent, resources(n), commandsPerGroup); err != nil {
		return 0, err
	}
	time.Sleep(settlePause)
	return load(ctx), nil
}

// commandMillis returns the time of n commands through one host's log, synced to disk.
func commandMillis(ctx context.Context, n int) (float64, error) {
	h, stop, err := lone(ctx, slopePort, conf.RoleControl)
	if err != nil {
		return 0, err
	}
	defer stop()
	if err := propose(ctx, h.Agent, resources(1), commandsPerGroup); err != nil {
		return 0, err
	}
	at := time.Now()
	err = propose(ctx, h.Agent, resources(n/commandsPerGroup), commandsPerGroup)
	return float64(time.Since(at).Microseconds()) / 1000, err
}

// counted counts the bytes of a connection both ways.
type counted struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// leases runs n agents against one leader and returns the load and the bytes a second.
func leases(ctx context.Context, n int) (percent, bytes float64, err error) {
	h, stop, err := lone(ctx, slopePort, conf.RoleControl)
	if err != nil {
		return 0, 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	var total atomic.Int64
	var ends []<-chan error
	defer func() {
		cancel()
		for _, done := range ends {
			<-done
		}
	}()
	for i := range n {
		name := fmt.Sprintf("entry-%04d", i)
		a := &agent.Agent{
			Host: name, Record: &wire.HostState{Link: "10.0.0.1:6490", Api: "10.0.0.1:6480", Center: "kingston", Instance: "a1b2c3d4e5f6"},
			Peers: h.Config.ControlPeers, RenewInterval: slopeRenew, Log: logs.Discard(), Meter: meter.New(), Now: time.Now,
			Dialer: &link.Dialer{Host: name, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				var d net.Dialer
				raw, err := d.DialContext(ctx, "tcp", addr)
				return counted{raw, &total}, err
			}},
		}
		a.Prepare()
		ends = append(ends, a.Run(ctx))
	}
	time.Sleep(2 * settlePause)
	before := total.Load()
	percent = load(ctx)
	return percent, float64(total.Load()-before) / span.Seconds(), nil
}

func leaseLoad(ctx context.Context, n int) (float64, error) {
	percent, _, err := leases(ctx, n)
	return percent, err
}

func leaseBytes(ctx context.Context, n int) (float64, error) {
	_, bytes, err := leases(ctx, n)
	return bytes, err
}

// watchBytes watches one idle backend server n times, as n servers are watched once.
func watchBytes(ctx context.Context, n int) (float64, error) {
	d, err := start(ctx, small, slopePort+100, nil)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var total atomic.Int64
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var nd net.Dialer
		raw, err := nd.DialContext(ctx, "tcp", addr)
		return counted{raw, &total}, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	addr := d.servers[d.group(0)+"-a"].addr
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = adapt.PostgresWithDial(addr, "watcher", d.group(0), dial).Watch(ctx, func(adapt.Status) {})
		}()
	}
	time.Sleep(settlePause)
	before := total.Load()
	time.Sleep(span)
	return float64(total.Load()-before) / span.Seconds(), nil
}

func callerBytes(ctx context.Context, n int) (float64, error) {
	d, err := start(ctx, small, slopePort+100, nil)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "idle", "database": d.group(0)}}
	hello, err := m.Encode(nil)
	if err != nil {
		return 0, err
	}
	before := heap()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	answer := make([]byte, 1024)
	for range n {
		c, err := net.Dial("tcp", d.hosts[0].Config.CallerAddr)
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
		if _, err := c.Write(hello); err != nil {
			return 0, err
		}
		if _, err := c.Read(answer); err != nil {
			return 0, err
		}
	}
	return heap() - before, nil
}

// small is a site without latencies, for costs.
var small = Site{
	Name: "small", Centers: []string{"kingston"}, Groups: 1, Size: 3, Connections: 16, Hosts: 5, Lags: []time.Duration{0},
}

// statementMicros returns the processor time of statements by all processes of the path: the
// caller, the proxy and the stand-in. through is the number of hosts on the way.
func statementMicros(through int) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, n int) (float64, error) {
		d, err := start(ctx, small, slopePort+100, nil)
		if err != nil {
			return 0, err
		}
		defer d.stop()
		conn, err := d.path(ctx, through)
		if err != nil {
			return 0, err
		}
		defer conn.Close(ctx)
		for range 200 {
			if _, err := conn.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
				return 0, err
			}
		}
		before := processor()
		for range n {
			if _, err := conn.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
				return 0, err
			}
		}
		return float64((processor() - before).Microseconds()), nil
	}
}

// Statement returns a function that runs one statement on a path through a number of hosts,
// and one that ends it. The deployment is small and has no latencies.
func Statement(ctx context.Context, through int) (run func() error, stop func(), err error) {
	d, err := start(ctx, small, slopePort+100, nil)
	if err != nil {
		return nil, nil, err
	}
	conn, err := d.path(ctx, through)
	if err != nil {
		d.stop()
		return nil, nil, err
	}
	run = func() error {
		_, err := conn.Exec(ctx, "SELECT 1").ReadAll()
		return err
	}
	return run, func() { conn.Close(ctx); d.stop() }, nil
}

// path opens a connection that goes straight to a replica, to the group's holder, or to
// another host that forwards to it.
func (d *deployment) path(ctx context.Context, through int) (*pgconn.PgConn, error) {
	run := d.run()
	if through < 0 {
		for name, s := range d.servers {
			if name != run.Primary {
				return pgconn.Connect(ctx, fmt.Sprintf("postgres://x@%s/%s?sslmode=disable", s.addr, d.group(0)))
			}
		}
	}
	for _, h := range d.hosts {
		if (h.Config.Host == run.Holder) == (through == 1) {
			return pgconn.Connect(ctx, fmt.Sprintf("postgres://x@%s/%s?sslmode=disable", h.Config.CallerAddr, d.group(0)))
		}
	}
	return nil, fmt.Errorf("no host on a path through %d", through)
}
