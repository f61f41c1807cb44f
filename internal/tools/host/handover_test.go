package host_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// TestForwardedRequestsOutliveOverlappingShutdowns guards against requests that are cut because the host
// that runs them for another one, which shuts down as well, does not wait for them.
func TestForwardedRequestsOutliveOverlappingShutdowns(t *testing.T) {
	Convey("A request that another draining host has forwarded is answered", t, func() {
		d := startDeployment(t, 2, 8*time.Second)
		holder, other := d.holder()
		So(d.tryStatement(holder, "CREATE TABLE rows (id INTEGER)"), ShouldBeNil)
		conn, err := d.connect(other)
		So(err, ShouldBeNil)
		defer conn.Close(context.Background())
		done := make(chan error, 1)
		go func() { done <- exec(conn, "INSERT INTO rows VALUES (1) /* wait 1500ms */") }()
		time.Sleep(100 * time.Millisecond)
		first := d.shutDown(other)
		time.Sleep(200 * time.Millisecond)
		second := d.shutDown(holder)
		So(<-done, ShouldBeNil)
		<-first
		<-second
	})
}

// TestHandOverLetsForwardedRequestsFinish guards against a planned hand-over that ends a request which
// another host has forwarded.
func TestHandOverLetsForwardedRequestsFinish(t *testing.T) {
	Convey("Given requests that another host has forwarded to the group's holder, which shuts down", t, func() {
		d := startDeployment(t, 2, 10*time.Second)
		holder, other := d.holder()
		So(d.tryStatement(holder, "CREATE TABLE rows (id INTEGER)"), ShouldBeNil)
		start := func(sql string) <-chan error {
			conn, err := d.connect(other)
			So(err, ShouldBeNil)
			t.Cleanup(func() { conn.Close(context.Background()) })
			done := make(chan error, 1)
			go func() { done <- exec(conn, sql) }()
			return done
		}
		short := start("INSERT INTO rows VALUES (1) /* wait 1500ms */")
		long := start("INSERT INTO rows VALUES (2) /* wait 3500ms */")
		time.Sleep(100 * time.Millisecond)
		took := d.shutDown(holder)
		Convey("A short one is acknowledged, and one that ends after the group has moved has run to its end", func() {
			So(<-short, ShouldBeNil)
			So(verdict(<-long), ShouldEqual, "MayHaveRun")
			So(d.count(other), ShouldEqual, "2")
			t.Logf("drain took %s", <-took)
		})
	})
}

// TestDrainThatReachesItsLimitHandsOverGroups guards against groups that wait for a lease to expire because
// the callers of their holder have used up its drain.
func TestDrainThatReachesItsLimitHandsOverGroups(t *testing.T) {
	Convey("Another host holds the group when its holder has stopped, although a request ran until the limit", t, func() {
		d := startDeployment(t, 2, 6*time.Second)
		holder, other := d.holder()
		conn, f := d.dialRaw(holder)
		defer conn.Close()
		send(f, "SET agatespindle.timeout = '1m'")
		So(readAnswer(f), ShouldResemble, answer{})
		send(f, "SELECT 1 /* wait 30s */")
		time.Sleep(100 * time.Millisecond)
		took := d.shutDown(holder)
		So(readAnswer(f), ShouldResemble, answer{verdict: "MayHaveRun", fatal: true})
		length := <-took
		So(d.hosts[other].Agent.View().Get(spec.Groups, groupName).GetGroup().GetHolder(), ShouldEqual, other)
		So(length, ShouldBeLessThan, 6*time.Second)
	})
}

// TestReadinessEndsWithTheStartOfADrain guards against balancers that send callers to a host which refuses
// them.
func TestReadinessEndsWithTheStartOfADrain(t *testing.T) {
	Convey("A host that drains is not ready from the start", t, func() {
		d := startDeployment(t, 2, 5*time.Second)
		holder, _ := d.holder()
		conn, err := d.connect(holder)
		So(err, ShouldBeNil)
		defer conn.Close(context.Background())
		done := make(chan error, 1)
		go func() { done <- exec(conn, "SELECT 1 /* wait 1s */") }()
		time.Sleep(100 * time.Millisecond)
		took := d.shutDown(holder)
		time.Sleep(200 * time.Millisecond)
		So(d.readyStatus(holder), ShouldEqual, 503)
		So(<-done, ShouldBeNil)
		<-took
	})
}

// TestRequestsAreAnsweredWhenTheLeaseLapsesInADrain guards against requests that end without an answer
// because control is gone while the host drains.
func TestRequestsAreAnsweredWhenTheLeaseLapsesInADrain(t *testing.T) {
	Convey("Given requests that run while the host drains and its lease lapses", t, func() {
		d := startDeployment(t, 2, 15*time.Second)
		holder, other := d.holder()
		So(d.tryStatement(holder, "CREATE TABLE rows (id INTEGER)"), ShouldBeNil)
		verdicts := make(chan string, 4)
		for i, name := range []string{holder, holder, other, other} {
			conn, err := d.connect(name)
			So(err, ShouldBeNil)
			defer conn.Close(context.Background())
			sql := []string{"INSERT INTO rows VALUES (1) /* wait 3500ms */", "SELECT 1 /* wait 3500ms */"}[i%2]
			go func() { verdicts <- verdict(exec(conn, sql)) }()
		}
		time.Sleep(100 * time.Millisecond)
		stopped := []<-chan time.Duration{d.shutDown("control-1"), d.shutDown(other), d.shutDown(holder)}
		for range cap(verdicts) {
			So(<-verdicts, ShouldBeIn, "", "MayHaveRun", "NotRun")
		}
		for _, took := range stopped {
			<-took
		}
	})
}

// readyStatus returns the HTTP status of a host's readiness check.
func (d *deployment) readyStatus(name string) int {
	d.t.Helper()
	resp, err := http.Get("http://" + d.hosts[name].Config.APIAddr + "/readyz")
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
