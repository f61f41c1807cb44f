package topo

import (
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
)

const (
	// accountMetricPrefix is the prefix of the gauges of connections by client account.
	accountMetricPrefix = "connections.account."
	// namedAccounts is the number of accounts with a gauge of their own; the rest share one.
	namedAccounts = 8
	// accountMetricsInterval is the time between two updates of these gauges.
	accountMetricsInterval = 2 * time.Second
	// OtherAccounts is the name under which accounts without a gauge of their own are counted.
	OtherAccounts = "_others"
)

// reportAccounts sets the gauges of this host's connections by client account.
func (t *Topology) reportAccounts(now time.Time) {
	snapshot := t.Snapshot()
	if snapshot.Accounts == nil && len(t.accountMetrics) == 0 || now.Sub(t.accountsReportedAt) < accountMetricsInterval {
		return
	}
	t.accountsReportedAt = now
	counts := map[string]int{}
	for _, g := range snapshot.Groups {
		for _, m := range g.Members {
			m.CountByAccount(counts)
		}
	}
	t.accountMetrics = t.showLargest(accountMetricPrefix, counts, t.accountMetrics)
}

// showLargest sets the gauges with a prefix to the counts of the largest accounts, and removes those that were
// shown last and no longer are. It returns what is shown.
func (t *Topology) showLargest(prefix string, counts, last map[string]int) map[string]int {
	shown := LargestAccounts(counts, namedAccounts)
	for name := range last {
		if _, ok := shown[name]; !ok {
			t.Meter.RemoveGauge(prefix + name)
		}
	}
	for name, n := range shown {
		t.Meter.SetGauge(prefix+name, int64(n))
	}
	return shown
}

// LargestAccounts returns the counts of the n accounts with the highest ones, by the names that metrics use,
// and the sum of all others under OtherAccounts.
func LargestAccounts(counts map[string]int, n int) map[string]int {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	shown := map[string]int{}
	for i, name := range names {
		label := OtherAccounts
		if i < n {
			label = metricLabel(name)
		}
		shown[label] += counts[name]
	}
	return shown
}

// maxMetricLabel is the longest name of an account in a metric, in bytes.
const maxMetricLabel = 60

// metricLabel returns an account's name as a part of a metric's name.
func metricLabel(account string) string {
	label := strings.Map(func(r rune) rune {
		if r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r)) {
			return r
		}
		return '_'
	}, account)
	return label[:min(len(label), maxMetricLabel)]
}
