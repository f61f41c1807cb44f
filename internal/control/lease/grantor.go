// Package lease implements host leases. The control leader grants them through a Grantor, which
// also tracks which revisions of the control state are in force on the hosts. Each host tracks
// its own lease in a HostLease and serves only while it is valid. The package does no I/O.
//
// A host counts its lease from before it sends the request, and the grantor from after it
// receives it, so the lease always ends earlier for the host than for the grantor (Gray and
// Cheriton, "Leases", 1989).
package lease

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
)

// clockDriftDivisor sets how much earlier a host ends its lease, to allow for clocks that run at
// different rates: by 1/clockDriftDivisor of the duration (5 %).
const clockDriftDivisor = 20

// applyLimitLeases is how long a host may take to apply a committed revision, in lease durations.
// After that its renewals are refused.
const applyLimitLeases = 1

// Grantor grants leases to hosts on behalf of the control leader of one term. It is not safe for
// concurrent use.
type Grantor struct {
	// LeaseDuration is how long each granted lease lasts. All leaders must use the same one.
	LeaseDuration time.Duration
	// ElectedAt is when this leader was elected. Leases that its predecessor granted may run for
	// up to one LeaseLength from then.
	ElectedAt time.Time

	hosts map[string]hostState
	// recentCommits are commits that hosts still have time to apply, oldest first.
	recentCommits []revisionCommit
	// minRevision is the latest revision that hosts must have applied to renew.
	minRevision uint64
}

// hostState is what the grantor knows of a host: the latest revision that it has confirmed and
// the end of its lease.
type hostState struct {
	appliedRevision uint64
	leaseEnd        time.Time
}

// revisionCommit is a revision and when it was committed.
type revisionCommit struct {
	revision uint64
	at       time.Time
}

// RecordCommit records the latest committed revision, which hosts have to apply. The leader calls
// it regularly; calls within an eighth of a lease duration after the last record have no effect,
// which bounds the number of records.
func (g *Grantor) RecordCommit(now time.Time, revision uint64) {
	if n := len(g.recentCommits); n > 0 && now.Sub(g.recentCommits[n-1].at) < g.LeaseDuration/8 {
		return
	}
	g.recentCommits = append(g.recentCommits, revisionCommit{revision, now})
}

// Renew renews the lease of a host that has applied the given revision, and returns "". It returns
// NoQuorum if the leader's own lease, which ends at leaderLeaseEnd, has ended, and Behind if the
// host has not applied a committed revision in time.
func (g *Grantor) Renew(now, leaderLeaseEnd time.Time, host string, applied uint64) fault.Reason {
	if g.hosts == nil {
		g.hosts = map[string]hostState{}
	}
	if !now.Before(leaderLeaseEnd) {
		return fault.NoQuorum
	}
	state := g.hosts[host]
	state.appliedRevision = max(state.appliedRevision, applied)
	if state.appliedRevision < g.requiredRevision(now) {
		g.hosts[host] = state
		return fault.Behind
	}
	state.leaseEnd = now.Add(g.LeaseDuration)
	g.hosts[host] = state
	return ""
}

// requiredRevision returns the latest recorded revision that was committed more than
// applyLimitLeases lease durations ago.
func (g *Grantor) requiredRevision(now time.Time) uint64 {
	cutoff := now.Add(-applyLimitLeases * g.LeaseDuration)
	for len(g.recentCommits) > 0 && g.recentCommits[0].at.Before(cutoff) {
		g.minRevision = g.recentCommits[0].revision
		g.recentCommits = g.recentCommits[1:]
	}
	return g.minRevision
}

// Remove drops a host that has announced its departure or has restarted, so that nothing waits for
// its former lease.
func (g *Grantor) Remove(host string) { delete(g.hosts, host) }

// RemoveExcept drops the hosts for which keep returns false because they are no longer registered.
// They have announced their departure, or were removed after their lease had ended.
func (g *Grantor) RemoveExcept(keep func(host string) bool) {
	for host := range g.hosts {
		if !keep(host) {
			delete(g.hosts, host)
		}
	}
}

// Expired reports whether the host certainly holds no lease, from this leader or its predecessor.
// It is false for all hosts until the predecessor's leases have ended.
func (g *Grantor) Expired(now time.Time, host string) bool {
	if now.Before(g.ElectedAt.Add(g.LeaseDuration)) {
		return false
	}
	return !now.Before(g.hosts[host].leaseEnd)
}

// HasLease reports whether the host holds a lease granted by this leader.
func (g *Grantor) HasLease(now time.Time, host string) bool {
	return now.Before(g.hosts[host].leaseEnd)
}

// Remaining returns how much longer the host's lease from this leader lasts, zero if it has none.
func (g *Grantor) Remaining(now time.Time, host string) time.Duration {
	return max(0, g.hosts[host].leaseEnd.Sub(now))
}

// AppliedRevision returns the latest revision that the host has reported to this leader as applied,
// or zero.
func (g *Grantor) AppliedRevision(host string) uint64 { return g.hosts[host].appliedRevision }

// InForceOn reports whether a revision is in force on the host: the host has applied it or holds
// no lease, so that it cannot serve under an older one.
func (g *Grantor) InForceOn(now time.Time, host string, revision uint64) bool {
	if state, known := g.hosts[host]; known && state.appliedRevision >= revision {
		return true
	}
	return g.Expired(now, host)
}

// InForce returns the latest revision, at most the given one, that is in force on all hosts.
func (g *Grantor) InForce(now time.Time, hosts []string, revision uint64) uint64 {
	for _, host := range hosts {
		if g.Expired(now, host) {
			continue
		}
		revision = min(revision, g.hosts[host].appliedRevision)
	}
	return revision
}
