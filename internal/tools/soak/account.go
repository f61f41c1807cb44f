package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
)

// The client accounts of a run. Writers and readers have no limit that they meet; the hot account asks for
// several times its limit.
const (
	accountWriters = "counter"
	accountReaders = "browse"
	accountHot     = "reports"
	// unknownKey is the key of no account.
	unknownKey = "key-of-nobody"
	// spareKey is the second key of the readers, which is taken away and given back.
	spareKey = "key-readers-2"
)

const (
	// hotRate and hotBurst are the limit of the hot account, in statements.
	hotRate  = 40
	hotBurst = 40
	// loweredRate replaces hotRate and hotBurst for a part of the run.
	loweredRate = 15
	// hotCallers is the number of callers of the hot account, each of which sends a statement every hotPause.
	hotCallers = 4
	hotPause   = 10 * time.Millisecond
	// limitWindow, limitExcess and limitSlack define the most that an account may run in any window:
	// (rate x window + burst) x (1 + excess) + slack.
	limitWindow = 5 * time.Second
	limitExcess = 0.1
	limitSlack  = 20
)

// AccountLimit is a limit of the hot account.
type AccountLimit struct {
	Rate  float64
	Burst float64
	// SentAt is when its declaration was sent, AckedAt when it was acknowledged.
	SentAt  time.Time
	AckedAt time.Time
}

// allowed returns how many statements may run in a window.
func (l AccountLimit) allowed() float64 {
	return (l.Rate*limitWindow.Seconds()+l.Burst)*(1+limitExcess) + limitSlack
}

// KeyChange is a declaration that takes the spare key away or gives it back.
type KeyChange struct {
	Valid   bool
	SentAt  time.Time
	AckedAt time.Time
}

// accounts is the state of the client accounts of a run. A nil value means that the run has none.
type accounts struct {
	rng *rand.Rand
	// spareValid and limit are what the next declaration holds.
	spareValid bool
	limit      AccountLimit
}

// newAccounts returns the accounts of a run, or nil: those of even seeds have some.
func newAccounts(seed uint64) *accounts {
	if seed%2 != 0 {
		return nil
	}
	return &accounts{rng: rand.New(rand.NewPCG(seed, 3)), spareValid: true, limit: AccountLimit{Rate: hotRate, Burst: hotBurst}}
}

// declaration returns the accounts as a configuration holds them.
func (a *accounts) declaration() []map[string]any {
	if a == nil {
		return nil
	}
	readers := []string{keyOf(accountReaders)}
	if a.spareValid {
		readers = append(readers, spareKey)
	}
	account := func(name string, rate, burst float64, keys ...string) map[string]any {
		return map[string]any{"name": name, "api_keys": keys, "prio": 1, "rate_per_s": rate, "burst": burst}
	}
	return []map[string]any{
		account(accountWriters, 100_000, 100_000, keyOf(accountWriters)),
		account(accountReaders, 100_000, 100_000, readers...),
		account(accountHot, a.limit.Rate, a.limit.Burst, keyOf(accountHot)),
	}
}

// keyOf returns the first key of an account.
func keyOf(account string) string { return "key-" + account }

// secrets returns all keys of a run.
func secrets() []string {
	return []string{keyOf(accountWriters), keyOf(accountReaders), keyOf(accountHot), spareKey}
}

// change draws the next change: the spare key is taken away or given back, or the limit of the hot account
// is lowered or raised.
func (a *accounts) change() {
	if a.rng.IntN(2) == 0 {
		a.spareValid = !a.spareValid
		return
	}
	rate := float64(hotRate + loweredRate - int(a.limit.Rate))
	a.limit = AccountLimit{Rate: rate, Burst: rate}
}

// changeAccounts changes the accounts now and then. A change without an acknowledgment may be in force or
// not, so that it is sent until one comes.
func (r *run) changeAccounts(ctx context.Context) {
	if r.accounts == nil || r.accounts.rng.IntN(4) > 0 {
		return
	}
	r.accounts.change()
	r.Logf("spare key valid: %v, limit of account %s: %v", r.accounts.spareValid, accountHot, r.accounts.limit.Rate)
	r.declareAccounts(ctx)
}

// declareAccounts sends a configuration with the present accounts until one is acknowledged, and records it.
func (r *run) declareAccounts(ctx context.Context) {
	a := r.accounts
	sentAt := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		if r.replaceConfig(ctx, r.control[i%len(r.control)]) {
			break
		}
		clock.Sleep(ctx, pollInterval)
	}
	ackedAt := time.Now()
	r.workload.mu.Lock()
	defer r.workload.mu.Unlock()
	h := &r.workload.history
	h.SpareKey = append(h.SpareKey, KeyChange{a.spareValid, sentAt, ackedAt})
	h.Limits = append(h.Limits, AccountLimit{a.limit.Rate, a.limit.Burst, sentAt, ackedAt})
}

// startHot starts the callers of the hot account, and one that uses the spare key.
func (wl *workload) startHot(ctx context.Context, seed uint64) {
	for i := range hotCallers + 1 {
		key, account := keyOf(accountHot), accountHot
		if i == hotCallers {
			key, account = spareKey, accountReaders
		}
		rng := rand.New(rand.NewPCG(seed, uint64(5000+i)))
		wl.wg.Add(1)
		go func() {
			defer wl.wg.Done()
			wl.runHot(ctx, rng, i, account, key)
		}()
	}
}

// runHot reads one item over and over, and now and then tries to open a session with an unknown key.
func (wl *workload) runHot(ctx context.Context, rng *rand.Rand, i int, account, key string) {
	var s *session
	for n := 1; ctx.Err() == nil; n++ {
		if s == nil || n%statementsPerSession == 0 {
			if s != nil {
				s.conn.Close()
			}
			wl.tryUnknownKey(rng)
			var err error
			if s, err = wl.openWithKey(rng.IntN(len(wl.callerAddrs)), "orders", kindSingle, account, key); err != nil {
				s = nil
				clock.Sleep(ctx, wl.reconnectDelay())
				continue
			}
		}
		if _, _, ok := s.query(fmt.Sprintf("h%d-%d", i, n), "READ item0"); !ok {
			s.conn.Close()
			s = nil
		}
		clock.Sleep(ctx, hotPause)
	}
	if s != nil {
		s.conn.Close()
	}
}

// tryUnknownKey opens a session with an unknown key and records it if a host accepts it.
func (wl *workload) tryUnknownKey(rng *rand.Rand) {
	host := rng.IntN(len(wl.callerAddrs))
	s, err := wl.openWithKey(host, "orders", kindSingle, "", unknownKey)
	if err != nil {
		return
	}
	s.conn.Close()
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.history.UnknownKeyAccepted = append(wl.history.UnknownKeyAccepted, wl.hostNames[host])
}

// checkAccounts describes each statement that ran for another account than its caller's or with a key that
// was not valid any more, and each window in which the hot account ran more than it may.
func (h History) checkAccounts() []string {
	var violations []string
	for _, host := range h.UnknownKeyAccepted {
		violations = append(violations, host+" opened a session with an unknown key")
	}
	var arrivals []time.Time
	for _, s := range h.Statements {
		if s.Account == "" {
			continue
		}
		for _, r := range s.Runs {
			switch {
			case r.Account != s.Account:
				violations = append(violations, fmt.Sprintf("statement %s of account %s ran for %s", s.ID, s.Account, r.Account))
			case s.Key == spareKey && h.spareKeyInvalid(s.SentAt):
				violations = append(violations, fmt.Sprintf("statement %s ran with a key that was taken away", s.ID))
			}
			if s.Account == accountHot && !r.Refused {
				arrivals = append(arrivals, r.ArrivedAt)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return append(violations, h.checkLimit(arrivals)...)
}

// spareKeyInvalid reports whether a statement sent at a time must not run with the spare key: the key was
// taken away long enough before, and no declaration that gives it back had been sent.
func (h History) spareKeyInvalid(sentAt time.Time) bool {
	invalid := false
	for _, c := range h.SpareKey {
		switch {
		case c.Valid && !c.SentAt.After(sentAt):
			invalid = false
		case !c.Valid && c.AckedAt.Add(configApplyLimit).Before(sentAt):
			invalid = true
		}
	}
	return invalid
}

// checkLimit describes the first window in which more statements arrived, at the given sorted times, than the
// hot account may run.
func (h History) checkLimit(arrivals []time.Time) []string {
	first := 0
	for last, end := range arrivals {
		for end.Sub(arrivals[first]) > limitWindow {
			first++
		}
		if n, allowed := last-first+1, h.allowedIn(arrivals[first], end); float64(n) > allowed {
			return []string{fmt.Sprintf("account %s ran %d statements in %s, %.0f are allowed", accountHot, n, end.Sub(arrivals[first]), allowed)}
		}
	}
	return nil
}

// allowedIn returns how many statements may run between two times: what the highest limit allows that may be
// in force in that time. A lower limit binds one window after it is in force everywhere.
func (h History) allowedIn(start, end time.Time) float64 {
	most := 0.0
	for i, l := range h.Limits {
		replaced := i+1 < len(h.Limits) && h.Limits[i+1].AckedAt.Add(configApplyLimit+limitWindow).Before(start)
		if !l.SentAt.After(end) && !replaced {
			most = max(most, l.allowed())
		}
	}
	return most
}

// leaks returns the keys that occur in the text of a log.
func leaks(text string) []string {
	var found []string
	for _, key := range secrets() {
		if strings.Contains(text, key) {
			found = append(found, key)
		}
	}
	return found
}

// leakedKeys describes the keys that the hosts have logged.
func (r *run) leakedKeys() []string {
	var violations []string
	for _, h := range r.allHosts() {
		b, err := os.ReadFile(h.path("log"))
		if err != nil {
			violations = append(violations, err.Error())
		}
		for _, key := range leaks(string(b)) {
			violations = append(violations, h.name+" logged the key "+key)
		}
	}
	return violations
}
