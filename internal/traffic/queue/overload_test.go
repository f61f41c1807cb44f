package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

// stream is a stream of requests of one caller.
type stream struct {
	caller string
	// perSecond is the mean rate of requests, and service how long each occupies a slot.
	perSecond float64
	service   time.Duration
	// patience is how long a request may wait for its slot.
	patience time.Duration
	class    spec.Class
}

// request is a request of a stream in a simulated load.
type request struct {
	id      uint64
	at      time.Time
	stream  stream
	granted bool
	// waited is how long the request waited for its slot or its refusal.
	waited time.Duration
}

// arrivals returns the requests of the streams in order of arrival, with random intervals.
func arrivals(length time.Duration, streams ...stream) []*request {
	r := rand.New(rand.NewPCG(1, 2))
	var list []*request
	for _, s := range streams {
		for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() / s.perSecond * float64(time.Second)) {
			list = append(list, &request{at: start.Add(at), stream: s})
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return a.at.Compare(b.at) })
	for i, r := range list {
		r.id = uint64(i + 1)
	}
	return list
}

// play runs the requests through the queue in simulated time and records what became of each.
func play(q *queue.Queue, list []*request) {
	byID := map[uint64]*request{}
	type end struct {
		at time.Time
		id uint64
	}
	var running []end
	apply := func(now time.Time, decisions []queue.Decision) {
		for _, d := range decisions {
			r := byID[d.ID]
			r.granted, r.waited = d.Reason == "", now.Sub(r.at)
			if r.granted {
				running = append(running, end{now.Add(r.stream.service), d.ID})
			}
		}
	}
	advance := func(to time.Time) {
		for len(running) > 0 {
			i := 0
			for j := range running {
				if running[j].at.Before(running[i].at) {
					i = j
				}
			}
			next := running[i]
			if next.at.After(to) {
				return
			}
			running = slices.Delete(running, i, i+1)
			apply(next.at, q.Expire(next.at))
			apply(next.at, q.Release(next.at, next.id))
		}
	}
	for _, r := range list {
		advance(r.at)
		byID[r.id] = r
		apply(r.at, q.Expire(r.at))
		apply(r.at, q.Enqueue(r.at, queue.Ticket{ID: r.id, Class: r.stream.class, Caller: r.stream.caller, Deadline: r.at.Add(r.stream.patience)}))
	}
	advance(start.Add(time.Hour))
}

// granted returns how many of the requests of a caller got a slot, and how many there were.
func granted(list []*request, caller string) (n, of int) {
	for _, r := range list {
		if r.stream.caller != caller {
			continue
		}
		of++
		if r.granted {
			n++
		}
	}
	return n, of
}

// TestShortestFirstServesMostCallers plays a primary that gets all reads of its group since its replicas lag:
// its three slots have work for 3.4. Reservations, which take 24 ms, need 2.6 of them; the rest are
// catalogue reads of 40 ms. Callers accept a wait of 200 and 300 ms.
func TestShortestFirstServesMostCallers(t *testing.T) {
	load := func() []*request {
		return arrivals(20*time.Second,
			stream{caller: "reservations", perSecond: 110, service: 24 * time.Millisecond, patience: 200 * time.Millisecond, class: spec.Normal},
			stream{caller: "catalogue", perSecond: 20, service: 40 * time.Millisecond, patience: 300 * time.Millisecond, class: spec.Normal})
	}
	Convey("Given an instance with work for more slots than it has", t, func() {
		inTurn, shortest := load(), load()
		play(&queue.Queue{Slots: 3, MaxWaiting: 64}, inTurn)
		play(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, shortest)
		total := func(list []*request) int {
			reservations, _ := granted(list, "reservations")
			catalogue, _ := granted(list, "catalogue")
			return reservations + catalogue
		}
		Convey("More callers are served than in turns, and no slot is left idle for it", func() {
			So(total(shortest), ShouldBeGreaterThan, total(inTurn))
		})
		Convey("Nearly all short requests are served, and long ones get what is left", func() {
			n, of := granted(shortest, "reservations")
			So(float64(n)/float64(of), ShouldBeGreaterThanOrEqualTo, 0.97)
			n, of = granted(shortest, "catalogue")
			So(float64(n)/float64(of), ShouldBeGreaterThan, 0.2)
		})
		Convey("No request waits longer than its caller accepts", func() {
			for _, r := range shortest {
				So(r.waited, ShouldBeLessThanOrEqualTo, r.stream.patience+40*time.Millisecond)
			}
		})
	})
	Convey("Without overload requests are served in order of arrival, whatever they take", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 64, ShortestFirst: true}
		q.Enqueue(start, ticket(1, spec.Normal))
		long, short := ticket(2, spec.Normal), ticket(3, spec.Normal)
		long.Caller, short.Caller = "long", "short"
		q.Enqueue(start, long)
		q.Enqueue(start.Add(time.Millisecond), short)
		So(q.Release(start.Add(2*time.Millisecond), 1), ShouldResemble, []queue.Decision{{ID: 2}})
	})
	Convey("A second after the overload everything is served again", t, func() {
		list := load()
		for _, r := range arrivals(5*time.Second, stream{caller: "reservations", perSecond: 60, service: 24 * time.Millisecond, patience: 200 * time.Millisecond, class: spec.Normal}) {
			r.at = r.at.Add(21 * time.Second)
			r.id += 1 << 20
			list = append(list, r)
		}
		play(&queue.Queue{Slots: 3, MaxWaiting: 64, ShortestFirst: true}, list)
		for _, r := range list {
			if !r.at.Before(start.Add(21 * time.Second)) {
				So(r.granted, ShouldBeTrue)
			}
		}
	})
}
