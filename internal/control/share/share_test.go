package share_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

const (
	// histories is the number of random histories, brokenHistories that of those with a broken protocol.
	histories       = 2000
	brokenHistories = 200
)

// playHistory plays a random history: hosts are killed, frozen, cut off and replaced, leaders change, the
// limit changes, messages are lost and reordered, and all hosts are asked for far more than the
// limit allows.
func playHistory(seed uint64, breakProtocol func(w *world)) *world {
	w := newWorld(seed)
	// Small bursts leave the judge little room.
	w.tolerance = share.Tolerance{Window: window, Operations: 16}
	if breakProtocol != nil {
		breakProtocol(w)
	}
	w.calmness = time.Duration(1 + w.rng.IntN(10))
	w.limitsChange = seed%3 == 0
	w.loss, w.delay = 0.1*w.rng.Float64(), time.Duration(1+w.rng.IntN(200))*time.Millisecond
	w.standing = []string{"a", "b", "c", "d", "e"}
	account := spec.Account{Name: "x", Rate: 30, Burst: 4}
	for _, name := range append([]string{"f", "g"}, w.standing...) {
		w.startHost(name, name)
	}
	w.declare(false, account)
	w.elect()
	w.run(30*time.Second, func() { w.disturb(account) })
	return w
}

// disturb brings about random events.
func (w *world) disturb(account spec.Account) {
	if w.leader == nil && w.rng.IntN(50) == 0 {
		w.elect()
	}
	chance := func(every time.Duration) bool { return w.rng.Int64N(int64(every*w.calmness/tick)) == 0 }
	if w.leader != nil && chance(6*time.Second) {
		w.leader = nil
	}
	if w.limitsChange && chance(8*time.Second) {
		account.Rate, account.Burst = 10+60*w.rng.Float64(), 8*w.rng.Float64()
		w.declare(true, account)
	}
	for _, h := range w.hosts {
		if h.ended || h.replaced {
			continue
		}
		if chance(time.Second / w.calmness) {
			h.load[account.Name] = 20 + 40*w.rng.Float64()
		}
		if w.now.Before(h.frozenUntil) {
			continue
		}
		pause := time.Duration(w.rng.Int64N(int64(9 * time.Second)))
		switch {
		case chance(15 * time.Second):
			h.frozenUntil = w.now.Add(pause)
		case chance(15 * time.Second):
			h.cutUntil = w.now.Add(pause)
		case chance(15 * time.Second):
			h.ended, h.replaced = true, true
			w.startHost(h.Name, h.Link)
		case chance(20 * time.Second):
			// The former process goes on, cut off, until its shares end.
			h.replaced = true
			next := w.startHost(h.Name, fmt.Sprint(h.Name, w.now))
			next.load[account.Name] = 100
		}
	}
}

// TestSharesOfManyHostsStayWithinTheLimit answers a load of up to ten times an account's limit at seven
// hosts while anything fails.
func TestSharesOfManyHostsStayWithinTheLimit(t *testing.T) {
	Convey("In no history does any window exceed the limit, nor the sum of the shares the whole", t, func() {
		for seed := range uint64(histories) {
			w := playHistory(seed, nil)
			excess, report := w.judge()
			if excess > 0 || w.mostHeld > share.Whole {
				So(fmt.Sprintf("seed %d: %s; shares up to %d of %d", seed, report, w.mostHeld, share.Whole), ShouldBeEmpty)
			}
		}
	})
	broken := map[string]func(w *world){
		"a share is given away before its holder has given it up": func(w *world) { w.assumeConfirmed = true },
		"a new leader gives out shares that hosts still hold":     func(w *world) { w.assumeNone = true },
		"shares outlive their term":                               func(w *world) { w.holderTerm = 3 * share.Term },
		"a holder skips a change that shrinks its share": func(w *world) {
			granted := map[*host]uint32{}
			w.editGrant = func(h *host, g *wire.ShareGrant) {
				for _, s := range g.Shares {
					granted[h] = max(s.Share, granted[h])
					s.Share = granted[h]
				}
			}
		},
	}
	for name, breakProtocol := range broken {
		Convey("The judge notices if "+name, t, func() {
			windows, sums := 0, 0
			for seed := range uint64(brokenHistories) {
				w := playHistory(seed, breakProtocol)
				if excess, _ := w.judge(); excess > 0 {
					windows++
				}
				if w.mostHeld > share.Whole {
					sums++
				}
			}
			t.Logf("%s: noticed by windows in %d and by sums in %d of %d histories", name, windows, sums, brokenHistories)
			So(windows, ShouldBeGreaterThan, 0)
			So(sums, ShouldBeGreaterThan, 0)
		})
	}
}
