package even_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/even"
)

// world is a group of instances behind lenders, with hosts that choose among them, in virtual time.
type world struct {
	choosers, instances, slots int
	// load is the mean share of all slots in use; swing and zones make it a wave per zone.
	load, swing float64
	zones       int
	// age is how old a report is when it arrives, and hop the time between a host and a lender.
	age, hop time.Duration
	length   time.Duration
	placer   *even.Placer
	// pick replaces the placer if set: it gets the true loads.
	pick func(loads []int) int
	// slow returns how many times slower an instance is at a time.
	slow func(at time.Duration, instance int) float64
	// fails reports whether an instance is grey for a zone.
	fails func(at time.Duration, instance, zone int) bool
	// silent reports whether the lender of an instance is lost: its requests wait for the next one,
	// which reports nothing.
	silent func(at time.Duration, instance int) bool
	// absent reports whether an instance can't serve, such as a replica that lags.
	absent func(at time.Duration, instance int) bool
	// noDecline makes lenders accept everything, and forgetOwn makes hosts forget what they sent.
	noDecline, forgetOwn bool
	// argmin makes hosts choose by the mean of what they believe.
	argmin bool
	seed   uint64
}

const (
	meanService = 15 * time.Millisecond
	// greyShare is the share of its requests that a grey instance fails.
	greyShare = 0.45
)

// result is what a run of a world showed.
type result struct {
	// waits are the times between arrival and the start of the service.
	waits []time.Duration
	// idleWait is the share of time in which one instance had work waiting while another idled.
	idleWait float64
	served   []served
	// moved counts declined requests.
	moved int
}

// served is a request that an instance ran.
type served struct {
	at             time.Duration
	zone, instance int
	failed         bool
}

// share returns the share of the requests from zone, or from all if it is negative, that an instance ran
// in a time, and the share of them that failed there or elsewhere.
func (r result) share(from, to time.Duration, zone, instance int) (share, failed float64) {
	all, there, bad := 0.0, 0.0, 0.0
	for _, s := range r.served {
		if s.at < from || s.at >= to || zone >= 0 && s.zone != zone {
			continue
		}
		all++
		if s.instance == instance {
			there++
		}
		if s.failed {
			bad++
		}
	}
	return there / max(1, all), bad / max(1, all)
}

func (r result) percentile(p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(r.waits))
	return sorted[int(p*float64(len(sorted)-1))]
}

type event struct {
	at  time.Duration
	n   int
	run func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// request is one read on its way.
type request struct {
	arrived  time.Duration
	chooser  int
	zone     int
	declined []bool
}

// sim is a run of a world.
type sim struct {
	world
	now     time.Duration
	queue   events
	n       int
	rnd     *rand.Rand
	views   [][]*even.View
	running []int
	waiting [][]func()
	version uint64
	service []time.Duration
	result  result
	overlap time.Duration
}

var epoch = time.Unix(1000, 0)

func (s *sim) after(d time.Duration, run func()) {
	s.n++
	heap.Push(&s.queue, event{s.now + d, s.n, run})
}

// run plays the world.
func (w world) run() result {
	s := &sim{world: w, rnd: rand.New(rand.NewPCG(w.seed, 1)), running: make([]int, w.instances), waiting: make([][]func(), w.instances), service: make([]time.Duration, w.instances)}
	if w.placer != nil {
		placer := *w.placer
		placer.First = s.rnd.IntN
		if w.argmin {
			placer.Draw = func(b even.Belief) float64 { return b.Mean }
		} else {
			placer.Draw = func(b even.Belief) float64 { return max(0, b.Mean+math.Sqrt(b.Variance)*s.rnd.NormFloat64()) }
		}
		s.placer = &placer
	}
	for range w.choosers {
		list := make([]*even.View, w.instances)
		for i := range list {
			list[i] = &even.View{}
		}
		s.views = append(s.views, list)
	}
	for z := range max(1, w.zones) {
		s.arrive(z)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.measure(e.at)
		s.now = e.at
		e.run()
	}
	s.result.idleWait = s.overlap.Seconds() / w.length.Seconds()
	return s.result
}

// measure adds the time until at if one instance has work waiting while another has a free slot.
func (s *sim) measure(at time.Duration) {
	waits, free := false, false
	for i := range s.instances {
		waits = waits || len(s.waiting[i]) > 0
		free = free || s.running[i] < s.slots
	}
	if waits && free {
		s.overlap += at - s.now
	}
}

// arrive lets a request of a zone arrive and plans the next one.
func (s *sim) arrive(zone int) {
	if s.now >= s.length {
		return
	}
	zones := max(1, s.zones)
	phase := 2 * math.Pi * (s.now.Seconds()/13 + float64(zone)/float64(zones))
	rate := s.load * float64(s.instances*s.slots) / meanService.Seconds() / float64(zones) * (1 + s.swing*math.Sin(phase))
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		perZone := max(1, s.choosers/zones)
		r := &request{arrived: s.now, zone: zone, chooser: (zone*perZone + s.rnd.IntN(perZone)) % s.choosers, declined: make([]bool, s.instances)}
		s.place(r)
		s.arrive(zone)
	})
}

// place chooses an instance and sends the request there.
func (s *sim) place(r *request) {
	if s.pick != nil {
		loads := make([]int, s.instances)
		for i := range loads {
			loads[i] = s.running[i] + len(s.waiting[i])
		}
		i := s.pick(loads)
		s.after(s.hop, func() { s.serve(r, i, false, time.Time{}) })
		return
	}
	now := epoch.Add(s.now)
	options := make([]even.Option, 0, s.instances)
	var names []int
	for i := range s.instances {
		if s.absent != nil && s.absent(s.now, i) {
			continue
		}
		names = append(names, i)
		options = append(options, even.Option{Local: true, Slots: s.slots, Declined: r.declined[i], News: s.views[r.chooser][i].News(now, "")})
		if s.forgetOwn {
			options[len(options)-1].News.SentSince, options[len(options)-1].News.Pending = 0, 0
		}
	}
	c := s.placer.Pick(options)
	i := names[c.Index]
	s.views[r.chooser][i].Sent(now)
	s.after(s.hop, func() { s.serve(r, i, c.Movable && !s.noDecline, now) })
}

// serve lets the request arrive at the lender of an instance.
func (s *sim) serve(r *request, i int, movable bool, sent time.Time) {
	if movable && s.running[i] >= s.slots {
		r.declined[i] = true
		s.result.moved++
		report := s.report(i)
		s.after(s.hop, func() { s.answer(r, i, sent, report, 0); s.place(r) })
		return
	}
	start := func() { s.start(r, i, sent) }
	if s.running[i] < s.slots {
		start()
		return
	}
	s.waiting[i] = append(s.waiting[i], start)
}

func (s *sim) start(r *request, i int, sent time.Time) {
	s.running[i]++
	s.result.waits = append(s.result.waits, s.now-r.arrived)
	took := time.Duration(s.rnd.ExpFloat64() * float64(meanService))
	failed := s.fails != nil && s.fails(s.now, i, r.zone) && s.rnd.Float64() < greyShare
	s.result.served = append(s.result.served, served{s.now, r.zone, i, failed})
	if s.slow != nil {
		took = time.Duration(float64(took) * s.slow(s.now, i))
	}
	s.after(took, func() {
		s.running[i]--
		s.service[i] += (took - s.service[i]) / 8
		if len(s.waiting[i]) > 0 {
			next := s.waiting[i][0]
			s.waiting[i] = s.waiting[i][1:]
			next()
		}
		if s.placer == nil || s.pick != nil {
			return
		}
		report := s.report(i)
		s.views[r.chooser][i].Judge(epoch.Add(s.now), failed)
		s.after(s.hop, func() { s.answer(r, i, sent, report, s.age) })
	})
}

// report returns what the lender of an instance knows.
func (s *sim) report(i int) even.Report {
	s.version++
	return even.Report{Lender: "l", Version: s.version, Running: s.running[i], Waiting: len(s.waiting[i]), Service: s.service[i], KindService: s.service[i]}
}

// answer tells the host that its request ended, and after late of the load at that time.
func (s *sim) answer(r *request, i int, sent time.Time, report even.Report, late time.Duration) {
	v := s.views[r.chooser][i]
	v.Done(sent)
	if s.silent != nil && s.silent(s.now, i) {
		return
	}
	taken := epoch.Add(s.now - s.hop)
	s.after(late, func() { v.Merge(taken, report) })
}
