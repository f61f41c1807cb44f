package share_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// startCalm starts five hosts without failures and lets their shares fill for ten seconds.
func startCalm(seed uint64, accounts ...spec.Account) *world {
	w := newWorld(seed)
	w.tolerance = share.Tolerance{Window: window, Excess: 0.1, Operations: 20}
	w.standing = []string{"a", "b", "c", "d", "e"}
	for _, name := range w.standing {
		w.startHost(name, name)
	}
	w.declare(false, accounts...)
	w.elect()
	w.run(10*time.Second, nil)
	return w
}

// setLoad sets how many operations per second the hosts are asked for.
func (w *world) setLoad(account string, load ...float64) {
	for i, n := range load {
		w.hosts[i].load[account] = n
	}
}

// TestAccountsBelowTheirLimit answers uneven loads at five hosts that are below the limit in sum.
func TestAccountsBelowTheirLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		account spec.Account
		load    []float64
	}{
		{"a large account at one host", spec.Account{Rate: 370, Burst: 185}, []float64{230}},
		{"a large account at all hosts", spec.Account{Rate: 370, Burst: 185}, []float64{100, 60, 40, 20, 10}},
		{"a large account near its limit", spec.Account{Rate: 370, Burst: 185}, []float64{200, 100, 30, 10, 5}},
		{"a medium account", spec.Account{Rate: 20, Burst: 10}, []float64{8, 3, 1, 0.5}},
		{"a small account at one host", spec.Account{Rate: 2, Burst: 1}, []float64{1.25}},
		{"a small account at all hosts", spec.Account{Rate: 2, Burst: 1}, []float64{0.25, 0.25, 0.25, 0.25, 0.25}},
		{"a small account, unevenly", spec.Account{Rate: 2, Burst: 1}, []float64{0.7, 0.4, 0.1, 0.05}},
	} {
		Convey("Less than 0.5 % is refused of "+c.name, t, func() {
			c.account.Name = "x"
			admitted, refused := 0, 0
			for seed := range uint64(10) {
				w := startCalm(seed, c.account)
				w.setLoad("x", c.load...)
				w.run(time.Minute, nil)
				admitted += len(w.admitted["x"])
				refused += w.refused["x"]
			}
			t.Logf("%s: %d of %d refused", c.name, refused, admitted+refused)
			So(float64(refused)/float64(admitted+refused), ShouldBeLessThan, 0.005)
		})
	}
}

// TestAccountsFarBeyondTheirLimit answers a load of five times the limit.
func TestAccountsFarBeyondTheirLimit(t *testing.T) {
	Convey("An account gets its rate, and no more", t, func() {
		w := startCalm(1, spec.Account{Name: "x", Rate: 100, Burst: 10})
		w.setLoad("x", 300, 100, 50, 50, 0)
		w.run(time.Minute, nil)
		So(len(w.admitted["x"]), ShouldBeBetween, 6000, 6400)
		excess, _ := w.judge()
		So(excess, ShouldEqual, 0)
	})
}

// TestShareFollowsDemand moves all demand of an account from one host to another.
func TestShareFollowsDemand(t *testing.T) {
	Convey("Within a second of the move the account gets what it asks for below its limit", t, func() {
		w := startCalm(1, spec.Account{Name: "x", Rate: 100, Burst: 10})
		w.setLoad("x", 70, 0, 0, 0, 0)
		w.run(10*time.Second, nil)
		w.setLoad("x", 0, 0, 0, 0, 70)
		w.run(time.Second, nil)
		before := w.refused["x"]
		w.run(10*time.Second, nil)
		So(w.refused["x"], ShouldEqual, before)
	})
}

// TestShareOfARestartedHost restarts one of the hosts that share an account's load.
func TestShareOfARestartedHost(t *testing.T) {
	Convey("A second after a host has restarted, the account gets what it asks for", t, func() {
		w := startCalm(1, spec.Account{Name: "x", Rate: 100, Burst: 10})
		w.setLoad("x", 20, 20, 20, 5, 5)
		w.run(10*time.Second, nil)
		w.hosts[0].ended, w.hosts[0].replaced = true, true
		w.run(2*time.Second, nil)
		next := w.startHost("a", "a")
		next.load["x"] = 20
		w.run(time.Second, nil)
		before := w.refused["x"]
		w.run(10*time.Second, nil)
		So(w.refused["x"], ShouldEqual, before)
	})
}

// TestSharesWithoutLeader takes the control leader away under a load below the limit.
func TestSharesWithoutLeader(t *testing.T) {
	Convey("Given an account with demand at all hosts", t, func() {
		w := startCalm(1, spec.Account{Name: "x", Rate: 100, Burst: 10})
		w.setLoad("x", 20, 20, 10, 10, 5)
		w.run(5*time.Second, nil)
		So(w.refused["x"], ShouldEqual, 0)
		w.leader = nil

		Convey("Three and a half seconds without a leader, and the next one, cost nothing", func() {
			w.run(3500*time.Millisecond, nil)
			w.elect()
			w.run(20*time.Second, nil)
			So(w.refused["x"], ShouldEqual, 0)
		})
		Convey("After the term of the shares nothing is admitted", func() {
			w.run(share.Term, nil)
			before := len(w.admitted["x"])
			w.run(time.Second, nil)
			So(len(w.admitted["x"]), ShouldEqual, before)
		})
	})
}

// TestReportsOfIdleAccounts checks that accounts without demand add nothing to renewals.
func TestReportsOfIdleAccounts(t *testing.T) {
	Convey("A host that holds shares of a thousand idle accounts reports none of them", t, func() {
		var list []spec.Account
		for i := range 1000 {
			list = append(list, spec.Account{Name: fmt.Sprint("idle-", i), Rate: 10, Burst: 5})
		}
		w := startCalm(1, list...)
		h := w.hosts[0]
		So(h.holder.Report(h.now(), h.seq+2).Accounts, ShouldBeEmpty)
	})
}
