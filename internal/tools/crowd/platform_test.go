package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// The names of the platform's database group and of a database in it.
const (
	groupName = "ledger"
	database  = "orders"
)

// deployment is a control host, an entry host and a group with one instance on loopback.
type deployment struct {
	t              *testing.T
	control, entry *process
	// callers, api, ready and link are addresses: of the entry host's listeners for callers and for the
	// load balancer, of the control host's for operators and instances, and of both for other hosts.
	callers, api, ready, link, entryLink string
	// group is the group of instances, in the process of the test.
	group *mimic.Group
}

// addrPrefix returns the first two numbers of the loopback addresses of this process.
func addrPrefix() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 210+pid%18, 1+pid/18%250)
}

// settingsText is the settings file of a host.
const settingsText = `node = "%[1]s"
role = "%[2]s"
serves = ["%[2]s"]
ip = "%[3]s"
zone = "a"
internal_port_range = [7440,7455]
seeds = ["%[4]s"]
bootstrap = true
contracts = ["base","drain","config","recover","sql"]
%[5]s
[limits]
memory_limit_mb = %[6]d
max_fds = %[7]d
[bounds]
grace_s = 6
drain_ms = 2000
[cloud]
addr = "%[8]s"
`

// startDeployment starts the processes and waits until an ordinary request is answered.
func startDeployment(t *testing.T, most bound) *deployment {
	t.Helper()
	oneAtATime(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	prefix, dir := addrPrefix(), t.TempDir()
	d := &deployment{
		t: t, callers: prefix + "2:8784", ready: prefix + "2:8785", api: prefix + "1:8782", link: prefix + "1:7440", entryLink: prefix + "2:7440",
		group: &mimic.Group{Name: groupName, Lag: 5 * time.Millisecond, PromotionDelay: 300 * time.Millisecond, MaxConns: 16, Slots: 2, QueueLimit: 16, StatementTime: time.Millisecond},
	}
	cloud, err := mimic.StartCloud(d.group, prefix+"3:8783", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cloud.Close)
	for i := range 2 {
		in, err := d.group.Start(fmt.Sprint("i-", i), fmt.Sprintf("%s%d:8069", prefix, 10+i), "a")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(in.Crash)
		in.SendHeartbeats(ctx, []string{d.api}, 200*time.Millisecond)
	}
	program := build(t, "github.com/agatespindle/agatespindle/cmd/agatespindle-node")
	start := func(name, role, ip, listen string) *process {
		path := filepath.Join(dir, name+".toml")
		text := fmt.Sprintf(settingsText, name, role, ip, d.api, listen, most.memoryMB, most.files, cloud.Addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return startProcess(t, most, dir, name, program, "run", "--config", path)
	}
	d.control = start("core-1", "control", prefix+"1", fmt.Sprintf("data_dir = %q\n[listen]\ncontrol = %q", filepath.Join(dir, "data"), d.api))
	d.entry = start("edge-1", "edge", prefix+"2", fmt.Sprintf("[listen]\nfront = %q\nready = %q", d.callers, d.ready))
	d.declare(ctx, 1)
	eventually(t, startTimeout, d.ordinary)
	return d
}

// declaration returns the JSON of a desired state.
func declaration(version int) []byte {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-orders", "host": database, "path_prefix": "/", "type": "primary", "timeout_ms": 4000, "target_latency_ms": 2000, "prio": 1,
			"service": groupName, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": groupName, "max_conns": 16, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// declare sends a desired state until it is acknowledged.
func (d *deployment) declare(ctx context.Context, version int) {
	d.t.Helper()
	eventually(d.t, startTimeout, func() error {
		return mimic.Post(ctx, "http://"+d.api+"/config/replace", declaration(version))
	})
}

// ordinary makes one ordinary request.
func (d *deployment) ordinary() error {
	c, err := openSession(context.Background(), d.callers, database)
	if err != nil {
		return err
	}
	defer c.Close()
	line, err := c.ask(10*time.Second, "READ a")
	if err == nil && !strings.HasPrefix(line, "DONE") {
		err = fmt.Errorf("answer to the ordinary request: %s", line)
	}
	return err
}

// readyOK makes one request of the load balancer.
func (d *deployment) readyOK() error {
	resp, err := http.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness: status %d", resp.StatusCode)
	}
	return nil
}

// check checks what holds after a crowd, and beside one that stays connected.
func (d *deployment) check() {
	d.t.Helper()
	eventually(d.t, answerTimeout, func() error {
		if !d.entry.running() || !d.control.running() {
			return nil
		}
		return d.ordinary()
	})
	d.checkFaults()
}

// checkFaults checks that the processes live and keep their bounds.
func (d *deployment) checkFaults() {
	d.t.Helper()
	var faults []string
	for _, p := range []*process{d.entry, d.control} {
		mb, _ := p.peakMemoryMB()
		d.t.Logf("%s: at most %d MiB, %d descriptors", p.name, mb, p.peakFileCount())
		if fault := p.fault(); fault != "" {
			faults = append(faults, fault)
		}
	}
	So(faults, ShouldBeEmpty)
}

// scene plays one crowd against a deployment of its own and then checks what must hold.
func scene(t *testing.T, crowd string, play func(d *deployment)) {
	t.Helper()
	t.Run(crowd, func(t *testing.T) {
		Convey("Given a crowd "+crowd, t, func() { play(startDeployment(t, lowered)) })
	})
}
