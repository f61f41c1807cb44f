// Package meter provides the metrics of a host: counters and gauges (go-metrics) and histograms of
// durations (HdrHistogram).
package meter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/agatespindle/agatespindle/internal/base/fault"
)

// Meter holds the metrics of one host. It is safe for concurrent use. The zero value is not usable; call
// New.
type Meter struct {
	registry   metrics.Registry
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

const (
	// maxDurationMicros is the longest duration that histograms record; longer ones count as this.
	maxDurationMicros = 60_000_000
	// significantDigits is the precision of histograms in decimal digits.
	significantDigits = 2
)

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// CountRefusal increments the counter of refusals with this reason.
func (m *Meter) CountRefusal(r fault.Reason) { m.AddCounter("refused."+string(r), 1) }

// CountRetry increments the counter of retries with this reason.
func (m *Meter) CountRetry(r fault.Reason) { m.AddCounter("retried."+string(r), 1) }

// AddCounter adds n to the named counter.
func (m *Meter) AddCounter(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// SetGauge sets the named gauge.
func (m *Meter) SetGauge(name string, n int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(n)
}

// RemoveGauge removes the named gauge, if there is one.
func (m *Meter) RemoveGauge(name string) { m.registry.Unregister(name) }

// RecordDuration adds a duration to the named histogram, with a resolution of 1 µs.
func (m *Meter) RecordDuration(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxDurationMicros, significantDigits)
		m.histograms[name] = h
	}
	if h.RecordValue(min(max(1, d.Microseconds()), maxDurationMicros)) != nil {
		m.AddCounter("meter.outofrange", 1)
	}
}

// exposedPercentiles are the percentiles that WriteText shows for each histogram.
var exposedPercentiles = []float64{50, 90, 99, 100}

// histogramLines returns the text lines of all histograms, with percentiles in seconds.
func (m *Meter) histogramLines() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for name, h := range m.histograms {
		for _, q := range exposedPercentiles {
			seconds := float64(h.ValueAtQuantile(q)) / 1e6
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g\n", metricName(name), q/100, seconds))
		}
		lines = append(lines, fmt.Sprintf("%s_seconds_count %d\n", metricName(name), h.TotalCount()))
	}
	return lines
}

// CounterValue returns the value of the named counter, or zero if it does not exist.
func (m *Meter) CounterValue(name string) int64 {
	c, ok := m.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// WriteText writes all metrics in the Prometheus text exposition format, as "name value" lines sorted by
// name.
func (m *Meter) WriteText(w io.Writer) error {
	lines := append(m.valueLines(), m.histogramLines()...)
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
	}
	return nil
}

// valueLines returns the text lines of all counters and gauges.
func (m *Meter) valueLines() []string {
	var lines []string
	m.registry.Each(func(name string, v any) {
		var n int64
		switch v := v.(type) {
		case metrics.Counter:
			n = v.Count()
		case metrics.Gauge:
			n = v.Value()
		}
		lines = append(lines, fmt.Sprintf("%s %d\n", metricName(name), n))
	})
	return lines
}

// metricName converts a name such as "refused.deadline" to "agatespindle_refused_deadline".
func metricName(name string) string {
	return "agatespindle_" + strings.ReplaceAll(name, ".", "_")
}
