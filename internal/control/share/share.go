// Package share divides the limits of client accounts among the hosts that send statements to backend
// servers, so that the sum over all hosts stays within each limit. The control leader's Allocator
// decides which share of each limit a host holds; each host's Holder admits operations within its
// shares. The package does no I/O.
//
// A share lasts for Term after the last renewal. The allocator gives out only what no host may still
// be using: what a holder has confirmed to have given up, or what has expired. An account's operations
// in any window are thus at most what one token bucket with the account's rate and Capacity admits.
package share

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/control/spec"
)

const (
	// Whole is the share of a limit that all holders hold together at most.
	Whole uint32 = 1 << 20
	// Term is how long a share lasts after the renewal that confirmed it was sent. It covers the
	// election of a control leader and a restart of most control hosts. A host must stay registered for as
	// long after its last renewal.
	Term = 4500 * time.Millisecond
	// clockDriftDivisor sets how much earlier a holder ends its shares, to allow for clocks that run at
	// different rates.
	clockDriftDivisor = 20
	// usedTolerance is the part of the tolerance that capacities use.
	usedTolerance = 0.8
	// demandPeriod is the time over which demand is averaged.
	demandPeriod = time.Second
	// tokenUnit is the unit of operations that are passed on with a share.
	tokenUnit = 0.001
	// demandUnit is the unit of demand in reports, in operations per second.
	demandUnit = 0.01
	// minReportPeriod is the shortest time between reports from which a rise of demand is judged.
	minReportPeriod = 50 * time.Millisecond
	// urgentInterval is the least time between two reports that were not due.
	urgentInterval = 100 * time.Millisecond
	// refusalInterval is the least time between two summaries of an account's refusals.
	refusalInterval = 5 * time.Second
	// firstShareWait is how long after its declaration an account's first share may take: two renewals and
	// a plan.
	firstShareWait = 800 * time.Millisecond
	// minDemand is the demand below which an account counts as idle, in operations per second.
	minDemand = 0.02
	// refreshInterval is the longest time between two reports on an account that is not idle, and
	// demandAge the age from which the allocator ignores a report.
	refreshInterval = 2 * time.Second
	demandAge       = 3 * refreshInterval
)

// Tolerance is by how much the operations of an account in any Window may exceed the account's limit,
// Rate x Window + Burst: by the fraction Excess of it and by Operations.
type Tolerance struct {
	Window     time.Duration
	Excess     float64
	Operations float64
}

// Rate returns the rate at which an account may start operations on all hosts together, per second. It is
// above the account's rate by half of the excess, since holders with little demand leave some of
// theirs unused.
func (t Tolerance) Rate(a spec.Account) float64 { return a.Rate * (1 + t.Excess/2) }

// Capacity returns how many operations of an account may start at once on all hosts together. Beyond the
// account's burst it uses part of the tolerance, so that holders of small shares have room for whole
// operations.
func (t Tolerance) Capacity(a spec.Account) float64 {
	window := t.Window.Seconds()
	tolerated := t.Excess*(a.Rate*window+a.Burst) + t.Operations
	return a.Burst + usedTolerance*tolerated - (t.Rate(a)-a.Rate)*window
}

// fraction returns a share as a number from 0 to 1.
func fraction(share uint32) float64 { return float64(share) / float64(Whole) }
