// Package trial measures the proxy. It runs the users' two deployments in one process, at their sizes
// and with simulated latencies, and estimates the resource use at the target size from measurements
// at several smaller sizes.
package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/backend/stand"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/tools/host"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
)

// Site describes a deployment to measure.
type Site struct {
	Name    string
	Centers []string
	// CenterLatency is the one-way latency of hosts' connections to each other and to instances.
	// CallerLatency is that of callers' connections.
	CenterLatency time.Duration
	CallerLatency time.Duration
	Groups        int
	// GroupSize is the number of instances in each group.
	GroupSize int
	// MaxConnections is the number of connections that an instance accepts.
	MaxConnections int
	Hosts          int
	// ReplicationLags are the replication delays of a group's instances. They repeat if there are fewer
	// of them than instances.
	ReplicationLags []time.Duration
	// StatementTime is how long a statement occupies an execution slot of its instance.
	StatementTime time.Duration
}

// The users' deployments.
var (
	BlueMountain = Site{
		Name: "blue-mountain", Centers: []string{"kingston", "spanish-town", "may-pen"}, CenterLatency: 500 * time.Microsecond,
		CallerLatency: time.Millisecond, Groups: 3, GroupSize: 3, MaxConnections: 16, Hosts: 7,
		ReplicationLags: []time.Duration{5 * time.Millisecond}, StatementTime: time.Millisecond,
	}
	Forening = Site{
		Name: "forening", Centers: []string{"dk-east-a", "dk-east-b", "dk-east-c", "dk-east-d"}, CenterLatency: 1500 * time.Microsecond,
		CallerLatency: 3 * time.Millisecond, Groups: 3, GroupSize: 3, MaxConnections: 30, Hosts: 7,
		ReplicationLags: []time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 2 * time.Second}, StatementTime: time.Millisecond,
	}
)

// deployment is a running site.
type deployment struct {
	site      Site
	dir       string
	net       *network
	hosts     []*host.Host
	servers   map[string]*server // by instance name
	cancel    context.CancelFunc
	hostsDone []<-chan error // one for each host; receives the result of its Run
	basePort  int
}

// server is a stand-in backend server with the configuration needed to restart it.
type server struct {
	cfg      stand.Config
	addr     string
	instance *stand.Instance
	cancel   context.CancelFunc
	done     <-chan error
}

const (
	// sitePort is the first loopback port of the first deployment of a run.
	sitePort = 15000
	// waitTimeout limits waiting for a condition.
	waitTimeout = 60 * time.Second
)

// startDeployment starts the hosts and backend servers of a site on loopback ports from port on and
// waits until each group accepts writes. routes may be nil for the default routing options.
func startDeployment(ctx context.Context, site Site, port int, routes *route.Options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "agatespindle-trial-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &deployment{site: site, dir: dir, net: &network{blocked: map[string]bool{}}, servers: map[string]*server{}, cancel: cancel, basePort: port}
	for _, cfg := range d.hostConfigs() {
		h, err := host.New(host.Options{Config: cfg, Log: io.Discard, Routing: routes, Dial: d.dialHost, Server: d.newAdapter})
		if err != nil {
			d.stop()
			return nil, err
		}
		h.Holder.OnPrimaryRead = d.countAvoidablePrimaryRead
		d.hosts = append(d.hosts, h)
		done := make(chan error, 1)
		d.hostsDone = append(d.hostsDone, done)
		go func() { done <- h.Run(ctx) }()
	}
	if err := d.startServers(); err != nil {
		d.stop()
		return nil, err
	}
	return d, d.declareGroups(ctx)
}

// countAvoidablePrimaryRead counts a read that went to the primary although a replica had already
// reached the log position that the read required.
func (d *deployment) countAvoidablePrimaryRead(group string, position uint64) {
	for name, s := range d.servers {
		st := s.instance.Status()
		if strings.HasPrefix(name, group+"-") && !st.Primary && st.Following && st.Position >= position {
			d.hosts[0].Meter.AddCounter("reads.missed", 1)
			return
		}
	}
}

func (d *deployment) dialHost(ctx context.Context, addr string) (net.Conn, error) {
	return d.net.dial(ctx, addr, d.site.CenterLatency)
}

func (d *deployment) newAdapter(addr, database string) adapt.Server {
	return d.net.newAdapter(addr, database, d.site.CenterLatency)
}

// addr returns the loopback address with port basePort+offset.
func (d *deployment) addr(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.basePort+offset)
}

// hostConfigs returns the hosts' settings. All are entry hosts; the first three are also control hosts.
func (d *deployment) hostConfigs() []conf.Config {
	var peers []conf.Peer
	for i := range 3 {
		peers = append(peers, conf.Peer{Host: fmt.Sprintf("host-%d", i+1), LinkAddr: d.addr(3 * i)})
	}
	var configs []conf.Config
	for i := range d.site.Hosts {
		cfg := conf.Default()
		cfg.Host = fmt.Sprintf("host-%d", i+1)
		cfg.DataCentre = d.site.Centers[i%len(d.site.Centers)]
		cfg.Roles = []conf.Role{conf.RoleEntry}
		if i < len(peers) {
			cfg.Roles = append(cfg.Roles, conf.RoleControl)
		}
		cfg.DataDir = filepath.Join(d.dir, cfg.Host)
		cfg.LinkAddr, cfg.APIAddr, cfg.CallerAddr = d.addr(3*i), d.addr(3*i+1), d.addr(3*i+2)
		cfg.ControlPeers = peers
		cfg.DrainTimeout = conf.Duration(time.Second)
		configs = append(configs, cfg)
	}
	return configs
}

func (d *deployment) groupName(i int) string { return fmt.Sprintf("%s-%d", d.site.Name, i+1) }

// startServers starts the backend servers of all groups, spread over the data centres.
func (d *deployment) startServers() error {
	n := 0
	for g := range d.site.Groups {
		for i := range d.site.GroupSize {
			name := fmt.Sprintf("%s-%c", d.groupName(g), 'a'+i)
			s := &server{addr: d.addr(100 + n), cfg: stand.Config{
				Name: name, Group: d.groupName(g), Center: d.site.Centers[i%len(d.site.Centers)], Dir: filepath.Join(d.dir, name),
				Hosts: []string{d.hosts[0].Config.APIAddr, d.hosts[3].Config.APIAddr}, Slots: stand.DefaultSlots,
				MaxConnections: d.site.MaxConnections, ConnectCost: stand.DefaultConnectCost,
				Lag: d.site.ReplicationLags[i%len(d.site.ReplicationLags)], StatementCost: d.site.StatementTime,
			}}
			n++
			d.servers[name] = s
			if err := s.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *server) start() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.cfg.Listener = ln
	if s.instance, err = stand.New(s.cfg); err != nil {
		ln.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = s.instance.Run(ctx)
	return nil
}

// kill stops the server abruptly: its clients see their connections break.
func (s *server) kill() { s.cancel() }

// restart starts a killed server again after it has stopped completely.
func (s *server) restart() error {
	<-s.done
	return s.start()
}

// declareGroups declares the groups and waits until each accepts writes.
func (d *deployment) declareGroups(ctx context.Context) error {
	deadline := time.Now().Add(waitTimeout)
	for g := range d.site.Groups {
		for {
			err := d.declareGroup(ctx, d.groupName(g))
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("group %s does not accept writes: %w", d.groupName(g), err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// declareGroup declares a group and creates its test table.
func (d *deployment) declareGroup(ctx context.Context, name string) error {
	body := fmt.Sprintf(`{"spec":{"size":%d,"acks":2,"connections":%d}}`, d.site.GroupSize, d.site.MaxConnections)
	if err := d.put(ctx, "groups/"+name, body); err != nil {
		return err
	}
	conn, err := d.connect(ctx, 0, name, "setup")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS stock (id INTEGER PRIMARY KEY, n INTEGER)").ReadAll()
	return err
}

// put sends a PUT request with a JSON body to the API of the first host.
func (d *deployment) put(ctx context.Context, path, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.hosts[0].Config.APIAddr+"/v1/"+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return nil
}

// connect opens a connection as a caller to host i modulo the number of hosts, with CallerLatency.
func (d *deployment) connect(ctx context.Context, i int, group, user string) (*pgconn.PgConn, error) {
	h := d.hosts[i%len(d.hosts)]
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, h.Config.CallerAddr, group))
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) {
		return d.net.dial(ctx, addr, d.site.CallerLatency)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return pgconn.ConnectConfig(ctx, cfg)
}

// sumCounter returns the sum of a counter over all hosts.
func (d *deployment) sumCounter(name string) int64 {
	var total int64
	for _, h := range d.hosts {
		total += h.Meter.CounterValue(name)
	}
	return total
}

// stop stops all hosts and servers and removes their data.
func (d *deployment) stop() {
	d.cancel()
	for _, done := range d.hostsDone {
		<-done
	}
	for _, s := range d.servers {
		if s.cancel != nil {
			s.kill()
			<-s.done
		}
	}
	os.RemoveAll(d.dir)
}
