// Command synccopies plays the planned replacement of a primary whose service has sync_replicas 1, while
// one replica is cut off from the machines of the system. It checks that each commit that a client was
// told of is in the log of the instance that was promoted.
package main

import (
	"fmt"
	"os"
	"time"

	"agatespindle.review/rig"
)

const (
	services = 3
	// cutLength is the length of the cut of one of the ten instances.
	cutLength = 5500 * time.Millisecond
)

func main() {
	os.Exit(rig.Main(os.Args[1], play))
}

func play(r *rig.Rig) ([]string, error) {
	groups, err := r.StartDeployment(services, 1)
	if err != nil {
		return nil, err
	}
	g := groups[0]
	load := &rig.Workload{Rig: r, Database: g.Database(), Clients: 4, Pause: 600 * time.Millisecond}
	load.Start()
	time.Sleep(3 * time.Second)
	// A release: the new instance starts first, then the old one drains.
	primary, cut := g.Member(0), g.Member(2)
	if _, err := g.Start("i-a4", 104, primary.Zone); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if rig.Trouble() {
		cut.Cut(cutLength)
	}
	time.Sleep(time.Second)
	load.AwaitWrites()
	primary.Drain()
	time.Sleep(9 * time.Second)
	commits := load.Stop()
	id, term := g.Primary()
	r.Logf("%d commits acknowledged to clients; %s leads term %d", len(commits), id, term)
	if len(commits) < 30 || term < 2 {
		return nil, fmt.Errorf("%w: %d commits, term %d", rig.ErrCannotRun, len(commits), term)
	}
	return g.Lost(commits), nil
}
