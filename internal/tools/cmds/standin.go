package cmds

import (
	"net"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/stand"
)

type standinCommand struct {
	baseCommand
	Name        string        `long:"name" required:"yes" description:"name of the instance"`
	Group       string        `long:"group" required:"yes" description:"its database group"`
	Center      string        `long:"center" default:"kingston" description:"its data centre"`
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"address to accept connections"`
	Data        string        `long:"data" required:"yes" description:"folder for its log"`
	Hosts       []string      `long:"host" description:"API address to announce to; may be repeated"`
	Slots       int           `long:"slots" default:"2" description:"statements that run at once"`
	Connections int           `long:"connections" default:"16" description:"connections that are accepted"`
	ConnectCost time.Duration `long:"connect-cost" default:"12ms" description:"time that a new connection takes"`
	Cost        time.Duration `long:"cost" default:"0s" description:"time that a statement takes in its slot"`
	Lag         time.Duration `long:"lag" default:"0s" description:"delay of replication"`
}

// Execute runs the stand-in backend server until it is interrupted.
func (c *standinCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	in, err := stand.New(stand.Config{
		Name: c.Name, Group: c.Group, Center: c.Center, Listener: ln, Dir: c.Data, Hosts: c.Hosts, Slots: c.Slots,
		MaxConnections: c.Connections, ConnectCost: c.ConnectCost, StatementCost: c.Cost, Lag: c.Lag,
	})
	if err != nil {
		return err
	}
	return <-in.Run(c.env.ctx)
}
