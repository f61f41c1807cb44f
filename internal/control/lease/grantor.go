// Package lease provides the decisions on host leases: the leader's side, which grants them
// and knows what is in force, and the host's side, which serves only under one.
//
// A holder counts its lease from before it sent the request and the grantor from after it
// received it, so the grantor's view ends later (Gray and Cheriton, "Leases", 1989).
package lease

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
)

// driftShare is the part of a lease that its holder gives up for clocks that run at
// different rates: one in this many.
const driftShare = 20

// maxBehind is how many leases a host may take to apply a revision before it is refused.
const maxBehind = 1

// Grantor grants leases on behalf of a leader. It is not safe for concurrent use.
type Grantor struct {
	// Length is the length of a lease.
	Length time.Duration
	// Elected is when this leader was elected; leases of the one before it run on from there.
	Elected time.Time

	hosts  map[string]tenant
	marks  []mark
	passed uint64
}

type tenant struct {
	applied uint64
	until   time.Time
}

// mark remembers when a revision was committed.
type mark struct {
	revision uint64
	at       time.Time
}

// Committed tells the grantor of a revision that hosts have to apply.
func (g *Grantor) Committed(now time.Time, revision uint64) {
	if n := len(g.marks); n > 0 && now.Sub(g.marks[n-1].at) < g.Length/8 {
		return
	}
	g.marks = append(g.marks, mark{revision, now})
}

// Renew decides on a renewal by a host that has applied a revision. The leader's own lease
// on its leadership must last beyond now. It returns the reason of a refusal, or "".
func (g *Grantor) Renew(now, leaderUntil time.Time, host string, applied uint64) fault.Reason {
	if g.hosts == nil {
		g.hosts = map[string]tenant{}
	}
	if !now.Before(leaderUntil) {
		return fault.NoQuorum
	}
	t := g.hosts[host]
	t.applied = max(t.applied, applied)
	if t.applied < g.required(now) {
		g.hosts[host] = t
		return fault.Behind
	}
	t.until = now.Add(g.Length)
	g.hosts[host] = t
	return ""
}

// required returns the newest revision that was committed more than a lease ago.
func (g *Grantor) required(now time.Time) uint64 {
	limit := now.Add(-maxBehind * g.Length)
	for len(g.marks) > 0 && g.marks[0].at.Before(limit) {
		g.passed = g.marks[0].revision
		g.marks = g.marks[1:]
	}
	return g.passed
}

// Forget drops a host that left by its own word, so that nothing waits for its lease.
func (g *Grantor) Forget(host string) { delete(g.hosts, host) }

// Retain forgets all hosts that keep does not hold for members: those have left by their
// own word, or long after their lease.
func (g *Grantor) Retain(keep func(host string) bool) {
	for host := range g.hosts {
		if !keep(host) {
			delete(g.hosts, host)
		}
	}
}

// Expired reports whether the host holds no lease, from this leader or the one before.
func (g *Grantor) Expired(now time.Time, host string) bool {
	if now.Before(g.Elected.Add(g.Length)) {
		return false
	}
	return !now.Before(g.hosts[host].until)
}

// Live reports whether the host holds a lease that this leader granted.
func (g *Grantor) Live(now time.Time, host string) bool {
	return now.Before(g.hosts[host].until)
}

// Left returns how long the host's lease lasts; zero where it holds none.
func (g *Grantor) Left(now time.Time, host string) time.Duration {
	return max(0, g.hosts[host].until.Sub(now))
}

// Applied returns the revision that the host has confirmed to this leader.
func (g *Grantor) Applied(host string) uint64 { return g.hosts[host].applied }

// Holds reports whether a revision is in force on the host: confirmed, or without a lease.
func (g *Grantor) Holds(now time.Time, host string, revision uint64) bool {
	if t, seen := g.hosts[host]; seen && t.applied >= revision {
		return true
	}
	return g.Expired(now, host)
}

// InForce returns the newest revision up to revision that is in force on all hosts.
func (g *Grantor) InForce(now time.Time, hosts []string, revision uint64) uint64 {
	for _, host := range hosts {
		if g.Expired(now, host) {
			continue
		}
		revision = min(revision, g.hosts[host].applied)
	}
	return revision
}
