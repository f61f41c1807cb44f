package whole_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPrimaryThatRestartsAtOnceServesAgain restarts the primary faster than its silence counts as a failure. It
// comes back as no primary of any term, so that nobody replaces it for its silence.
func TestPrimaryThatRestartsAtOnceServesAgain(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	c.eventually("a write before the restart", func() error { return c.tryStatement("entry-1", "INSERT INTO rows VALUES (7)") })
	before := c.groupStatus()
	c.kill(before.Primary)
	c.start(before.Primary)
	Convey("Writes are served again, in a new term, and the rows written before are there", t, func() {
		c.eventually("a write after the restart", func() error { return c.tryStatement("entry-1", "INSERT INTO rows VALUES (1)") })
		So(c.groupStatus().Term, ShouldBeGreaterThan, before.Term)
		conn, err := c.connect("entry-2", "tester")
		So(err, ShouldBeNil)
		defer conn.Close(t.Context())
		So(mustQuery(t, conn, "SELECT id FROM rows"), ShouldContain, "7")
	})
}

// TestAllServersRestartAtOnce restarts all backend servers at the same moment.
func TestAllServersRestartAtOnce(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 2})
	names := []string{}
	for name := range c.argsByServer {
		names = append(names, name)
	}
	for round := range 2 {
		for _, name := range names {
			c.kill(name)
		}
		for _, name := range names {
			c.start(name)
		}
		c.eventually(fmt.Sprintf("a write after restart %d", round), func() error { return c.tryStatement("entry-1", "INSERT INTO rows VALUES (1)") })
	}
}
