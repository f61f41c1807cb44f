package share_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

const (
	tick          = 20 * time.Millisecond
	renewInterval = 300 * time.Millisecond
	leaseDuration = 1500 * time.Millisecond
	removalDelay  = 3 * time.Second
	window        = 5 * time.Second
)

// world plays control leaders and hosts that admit operations in virtual time. Messages between them may
// be delayed, reordered or lost.
type world struct {
	rng       *rand.Rand
	tolerance share.Tolerance
	start     time.Time
	now       time.Time
	accounts  []spec.Account
	standing  []string
	leader    *share.Allocator
	term      uint64
	hosts     []*host
	// registered are the hosts in the control state, granted when a leader last answered each.
	registered map[string]share.Host
	granted    map[string]time.Time
	mail       []message
	// loss is the part of the messages that is lost, delay the longest usual delay.
	loss  float64
	delay time.Duration
	// admitted are the times of the operations that ran, refused counts the others, by account.
	admitted map[string][]time.Time
	refused  map[string]int
	// mostHeld is the largest sum of the shares of an account at any time.
	mostHeld uint32
	// limits are the limits that were declared, by account, oldest first.
	limits map[string][]declaredLimit
	// limitsChange is set in histories in which limits change.
	limitsChange bool
	// calmness is a factor of the times between events.
	calmness time.Duration
	// These break the protocol, to show that the judge notices: the leader takes each change for confirmed
	// once it is sent, a new leader takes no share for given out, changes are falsified, shares last
	// longer.
	assumeConfirmed, assumeNone bool
	editGrant                   func(h *host, g *wire.ShareGrant)
	holderTerm                  time.Duration
}

type declaredLimit struct {
	at      time.Time
	account spec.Account
}

type message struct {
	at      time.Time
	deliver func()
}

// host is one start of a host.
type host struct {
	share.Host
	w       *world
	holder  *share.Holder
	seq     uint64
	renewAt time.Time
	// frozenUntil and cutUntil are when a frozen host goes on, and a partitioned one is in touch again.
	frozenUntil, cutUntil time.Time
	// ended is set once the process has ended, replaced once another start has the name.
	ended, replaced bool
	// rate is how fast the host's clock runs.
	rate float64
	// load is the number of operations per second that the host is asked for, by account.
	load map[string]float64
}

func newWorld(seed uint64) *world {
	start := time.Unix(1000, 0)
	return &world{
		rng: rand.New(rand.NewPCG(seed, 47)), start: start, now: start, registered: map[string]share.Host{}, granted: map[string]time.Time{},
		admitted: map[string][]time.Time{}, refused: map[string]int{}, limits: map[string][]declaredLimit{}, delay: 10 * time.Millisecond,
	}
}

// declare declares accounts; hosts learn of them at once or, if late, within two seconds.
func (w *world) declare(late bool, list ...spec.Account) {
	w.accounts = list
	for _, a := range list {
		w.limits[a.Name] = append(w.limits[a.Name], declaredLimit{w.now, a})
	}
	if w.leader != nil {
		w.leader.SetAccounts(w.now, list)
	}
	for _, h := range w.hosts {
		if !late {
			h.holder.SetAccounts(h.now(), list)
			continue
		}
		w.post(h, time.Duration(w.rng.Int64N(int64(2*time.Second))), func() { h.holder.SetAccounts(h.now(), w.accounts) })
	}
}

// elect starts a new leader.
func (w *world) elect() {
	w.term++
	w.leader = &share.Allocator{
		Tolerance: w.tolerance, LeaderTerm: w.term, ElectedAt: w.now, Unreported: maps.Clone(w.registered),
	}
	if w.assumeNone {
		w.leader.Unreported = nil
	}
	w.leader.SetAccounts(w.now, w.accounts)
	w.leader.SetStanding(w.standing)
}

// startHost starts a host, anew if one of that name has run before.
func (w *world) startHost(name, link string) *host {
	h := &host{
		Host: share.Host{Name: name, Instance: fmt.Sprint(len(w.hosts)), Link: link}, w: w,
		holder: &share.Holder{Tolerance: w.tolerance, Term: w.holderTerm}, rate: 0.99 + 0.02*w.rng.Float64(), load: map[string]float64{},
	}
	h.renewAt = w.now.Add(time.Duration(w.rng.Int64N(int64(renewInterval))))
	h.holder.OnShort = func() { h.renewAt = w.now }
	h.holder.SetAccounts(h.now(), w.accounts)
	w.hosts = append(w.hosts, h)
	return h
}

// now returns the host's clock.
func (h *host) now() time.Time {
	return h.w.start.Add(time.Duration(float64(h.w.now.Sub(h.w.start)) * h.rate))
}

func (h *host) stopped() bool { return h.ended || h.w.now.Before(h.frozenUntil) }

func (h *host) cut() bool { return h.replaced || h.w.now.Before(h.cutUntil) }

// post delivers something to a host after a delay, later if the host is frozen then.
func (w *world) post(h *host, delay time.Duration, deliver func()) {
	w.mail = append(w.mail, message{w.now.Add(delay), func() {
		switch {
		case h.ended:
		case h.stopped():
			w.mail = append(w.mail, message{h.frozenUntil, deliver})
		default:
			deliver()
		}
	}})
}

// transit returns the delay of a message, and whether it arrives.
func (w *world) transit(h *host) (time.Duration, bool) {
	delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(w.delay)))
	if w.loss > 0 && w.rng.IntN(20) == 0 {
		delay += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return delay, !h.cut() && w.rng.Float64() >= w.loss
}

// renew sends a renewal.
func (h *host) renew() {
	w := h.w
	h.seq += 2
	h.renewAt = w.now.Add(renewInterval)
	seq, r := h.seq, h.holder.Report(h.now(), h.seq)
	if delay, ok := w.transit(h); ok {
		w.mail = append(w.mail, message{w.now.Add(delay), func() { w.answer(h, seq, r) }})
	}
}

// answer lets the leader answer a renewal.
func (w *world) answer(h *host, seq uint64, r *wire.ShareReport) {
	if w.leader == nil || !w.register(h) {
		return
	}
	w.granted[h.Name] = w.now
	g := w.leader.Renew(w.now, h.Host, seq, r)
	if g != nil && w.assumeConfirmed {
		w.leader.Renew(w.now, h.Host, seq+1, &wire.ShareReport{Term: g.Term, Version: g.Version})
	}
	if g != nil && w.editGrant != nil {
		w.editGrant(h, g)
	}
	delay, ok := w.transit(h)
	if g == nil || !ok {
		return
	}
	w.post(h, delay, func() {
		if h.holder.Apply(h.now(), seq, g) {
			h.renewAt = w.now
		}
	})
}

// register registers a host. A start at another address waits until the lease of the former one has ended.
func (w *world) register(h *host) bool {
	current, known := w.registered[h.Name]
	if known && current != h.Host && (h.replaced || current.Link != h.Link && (!w.leaseEnded(h.Name) || w.leader.MayHold(w.now, h.Name))) {
		return false
	}
	if h.replaced {
		return false
	}
	w.registered[h.Name] = h.Host
	return true
}

func (w *world) leaseEnded(name string) bool {
	since := w.granted[name]
	if w.leader.ElectedAt.After(since) {
		since = w.leader.ElectedAt
	}
	return w.now.Sub(since) >= leaseDuration
}

// unregister removes hosts that have had no lease for long.
func (w *world) unregister() {
	if w.leader == nil {
		return
	}
	for name := range w.registered {
		since := w.granted[name]
		if w.leader.ElectedAt.After(since) {
			since = w.leader.ElectedAt
		}
		if w.now.Sub(since) >= leaseDuration+removalDelay {
			delete(w.registered, name)
		}
	}
}

// run plays the time until end; step, if set, is called at each tick.
func (w *world) run(d time.Duration, step func()) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		if step != nil {
			step()
		}
		w.checkSum()
		w.unregister()
		w.deliverMail()
		for _, h := range w.hosts {
			if h.stopped() {
				continue
			}
			h.serve()
			if !w.now.Before(h.renewAt) {
				h.renew()
			}
		}
	}
}

// checkSum records the sum of the shares that all processes may use.
func (w *world) checkSum() {
	for _, a := range w.accounts {
		sum := uint32(0)
		for _, h := range w.hosts {
			if !h.ended {
				sum += h.holder.Share(h.now(), a.Name)
			}
		}
		w.mostHeld = max(w.mostHeld, sum)
	}
}

func (w *world) deliverMail() {
	due := []message{}
	rest := w.mail[:0]
	for _, m := range w.mail {
		if m.at.After(w.now) {
			rest = append(rest, m)
		} else {
			due = append(due, m)
		}
	}
	w.mail = rest
	slices.SortStableFunc(due, func(a, b message) int { return a.at.Compare(b.at) })
	for _, m := range due {
		m.deliver()
	}
}

// serve asks the host for the operations of one tick.
func (h *host) serve() {
	w := h.w
	for _, a := range w.accounts {
		n := h.load[a.Name] * tick.Seconds()
		count := int(n)
		if w.rng.Float64() < n-float64(count) {
			count++
		}
		for range count {
			if !h.start(a.Name) {
				w.refused[a.Name]++
			}
		}
	}
}

// start starts an operation at the host, or at another one if this one has no share.
func (h *host) start(account string) bool {
	result := h.try(account)
	for _, other := range h.w.hosts {
		if result == share.NoShare && other != h && !other.stopped() && !other.cut() && !h.cut() && slices.Contains(h.w.standing, other.Name) {
			result = other.try(account)
		}
	}
	return result == share.Admitted
}

// try starts an operation at the host.
func (h *host) try(account string) share.Result {
	w := h.w
	claim, result := h.holder.Take(h.now(), account)
	if result == share.Admitted {
		ran := w.loss == 0 || w.rng.IntN(10) > 0
		if ran {
			w.admitted[account] = append(w.admitted[account], w.now)
		}
		w.post(h, time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() { claim.Settle(h.now(), ran) })
	}
	return result
}

// limitLag is how long after a change the former limit may still be used: hosts out of touch may do so
// until their shares end.
const limitLag = 9 * time.Second

// judge returns the worst excess of the operations of any account in any window over what its limits allow:
// the rate x window + the capacity of the tolerance.
func (w *world) judge() (excess float64, report string) {
	for name, list := range w.admitted {
		slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
		first := 0
		for last, at := range list {
			for at.Sub(list[first]) > window {
				first++
			}
			allowed := w.allowed(name, list[first], at)
			if over := float64(last-first+1) - allowed; over > excess {
				excess, report = over, fmt.Sprintf("%s: %d operations in %v from %v, allowed %.1f", name, last-first+1, window, list[first].Sub(w.start), allowed)
			}
		}
	}
	return excess, report
}

// allowed returns how many operations the limits of an account allow in a window.
func (w *world) allowed(name string, from, to time.Time) float64 {
	most := 0.0
	list := w.limits[name]
	for i, l := range list {
		ended := i+1 < len(list) && list[i+1].at.Add(limitLag).Before(from)
		if !ended && !l.at.After(to) {
			// Clocks of hosts run up to 1 % faster.
			most = max(most, 1.01*w.tolerance.Rate(l.account)*window.Seconds()+w.tolerance.Capacity(l.account))
		}
	}
	return most
}
