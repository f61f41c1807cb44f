package trial

import "fmt"

// Size of the target deployment and its limits, as the users specified them. The CPU, memory and
// traffic limits are for each entry host; controlHostLimit is for the whole deployment.
const (
	targetHosts                = 2100
	targetGroups               = 18000
	targetRegions              = 5
	targetCallers              = 7.6e6
	targetStatementsPerSecond  = 19e6
	targetChangesPerDay        = 14000
	secondsPerDay              = 86400.0
	cpuLimitPercent            = 2.0
	memoryLimitBytes           = 256e6
	trafficLimitBytesPerSecond = 9000.0
	controlHostLimit           = 30
	// watchesPerHeldGroup is the number of watches of a host for each group that it holds: one for
	// each instance.
	watchesPerHeldGroup = 3
	// observersPerPrimary is the number of hosts that watch a primary in addition to the group's holder.
	observersPerPrimary = 2
)

// BudgetLine is the estimated use of one resource by one role at the target size.
type BudgetLine struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	Formula  string  `json:"formula"` // how Value is computed from slopes and target sizes
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	// Limit is in the same unit as Value; zero means no limit.
	Limit float64 `json:"limit"`
}

// Fits reports whether the value is within the limit, if there is one.
func (b BudgetLine) Fits() bool { return b.Limit == 0 || b.Value <= b.Limit }

func (b BudgetLine) formatLimit() string {
	if b.Limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g", b.Limit)
}

// computeBudget extrapolates the slopes to the target size.
func computeBudget(slopes []Slope) []BudgetLine {
	slopeOf := map[string]float64{}
	for _, s := range slopes {
		slopeOf[s.Name] = s.Slope
	}
	groupsPerRegion := float64(targetGroups) / targetRegions
	hostsPerRegion := float64(targetHosts) / targetRegions
	groupsPerHost := float64(targetGroups) / targetHosts
	changesPerSecond := targetChangesPerDay / secondsPerDay
	copyBytes := slopeOf["host's copy"] * targetGroups
	return []BudgetLine{
		{"entry host", "copy of all resources", "slope x 18,000 groups", copyBytes, "B", memoryLimitBytes},
		{"entry host", "copy of one region's resources (not built)", "slope x 3,600 groups", slopeOf["host's copy"] * groupsPerRegion, "B", memoryLimitBytes},
		{"entry host", "taking in changes", "slope x 18,000 x changes/s", 100 * slopeOf["taking in a change"] * targetGroups * changesPerSecond / 1e6, "% of a core", cpuLimitPercent},
		{"entry host", "lease", "half of slope", slopeOf["lease, both sides"] / 2, "% of a core", cpuLimitPercent},
		{"entry host", "lease traffic", "slope", slopeOf["lease, sent and received"], "B/s", trafficLimitBytesPerSecond},
		{"entry host", "watches of idle backend servers", "slope x groups/host x (3 held + 2 observed)", groupsPerHost * (watchesPerHeldGroup + observersPerPrimary) * slopeOf["watch of an idle backend server"], "B/s", trafficLimitBytesPerSecond},
		{"entry host", "idle callers", "slope x callers/host", slopeOf["idle caller"] * targetCallers / targetHosts, "B", 0},
		{"entry host", "statements forwarded", "(two hosts - direct) x statements/s/host", 100 * (slopeOf["statement, through two hosts"] - slopeOf["statement, direct"]) * targetStatementsPerSecond / targetHosts / 1e6, "% of a core", 0},
		{"control leader", "state, all groups in one quorum", "slope x 18,000", slopeOf["control state"] * targetGroups, "B", 0},
		{"control leader", "leases, all hosts on one leader", "half of slope x 2,100", slopeOf["lease, both sides"] / 2 * targetHosts, "% of a core", 0},
		{"control leader", "leases, one region (not built)", "half of slope x 420", slopeOf["lease, both sides"] / 2 * hostsPerRegion, "% of a core", 0},
		{"control leader", "look at all groups", "slope x 18,000", slopeOf["leader's look at all groups"] * targetGroups, "% of a core", 0},
		{"control leader", "snapshot", "slope x 18,000", slopeOf["snapshot"] * targetGroups, "B", 0},
		{"control leader", "changes sent to all hosts", "changes/s x 600 B x 2,100", changesPerSecond * 600 * targetHosts, "B/s", 0},
		{"control", "hosts set aside", "5 regions x 5", targetRegions * 5, "hosts", controlHostLimit},
	}
}
