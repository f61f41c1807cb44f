package whole_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// newClusterWithRowsTable starts a deployment and creates the table that the loads write to.
func newClusterWithRowsTable(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	c := newCluster(t, cfg)
	c.eventually("table rows is created", func() error {
		return c.tryStatement(c.entryHosts()[0], "CREATE TABLE IF NOT EXISTS rows (id INTEGER)")
	})
	return c
}

// stableWait is how long a group must keep its primary while no fault is injected. It is longer than
// the health report of an observing host stays valid, so that the wait covers any failover that an
// earlier report causes.
const stableWait = 2500 * time.Millisecond

// measureFailover injects a fault into the primary under load, checks that the term rises by exactly
// one, and returns the name of the old primary. It logs the time from the fault until the group is
// open again, and until the first write acknowledged at least 150 ms after the fault; earlier
// acknowledgments are taken to come from the old primary.
func (c *cluster) measureFailover(l *load, fault string, injectFault func(primary string)) (primary string) {
	c.t.Helper()
	l.waitForAcks(time.Now(), 20)
	before := c.groupStatus()
	time.Sleep(stableWait)
	if now := c.groupStatus(); now.Term != before.Term {
		c.t.Errorf("term changed from %d to %d without a fault", before.Term, now.Term)
		before = now
	}
	faultTime := time.Now()
	injectFault(before.Primary)
	c.eventually("group is open with another term and primary", func() error {
		g := c.groupStatus()
		if g.Term <= before.Term || g.Phase != "open" || g.Primary == before.Primary {
			return fmt.Errorf("group status is %+v", g)
		}
		return nil
	})
	openAfter := time.Since(faultTime)
	if g := c.groupStatus(); g.Term != before.Term+1 {
		c.t.Errorf("%s: term changed from %d to %d, want an increase of 1", fault, before.Term, g.Term)
	}
	l.mu.Lock()
	var lastAck time.Time
	for _, t := range l.acked {
		if t.Sub(faultTime) < 100*time.Millisecond && t.After(lastAck) {
			lastAck = t
		}
	}
	l.mu.Unlock()
	firstAck := l.waitForAcks(faultTime.Add(150*time.Millisecond), 20)
	c.t.Logf("%s: group open after %s, first write acknowledged %s after the fault", fault, openAfter.Round(time.Millisecond), firstAck.Sub(faultTime).Round(time.Millisecond))
	return before.Primary
}

// TestFailoverNeitherLosesNorDuplicatesWrites kills and freezes the primary in turn under load.
func TestFailoverNeitherLosesNorDuplicatesWrites(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 3, ReplicationLag: 5 * time.Millisecond})
	l := startLoad(c, 6)
	for range 2 {
		killed := c.measureFailover(l, "primary killed", c.kill)
		c.start(killed)
		c.waitForReplicas()
		frozen := c.measureFailover(l, "primary frozen", func(p string) { c.signal(p, syscall.SIGSTOP) })
		c.signal(frozen, syscall.SIGCONT)
		c.waitForReplicas()
	}
	l.stopAndCheck(t)
}

// waitForReplicas waits until the group is open and every backend server follows its term, so that
// another failover is possible.
func (c *cluster) waitForReplicas() {
	c.t.Helper()
	c.eventually("all backend servers follow", func() error {
		g := c.groupStatus()
		if g.Phase != "open" {
			return fmt.Errorf("group is in phase %s", g.Phase)
		}
		return c.checkServersFollow(g)
	})
}

// TestFailoverWhenControlLeaderOrHolderIsKilled kills the primary together with the control leader,
// then together with the holder.
func TestFailoverWhenControlLeaderOrHolderIsKilled(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 3, ReplicationLag: 5 * time.Millisecond})
	l := startLoad(c, 6)
	leader := c.controlLeader()
	killed := c.measureFailover(l, "primary and control leader killed", func(p string) { c.kill(leader); c.kill(p) })
	c.start(leader)
	c.start(killed)
	c.waitForReplicas()
	holder := c.groupStatus().Holder
	killed = c.measureFailover(l, "primary and holder killed", func(p string) { c.kill(holder); c.kill(p) })
	c.start(holder)
	c.start(killed)
	c.waitForReplicas()
	l.stopAndCheck(t)
}

// TestBackendServerLosesItsDisk kills the primary and deletes its data. Once the group has recorded
// the server's new disk, it does the same to the next primary.
func TestBackendServerLosesItsDisk(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 2, ReplicationLag: 5 * time.Millisecond})
	l := startLoad(c, 4)
	for range 2 {
		before := c.groupStatus()
		lost := c.measureFailover(l, "primary killed and its disk lost", c.kill)
		if err := os.RemoveAll(filepath.Join(c.dir, lost)); err != nil {
			t.Fatal(err)
		}
		c.start(lost)
		c.waitForReplicas()
		c.eventually("the group records the new disk", func() error {
			if g := c.groupStatus(); g.Disks[lost] == "" || g.Disks[lost] == before.Disks[lost] {
				return fmt.Errorf("group has disks %v", g.Disks)
			}
			return nil
		})
	}
	l.stopAndCheck(t)
}

// TestPlannedHandOverRunsEverything moves the primary by marking its backend server as leaving, and
// checks that no request fails.
func TestPlannedHandOverRunsEverything(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 2, ReplicationLag: 5 * time.Millisecond})
	l := startLoad(c, 4)
	for range 3 {
		drained := c.measureFailover(l, "primary leaving", func(p string) { c.mustPut("backendservers", p, `{"leaving":true}`) })
		c.mustPut("backendservers", drained, `{"leaving":false}`)
		c.waitForReplicas()
	}
	l.stopAndCheck(t)
	if len(l.notRun)+len(l.unknown) > 0 {
		t.Errorf("planned switchover failed requests: %d not run, %d with an unknown outcome", len(l.notRun), len(l.unknown))
	}
}

// TestRollingRestartLeavesNoUnknownOutcomes restarts all hosts gracefully, one after another, under
// load.
func TestRollingRestartLeavesNoUnknownOutcomes(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 3, ReplicationLag: 5 * time.Millisecond})
	l := startLoad(c, 6)
	for _, name := range c.hosts {
		l.waitForAcks(time.Now(), 20)
		if code := c.shutdown(name); code != 0 {
			t.Errorf("%s exited with code %d, want 0", name, code)
		}
		c.start(name)
		c.eventually(name+" is ready", func() error {
			resp, err := http.Get("http://" + c.configs[name].APIAddr + "/readyz")
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			return nil
		})
	}
	l.waitForAcks(time.Now(), 20)
	l.stopAndCheck(t)
	if len(l.unknown) > 0 {
		t.Errorf("rolling restart left %d writes with an unknown outcome", len(l.unknown))
	}
}
