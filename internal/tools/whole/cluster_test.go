package whole_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/control/rest"
	"github.com/agatespindle/agatespindle/internal/tools/cmds"
)

// asProgram is the variable that makes the test binary run as the program itself.
const asProgram = "AGATESPINDLE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cmds.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	groupName = "parts-ledger"
	// settleLimit bounds every wait for a condition.
	settleLimit = 60 * time.Second
	poll        = 20 * time.Millisecond
)

// clusterConfig is what a deployment is made of.
type clusterConfig struct {
	// Control and Entry are the numbers of control and entry hosts.
	Control int
	Entry   int
	// Lag delays replication.
	Lag time.Duration
	// Cost is the time of a statement in its slot.
	Cost time.Duration
	// Token is what the tests' own requests present.
	Token string
	// Change, where set, changes the settings of each host.
	Change func(*conf.Config)
}

// cluster is a running deployment.
type cluster struct {
	t       *testing.T
	dir     string
	token   string
	configs map[string]conf.Config
	names   []string
	servers map[string][]string
	procs   map[string]*exec.Cmd
}

func newCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), token: cfg.Token, configs: map[string]conf.Config{}, servers: map[string][]string{}, procs: map[string]*exec.Cmd{}}
	t.Cleanup(c.stopAll)
	c.makeHosts(cfg)
	for _, name := range c.names {
		c.start(name)
	}
	for i := range 3 {
		name := fmt.Sprintf("%s-%c", groupName, 'a'+i)
		c.servers[name] = c.serverArgs(name, cfg, freeAddr(t))
		c.start(name)
	}
	c.put("groups", groupName, `{"size":3,"acks":2}`)
	c.put("services", groupName, `{"groups":["`+groupName+`"]}`)
	for _, name := range c.entries() {
		c.eventually("callers are served by "+name, func() error { return c.try(name, "SELECT 1") })
	}
	return c
}

func (c *cluster) makeHosts(cfg clusterConfig) {
	var peers []conf.Peer
	for i := range cfg.Control {
		peers = append(peers, conf.Peer{Host: fmt.Sprintf("control-%d", i+1), LinkAddr: freeAddr(c.t)})
	}
	for i := range cfg.Control + cfg.Entry {
		h := conf.Default()
		h.ControlPeers = peers
		h.APIAddr = freeAddr(c.t)
		h.DataCentre = []string{"kingston", "spanish-town", "may-pen"}[i%3]
		h.DrainTimeout = conf.Duration(10 * time.Second)
		if i < cfg.Control {
			h.Host, h.LinkAddr, h.Roles = peers[i].Host, peers[i].LinkAddr, []conf.Role{conf.RoleControl}
		} else {
			h.Host, h.LinkAddr, h.Roles = fmt.Sprintf("entry-%d", i-cfg.Control+1), freeAddr(c.t), []conf.Role{conf.RoleEntry}
			h.CallerAddr = freeAddr(c.t)
		}
		h.DataDir = filepath.Join(c.dir, h.Host)
		h.LogLevel = "debug"
		if cfg.Change != nil {
			cfg.Change(&h)
		}
		c.configs[h.Host] = h
		c.names = append(c.names, h.Host)
	}
}

func (c *cluster) serverArgs(name string, cfg clusterConfig, addr string) []string {
	args := []string{"standin", "--name", name, "--group", groupName, "--data", filepath.Join(c.dir, name),
		"--listen", addr, "--lag", cfg.Lag.String(), "--cost", cfg.Cost.String()}
	for _, h := range c.names {
		args = append(args, "--host", c.configs[h].APIAddr)
	}
	return args
}

// Ports for tests lie below those that the system gives to outgoing connections, which could
// take one between two starts of a host.
const (
	firstPort = 20000
	portSpan  = 12000
)

var nextPort = os.Getpid() * 64 % portSpan

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	for range portSpan {
		nextPort = (nextPort + 1) % portSpan
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

func (c *cluster) entries() []string {
	var list []string
	for _, name := range c.names {
		if c.configs[name].CallerAddr != "" {
			list = append(list, name)
		}
	}
	return list
}

// start starts a host or a backend server.
func (c *cluster) start(name string) {
	c.t.Helper()
	args, isServer := c.servers[name]
	if !isServer {
		b, err := json.Marshal(c.configs[name])
		if err != nil {
			c.t.Fatal(err)
		}
		path := filepath.Join(c.dir, name+".json")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			c.t.Fatal(err)
		}
		args = []string{"run", "--config", path}
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	program, err := os.Executable()
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.procs[name] = cmd
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, sig syscall.Signal) {
	c.t.Helper()
	if err := c.procs[name].Process.Signal(sig); err != nil {
		c.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill ends a process at once.
func (c *cluster) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	_ = c.procs[name].Wait()
	delete(c.procs, name)
}

// shutdown ends a process gracefully and returns its exit code.
func (c *cluster) shutdown(name string) int {
	c.signal(name, syscall.SIGTERM)
	_ = c.procs[name].Wait()
	code := c.procs[name].ProcessState.ExitCode()
	delete(c.procs, name)
	return code
}

func (c *cluster) stopAll() {
	for _, p := range c.procs {
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
	}
	if c.t.Failed() {
		c.showLogs()
	}
}

// showLogs prints the end of each log of a failed test.
func (c *cluster) showLogs() {
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range logs {
		b, _ := os.ReadFile(path)
		if len(b) > 9000 {
			b = b[len(b)-9000:]
		}
		c.t.Logf("%s:\n%s", filepath.Base(path), b)
	}
}

// eventually waits until fn succeeds.
func (c *cluster) eventually(what string, fn func() error) {
	c.t.Helper()
	deadline := time.Now().Add(settleLimit)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not after %s: %v", what, settleLimit, err)
		}
		time.Sleep(poll)
	}
}

// connect opens a caller's connection to an entry host.
func (c *cluster) connect(entry, user string) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, c.configs[entry].CallerAddr, groupName))
}

// try runs a statement on a connection of its own.
func (c *cluster) try(entry, text string) error {
	conn, err := c.connect(entry, "tester")
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = query(conn, text)
	return err
}

// must runs a statement on a connection and returns the first column of its rows.
func must(t *testing.T, conn *pgconn.PgConn, text string) []string {
	t.Helper()
	rows, err := query(conn, text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return rows
}

func query(conn *pgconn.PgConn, text string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	results, err := conn.Exec(ctx, text).ReadAll()
	if err != nil {
		return nil, err
	}
	var list []string
	for _, r := range results {
		for _, row := range r.Rows {
			list = append(list, string(row[0]))
		}
	}
	return list, nil
}

// request sends a request to the API of a host and decodes the answer.
func (c *cluster) request(host, method, path, body string, header http.Header, out any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.configs[host].APIAddr+"/v1/"+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, v := range header {
		req.Header[name] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if out == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(bytes.NewReader(b)).Decode(out)
}

// put declares a resource and waits until it is accepted.
func (c *cluster) put(kind, name, spec string) rest.Resource {
	c.t.Helper()
	var r rest.Resource
	c.eventually("put "+name, func() error {
		var answer json.RawMessage
		code, err := c.request(c.entries()[0], http.MethodPut, kind+"/"+name, `{"spec":`+spec+`}`, nil, &answer)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("status %d: %s", code, answer)
		}
		if err != nil {
			return err
		}
		return json.Unmarshal(answer, &r)
	})
	return r
}

// group returns the group's status from any host that answers.
func (c *cluster) group() rest.GroupStatus {
	c.t.Helper()
	var r rest.Resource
	c.eventually("get group", func() error {
		var err error
		for _, host := range c.names {
			if _, up := c.procs[host]; !up {
				continue
			}
			var code int
			code, err = c.request(host, http.MethodGet, "groups/"+groupName, "", nil, &r)
			if err == nil && code == http.StatusOK && r.Status.Group != nil {
				return nil
			}
		}
		return fmt.Errorf("no host answers: %v", err)
	})
	return *r.Status.Group
}

// quorum returns the state of the control quorum.
func (c *cluster) quorum(host string) (rest.Quorum, error) {
	var q rest.Quorum
	code, err := c.request(host, http.MethodGet, "status", "", nil, &q)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("status %d", code)
	}
	return q, err
}

// leader returns the name of the control host that leads.
func (c *cluster) leader() string {
	c.t.Helper()
	var name string
	c.eventually("leader", func() error {
		q, err := c.quorum(c.entries()[0])
		name, _, _ = strings.Cut(q.Leader, "#")
		if err == nil && name == "" {
			err = fmt.Errorf("no leader")
		}
		return err
	})
	return name
}

// allFollow reports an error while a backend server does not follow the group's term.
func (c *cluster) allFollow(g rest.GroupStatus) error {
	for name, args := range c.servers {
		st, err := adapt.Postgres(argument(args, "--listen"), "tester", groupName).Status(c.t.Context())
		if err != nil {
			return err
		}
		if st.Term != g.Term || st.Primary != (name == g.Primary) || (!st.Primary && !st.Following) {
			return fmt.Errorf("%s is %+v", name, st)
		}
	}
	return nil
}

func argument(args []string, name string) string {
	for i, a := range args {
		if a == name {
			return args[i+1]
		}
	}
	return ""
}

// watchUntil watches a kind from a revision until an event's text holds last.
func (c *cluster) watchUntil(host, kind string, from uint64, last string) ([]rest.Event, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), settleLimit)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/%s?watch=1&from=%d", c.configs[host].APIAddr, kind, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var events []rest.Event
	for dec := json.NewDecoder(resp.Body); ; {
		var e rest.Event
		if err := dec.Decode(&e); err != nil {
			return events, err
		}
		events = append(events, e)
		if e.Resource != nil && strings.Contains(string(e.Resource.Spec), last) {
			return events, nil
		}
	}
}
