package share

import (
	"maps"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// Host identifies one start of a host.
type Host struct {
	Name     string
	Instance string
	// Link is the address at which other hosts reach it. Two processes at one address do not run at
	// the same time.
	Link string
}

// Allocator decides which share of each account's limit each host holds, on behalf of the control leader
// of one term. The exported fields are set before the first call. It is not safe for concurrent use.
type Allocator struct {
	Tolerance Tolerance
	// LeaderTerm is the term of the leader, and ElectedAt the time of its election.
	LeaderTerm uint64
	ElectedAt  time.Time
	// Unreported are the hosts that were registered at the election and may hold shares of a former leader,
	// by name. The allocator removes those that have reported.
	Unreported map[string]Host
	// FirstManifest is set if there was no manifest at the election.
	FirstManifest bool
	// StandingOnly is set if only the standing hosts hold shares.
	StandingOnly bool
	// OnChange, if set, is called with each change of a share that is decided.
	OnChange func(account, host string, from, to uint32)

	accounts map[string]*limit
	// known is set once the accounts at the election are.
	known bool
	// standing are the names of the hosts that hold shares without demand.
	standing map[string]bool
	// holders are the hosts that have reported, by name and instance.
	holders map[string]map[string]*holding
	// dirty are the accounts to be planned.
	dirty map[string]bool
	// exhausted are the accounts that have used up their limits.
	exhausted map[string]bool
	settledAt time.Time
	// allKnown is set once no host holds a share that it has not reported.
	allKnown bool
}

// limit is the allocator's state of one account.
type limit struct {
	declared spec.Account
	// reported is how much of the limit the hosts have reported to hold from a former leader. Until all of
	// them are known, no more is given out.
	reported uint32
	held     map[*holding]*heldShare
	// tokens came with the part of the limit that no host holds.
	tokens float64
	// targets are the shares that the holders should have.
	targets map[*holding]uint32
	// changed is set if the holders or the limit have changed since the last plan.
	changed   bool
	plannedAt time.Time
	// tokensLeft is the number of operations that the holders may start at once.
	tokensLeft uint64
}

// holding is the allocator's state of one start of a host.
type holding struct {
	host    Host
	seq     uint64
	heardAt time.Time
	// registered is set once the host has reported all its shares.
	registered bool
	// version is the version of the last change that was issued, confirmed the last one that the host has
	// applied, and complete the last one that has to list all shares.
	version, confirmed, complete uint64
	shares                       map[string]*heldShare
	// pending are the accounts whose share may differ from its target, and unconfirmed those with
	// changes that the host has not confirmed.
	pending, unconfirmed map[string]bool
}

// heldShare is a host's share of one account.
type heldShare struct {
	confirmed uint32
	// issues are the changes that the host may have applied, oldest first.
	issues   []issue
	demand   float64
	demandAt time.Time
	tokens   uint64
}

// issue is a share that was sent to a host.
type issue struct {
	version uint64
	share   uint32
	tokens  float64
}

// latest returns the share that the host has once it has applied all changes.
func (s *heldShare) latest() uint32 {
	if n := len(s.issues); n > 0 {
		return s.issues[n-1].share
	}
	return s.confirmed
}

// most returns the largest share that the host may be using.
func (s *heldShare) most() uint32 {
	most := s.confirmed
	for _, i := range s.issues {
		most = max(most, i.share)
	}
	return most
}

// confirm records that the host has applied all changes up to version. It reports whether none is left.
func (s *heldShare) confirm(version uint64) bool {
	n := 0
	for n < len(s.issues) && s.issues[n].version <= version {
		s.confirmed = s.issues[n].share
		n++
	}
	s.issues = s.issues[n:]
	return len(s.issues) == 0
}

// SetAccounts replaces the declared accounts, whose limits guide the division. An account that is certainly
// new starts with its whole capacity: no leader has known it within a window, or there was no manifest
// at the election, after which the first call must set the accounts of that time.
func (a *Allocator) SetAccounts(now time.Time, list []spec.Account) {
	fresh := a.known && (a.FirstManifest || now.Sub(a.ElectedAt) >= Term+a.Tolerance.Window)
	a.known = true
	if a.accounts == nil {
		a.accounts = map[string]*limit{}
	}
	declared := map[string]bool{}
	for _, d := range list {
		if d.Rate == 0 {
			continue
		}
		declared[d.Name] = true
		added := fresh && a.accounts[d.Name] == nil
		l := a.limit(d.Name)
		if added {
			l.tokens = a.Tolerance.Capacity(d)
		}
		if l.declared.Rate != d.Rate || l.declared.Burst != d.Burst {
			a.replan(d.Name, l)
		}
		l.declared = d
	}
	for name, l := range a.accounts {
		if declared[name] {
			continue
		}
		l.declared = spec.Account{}
		// The account stays known, so that it is not new if it is declared again.
		delete(a.exhausted, name)
	}
}

// limit returns the state of an account, which it creates if necessary.
func (a *Allocator) limit(name string) *limit {
	l := a.accounts[name]
	if l == nil {
		if a.accounts == nil {
			a.accounts = map[string]*limit{}
		}
		l = &limit{held: map[*holding]*heldShare{}, targets: map[*holding]uint32{}}
		a.accounts[name] = l
	}
	return l
}

// SetStanding replaces the names of the hosts that hold shares also without demand: those that send
// most statements.
func (a *Allocator) SetStanding(names []string) {
	next := map[string]bool{}
	for _, name := range names {
		next[name] = true
	}
	if !maps.Equal(next, a.standing) {
		a.standing = next
		a.replanAll()
	}
}

// replan makes the next renewal plan an account anew.
func (a *Allocator) replan(name string, l *limit) {
	l.changed = true
	a.markDirty(name)
}

func (a *Allocator) markDirty(name string) {
	if a.dirty == nil {
		a.dirty = map[string]bool{}
	}
	a.dirty[name] = true
}

func (a *Allocator) replanAll() {
	for name, l := range a.accounts {
		a.replan(name, l)
	}
}

// Renew handles a host's report, which came with the renewal with the sequence number seq, and returns the
// answer, nil if there is none. The leader must hold its own lease at now.
func (a *Allocator) Renew(now time.Time, host Host, seq uint64, r *wire.ShareReport) *wire.ShareGrant {
	a.noteStart(host)
	if r == nil || r.Term > a.LeaderTerm {
		return nil
	}
	a.settle(now)
	h := a.holding(now, host)
	if seq <= h.seq {
		return nil
	}
	h.seq = seq
	if r.Term < a.LeaderTerm || r.Version != 0 && !h.registered {
		return &wire.ShareGrant{Term: a.LeaderTerm, Report: true}
	}
	if h.registered && !h.alive(now) {
		a.replanFor(h)
	}
	h.heardAt = now
	if r.Version == 0 {
		a.register(h, r)
	} else {
		h.confirm(min(r.Version, h.version))
	}
	a.recordDemand(now, h, r)
	a.planDirty(now)
	a.issue(h, r.Version == 0)
	g := h.grant()
	g.Term, g.Limited = a.LeaderTerm, a.exhaustedAccounts(h)
	return g
}

// noteStart records that a host has reported or has been started anew at the same address.
func (a *Allocator) noteStart(host Host) {
	if former, ok := a.Unreported[host.Name]; ok && former.Instance != host.Instance && former.Link == host.Link {
		delete(a.Unreported, host.Name)
	}
}

// settle does what depends on time alone: it drops hosts whose shares have expired, and notes when all
// shares of a former leader are known.
func (a *Allocator) settle(now time.Time) {
	if now.Sub(a.settledAt) < settleInterval {
		return
	}
	a.settledAt = now
	for _, starts := range a.holders {
		for _, h := range starts {
			if now.Sub(h.heardAt) >= Term {
				a.drop(h)
			}
		}
	}
	if !a.allKnown && a.sharesKnown(now) {
		a.allKnown = true
		a.replanAll()
	}
}

// sharesKnown reports whether no host holds a share of a former leader that it has not reported.
func (a *Allocator) sharesKnown(now time.Time) bool {
	return len(a.Unreported) == 0 || !now.Before(a.ElectedAt.Add(Term))
}

// MayHold reports whether a process of a host may hold shares. While it does, the host must stay registered.
func (a *Allocator) MayHold(now time.Time, name string) bool {
	if _, unreported := a.Unreported[name]; unreported && now.Before(a.ElectedAt.Add(Term)) {
		return true
	}
	for _, h := range a.holders[name] {
		if now.Sub(h.heardAt) < Term && h.holdsAny() {
			return true
		}
	}
	return false
}

// holdsAny reports whether the host may be using a share.
func (h *holding) holdsAny() bool {
	for _, s := range h.shares {
		if s.most() > 0 {
			return true
		}
	}
	return false
}

// holding returns the state of a host, which it creates if necessary. A new start of a host at the same
// address shows that the former one has ended.
func (a *Allocator) holding(now time.Time, host Host) *holding {
	starts := a.holders[host.Name]
	if h := starts[host.Instance]; h != nil {
		return h
	}
	for _, former := range starts {
		if former.host.Link == host.Link {
			a.drop(former)
		}
	}
	h := &holding{host: host, heardAt: now, shares: map[string]*heldShare{}, pending: map[string]bool{}, unconfirmed: map[string]bool{}}
	if a.holders == nil {
		a.holders = map[string]map[string]*holding{}
	}
	if a.holders[host.Name] == nil {
		a.holders[host.Name] = map[string]*holding{}
	}
	a.holders[host.Name][host.Instance] = h
	return h
}

// drop forgets a host whose shares have ended.
func (a *Allocator) drop(h *holding) {
	for name, s := range h.shares {
		l := a.accounts[name]
		l.tokensLeft -= s.tokens
		delete(l.held, h)
		delete(l.targets, h)
	}
	delete(a.holders[h.host.Name], h.host.Instance)
	if len(a.holders[h.host.Name]) == 0 {
		delete(a.holders, h.host.Name)
	}
	a.replanFor(h)
}

// replanFor makes the next renewals plan the accounts in whose plans a host takes part.
func (a *Allocator) replanFor(h *holding) {
	if a.standing[h.host.Name] {
		a.replanAll()
		return
	}
	for name := range h.shares {
		a.replan(name, a.accounts[name])
	}
}

// register records a complete report. Shares that this leader has not given out count only while the
// shares of former leaders may still be in use; later they have expired.
func (a *Allocator) register(h *holding, r *wire.ShareReport) {
	reported := map[string]uint32{}
	for _, d := range r.Accounts {
		reported[d.Account] = d.Share
		if d.Share > 0 {
			h.share(a, d.Account)
		}
	}
	for name, s := range h.shares {
		// The host may have applied earlier changes and lost their tokens since.
		for i := range s.issues {
			s.issues[i].tokens = 0
		}
		l, share := a.accounts[name], reported[name]
		switch {
		case h.registered:
			s.confirmed = min(share, s.most())
		case a.allKnown:
			s.confirmed = 0
		default:
			s.confirmed = min(share, Whole-l.reported)
			l.reported += s.confirmed
		}
	}
	if a.Unreported[h.host.Name].Instance == h.host.Instance {
		delete(a.Unreported, h.host.Name)
	}
	if !h.registered {
		a.replanFor(h)
	}
	h.registered = true
	h.version++
	h.complete = h.version
	for name, s := range h.shares {
		if s.latest() != reported[name] {
			// The answer changes what the host holds, even if nothing else does.
			h.append(name, s, s.latest(), 0)
		}
	}
}

// share returns the host's share of an account, which it creates if necessary.
func (h *holding) share(a *Allocator, name string) *heldShare {
	s := h.shares[name]
	if s == nil {
		s = &heldShare{}
		h.shares[name] = s
		a.limit(name).held[h] = s
	}
	return s
}

// append adds a change to the version that is being issued.
func (h *holding) append(name string, s *heldShare, share uint32, tokens float64) {
	s.issues = append(s.issues, issue{h.version, share, tokens})
	h.unconfirmed[name] = true
}

// confirm records that the host has applied all changes up to version.
func (h *holding) confirm(version uint64) {
	if version <= h.confirmed {
		return
	}
	h.confirmed = version
	for name := range h.unconfirmed {
		if h.shares[name].confirm(version) {
			delete(h.unconfirmed, name)
		}
	}
}

// recordDemand records the demand in a report.
func (a *Allocator) recordDemand(now time.Time, h *holding, r *wire.ShareReport) {
	for _, d := range r.Accounts {
		l := a.accounts[d.Account]
		if l == nil {
			continue
		}
		if d.Returned > 0 {
			l.tokens = min(l.tokens+float64(d.Returned)*tokenUnit, a.freeTokens(l))
		}
		s := h.share(a, d.Account)
		s.demand, s.demandAt = float64(d.Demand)*demandUnit, now
		l.tokensLeft -= s.tokens
		s.tokens = d.Tokens
		l.tokensLeft += s.tokens
		a.noteExhausted(d.Account, l)
		switch {
		case s.demand < minDemand && !a.standing[h.host.Name]:
			a.replan(d.Account, l)
		case d.Short:
			a.markDirty(d.Account)
		}
	}
}

// noteExhausted records whether an account has used up its limit: it has no tokens left and asks for more
// than its rate. After a restart of its holders it has none either, but gets some soon.
func (a *Allocator) noteExhausted(name string, l *limit) {
	left := float64(l.tokensLeft) / a.Tolerance.Capacity(l.declared)
	demand := 0.0
	for _, s := range l.held {
		demand += s.demand
	}
	switch {
	case l.declared.Rate == 0 || left >= recoveredPart || demand < recoveredDemand*l.declared.Rate:
		delete(a.exhausted, name)
	case left <= exhaustedPart && demand > l.declared.Rate:
		if a.exhausted == nil {
			a.exhausted = map[string]bool{}
		}
		a.exhausted[name] = true
	}
}

// Exhausted returns the number of accounts that have used up their limits.
func (a *Allocator) Exhausted() int { return len(a.exhausted) }

// exhaustedAccounts returns the accounts with a share at a host that have used up their limits.
func (a *Allocator) exhaustedAccounts(h *holding) []string {
	var list []string
	for name := range a.exhausted {
		if h.shares[name] != nil {
			list = append(list, name)
		}
	}
	return list
}

// grant returns the answer that brings the host to the latest version.
func (h *holding) grant() *wire.ShareGrant {
	g := &wire.ShareGrant{Base: h.confirmed, Version: h.version, Complete: h.complete > h.confirmed}
	if g.Complete {
		for name, s := range h.shares {
			if s.confirmed > 0 && len(s.issues) == 0 {
				g.Shares = append(g.Shares, &wire.AccountShare{Account: name, Share: s.confirmed})
			}
		}
	}
	for name := range h.unconfirmed {
		for _, i := range h.shares[name].issues {
			g.Shares = append(g.Shares, &wire.AccountShare{Account: name, Share: i.share, Version: i.version, Tokens: uint64(i.tokens / tokenUnit)})
		}
	}
	return g
}
