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
	// goal is how long callers are content to wait, work what a statement takes of a slot.
	goal   = 100 * time.Millisecond
	work   = 10 * time.Millisecond
	length = 2 * time.Second
)

// tally counts what the callers of one kind got.
type tally struct {
	mu      sync.Mutex
	served  int
	refused int
	// took is how long answers and refusals took.
	took []time.Duration
}

func (t *tally) add(ok bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.served++
	} else {
		t.refused++
	}
	t.took = append(t.took, took)
}

// late counts the answers and refusals that took much longer than the goal: three statements, by
// what one took of a slot in this run.
func (t *tally) late(each time.Duration) int {
	n := 0
	for _, took := range t.took {
		if took > goal+3*each {
			n++
		}
	}
	return n
}

// server returns a host's connections to a stand-in's instance with two slots.
func server(in *mimic.Instance, dial func(context.Context, string) (net.Conn, error)) *pool.Server {
	s := &pool.Server{
		Group: "g", Instance: "i", Addr: in.Addr, Slots: 2, Codec: platform.ServerCodec(), Log: logs.Discard(), Meter: meter.New(),
		Now: clock.Monotonic, Dial: dial,
	}
	s.Resize(90, 60)
	return s
}

// single runs one read of a rank.
func single(s *pool.Server, rank int, id string) bool {
	c, err := s.Get(context.Background(), goal, rank)
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

// transaction runs five reads in a transaction.
func transaction(s *pool.Server, rank int, id string) bool {
	c, err := s.Get(context.Background(), goal, rank)
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
	pool.Undo(c)
	return ok
}

// TestGateOrdersOverload plays trouble-1 of dosf-spindle-grown: replicas that lag leave a group's
// reads, single ones and transactions, to a primary that can serve half of them.
func TestGateOrdersOverload(t *testing.T) {
	Convey("Given an instance with two slots and callers for more than twice as many", t, func() {
		g := &mimic.Group{Name: "g", MaxConns: 100, Slots: 2, Queue: 4, Work: work}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		defer in.Crash()
		var d net.Dialer
		s := server(in, func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) })
		s.Guard()
		defer s.Shut()
		var urgent, singles, transactions tally
		var wg sync.WaitGroup
		begin := time.Now()
		end := begin.Add(length)
		play := func(n int, into *tally, pause time.Duration, run func(id string) bool) {
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
		play(2, &urgent, 4*work, func(id string) bool { return single(s, 1, id) })
		play(40, &singles, work, func(id string) bool { return single(s, 2, id) })
		play(15, &transactions, work, func(id string) bool { return transaction(s, 2, id) })
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
