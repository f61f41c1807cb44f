package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
)

// Gap is how long writes were impossible, over several failovers of one cause.
type Gap struct {
	Cause   string  `json:"cause"`
	Count   int     `json:"count"`
	Median  float64 `json:"median_ms"`
	P99     float64 `json:"p99_ms"`
	Largest float64 `json:"largest_ms"`
}

// Share is the share of reads that replicas served in one way of routing.
type Share struct {
	Routing string  `json:"routing"`
	Reads   int64   `json:"reads"`
	Replica float64 `json:"replica_share"`
	// Oracle is the share that one who knows all positions would reach.
	Oracle float64 `json:"oracle_share"`
	P50    float64 `json:"read_p50_ms"`
	P99    float64 `json:"read_p99_ms"`
	// Stale counts reads that missed the session's own write.
	Stale int64 `json:"stale"`
}

// Result is what a run found at a site.
type Result struct {
	Site   string  `json:"site"`
	Gaps   []Gap   `json:"gaps,omitempty"`
	Shares []Share `json:"shares,omitempty"`
	// InForce is the time from an accepted change to its being in force, in milliseconds.
	InForce float64 `json:"in_force_ms"`
	// Refused and Retried are counters by reason.
	Counters map[string]int64 `json:"counters"`
	// Lost counts acknowledged writes that were not found at the end.
	Lost int `json:"lost"`
}

// Options are the size of a run.
type Options struct {
	// Failovers is the number of failovers of each cause.
	Failovers int
	// Load is how long each way of routing is measured.
	Load time.Duration
	// Sessions is the number of sessions.
	Sessions int
}

// Run measures one site.
func Run(ctx context.Context, site Site, o Options) (Result, error) {
	r := Result{Site: site.Name, Counters: map[string]int64{}}
	waiting := route.DefaultOptions()
	waiting.ReplicaWait = 0
	primary := route.Options{PrimaryOnly: true}
	for i, way := range []struct {
		name   string
		routes *route.Options
	}{{"default", nil}, {"no waiting", &waiting}, {"primary only", &primary}} {
		d, err := start(ctx, site, trialPort+400*i, way.routes)
		if err != nil {
			return r, err
		}
		r.Shares = append(r.Shares, d.share(ctx, way.name, o))
		if way.routes == nil {
			err = d.measure(ctx, o, &r)
		}
		d.stop()
		if err != nil {
			return r, err
		}
	}
	return r, nil
}

func (d *deployment) measure(ctx context.Context, o Options, r *Result) error {
	var err error
	if r.InForce, err = d.inForce(ctx); err != nil {
		return err
	}
	if r.Gaps, r.Lost, err = d.gaps(ctx, o.Failovers); err != nil {
		return err
	}
	for _, name := range []string{
		"refused.deadline", "refused.queuefull", "refused.nolease", "refused.notholder", "refused.noprimary", "refused.connectionlost",
		"refused.notreplicated", "refused.retrybudget", "retried.readonly", "retried.sealed", "retried.connectionlost", "retried.nobackend",
		"retried.notholder", "retried.noholder", "connections.opened",
	} {
		r.Counters[name] = d.count(name)
	}
	return nil
}

// session runs a mix on one connection: a write, read back at once, for one session in five,
// and reads for all.
type session struct {
	d      *deployment
	index  int
	writes bool
	hist   *hdrhistogram.Histogram
	stale  int64
}

const (
	histLowest  = 1
	histHighest = 60_000_000
	histDigits  = 3
	rowsInTable = 100
)

func (s *session) run(ctx context.Context) {
	group := s.d.group(s.index % s.d.site.Groups)
	r := rand.New(rand.NewPCG(uint64(s.index), 1))
	for ctx.Err() == nil {
		conn, err := s.d.connect(ctx, s.index, group, fmt.Sprintf("caller-%d", s.index))
		if err != nil {
			continue
		}
		for i := 0; ctx.Err() == nil; i++ {
			want := ""
			if s.writes && i%10 == 0 {
				n := r.IntN(1 << 20)
				want = fmt.Sprint(n)
				if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO stock VALUES (%d, %d) ON CONFLICT (id) DO UPDATE SET n = %d", s.index, n, n)).ReadAll(); err != nil {
					break
				}
			}
			at := time.Now()
			res, err := conn.Exec(ctx, fmt.Sprintf("SELECT n FROM stock WHERE id = %d", s.index)).ReadAll()
			if err != nil {
				break
			}
			_ = s.hist.RecordValue(time.Since(at).Microseconds())
			if want != "" && (len(res[0].Rows) != 1 || string(res[0].Rows[0][0]) != want) {
				s.stale++
			}
		}
		conn.Close(context.Background())
	}
}

// share measures the share of reads that replicas serve.
func (d *deployment) share(ctx context.Context, name string, o Options) Share {
	replica, primary, missed := d.count("reads.replica"), d.count("reads.primary"), d.count("reads.missed")
	load, cancel := context.WithTimeout(ctx, o.Load)
	defer cancel()
	var wg sync.WaitGroup
	sessions := make([]*session, o.Sessions)
	for i := range sessions {
		sessions[i] = &session{d: d, index: i, writes: i%5 == 0, hist: hdrhistogram.New(histLowest, histHighest, histDigits)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sessions[i].run(load)
		}()
	}
	wg.Wait()
	all := hdrhistogram.New(histLowest, histHighest, histDigits)
	s := Share{Routing: name}
	for _, one := range sessions {
		all.Merge(one.hist)
		s.Stale += one.stale
	}
	replica, primary, missed = d.count("reads.replica")-replica, d.count("reads.primary")-primary, d.count("reads.missed")-missed
	s.Reads = replica + primary
	s.Replica = float64(replica) / float64(max(1, s.Reads))
	s.Oracle = float64(replica+missed) / float64(max(1, s.Reads))
	s.P50, s.P99 = float64(all.ValueAtQuantile(50))/1000, float64(all.ValueAtQuantile(99))/1000
	return s
}

// inForce measures the time from an accepted change to its being in force everywhere.
func (d *deployment) inForce(ctx context.Context) (float64, error) {
	var list []float64
	for i := range 10 {
		at := time.Now()
		if err := d.put(ctx, "callers/probe", fmt.Sprintf(`{"spec":{"rate":%d}}`, i+1)); err != nil {
			return 0, err
		}
		for {
			view := d.hosts[4].Agent.View()
			r := view.Get(spec.Callers, "probe")
			if r != nil && spec.DecodeCaller(r.Spec).Rate == i+1 && d.hosts[4].Agent.InForce() >= r.Revision {
				break
			}
			if time.Since(at) > readyLimit {
				return 0, fmt.Errorf("change is not in force after %s", readyLimit)
			}
			time.Sleep(time.Millisecond)
		}
		list = append(list, float64(time.Since(at).Microseconds())/1000)
	}
	sort.Float64s(list)
	return list[len(list)/2], nil
}
