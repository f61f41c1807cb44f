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

// change puts a caller's spec by any host and returns status code and answer.
func (c *cluster) change(host, name string, rate int, header http.Header) (int, rest.Resource, error) {
	var r rest.Resource
	var answer json.RawMessage
	code, err := c.request(host, http.MethodPut, "callers/"+name, fmt.Sprintf(`{"spec":{"rate":%d}}`, rate), header, &answer)
	if err == nil && code == http.StatusOK {
		err = json.Unmarshal(answer, &r)
	}
	return code, r, err
}

// mustChange changes a caller until it is accepted; the request id makes resends harmless.
func (c *cluster) mustChange(host, name string, rate int) rest.Resource {
	c.t.Helper()
	var r rest.Resource
	header := http.Header{rest.HeaderRequestID: {fmt.Sprintf("%s-%d", name, rate)}}
	c.eventually("change of "+name, func() error {
		code, got, err := c.change(host, name, rate, header)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("status %d", code)
		}
		r = got
		return err
	})
	return r
}

// callerSpec returns a caller's spec as a host shows it.
func (c *cluster) callerSpec(host, name string) string {
	c.t.Helper()
	var r rest.Resource
	c.eventually("get "+name, func() error {
		code, err := c.request(host, http.MethodGet, "callers/"+name, "", nil, &r)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("status %d", code)
		}
		return err
	})
	return string(r.Spec)
}

func TestControlLeaderFrozenForLongDoesNoHarm(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 2})
	l := startLoad(c, 3)
	old := c.leader()
	c.mustChange("entry-1", "x", 1)
	c.signal(old, syscall.SIGSTOP)
	c.mustChange("entry-1", "x", 2)
	for i := range 20 {
		c.mustChange("entry-2", "y", i)
	}
	frozenFor := 5 * time.Second
	time.Sleep(frozenFor)
	c.signal(old, syscall.SIGCONT)
	Convey("The changes made without it stay, whoever is asked", t, func() {
		for _, host := range c.names {
			So(c.callerSpec(host, "x"), ShouldContainSubstring, `"rate": 2`)
			So(c.callerSpec(host, "y"), ShouldContainSubstring, `"rate": 19`)
		}
		So(c.mustChange(old, "x", 3).Version, ShouldBeGreaterThan, 0)
	})
	l.waitAcked(time.Now(), 20)
	l.finish(t)
}

func TestOperatorsRaceWithOneNumber(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 3, Entry: 2})
	Convey("Of many changes with the same number one is accepted", t, func() {
		version := c.mustChange("entry-1", "x", 1).Version
		for round := range 5 {
			codes := make(chan int, 6)
			for i := range 6 {
				host := c.names[i%len(c.names)]
				go func() {
					code, _, err := c.change(host, "x", 1000*round+i+2, http.Header{rest.HeaderIfMatch: {fmt.Sprint(version)}})
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
	Convey("A resent change gets its first answer after the leader was lost", t, func() {
		header := http.Header{rest.HeaderRequestID: {"once"}}
		code, first, err := c.change("entry-1", "z", 7, header)
		So(err, ShouldBeNil)
		So(code, ShouldEqual, http.StatusOK)
		c.mustChange("entry-1", "z", 8)
		c.kill(c.leader())
		var again rest.Resource
		c.eventually("the change is answered", func() error {
			code, again, err = c.change("entry-2", "z", 7, header)
			if err == nil && code != http.StatusOK {
				err = fmt.Errorf("status %d", code)
			}
			return err
		})
		So(again.Version, ShouldEqual, first.Version)
		So(c.callerSpec("entry-2", "z"), ShouldContainSubstring, `"rate": 8`)
	})
	Convey("Without a quorum a change says so truthfully", t, func() {
		c.kill(c.leader())
		var p rest.Problem
		code, err := c.request("entry-1", http.MethodPut, "callers/w", `{"spec":{}}`, nil, &p)
		So(err, ShouldBeNil)
		So(code, ShouldBeIn, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
		So(p.Verdict, ShouldBeIn, "NotRun", "MayHaveRun")
	})
}

func TestRestartAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 3, Entry: 2})
	c.mustChange("entry-1", "x", 1)
	c.kill("entry-2")
	c.kill("control-1")
	for i := 2; i <= 400; i++ {
		c.mustChange("entry-1", fmt.Sprintf("c%d", i%50), i)
	}
	c.put("services", "moved", `{"groups":["`+groupName+`"]}`)
	c.start("entry-2")
	c.start("control-1")
	c.eventually("callers are served again", func() error { return c.try("entry-2", "SELECT 1") })
	Convey("The restarted hosts act on the latest state", t, func() {
		So(c.callerSpec("entry-2", "c0"), ShouldContainSubstring, `"rate": 400`)
		c.eventually("all hosts have applied all", func() error {
			q, err := c.quorum("control-1")
			if err == nil && q.InForce < q.Revision {
				err = fmt.Errorf("in force %d of %d", q.InForce, q.Revision)
			}
			return err
		})
	})
}

// identity returns the log identity of a control host, or "" while it has none.
func (c *cluster) identity(host string) string {
	q, err := c.quorum("entry-1")
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

func TestLostDiskAndASecondLossAfterTheRepair(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 3, Entry: 2})
	c.mustChange("entry-1", "x", 1)
	lost := "control-1"
	before := c.identity(lost)
	c.kill(lost)
	if err := os.RemoveAll(filepath.Join(c.dir, lost)); err != nil {
		t.Fatal(err)
	}
	c.start(lost)
	var members []rest.Member
	c.eventually("the host votes under a new identity, and the margin is back", func() error {
		q, err := c.quorum("entry-1")
		if err != nil {
			return err
		}
		members = q.Members
		if len(q.Members) != 3 || q.Voters != 3 || q.Margin != 1 || c.identity(lost) == before {
			return fmt.Errorf("%+v", q)
		}
		return nil
	})
	second := "control-2"
	c.kill(second)
	c.mustChange("entry-1", "x", 2)
	Convey("After the repair the loss of a second host is borne", t, func() {
		var names []string
		for _, m := range members {
			name, _, _ := strings.Cut(m.ID, "#")
			names = append(names, name)
		}
		So(names, ShouldContain, lost)
		So(c.callerSpec("entry-2", "x"), ShouldContainSubstring, `"rate": 2`)
	})
}

func TestChangeIsInForceWithAHostFrozen(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 3, Entry: 3})
	inForce := func(what string, bound time.Duration, rate int) {
		at := time.Now()
		r := c.mustChange("entry-1", "x", rate)
		c.eventually(what, func() error {
			var now rest.Resource
			_, err := c.request("entry-1", http.MethodGet, "callers/x", "", nil, &now)
			if err == nil && (now.Status == nil || !now.Status.InForce || now.Version < r.Version) {
				err = fmt.Errorf("%+v", now.Status)
			}
			return err
		})
		took := time.Since(at)
		t.Logf("%s: in force after %s", what, took.Round(time.Millisecond))
		if took > bound {
			t.Errorf("%s: in force after %s, more than %s", what, took, bound)
		}
	}
	inForce("all hosts up", 2*time.Second, 1)
	c.signal("entry-3", syscall.SIGSTOP)
	inForce("a host frozen", 5*time.Second, 2)
	c.signal("entry-3", syscall.SIGCONT)
	inForce("the host back", 5*time.Second, 3)
}

func TestWatchIsInOrderWithoutGaps(t *testing.T) {
	c := newCluster(t, clusterConfig{Control: 3, Entry: 2})
	first := c.mustChange("entry-1", "x", 1)
	for i := 2; i <= 30; i++ {
		c.mustChange("entry-1", "x", i)
	}
	Convey("A watch from a revision shows every change after it, from another host too", t, func() {
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
	Convey("A watch from a revision that is gone is told so", t, func() {
		_, err := c.watchUntil("entry-2", "callers", 0, "nothing")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "410")
	})
}
