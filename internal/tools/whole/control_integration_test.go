package whole_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/rest"
)

// putCallerRate sets a caller's rate limit (statements per second) through the API of a host. It
// returns the HTTP status and, if that is 200, the resource.
func (c *cluster) putCallerRate(host, name string, rate int, header http.Header) (int, rest.Resource, error) {
	var r rest.Resource
	var answer json.RawMessage
	code, err := c.request(host, http.MethodPut, "callers/"+name, fmt.Sprintf(`{"spec":{"rate":%d}}`, rate), header, &answer)
	if err == nil && code == http.StatusOK {
		err = json.Unmarshal(answer, &r)
	}
	return code, r, err
}

// mustPutCallerRate sets a caller's rate limit and retries until the change is accepted. A request
// id makes the retries idempotent.
func (c *cluster) mustPutCallerRate(host, name string, rate int) rest.Resource {
	c.t.Helper()
	var r rest.Resource
	header := http.Header{rest.HeaderRequestID: {fmt.Sprintf("%s-%d", name, rate)}}
	c.eventually("change caller "+name, func() error {
		code, got, err := c.putCallerRate(host, name, rate, header)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("status %d", code)
		}
		r = got
		return err
	})
	return r
}

// callerSpec returns a caller's spec (JSON) as the host reports it.
func (c *cluster) callerSpec(host, name string) string {
	c.t.Helper()
	var r rest.Resource
	c.eventually("get caller "+name, func() error {
		code, err := c.request(host, http.MethodGet, "callers/"+name, "", nil, &r)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("status %d", code)
		}
		return err
	})
	return string(r.Spec)
}

func TestControlLeaderFrozenForLongLosesNoChanges(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	l := startLoad(c, 3)
	frozenLeader := c.controlLeader()
	c.mustPutCallerRate("entry-1", "x", 1)
	c.signal(frozenLeader, syscall.SIGSTOP)
	c.mustPutCallerRate("entry-1", "x", 2)
	for i := range 20 {
		c.mustPutCallerRate("entry-2", "y", i)
	}
	frozenFor := 5 * time.Second
	time.Sleep(frozenFor)
	c.signal(frozenLeader, syscall.SIGCONT)
	Convey("Every host reports the changes made while the old leader was frozen", t, func() {
		for _, host := range c.hosts {
			So(c.callerSpec(host, "x"), ShouldContainSubstring, `"rate": 2`)
			So(c.callerSpec(host, "y"), ShouldContainSubstring, `"rate": 19`)
		}
		So(c.mustPutCallerRate(frozenLeader, "x", 3).Version, ShouldBeGreaterThan, 0)
	})
	l.waitForAcks(time.Now(), 20)
	l.stopAndCheck(t)
}

// TestOperatorsRaceWithOneNumber sends concurrent changes that all expect the same resource version.
func TestOperatorsRaceWithOneNumber(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	Convey("Of concurrent changes to the same version exactly one is accepted", t, func() {
		version := c.mustPutCallerRate("entry-1", "x", 1).Version
		for round := range 5 {
			codes := make(chan int, 6)
			for i := range 6 {
				host := c.hosts[i%len(c.hosts)]
				go func() {
					code, _, err := c.putCallerRate(host, "x", 1000*round+i+2, http.Header{rest.HeaderIfMatch: {fmt.Sprint(version)}})
					if err != nil {
						code = -1
					}
					codes <- code
				}()
			}
			count := map[int]int{}
			for range 6 {
				count[<-codes]++
			}
			So(count[http.StatusOK], ShouldEqual, 1)
			So(count[http.StatusConflict], ShouldEqual, 5)
			var r rest.Resource
			_, err := c.request("entry-2", http.MethodGet, "callers/x", "", nil, &r)
			So(err, ShouldBeNil)
			version = r.Version
		}
	})
	Convey("A retried change gets its original answer after the leader was killed", t, func() {
		header := http.Header{rest.HeaderRequestID: {"once"}}
		code, first, err := c.putCallerRate("entry-1", "z", 7, header)
		So(err, ShouldBeNil)
		So(code, ShouldEqual, http.StatusOK)
		c.mustPutCallerRate("entry-1", "z", 8)
		c.kill(c.controlLeader())
		var again rest.Resource
		c.eventually("the retried change is answered", func() error {
			code, again, err = c.putCallerRate("entry-2", "z", 7, header)
			if err == nil && code != http.StatusOK {
				err = fmt.Errorf("status %d", code)
			}
			return err
		})
		So(again.Version, ShouldEqual, first.Version)
		So(c.callerSpec("entry-2", "z"), ShouldContainSubstring, `"rate": 8`)
	})
	Convey("Without a quorum a change fails with verdict NotRun or MayHaveRun", t, func() {
		c.kill(c.controlLeader())
		var p rest.Problem
		code, err := c.request("entry-1", http.MethodPut, "callers/w", `{"spec":{}}`, nil, &p)
		So(err, ShouldBeNil)
		So(code, ShouldBeIn, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
		So(p.Verdict, ShouldBeIn, "NotRun", "MayHaveRun")
	})
}

// TestRestartAfterHundredsOfChanges restarts an entry host and a control host that missed hundreds
// of changes, and checks that they catch up.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	c.mustPutCallerRate("entry-1", "x", 1)
	c.kill("entry-2")
	c.kill("control-1")
	for i := 2; i <= 400; i++ {
		c.mustPutCallerRate("entry-1", fmt.Sprintf("c%d", i%50), i)
	}
	c.mustPut("services", "moved", `{"groups":["`+groupName+`"]}`)
	c.start("entry-2")
	c.start("control-1")
	c.eventually("the restarted entry host serves callers", func() error { return c.tryStatement("entry-2", "SELECT 1") })
	Convey("The restarted hosts apply the latest state", t, func() {
		So(c.callerSpec("entry-2", "c0"), ShouldContainSubstring, `"rate": 400`)
		c.eventually("the latest revision is in force", func() error {
			q, err := c.quorumStatus("control-1")
			if err == nil && q.InForce < q.Revision {
				err = fmt.Errorf("revision %d of %d is in force", q.InForce, q.Revision)
			}
			return err
		})
	})
}

// logIdentity returns the identity (HOST#SUFFIX) under which a control host is a member of the
// replicated log, or "" if it is not a member or the quorum's status is unavailable.
func (c *cluster) logIdentity(host string) string {
	q, err := c.quorumStatus("entry-1")
	if err != nil {
		return ""
	}
	for _, m := range q.Members {
		if strings.HasPrefix(m.ID, host+"#") {
			return m.ID
		}
	}
	return ""
}

// TestControlHostLosesItsDiskThenAnotherHostFails deletes the data of a control host and waits until
// it votes again under a new identity. The quorum must then survive the loss of another host.
func TestControlHostLosesItsDiskThenAnotherHostFails(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	c.mustPutCallerRate("entry-1", "x", 1)
	lostHost := "control-1"
	before := c.logIdentity(lostHost)
	c.kill(lostHost)
	if err := os.RemoveAll(filepath.Join(c.dir, lostHost)); err != nil {
		t.Fatal(err)
	}
	c.start(lostHost)
	var members []rest.Member
	c.eventually("the host is a voter under a new identity, and the quorum tolerates one failure again", func() error {
		q, err := c.quorumStatus("entry-1")
		if err != nil {
			return err
		}
		members = q.Members
		if len(q.Members) != 3 || q.Voters != 3 || q.Margin != 1 || c.logIdentity(lostHost) == before {
			return fmt.Errorf("quorum status is %+v", q)
		}
		return nil
	})
	secondHost := "control-2"
	c.kill(secondHost)
	c.mustPutCallerRate("entry-1", "x", 2)
	Convey("After the repair the quorum tolerates the loss of a second host", t, func() {
		var names []string
		for _, m := range members {
			name, _, _ := strings.Cut(m.ID, "#")
			names = append(names, name)
		}
		So(names, ShouldContain, lostHost)
		So(c.callerSpec("entry-2", "x"), ShouldContainSubstring, `"rate": 2`)
	})
}

// TestChangeComesIntoForceWithHostFrozen checks how soon a change is in force on all serving hosts,
// also while one host is frozen.
func TestChangeComesIntoForceWithHostFrozen(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 3, EntryHosts: 3})
	checkInForce := func(hostState string, limit time.Duration, rate int) {
		at := time.Now()
		r := c.mustPutCallerRate("entry-1", "x", rate)
		c.eventually(hostState, func() error {
			var now rest.Resource
			_, err := c.request("entry-1", http.MethodGet, "callers/x", "", nil, &now)
			if err == nil && (now.Status == nil || !now.Status.InForce || now.Version < r.Version) {
				err = fmt.Errorf("caller status is %+v", now.Status)
			}
			return err
		})
		took := time.Since(at)
		t.Logf("%s: in force after %s", hostState, took.Round(time.Millisecond))
		if took > limit {
			t.Errorf("%s: in force after %s, limit %s", hostState, took, limit)
		}
	}
	checkInForce("all hosts up", 2*time.Second, 1)
	c.signal("entry-3", syscall.SIGSTOP)
	checkInForce("one host frozen", 5*time.Second, 2)
	c.signal("entry-3", syscall.SIGCONT)
	checkInForce("frozen host resumed", 5*time.Second, 3)
}

func TestWatchIsInOrderWithoutGaps(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	first := c.mustPutCallerRate("entry-1", "x", 1)
	for i := 2; i <= 30; i++ {
		c.mustPutCallerRate("entry-1", "x", i)
	}
	Convey("A watch from a revision, through another host, returns every later change in order", t, func() {
		events, err := c.watchUntil("entry-2", "callers", first.Revision, `"rate":30`)
		So(err, ShouldBeNil)
		var rates []string
		var last uint64
		for _, e := range events {
			if e.Resource == nil {
				continue
			}
			So(e.Revision, ShouldBeGreaterThan, last)
			last = e.Revision
			rates = append(rates, string(e.Resource.Spec))
		}
		So(rates, ShouldHaveLength, 29)
	})
	Convey("A watch from a revision whose events are discarded fails with status 410", t, func() {
		_, err := c.watchUntil("entry-2", "callers", 0, "nothing")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "410")
	})
}
