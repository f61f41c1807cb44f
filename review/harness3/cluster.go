package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
	bound time.Duration
	// detail is set if each request is recorded.
	detail bool
	// breaks are the broken rules that were seen.
	breaks []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{w: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.w.Flush()
}

// request records one step of a request, if each is recorded.
func (r *recorder) request(format string, args ...any) {
	if r.detail {
		r.note(format, args...)
	}
}

func (r *recorder) broken(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", s)
	r.mu.Lock()
	r.breaks = append(r.breaks, s)
	r.mu.Unlock()
}

// afterLeaving records a request that reaches an instance after it has been acknowledged that it leaves.
func (r *recorder) afterLeaving(server, id string, since time.Duration) {
	if r.bound > 0 && since > r.bound {
		r.broken("DRAIN: request %s reaches %s %.3f s after the acknowledgment", id, server, since.Seconds())
	}
}

// host is one machine with one process.
type host struct {
	c        *cluster
	name, ip string
	role     string

	mu      sync.Mutex
	process *os.Process
	// down is set while the process is not to be started again.
	down bool
	dead chan struct{}
}

// cluster is the deployment under test.
type cluster struct {
	rec     *recorder
	dir     string
	binary  string
	prefix  string
	control []*host
	edge    []*host
	groups  map[string]*group
	cloud   *http.Server
	// promoteHook, if set, tells how late a promotion is carried out, and whether it is answered.
	promoteHook func(id string) (execute time.Duration, answer bool)
	version     int
	holdersMu   sync.Mutex
	holders     map[string]string
	// config makes the desired state.
	config func(version int) []byte
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// seeds are the addresses in the settings.
	nSeeds int
	extra  string
}

var zones = []string{"kingston", "spanish-town", "may-pen"}

func newCluster(rec *recorder, control, edge int) *cluster {
	dir, err := os.MkdirTemp("", "harness3-")
	if err != nil {
		fail(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	root := os.Getenv("ROOT")
	c := &cluster{rec: rec, dir: dir, binary: filepath.Join(root, "target/agatespindle-node"), groups: map[string]*group{}, ctx: ctx, cancel: cancel, nSeeds: 3}
	running.Store(c)
	c.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(180), 1+rand.IntN(250))
	for i := range control {
		c.control = append(c.control, &host{c: c, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s%d", c.prefix, 1+i), role: "control"})
	}
	for i := range edge {
		c.edge = append(c.edge, &host{c: c, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s%d", c.prefix, 50+i), role: "edge"})
	}
	return c
}

// running is the deployment that is to be ended whatever happens.
var running atomic.Pointer[cluster]

// fail ends all processes and exits: the case could not run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	if c := running.Load(); c != nil {
		c.shutdown()
	}
	os.Exit(2)
}

func (c *cluster) controlAddrs() []string {
	var list []string
	for _, h := range c.control {
		list = append(list, h.ip+":8782")
	}
	return list
}

func (c *cluster) all() []*host { return append(append([]*host{}, c.control...), c.edge...) }

func (h *host) settings(bootstrap bool) string {
	c := h.c
	n, _ := strconv.Atoi(h.ip[strings.LastIndex(h.ip, ".")+1:])
	zone := zones[n%len(zones)]
	var seeds []string
	for _, a := range c.controlAddrs()[:min(c.nSeeds, len(c.control))] {
		seeds = append(seeds, strconv.Quote(a))
	}
	class, listen, data := "edge", fmt.Sprintf("front = %q\nready = %q\n", h.ip+":8784", h.ip+":8785"), ""
	if h.role == "control" {
		class, listen = "core", fmt.Sprintf("control = %q\n", h.ip+":8782")
		data = fmt.Sprintf("data_dir = %q\n", filepath.Join(c.dir, h.name))
	}
	return fmt.Sprintf(`node = %q
role = %q
class = %q
serves = [%q]
ip = %q
zone = %q
region = "jm-south"
internal_port_range = [7440,7455]
seeds = [%s]
bootstrap = %v
loss_counts = %v
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
%s[zones]
kingston = "jm-south"
spanish-town = "jm-south"
may-pen = "jm-south"
[listen]
%s[limits]
cpu_share = 0.4
cpus = 1
memory_limit_mb = 284
max_fds = 4200
net_mbps = 1000.0
disk_mb = 128
[tolerate]
machines = %d
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
catchup_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
skew_max_ms = 12000
recovery_s = 12
strict_fencing = true
thaw_slack_ms = 300
[cloud]
addr = %q
rate_per_s = 50.0
duties = ["failover"]
duty_per_s = 50.0
%s`, h.name, class, class, h.role, h.ip, zone, strings.Join(seeds, ","), bootstrap, h.role == "control", data, listen, (len(c.control)-1)/2, c.prefix+"250:8783", c.extra)
}

func (h *host) file() string { return filepath.Join(h.c.dir, h.name+".toml") }

// launch starts the process and starts it again whenever it ends, like the platform.
func (h *host) launch() error {
	if err := os.WriteFile(h.file(), []byte(h.settings(true)), 0o600); err != nil {
		return err
	}
	if h.role == "control" {
		if err := os.MkdirAll(filepath.Join(h.c.dir, h.name), 0o700); err != nil {
			return err
		}
	}
	out, err := os.Create(filepath.Join(h.c.dir, h.name+".log"))
	if err != nil {
		return err
	}
	port := map[string]string{"control": "9103", "edge": "9102"}[h.role]
	h.c.wg.Add(1)
	go func() {
		defer h.c.wg.Done()
		defer out.Close()
		for h.c.ctx.Err() == nil {
			h.mu.Lock()
			down := h.down
			h.mu.Unlock()
			if down {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			cmd := exec.Command(h.c.binary, "run", "--metrics", port)
			cmd.Env = []string{"AGATESPINDLE_CONFIG=" + h.file(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
			cmd.Stdout, cmd.Stderr = out, out
			if err := cmd.Start(); err != nil {
				h.c.rec.note("host %s cannot start: %v", h.name, err)
				return
			}
			h.mu.Lock()
			h.process, h.dead = cmd.Process, make(chan struct{})
			dead := h.dead
			h.mu.Unlock()
			if h.c.ctx.Err() != nil {
				_ = cmd.Process.Kill()
			}
			err := cmd.Wait()
			close(dead)
			h.mu.Lock()
			h.process = nil
			h.mu.Unlock()
			if h.c.ctx.Err() == nil {
				h.c.rec.note("host %s ended: %v", h.name, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.c.rec.note("host %s gets %s", h.name, sig)
		_ = h.process.Signal(sig)
	}
}

// stop has the process killed and not started again until it is let up.
func (h *host) stop() {
	h.mu.Lock()
	h.down = true
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
}

func (h *host) up() {
	h.mu.Lock()
	h.down = false
	h.mu.Unlock()
}

// terminate sends SIGTERM, and SIGKILL after the grace time.
func (h *host) terminate() {
	h.mu.Lock()
	p, dead := h.process, h.dead
	h.mu.Unlock()
	if p == nil {
		return
	}
	h.signal(syscall.SIGTERM)
	select {
	case <-dead:
	case <-time.After(6 * time.Second):
		h.c.rec.note("host %s still runs at the end of the grace time", h.name)
		_ = p.Kill()
	}
}

// pid returns the ID of the process, or 0.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Pid
}

// run starts the cloud, all hosts, and the servers of the groups, and waits until a desired state is acknowledged.
func (c *cluster) run(servers func()) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		fence, err := strconv.ParseUint(r.Header.Get("X-Agatespindle-Fence-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || c.groups[body.Service] == nil {
			w.WriteHeader(400)
			return
		}
		c.rec.note("call promote %s of %s fence %d by %s", body.ID, body.Service, fence, r.Header.Get("X-Agatespindle-Duty-Holder"))
		c.judgeHolder(body.Service, fence, r.Header.Get("X-Agatespindle-Duty-Holder"))
		if c.promoteHook != nil {
			late, answer := c.promoteHook(body.ID)
			if !answer {
				time.AfterFunc(late, func() { c.groups[body.Service].promote(body.ID, fence) })
				<-r.Context().Done()
				return
			}
			time.Sleep(late)
		}
		w.WriteHeader(c.groups[body.Service].promote(body.ID, fence))
	})
	ln, err := net.Listen("tcp", c.prefix+"250:8783")
	if err != nil {
		return err
	}
	c.cloud = &http.Server{Handler: mux}
	go func() { _ = c.cloud.Serve(ln) }()
	for _, h := range c.all() {
		if err := h.launch(); err != nil {
			return err
		}
	}
	servers()
	for i := 0; ; i++ {
		if c.declare() {
			break
		}
		if i > 150 {
			return fmt.Errorf("no desired state was acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, h := range c.all() {
		if err := os.WriteFile(h.file(), []byte(h.settings(false)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// judgeHolder checks that no two holders use one fence token.
func (c *cluster) judgeHolder(service string, fence uint64, holder string) {
	c.holdersMu.Lock()
	defer c.holdersMu.Unlock()
	if c.holders == nil {
		c.holders = map[string]string{}
	}
	key := fmt.Sprintf("%s %d", service, fence)
	if before, ok := c.holders[key]; ok && before != holder {
		c.rec.broken("ONE: %s and %s promote %s with fence %d", before, holder, service, fence)
	}
	c.holders[key] = holder
}

// declare sends the next desired state to a control host, and to others until it is acknowledged.
func (c *cluster) declare() bool {
	c.version++
	body := c.config(c.version)
	for _, i := range rand.Perm(len(c.control)) {
		status, text := post(c.ctx, "http://"+c.control[i].ip+":8782/config/replace", body)
		if status == 200 {
			c.rec.note("version %d acknowledged by %s", c.version, c.control[i].name)
			return true
		}
		if status/100 == 4 {
			c.rec.note("version %d refused by %s: %d %s", c.version, c.control[i].name, status, text)
		}
	}
	return false
}

// shutdown ends all that was started.
func (c *cluster) shutdown() {
	c.cancel()
	for _, h := range c.all() {
		h.mu.Lock()
		h.down = true
		if h.process != nil {
			_ = h.process.Signal(syscall.SIGCONT)
			_ = h.process.Kill()
		}
		h.mu.Unlock()
	}
	c.wg.Wait()
	for _, g := range c.groups {
		g.mu.Lock()
		var list []*server
		for _, s := range g.servers {
			list = append(list, s)
		}
		g.mu.Unlock()
		for _, s := range list {
			s.crash()
		}
	}
	if c.cloud != nil {
		c.cloud.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// ready reports what a host says to the ready probe.
func (h *host) ready() bool {
	cl := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := cl.Get("http://" + h.ip + ":8785/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == 200
}

// waitReady waits until all entry hosts are ready.
func (c *cluster) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ok := true
		for _, h := range c.edge {
			ok = ok && h.ready()
		}
		if ok {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// from returns a filter for connections from the processes of some hosts.
func (c *cluster) from(hosts []*host) func(net.Addr) bool {
	return func(remote net.Addr) bool {
		inode := socketInode(remote.String())
		if inode == "" {
			return false
		}
		for _, h := range hosts {
			if pid := h.pid(); pid != 0 && holdsSocket(pid, inode) {
				return true
			}
		}
		return false
	}
}

// socketInode returns the inode of the socket with a local address.
func socketInode(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	ip := net.ParseIP(host).To4()
	p, _ := strconv.Atoi(port)
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], p)
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == want && f[9] != "0" {
			return f[9]
		}
	}
	return ""
}

func holdsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	list, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, e := range list {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && target == want {
			return true
		}
	}
	return false
}

// desired returns a desired state with the three kinds of routes on each service.
func desired(version, sync int, timeout, target int, services ...string) []byte {
	var routes, list []map[string]any
	for _, s := range services {
		route := func(host, kind string, stale int) map[string]any {
			m := map[string]any{"name": "r-" + host, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": timeout, "target_latency_ms": target, "prio": 1, "service": s, "max_attempts": 2}
			if stale > 0 {
				m["max_staleness_ms"] = stale
			}
			return m
		}
		routes = append(routes, route(s+"-p", "primary", 0), route(s+"-o", "read_your_writes", 2500), route(s+"-b", "bounded_staleness", 1500))
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 16, "protocol": "h1", "tls": false, "sync_replicas": sync})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	return b
}
