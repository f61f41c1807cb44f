package even

import (
	"math"
	"math/rand/v2"
	"time"
)

// Option is an instance that may serve a request.
type Option struct {
	// Primary is set for the primary of the group.
	Primary bool
	// Local is set for an instance in the host's data centre.
	Local bool
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Declined is set if the lender has declined this request because the instance had no free slot.
	Declined bool
	News     News
}

// Belief is what the number of requests at an instance may be by now.
type Belief struct {
	Mean, Variance float64
}

// Peers is what is known of all options together.
type Peers struct {
	// Load is the mean number of requests per slot, at most 1: what is known of a queue says nothing about
	// the time after it.
	Load float64
	// Service is the typical service time, and KindService that of the kind of request to be placed;
	// zero if none is known.
	Service, KindService time.Duration
	// OwnShare is the share of the group's requests that this host sends, from 0 to 1.
	OwnShare float64
}

// Placer chooses instances. The fields are set before the first call.
type Placer struct {
	// Remote is the cost of an instance in another data centre, and Primary that of the primary, whose
	// slots are kept for what only it can serve.
	Remote, Primary time.Duration
	// Believe returns what an instance's load may be by now.
	Believe func(o Option, p Peers) Belief
	// Draw returns one of the values that the load may have.
	Draw func(b Belief) float64
	// First returns the index, below n, of the option that is considered first: of equal ones it is taken.
	First func(n int) int
}

// NewPlacer returns a Placer with the given costs.
func NewPlacer(remote, primary time.Duration) *Placer {
	return &Placer{Remote: remote, Primary: primary, Believe: Believe, Draw: Draw, First: rand.IntN}
}

const (
	// assumedService is the service time of instances of which none is known.
	assumedService = 10 * time.Millisecond
	// serviceMemory is the time in which what is known of the speed of an instance falls to 1/e, so that
	// one that was slow is tried again.
	serviceMemory = 2 * time.Second
	// slowFactor is how many times the typical service time an instance must need to count as slower. The
	// reported means are moving ones over eight requests. They differ by a quarter among equal instances,
	// and one statement that is eleven times as long as the others doubles them; if hosts went by that,
	// most would choose the same.
	slowFactor = 3
	// maxMoves is how often a request is declined before it waits where the least work is. Each takes a
	// round trip between hosts; the third choice helps little after the second.
	maxMoves = 3
	// minFailureShare is the share of failures from which on an instance is avoided. Without it one that
	// failed anything would lose all requests to its equals.
	minFailureShare = 0.1
	// maxFailureShare bounds the share of failures that counts: an instance that fails everything still
	// has a finite cost, so that a group never loses its last instance.
	maxFailureShare = 0.95
)

// Choice is the result of Placer.Pick.
type Choice struct {
	// Index is that of the chosen option.
	Index int
	// Expected is the expected time to an answer, with the costs.
	Expected time.Duration
	// Movable is set if another option may have a free slot: a lender without one should decline.
	Movable bool
	// Age is how old the report about the chosen option was.
	Age time.Duration
}

// Informed reports whether anything is known about one of the options; otherwise Pick doesn't apply.
func Informed(options []Option) bool {
	for _, o := range options {
		if o.News.Known {
			return true
		}
	}
	return false
}

// Pick chooses the option with the least time to an answer, for loads that are drawn from what they may
// be by now. Hosts with the same news thus choose differently, the more so the older the news is.
// options must not be empty. Options that have declined are chosen only once there are no others or
// maxMoves have declined; what they said then is the newest that is known.
func (p *Placer) Pick(options []Option) Choice {
	peers := peersOf(options)
	declined := countDeclined(options)
	last := declined >= min(maxMoves, len(options))
	best := Choice{Index: -1}
	first := p.First(len(options))
	room, bestRoom := 0, false
	for n := range options {
		i := (first + n) % len(options)
		o := options[i]
		if o.Declined && !last {
			continue
		}
		belief := p.Believe(o, peers)
		hasRoom := belief.mayBeBelow(float64(max(1, o.Slots)))
		if hasRoom {
			room++
		}
		if cost := p.cost(o, p.Draw(belief), peers); best.Index < 0 || cost < best.Expected {
			best, bestRoom = Choice{Index: i, Expected: cost, Age: o.News.Age}, hasRoom
		}
	}
	best.Movable = !last && (room > 1 || room == 1 && !bestRoom)
	return best
}

// mayBeBelow reports whether the load may be below n: whether n is above the mean less two standard
// deviations.
func (b Belief) mayBeBelow(n float64) bool { return b.Mean-2*math.Sqrt(b.Variance) < n }

// countDeclined returns the number of options that have declined.
func countDeclined(options []Option) int {
	n := 0
	for _, o := range options {
		if o.Declined {
			n++
		}
	}
	return n
}

// cost returns the expected time to an answer of an option with the given load, with the costs of its
// place. A failed request takes its time and is then sent again.
func (p *Placer) cost(o Option, load float64, peers Peers) time.Duration {
	slots := float64(max(1, o.Slots))
	wait := max(0, load+1-slots) / slots * float64(serviceTime(o, peers))
	total := float64(kindTime(o, peers)) + wait
	if share := min(o.News.FailureShare, maxFailureShare); share >= minFailureShare {
		total += share / (1 - share) * (total + float64(known(peers.KindService)))
	}
	if !o.Local {
		total += float64(p.Remote)
	}
	if o.Primary {
		total += float64(p.Primary)
	}
	return time.Duration(total)
}

// known returns a typical service time, or an assumed one if none is known.
func known(typical time.Duration) time.Duration {
	if typical == 0 {
		return assumedService
	}
	return typical
}

// serviceTime returns the time that requests of all kinds occupy a slot of an option: the reported one,
// which counts for less the older it is, and that of its peers for the rest.
func serviceTime(o Option, peers Peers) time.Duration {
	return towards(known(peers.Service), o.News.Service, o.News.Age)
}

// kindTime is serviceTime for the kind of request to be placed. It tells a slow instance from longer
// statements, which are as long at its peers.
func kindTime(o Option, peers Peers) time.Duration {
	return towards(known(peers.KindService), o.News.KindService, o.News.KindAge)
}

// towards returns what is left of a reported service time, zero if there is none, after its age. A time that
// is not slow is the typical one.
func towards(typical, reported, age time.Duration) time.Duration {
	if reported <= slowFactor*typical {
		return typical
	}
	return typical + time.Duration(float64(reported-typical)*fade(age, serviceMemory))
}

// peersOf returns what is known of the options together.
func peersOf(options []Option) Peers {
	var p Peers
	load, slots, pending := 0.0, 0, 0
	for _, o := range options {
		pending += o.News.Pending
		if !o.News.Known {
			continue
		}
		load += o.News.Load
		slots += max(1, o.Slots)
	}
	p.Service = typicalTime(options, func(n News) time.Duration { return n.Service })
	p.KindService = typicalTime(options, func(n News) time.Duration { return n.KindService })
	if slots > 0 {
		p.Load = min(1, load/float64(slots))
	}
	if load > 0 {
		p.OwnShare = min(1, float64(pending)/load)
	}
	return p
}

// typicalTime returns the mean of the reported times of the options that are not slow; zero if none is known.
// What is slow is measured by the shortest, since of two or three instances most may be slow.
func typicalTime(options []Option, of func(News) time.Duration) time.Duration {
	shortest, sum, n := time.Duration(0), time.Duration(0), time.Duration(0)
	for _, o := range options {
		if t := of(o.News); t > 0 && (shortest == 0 || t < shortest) {
			shortest = t
		}
	}
	for _, o := range options {
		if t := of(o.News); t > 0 && t <= slowFactor*shortest {
			sum += t
			n++
		}
	}
	return sum / max(1, n)
}

// Believe is the rule of age. Each request that a report contains is still there after its age a with the
// probability exp(-a/s), where s is the time that a request stays; others have come in their place
// as they come to the peers. (It is the exact law of a server with slots for all, M/M/∞; with work
// waiting a request stays longer, by the load per slot.) This host's own requests since then are
// known and come in addition.
func Believe(o Option, p Peers) Belief {
	slots := float64(max(1, o.Slots))
	typical := p.Load * slots * (1 - p.OwnShare)
	if !o.News.Known {
		return Belief{Mean: typical + float64(o.News.SentSince), Variance: typical}
	}
	service := serviceTime(o, p)
	stays := time.Duration(float64(service) * max(1, o.News.Load/slots))
	kept := fade(o.News.Age, stays)
	return Belief{
		Mean:     o.News.Load*kept + typical*(1-kept) + float64(o.News.SentSince),
		Variance: o.News.Load*kept*(1-kept) + typical*(1-kept),
	}
}

// Draw returns a value with the mean and the variance of a belief, at least zero.
func Draw(b Belief) float64 {
	return max(0, b.Mean+math.Sqrt(b.Variance)*rand.NormFloat64())
}
