package whole_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// waitForExit waits for the end of a process and returns its exit code, -1 if a signal ended it.
func (c *cluster) waitForExit(name string) int {
	_ = c.procs[name].Wait()
	code := c.procs[name].ProcessState.ExitCode()
	delete(c.procs, name)
	return code
}

// TestSignalsInSeriesDoNotCutRequests guards against a signal that ends a host at once, while it serves,
// drains or starts.
func TestSignalsInSeriesDoNotCutRequests(t *testing.T) {
	c := newCluster(t, clusterConfig{ControlHosts: 1, EntryHosts: 1, StatementCost: time.Second})
	for i, series := range [][]syscall.Signal{
		{syscall.SIGHUP},
		{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGINT, syscall.SIGHUP, syscall.SIGINT},
	} {
		Convey(fmt.Sprintf("A request that runs is answered, and the exit code is 0 (series %d)", i), t, func() {
			conn, err := c.connect("entry-1", "signals")
			So(err, ShouldBeNil)
			defer conn.Close(context.Background())
			done := make(chan error, 1)
			go func() {
				_, err := query(conn, "SELECT 1")
				done <- err
			}()
			time.Sleep(200 * time.Millisecond)
			for _, sig := range series {
				c.signal("entry-1", sig)
				time.Sleep(100 * time.Millisecond)
			}
			So(<-done, ShouldBeNil)
			So(c.waitForExit("entry-1"), ShouldEqual, 0)
			c.start("entry-1")
			c.eventually("callers are served again", func() error { return c.tryStatement("entry-1", "SELECT 1") })
		})
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		Convey("A host that gets a signal while it starts stops with exit code 0: "+sig.String(), t, func() {
			So(c.shutdown("entry-1"), ShouldEqual, 0)
			c.start("entry-1")
			c.eventually("the host has opened its first port", func() error {
				conn, err := net.Dial("tcp", c.configs["entry-1"].LinkAddr)
				if err == nil {
					conn.Close()
				}
				return err
			})
			c.signal("entry-1", sig)
			So(c.waitForExit("entry-1"), ShouldEqual, 0)
			c.start("entry-1")
			c.eventually("callers are served again", func() error { return c.tryStatement("entry-1", "SELECT 1") })
		})
	}
}
