package pool_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/platform"
)

const (
	// waitLimit is how long callers are content to wait, work what a statement takes of a slot.
	waitLimit   = 100 * time.Millisecond
	serviceTime = 10 * time.Millisecond
	runTime     = 2 * time.Second
)

// results counts what the callers of one kind got.
type results struct {
	mu      sync.Mutex
	served  int
	refused int
	// latencies is how long answers and refusals took.
	latencies []time.Duration
}

func (t *results) add(ok bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.served++
	} else {
		t.refused++
	}
	t.latencies = append(t.latencies, took)
}

// late counts the answers and refusals that took much longer than the goal: three statements, by
// what one took of a slot in this run.
func (t *results) late(each time.Duration) int {
	n := 0
	for _, took := range t.latencies {
		if took > waitLimit+3*each {
			n++
		}
	}
	return n
}

// newServer returns a host's connections to a stand-in's instance with two slots.
func newServer(in *mimic.Instance, dial func(context.Context, string) (net.Conn, error)) *pool.Server {
	s := &pool.Server{
		Group: "g", Instance: "i", Addr: in.Addr, Slots: 2, Codec: platform.ServerCodec(), Log: logs.Discard(), Meter: meter.New(),
		Now: clock.Boot, Dial: dial,
	}
	s.SetConnLimits(90, 60)
	return s
}

// runRead runs one read of a rank.
func runRead(s *pool.Server, rank int, id string) bool {
	c, err := s.Get(context.Background(), waitLimit, rank)
	if err != nil {
		return false
	}
	a, _, err := c.Run(time.Second, flow.Values{}, flow.Request{ID: id, Text: "READ x"}, true)
	if err != nil {
		c.Close()
		return false
	}
	c.Release()
	return a.Code == flow.OK
}

// runTransaction runs five reads in a transaction.
func runTransaction(s *pool.Server, rank int, id string) bool {
	c, err := s.Get(context.Background(), waitLimit, rank)
	if err != nil {
		return false
	}
	a, _, err := c.Run(time.Second, flow.Values{}, flow.Request{Op: flow.OpenRead}, false)
	ok := err == nil && a.Code == flow.OK
	for n := 0; ok && n < 5; n++ {
		a, _, err = c.Run(time.Second, flow.Values{}, flow.Request{ID: fmt.Sprint(id, n), Text: "READ x"}, false)
		ok = err == nil && a.Code == flow.OK
	}
	if err != nil {
		c.Close()
		return false
	}
	pool.Rollback(c)
	return ok
}

// TestGateOrdersOverload plays trouble-1 of dosf-spindle-grown: replicas that lag leave a group's
// reads, single ones and transactions, to a primary that can serve half of them.
func TestGateOrdersOverload(t *testing.T) {
	Convey("Given an instance with two slots and callers for more than twice as many", t, func() {
		g := &mimic.Group{Name: "g", MaxConns: 100, Slots: 2, Queue: 4, Work: serviceTime}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		defer in.Crash()
		var d net.Dialer
		s := newServer(in, func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) })
		s.EnableAdmission()
		defer s.Close()
		var urgent, singles, transactions results
		var wg sync.WaitGroup
		begin := time.Now()
		end := begin.Add(runTime)
		play := func(n int, into *results, pause time.Duration, run func(id string) bool) {
			for i := range n {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for k := 0; time.Now().Before(end); k++ {
						began := time.Now()
						into.add(run(fmt.Sprintf("%p-%d-%d", into, i, k)), time.Since(began))
						time.Sleep(pause)
					}
				}()
			}
		}
		play(2, &urgent, 4*serviceTime, func(id string) bool { return runRead(s, 1, id) })
		play(40, &singles, serviceTime, func(id string) bool { return runRead(s, 2, id) })
		play(15, &transactions, serviceTime, func(id string) bool { return runTransaction(s, 2, id) })
		wg.Wait()
		capacity := 2 * time.Since(begin)
		ran, refused := in.Load()
		t.Logf("urgent %d of %d, singles %d of %d, transactions %d of %d; ran %d in %s of %s, refused by the instance %d", urgent.served, urgent.served+urgent.refused,
			singles.served, singles.served+singles.refused, transactions.served, transactions.served+transactions.refused, ran, in.Held(), capacity, refused)
		Convey("The instance refuses nothing and its slots are used", func() {
			So(refused, ShouldEqual, 0)
			So(in.Held(), ShouldBeGreaterThan, capacity*8/10)
		})
		Convey("Urgent statements are served, and single ones before transactions", func() {
			So(urgent.refused, ShouldBeLessThanOrEqualTo, (urgent.served+urgent.refused)/50)
			So(singles.served, ShouldBeGreaterThan, 5*transactions.served)
			So(transactions.served, ShouldBeGreaterThan, 0)
		})
		Convey("What is not served is told so within the time that callers expect", func() {
			each := in.Held() / time.Duration(ran)
			So(singles.late(each)+urgent.late(each), ShouldBeLessThanOrEqualTo, (singles.served+singles.refused)/50)
		})
	})
}
