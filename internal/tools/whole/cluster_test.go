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

// runAsProgramEnv is the environment variable that makes the test binary run as the agatespindle
// program instead of running tests.
const runAsProgramEnv = "AGATESPINDLE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(cmds.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	groupName = "parts-ledger"
	// waitTimeout limits every wait for a condition, and every SQL statement.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// clusterConfig describes a deployment to start.
type clusterConfig struct {
	// ControlHosts and EntryHosts are the numbers of hosts with each role.
	ControlHosts int
	EntryHosts   int
	// ReplicationLag is the delay of replication from the primary to each replica.
	ReplicationLag time.Duration
	// StatementCost is how long a statement occupies an execution slot of a backend server.
	StatementCost time.Duration
	// APIToken is the bearer token that the tests send with API requests; none if empty.
	APIToken string
	// ModifyConfig, if set, modifies the settings of each host before it starts.
	ModifyConfig func(*conf.Config)
}

// cluster is a running deployment. It knows hosts and backend servers by name.
type cluster struct {
	t            *testing.T
	dir          string
	apiToken     string
	configs      map[string]conf.Config // settings by host
	hosts        []string
	argsByServer map[string][]string  // command-line arguments by backend server
	procs        map[string]*exec.Cmd // running processes by host or backend server
}

// newCluster starts the hosts and three backend servers, declares the group and its database, and
// waits until every entry host serves callers. All processes are killed at the end of the test.
func newCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), apiToken: cfg.APIToken, configs: map[string]conf.Config{}, argsByServer: map[string][]string{}, procs: map[string]*exec.Cmd{}}
	t.Cleanup(c.killAll)
	c.makeConfigs(cfg)
	for _, name := range c.hosts {
		c.start(name)
	}
	for i := range 3 {
		name := fmt.Sprintf("%s-%c", groupName, 'a'+i)
		c.argsByServer[name] = c.serverArgs(name, cfg, freeAddr(t))
		c.start(name)
	}
	c.mustPut("groups", groupName, `{"size":3,"acks":2}`)
	c.mustPut("services", groupName, `{"groups":["`+groupName+`"]}`)
	for _, name := range c.entryHosts() {
		c.eventually("callers are served by "+name, func() error { return c.tryStatement(name, "SELECT 1") })
	}
	return c
}

// makeConfigs fills in the settings of all hosts, which it spreads over three data centres.
func (c *cluster) makeConfigs(cfg clusterConfig) {
	var peers []conf.Peer
	for i := range cfg.ControlHosts {
		peers = append(peers, conf.Peer{Host: fmt.Sprintf("control-%d", i+1), LinkAddr: freeAddr(c.t)})
	}
	for i := range cfg.ControlHosts + cfg.EntryHosts {
		h := conf.Default()
		h.ControlPeers = peers
		h.APIAddr = freeAddr(c.t)
		h.DataCentre = []string{"kingston", "spanish-town", "may-pen"}[i%3]
		h.DrainTimeout = conf.Duration(10 * time.Second)
		if i < cfg.ControlHosts {
			h.Host, h.LinkAddr, h.Roles = peers[i].Host, peers[i].LinkAddr, []conf.Role{conf.RoleControl}
		} else {
			h.Host, h.LinkAddr, h.Roles = fmt.Sprintf("entry-%d", i-cfg.ControlHosts+1), freeAddr(c.t), []conf.Role{conf.RoleEntry}
			h.CallerAddr = freeAddr(c.t)
		}
		h.DataDir = filepath.Join(c.dir, h.Host)
		h.LogLevel = "debug"
		if cfg.ModifyConfig != nil {
			cfg.ModifyConfig(&h)
		}
		c.configs[h.Host] = h
		c.hosts = append(c.hosts, h.Host)
	}
}

// serverArgs returns the command-line arguments of a stand-in backend server.
func (c *cluster) serverArgs(name string, cfg clusterConfig, listenAddr string) []string {
	args := []string{"standin", "--name", name, "--group", groupName, "--data", filepath.Join(c.dir, name),
		"--listen", listenAddr, "--lag", cfg.ReplicationLag.String(), "--cost", cfg.StatementCost.String()}
	for _, h := range c.hosts {
		args = append(args, "--host", c.configs[h].APIAddr)
	}
	return args
}

// Test ports lie below the system's ephemeral port range. Otherwise an outgoing connection could
// take a host's port between two starts of the host.
const (
	firstPort = 20000
	portCount = 12000
)

// portOffset is the offset from firstPort of the port tried last. It starts at a value that depends
// on the process id, so that concurrent test processes try different ports.
var portOffset = os.Getpid() * 64 % portCount

// freeAddr returns a loopback address with a TCP port that nothing listens on.
func freeAddr(t *testing.T) string {
	for range portCount {
		portOffset = (portOffset + 1) % portCount
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	t.Fatal("no free TCP port in the test range")
	return ""
}

// entryHosts returns the names of the hosts that accept callers.
func (c *cluster) entryHosts() []string {
	var list []string
	for _, name := range c.hosts {
		if c.configs[name].CallerAddr != "" {
			list = append(list, name)
		}
	}
	return list
}

// start starts the process of a host or a backend server and appends its output to name.log in the
// test's folder.
func (c *cluster) start(name string) {
	c.t.Helper()
	args, isServer := c.argsByServer[name]
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
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	// A stopped process is sent SIGHUP when its process group loses the shell that started the tests.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
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

// kill ends a process with SIGKILL.
func (c *cluster) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	_ = c.procs[name].Wait()
	delete(c.procs, name)
}

// shutdown ends a process with SIGTERM and returns its exit code.
func (c *cluster) shutdown(name string) int {
	c.signal(name, syscall.SIGTERM)
	_ = c.procs[name].Wait()
	code := c.procs[name].ProcessState.ExitCode()
	delete(c.procs, name)
	return code
}

// killAll kills all processes. If the test failed, it prints how each ended, which tells whether it had
// ended by itself before, and the ends of the logs.
func (c *cluster) killAll() {
	for name, p := range c.procs {
		state := processState(p.Process.Pid)
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
		if c.t.Failed() {
			c.t.Logf("%s (pid %d, API %s, other hosts %s): state %s before it was killed, then %s", name, p.Process.Pid, c.configs[name].APIAddr, c.configs[name].LinkAddr, state, p.ProcessState)
		}
	}
	if c.t.Failed() {
		c.printLogTails()
	}
}

// processState returns the state of a process as the kernel names it: Z means that it has ended, T that it is
// stopped.
func processState(pid int) string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err.Error()
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	state, _, _ := strings.Cut(rest, " ")
	return state
}

// printLogTails prints the last 9000 bytes of each process log.
func (c *cluster) printLogTails() {
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range logs {
		b, _ := os.ReadFile(path)
		if len(b) > 9000 {
			b = b[len(b)-9000:]
		}
		c.t.Logf("%s:\n%s", filepath.Base(path), b)
	}
}

// eventually polls check until it returns nil, and fails the test after waitTimeout.
func (c *cluster) eventually(condition string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: condition not met within %s: %v", condition, waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// connect opens a connection to an entry host as the given caller, within 5 s.
func (c *cluster) connect(entryHost, caller string) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", caller, c.configs[entryHost].CallerAddr, groupName))
}

// tryStatement opens a connection to an entry host, runs one statement on it and closes it.
func (c *cluster) tryStatement(entryHost, sql string) error {
	conn, err := c.connect(entryHost, "tester")
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = query(conn, sql)
	return err
}

// mustQuery is like query, but fails the test on an error.
func mustQuery(t *testing.T, conn *pgconn.PgConn, sql string) []string {
	t.Helper()
	rows, err := query(conn, sql)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return rows
}

// query runs SQL text on a connection and returns the first column of all result rows.
func query(conn *pgconn.PgConn, sql string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var values []string
	for _, r := range results {
		for _, row := range r.Rows {
			values = append(values, string(row[0]))
		}
	}
	return values, nil
}

// request sends a request to a host's HTTP API and decodes the JSON response into out, unless out
// is nil, within 12 s. It returns the HTTP status, or 0 if there was no response.
func (c *cluster) request(host, method, path, body string, header http.Header, out any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.configs[host].APIAddr+"/v1/"+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if c.apiToken != "" {
		req.Header.Set("Authorization", "Bearer "+c.apiToken)
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

// mustPut creates or replaces a resource through the first entry host and retries until it is
// accepted.
func (c *cluster) mustPut(kind, name, spec string) rest.Resource {
	c.t.Helper()
	var r rest.Resource
	c.eventually("put resource "+name, func() error {
		var answer json.RawMessage
		code, err := c.request(c.entryHosts()[0], http.MethodPut, kind+"/"+name, `{"spec":`+spec+`}`, nil, &answer)
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

// groupStatus returns the group's status from the first running host that answers.
func (c *cluster) groupStatus() rest.GroupStatus {
	c.t.Helper()
	var r rest.Resource
	c.eventually("get group status", func() error {
		var err error
		for _, host := range c.hosts {
			if _, up := c.procs[host]; !up {
				continue
			}
			var code int
			code, err = c.request(host, http.MethodGet, "groups/"+groupName, "", nil, &r)
			if err == nil && code == http.StatusOK && r.Status.Group != nil {
				return nil
			}
		}
		return fmt.Errorf("no running host returned the group's status: %v", err)
	})
	return *r.Status.Group
}

// quorumStatus returns the state of the control quorum as the host reports it.
func (c *cluster) quorumStatus(host string) (rest.Quorum, error) {
	var q rest.Quorum
	code, err := c.request(host, http.MethodGet, "status", "", nil, &q)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("status %d", code)
	}
	return q, err
}

// controlLeader waits until the first entry host knows the control leader and returns that
// leader's host name.
func (c *cluster) controlLeader() string {
	c.t.Helper()
	var name string
	c.eventually("control leader is known", func() error {
		q, err := c.quorumStatus(c.entryHosts()[0])
		name, _, _ = strings.Cut(q.Leader, "#")
		if err == nil && name == "" {
			err = fmt.Errorf("no control leader")
		}
		return err
	})
	return name
}

// checkServersFollow returns an error unless every backend server has the group's term and the
// right role: the group's primary, or a replica that follows it.
func (c *cluster) checkServersFollow(g rest.GroupStatus) error {
	for name, args := range c.argsByServer {
		st, err := adapt.Postgres(flagValue(args, "--listen"), "tester", groupName).Status(c.t.Context())
		if err != nil {
			return err
		}
		if st.Term != g.Term || st.Primary != (name == g.Primary) || (!st.Primary && !st.Following) {
			return fmt.Errorf("backend server %s has status %+v", name, st)
		}
	}
	return nil
}

// flagValue returns the argument after the flag name, or "" if the flag is absent.
func flagValue(args []string, name string) string {
	for i, a := range args {
		if a == name {
			return args[i+1]
		}
	}
	return ""
}

// watchUntil watches a kind of resource through a host, from a revision on, and returns all events
// up to the first one whose spec contains text.
func (c *cluster) watchUntil(host, kind string, from uint64, text string) ([]rest.Event, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
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
		if e.Resource != nil && strings.Contains(string(e.Resource.Spec), text) {
			return events, nil
		}
	}
}
