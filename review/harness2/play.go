package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the hosts, and of what stands in for the platform and the instances.
const (
	portControl  = 8782
	portCloud    = 8783
	portFront    = 8784
	portReady    = 8785
	portInstance = 8080
	portLink     = 7440
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	restartDelay      = 500 * time.Millisecond
	graceSeconds      = 6
	drainBound        = 7 * time.Second
	addrReuse         = 2 * time.Second
	coreMemoryMB      = 280
	edgeMemoryMB      = 284
)

// play is one run of a case: the hosts, the platform and the record.
type play struct {
	program string
	trouble bool
	dir     string
	prefix  string
	started time.Time

	mu     sync.Mutex
	out    *os.File
	closed bool
	hosts  []*host
	db     *database
	cloud  *http.Server
	seq    int
}

func newPlay(program, record string, trouble bool) (*play, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("host program: %w", err)
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "harness2-")
	if err != nil {
		return nil, err
	}
	p := &play{program: program, trouble: trouble, dir: dir, started: time.Now(), out: out}
	p.prefix, err = freePrefix()
	return p, err
}

// freePrefix returns the first three numbers of loopback addresses on which nothing listens.
func freePrefix() (string, error) {
	pid := os.Getpid()
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 40+(pid+i)%150, 1+(pid/150+i)%250)
		ln, err := net.Listen("tcp", prefix+"1:"+strconv.Itoa(portControl))
		if err == nil {
			ln.Close()
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// record writes a line to the record, with the time since the start.
func (p *play) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%8.3f  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// nextID returns a new id of a request.
func (p *play) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return fmt.Sprintf("q%08x", p.seq)
}

// close ends all processes and listeners, and removes the temporary folder.
func (p *play) close() {
	p.mu.Lock()
	p.closed = true
	hosts := p.hosts
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.end()
		}()
	}
	wg.Wait()
	if p.cloud != nil {
		p.cloud.Close()
	}
	if p.db != nil {
		p.db.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(p.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", p.dir)
	}
}

func (p *play) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// host is a machine with one of the project's processes, which is started again whenever it ends.
type host struct {
	play     *play
	name     string
	role     string
	ip       string
	memoryMB int
	settings string

	mu      sync.Mutex
	process *os.Process
	stopped bool
	done    chan struct{}
	// ends counts the ends of the process that the play did not ask for; peak is its largest memory, in MiB.
	ends, peak int
}

// settingsFormat is the settings file of a host, as the platform writes it.
const settingsFormat = `node = %q
role = %q
class = %q
serves = [%q]
ip = %q
zone = "kingston"
region = "jm-south"
internal_port_range = [7440,7455]
seeds = [%s]
bootstrap = true
loss_counts = %t
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
%s
[zones]
kingston = "jm-south"
[listen]
%s
[limits]
cpu_share = 0.96
cpus = 1
memory_limit_mb = %d
max_fds = 4096
net_mbps = 1000.0
disk_mb = 128
[tolerate]
machines = 1
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
`

// startHosts starts control hosts and entry hosts.
func (p *play) startHosts(controls, edges int) error {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, strconv.Quote(addr(p.controlIP(i), portControl)))
	}
	cloud := addr(p.prefix+"200", portCloud)
	for i := range controls {
		h := &host{play: p, name: fmt.Sprintf("core-kingston-%d", i+1), role: "control", ip: p.controlIP(i), memoryMB: coreMemoryMB}
		h.settings = fmt.Sprintf(settingsFormat, h.name, h.role, "core", h.role, h.ip, strings.Join(seeds, ","), true,
			fmt.Sprintf("data_dir = %q", filepath.Join(p.dir, h.name)), fmt.Sprintf("control = %q", addr(h.ip, portControl)), h.memoryMB, cloud)
		p.hosts = append(p.hosts, h)
	}
	for i := range edges {
		h := &host{play: p, name: fmt.Sprintf("edge-kingston-%d", i+1), role: "edge", ip: p.edgeIP(i), memoryMB: edgeMemoryMB}
		h.settings = fmt.Sprintf(settingsFormat, h.name, h.role, "edge", h.role, h.ip, strings.Join(seeds, ","), false,
			"", fmt.Sprintf("front = %q\nready = %q", addr(h.ip, portFront), addr(h.ip, portReady)), h.memoryMB, cloud)
		p.hosts = append(p.hosts, h)
	}
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) controlIP(i int) string { return p.prefix + strconv.Itoa(1+i) }
func (p *play) edgeIP(i int) string    { return p.prefix + strconv.Itoa(21+i) }

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// controlAddrs returns the addresses of the hosts that serve control.
func (p *play) controlAddrs() []string {
	var list []string
	for _, h := range p.hosts {
		if h.role == "control" {
			list = append(list, addr(h.ip, portControl))
		}
	}
	return list
}

// edges returns the entry hosts.
func (p *play) edges() []*host {
	var list []*host
	for _, h := range p.hosts {
		if h.role == "edge" {
			list = append(list, h)
		}
	}
	return list
}

// start runs the host's process, with the command of the deploy file, until end.
func (h *host) start() error {
	path := filepath.Join(h.play.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(h.play.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.done = make(chan struct{})
	port := map[string]string{"control": "9103", "edge": "9102"}[h.role]
	go func() {
		defer close(h.done)
		defer out.Close()
		for !h.isStopped() {
			cmd := exec.Command(h.play.program, "run", "--metrics", port)
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.play.dir, "AGATESPINDLE_CONFIG=" + path}
			cmd.Stdout, cmd.Stderr = out, out
			if err := cmd.Start(); err != nil {
				h.play.record("%s: cannot start: %v", h.name, err)
				return
			}
			h.setProcess(cmd.Process)
			_ = cmd.Wait()
			h.setProcess(nil)
			if !h.isStopped() {
				h.mu.Lock()
				h.ends++
				n := h.ends
				h.mu.Unlock()
				h.play.record("%s: process ended by itself or by its limit, for the time %d", h.name, n)
				// From now on the system does not start for the first time.
				_ = os.WriteFile(path, []byte(strings.Replace(h.settings, "bootstrap = true", "bootstrap = false", 1)), 0o600)
				time.Sleep(restartDelay)
			}
		}
	}()
	return nil
}

func (h *host) setProcess(p *os.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = p
	if p != nil && h.stopped {
		_ = p.Kill()
	}
}

func (h *host) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

// end stops the process for good.
func (h *host) end() {
	if h.done == nil {
		return
	}
	h.mu.Lock()
	h.stopped = true
	if h.process != nil {
		_ = h.process.Signal(syscall.SIGCONT)
		_ = h.process.Signal(syscall.SIGTERM)
	}
	h.mu.Unlock()
	select {
	case <-h.done:
		return
	case <-time.After(2 * time.Second):
	}
	h.mu.Lock()
	if h.process != nil {
		_ = h.process.Kill()
	}
	h.mu.Unlock()
	<-h.done
}

// watchMemory does what the platform does: a process that uses more than its limit is killed.
func (h *host) watchMemory() {
	for !h.isStopped() {
		time.Sleep(5 * time.Millisecond)
		h.mu.Lock()
		if h.process != nil {
			mb := residentMB(h.process.Pid)
			h.peak = max(h.peak, mb)
			if mb > h.memoryMB {
				_ = h.process.Kill()
			}
		}
		h.mu.Unlock()
	}
}

// residentMB returns the resident memory of a process in MiB, 0 if it cannot be read.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// declare sends a desired state with one primary route until it is acknowledged.
func (p *play) declare(version, syncReplicas int) error {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-strict", "host": "strict", "path_prefix": "/", "type": "primary", "timeout_ms": 4000, "target_latency_ms": 1000, "prio": 1, "service": p.db.name, "max_attempts": 2},
			{"name": "r-aged", "host": "aged", "path_prefix": "/", "type": "bounded_staleness", "timeout_ms": 4000, "target_latency_ms": 1000, "prio": 2, "service": p.db.name, "max_attempts": 2, "max_staleness_ms": 1500},
		},
		"services": []map[string]any{{"name": p.db.name, "health_path": "/healthz", "max_conns": 30, "protocol": "h1", "tls": false, "sync_replicas": syncReplicas}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	if err != nil {
		return err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range p.controlAddrs() {
			if post("http://"+a+"/config/replace", b) == nil {
				p.record("desired state %d acknowledged by %s", version, a)
				return nil
			}
		}
	}
	return errors.New("desired state was not acknowledged")
}

// post sends a JSON body and returns an error unless a 2xx response arrives within a second.
func post(url string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// startCloud serves the platform's calls.
func (p *play) startCloud() error {
	ln, err := net.Listen("tcp", addr(p.prefix+"200", portCloud))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		fence, err := strconv.ParseUint(r.Header.Get("X-Agatespindle-Fence-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != p.db.name {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := p.db.promote(body.ID, fence)
		p.record("promote %s by %s with %d: %d", body.ID, r.Header.Get("X-Agatespindle-Duty-Holder"), fence, status)
		w.WriteHeader(status)
	})
	p.cloud = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.cloud.Serve(ln) }()
	return nil
}

// awaitReady waits until all entry hosts are ready.
func (p *play) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range p.edges() {
			resp, err := http.Get("http://" + addr(h.ip, portReady) + "/readyz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(p.edges()) {
			return nil
		}
	}
	return errors.New("entry hosts did not get ready")
}
