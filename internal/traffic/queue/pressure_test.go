package queue_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

// load is a stream of requests, of one account if it has a name.
type load struct {
	account, caller string
	class, shared   spec.Class
	// perSecond is the mean rate of an open stream. A closed one has callers that each send their next
	// request retryAfter after the last one ended, however it ended.
	perSecond float64
	callers   int
	// from and to bound an open stream; to is the end of the day if it is zero.
	from, to time.Duration
	service  time.Duration
	// patience is the wait within which a request is in time, and limit the time within which it must be
	// answered; if limit is zero, it must not be late.
	patience, limit time.Duration
}

// retryAfter is the pause of a caller in a closed stream.
const retryAfter = 2 * time.Millisecond

// outcome is what became of a request.
type outcome struct {
	load          *load
	at            time.Time
	served        bool
	waited        time.Duration
	inTime, ended bool
}

// event is a moment in a simulated day.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playLoads plays a day of the loads through the queue in virtual time and returns what became of each request.
func playLoads(q *queue.Queue, day time.Duration, loads ...*load) []*outcome {
	random := rand.New(rand.NewPCG(7, 11))
	var all []*outcome
	var pending events
	byID := map[uint64]*outcome{}
	end := start.Add(day)
	at := func(t time.Time, run func(time.Time)) { heap.Push(&pending, event{t, run}) }
	var ask func(now time.Time, l *load)
	again := func(now time.Time, l *load) {
		if next := now.Add(retryAfter); l.callers > 0 && next.Before(end) {
			at(next, func(now time.Time) { ask(now, l) })
		}
	}
	var apply func(now time.Time, decisions []queue.Decision)
	apply = func(now time.Time, decisions []queue.Decision) {
		for _, d := range decisions {
			o := byID[d.ID]
			o.ended, o.served, o.waited = true, d.Reason == "", now.Sub(o.at)
			o.inTime = o.served && o.waited <= o.load.patience
			if !o.served {
				again(now, o.load)
				continue
			}
			took := time.Duration(float64(o.load.service) * (0.5 + random.Float64()))
			at(now.Add(took), func(now time.Time) {
				if o.load.limit > 0 && now.Sub(o.at) > o.load.limit {
					o.served = false
				}
				apply(now, q.Release(now, d.ID))
				again(now, o.load)
			})
		}
	}
	ask = func(now time.Time, l *load) {
		o := &outcome{load: l, at: now}
		all = append(all, o)
		id := uint64(len(all))
		byID[id] = o
		t := queue.Ticket{ID: id, Class: l.class, SharedClass: l.shared, Caller: l.caller, Account: l.account, Deadline: now.Add(l.patience)}
		if l.limit > 0 {
			t.Limit = now.Add(l.limit)
		}
		latest := q.Latest(t)
		apply(now, q.Enqueue(now, t))
		if !o.ended {
			at(latest, func(now time.Time) {
				if !o.ended {
					o.ended, o.waited = true, now.Sub(o.at)
					apply(now, q.Release(now, id))
					again(now, l)
				}
			})
		}
	}
	for _, l := range loads {
		for range l.callers {
			at(start, func(now time.Time) { ask(now, l) })
		}
		if l.perSecond == 0 {
			continue
		}
		to := l.to
		if to == 0 {
			to = day
		}
		for t := l.from; t < to; t += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
			at(start.Add(t), func(now time.Time) { ask(now, l) })
		}
	}
	for len(pending) > 0 {
		next := heap.Pop(&pending).(event)
		next.run(next.at)
	}
	return all
}

// tally counts the outcomes that match.
type tally struct {
	asked, served, inTime, refused int
	// lateRefusals counts those refused after more than one and a half times their patience.
	lateRefusals int
	// p99 is the 99th percentile of the waits of those served.
	p99 time.Duration
}

func count(list []*outcome, match func(*outcome) bool) tally {
	var n tally
	var waits []time.Duration
	for _, o := range list {
		if !match(o) {
			continue
		}
		n.asked++
		switch {
		case o.served:
			n.served++
			waits = append(waits, o.waited)
		default:
			n.refused++
			if o.waited > 3*o.load.patience/2 {
				n.lateRefusals++
			}
		}
		if o.inTime {
			n.inTime++
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		n.p99 = waits[len(waits)*99/100]
	}
	return n
}

func everyone(*outcome) bool { return true }

// TestServedAtAnyStatementTime answers the callers of statements that are slower than their goal: 24 callers got a
// sixth of what 6 got. Their goal is 200 ms, of which they may wait 100, and their time limit 800 ms.
func TestServedAtAnyStatementTime(t *testing.T) {
	const slots, day = 3, 20 * time.Second
	for _, service := range []time.Duration{20, 50, 100, 150, 200, 300} {
		for _, callers := range []int{2, 3, 6, 12, 24, 30} {
			Convey(fmt.Sprintf("%d callers of statements of %d ms get 80 %% of what the slots allow", callers, service), t, func() {
				l := &load{callers: callers, class: spec.Normal, service: service * time.Millisecond, patience: 100 * time.Millisecond, limit: 800 * time.Millisecond}
				n := count(playLoads(&queue.Queue{Slots: slots, MaxWaiting: 64, ShortestFirst: true}, day, l), everyone)
				allowed := day.Seconds() * min(slots/l.service.Seconds(), float64(callers)/(l.service+retryAfter).Seconds())
				So(float64(n.served), ShouldBeGreaterThan, 0.8*allowed)
			})
		}
	}
}

// TestLateServiceCostsNothing answers the refusals of a group in each wave of its day, with 1.5 and 5 s of time limit
// left: a late answer is worth a part of one in time and a refusal nothing. It compares requests that may be
// late with the same ones that may not.
func TestLateServiceCostsNothing(t *testing.T) {
	const day = 40 * time.Second
	play := func(limit time.Duration, loads ...load) tally {
		var list []*load
		for _, l := range loads {
			l.limit = limit
			list = append(list, &l)
		}
		return count(playLoads(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, day, list...), everyone)
	}
	slow := load{caller: "slow", class: spec.Normal, service: 150 * time.Millisecond, perSecond: 17, patience: 100 * time.Millisecond}
	lookups := load{caller: "lookups", class: spec.Normal, service: 33 * time.Millisecond, perSecond: 50, patience: 200 * time.Millisecond}
	wave := load{caller: "wave", class: spec.Browse, service: 55 * time.Millisecond, perSecond: 60, patience: 750 * time.Millisecond, from: 10 * time.Second, to: 12 * time.Second}
	Convey("Of slow statements that have room less than half as many are refused, and all are worth more", t, func() {
		before, after := play(0, slow), play(800*time.Millisecond, slow)
		So(after.refused, ShouldBeLessThan, before.refused/2)
		So(float64(after.inTime)+0.3*float64(after.served-after.inTime), ShouldBeGreaterThan, float64(before.inTime))
	})
	Convey("In a wave as many are served in time, and no more are refused", t, func() {
		before, after := play(0, lookups, wave), play(3*time.Second, lookups, wave)
		So(after.refused, ShouldBeLessThanOrEqualTo, before.refused)
		So(after.inTime, ShouldBeGreaterThanOrEqualTo, before.inTime*99/100)
	})
	for _, factor := range []float64{1.2, 2, 4} {
		Convey(fmt.Sprintf("An overload of %.1f gets no fewer answers in time, and what can't be served is refused at once", factor), t, func() {
			l := lookups
			l.perSecond = factor * 3 / l.service.Seconds()
			before, after := play(0, l), play(time.Second, l)
			So(after.inTime, ShouldBeGreaterThanOrEqualTo, before.inTime*98/100)
			So(after.served, ShouldBeGreaterThanOrEqualTo, before.served*99/100)
			So(after.lateRefusals, ShouldBeLessThan, after.refused/20)
		})
	}
}

// accounts returns loads of the given accounts' names with equal shares of perSecond.
func accounts(n int, like load) []*load {
	var list []*load
	for i := range n {
		l := like
		l.account = fmt.Sprint("account-", i)
		l.perSecond = like.perSecond / float64(n)
		list = append(list, &l)
	}
	return list
}

// The classes of a customer with accounts: scans that the primary alone serves, sender lookups and shelf views.
// Without accounts the first two are in one class.
var (
	scans   = load{caller: "scans", class: spec.Urgent, shared: spec.Urgent, service: 11 * time.Millisecond, patience: 100 * time.Millisecond, limit: time.Second}
	senders = load{caller: "senders", class: spec.Urgent, shared: spec.Normal, service: 33 * time.Millisecond, patience: 200 * time.Millisecond, limit: time.Second}
	views   = load{caller: "views", class: spec.Normal, shared: spec.Browse, service: 55 * time.Millisecond, patience: 750 * time.Millisecond, limit: 3 * time.Second}
)

func at(l load, perSecond float64) load {
	l.perSecond = perSecond
	return l
}

// TestHotAccountCostsOthersNothing answers the accounts that paid for one with 4 to 8 times its usual demand. The
// accounts have unequal sizes; the hot one has a twelfth of the usual load.
func TestHotAccountCostsOthersNothing(t *testing.T) {
	const day, from, to = 60 * time.Second, 30 * time.Second, 40 * time.Second
	others := func(o *outcome) bool {
		return o.load.account != "hot" && !o.at.Before(start.Add(from)) && o.at.Before(start.Add(to))
	}
	play := func(factor float64) []*outcome {
		list := append(accounts(20, at(senders, 35)), accounts(1, at(senders, 20))...)
		list[20].account = "large"
		for _, shift := range []struct {
			rate     float64
			from, to time.Duration
		}{{5, 0, from}, {5 * factor, from, to}, {5, to, day}} {
			l := at(senders, shift.rate)
			l.account, l.from, l.to = "hot", shift.from, shift.to
			list = append(list, &l)
		}
		return playLoads(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, day, list...)
	}
	usual := count(play(1), others)
	for _, factor := range []float64{4, 8, 16} {
		Convey(fmt.Sprintf("An account at %.0f times its usual demand", factor), t, func() {
			list := play(factor)
			n := count(list, others)
			So(n.p99, ShouldBeLessThanOrEqualTo, 2*usual.p99)
			So(n.asked-n.inTime, ShouldBeLessThanOrEqualTo, usual.asked-usual.inTime+n.asked/100)
			hot := count(list, func(o *outcome) bool { return o.load.account == "hot" })
			So(hot.served, ShouldBeGreaterThan, 5*int(day.Seconds())*9/10)
			all := count(list, func(o *outcome) bool {
				return others(o) || o.load.account == "hot" && !o.at.Before(start.Add(from)) && o.at.Before(start.Add(to))
			})
			So(float64(all.served), ShouldBeGreaterThan, 0.9*min(float64(all.asked), 3*(to-from).Seconds()/senders.service.Seconds()))
		})
	}
}

// TestScansGoBeforeLookups answers the scans that were refused while sender lookups, one rank below, passed.
func TestScansGoBeforeLookups(t *testing.T) {
	const day = 20 * time.Second
	Convey("Given scans, and lookups for more than all slots", t, func() {
		list := playLoads(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, day, append(accounts(10, at(scans, 80)), accounts(10, at(senders, 110))...)...)
		n := count(list, func(o *outcome) bool { return o.load.caller == "scans" })
		So(n.asked-n.inTime, ShouldBeLessThan, n.asked/200)
		lookups := count(list, func(o *outcome) bool { return o.load.caller == "senders" })
		So(float64(lookups.served), ShouldBeGreaterThan, 0.9*(3-80*scans.service.Seconds())*day.Seconds()/senders.service.Seconds())
	})
}

// TestClassThatCanWaitDoesNotStarve answers the shelf views, which can wait: they yield their turns, and what can
// be served in time is served.
func TestClassThatCanWaitDoesNotStarve(t *testing.T) {
	const day = 30 * time.Second
	play := func(burst float64) (waiting, scanning, looking tally) {
		v := at(views, burst)
		v.from, v.to = 10*time.Second, 16*time.Second
		list := append(accounts(10, at(scans, 60)), accounts(10, at(senders, 40))...)
		list = append(list, accounts(10, at(views, 9))...)
		if burst > 0 {
			list = append(list, accounts(10, v)...)
		}
		all := playLoads(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, day, list...)
		of := func(caller string) tally {
			return count(all, func(o *outcome) bool { return o.load.caller == caller })
		}
		return of("views"), of("scans"), of("senders")
	}
	Convey("A burst of views for more than all slots costs scans and lookups nothing", t, func() {
		waiting, scanning, looking := play(40)
		So(scanning.asked-scanning.inTime, ShouldBeLessThan, scanning.asked/100)
		So(looking.asked-looking.inTime, ShouldBeLessThan, looking.asked/50)
		Convey("and the views that are refused are few, and refused soon", func() {
			So(waiting.served, ShouldBeGreaterThan, waiting.asked*6/10)
			So(waiting.lateRefusals, ShouldBeLessThan, waiting.asked/20)
		})
	})
	Convey("At 83 % load views are served in time, after all others", t, func() {
		waiting, scanning, looking := play(0)
		So(waiting.asked-waiting.inTime, ShouldBeLessThanOrEqualTo, waiting.asked/50)
		So(scanning.asked-scanning.inTime, ShouldBeLessThan, scanning.asked/100)
		So(looking.asked-looking.inTime, ShouldBeLessThan, looking.asked/100)
	})
	Convey("Views get most of their turns while lookups could use all slots", t, func() {
		list := append(accounts(10, at(senders, 89)), accounts(5, at(views, 2))...)
		all := playLoads(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, day, list...)
		n := count(all, func(o *outcome) bool { return o.load.caller == "views" })
		So(n.inTime, ShouldBeGreaterThan, n.asked/2)
		n = count(all, func(o *outcome) bool { return o.load.caller == "senders" })
		So(n.inTime, ShouldBeGreaterThan, n.asked*9/10)
	})
}

// TestFullClassRefusesWhoIsAhead guards against an account that fills the places of its class, so that the others are
// refused.
func TestFullClassRefusesWhoIsAhead(t *testing.T) {
	Convey("Given a class whose places are taken by one account", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 3}
		of := func(id uint64, account string) queue.Ticket {
			return queue.Ticket{ID: id, SharedClass: spec.Normal, Account: account, Deadline: start.Add(time.Hour)}
		}
		for id := uint64(1); id <= 4; id++ {
			q.Enqueue(start, of(id, "hot"))
		}
		So(q.Enqueue(start, of(5, "hot")), ShouldResemble, []queue.Decision{{ID: 5, Reason: fault.QueueFull}})
		Convey("Another one gets a place, and the last of the first one is refused", func() {
			So(q.Enqueue(start, of(6, "rare")), ShouldResemble, []queue.Decision{{ID: 4, Reason: fault.QueueFull}})
			So(q.Release(start.Add(time.Millisecond), 1), ShouldResemble, []queue.Decision{{ID: 6}})
		})
	})
}

// TestFirstAccountOrdersWhatWaits plays a manifest that declares accounts while requests wait.
func TestFirstAccountOrdersWhatWaits(t *testing.T) {
	Convey("Given requests of two ranks that wait in one class", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 8}
		q.Enqueue(start, queue.Ticket{ID: 1, Deadline: start.Add(time.Hour)})
		q.Enqueue(start, queue.Ticket{ID: 2, SharedClass: spec.Normal, Deadline: start.Add(time.Hour)})
		q.Enqueue(start, queue.Ticket{ID: 3, SharedClass: spec.Urgent, Deadline: start.Add(time.Hour)})
		Convey("Each rank has a class once a request has an account, and none is lost", func() {
			So(q.Enqueue(start, queue.Ticket{ID: 4, SharedClass: spec.Browse, Account: "a", Deadline: start.Add(time.Hour)}), ShouldBeEmpty)
			at := uint64(1)
			for _, next := range []uint64{3, 2, 4} {
				So(q.Release(start.Add(time.Millisecond), at), ShouldResemble, []queue.Decision{{ID: next}})
				at = next
			}
		})
	})
}

// TestOpeningsAreNoServiceTimes guards against waits that are estimated too short, since many transactions are opened.
func TestOpeningsAreNoServiceTimes(t *testing.T) {
	Convey("Given a queue that shares its slots, and statements of 30 ms", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 8, ShortestFirst: true}
		run := func(id uint64, opens bool, took time.Duration) {
			q.Enqueue(start, queue.Ticket{ID: id, Account: "a", Caller: "c", Deadline: start.Add(time.Hour), Opens: opens})
			q.Release(start.Add(took), id)
		}
		run(1, false, 30*time.Millisecond)
		Convey("Openings of transactions leave their mean as it is", func() {
			run(2, true, 0)
			So(q.MeanServiceTime(), ShouldEqual, 30*time.Millisecond)
		})
	})
}

// TestLateRequestsGetWhatIsLeft checks the order of requests that can't be in time any more.
func TestLateRequestsGetWhatIsLeft(t *testing.T) {
	Convey("Given a request that waits past its time and may be late", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 8}
		q.Enqueue(start, ticket(1, spec.Normal))
		late := queue.Ticket{ID: 2, Class: spec.Normal, Deadline: start.Add(100 * time.Millisecond), Limit: start.Add(time.Second)}
		So(q.Enqueue(start, late), ShouldBeEmpty)
		now := start.Add(200 * time.Millisecond)
		So(q.Expire(now), ShouldBeEmpty)
		So(q.Load(), ShouldEqual, 2)
		Convey("One that can be in time goes first, whatever its class", func() {
			So(q.Enqueue(now, ticket(3, spec.Report)), ShouldBeEmpty)
			So(q.Release(now, 1), ShouldResemble, []queue.Decision{{ID: 3}})
			So(q.Release(now, 3), ShouldResemble, []queue.Decision{{ID: 2}})
		})
		Convey("So does one that comes after one that can't be in time", func() {
			So(q.Release(now, 1), ShouldResemble, []queue.Decision{{ID: 2}})
			soon := queue.Ticket{ID: 5, Class: spec.Normal, Deadline: now.Add(50 * time.Millisecond), Limit: now.Add(3 * time.Second)}
			So(q.Enqueue(now, soon), ShouldBeEmpty)
			So(q.Enqueue(now, ticket(6, spec.Normal)), ShouldBeEmpty)
			So(q.Release(now.Add(10*time.Millisecond), 2), ShouldResemble, []queue.Decision{{ID: 6}})
		})
		Convey("It is refused once its answer would be too late", func() {
			So(q.Release(now, 1), ShouldResemble, []queue.Decision{{ID: 2}})
			q.Enqueue(now, queue.Ticket{ID: 4, Class: spec.Normal, Deadline: now.Add(300 * time.Millisecond), Limit: now.Add(800 * time.Millisecond)})
			So(q.Expire(now.Add(450*time.Millisecond)), ShouldResemble, []queue.Decision{{ID: 4, Reason: fault.Deadline}})
		})
	})
}
