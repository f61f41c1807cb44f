// Package even spreads requests over the instances of a group by what their lenders report about
// load. What a host knows is old, and many hosts know the same, so that View counts for less what is
// older, and Placer draws from what the load may be by now.
package even

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Report is the load of an instance as one of its lenders sees it.
type Report struct {
	// Lender is the address of the reporting host.
	Lender string
	// Version orders the reports of one lender about an instance.
	Version uint64
	// Running and Waiting are the numbers of requests that the lender has sent and that wait for a slot.
	Running, Waiting int
	// Service is the mean time that a request occupies a slot; zero if it is not known.
	Service time.Duration
	// Kind names the kind of request that KindService, the mean time of its requests, is about.
	Kind        string
	KindService time.Duration
}

// Why a report was not used.
const (
	// DroppedOld is a report that is older than one already known.
	DroppedOld = "old"
	// DroppedImpossible is a report that no lender can have made.
	DroppedImpossible = "impossible"
	// DroppedForeign is a report of a host that is no lender of the instance, or about an instance that
	// this host doesn't know.
	DroppedForeign = "foreign"
)

const (
	// versionMemory is how long a lender's highest version is held against lower ones; a lender that
	// has restarted counts from the start.
	versionMemory = time.Second
	// maxReported is the largest plausible number of requests at an instance.
	maxReported = 1 << 16
	// maxService is the longest plausible mean service time.
	maxService = time.Minute
	// maxKinds is the number of kinds of request whose service times are kept.
	maxKinds = 64
	// failureMemory is the time, and answerMemory the number of answers, in which the weight of past answers
	// falls to 1/e. An instance that fails requests gets one again after a few times failureMemory.
	failureMemory = 1500 * time.Millisecond
	answerMemory  = 10
)

// View is what one host knows of the load of one instance: the newest report, the host's own requests,
// and how many of them failed. The zero View knows nothing. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	report  Report
	takenAt time.Time
	// pending are the times at which this host sent the requests that are not answered yet.
	pending []time.Time
	// kinds are the reported service times by kind of request.
	kinds map[string]kindService
	// answers and failures are the weights of past answers and of failed ones, at judgedAt.
	answers, failures float64
	judgedAt          time.Time
}

// kindService is the service time of a kind of request as reported at a time.
type kindService struct {
	mean    time.Duration
	takenAt time.Time
}

// plausible reports whether a lender can have made the report.
func (r Report) plausible() bool {
	return r.Running >= 0 && r.Waiting >= 0 && r.Running <= maxReported && r.Waiting <= maxReported &&
		r.Service >= 0 && r.Service <= maxService && r.KindService >= 0 && r.KindService <= maxService
}

// Merge adds a report that was made at taken. It returns "" if the report is used, and otherwise why
// not. A report of another lender replaces the known one if it is newer.
func (v *View) Merge(taken time.Time, r Report) (dropped string) {
	if !r.plausible() {
		return DroppedImpossible
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := !v.takenAt.IsZero()
	if known && r.Lender == v.report.Lender && r.Version <= v.report.Version && taken.Sub(v.takenAt) < versionMemory {
		return DroppedOld
	}
	if known && taken.Before(v.takenAt) {
		return DroppedOld
	}
	if r.Service == 0 {
		r.Service = v.report.Service
	}
	v.report, v.takenAt = r, taken
	if r.KindService > 0 {
		if v.kinds == nil || len(v.kinds) >= maxKinds {
			v.kinds = map[string]kindService{}
		}
		v.kinds[r.Kind] = kindService{r.KindService, taken}
	}
	return ""
}

// Sent counts a request that is sent to the instance. Done must be called with the same time after its
// answer, or when there will be none.
func (v *View) Sent(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending = append(v.pending, now)
}

// Done ends a request that Sent has counted.
func (v *View) Done(sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i := slices.Index(v.pending, sent); i >= 0 {
		v.pending = slices.Delete(v.pending, i, i+1)
	}
}

// Judge counts an answer of the instance, or a failure that another instance may not have.
func (v *View) Judge(now time.Time, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fade := fade(now.Sub(v.judgedAt), failureMemory) * (1 - 1.0/answerMemory)
	v.answers, v.failures, v.judgedAt = v.answers*fade+1, v.failures*fade, now
	if failed {
		v.failures++
	}
}

// fade returns the share of what was known that still counts after age.
func fade(age, memory time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / memory.Seconds())
}

// News is what a View holds at a moment.
type News struct {
	// Known is set if there is a report.
	Known bool
	// Age is how old the report is.
	Age time.Duration
	// Load is the number of requests, running or waiting, in the report.
	Load float64
	// Service is the reported mean service time; zero if it is not known.
	Service time.Duration
	// KindService is that of the requests of one kind, and KindAge the age of that report.
	KindService, KindAge time.Duration
	// SentSince is the number of this host's unanswered requests that the report can't contain, and
	// Pending that of all its unanswered requests.
	SentSince, Pending int
	// FailureShare is the share of this host's latest requests that the instance failed. A few failures
	// count for less than as many of many requests.
	FailureShare float64
}

// News returns what is known at now for requests of a kind.
func (v *View) News(now time.Time, kind string) News {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := News{Pending: len(v.pending), Known: !v.takenAt.IsZero(), Service: v.report.Service, Load: float64(v.report.Running + v.report.Waiting)}
	if n.Known {
		n.Age = now.Sub(v.takenAt)
	}
	if k, ok := v.kinds[kind]; ok {
		n.KindService, n.KindAge = k.mean, now.Sub(k.takenAt)
	}
	for _, at := range v.pending {
		if !n.Known || at.After(v.takenAt) {
			n.SentSince++
		}
	}
	fade := fade(now.Sub(v.judgedAt), failureMemory)
	n.FailureShare = v.failures * fade / (v.answers*fade + 1)
	return n
}
