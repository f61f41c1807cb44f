package crowd_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// sessions is the number of sessions that a host of the usual size serves at once.
const sessions = 4000

// script returns the statements of a caller that comes up to every limit at once: of a message, of a session
// and of a transaction.
func script(i int) []string {
	list := []string{
		"SET v " + strings.Repeat("v", 900_000),
		"PREPARE p READ " + strings.Repeat("p", 100_000),
		"READ " + strings.Repeat("k", 1<<20-len("QUERY q1 READ \r\n")),
		"READ large:1000",
		"BEGIN",
	}
	for j := range 10 {
		list = append(list, fmt.Sprintf("WRITE w%d.%d %s", i, j, strings.Repeat("w", 50_000)))
	}
	return append(list, "EXEC p a", "COMMIT", "CLOSE p")
}

// TestCallersWithinTheLimitsAreServed guards against bounds that ordinary callers meet.
func TestCallersWithinTheLimitsAreServed(t *testing.T) {
	Convey("Given hosts of the usual size with as many sessions as they serve, all at rest", t, func() {
		d := startDeployment(t, usual)
		var left kept
		defer left.close()
		opened := make([]*caller, sessions-1)
		for i := range opened {
			c, err := openSession(context.Background(), d.callers, database)
			So(err, ShouldBeNil)
			left.add(c)
			opened[i] = c
		}
		Convey("A caller that comes up to every limit is served, and each of the sessions after it", func() {
			c, err := openSession(context.Background(), d.callers, database)
			So(err, ShouldBeNil)
			left.add(c)
			for _, text := range script(0) {
				line, err := c.ask(20*time.Second, text)
				So(err, ShouldBeNil)
				So(line, ShouldStartWith, "DONE")
			}
			var refused []string
			for i, c := range opened {
				line, err := c.ask(20*time.Second, "READ a")
				if err != nil || !strings.HasPrefix(line, "DONE") {
					refused = append(refused, fmt.Sprint(i, " ", line, " ", err))
				}
			}
			So(refused, ShouldBeEmpty)
			d.checkFaults()
		})
	})
}
