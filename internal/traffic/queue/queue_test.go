package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/queue"
)

var start = time.Unix(1000, 0)

func ticket(id uint64, c spec.Class) queue.Ticket {
	return queue.Ticket{ID: id, Class: c, Caller: "c", Deadline: start.Add(time.Hour)}
}

// TestQueueInvariants checks that no more requests run than there are slots, that every ticket
// gets exactly one decision, that none waits past its deadline or, if it may be late, past the latest time for
// its slot, and that no urgent or normal one waits while a slot is free; with and without accounts.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue.Queue{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), MaxWaiting: 8, ReservePeriod: time.Second}
		now, next, accounts := start, uint64(0), rapid.Bool().Draw(t, "accounts")
		waiting, running := map[uint64]queue.Ticket{}, map[uint64]bool{}
		apply := func(list []queue.Decision) {
			for _, d := range list {
				if _, ok := waiting[d.ID]; !ok {
					t.Fatalf("ticket %d got a second decision", d.ID)
				}
				if d.Reason == "" {
					running[d.ID] = true
				}
				delete(waiting, d.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				next++
				class := spec.Class(rapid.IntRange(0, 3).Draw(t, "class"))
				tk := queue.Ticket{
					ID: next, Class: class, SharedClass: class,
					Caller:   fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond),
				}
				if accounts {
					tk.Account = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "account"))
				}
				if more := rapid.IntRange(0, 800).Draw(t, "more"); more > 400 {
					tk.Limit = tk.Deadline.Add(time.Duration(more) * time.Millisecond)
				}
				waiting[tk.ID] = tk
				apply(q.Enqueue(now, tk))
			},
			"leave": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					apply(q.Release(now, id))
					return
				}
			},
			"give up": func(t *rapid.T) {
				for id := range waiting {
					delete(waiting, id)
					apply(q.Release(now, id))
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				apply(q.Expire(now))
				for id, tk := range waiting {
					if now.After(q.Latest(tk)) || tk.Limit.IsZero() && !now.Before(tk.Deadline) {
						t.Fatalf("ticket %d is still waiting after its deadline", id)
					}
				}
			},
			"": func(t *rapid.T) {
				if len(running) > q.Slots {
					t.Fatalf("%d requests are running in %d slots", len(running), q.Slots)
				}
				if q.Load() != len(running)+len(waiting) {
					t.Fatalf("load is %d, want %d", q.Load(), len(running)+len(waiting))
				}
				for id, tk := range waiting {
					if len(running) < q.Slots && tk.Class < spec.Browse {
						t.Fatalf("ticket %d is waiting while a slot is free", id)
					}
				}
			},
		})
	})
}

func TestQueueOrder(t *testing.T) {
	Convey("Given a queue whose two slots are in use by reports", t, func() {
		q := &queue.Queue{Slots: 2, MaxWaiting: 100, ReservePeriod: time.Second}
		q.Enqueue(start, ticket(1, spec.Report))
		q.Enqueue(start, ticket(2, spec.Report))
		for id := uint64(10); id < 30; id++ {
			q.Enqueue(start, ticket(id, spec.Report))
		}

		Convey("An urgent request gets the next slot, and one slot stays reserved for urgent requests", func() {
			So(q.Enqueue(start, ticket(99, spec.Urgent)), ShouldBeEmpty)
			So(q.Release(start, 1), ShouldResemble, []queue.Decision{{ID: 99}})
			So(q.Release(start, 99), ShouldBeEmpty)
			So(q.Enqueue(start, ticket(100, spec.Urgent)), ShouldResemble, []queue.Decision{{ID: 100}})
			So(q.Release(start, 100), ShouldBeEmpty)
			So(q.Expire(start.Add(2*time.Second)), ShouldHaveLength, 1)
		})
		Convey("Browse requests get two slots for each one of reports, and reports don't starve", func() {
			for id := uint64(200); id < 220; id++ {
				q.Enqueue(start, ticket(id, spec.Browse))
			}
			browse, report := 0, 0
			at := uint64(1)
			for range 18 {
				next := q.Release(start, at)
				So(next, ShouldHaveLength, 1)
				at = next[0].ID
				if at >= 200 {
					browse++
				} else {
					report++
				}
			}
			So(browse, ShouldBeBetween, 10, 14)
			So(report, ShouldBeBetween, 4, 8)
		})
	})
	Convey("A request that can't be served before its deadline is refused at once", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 100}
		q.Enqueue(start, ticket(1, spec.Normal))
		q.Release(start.Add(100*time.Millisecond), 1)
		q.Enqueue(start, ticket(2, spec.Normal))
		q.Enqueue(start, ticket(3, spec.Normal))
		late := queue.Ticket{ID: 4, Class: spec.Normal, Deadline: start.Add(150 * time.Millisecond)}
		So(q.Enqueue(start, late), ShouldResemble, []queue.Decision{{ID: 4, Reason: fault.Deadline}})
		late.Deadline = start.Add(250 * time.Millisecond)
		So(q.Enqueue(start, late), ShouldBeEmpty)
	})
	Convey("A full class queue refuses requests", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 2}
		for id := uint64(1); id <= 3; id++ {
			q.Enqueue(start, ticket(id, spec.Browse))
		}
		So(q.Enqueue(start, ticket(4, spec.Browse)), ShouldResemble, []queue.Decision{{ID: 4, Reason: fault.QueueFull}})
	})
	Convey("Callers of a class are served round robin", t, func() {
		q := &queue.Queue{Slots: 1, MaxWaiting: 100}
		q.Enqueue(start, ticket(1, spec.Normal))
		for id := uint64(10); id < 15; id++ {
			q.Enqueue(start, ticket(id, spec.Normal))
		}
		other := ticket(50, spec.Normal)
		other.Caller = "other"
		q.Enqueue(start, other)
		So(q.Release(start, 1)[0].ID, ShouldEqual, 10)
		So(q.Release(start, 10)[0].ID, ShouldEqual, 50)
	})
}
