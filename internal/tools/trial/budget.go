package trial

import "fmt"

// The target's size (the users' letter).
const (
	targetHosts     = 2100
	targetGroups    = 18000
	targetRegions   = 5
	targetCallers   = 7.6e6
	targetRate      = 19e6
	targetChanges   = 14000
	dayLength       = 86400.0
	limitProcessor  = 2.0
	limitMemory     = 256e6
	limitBytes      = 9000.0
	limitControl    = 30
	holderInstances = 3
	// otherObservers is the number of hosts that watch a primary beside the holder.
	otherObservers = 2
)

// Budget is one line of the table: what a role needs at the target's size.
type Budget struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	Formula  string  `json:"formula"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	// Limit is zero where the target names none.
	Limit float64 `json:"limit"`
}

// Fits reports whether the value is within the limit.
func (b Budget) Fits() bool { return b.Limit == 0 || b.Value <= b.Limit }

func (b Budget) limit() string {
	if b.Limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g", b.Limit)
}

// budget works out the table from the slopes.
func budget(list []Slope) []Budget {
	at := map[string]float64{}
	for _, s := range list {
		at[s.Name] = s.Slope
	}
	perRegion := float64(targetGroups) / targetRegions
	hostsPerRegion := float64(targetHosts) / targetRegions
	perHost := float64(targetGroups) / targetHosts
	changes := targetChanges / dayLength
	viewPerHost := at["host's copy"] * targetGroups
	return []Budget{
		{"entry host", "copy of all resources", "slope x 18,000 groups", viewPerHost, "B", limitMemory},
		{"entry host", "copy of one region's resources (not built)", "slope x 3,600 groups", at["host's copy"] * perRegion, "B", limitMemory},
		{"entry host", "taking in changes", "slope x 18,000 x changes/s", 100 * at["taking in a change"] * targetGroups * changes / 1e6, "% of a core", limitProcessor},
		{"entry host", "lease", "half of slope", at["lease, both sides"] / 2, "% of a core", limitProcessor},
		{"entry host", "lease traffic", "slope", at["lease, sent and received"], "B/s", limitBytes},
		{"entry host", "watches of idle backend servers", "slope x groups/host x (3 held + 2 observed)", perHost * (holderInstances + otherObservers) * at["watch of an idle backend server"], "B/s", limitBytes},
		{"entry host", "idle callers", "slope x callers/host", at["idle caller"] * targetCallers / targetHosts, "B", 0},
		{"entry host", "statements forwarded", "(two hosts - direct) x statements/s/host", 100 * (at["statement, through two hosts"] - at["statement, direct"]) * targetRate / targetHosts / 1e6, "% of a core", 0},
		{"control leader", "state, all groups in one quorum", "slope x 18,000", at["control state"] * targetGroups, "B", 0},
		{"control leader", "leases, all hosts on one leader", "half of slope x 2,100", at["lease, both sides"] / 2 * targetHosts, "% of a core", 0},
		{"control leader", "leases, one region (not built)", "half of slope x 420", at["lease, both sides"] / 2 * hostsPerRegion, "% of a core", 0},
		{"control leader", "look at all groups", "slope x 18,000", at["leader's look at all groups"] * targetGroups, "% of a core", 0},
		{"control leader", "snapshot", "slope x 18,000", at["snapshot"] * targetGroups, "B", 0},
		{"control leader", "changes sent to all hosts", "changes/s x 600 B x 2,100", changes * 600 * targetHosts, "B/s", 0},
		{"control", "hosts set aside", "5 regions x 5", targetRegions * 5, "hosts", limitControl},
	}
}
