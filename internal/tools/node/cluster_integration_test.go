package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/tools/node"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// eventuallyTimeout bounds the wait for a condition, which is checked every pollInterval.
	eventuallyTimeout = 15 * time.Second
	pollInterval      = 20 * time.Millisecond
	// replyTimeout bounds a caller's wait for a connection or a reply.
	replyTimeout = 5 * time.Second
)

// cluster is a deployment in one process, with its own loopback addresses: control hosts, entry hosts,
// a group of three instances and the platform's cloud API.
type cluster struct {
	t          *testing.T
	prefix     string
	seeds      []string
	dir        string
	group      *mimic.Group
	cloud      *mimic.Cloud
	running    map[string]*runningHost
	ctx        context.Context
	cancel     context.CancelFunc
	heartbeats []<-chan error
	partitions *partitions
	// log receives the log lines of all hosts from level on.
	log   io.Writer
	level string
}

// partitions simulates network partitions. By host, blocked reports which addresses the host cannot
// reach, and conns are the connections that it opened.
type partitions struct {
	mu      sync.Mutex
	blocked map[string]func(addr string) bool
	conns   map[string][]net.Conn
}

// dial returns the dial function of a host. It fails for blocked addresses.
func (p *partitions) dial(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		p.mu.Lock()
		blocked := p.blocked[host]
		p.mu.Unlock()
		if blocked != nil && blocked(addr) {
			return nil, fmt.Errorf("connections from %s to %s are blocked", host, addr)
		}
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			p.mu.Lock()
			p.conns[host] = append(p.conns[host], conn)
			p.mu.Unlock()
		}
		return conn, err
	}
}

// setBlocked blocks connections from a host to the addresses for which blocked returns true, and
// closes the open ones. It replaces the host's earlier setting.
func (p *partitions) setBlocked(host string, blocked func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[host] = blocked
	for _, conn := range p.conns[host] {
		if blocked(conn.RemoteAddr().String()) {
			conn.Close()
		}
	}
}

// runningHost is a started host; done receives the result of its Run.
type runningHost struct {
	node *node.Node
	stop context.CancelFunc
	done chan error
}

// clusterSeq numbers the clusters of a test process, so that each has its own addresses.
var clusterSeq atomic.Int64

// startCluster starts a group of three instances, then control and entry hosts in front of it. Each
// change is applied to the group before its start. With dropCloudResponses, the cloud runs every other
// promotion without sending a response.
func startCluster(t *testing.T, controlHosts, entryHosts int, dropCloudResponses bool, changes ...func(*mimic.Group)) *cluster {
	t.Helper()
	return startLoggingCluster(t, io.Discard, "info", controlHosts, entryHosts, dropCloudResponses, changes...)
}

// startLoggingCluster is like startCluster, with a writer for the log lines of all hosts from a level on.
func startLoggingCluster(t *testing.T, log io.Writer, level string, controlHosts, entryHosts int, dropCloudResponses bool, changes ...func(*mimic.Group)) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		t: t, prefix: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, clusterSeq.Add(1)), dir: t.TempDir(),
		running: map[string]*runningHost{}, ctx: ctx, cancel: cancel, log: log, level: level,
		partitions: &partitions{blocked: map[string]func(string) bool{}, conns: map[string][]net.Conn{}},
		group:      &mimic.Group{Name: "ledger", Lag: 30 * time.Millisecond, PromotionDelay: 150 * time.Millisecond, MaxConns: 16},
	}
	for _, change := range changes {
		change(c.group)
	}
	t.Cleanup(c.close)
	for i := range min(3, controlHosts) {
		c.seeds = append(c.seeds, c.controlAddr(i))
	}
	var err error
	if c.cloud, err = mimic.StartCloud(c.group, c.prefix+"200:8783", dropCloudResponses); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		instance, err := c.group.Start(fmt.Sprintf("i-%d", i), fmt.Sprintf("%s%d:8069", c.prefix, 100+i), "a")
		if err != nil {
			t.Fatal(err)
		}
		var controlAddrs []string
		for j := range controlHosts {
			controlAddrs = append(controlAddrs, c.controlAddr((i+j)%controlHosts))
		}
		c.heartbeats = append(c.heartbeats, instance.SendHeartbeats(ctx, controlAddrs, 200*time.Millisecond))
	}
	for i := range controlHosts {
		c.startHost(fmt.Sprintf("core-%d", i), c.ip(i), true, true)
	}
	for i := range entryHosts {
		c.startHost(fmt.Sprintf("edge-%d", i), c.ip(50+i), false, true)
	}
	return c
}

func (c *cluster) ip(i int) string            { return fmt.Sprintf("%s%d", c.prefix, i+1) }
func (c *cluster) controlAddr(i int) string   { return c.ip(i) + ":8782" }
func (c *cluster) callerAddr(i int) string    { return c.ip(50+i) + ":8784" }
func (c *cluster) readyAddr(i int) string     { return c.ip(50+i) + ":8785" }
func (c *cluster) dataDir(i int) string       { return filepath.Join(c.dir, fmt.Sprintf("core-%d", i)) }
func (c *cluster) stopHost(name string) error { return c.running[name].stopAndWait() }
func (c *cluster) restartControl(i int)       { c.startHost(fmt.Sprintf("core-%d", i), c.ip(i), true, false) }
func (r *runningHost) stopAndWait() error     { r.stop(); return <-r.done }

// settings returns the settings of a control host or an entry host. firstStart says that the whole
// deployment starts for the first time.
func (c *cluster) settings(name, ip string, isControl, firstStart bool) platform.Settings {
	var s platform.Settings
	s.Host, s.IP, s.Center, s.InternalPorts, s.Seeds, s.Bootstrap = name, ip, "a", []int{7440, 7455}, c.seeds, firstStart
	s.Bounds.GraceSeconds = 6
	if c.group.LeaveBound > 0 {
		ms := float64(c.group.LeaveBound.Milliseconds())
		s.Bounds.DrainMillis = &ms
	}
	if isControl {
		s.Serves, s.Listen.Control, s.DataDir, s.Cloud.Addr = []string{"control"}, ip+":8782", filepath.Join(c.dir, name), c.cloud.Addr
	} else {
		s.Serves, s.Listen.Callers, s.Listen.Ready = []string{"edge"}, ip+":8784", ip+":8785"
	}
	return s
}

// startHost starts a control host or an entry host in this process.
func (c *cluster) startHost(name, ip string, isControl, firstStart bool) {
	c.t.Helper()
	s := c.settings(name, ip, isControl, firstStart)
	n, err := node.New(node.Options{Settings: s, Log: c.log, Level: c.level, Dial: c.partitions.dial(name)})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningHost{node: n, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- n.Run(ctx) }()
	c.running[name] = r
}

// close stops the instances' heartbeats, all hosts and the cloud.
func (c *cluster) close() {
	c.cancel()
	for _, done := range c.heartbeats {
		<-done
	}
	var wg sync.WaitGroup
	for _, r := range c.running {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = r.stopAndWait()
		}()
	}
	wg.Wait()
	c.cloud.Close()
}

// eventually polls until ok returns true and fails the test after eventuallyTimeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	end := time.Now().Add(eventuallyTimeout)
	for !ok() {
		if time.Now().After(end) {
			c.t.Fatalf("condition %q not met within %s", what, eventuallyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// declarationJSON returns a declaration of the given version with one database for each consistency:
// orders (primary), notes (read your writes) and parts (bounded staleness).
func declarationJSON(version uint64, extraRoutes ...map[string]any) []byte {
	route := func(host, consistency string, maxStalenessMs int) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "path_prefix": "/", "type": consistency, "timeout_ms": 800, "target_latency_ms": 200,
			"prio": 1, "service": "ledger", "max_attempts": 2, "max_staleness_ms": maxStalenessMs,
		}
	}
	routes := []map[string]any{route("orders", "primary", 0), route("notes", "read_your_writes", 2500), route("parts", "bounded_staleness", 1500)}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": append(routes, extraRoutes...), "limits": map[string]any{"tx_idle_ms": 3000},
		"services": []map[string]any{{"name": "ledger", "max_conns": 16, "sync_replicas": 0}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// postDeclaration sends a declaration to a control host and returns the HTTP status, or 0 without a
// response.
func postDeclaration(addr string, body []byte) int {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Post("http://"+addr+"/config/replace", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// fetchDeclaration returns the declaration that a control host has, or "" on failure.
func fetchDeclaration(addr string) string {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + addr + "/config/get")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(b)
}

// declareAndAwaitReady declares the databases and waits until every entry host is ready and serves a
// write.
func (c *cluster) declareAndAwaitReady(entryHosts int) {
	c.t.Helper()
	declaration := strings.Replace(string(declarationJSON(1)), `"max_conns":16`, fmt.Sprintf(`"max_conns":%d`, c.group.MaxConns), 1)
	c.eventually("declaration", func() bool { return postDeclaration(c.controlAddr(0), []byte(declaration)) == http.StatusOK })
	for i := range entryHosts {
		c.awaitEntry(i)
	}
}

// awaitEntry waits until entry host i is ready and serves a write.
func (c *cluster) awaitEntry(i int) {
	c.eventually("readiness", func() bool {
		resp, err := http.Get("http://" + c.readyAddr(i) + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	c.eventually("first write", func() bool {
		s, err := openSession(c.callerAddr(i), "orders")
		if err != nil {
			return false
		}
		defer s.Close()
		return s.query("WRITE warm 1").ok()
	})
}

// caller is a caller's session with an entry host.
type caller struct {
	net.Conn
	r        *bufio.Reader
	querySeq int
	tag      string
}

// reply is the answer to one query.
type reply struct {
	rows []string
	// lastLine is the DONE or ERR line.
	lastLine string
	// state is the session's state from the READY line: I is idle, T is in a transaction.
	state string
	// id is the query's ID.
	id string
	// err is set if no complete answer was read.
	err error
}

// ok reports whether the query succeeded.
func (r reply) ok() bool { return r.err == nil && strings.HasPrefix(r.lastLine, "DONE") }

// notRun reports whether the error code guarantees that the query had no effect.
func (r reply) notRun() bool {
	for _, code := range []string{"BUSY", "ABORTED", "LAGGING", "RDONLY", "WRONGNODE", "MAXCONN"} {
		if strings.HasPrefix(r.lastLine, "ERR "+code) {
			return true
		}
	}
	return false
}

// callerSeq numbers the callers of a test process, so that query IDs are unique.
var callerSeq struct {
	sync.Mutex
	n int
}

// openSession connects to an entry host and opens a session with a database.
func openSession(addr, database string) (*caller, error) {
	return openSessionAs(addr, database, "tester")
}

// openSessionAs is like openSession, for a caller with a key.
func openSessionAs(addr, database, key string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", addr, replyTimeout)
	if err != nil {
		return nil, err
	}
	callerSeq.Lock()
	callerSeq.n++
	tag := fmt.Sprintf("c%d", callerSeq.n)
	callerSeq.Unlock()
	s := &caller{Conn: conn, r: bufio.NewReader(conn), tag: tag}
	_ = conn.SetDeadline(time.Now().Add(replyTimeout))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := s.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("session refused: %q %w", line, err)
	}
	return s, nil
}

// query sends one query and reads its reply.
func (s *caller) query(text string) reply {
	s.querySeq++
	res := reply{id: fmt.Sprintf("%s-%d", s.tag, s.querySeq)}
	_ = s.SetDeadline(time.Now().Add(replyTimeout))
	if _, res.err = fmt.Fprintf(s, "QUERY %s %s\r\n", res.id, text); res.err != nil {
		return res
	}
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			res.err = err
			return res
		}
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			res.rows = append(res.rows, rest)
		case "READY":
			res.state = rest[:1]
			return res
		default:
			res.lastLine = line
		}
	}
}
