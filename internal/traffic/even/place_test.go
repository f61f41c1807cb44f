package even_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/even"
)

// loadOf returns a world at 80 % load whose zones' demand swings by 0.55, out of phase: the evening of a
// home delivery co-operative (matsam-heim-grown). Its p99 wait varies by a fifth between seeds.
func loadOf(choosers int, age time.Duration) world {
	return world{
		choosers: choosers, instances: 3, slots: 4, load: 0.8, swing: 0.55, zones: 3, age: age, hop: 500 * time.Microsecond, length: 30 * time.Second,
		placer: even.NewPlacer(0, 0),
	}
}

// seeds is the number of runs whose p99 waits are averaged.
const seeds = 4

// meanP99 returns the mean p99 wait over seeds of a world.
func meanP99(w world) time.Duration {
	sum := time.Duration(0)
	for w.seed = range seeds {
		sum += w.run().percentile(0.99)
	}
	return sum / seeds
}

// leastLoaded returns the instance with the least load: the choice of one host that knows all.
func leastLoaded(loads []int) int {
	best := 0
	for i, n := range loads {
		if n < loads[best] {
			best = i
		}
	}
	return best
}

// knowingAll and atRandom are the mean p99 waits of one host that knows all, and of random choices.
func knowingAll(w world) time.Duration {
	w.pick = leastLoaded
	return meanP99(w)
}

func atRandom(w world) time.Duration {
	rnd := rand.New(rand.NewPCG(9, 9))
	w.pick = func(loads []int) int { return rnd.IntN(len(loads)) }
	return meanP99(w)
}

// ageIgnored is the mutation of Believe that takes any news for the present.
func ageIgnored(o even.Option, _ even.Peers) even.Belief {
	return even.Belief{Mean: o.News.Load + float64(o.News.SentSince)}
}

func TestManyHostsWithOldNews(t *testing.T) {
	Convey("With news 10 and 100 ms old, at 80 % load, the p99 wait is at most 1.5 times that of one host that knows all", t, func() {
		known := knowingAll(loadOf(1, 0))
		bound := known * 3 / 2
		for _, choosers := range []int{100, 1000} {
			for _, age := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
				So(meanP99(loadOf(choosers, age)), ShouldBeLessThan, bound)
			}
		}
		Convey("and not if the age is ignored, or the least of the expected loads is taken for a draw", func() {
			w := loadOf(100, 100*time.Millisecond)
			w.placer.Believe = ageIgnored
			So(meanP99(w), ShouldBeGreaterThan, bound)
			w = loadOf(100, 10*time.Millisecond)
			w.argmin = true
			So(meanP99(w), ShouldBeGreaterThan, bound)
		})
		Convey("nor, for one host with news 1 s old and lenders that accept everything, if its own requests are forgotten", func() {
			w := loadOf(1, time.Second)
			w.noDecline = true
			So(meanP99(w), ShouldBeLessThan, bound)
			w.forgetOwn = true
			So(meanP99(w), ShouldBeGreaterThan, bound)
		})
	})
	Convey("With news of any age it is below that of random choices, also with lenders that decline nothing", t, func() {
		random := atRandom(loadOf(1, 0))
		for _, choosers := range []int{1, 100, 1000} {
			for _, age := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second} {
				w := loadOf(choosers, age)
				So(meanP99(w), ShouldBeLessThan, random)
				w.noDecline = true
				So(meanP99(w), ShouldBeLessThan, random*11/10)
			}
		}
	})
	Convey("An instance has work waiting beside a free slot hardly more often than with one host that knows all", t, func() {
		w := loadOf(100, 100*time.Millisecond)
		knowing := w
		knowing.pick = leastLoaded
		So(w.run().idleWait, ShouldBeLessThan, 1.3*knowing.run().idleWait)
	})
}

// TestSameNewsManyHosts is the moment after a report that all hosts have at the same time.
func TestSameNewsManyHosts(t *testing.T) {
	spread := func(p *even.Placer, age time.Duration) int {
		chosen := [3]int{}
		options := make([]even.Option, 3)
		for i, load := range []float64{5, 6, 6} {
			options[i] = even.Option{Local: true, Slots: 4, News: even.News{Known: true, Load: load, Age: age, Service: 15 * time.Millisecond, KindService: 15 * time.Millisecond}}
		}
		for range 100 {
			chosen[p.Pick(options).Index]++
		}
		return max(chosen[0], chosen[1], chosen[2])
	}
	Convey("Of 100 hosts with the same news 10 ms old at most two thirds choose the same; the least of the means takes all", t, func() {
		p := even.NewPlacer(0, 0)
		So(spread(p, 10*time.Millisecond), ShouldBeLessThan, 67)
		p.Draw = func(b even.Belief) float64 { return b.Mean }
		So(spread(p, 10*time.Millisecond), ShouldEqual, 100)
	})
}

// between reports whether a time is in the trouble of a run, from 10 to 20 s.
func between(at time.Duration) bool { return at >= 10*time.Second && at < 20*time.Second }

const (
	trouble, over = 10 * time.Second, 20 * time.Second
	// noticed is how long hosts may take to find out that something began or ended.
	noticed = 2 * time.Second
)

func TestSlowInstance(t *testing.T) {
	Convey("An instance that turns five times slower gets at most its share of the capacity, and its old one soon after", t, func() {
		w := loadOf(100, 100*time.Millisecond)
		w.load = 0.5
		w.slow = func(at time.Duration, i int) float64 {
			if i == 0 && between(at) {
				return 5
			}
			return 1
		}
		r := w.run()
		share, _ := r.share(trouble+noticed, over, -1, 0)
		So(share, ShouldBeLessThan, 1.0/(1+5+5)*1.25)
		So(share, ShouldBeGreaterThan, 0)
		share, _ = r.share(over+2*noticed, over+5*noticed, -1, 0)
		So(share, ShouldBeGreaterThan, 0.25)
	})
	Convey("Statements that are longer at all instances change nothing", t, func() {
		w := loadOf(100, 100*time.Millisecond)
		w.load = 0.2
		w.slow = func(time.Duration, int) float64 { return 3 }
		r := w.run()
		for i := range 3 {
			share, _ := r.share(noticed, w.length, -1, i)
			So(share, ShouldAlmostEqual, 1.0/3, 0.03)
		}
	})
}

func TestGreyInstance(t *testing.T) {
	Convey("An instance that fails 45 % of one zone's requests loses most of these, none of others, and gets them back", t, func() {
		w := loadOf(99, 100*time.Millisecond)
		w.load, w.swing = 0.4, 0
		w.fails = func(at time.Duration, i, zone int) bool { return i == 0 && zone == 0 && between(at) }
		r := w.run()
		_, failed := r.share(trouble+noticed, over, 0, 0)
		So(failed, ShouldBeLessThan, greyShare/3/2)
		for zone := 1; zone < 3; zone++ {
			share, bad := r.share(trouble+noticed, over, zone, 0)
			So(share, ShouldBeGreaterThan, 0.25)
			So(bad, ShouldEqual, 0)
		}
		share, _ := r.share(over+3*noticed, w.length, 0, 0)
		So(share, ShouldBeGreaterThan, 0.25)
	})
	Convey("If all instances fail most requests, all are still chosen", t, func() {
		w := loadOf(99, 100*time.Millisecond)
		w.load = 0.4
		w.fails = func(time.Duration, int, int) bool { return true }
		r := w.run()
		for i := range 3 {
			share, _ := r.share(noticed, w.length, -1, i)
			So(share, ShouldBeGreaterThan, 0.2)
		}
	})
}

func TestLostLenderAndLaggingReplica(t *testing.T) {
	Convey("When the reports about an instance end halfway, the p99 wait stays below that of random choices", t, func() {
		w := loadOf(100, 100*time.Millisecond)
		random := atRandom(w)
		w.silent = func(at time.Duration, i int) bool { return i == 0 && at >= trouble }
		So(meanP99(w), ShouldBeLessThan, random)
	})
	Convey("An instance that lags for 10 s gets nothing, then its share again without a rush", t, func() {
		w := loadOf(100, 100*time.Millisecond)
		w.load, w.swing = 0.5, 0
		w.absent = func(at time.Duration, i int) bool { return i == 0 && between(at) }
		r := w.run()
		share, _ := r.share(trouble+noticed, over, -1, 0)
		So(share, ShouldEqual, 0)
		share, _ = r.share(over, over+time.Second, -1, 0)
		So(share, ShouldBeBetween, 0.25, 0.5)
		So(r.percentile(0.99), ShouldBeLessThan, 4*meanService)
	})
}
