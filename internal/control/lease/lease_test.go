package lease_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/lease"
)

const length = 2 * time.Second

var start = time.Unix(1000, 0)

// TestHolderNeverOutlastsGrantor drives both sides with late and lost messages, clocks that
// run apart by up to 2 % and changes of leader: while the holder takes its lease for valid,
// no leader takes it for expired.
func TestHolderNeverOutlastsGrantor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
		g := &lease.Grantor{Length: length, Elected: start}
		term := uint64(1)
		var tenure lease.Tenure
		now := start
		holderNow := func() time.Time { return start.Add(time.Duration(float64(now.Sub(start)) * rate)) }
		type message struct{ seq, term uint64 }
		var asked []uint64
		var granted []message
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"ask": func(*rapid.T) { asked = append(asked, tenure.Asked(holderNow())) },
			"grant": func(*rapid.T) {
				if len(asked) > 0 && g.Renew(now, now.Add(time.Second), "h", 1) == "" {
					granted = append(granted, message{asked[0], term})
					asked = asked[1:]
				}
			},
			"answer": func(t *rapid.T) {
				if len(granted) > 0 {
					i := rapid.IntRange(0, len(granted)-1).Draw(t, "answer")
					tenure.Granted(granted[i].seq, granted[i].term, length)
					granted = append(granted[:i:i], granted[i+1:]...)
				}
			},
			"lose":  func(*rapid.T) { asked = nil },
			"elect": func(*rapid.T) { term++; g = &lease.Grantor{Length: length, Elected: now} },
			"": func(t *rapid.T) {
				if tenure.Valid(holderNow()) && g.Expired(now, "h") {
					t.Fatal("holder serves while the leader takes its lease for expired")
				}
			},
		})
	})
}

func TestGrantor(t *testing.T) {
	Convey("Given a leader with two hosts", t, func() {
		g := &lease.Grantor{Length: length, Elected: start}
		later := start.Add(3 * time.Second)
		until := later.Add(time.Hour)

		Convey("Nothing is in force beyond what hosts with a lease have confirmed", func() {
			So(g.Renew(later, until, "a", 10), ShouldEqual, fault.Reason(""))
			So(g.Renew(later, until, "b", 7), ShouldEqual, fault.Reason(""))
			So(g.InForce(later, []string{"a", "b"}, 12), ShouldEqual, 7)
			So(g.Holds(later, "b", 8), ShouldBeFalse)
			So(g.InForce(later.Add(length), []string{"a", "b"}, 12), ShouldEqual, 12)
		})
		Convey("A new leader waits for the leases of the one before", func() {
			So(g.InForce(start.Add(time.Second), []string{"a"}, 12), ShouldEqual, 0)
			So(g.Expired(start.Add(time.Second), "a"), ShouldBeFalse)
			So(g.Expired(start.Add(length), "a"), ShouldBeTrue)
		})
		Convey("A host that is too far behind gets no lease until it has caught up", func() {
			g.Committed(later, 5)
			So(g.Renew(later.Add(time.Second), until, "a", 4), ShouldEqual, fault.Reason(""))
			So(g.Renew(later.Add(3*time.Second), until, "a", 4), ShouldEqual, fault.Behind)
			So(g.Renew(later.Add(3*time.Second), until, "a", 5), ShouldEqual, fault.Reason(""))
		})
		Convey("A leader without a quorum grants nothing", func() {
			So(g.Renew(later, later, "a", 10), ShouldEqual, fault.NoQuorum)
			So(g.Live(later, "a"), ShouldBeFalse)
		})
	})
	Convey("A grant of a replaced leader has no effect", t, func() {
		var tenure lease.Tenure
		So(tenure.Saw(5), ShouldBeTrue)
		seq := tenure.Asked(start)
		tenure.Granted(seq, 4, length)
		So(tenure.Valid(start), ShouldBeFalse)
		tenure.Granted(seq, 5, length)
		So(tenure.Valid(start), ShouldBeTrue)
		So(tenure.Valid(start.Add(length)), ShouldBeFalse)
	})
}
