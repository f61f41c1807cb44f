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
	devHosts        = 5
	devControlHosts = 3
	devInstances    = 3
	devGroup        = "parts-ledger"
	// devLinkPortOffset and devBackendPortOffset are added to the API port to get the first port for
	// connections between hosts and the port of the first backend server.
	devLinkPortOffset    = 10
	devBackendPortOffset = 20
	devStartTimeout      = 30 * time.Second
	devPollInterval      = 50 * time.Millisecond
)

// devCenters are the data centres over which hosts and backend servers are spread.
var devCenters = []string{"kingston", "spanish-town", "may-pen"}

type devCommand struct {
	baseCommand
	Address    string `long:"address" default:"127.0.0.1" description:"address to listen on"`
	CallerPort int    `long:"caller-port" default:"6432" description:"port for callers of the first entry host; the second has the next port"`
	APIPort    int    `long:"api-port" default:"6480" description:"port of the API of the first host; the others, the links and the backend servers have the next 23 ports"`
	Data       string `long:"data" value-name:"DIR" description:"folder for all files; without one a temporary folder is used and removed"`
	Verbose    bool   `long:"verbose" description:"log to standard error"`
}

// Execute runs the deployment until it is interrupted.
func (c *devCommand) Execute([]string) error {
	dir, remove, err := c.dataDir()
	if err != nil {
		return err
	}
	defer remove()
	configs := c.hostConfigs(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exits := make(chan error, devHosts+devInstances)
	running, err := c.startAll(ctx, configs, dir, exits)
	if err != nil {
		return err
	}
	err = c.printWhenReady(configs)
	if err == nil {
		select {
		case <-c.env.ctx.Done():
		case err = <-exits:
			running--
		}
	}
	cancel()
	for range running {
		if e := <-exits; err == nil {
			err = e
		}
	}
	return err
}

// dataDir returns the folder for all files and a function that removes it if it is temporary.
func (c *devCommand) dataDir() (string, func(), error) {
	if c.Data != "" {
		return c.Data, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "agatespindle-dev-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// hostConfigs returns the settings of all hosts: the control hosts first, then the entry hosts.
func (c *devCommand) hostConfigs(dir string) []conf.Config {
	addr := func(port int) string { return net.JoinHostPort(c.Address, strconv.Itoa(port)) }
	var peers []conf.Peer
	for i := range devControlHosts {
		peers = append(peers, conf.Peer{Host: fmt.Sprintf("host-%d", i+1), LinkAddr: addr(c.APIPort + devLinkPortOffset + i)})
	}
	var list []conf.Config
	for i := range devHosts {
		cfg := conf.Default()
		cfg.Host = fmt.Sprintf("host-%d", i+1)
		cfg.DataCentre = devCenters[i%len(devCenters)]
		cfg.Roles = []conf.Role{conf.RoleControl}
		cfg.DataDir = filepath.Join(dir, cfg.Host)
		cfg.LinkAddr = addr(c.APIPort + devLinkPortOffset + i)
		cfg.APIAddr = addr(c.APIPort + i)
		cfg.ControlPeers = peers
		cfg.DrainTimeout = conf.Duration(3 * time.Second)
		if i >= devControlHosts {
			cfg.Roles = []conf.Role{conf.RoleEntry}
			cfg.CallerAddr = addr(c.CallerPort + i - devControlHosts)
		}
		list = append(list, cfg)
	}
	return list
}

// startAll starts all hosts and backend servers. It returns the number of those started, also after
// an error. Each sends one value to exits when it stops.
func (c *devCommand) startAll(ctx context.Context, configs []conf.Config, dir string, exits chan<- error) (int, error) {
	started := 0
	out := io.Discard
	if c.Verbose {
		out = c.env.stderr
	}
	for _, cfg := range configs {
		h, err := host.New(host.Options{Config: cfg, Log: out})
		if err != nil {
			return started, err
		}
		started++
		go func() { exits <- h.Run(ctx) }()
	}
	for i := range devInstances {
		ln, err := net.Listen("tcp", net.JoinHostPort(c.Address, strconv.Itoa(c.APIPort+devBackendPortOffset+i)))
		if err != nil {
			return started, err
		}
		name := fmt.Sprintf("%s-%c", devGroup, 'a'+i)
		in, err := stand.New(stand.Config{
			Name: name, Group: devGroup, Center: devCenters[i], Listener: ln, Dir: filepath.Join(dir, name),
			Hosts: []string{configs[0].APIAddr, configs[3].APIAddr, configs[4].APIAddr}, Slots: stand.DefaultSlots,
			MaxConnections: stand.DefaultMaxConnections, ConnectCost: stand.DefaultConnectCost,
		})
		if err != nil {
			return started, err
		}
		started++
		go func() { exits <- <-in.Run(ctx) }()
	}
	return started, nil
}

// readyEvent is the JSON line that is printed once callers are served.
type readyEvent struct {
	Event    string   `json:"event"`
	Caller   string   `json:"caller"`
	Callers  []string `json:"callers"`
	API      string   `json:"api"`
	Database string   `json:"database"`
}

// printWhenReady declares the database and prints a readyEvent once callers are served. It returns
// an error if that takes longer than devStartTimeout.
func (c *devCommand) printWhenReady(configs []conf.Config) error {
	entries := configs[devControlHosts:]
	cl := &apiClient{baseCommand: c.baseCommand, API: configs[0].APIAddr}
	deadline := time.Now().Add(devStartTimeout)
	for {
		err := c.declareResources(cl)
		if err == nil {
			err = c.checkServed(entries)
		}
		if err == nil {
			return json.NewEncoder(c.env.stdout).Encode(readyEvent{
				Event: "ready", Caller: entries[0].CallerAddr, Callers: []string{entries[0].CallerAddr, entries[1].CallerAddr},
				API: configs[0].APIAddr, Database: devGroup,
			})
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("callers not served within %s: %w", devStartTimeout, err)
		}
		select {
		case <-c.env.ctx.Done():
			return c.env.ctx.Err()
		case <-time.After(devPollInterval):
		}
	}
}

// declareResources declares the database group and the service of the same name.
func (c *devCommand) declareResources(cl *apiClient) error {
	var r rest.Resource
	if err := cl.call(http.MethodPut, "groups/"+devGroup, []byte(`{"spec":{"size":3,"acks":2,"home":"kingston"}}`), &r); err != nil {
		return err
	}
	return cl.call(http.MethodPut, "services/"+devGroup, []byte(`{"spec":{"groups":["`+devGroup+`"]}}`), &r)
}

// checkServed runs a statement through each entry host and returns the first error.
func (c *devCommand) checkServed(entries []conf.Config) error {
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
