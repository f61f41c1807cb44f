// Package rig starts a small deployment of agatespindle-node on loopback addresses, beside stand-ins
// for the platform's API, the operator, the instances and the clients. It is used by the review's
// scripts only.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"syscall"
	"time"
)

// Ports that the processes listen on, the same on all machines.
const (
	PortControl  = 8782
	PortCloud    = 8783
	PortFront    = 8784
	PortReady    = 8785
	PortInstance = 8080
	portLink     = 7440
	portMetricsE = 9102
	portMetricsC = 9103
)

// Bounds of the settings, as in the site files of the small deployments.
const (
	HeartbeatInterval = 1200 * time.Millisecond
	GraceSeconds      = 6
	DrainMillis       = 7000
)

// ErrCannotRun says that the case could not run; the script exits with 2.
var ErrCannotRun = errors.New("case cannot run")

// Rig is one deployment.
type Rig struct {
	// Root is the repository's root, Dir a temporary folder.
	Root, Dir string
	Subnet    string
	start     time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*Node
	Cloud  *Cloud
}

// Node is one process of the project.
type Node struct {
	Name, IP, Class string
	cmd             *exec.Cmd
	ended           chan struct{}
}

// New prepares a deployment whose record is written to the file at record.
func New(record string) (*Rig, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "agatespindle-review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{Root: root, Dir: dir, record: f, start: time.Now()}
	for range 50 {
		r.Subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if r.free() {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback addresses", ErrCannotRun)
}

// free reports whether nothing listens on the addresses that the deployment will use.
func (r *Rig) free() bool {
	for host := 1; host <= 20; host++ {
		for _, port := range []int{PortControl, PortFront, PortReady, portLink, portMetricsE, portMetricsC} {
			ln, err := net.Listen("tcp", r.addr(host, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func (r *Rig) addr(host, port int) string { return fmt.Sprintf("%s%d:%d", r.Subnet, host, port) }

// Logf writes a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

const settings = `node = %q
role = %q
class = %q
serves = [%q]
ip = %q
zone = %q
region = "jm-south"
internal_port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
loss_counts = %t
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
data_dir = %q
[zones]
kingston = "jm-south"
spanish-town = "jm-south"
may-pen = "jm-south"
[listen]
%s
[limits]
cpu_share = 0.4
cpus = 1
memory_limit_mb = 284
max_fds = 4200
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

// Zones are the data centres of the deployment.
var Zones = []string{"kingston", "spanish-town", "may-pen"}

// StartNodes starts control hosts and entry hosts, with the commands of the deploy file.
func (r *Rig) StartNodes(control, entry int) error {
	var seeds []string
	for i := range min(3, control) {
		seeds = append(seeds, strconv.Quote(r.addr(1+i, PortControl)))
	}
	for i := range control + entry {
		n := &Node{Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("%s%d", r.Subnet, i+1), Class: "core"}
		serves, metrics := "control", portMetricsC
		listen := fmt.Sprintf("control = %q", r.addr(i+1, PortControl))
		dataDir := filepath.Join(r.Dir, n.Name)
		if i >= control {
			n.Name, n.Class, serves, metrics, dataDir = fmt.Sprintf("edge-%d", i-control+1), "edge", "edge", portMetricsE, ""
			listen = fmt.Sprintf("front = %q\nready = %q", r.addr(i+1, PortFront), r.addr(i+1, PortReady))
		} else if err := os.Mkdir(dataDir, 0o700); err != nil {
			return err
		}
		zone := Zones[i%len(Zones)]
		text := fmt.Sprintf(settings, n.Name, serves, n.Class, serves, n.IP, zone, portLink, portLink+15, strings.Join(seeds, ","), true, n.Class == "core",
			dataDir, listen, r.addr(250, PortCloud))
		path := filepath.Join(r.Dir, n.Name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.startNode(n, path, metrics); err != nil {
			return fmt.Errorf("%w: %w", ErrCannotRun, err)
		}
	}
	return nil
}

func (r *Rig) startNode(n *Node, settingsPath string, metrics int) error {
	out, err := os.Create(filepath.Join(r.Dir, n.Name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(filepath.Join(r.Root, "target", "agatespindle-node"), "run", "--metrics", strconv.Itoa(metrics))
	n.cmd.Dir = r.Root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATESPINDLE_CONFIG=" + settingsPath}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	r.Logf("process %s started, pid %d", n.Name, n.cmd.Process.Pid)
	n.ended = make(chan struct{})
	r.nodes = append(r.nodes, n)
	go func() {
		_ = n.cmd.Wait()
		r.Logf("process %s ended: %s", n.Name, n.cmd.ProcessState)
		close(n.ended)
	}()
	return nil
}

// StartDeployment starts three control hosts and two entry hosts before a number of services with three
// instances each, one in each zone, and waits until all is ready. The first instance of each is its primary.
func (r *Rig) StartDeployment(services, syncReplicas int) ([]*Group, error) {
	var groups []*Group
	var routes, list []map[string]any
	for i := range services {
		g := r.NewGroup(fmt.Sprintf("ledger-%c", 'a'+i), syncReplicas)
		groups = append(groups, g)
		list = append(list, g.Service())
		routes = append(routes, Route("r-"+g.Name, g.Database(), "primary", g.Name, 1500))
	}
	if err := r.StartCloud(groups...); err != nil {
		return nil, err
	}
	if err := r.StartNodes(3, 2); err != nil {
		return nil, err
	}
	for i, g := range groups {
		for j := range 3 {
			if _, err := g.Start(fmt.Sprintf("i-%c%d", 'a'+i, j+1), 101+10*i+j, Zones[j]); err != nil {
				return nil, err
			}
		}
	}
	if err := r.Replace(State(1, routes, list)); err != nil {
		return nil, err
	}
	if err := r.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return groups, nil
}

// Node returns the process with the name.
func (r *Rig) Node(name string) *Node {
	for _, n := range r.nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Front returns the address for clients of the host.
func (n *Node) Front() string { return net.JoinHostPort(n.IP, strconv.Itoa(PortFront)) }

// Signal sends a signal to a process.
func (r *Rig) Signal(n *Node, sig syscall.Signal) {
	r.Logf("signal %s to %s", sig, n.Name)
	_ = n.cmd.Process.Signal(sig)
}

// Ended is closed once the process has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// Controls returns the addresses for instances and operators.
func (r *Rig) Controls() []string {
	var list []string
	for _, n := range r.nodes {
		if n.Class == "core" {
			list = append(list, net.JoinHostPort(n.IP, strconv.Itoa(PortControl)))
		}
	}
	return list
}

// Entries returns the entry hosts.
func (r *Rig) Entries() []*Node {
	var list []*Node
	for _, n := range r.nodes {
		if n.Class == "edge" {
			list = append(list, n)
		}
	}
	return list
}

// AwaitReady waits until all entry hosts pass the readiness check.
func (r *Rig) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range r.Entries() {
		for !r.IsReady(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", ErrCannotRun, n.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.Logf("all entry hosts are ready")
	return nil
}

// IsReady asks one entry host for its readiness.
func (r *Rig) IsReady(n *Node) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + net.JoinHostPort(n.IP, strconv.Itoa(PortReady)) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Replace sends a desired state until it is acknowledged.
func (r *Rig) Replace(state map[string]any) error {
	b, err := json.Marshal(state)
	if err != nil {
		return err
	}
	controls := r.Controls()
	for i := range 40 {
		status, body := Post("http://"+controls[i%len(controls)]+"/config/replace", b)
		if status == http.StatusOK {
			r.Logf("desired state %v acknowledged", state["version"])
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("%w: desired state refused: %s", ErrCannotRun, body)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("%w: desired state was not acknowledged", ErrCannotRun)
}

// Post sends a JSON body and returns the status (0 without a response) and the body.
func Post(url string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(b)
}

// Close ends all processes and removes the temporary folder, unless KEEP is set in the environment.
func (r *Rig) Close() {
	for _, n := range r.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
	}
	for _, n := range r.nodes {
		<-n.ended
	}
	if r.Cloud != nil {
		r.Cloud.Close()
	}
	r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.Dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", r.Dir)
	}
}

// Trouble reports whether the case shall bring about its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// maxPrinted is how many breaks a script prints; its record has all.
const maxPrinted = 3

// Exit codes of the scripts.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

// Main runs a case and returns the exit code of its script. play returns how the rule was broken, an
// empty list if it held.
func Main(record string, play func(r *Rig) ([]string, error)) int {
	r, err := New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitCannotRun
	}
	defer r.Close()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(r)
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		if res.err != nil {
			r.Logf("could not run: %s", res.err)
			fmt.Fprintln(os.Stderr, res.err)
			return ExitCannotRun
		}
		for i, line := range res.broken {
			r.Logf("BROKEN %s", line)
			if i < maxPrinted {
				fmt.Println("BROKEN", line)
			}
		}
		if len(res.broken) > 0 {
			fmt.Printf("the rule was broken %d times\n", len(res.broken))
			return ExitBroken
		}
		r.Logf("the rule held")
		fmt.Println("the rule held")
		return ExitHeld
	case <-time.After(110 * time.Second):
		r.Logf("could not run: no end after 110 s")
		return ExitCannotRun
	}
}
