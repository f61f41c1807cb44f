package node_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// TestSlowStatementsAreServed answers the callers whose statements take longer than their goal of 200 ms: 24 of them
// got a sixth of what 6 got. A mistaken goal must cost lateness and not service.
func TestSlowStatementsAreServed(t *testing.T) {
	const statement, slots, callers, length = 300 * time.Millisecond, 2, 24, 8 * time.Second
	Convey("Given three instances with statements slower than their goal, and four callers for each slot", t, func() {
		c := startCluster(t, 3, 3, false, func(g *mimic.Group) { g.Slots, g.QueueLimit, g.StatementTime = slots, 16, statement })
		c.declareAndAwaitReady(3)
		var reads, writes atomic.Int64
		var wg sync.WaitGroup
		end := time.Now().Add(length)
		for i := range callers {
			database := []string{"orders", "notes", "parts"}[i%3]
			s, err := openSession(c.callerAddr(i%3), database)
			So(err, ShouldBeNil)
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer s.Close()
				for k := 0; time.Now().Before(end); k++ {
					text, served := "READ warm", &reads
					if database != "parts" && k%3 == 0 {
						text, served = fmt.Sprintf("WRITE k%d-%d 1", i, k), &writes
					}
					if s.query(text).ok() {
						served.Add(1)
					}
					time.Sleep(2 * time.Millisecond)
				}
			}()
		}
		wg.Wait()
		t.Logf("served %d reads and %d writes", reads.Load(), writes.Load())
		Convey("They get 80 % of what the slots allow, and writes are among it", func() {
			So(float64(reads.Load()+writes.Load()), ShouldBeGreaterThan, 0.8*3*slots*length.Seconds()/statement.Seconds())
			So(writes.Load(), ShouldBeGreaterThan, 0)
		})
	})
}
