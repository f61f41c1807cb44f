package leader

import (
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// maxStandingHosts is the largest number of entry hosts that hold shares of the accounts' limits without
// demand, where no control host sends statements.
const maxStandingHosts = 16

// shareHost returns the identity of a host's process.
func shareHost(host string, run *wire.HostState) share.Host {
	return share.Host{Name: host, Instance: run.GetInstance(), Link: run.GetLink()}
}

// resetShares starts the division of the accounts' limits anew in a new term. The caller holds mu.
func (l *Leader) resetShares(term uint64, elected time.Time) {
	l.shares = &share.Allocator{Tolerance: l.Tolerance, LeaderTerm: term, ElectedAt: elected, Unreported: map[string]share.Host{}, StandingOnly: l.ControlLends}
	l.shares.OnChange = l.logShare
	if term == 0 {
		return
	}
	l.Driver.View(func(s *state.State) {
		for _, r := range s.List(spec.Hosts) {
			if r.Host != nil && (!l.ControlLends || isLender(r.Host)) {
				l.shares.Unreported[r.Name] = shareHost(r.Name, r.Host)
			}
		}
		l.shares.FirstManifest = s.Get(spec.Manifests, spec.CurrentManifest) == nil
		l.shares.SetAccounts(l.Now(), l.declaredAccounts(s))
		l.updateShares(s)
	})
}

// declaredAccounts returns the accounts of the manifest. The caller holds mu.
func (l *Leader) declaredAccounts(s *state.State) []spec.Account {
	l.loadManifest(s)
	return l.accounts
}

// updateShares passes the declared accounts, and the hosts that send most statements, on to the allocator.
// The caller holds mu.
func (l *Leader) updateShares(s *state.State) {
	l.loadManifest(s)
	if len(l.accounts) == 0 {
		return
	}
	var names []string
	for _, r := range s.List(spec.Hosts) {
		if r.Host != nil && !r.Host.Draining && !spec.Leaving(r.Spec) && (isLender(r.Host) || !l.ControlLends) {
			names = append(names, r.Name)
		}
	}
	if !l.ControlLends && len(names) > maxStandingHosts {
		names = nil
	}
	l.shares.SetStanding(names)
	l.Meter.SetGauge("limits.accounts", int64(len(l.accounts)))
	l.Meter.SetGauge("limits.exhausted", int64(l.shares.Exhausted()))
}

// isLender reports whether a host only lends connections.
func isLender(h *wire.HostState) bool { return !slices.Contains(h.Roles, string(conf.RoleEntry)) }

// mayHoldShares reports whether the registered process of a host may be using shares. The caller holds mu.
func (l *Leader) mayHoldShares(now time.Time, host string) bool {
	return len(l.accounts) > 0 && l.shares.MayHold(now, host)
}

// minLoggedShare is the least change of a share that is logged.
const minLoggedShare = share.Whole / 8

// logShare logs a change of a host's share of the limit of an account.
func (l *Leader) logShare(account, host string, from, to uint32) {
	l.Meter.AddCounter("limits.changes", 1)
	if max(from, to)-min(from, to) < minLoggedShare {
		return
	}
	l.Log.WithField("account", account).WithField("to", host).WithField("from_share", percent(from)).WithField("share", percent(to)).Debug("share of an account's limit changed")
}

func percent(n uint32) int { return int(uint64(n) * 100 / uint64(share.Whole)) }
