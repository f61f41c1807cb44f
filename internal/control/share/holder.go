package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// Result says whether an operation may run.
type Result int

// The results.
const (
	// Admitted means that the operation may run.
	Admitted Result = iota
	// Limited means that the account has used up its limit.
	Limited
	// NoShare means that this host has no share of the account's limit left; another one may admit the
	// operation.
	NoShare
)

// maxPendingReports is the maximum number of reports that are tracked until answered.
const maxPendingReports = 64

// Holder holds a host's shares of the accounts' limits and admits operations within them. The exported
// fields are set before the first call. It is safe for concurrent use. The zero value admits only
// operations without an account.
type Holder struct {
	Tolerance Tolerance
	// Term is how long shares last after a renewal; zero means the package's Term.
	Term time.Duration
	// OnShort, if set, is called when a share no longer suffices, at most every urgentInterval. A report
	// should follow at once. It must not call the holder.
	OnShort func()
	// OnRefused, if set, is called with a summary of the refusals of an account, at most every
	// refusalInterval for each account. It must not call the holder.
	OnRefused func(Refusals)

	mu       sync.Mutex
	accounts map[string]*account
	// leaderTerm is the term of the leader whose changes are applied, version that of the last one
	// applied, 0 if that leader does not know this holder yet.
	leaderTerm, version uint64
	// epoch counts the times at which version became 0. Answers to earlier reports have no effect.
	epoch uint64
	// end is when the shares expire, the zero time if there are none.
	end  time.Time
	sent map[uint64]sentReport
	// reportedAt is when the last report was made.
	reportedAt time.Time
	// urgedAt is when OnShort was last called.
	urgedAt time.Time
	// exhausted are the accounts that have used up their limits on all hosts.
	exhausted map[string]bool
	// granted is set once a leader has answered with shares.
	granted bool
}

// sentReport is a report whose answer is pending.
type sentReport struct {
	at    time.Time
	epoch uint64
}

// account is the state of one account at a holder.
type account struct {
	limit spec.Account
	// declared is set while the manifest has the account, since declaredAt.
	declared   bool
	declaredAt time.Time
	share      uint32
	bucket     bucket
	// expiries counts the expiries of the share: tokens reserved before one do not come back.
	expiries int
	// demand is the mean number of operations asked for per second, at demandAt, and asked their number
	// since the last report.
	demand   float64
	demandAt time.Time
	asked    float64
	// refused is set once an operation was refused since the last report.
	refused bool
	// reported is the demand in the last report, and reportedShort its short flag.
	reported      float64
	reportedShort bool
	reportedAt    time.Time
	// returned are the tokens given up with parts of the share since the last report.
	returned float64
	// refusedTotal is the number of refusals since the host started.
	refusedTotal int
	// refusals counts the refusals since they were last summarized, at summarizedAt.
	refusals     Refusals
	summarizedAt time.Time
}

// Refusals is a summary of the refusals of an account at a host.
type Refusals struct {
	Account string
	// Limited and NoShare count the refusals with these results since the last summary, and Admitted the
	// operations that were admitted in Elapsed, the time since then, which is 0 in the first summary.
	Limited, NoShare, Admitted int64
	Elapsed                    time.Duration
	// Rate and Demand are what the host's share allows and what it is asked for, in operations per second.
	Rate, Demand float64
	// Share is the host's share, in parts of Whole.
	Share uint32
}

// Claim is an admitted operation.
type Claim struct {
	holder   *Holder
	account  *account
	expiries int
}

// SetAccounts replaces the declared accounts. Changed limits apply at once.
func (h *Holder) SetAccounts(now time.Time, list []spec.Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	former := map[*account]bool{}
	for _, a := range h.accounts {
		former[a], a.declared = a.declared, false
	}
	for _, limit := range list {
		a := h.account(limit.Name)
		if !former[a] {
			a.declaredAt = now
		}
		a.limit, a.declared = limit, true
		h.resize(now, a)
	}
	for name, a := range h.accounts {
		if !a.declared && a.share == 0 {
			delete(h.accounts, name)
		}
	}
}

// account returns the state of an account, which it creates if necessary. The caller holds mu.
func (h *Holder) account(name string) *account {
	a := h.accounts[name]
	if a == nil {
		if h.accounts == nil {
			h.accounts = map[string]*account{}
		}
		a = &account{}
		h.accounts[name] = a
	}
	return a
}

// resize adapts an account's bucket to its share and limit. The caller holds mu.
func (h *Holder) resize(now time.Time, a *account) {
	f := fraction(a.share)
	a.bucket.resize(now, f*h.Tolerance.Rate(a.limit), f*h.Tolerance.Capacity(a.limit))
}

// Take admits an operation of an account or refuses it. An admitted operation must be settled.
// Operations without an account, or of one without a limit, are always admitted.
func (h *Holder) Take(now time.Time, name string) (Claim, Result) {
	if name == "" {
		return Claim{}, Admitted
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	a := h.accounts[name]
	if a == nil || !a.declared {
		return Claim{}, NoShare
	}
	if a.limit.Rate == 0 {
		return Claim{}, Admitted
	}
	a.count(now)
	if h.OnShort != nil && now.Sub(h.urgedAt) >= urgentInterval && now.Sub(h.reportedAt) >= urgentInterval && a.short() {
		h.urgedAt = now
		h.OnShort()
	}
	if a.bucket.take(now) {
		a.refusals.Admitted++
		return Claim{h, a, a.expiries}, Admitted
	}
	a.refused = true
	result := NoShare
	if h.exhausted[name] {
		result = Limited
	}
	h.countRefusal(now, name, a, result)
	return Claim{}, result
}

// Awaits reports whether the first share of an account at this host is on its way: the host has just started,
// or the account was just declared. An operation is better held for that moment than refused.
func (h *Holder) Awaits(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[name]
	return a != nil && a.declared && a.share == 0 && (!h.granted || now.Sub(a.declaredAt) < firstShareWait)
}

// countRefusal counts a refusal, and passes on a summary if one is due. The caller holds mu.
func (h *Holder) countRefusal(now time.Time, name string, a *account, result Result) {
	a.refusedTotal++
	if result == Limited {
		a.refusals.Limited++
	} else {
		a.refusals.NoShare++
	}
	if h.OnRefused == nil || now.Sub(a.summarizedAt) < refusalInterval {
		return
	}
	a.refusals.Account, a.refusals.Rate, a.refusals.Demand, a.refusals.Share = name, a.bucket.rate, a.demand, a.share
	if !a.summarizedAt.IsZero() {
		a.refusals.Elapsed = now.Sub(a.summarizedAt)
	}
	h.OnRefused(a.refusals)
	a.refusals, a.summarizedAt = Refusals{}, now
}

// count adds an operation to the demand.
func (a *account) count(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandPeriod.Seconds()
	a.asked++
}

// decay brings the mean demand up to now.
func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
		a.demandAt = now
	}
}

// raiseDemand raises the mean demand to what the operations since the last report certainly show, so that a
// sudden rise is reported before the mean has followed it.
func (a *account) raiseDemand(now, since time.Time) {
	if elapsed := now.Sub(since); elapsed >= minReportPeriod {
		a.demand = max(a.demand, (a.asked-2*math.Sqrt(a.asked))/elapsed.Seconds())
	}
	a.asked = 0
}

// Settle ends a claim. Ran says whether the operation may have run; if it did not, the account may
// start another one instead.
func (c Claim) Settle(now time.Time, ran bool) {
	if c.account == nil {
		return
	}
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	if c.account.expiries == c.expiries {
		c.account.bucket.settle(now, ran)
	}
}

// expire drops all shares once their time has passed. The caller holds mu.
func (h *Holder) expire(now time.Time) {
	if h.end.IsZero() || now.Before(h.end) {
		return
	}
	h.end = time.Time{}
	h.version = 0
	h.epoch++
	h.exhausted = nil
	for _, a := range h.accounts {
		a.share = 0
		a.expiries++
		a.returned = 0
		a.bucket = bucket{at: now}
	}
}

// Share returns the share of an account's limit that the host holds, in parts of Whole.
func (h *Holder) Share(now time.Time, name string) uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if a := h.accounts[name]; a != nil {
		return a.share
	}
	return 0
}

// CountRefusals adds the numbers of operations refused since the start of the host to counts, by account.
func (h *Holder) CountRefusals(counts map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, a := range h.accounts {
		if a.refusedTotal > 0 {
			counts[name] += a.refusedTotal
		}
	}
}

// Report returns the report for the renewal with the sequence number seq, or nil if no accounts are
// declared.
func (h *Holder) Report(now time.Time, seq uint64) *wire.ShareReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if len(h.accounts) == 0 {
		return nil
	}
	if h.sent == nil {
		h.sent = map[uint64]sentReport{}
	}
	h.sent[seq] = sentReport{now, h.epoch}
	delete(h.sent, seq-maxPendingReports)
	defer func() { h.reportedAt = now }()
	r := &wire.ShareReport{Term: h.leaderTerm, Version: h.version}
	for name, a := range h.accounts {
		if d := h.report(now, name, a); d != nil {
			r.Accounts = append(r.Accounts, d)
		}
	}
	slices.SortFunc(r.Accounts, func(a, b *wire.AccountDemand) int { return cmp.Compare(a.Account, b.Account) })
	return r
}

// report returns what there is to report on an account, or nil. The caller holds mu.
func (h *Holder) report(now time.Time, name string, a *account) *wire.AccountDemand {
	a.decay(now)
	a.bucket.advance(now)
	short := a.declared && a.short()
	a.refused = false
	a.raiseDemand(now, h.reportedAt)
	changed := math.Abs(a.demand-a.reported) > max(a.reported/4, 0.5/demandPeriod.Seconds())
	due := a.demand > minDemand && now.Sub(a.reportedAt) >= refreshInterval
	returned := uint64(a.returned / tokenUnit)
	if !changed && !due && short == a.reportedShort && returned == 0 && (h.version != 0 || a.share == 0) {
		return nil
	}
	a.reported, a.reportedShort, a.reportedAt = a.demand, short, now
	a.returned = 0
	d := &wire.AccountDemand{Account: name, Demand: uint64(a.demand / demandUnit), Short: short, Returned: returned, Tokens: uint64(a.bucket.tokens)}
	if h.version == 0 {
		d.Share = a.share
	}
	return d
}

// short reports whether the share does not suffice for the demand.
func (a *account) short() bool {
	if a.refused {
		return true
	}
	return a.demand > 0.9*a.bucket.rate && a.bucket.tokens < a.bucket.capacity/2 && a.demand > 0.5/demandPeriod.Seconds()
}

// Apply applies the leader's answer to the report with the sequence number seq. It reports whether a share has changed; the next report then confirms this and should follow at once.
func (h *Holder) Apply(now time.Time, seq uint64, g *wire.ShareGrant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	report, known := h.sent[seq]
	if !known || g.Term < h.leaderTerm {
		return false
	}
	if g.Term > h.leaderTerm {
		// The new leader learns what this host holds from the next report. The shares last as long as
		// the former leader confirmed them.
		h.leaderTerm, h.version = g.Term, 0
		h.epoch++
		return true
	}
	if report.epoch != h.epoch || g.Report || !h.succeeds(g) {
		return false
	}
	h.granted = true
	changed := h.version < g.Version
	if changed {
		h.applyShares(now, g)
		h.version = g.Version
	}
	lasting := cmp.Or(h.Term, Term)
	h.exhausted = map[string]bool{}
	for _, name := range g.Limited {
		h.exhausted[name] = true
	}
	if end := report.at.Add(lasting - lasting/clockDriftDivisor); end.After(h.end) {
		h.end = end
	}
	return changed
}

// succeeds reports whether a change can be applied to the version that the holder has. The caller holds
// mu.
func (h *Holder) succeeds(g *wire.ShareGrant) bool {
	return g.Complete || h.version != 0 && g.Base <= h.version
}

// applyShares sets the shares of a change. The caller holds mu.
func (h *Holder) applyShares(now time.Time, g *wire.ShareGrant) {
	listed := map[string]bool{}
	for _, s := range g.Shares {
		listed[s.Account] = true
		tokens := 0.0
		switch {
		case s.Version > h.version:
			tokens = float64(s.Tokens) * tokenUnit
		case !g.Complete:
			continue
		}
		h.setShare(now, h.account(s.Account), s.Share, tokens)
	}
	if !g.Complete {
		return
	}
	for name, a := range h.accounts {
		if !listed[name] {
			h.setShare(now, a, 0, 0)
		}
	}
}

// setShare sets the share of an account. The tokens of a part that is given up are reported; one that
// is added comes with tokens. The caller holds mu.
func (h *Holder) setShare(now time.Time, a *account, share uint32, tokens float64) {
	a.bucket.advance(now)
	if share < a.share {
		returned := a.bucket.tokens * float64(a.share-share) / float64(a.share)
		a.bucket.tokens -= returned
		a.returned += returned
	}
	a.share = share
	h.resize(now, a)
	a.bucket.tokens += tokens
	a.bucket.advance(now)
}
