package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/agatespindle/agatespindle/internal/backend/stand"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/control/rest"
	"github.com/agatespindle/agatespindle/internal/tools/host"
)

const (
	devHosts     = 5
	devControl   = 3
	devInstances = 3
	devGroup     = "parts-ledger"
	// devLinks and devServers are the distances from the API's port to the first port between
	// hosts and to that of the first backend server.
	devLinks   = 10
	devServers = 20
	devLimit   = 30 * time.Second
	devPoll    = 50 * time.Millisecond
)

var devCenters = []string{"kingston", "spanish-town", "may-pen"}

type devCommand struct {
	base
	Address    string `long:"address" default:"127.0.0.1" description:"address to listen on"`
	CallerPort int    `long:"caller-port" default:"6432" description:"port for callers of the first entry host; the second has the next port"`
	APIPort    int    `long:"api-port" default:"6480" description:"port of the API of the first host; the others, the links and the backend servers have the next 23 ports"`
	Data       string `long:"data" value-name:"DIR" description:"folder for all files; without one a temporary folder is used and removed"`
	Verbose    bool   `long:"verbose" description:"log to standard error"`
}

// Execute runs the deployment until it is interrupted.
func (c *devCommand) Execute([]string) error {
	dir, remove, err := c.folder()
	if err != nil {
		return err
	}
	defer remove()
	configs := c.configs(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, devHosts+devInstances)
	n, err := c.startAll(ctx, configs, dir, ended)
	if err != nil {
		return err
	}
	err = c.announceReady(configs)
	if err == nil {
		select {
		case <-c.env.ctx.Done():
		case err = <-ended:
			n--
		}
	}
	cancel()
	for range n {
		if e := <-ended; err == nil {
			err = e
		}
	}
	return err
}

func (c *devCommand) folder() (string, func(), error) {
	if c.Data != "" {
		return c.Data, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "agatespindle-dev-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// configs returns the settings of all hosts: the first ones control, the last two entry.
func (c *devCommand) configs(dir string) []conf.Config {
	addr := func(port int) string { return net.JoinHostPort(c.Address, strconv.Itoa(port)) }
	var peers []conf.Peer
	for i := range devControl {
		peers = append(peers, conf.Peer{Host: fmt.Sprintf("host-%d", i+1), LinkAddr: addr(c.APIPort + devLinks + i)})
	}
	var list []conf.Config
	for i := range devHosts {
		cfg := conf.Default()
		cfg.Host = fmt.Sprintf("host-%d", i+1)
		cfg.DataCentre = devCenters[i%len(devCenters)]
		cfg.Roles = []conf.Role{conf.RoleControl}
		cfg.DataDir = filepath.Join(dir, cfg.Host)
		cfg.LinkAddr = addr(c.APIPort + devLinks + i)
		cfg.APIAddr = addr(c.APIPort + i)
		cfg.ControlPeers = peers
		cfg.DrainTimeout = conf.Duration(3 * time.Second)
		if i >= devControl {
			cfg.Roles = []conf.Role{conf.RoleEntry}
			cfg.CallerAddr = addr(c.CallerPort + i - devControl)
		}
		list = append(list, cfg)
	}
	return list
}

// startAll starts hosts and instances; it returns how many ends to wait for.
func (c *devCommand) startAll(ctx context.Context, configs []conf.Config, dir string, ended chan<- error) (int, error) {
	n := 0
	out := io.Discard
	if c.Verbose {
		out = c.env.stderr
	}
	for _, cfg := range configs {
		h, err := host.New(host.Options{Config: cfg, Log: out})
		if err != nil {
			return n, err
		}
		n++
		go func() { ended <- h.Run(ctx) }()
	}
	for i := range devInstances {
		ln, err := net.Listen("tcp", net.JoinHostPort(c.Address, strconv.Itoa(c.APIPort+devServers+i)))
		if err != nil {
			return n, err
		}
		name := fmt.Sprintf("%s-%c", devGroup, 'a'+i)
		in, err := stand.New(stand.Config{
			Name: name, Group: devGroup, Center: devCenters[i], Listener: ln, Dir: filepath.Join(dir, name),
			Hosts: []string{configs[0].APIAddr, configs[3].APIAddr, configs[4].APIAddr}, Slots: stand.DefaultSlots,
			Connections: stand.DefaultConnections, ConnectCost: stand.DefaultConnectCost,
		})
		if err != nil {
			return n, err
		}
		n++
		go func() { ended <- <-in.Run(ctx) }()
	}
	return n, nil
}

// devReady is the line that tells that callers are served.
type devReady struct {
	Event    string   `json:"event"`
	Caller   string   `json:"caller"`
	Callers  []string `json:"callers"`
	API      string   `json:"api"`
	Database string   `json:"database"`
}

// announceReady declares the group and prints one line once callers are served.
func (c *devCommand) announceReady(configs []conf.Config) error {
	entries := configs[devControl:]
	cl := &client{base: c.base, API: configs[0].APIAddr}
	deadline := time.Now().Add(devLimit)
	for {
		err := c.declare(cl)
		if err == nil {
			err = c.served(entries)
		}
		if err == nil {
			return json.NewEncoder(c.env.stdout).Encode(devReady{
				Event: "ready", Caller: entries[0].CallerAddr, Callers: []string{entries[0].CallerAddr, entries[1].CallerAddr},
				API: configs[0].APIAddr, Database: devGroup,
			})
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("callers are not served after %s: %w", devLimit, err)
		}
		select {
		case <-c.env.ctx.Done():
			return c.env.ctx.Err()
		case <-time.After(devPoll):
		}
	}
}

func (c *devCommand) declare(cl *client) error {
	var r rest.Resource
	if err := cl.call(http.MethodPut, "groups/"+devGroup, []byte(`{"spec":{"size":3,"acks":2,"home":"kingston"}}`), &r); err != nil {
		return err
	}
	return cl.call(http.MethodPut, "services/"+devGroup, []byte(`{"spec":{"groups":["`+devGroup+`"]}}`), &r)
}

// served runs a statement through each entry host.
func (c *devCommand) served(entries []conf.Config) error {
	for _, cfg := range entries {
		ctx, cancel := context.WithTimeout(c.env.ctx, 2*time.Second)
		conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://dev@%s/%s?sslmode=disable", cfg.CallerAddr, devGroup))
		if err == nil {
			_, err = conn.Exec(ctx, "SELECT 1").ReadAll()
			conn.Close(ctx)
		}
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
