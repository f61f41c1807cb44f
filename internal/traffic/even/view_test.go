package even_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/even"
)

func TestViewMerge(t *testing.T) {
	report := even.Report{Lender: "a", Version: 7, Running: 4, Waiting: 2, Service: 15 * time.Millisecond, Kind: "orders", KindService: 5 * time.Millisecond}
	Convey("Reports that are impossible or older than the known one are dropped", t, func() {
		v := &even.View{}
		for _, change := range []func(*even.Report){
			func(r *even.Report) { r.Running = -1 }, func(r *even.Report) { r.Waiting = 1 << 20 },
			func(r *even.Report) { r.Service = -1 }, func(r *even.Report) { r.KindService = time.Hour },
		} {
			bad := report
			change(&bad)
			So(v.Merge(epoch, bad), ShouldEqual, even.DroppedImpossible)
		}
		So(v.News(epoch, "orders").Known, ShouldBeFalse)
		So(v.Merge(epoch, report), ShouldEqual, "")
		older := report
		older.Version = 6
		So(v.Merge(epoch.Add(time.Millisecond), older), ShouldEqual, even.DroppedOld)
		older.Lender = "b"
		So(v.Merge(epoch.Add(-time.Millisecond), older), ShouldEqual, even.DroppedOld)
		Convey("A lender that has restarted counts from the start", func() {
			older.Lender = "a"
			So(v.Merge(epoch.Add(2*time.Second), older), ShouldEqual, "")
		})
	})
	Convey("News tells load, service times by kind, ages and the host's own requests since the report", t, func() {
		v := &even.View{}
		v.Sent(epoch)
		So(v.Merge(epoch.Add(time.Millisecond), report), ShouldEqual, "")
		sent := epoch.Add(2 * time.Millisecond)
		v.Sent(sent)
		n := v.News(epoch.Add(11*time.Millisecond), "orders")
		So(n, ShouldResemble, even.News{Known: true, Age: 10 * time.Millisecond, Load: 6, Service: 15 * time.Millisecond, KindService: 5 * time.Millisecond, KindAge: 10 * time.Millisecond, SentSince: 1, Pending: 2})
		So(v.News(epoch, "other").KindService, ShouldEqual, 0)
		v.Done(sent)
		So(v.News(epoch.Add(11*time.Millisecond), "orders").SentSince, ShouldEqual, 0)
	})
	Convey("Failures count for less as time passes, and few for less than many", t, func() {
		v := &even.View{}
		v.Judge(epoch, true)
		one := v.News(epoch, "").FailureShare
		So(one, ShouldEqual, 0.5)
		for range 20 {
			v.Judge(epoch, true)
		}
		So(v.News(epoch, "").FailureShare, ShouldBeGreaterThan, 0.85)
		So(v.News(epoch.Add(20*time.Second), "").FailureShare, ShouldBeLessThan, 0.01)
	})
}

func TestAvoidances(t *testing.T) {
	option := func(service time.Duration, failures float64) even.Option {
		return even.Option{Slots: 4, News: even.News{Known: true, Service: service, KindService: service, FailureShare: failures}}
	}
	Convey("An instance that is much slower than its peers or fails a part of its requests is told, with the evidence", t, func() {
		list := even.Avoidances([]even.Option{option(15*time.Millisecond, 0), option(75*time.Millisecond, 0), option(20*time.Millisecond, 0.3), option(25*time.Millisecond, 0.05)})
		So(list[0].Reason, ShouldBeEmpty)
		So(list[1].Reason, ShouldEqual, even.AvoidedSlow)
		So(list[1].Service, ShouldEqual, 75*time.Millisecond)
		So(list[1].Typical, ShouldEqual, 20*time.Millisecond)
		So(list[2].Reason, ShouldEqual, even.AvoidedFailing)
		So(list[3].Reason, ShouldBeEmpty)
	})
}

func TestMeasure(t *testing.T) {
	option := func(load float64) even.Option {
		return even.Option{Slots: 4, News: even.News{Known: true, Load: load}}
	}
	Convey("Imbalance is the largest load per slot by the mean, and whether work waits beside a free slot", t, func() {
		m, ok := even.Measure([]even.Option{option(6), option(0), option(0), {Slots: 4}})
		So(ok, ShouldBeTrue)
		So(m, ShouldResemble, even.Imbalance{Ratio: 3, Largest: 0, WaitsBesideFree: true})
		_, ok = even.Measure([]even.Option{option(6), {Slots: 4}})
		So(ok, ShouldBeFalse)
	})
}
