package lease_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/lease"
)

const leaseDuration = 2 * time.Second

var start = time.Unix(1000, 0)

// TestHostLeaseEndsBeforeGrantorExpiry checks that no leader considers a lease expired while the
// host considers it valid. Messages are delayed and lost, the host's clock runs up to 2 % faster
// or slower, and leaders change.
func TestHostLeaseEndsBeforeGrantorExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clockRate := rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
		g := &lease.Grantor{LeaseDuration: leaseDuration, ElectedAt: start}
		term := uint64(1)
		var hostLease lease.HostLease
		now := start
		hostNow := func() time.Time { return start.Add(time.Duration(float64(now.Sub(start)) * clockRate)) }
		type message struct{ seq, term uint64 }
		var requests []uint64
		var grants []message
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"ask": func(*rapid.T) { requests = append(requests, hostLease.StartRenewal(hostNow())) },
			"grant": func(*rapid.T) {
				if len(requests) > 0 && g.Renew(now, now.Add(time.Second), "h", 1) == "" {
					grants = append(grants, message{requests[0], term})
					requests = requests[1:]
				}
			},
			"answer": func(t *rapid.T) {
				if len(grants) > 0 {
					i := rapid.IntRange(0, len(grants)-1).Draw(t, "answer")
					hostLease.RecordGrant(grants[i].seq, grants[i].term, leaseDuration)
					grants = append(grants[:i:i], grants[i+1:]...)
				}
			},
			"lose":  func(*rapid.T) { requests = nil },
			"elect": func(*rapid.T) { term++; g = &lease.Grantor{LeaseDuration: leaseDuration, ElectedAt: now} },
			"": func(t *rapid.T) {
				if hostLease.Valid(hostNow()) && g.Expired(now, "h") {
					t.Fatal("the host considers its lease valid, but the leader considers it expired")
				}
			},
		})
	})
}

func TestGrantor(t *testing.T) {
	Convey("Given a leader with two hosts", t, func() {
		g := &lease.Grantor{LeaseDuration: leaseDuration, ElectedAt: start}
		later := start.Add(3 * time.Second)
		leaderLeaseEnd := later.Add(time.Hour)

		Convey("Only revisions that all hosts with a lease have applied are in force", func() {
			So(g.Renew(later, leaderLeaseEnd, "a", 10), ShouldEqual, fault.Reason(""))
			So(g.Renew(later, leaderLeaseEnd, "b", 7), ShouldEqual, fault.Reason(""))
			So(g.InForce(later, []string{"a", "b"}, 12), ShouldEqual, 7)
			So(g.InForceOn(later, "b", 8), ShouldBeFalse)
			So(g.InForce(later.Add(leaseDuration), []string{"a", "b"}, 12), ShouldEqual, 12)
		})
		Convey("A new leader waits until the leases of its predecessor have ended", func() {
			So(g.InForce(start.Add(time.Second), []string{"a"}, 12), ShouldEqual, 0)
			So(g.Expired(start.Add(time.Second), "a"), ShouldBeFalse)
			So(g.Expired(start.Add(leaseDuration), "a"), ShouldBeTrue)
		})
		Convey("A host that has not applied a revision in time gets no lease until it has", func() {
			g.RecordCommit(later, 5)
			So(g.Renew(later.Add(time.Second), leaderLeaseEnd, "a", 4), ShouldEqual, fault.Reason(""))
			So(g.Renew(later.Add(3*time.Second), leaderLeaseEnd, "a", 4), ShouldEqual, fault.Behind)
			So(g.Renew(later.Add(3*time.Second), leaderLeaseEnd, "a", 5), ShouldEqual, fault.Reason(""))
		})
		Convey("A leader whose own lease has ended grants no leases", func() {
			So(g.Renew(later, later, "a", 10), ShouldEqual, fault.NoQuorum)
			So(g.HasLease(later, "a"), ShouldBeFalse)
		})
	})
	Convey("A grant from a leader of an older term has no effect", t, func() {
		var hostLease lease.HostLease
		So(hostLease.ObserveTerm(5), ShouldBeTrue)
		seq := hostLease.StartRenewal(start)
		hostLease.RecordGrant(seq, 4, leaseDuration)
		So(hostLease.Valid(start), ShouldBeFalse)
		hostLease.RecordGrant(seq, 5, leaseDuration)
		So(hostLease.Valid(start), ShouldBeTrue)
		So(hostLease.Valid(start.Add(leaseDuration)), ShouldBeFalse)
	})
}
