package node_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// sentStatement is a statement with the time at which a caller sent it.
type sentStatement struct {
	id     string
	sentAt time.Time
}

// TestLimitOverAllHosts lets callers of two entry hosts ask for far more than the limit of their account,
// while control hosts stop and start again.
func TestLimitOverAllHosts(t *testing.T) {
	Convey("Given an account with a limit", t, func() {
		const rate, burst = 40, 20
		c := startCluster(t, 3, 2, false, func(g *mimic.Group) { g.RecordRuns = true })
		c.declareAccounts(1, fmt.Sprintf(`[{"name":"north","api_keys":["secretkeyone"],"rate_per_s":%d,"burst":%d}]`, rate, burst), "secretkeyone", 2)
		var mu sync.Mutex
		var sent []sentStatement
		var odd []string
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				for {
					s, err := openSessionAs(c.callerAddr(i%2), []string{"orders", "notes", "parts"}[i%3], "secretkeyone")
					for err == nil {
						select {
						case <-stop:
							s.Close()
							return
						default:
						}
						at := time.Now()
						r := s.query("READ x")
						err = r.err
						mu.Lock()
						sent = append(sent, sentStatement{r.id, at})
						if r.err == nil && !r.ok() && !strings.HasPrefix(r.lastLine, "ERR BUSY") && !strings.HasPrefix(r.lastLine, "ERR ABORTED") {
							odd = append(odd, r.lastLine)
						}
						mu.Unlock()
					}
				}
			}()
		}
		time.Sleep(1500 * time.Millisecond)
		So(c.stopHost("core-1"), ShouldBeNil)
		time.Sleep(time.Second)
		c.restartControl(1)
		time.Sleep(2 * time.Second)
		close(stop)
		callers.Wait()

		Convey("No more statements run in any window than the limit allows, and the others are refused as busy", func() {
			type run struct{ sentAt, arrivedAt time.Time }
			var runs []run
			for _, s := range sent {
				for _, r := range c.group.Runs(s.id) {
					if !r.Refused {
						runs = append(runs, run{s.sentAt, r.ArrivedAt})
					}
				}
			}
			So(odd, ShouldBeEmpty)
			So(len(runs), ShouldBeGreaterThan, rate)
			So(len(sent), ShouldBeGreaterThan, len(runs))
			slices.SortFunc(runs, func(a, b run) int { return a.arrivedAt.Compare(b.arrivedAt) })
			// A window from the sending of a statement to the arrival of another one must not hold more than the
			// limit allows for its length.
			for _, first := range runs {
				n := 0
				for _, r := range runs {
					if r.sentAt.Before(first.sentAt) {
						continue
					}
					n++
					allowed := rate*r.arrivedAt.Sub(first.sentAt).Seconds() + burst
					if float64(n) > allowed+1 {
						So(fmt.Sprintf("%d runs in %v, allowed %.1f", n, r.arrivedAt.Sub(first.sentAt), allowed), ShouldBeEmpty)
					}
				}
			}
		})
	})
}
