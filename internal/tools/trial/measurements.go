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

const (
	// slopePort is the first loopback port of the measurements. It lies below the ephemeral port range,
	// so that outgoing connections don't take a host's port.
	slopePort = 17000
	// slopeRenewInterval is the lease renewal interval of the simulated hosts.
	slopeRenewInterval = 300 * time.Millisecond
	// concurrentProposals is the number of batches that propose submits concurrently.
	concurrentProposals = 64
	// settleDelay is the wait before sampling until startup work has ended.
	settleDelay = 1500 * time.Millisecond
)

// measurements returns all measurements. The names are row labels of the results, so they don't change.
// "leader's look at all groups" is the leader's periodic reconciliation of all groups.
func measurements() []measurement {
	groups := []float64{500, 1000, 2000, 4000}
	hosts := []float64{100, 200, 400, 800}
	callers := []float64{500, 1000, 2000, 4000}
	return []measurement{
		{"control state", "B", "group", groups, stateBytes},
		{"snapshot", "B", "group", groups, snapshotBytes},
		{"host's copy", "B", "group", groups, resourceCopyBytes},
		{"taking in a change", "us", "group", groups, applyChangeMicros},
		{"leader's look at all groups", "% of a core", "group", groups, leaderCPUPercent},
		{"commands through the log, 64 at once", "ms", "command", groups, commandMillis},
		{"lease, both sides", "% of a core", "host", hosts, leaseCPUPercent},
		{"lease, sent and received", "B/s", "host", hosts, leaseBytesPerSecond},
		{"watch of an idle backend server", "B/s", "server", []float64{4, 8, 16, 32}, watchBytesPerSecond},
		{"idle caller", "B", "connection", callers, idleCallerBytes},
		{"statement, direct", "us", "statement", []float64{1000, 2000, 4000, 8000}, statementMicros(-1)},
		{"statement, through the holder", "us", "statement", []float64{1000, 2000, 4000, 8000}, statementMicros(1)},
		{"statement, through two hosts", "us", "statement", []float64{1000, 2000, 4000, 8000}, statementMicros(2)},
	}
}

// groupCommands returns the commands that create n open groups of three instances each.
func groupCommands(n int) []*wire.Command {
	var commands []*wire.Command
	for i := range n {
		name := fmt.Sprintf("database-%05d", i)
		commands = append(commands,
			&wire.Command{Body: &wire.Command_Put{Put: &wire.PutResource{Kind: string(spec.Groups), Name: name, Spec: []byte(`{"size":3,"acks":2,"slots":2,"connections":16}`)}}},
			&wire.Command{Body: &wire.Command_Seal{Seal: &wire.SealTerm{Group: name, Reason: "first"}}},
			&wire.Command{Body: &wire.Command_Choose{Choose: &wire.ChoosePrimary{Group: name, Term: 1, Primary: name + "-a", Disks: map[string]string{
				name + "-a": "ABCDEFGHIJKLMNOPQRSTUVWXYZ", name + "-b": "ABCDEFGHIJKLMNOPQRSTUVWXYZ", name + "-c": "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			}}}},
			&wire.Command{Body: &wire.Command_Open{Open: &wire.OpenTerm{Group: name, Term: 1, Primary: name + "-a"}}},
		)
		for _, in := range "abc" {
			server := fmt.Sprintf("%s-%c", name, in)
			commands = append(commands, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: server, Run: &wire.BackendState{
				Group: name, Addr: "10.200.100.50:5432", Center: "kingston", Instance: server + "-1764800000000000000",
			}}}})
		}
	}
	return commands
}

// populatedState returns a state with n groups.
func populatedState(n int) *state.State {
	s := state.New()
	for i, cmd := range groupCommands(n) {
		s.Apply(uint64(i+1), cmd)
	}
	return s
}

// stateBytes returns the heap use of a state with n groups, in bytes.
func stateBytes(_ context.Context, n int) (float64, error) {
	before := heapBytes()
	s := populatedState(n)
	used := heapBytes() - before
	runtime.KeepAlive(s)
	return used, nil
}

// snapshotBytes returns the size of a snapshot with n groups, in bytes.
func snapshotBytes(_ context.Context, n int) (float64, error) {
	return float64(len(populatedState(n).Snapshot())), nil
}

// resourceCopyBytes returns the memory use of a host's copy of n groups, in bytes. The view shares its
// resources with the list it is built from, so the size of a snapshot stands for their memory.
func resourceCopyBytes(_ context.Context, n int) (float64, error) {
	s, err := state.Restore(populatedState(n).Snapshot())
	if err != nil {
		return 0, err
	}
	list := s.List("")
	before := heapBytes()
	v := agent.NewView(1, list)
	used := heapBytes() - before
	runtime.KeepAlive(v)
	runtime.KeepAlive(list)
	return used + float64(len(s.Snapshot())), nil
}

// applyChangeMicros returns the time to apply one change to a host's copy of n groups, in
// microseconds.
func applyChangeMicros(_ context.Context, n int) (float64, error) {
	v := agent.NewView(1, populatedState(n).List(""))
	const rounds = 5
	start := time.Now()
	for i := range rounds {
		v = v.With(uint64(i+2), []*wire.Resource{{Kind: string(spec.Callers), Name: "x", Revision: uint64(i + 2)}})
	}
	return float64(time.Since(start).Microseconds()) / rounds, nil
}

// startSingleHost starts one host with the given roles as the only control host of its deployment. It
// returns the host and a function that stops it and removes its data.
func startSingleHost(ctx context.Context, port int, roles ...conf.Role) (*host.Host, func(), error) {
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

// propose submits commands to the quorum's log in batches of batchSize. Batches run concurrently, and
// the commands of a batch in order, so a batch must hold all commands of a group. It returns the last
// error after all batches have ended.
func propose(ctx context.Context, a *agent.Agent, commands []*wire.Command, batchSize int) error {
	var wg sync.WaitGroup
	var lastErr atomic.Pointer[error]
	batches := make(chan []*wire.Command)
	for range concurrentProposals {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for batch := range batches {
				for _, cmd := range batch {
					if _, err := a.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
						lastErr.Store(&err)
					}
				}
			}
		}()
	}
	for i := 0; i < len(commands); i += batchSize {
		batches <- commands[i:min(len(commands), i+batchSize)]
	}
	close(batches)
	wg.Wait()
	if err := lastErr.Load(); err != nil {
		return *err
	}
	return nil
}

// commandsPerGroup is the number of commands that groupCommands returns for each group.
const commandsPerGroup = 7

// leaderCPUPercent returns the CPU use of an idle leader with n groups, in percent of one core.
func leaderCPUPercent(ctx context.Context, n int) (float64, error) {
	h, stop, err := startSingleHost(ctx, slopePort, conf.RoleControl)
	if err != nil {
		return 0, err
	}
	defer stop()
	if err := propose(ctx, h.Agent, groupCommands(n), commandsPerGroup); err != nil {
		return 0, err
	}
	time.Sleep(settleDelay)
	return cpuPercent(ctx), nil
}

// commandMillis returns the time to commit n commands to a single host's log, including disk syncs, in
// milliseconds.
func commandMillis(ctx context.Context, n int) (float64, error) {
	h, stop, err := startSingleHost(ctx, slopePort, conf.RoleControl)
	if err != nil {
		return 0, err
	}
	defer stop()
	if err := propose(ctx, h.Agent, groupCommands(1), commandsPerGroup); err != nil {
		return 0, err
	}
	start := time.Now()
	err = propose(ctx, h.Agent, groupCommands(n/commandsPerGroup), commandsPerGroup)
	return float64(time.Since(start).Microseconds()) / 1000, err
}

// countingConn adds the bytes read and written to n.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// measureLeases runs n agents against one leader. It returns the CPU use of both sides in percent of
// one core, and the agents' traffic, sent and received, in bytes per second.
func measureLeases(ctx context.Context, n int) (percent, bytesPerSecond float64, err error) {
	h, stop, err := startSingleHost(ctx, slopePort, conf.RoleControl)
	if err != nil {
		return 0, 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	var total atomic.Int64
	var agentsDone []<-chan error
	defer func() {
		cancel()
		for _, done := range agentsDone {
			<-done
		}
	}()
	for i := range n {
		name := fmt.Sprintf("entry-%04d", i)
		a := &agent.Agent{
			Host: name, Registration: &wire.HostState{Link: "10.0.0.1:6490", Api: "10.0.0.1:6480", Center: "kingston", Instance: "a1b2c3d4e5f6"},
			Peers: h.Config.ControlPeers, RenewInterval: slopeRenewInterval, Log: logs.Discard(), Meter: meter.New(), Now: time.Now,
			Dialer: &link.Dialer{Host: name, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				var d net.Dialer
				raw, err := d.DialContext(ctx, "tcp", addr)
				return countingConn{raw, &total}, err
			}},
		}
		a.Prepare()
		agentsDone = append(agentsDone, a.Run(ctx))
	}
	time.Sleep(2 * settleDelay)
	before := total.Load()
	percent = cpuPercent(ctx)
	return percent, float64(total.Load()-before) / sampleDuration.Seconds(), nil
}

func leaseCPUPercent(ctx context.Context, n int) (float64, error) {
	percent, _, err := measureLeases(ctx, n)
	return percent, err
}

func leaseBytesPerSecond(ctx context.Context, n int) (float64, error) {
	_, bytes, err := measureLeases(ctx, n)
	return bytes, err
}

// watchBytesPerSecond returns the traffic of n watches of an idle backend server, in bytes per second. The
// watches share one server to stand for n servers with one watch each.
func watchBytesPerSecond(ctx context.Context, n int) (float64, error) {
	d, err := startDeployment(ctx, smallSite, slopePort+100, nil)
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
		return countingConn{raw, &total}, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	addr := d.servers[d.groupName(0)+"-a"].addr
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = adapt.PostgresWithDial(addr, "watcher", d.groupName(0), dial).Watch(ctx, func(adapt.Status) {})
		}()
	}
	time.Sleep(settleDelay)
	before := total.Load()
	time.Sleep(sampleDuration)
	return float64(total.Load()-before) / sampleDuration.Seconds(), nil
}

// idleCallerBytes returns the memory use of n idle caller connections in this process, in bytes.
func idleCallerBytes(ctx context.Context, n int) (float64, error) {
	d, err := startDeployment(ctx, smallSite, slopePort+100, nil)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "idle", "database": d.groupName(0)}}
	startup, err := m.Encode(nil)
	if err != nil {
		return 0, err
	}
	before := heapBytes()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	buf := make([]byte, 1024)
	for range n {
		c, err := net.Dial("tcp", d.hosts[0].Config.CallerAddr)
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
		if _, err := c.Write(startup); err != nil {
			return 0, err
		}
		if _, err := c.Read(buf); err != nil {
			return 0, err
		}
	}
	return heapBytes() - before, nil
}

// smallSite has no simulated latencies, for measurements of the proxy's own costs.
var smallSite = Site{
	Name: "small", Centers: []string{"kingston"}, Groups: 1, GroupSize: 3, MaxConnections: 16, Hosts: 5, ReplicationLags: []time.Duration{0},
}

// statementMicros returns a measurement of the CPU time of n statements in microseconds, summed over the
// caller, the proxy hosts and the backend server. hops is as in connectPath.
func statementMicros(hops int) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, n int) (float64, error) {
		d, err := startDeployment(ctx, smallSite, slopePort+100, nil)
		if err != nil {
			return 0, err
		}
		defer d.stop()
		conn, err := d.connectPath(ctx, hops)
		if err != nil {
			return 0, err
		}
		defer conn.Close(ctx)
		for range 200 {
			if _, err := conn.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
				return 0, err
			}
		}
		before := cpuTime()
		for range n {
			if _, err := conn.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
				return 0, err
			}
		}
		return float64((cpuTime() - before).Microseconds()), nil
	}
}

// StartStatementPath starts a small deployment without simulated latencies. It returns a function that
// runs one statement and one that stops the deployment. hops is the number of hosts that the statement
// passes: 1 (the group's holder) or 2 (a host that forwards to the holder), or -1 for a direct connection
// to a replica.
func StartStatementPath(ctx context.Context, hops int) (run func() error, stop func(), err error) {
	d, err := startDeployment(ctx, smallSite, slopePort+100, nil)
	if err != nil {
		return nil, nil, err
	}
	conn, err := d.connectPath(ctx, hops)
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

// connectPath opens a connection through the given number of hosts: 1 connects to the group's holder, 2
// to a host that forwards to the holder, and a negative number directly to a replica.
func (d *deployment) connectPath(ctx context.Context, hops int) (*pgconn.PgConn, error) {
	group := d.groupState()
	if hops < 0 {
		for name, s := range d.servers {
			if name != group.Primary {
				return pgconn.Connect(ctx, fmt.Sprintf("postgres://x@%s/%s?sslmode=disable", s.addr, d.groupName(0)))
			}
		}
	}
	for _, h := range d.hosts {
		if (h.Config.Host == group.Holder) == (hops == 1) {
			return pgconn.Connect(ctx, fmt.Sprintf("postgres://x@%s/%s?sslmode=disable", h.Config.CallerAddr, d.groupName(0)))
		}
	}
	return nil, fmt.Errorf("no host for a path with %d hops", hops)
}
