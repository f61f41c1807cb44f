package host_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/backend/stand"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/tools/host"
)

const (
	groupName = "parts"
	// startTimeout limits the start of a deployment, and waitTimeout every other wait.
	startTimeout = 30 * time.Second
	waitTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
	// readTimeout is how long callers may read nothing of an answer.
	readTimeout = time.Second
)

// deployment is a control host, entry hosts and a backend server in one process.
type deployment struct {
	t           *testing.T
	hosts       map[string]*runningHost
	readTimeout time.Duration
}

// runningHost is a host with the means to stop it.
type runningHost struct {
	*host.Host
	name string
	log  *lockedBuffer
	stop context.CancelFunc
	done chan error
}

// startDeployment starts a deployment whose hosts have the given limit for a drain, and waits until
// callers are served by each entry host.
func startDeployment(t *testing.T, entryHosts int, drainLimit time.Duration) *deployment {
	t.Helper()
	return startWithReadTimeout(t, entryHosts, drainLimit, readTimeout)
}

// startWithReadTimeout is startDeployment with another timeout for callers that do not read.
func startWithReadTimeout(t *testing.T, entryHosts int, drainLimit, timeout time.Duration) *deployment {
	t.Helper()
	d := &deployment{t: t, hosts: map[string]*runningHost{}, readTimeout: timeout}
	control := d.config("control-1", conf.RoleControl)
	control.ControlPeers = []conf.Peer{{Host: control.Host, LinkAddr: control.LinkAddr}}
	d.start(control)
	for i := range entryHosts {
		cfg := d.config(fmt.Sprintf("entry-%d", i+1), conf.RoleEntry)
		cfg.ControlPeers, cfg.CallerAddr = control.ControlPeers, freeAddr(t)
		cfg.DrainTimeout = conf.Duration(drainLimit)
		d.start(cfg)
	}
	d.startServer(control.APIAddr)
	d.put(control.APIAddr, "groups/"+groupName, `{"spec":{"size":1,"acks":1,"slots":16,"connections":32}}`)
	d.put(control.APIAddr, "services/"+groupName, `{"spec":{"groups":["`+groupName+`"]}}`)
	for i := range entryHosts {
		d.eventually(startTimeout, func() error { return d.tryStatement(fmt.Sprintf("entry-%d", i+1), "SELECT 1") })
	}
	return d
}

func (d *deployment) config(name string, role conf.Role) conf.Config {
	cfg := conf.Default()
	cfg.Host, cfg.DataCentre, cfg.Roles = name, "kingston", []conf.Role{role}
	cfg.LinkAddr, cfg.APIAddr = freeAddr(d.t), freeAddr(d.t)
	cfg.DataDir = filepath.Join(d.t.TempDir(), name)
	return cfg
}

// Test ports lie below the system's ephemeral port range: an outgoing connection could take a port between
// its choice and the start of its host.
const (
	firstPort = 20000
	portCount = 12000
)

// portOffset is the offset from firstPort of the port tried last. It starts at a value that depends on the
// process id, so that concurrent test processes try different ports.
var portOffset = os.Getpid() * 64 % portCount

// freeAddr returns a loopback address with a TCP port that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
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

// start runs a host until the end of the test.
func (d *deployment) start(cfg conf.Config) {
	d.t.Helper()
	log := &lockedBuffer{}
	h, err := host.New(host.Options{Config: cfg, Log: log, Server: slowServer})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningHost{Host: h, name: cfg.Host, log: log, stop: stop, done: make(chan error, 1)}
	if h.Entry != nil {
		h.Entry.ReadTimeout = d.readTimeout
	}
	d.hosts[cfg.Host] = r
	go func() { r.done <- h.Run(ctx) }()
	d.t.Cleanup(func() {
		stop()
		select {
		case <-r.done:
		case <-time.After(waitTimeout):
			d.t.Errorf("host %s did not stop", cfg.Host)
		}
	})
}

// startServer runs a backend server until the end of the test.
func (d *deployment) startServer(apiAddr string) {
	d.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	in, err := stand.New(stand.Config{
		Name: groupName + "-a", Group: groupName, Center: "kingston", Listener: ln, Dir: filepath.Join(d.t.TempDir(), "server"),
		Hosts: []string{apiAddr}, Slots: 16, MaxConnections: 32,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := in.Run(ctx)
	d.t.Cleanup(func() {
		stop()
		<-done
	})
}

// put declares a resource, and retries until it is accepted.
func (d *deployment) put(apiAddr, path, body string) {
	d.t.Helper()
	d.eventually(startTimeout, func() error {
		req, err := http.NewRequestWithContext(d.t.Context(), http.MethodPut, "http://"+apiAddr+"/v1/"+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("put %s: status %d: %s", path, resp.StatusCode, b)
		}
		return nil
	})
}

// eventually polls check until it returns nil, and fails the test after limit.
func (d *deployment) eventually(limit time.Duration, check func() error) {
	d.t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("not within %s: %v", limit, err)
		}
	}
}

// connect opens a connection to an entry host.
func (d *deployment) connect(name string) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://tester@%s/%s?sslmode=disable", d.hosts[name].Config.CallerAddr, groupName))
}

func (d *deployment) tryStatement(name, sql string) error {
	conn, err := d.connect(name)
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	return exec(conn, sql)
}

// exec runs SQL text and reads the whole answer.
func exec(conn *pgconn.PgConn, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := conn.Exec(ctx, sql).ReadAll()
	return err
}

// holder returns the entry host that holds the group, and another one if there is any.
func (d *deployment) holder() (holder, other string) {
	d.t.Helper()
	for name, h := range d.hosts {
		if h.Entry == nil {
			continue
		}
		if h.Agent.View().Get(spec.Groups, groupName).GetGroup().GetHolder() == name {
			holder = name
		} else {
			other = name
		}
	}
	if holder == "" {
		d.t.Fatal("group has no holder")
	}
	return holder, other
}

// shutDown has a host drain and stop. The channel gets the time that it took once it has stopped.
func (d *deployment) shutDown(name string) <-chan time.Duration {
	h := d.hosts[name]
	took := make(chan time.Duration, 1)
	started := time.Now()
	h.stop()
	go func() {
		err := <-h.done
		h.done <- err
		took <- time.Since(started)
	}()
	return took
}

// waitComment is in statements that the backend server runs only after the time that it names.
var waitComment = regexp.MustCompile(`/\* wait (\S+) \*/`)

// slowServer returns the adapter of a backend server that heeds waitComment.
func slowServer(addr, group string) adapt.Server {
	s := adapt.Postgres(addr, host.ProxyUser, group)
	connect := s.Connect
	s.Connect = func(ctx context.Context) (adapt.ServerConn, error) {
		c, err := connect(ctx)
		c.Conn = slowConn{c.Conn}
		return c, err
	}
	return s
}

// slowConn delays what is written with a waitComment. A statement whose connection is closed meanwhile
// does not run.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	m := waitComment.FindSubmatch(b)
	if m == nil {
		return c.Conn.Write(b)
	}
	wait, err := time.ParseDuration(string(m[1]))
	if err != nil {
		return 0, err
	}
	data := append([]byte(nil), b...)
	time.AfterFunc(wait, func() { _, _ = c.Conn.Write(data) })
	return len(b), nil
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
