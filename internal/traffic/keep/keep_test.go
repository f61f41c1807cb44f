package keep_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/keep"
)

// The instance of these tests is one of the largest deployment with client accounts.
const (
	slots       = 6
	share       = 34
	limit       = 59
	accounts    = 74
	serviceTime = 33 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// request is a request of an account that arrives at a time.
type request struct {
	account string
	rank    int
	at      time.Time
}

// conn is a connection of an account.
type conn struct {
	account string
	usage   keep.Usage
}

// event is something that happens at a time; equal times are ordered by seq.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; last := old[len(old)-1]; *e = old[:len(old)-1]; return last }

// instance is an instance, and a host that sends it all requests, in virtual time. Requests are admitted in
// the order of their arrival, one for each slot and one more, and then get a connection.
type instance struct {
	seq      int
	pending  events
	queue    []request
	admitted int
	waiting  []request
	idle     []conn
	busy     map[string]int
	opening  map[string]int
	open     int
	demand   keep.Demand

	// slotUsed is the time for which slots were occupied, openingTime the part of it for openings.
	slotUsed, openingTime time.Duration
	served, opened, most  int
	// waits are the times from arrival to a connection by account.
	waits map[string][]time.Duration
}

func newInstance() *instance {
	return &instance{busy: map[string]int{}, opening: map[string]int{}, waits: map[string][]time.Duration{}}
}

func (in *instance) after(at time.Time, do func(now time.Time)) {
	in.seq++
	heap.Push(&in.pending, event{at, in.seq, do})
}

// run plays requests until all are served.
func (in *instance) run(list []request) {
	for _, r := range list {
		in.after(r.at, func(now time.Time) {
			in.demand.Record(now, r.account, r.rank)
			in.queue = append(in.queue, r)
			in.admit(now)
		})
	}
	for len(in.pending) > 0 {
		e := heap.Pop(&in.pending).(event)
		e.do(e.at)
	}
}

// admit gives free slots to the requests that came first.
func (in *instance) admit(now time.Time) {
	for in.admitted <= slots && len(in.queue) > 0 {
		r := in.queue[0]
		in.queue = in.queue[1:]
		in.admitted++
		if i := in.idleFor(r.account); i >= 0 {
			c := in.idle[i]
			in.idle = append(in.idle[:i], in.idle[i+1:]...)
			in.serve(now, r, c)
			continue
		}
		in.waiting = append(in.waiting, r)
	}
	in.decide(now)
}

func (in *instance) idleFor(account string) int {
	for i := len(in.idle) - 1; i >= 0; i-- {
		if in.idle[i].account == account {
			return i
		}
	}
	return -1
}

// decide opens and closes connections as package keep decides.
func (in *instance) decide(now time.Time) {
	for {
		s := keep.State{Busy: in.busy, Opening: in.opening, Open: in.open, Share: share, Max: limit, Slots: slots, Latency: serviceTime}
		for _, c := range in.idle {
			s.Idle = append(s.Idle, c.usage)
		}
		for _, r := range in.waiting {
			s.Waiting = append(s.Waiting, keep.Waiting{Account: r.account, Since: r.at})
		}
		d := keep.Next(now, s)
		if !d.Open {
			return
		}
		if d.Close >= 0 {
			in.idle = append(in.idle[:d.Close], in.idle[d.Close+1:]...)
			in.open--
		}
		in.startOpening(now, d.Account)
	}
}

func (in *instance) startOpening(now time.Time, account string) {
	in.opening[account]++
	in.opened++
	in.slotUsed += keep.OpeningCost
	in.openingTime += keep.OpeningCost
	total := in.open
	for _, n := range in.opening {
		total += n
	}
	in.most = max(in.most, total)
	in.after(now.Add(keep.OpeningCost), func(now time.Time) {
		if in.opening[account]--; in.opening[account] == 0 {
			delete(in.opening, account)
		}
		in.open++
		in.give(now, conn{account: account})
	})
}

// give passes a connection on to the request that waits for it, or keeps it.
func (in *instance) give(now time.Time, c conn) {
	for i, r := range in.waiting {
		if r.account == c.account {
			in.waiting = append(in.waiting[:i], in.waiting[i+1:]...)
			in.serve(now, r, c)
			in.decide(now)
			return
		}
	}
	in.idle = append(in.idle, c)
	in.decide(now)
}

func (in *instance) serve(now time.Time, r request, c conn) {
	c.usage = c.usage.With(now, r.rank)
	in.busy[c.account]++
	in.waits[r.account] = append(in.waits[r.account], now.Sub(r.at))
	in.slotUsed += serviceTime
	in.after(now.Add(serviceTime), func(now time.Time) {
		in.served++
		in.admitted--
		if in.busy[c.account]--; in.busy[c.account] == 0 {
			delete(in.busy, c.account)
		}
		in.give(now, c)
		in.admit(now)
	})
}

// openingShare returns the share of the used slot time that openings took.
func (in *instance) openingShare() float64 {
	return float64(in.openingTime) / float64(in.slotUsed)
}

// longestWait returns the longest wait of the accounts from rank first to rank last of size.
func (in *instance) longestWait(first, last int) time.Duration {
	longest := time.Duration(0)
	for i := first; i <= last; i++ {
		for _, wait := range in.waits[name(i)] {
			longest = max(longest, wait)
		}
	}
	return longest
}

// name returns the name of the account with a rank of size, from 1.
func name(i int) string { return fmt.Sprintf("client%02d", i) }

// weights returns the cumulated share of each account of the requests: by Zipf's law with exponent 1.2.
func weights() []float64 {
	list := make([]float64, accounts)
	sum := 0.0
	for i := range list {
		sum += math.Pow(float64(i+1), -1.2)
		list[i] = sum
	}
	return list
}

// poisson returns the requests of all accounts from a time on, at a rate per second.
func poisson(r *rand.Rand, from time.Time, duration time.Duration, perSecond float64) (list []request) {
	cumulated := weights()
	for at := from; ; {
		at = at.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		if at.Sub(from) >= duration {
			return list
		}
		x, i := r.Float64()*cumulated[accounts-1], 0
		for cumulated[i] < x {
			i++
		}
		list = append(list, request{account: name(i + 1), rank: r.IntN(3), at: at})
	}
}

// TestFewLargeAndManyRareAccounts plays a calm day's load at one instance: 74 accounts of very unequal size
// share 34 connections. Opening one for each request would take a quarter of the slot time.
func TestFewLargeAndManyRareAccounts(t *testing.T) {
	Convey("Given 30 requests per second of 74 accounts for two minutes", t, func() {
		for seed := range uint64(5) {
			in := newInstance()
			in.run(poisson(rand.New(rand.NewPCG(seed, 1)), start, 2*time.Minute, 30))
			So(len(in.queue)+len(in.waiting), ShouldEqual, 0)
			// Measured: 5.3 to 5.7 %; a connection for each request would take 27 %.
			So(in.openingShare(), ShouldBeLessThan, 0.06)
			So(in.most, ShouldBeLessThanOrEqualTo, share)
			So(in.longestWait(1, accounts), ShouldBeLessThan, 200*time.Millisecond)
		}
	})
	Convey("At five sixths of what the slots can do, openings take less still, and rare accounts are served", t, func() {
		in := newInstance()
		in.run(poisson(rand.New(rand.NewPCG(1, 2)), start, time.Minute, 150))
		So(in.openingShare(), ShouldBeLessThan, 0.10)
		So(in.most, ShouldBeLessThanOrEqualTo, limit)
		So(in.longestWait(40, accounts), ShouldBeLessThan, 1500*time.Millisecond)
	})
}

// TestRushOfSmallAccounts plays a rush in which each of many small accounts sends a request at nearly the same
// time, over and over, beside the usual load of the large ones.
func TestRushOfSmallAccounts(t *testing.T) {
	Convey("Given five seconds in which sixty small accounts send twice a second each", t, func() {
		r := rand.New(rand.NewPCG(3, 3))
		list := poisson(r, start, 20*time.Second, 30)
		for tick := range 10 {
			for i := 15; i <= accounts; i++ {
				list = append(list, request{account: name(i), rank: 2, at: start.Add(10*time.Second + time.Duration(tick)*500*time.Millisecond + time.Duration(r.IntN(50))*time.Millisecond)})
			}
		}
		in := newInstance()
		in.run(list)
		Convey("Slots do not turn into handshakes, and the large accounts keep their connections", func() {
			So(in.served, ShouldEqual, len(list))
			So(in.openingShare(), ShouldBeLessThan, 0.20)
			So(in.most, ShouldBeLessThanOrEqualTo, limit)
			before := in.opened
			in.run([]request{{name(1), 0, start.Add(time.Minute)}, {name(2), 0, start.Add(time.Minute)}, {name(3), 0, start.Add(time.Minute)}})
			So(in.opened, ShouldEqual, before)
		})
	})
}

// TestRareAccountBesideBusyOnes covers a deadlock: all connections are idle or in use for other accounts.
func TestRareAccountBesideBusyOnes(t *testing.T) {
	Convey("Given connections that are all kept for one account", t, func() {
		state := keep.State{Busy: map[string]int{"large": 3}, Open: limit, Share: share, Max: limit, Slots: slots, Latency: serviceTime}
		state.Waiting = []keep.Waiting{{Account: "rare", Since: start}}
		Convey("If all are in use, the rare account waits", func() {
			So(keep.Next(start, state).Open, ShouldBeFalse)
		})
		Convey("As soon as one is idle, it gives way, that which is used least", func() {
			state.Idle = []keep.Usage{keep.Usage{}.With(start, 2).With(start, 2), keep.Usage{}.With(start, 2), keep.Usage{}.With(start, 0)}
			So(keep.Next(start, state), ShouldResemble, keep.Decision{Open: true, Account: "rare", Close: 1})
		})
		Convey("A request that is behind another one that cannot be served yet is not held up", func() {
			state.Idle = []keep.Usage{{}}
			state.Waiting = []keep.Waiting{{Account: "large", Since: start}, {Account: "rare", Since: start}}
			state.Latency = 10 * time.Millisecond
			So(keep.Next(start, state).Account, ShouldEqual, "rare")
		})
	})
	Convey("Given an account whose connections are in use, at the limit", t, func() {
		state := keep.State{
			Busy: map[string]int{"large": 4}, Open: limit, Share: share, Max: limit, Slots: slots, Latency: serviceTime,
			Idle: []keep.Usage{{}}, Waiting: []keep.Waiting{{Account: "large", Since: start}},
		}
		Convey("It waits for one of them rather than take another account's, but no longer than an opening takes", func() {
			So(keep.Next(start, state).Open, ShouldBeFalse)
			So(keep.Next(start.Add(keep.OpeningCost), state).Open, ShouldBeTrue)
		})
		Convey("One that runs a single request does not wait", func() {
			state.Busy["large"] = 1
			So(keep.Next(start, state).Open, ShouldBeTrue)
		})
	})
	Convey("No more are opened at the same time than half of the slots", t, func() {
		state := keep.State{Opening: map[string]int{"a": 2, "b": 1}, Share: share, Max: limit, Slots: slots, Waiting: []keep.Waiting{{Account: "c"}}}
		So(keep.Next(start, state).Open, ShouldBeFalse)
	})
}

func TestForemostAccount(t *testing.T) {
	Convey("Given accounts of different demand", t, func() {
		var d keep.Demand
		for i := range 6 {
			d.Record(start, "large", 2)
			if i < 3 {
				d.Record(start, "medium", 2)
			}
		}
		d.Record(start, "small", 2)
		Convey("The one with the highest demand that has no connection comes first, and a single request is no demand", func() {
			connected := map[string]bool{}
			for _, want := range []string{"large", "medium", ""} {
				account, ok := d.Foremost(start, func(account string) bool { return connected[account] })
				So(account, ShouldEqual, want)
				So(ok, ShouldEqual, want != "")
				connected[account] = true
			}
		})
		Convey("Demand is forgotten", func() {
			_, ok := d.Foremost(start.Add(time.Minute), func(string) bool { return false })
			So(ok, ShouldBeFalse)
		})
	})
}
