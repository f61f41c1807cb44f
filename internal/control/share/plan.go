package share

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// settleInterval is the least time between two checks for shares that have expired.
	settleInterval = 100 * time.Millisecond
	// planInterval is the least time between two plans of an account: the demand of all holders is
	// reported once in it.
	planInterval = 250 * time.Millisecond
	// aliveWithin is how long after its last report a host takes part in plans.
	aliveWithin = time.Second
	// minChange is the least change of a share that is worth a plan: tokens are lost with each.
	minChange = Whole / 64
	// minSpare is the part of a limit that is divided equally even if the demand exceeds the limit.
	minSpare = 0.05
	// minTokens is the capacity that each holder should have at least, in operations.
	minTokens = 1.5
	// exhaustedPart is the part of its capacity that an account has left at most when it has used up its
	// limit, and recoveredPart the part from which it has not any more.
	exhaustedPart = 0.05
	recoveredPart = 0.25
	// recoveredDemand is the part of its rate below which an account's demand no longer exceeds its limit.
	recoveredDemand = 0.8
	// maxEqualPart is the part of a limit that may be divided equally for that.
	maxEqualPart = 0.5
)

// planDirty plans the accounts that need it and were not planned recently.
func (a *Allocator) planDirty(now time.Time) {
	if len(a.dirty) == 0 {
		return
	}
	standing := a.standingHolders(now)
	for name := range a.dirty {
		l := a.accounts[name]
		if l != nil && now.Sub(l.plannedAt) < planInterval {
			continue
		}
		delete(a.dirty, name)
		if l != nil && l.declared.Rate > 0 {
			a.plan(now, name, l, standing)
		}
	}
}

// standingHolders returns the hosts that hold shares without demand and have reported recently.
func (a *Allocator) standingHolders(now time.Time) []*holding {
	var list []*holding
	for name := range a.standing {
		for _, h := range a.holders[name] {
			if h.alive(now) {
				list = append(list, h)
			}
		}
	}
	return list
}

func (h *holding) alive(now time.Time) bool {
	return h.registered && now.Sub(h.heardAt) < aliveWithin
}

// candidate is a holder in a plan.
type candidate struct {
	h        *holding
	demand   float64
	standing bool
	// barred is set for a host that must hold no share.
	barred bool
	target uint32
}

// plan decides the shares that the holders of an account should have: what they are asked for, and an
// equal part each of what is left.
func (a *Allocator) plan(now time.Time, name string, l *limit, standing []*holding) {
	l.plannedAt = now
	available := a.allowed(l)
	list := make([]candidate, 0, len(standing)+len(l.held))
	for _, h := range standing {
		list = append(list, candidate{h: h, standing: true})
	}
	for h, s := range l.held {
		switch {
		case !h.alive(now):
			available -= min(available, s.most())
		case a.standing[h.host.Name]:
		case a.StandingOnly:
			list = append(list, candidate{h: h, barred: true})
		case s.confirmed == 0 && len(s.issues) == 0 && s.demand < minDemand:
			l.tokensLeft -= s.tokens
			delete(l.held, h)
			delete(h.shares, name)
		default:
			list = append(list, candidate{h: h})
		}
	}
	for i := range list {
		if s := l.held[list[i].h]; s != nil && !list[i].barred && now.Sub(s.demandAt) < demandAge && s.demand >= minDemand {
			list[i].demand = s.demand
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return strings.Compare(a.h.host.Name+"/"+a.h.host.Instance, b.h.host.Name+"/"+b.h.host.Instance)
	})
	divide(list, available, l.declared.Rate, a.Tolerance.Capacity(l.declared))
	if !l.changed && !differs(list, l) {
		return
	}
	l.changed = false
	clear(l.targets)
	for _, c := range list {
		l.targets[c.h] = c.target
		c.h.pending[name] = true
	}
}

// allowed returns how much of a limit may be given out.
func (a *Allocator) allowed(l *limit) uint32 {
	if a.allKnown {
		return Whole
	}
	return l.reported
}

// divide sets the targets of the holders of an account with a rate and a capacity. Holders that would have
// no room for whole operations get nothing: those with the least demand.
func divide(list []candidate, available uint32, rate, capacity float64) {
	sharing := make([]*candidate, 0, len(list))
	for i := range list {
		if c := &list[i]; c.standing || c.demand > 0 {
			sharing = append(sharing, c)
		}
	}
	slices.SortStableFunc(sharing, func(a, b *candidate) int { return cmp.Compare(b.demand, a.demand) })
	sharing = sharing[:min(len(sharing), max(1, int(capacity/minTokens)))]
	if len(sharing) == 0 {
		return
	}
	n := float64(len(sharing))
	demand := 0.0
	for _, c := range sharing {
		demand += c.demand
	}
	equal := max(rate*fraction(available)-demand, minSpare*rate) / n
	total := demand + equal*n
	floor := min(minTokens/capacity, maxEqualPart*fraction(available)/n) * float64(Whole)
	rest := float64(available) - floor*n
	for _, c := range sharing {
		c.target = uint32(max(0, floor+rest*(c.demand+equal)/total-1))
	}
}

// differs reports whether a plan changes a share by enough.
func differs(list []candidate, l *limit) bool {
	for _, c := range list {
		current, ok := l.targets[c.h]
		if !ok || c.target > current+minChange || current > c.target+minChange {
			return true
		}
	}
	return false
}

// issue issues the changes that bring the host's shares towards their targets. A share grows only by what
// no holder may be using.
// Fresh says that the latest version has not been sent yet.
func (a *Allocator) issue(h *holding, fresh bool) {
	for name := range h.pending {
		l := a.accounts[name]
		target, planned := uint32(0), false
		if l != nil {
			target, planned = l.targets[h]
		}
		if !planned {
			delete(h.pending, name)
			continue
		}
		s := h.share(a, name)
		next, current, tokens := target, s.latest(), 0.0
		if target > current {
			free := a.free(l)
			next = current + min(target-current, free)
			if next > current {
				tokens = min(l.tokens, a.freeTokens(l)) * float64(next-current) / float64(free)
				l.tokens -= tokens
			}
		}
		if next != current {
			if !fresh {
				h.version++
				fresh = true
			}
			h.append(name, s, next, tokens)
			if a.OnChange != nil {
				a.OnChange(name, h.host.Name, current, next)
			}
		}
		if next == target {
			delete(h.pending, name)
		}
	}
}

// free returns how much of a limit no holder may be using.
func (a *Allocator) free(l *limit) uint32 {
	free := a.allowed(l)
	for _, s := range l.held {
		free -= min(free, s.most())
	}
	return free
}

// freeTokens returns the capacity of the part of a limit that no holder may be using.
func (a *Allocator) freeTokens(l *limit) float64 {
	return fraction(a.free(l)) * a.Tolerance.Capacity(l.declared)
}
