// Command drainingcopy plays the crash of a primary whose service has sync_replicas 1, while one replica has
// received nothing for a while and the other one drains. It checks that each commit that a client was told
// of is in the log of the instance that was promoted.
package main

import (
	"fmt"
	"os"
	"time"

	"agatespindle.review/rig"
)

const (
	services = 3
	// deafLength is how long one replica receives nothing.
	deafLength = 6 * time.Second
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
	load := &rig.Workload{Rig: r, Database: g.Database(), Clients: 4, Pause: 100 * time.Millisecond}
	load.Start()
	time.Sleep(4 * time.Second)
	primary, deaf, leaving := g.Member(0), g.Member(1), g.Member(2)
	leaving.Drain()
	time.Sleep(time.Second)
	if rig.Trouble() {
		deaf.Deafen(deafLength)
		time.Sleep(2 * time.Second)
		primary.Crash()
	}
	time.Sleep(5 * time.Second)
	commits := load.Stop()
	id, term := g.Primary()
	r.Logf("%d commits acknowledged to clients; %s leads term %d", len(commits), id, term)
	if len(commits) < 30 || rig.Trouble() && term < 2 {
		return nil, fmt.Errorf("%w: %d commits, term %d", rig.ErrCannotRun, len(commits), term)
	}
	return g.Lost(commits), nil
}
