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
	// waitLimit is how long callers accept to wait, serviceTime how long a statement occupies a slot,
	// and runTime how long the callers of a test send requests.
	waitLimit   = 100 * time.Millisecond
	serviceTime = 10 * time.Millisecond
	runTime     = 2 * time.Second
)

// results counts the outcomes of the callers of one kind.
type results struct {
	mu      sync.Mutex
	served  int
	refused int
	// latencies are the times to the answers and refusals.
	latencies []time.Duration
}

func (r *results) add(ok bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.served++
	} else {
		r.refused++
	}
	r.latencies = append(r.latencies, latency)
}

// late counts the answers and refusals that exceeded waitLimit by more than three times the mean
// service time of a statement in this run.
func (r *results) late(mean time.Duration) int {
	n := 0
	for _, latency := range r.latencies {
		if latency > waitLimit+3*mean {
			n++
		}
	}
	return n
}

// newPool returns a connection pool for a simulated instance with two slots.
func newPool(in *mimic.Instance, dial func(context.Context, string) (net.Conn, error)) *pool.Pool {
	p := &pool.Pool{
		Group: "g", Instance: "i", Addr: in.Addr, Slots: 2, Codec: platform.BackendCodec(), Log: logs.Discard(), Meter: meter.New(),
		Now: clock.Monotonic, Dial: dial,
	}
	p.SetConnLimits(90, 60)
	return p
}

// runRead runs one read of a rank and reports whether it succeeded.
func runRead(p *pool.Pool, rank int, id string) bool {
	c, err := p.Get(context.Background(), waitLimit, pool.Priority{Rank: rank})
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

// runTransaction runs five reads in a transaction and reports whether all succeeded.
func runTransaction(p *pool.Pool, rank int, id string) bool {
	c, err := p.Get(context.Background(), waitLimit, pool.Priority{Rank: rank})
	if err != nil {
		return false
	}
	a, _, err := c.Run(time.Second, flow.Values{}, flow.Request{Op: flow.BeginReadOnlyTx}, false)
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

// TestGateOrdersOverload guards against random failures under overload: when the replicas lag, all
// reads of a group, single ones and transactions, go to a primary that can serve only half of them.
func TestGateOrdersOverload(t *testing.T) {
	Convey("Given an instance with two slots and a load of more than twice its capacity", t, func() {
		g := &mimic.Group{Name: "g", MaxConns: 100, Slots: 2, QueueLimit: 4, StatementTime: serviceTime}
		in, err := g.Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		defer in.Crash()
		var d net.Dialer
		p := newPool(in, func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) })
		p.EnableAdmissionControl()
		defer p.Shutdown()
		var urgent, singles, transactions results
		var wg sync.WaitGroup
		begin := time.Now()
		end := begin.Add(runTime)
		runCallers := func(n int, into *results, pause time.Duration, run func(id string) bool) {
			for i := range n {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for k := 0; time.Now().Before(end); k++ {
						start := time.Now()
						into.add(run(fmt.Sprintf("%p-%d-%d", into, i, k)), time.Since(start))
						time.Sleep(pause)
					}
				}()
			}
		}
		runCallers(2, &urgent, 4*serviceTime, func(id string) bool { return runRead(p, 1, id) })
		runCallers(40, &singles, serviceTime, func(id string) bool { return runRead(p, 2, id) })
		runCallers(15, &transactions, serviceTime, func(id string) bool { return runTransaction(p, 2, id) })
		wg.Wait()
		capacity := 2 * time.Since(begin)
		ran, refused := in.StatementCounts()
		t.Logf("served urgent %d of %d, singles %d of %d, transactions %d of %d; the instance ran %d statements in %s of %s slot time and refused %d", urgent.served, urgent.served+urgent.refused,
			singles.served, singles.served+singles.refused, transactions.served, transactions.served+transactions.refused, ran, in.SlotTime(), capacity, refused)
		Convey("The instance refuses nothing and its slots are busy", func() {
			So(refused, ShouldEqual, 0)
			So(in.SlotTime(), ShouldBeGreaterThan, capacity*8/10)
		})
		Convey("Urgent statements are served, and single statements before transactions", func() {
			So(urgent.refused, ShouldBeLessThanOrEqualTo, (urgent.served+urgent.refused)/50)
			So(singles.served, ShouldBeGreaterThan, 5*transactions.served)
			So(transactions.served, ShouldBeGreaterThan, 0)
		})
		Convey("Answers and refusals arrive within the wait limit of the callers", func() {
			mean := in.SlotTime() / time.Duration(ran)
			So(singles.late(mean)+urgent.late(mean), ShouldBeLessThanOrEqualTo, (singles.served+singles.refused)/50)
		})
	})
}
