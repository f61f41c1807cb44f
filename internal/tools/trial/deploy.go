// Package trial provides measurements: both deployments of the users at their sizes and
// latencies, in one process, and the slopes for the target's size.
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

// Site is a deployment.
type Site struct {
	Name    string
	Centers []string
	// Between and Client are one-way latencies between data centres and to callers.
	Between time.Duration
	Client  time.Duration
	Groups  int
	Size    int
	// Connections is what an instance accepts.
	Connections int
	Hosts       int
	// Lags are the delays of replication, by instance in turn.
	Lags []time.Duration
	// Cost is the time of a statement in its slot.
	Cost time.Duration
}

// The deployments of the users.
var (
	BlueMountain = Site{
		Name: "blue-mountain", Centers: []string{"kingston", "spanish-town", "may-pen"}, Between: 500 * time.Microsecond,
		Client: time.Millisecond, Groups: 3, Size: 3, Connections: 16, Hosts: 7,
		Lags: []time.Duration{5 * time.Millisecond}, Cost: time.Millisecond,
	}
	Forening = Site{
		Name: "forening", Centers: []string{"dk-east-a", "dk-east-b", "dk-east-c", "dk-east-d"}, Between: 1500 * time.Microsecond,
		Client: 3 * time.Millisecond, Groups: 3, Size: 3, Connections: 30, Hosts: 7,
		Lags: []time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 2 * time.Second}, Cost: time.Millisecond,
	}
)

// deployment is a site that runs.
type deployment struct {
	site    Site
	dir     string
	net     *network
	hosts   []*host.Host
	servers map[string]*server
	cancel  context.CancelFunc
	ended   []<-chan error
	port    int
}

// server is a stand-in with what it takes to start it again.
type server struct {
	cfg      stand.Config
	addr     string
	instance *stand.Instance
	cancel   context.CancelFunc
	done     <-chan error
}

const (
	trialPort  = 15000
	readyLimit = 60 * time.Second
)

// start starts a site; routes are nil for the defaults.
func start(ctx context.Context, site Site, port int, routes *route.Options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "agatespindle-trial-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &deployment{site: site, dir: dir, net: &network{cut: map[string]bool{}}, servers: map[string]*server{}, cancel: cancel, port: port}
	for _, cfg := range d.configs() {
		h, err := host.New(host.Options{Config: cfg, Log: io.Discard, Routes: routes, Dial: d.dialHost, Server: d.adapter})
		if err != nil {
			d.stop()
			return nil, err
		}
		h.Holder.OnPrimaryRead = d.primaryRead
		d.hosts = append(d.hosts, h)
		done := make(chan error, 1)
		d.ended = append(d.ended, done)
		go func() { done <- h.Run(ctx) }()
	}
	if err := d.startServers(); err != nil {
		d.stop()
		return nil, err
	}
	return d, d.declare(ctx)
}

func (d *deployment) primaryRead(group string, position uint64) {
	for name, s := range d.servers {
		st := s.instance.Status()
		if strings.HasPrefix(name, group+"-") && !st.Primary && st.Following && st.Position >= position {
			d.hosts[0].Meter.AddCounter("reads.missed", 1)
			return
		}
	}
}

func (d *deployment) dialHost(ctx context.Context, addr string) (net.Conn, error) {
	return d.net.dial(ctx, addr, d.site.Between)
}

func (d *deployment) adapter(addr, database string) adapt.Server {
	return d.net.server(addr, database, d.site.Between)
}

func (d *deployment) addr(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.port+offset)
}

// configs returns the hosts' settings: all entry hosts, the first three with control.
func (d *deployment) configs() []conf.Config {
	var peers []conf.Peer
	for i := range 3 {
		peers = append(peers, conf.Peer{Host: fmt.Sprintf("host-%d", i+1), LinkAddr: d.addr(3 * i)})
	}
	var list []conf.Config
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
		list = append(list, cfg)
	}
	return list
}

func (d *deployment) group(i int) string { return fmt.Sprintf("%s-%d", d.site.Name, i+1) }

func (d *deployment) startServers() error {
	n := 0
	for g := range d.site.Groups {
		for i := range d.site.Size {
			name := fmt.Sprintf("%s-%c", d.group(g), 'a'+i)
			s := &server{addr: d.addr(100 + n), cfg: stand.Config{
				Name: name, Group: d.group(g), Center: d.site.Centers[i%len(d.site.Centers)], Dir: filepath.Join(d.dir, name),
				Hosts: []string{d.hosts[0].Config.APIAddr, d.hosts[3].Config.APIAddr}, Slots: stand.DefaultSlots,
				MaxConnections: d.site.Connections, ConnectCost: stand.DefaultConnectCost,
				Lag: d.site.Lags[i%len(d.site.Lags)], StatementCost: d.site.Cost,
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

// kill ends the server at once, as far as its connections show.
func (s *server) kill() { s.cancel() }

// restart starts a server that was killed, once nothing of it runs.
func (s *server) restart() error {
	<-s.done
	return s.start()
}

// declare declares the groups and waits until each takes writes.
func (d *deployment) declare(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for g := range d.site.Groups {
		for {
			err := d.declareGroup(ctx, d.group(g))
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("group %s takes no writes: %w", d.group(g), err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) declareGroup(ctx context.Context, name string) error {
	body := fmt.Sprintf(`{"spec":{"size":%d,"acks":2,"connections":%d}}`, d.site.Size, d.site.Connections)
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

// connect opens a caller's connection to host i, with the latency of callers.
func (d *deployment) connect(ctx context.Context, i int, group, user string) (*pgconn.PgConn, error) {
	h := d.hosts[i%len(d.hosts)]
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, h.Config.CallerAddr, group))
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) {
		return d.net.dial(ctx, addr, d.site.Client)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return pgconn.ConnectConfig(ctx, cfg)
}

// count adds a counter up over all hosts.
func (d *deployment) count(name string) int64 {
	var n int64
	for _, h := range d.hosts {
		n += h.Meter.CounterValue(name)
	}
	return n
}

func (d *deployment) stop() {
	d.cancel()
	for _, done := range d.ended {
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
