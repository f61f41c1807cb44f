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

// FailoverGap is how long writes were unavailable in several failovers with one cause, in
// milliseconds.
type FailoverGap struct {
	Cause     string  `json:"cause"`
	Count     int     `json:"count"`
	MedianMS  float64 `json:"median_ms"`
	P99MS     float64 `json:"p99_ms"`
	LargestMS float64 `json:"largest_ms"`
}

// ReadShare is the share of reads that replicas served with one set of routing options, and the read
// latency in milliseconds. Shares are from 0 to 1.
type ReadShare struct {
	Routing      string  `json:"routing"`
	Reads        int64   `json:"reads"`
	ReplicaShare float64 `json:"replica_share"`
	// OracleShare is the share that replicas would serve if routing always knew their current positions.
	OracleShare float64 `json:"oracle_share"`
	P50MS       float64 `json:"read_p50_ms"`
	P99MS       float64 `json:"read_p99_ms"`
	// StaleReads counts reads that did not return the session's own latest write.
	StaleReads int64 `json:"stale"`
}

// Result holds the measurements of one site.
type Result struct {
	Site   string        `json:"site"`
	Gaps   []FailoverGap `json:"gaps,omitempty"`
	Shares []ReadShare   `json:"shares,omitempty"`
	// InForceMS is the median time from sending a change until it is in force on all hosts, in
	// milliseconds.
	InForceMS float64 `json:"in_force_ms"`
	// Counters are sums over all hosts of refused and retried requests by reason, and of opened
	// connections.
	Counters map[string]int64 `json:"counters"`
	// LostWrites counts acknowledged writes that were missing after the failovers.
	LostWrites int `json:"lost"`
}

// Options sets the size of a run.
type Options struct {
	// Failovers is the number of failovers for each cause.
	Failovers int
	// LoadDuration is how long each set of routing options is measured.
	LoadDuration time.Duration
	// Sessions is the number of concurrent sessions.
	Sessions int
}

// Run measures the read share of a site with three sets of routing options, and the failovers and
// change propagation with the default one.
func Run(ctx context.Context, site Site, o Options) (Result, error) {
	r := Result{Site: site.Name, Counters: map[string]int64{}}
	noReplicaWait := route.DefaultOptions()
	noReplicaWait.ReplicaWait = 0
	primaryOnly := route.Options{PrimaryOnly: true}
	for i, mode := range []struct {
		name   string
		routes *route.Options
	}{{"default", nil}, {"no waiting", &noReplicaWait}, {"primary only", &primaryOnly}} {
		d, err := startDeployment(ctx, site, sitePort+400*i, mode.routes)
		if err != nil {
			return r, err
		}
		r.Shares = append(r.Shares, d.measureReadShare(ctx, mode.name, o))
		if mode.routes == nil {
			err = d.measure(ctx, o, &r)
		}
		d.stop()
		if err != nil {
			return r, err
		}
	}
	return r, nil
}

// measure adds the time until changes are in force, the failovers and the counters to r.
func (d *deployment) measure(ctx context.Context, o Options, r *Result) error {
	var err error
	if r.InForceMS, err = d.measureInForce(ctx); err != nil {
		return err
	}
	if r.Gaps, r.LostWrites, err = d.measureFailovers(ctx, o.Failovers); err != nil {
		return err
	}
	for _, name := range []string{
		"refused.deadline", "refused.queuefull", "refused.nolease", "refused.notholder", "refused.noprimary", "refused.connectionlost",
		"refused.notreplicated", "refused.retrybudget", "retried.readonly", "retried.sealed", "retried.connectionlost", "retried.nobackend",
		"retried.notholder", "retried.noholder", "connections.opened",
	} {
		r.Counters[name] = d.sumCounter(name)
	}
	return nil
}

// session generates the load of one caller. It reads one row repeatedly; if writes is set, it also writes
// the row before every tenth read and checks that this read returns the new value.
type session struct {
	d           *deployment
	index       int
	writes      bool
	readLatency *hdrhistogram.Histogram
	staleReads  int64
}

const (
	// Range of the latency histograms in microseconds, and their significant decimal digits.
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	rowsInTable      = 100
)

func (s *session) run(ctx context.Context) {
	group := s.d.groupName(s.index % s.d.site.Groups)
	rng := rand.New(rand.NewPCG(uint64(s.index), 1))
	for ctx.Err() == nil {
		conn, err := s.d.connect(ctx, s.index, group, fmt.Sprintf("caller-%d", s.index))
		if err != nil {
			continue
		}
		for i := 0; ctx.Err() == nil; i++ {
			want := ""
			if s.writes && i%10 == 0 {
				n := rng.IntN(1 << 20)
				want = fmt.Sprint(n)
				if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO stock VALUES (%d, %d) ON CONFLICT (id) DO UPDATE SET n = %d", s.index, n, n)).ReadAll(); err != nil {
					break
				}
			}
			start := time.Now()
			res, err := conn.Exec(ctx, fmt.Sprintf("SELECT n FROM stock WHERE id = %d", s.index)).ReadAll()
			if err != nil {
				break
			}
			_ = s.readLatency.RecordValue(time.Since(start).Microseconds())
			if want != "" && (len(res[0].Rows) != 1 || string(res[0].Rows[0][0]) != want) {
				s.staleReads++
			}
		}
		conn.Close(context.Background())
	}
}

// measureReadShare runs the sessions for o.LoadDuration and returns the share of reads that replicas
// served. One session in five also writes.
func (d *deployment) measureReadShare(ctx context.Context, name string, o Options) ReadShare {
	replica, primary, missed := d.sumCounter("reads.replica"), d.sumCounter("reads.primary"), d.sumCounter("reads.missed")
	loadCtx, cancel := context.WithTimeout(ctx, o.LoadDuration)
	defer cancel()
	var wg sync.WaitGroup
	sessions := make([]*session, o.Sessions)
	for i := range sessions {
		sessions[i] = &session{d: d, index: i, writes: i%5 == 0, readLatency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sessions[i].run(loadCtx)
		}()
	}
	wg.Wait()
	all := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	s := ReadShare{Routing: name}
	for _, sess := range sessions {
		all.Merge(sess.readLatency)
		s.StaleReads += sess.staleReads
	}
	replica, primary, missed = d.sumCounter("reads.replica")-replica, d.sumCounter("reads.primary")-primary, d.sumCounter("reads.missed")-missed
	s.Reads = replica + primary
	s.ReplicaShare = float64(replica) / float64(max(1, s.Reads))
	s.OracleShare = float64(replica+missed) / float64(max(1, s.Reads))
	s.P50MS, s.P99MS = float64(all.ValueAtQuantile(50))/1000, float64(all.ValueAtQuantile(99))/1000
	return s
}

// measureInForce returns the median time in milliseconds from sending a change until one host has learned
// that it is in force on all hosts.
func (d *deployment) measureInForce(ctx context.Context) (float64, error) {
	var delaysMS []float64
	for i := range 10 {
		start := time.Now()
		if err := d.put(ctx, "callers/probe", fmt.Sprintf(`{"spec":{"rate":%d}}`, i+1)); err != nil {
			return 0, err
		}
		for {
			view := d.hosts[4].Agent.View()
			r := view.Get(spec.Callers, "probe")
			if r != nil && spec.DecodeCaller(r.Spec).Rate == i+1 && d.hosts[4].Agent.InForce() >= r.Revision {
				break
			}
			if time.Since(start) > waitTimeout {
				return 0, fmt.Errorf("change not in force after %s", waitTimeout)
			}
			time.Sleep(time.Millisecond)
		}
		delaysMS = append(delaysMS, float64(time.Since(start).Microseconds())/1000)
	}
	sort.Float64s(delaysMS)
	return delaysMS[len(delaysMS)/2], nil
}
