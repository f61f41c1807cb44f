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

// rowsCluster is a deployment with the table that loads write to.
func rowsCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	c := newCluster(t, cfg)
	c.eventually("table is made", func() error {
		return c.try(c.entries()[0], "CREATE TABLE IF NOT EXISTS rows (id INTEGER)")
	})
	return c
}

// quietSpan is how long a group must keep its primary when no harm is done to it: longer
// than any view of an observer counts.
const quietSpan = 2500 * time.Millisecond

// gap runs a load, does harm to the primary and logs how long writes were impossible.
func (c *cluster) gap(l *load, what string, harm func(primary string)) (primary string) {
	c.t.Helper()
	l.waitAcked(time.Now(), 20)
	before := c.group()
	time.Sleep(quietSpan)
	if now := c.group(); now.Term != before.Term {
		c.t.Errorf("term went from %d to %d without harm", before.Term, now.Term)
		before = now
	}
	at := time.Now()
	harm(before.Primary)
	c.eventually("another term is open", func() error {
		g := c.group()
		if g.Term <= before.Term || g.Phase != "open" || g.Primary == before.Primary {
			return fmt.Errorf("group is %+v", g)
		}
		return nil
	})
	opened := time.Since(at)
	if g := c.group(); g.Term != before.Term+1 {
		c.t.Errorf("%s: term went from %d to %d, not up by one", what, before.Term, g.Term)
	}
	l.mu.Lock()
	var last time.Time
	for _, t := range l.acked {
		if t.Sub(at) < 100*time.Millisecond && t.After(last) {
			last = t
		}
	}
	l.mu.Unlock()
	first := l.waitAcked(at.Add(150*time.Millisecond), 20)
	c.t.Logf("%s: open seen after %s, first write acknowledged %s after the harm", what, opened.Round(time.Millisecond), first.Sub(at).Round(time.Millisecond))
	return before.Primary
}

func TestFailoverLosesAndDoublesNothing(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 3, Lag: 5 * time.Millisecond})
	l := startLoad(c, 6)
	for range 2 {
		killed := c.gap(l, "killed", c.kill)
		c.start(killed)
		c.awaitReplicas()
		frozen := c.gap(l, "frozen", func(p string) { c.signal(p, syscall.SIGSTOP) })
		c.signal(frozen, syscall.SIGCONT)
		c.awaitReplicas()
	}
	l.finish(t)
}

// awaitReplicas waits until every backend server follows, by failing over being possible:
// each one announces itself and answers a read.
func (c *cluster) awaitReplicas() {
	c.t.Helper()
	c.eventually("all backend servers follow", func() error {
		g := c.group()
		if g.Phase != "open" {
			return fmt.Errorf("group is %s", g.Phase)
		}
		return c.allFollow(g)
	})
}

func TestFailoverWithLeaderOrHolderLost(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 3, Lag: 5 * time.Millisecond})
	l := startLoad(c, 6)
	leader := c.leader()
	killed := c.gap(l, "killed with the control leader", func(p string) { c.kill(leader); c.kill(p) })
	c.start(leader)
	c.start(killed)
	c.awaitReplicas()
	holder := c.group().Holder
	killed = c.gap(l, "killed with the holder", func(p string) { c.kill(holder); c.kill(p) })
	c.start(holder)
	c.start(killed)
	c.awaitReplicas()
	l.finish(t)
}

// TestBackendServerLosesItsDisk takes the disk of a primary, then, once the server is counted
// again, kills the primary after it.
func TestBackendServerLosesItsDisk(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 2, Lag: 5 * time.Millisecond})
	l := startLoad(c, 4)
	for range 2 {
		before := c.group()
		lost := c.gap(l, "killed with its disk", c.kill)
		if err := os.RemoveAll(filepath.Join(c.dir, lost)); err != nil {
			t.Fatal(err)
		}
		c.start(lost)
		c.awaitReplicas()
		c.eventually("the new disk counts", func() error {
			if g := c.group(); g.Disks[lost] == "" || g.Disks[lost] == before.Disks[lost] {
				return fmt.Errorf("disks are %v", g.Disks)
			}
			return nil
		})
	}
	l.finish(t)
}

func TestPlannedHandOverRunsEverything(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 2, Lag: 5 * time.Millisecond})
	l := startLoad(c, 4)
	for range 3 {
		left := c.gap(l, "leaving", func(p string) { c.put("backendservers", p, `{"leaving":true}`) })
		c.put("backendservers", left, `{"leaving":false}`)
		c.awaitReplicas()
	}
	l.finish(t)
	if len(l.notRun)+len(l.maybe) > 0 {
		t.Errorf("a planned hand-over failed requests: %d not run, %d unknown", len(l.notRun), len(l.maybe))
	}
}

func TestRollingRestartFailsNothing(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 3, Lag: 5 * time.Millisecond})
	l := startLoad(c, 6)
	for _, name := range c.names {
		l.waitAcked(time.Now(), 20)
		if code := c.shutdown(name); code != 0 {
			t.Errorf("%s ended with code %d", name, code)
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
	l.waitAcked(time.Now(), 20)
	l.finish(t)
	if len(l.maybe) > 0 {
		t.Errorf("a rolling restart left %d requests with an unknown outcome", len(l.maybe))
	}
}
