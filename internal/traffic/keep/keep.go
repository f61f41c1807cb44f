// Package keep decides for which client accounts a host keeps, opens and gives up connections to an
// instance. A connection belongs to the account that it was opened for, an instance accepts fewer than there
// are accounts, and opening one occupies a slot of the instance.
package keep

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which a use counts half. Rare accounts of a busy instance come back every few
	// seconds; the demand of the last minute must not outweigh the present one.
	halfLife = 10 * time.Second
	// urgentWeight is how much more a use by a request of the first rank counts: the time to open a connection
	// is a large part of its response-time goal.
	urgentWeight = 2
	// OpeningCost is about how long the opening of a connection takes.
	OpeningCost = 12 * time.Millisecond
	// openingSlotsDivisor divides the slots of an instance; the result is the number of connections that are
	// opened at the same time. As a statement takes longer than an opening, that many are enough even if each
	// statement needs one, and the other slots remain for statements.
	openingSlotsDivisor = 2
	// minBusy is the number of connections in use from which an account may wait for one of them instead of
	// having another account's connection closed.
	minBusy = 2
	// minDemand is the decayed number of requests from which an account gets a connection ahead of its next
	// request.
	minDemand = 2
	// forgottenBelow is the decayed number of requests below which an account is forgotten.
	forgottenBelow = 0.01
)

// Usage is a number of uses in which each counts half after halfLife. The zero value has none.
type Usage struct {
	count float64
	at    time.Time
}

// At returns the number of uses at a time.
func (u Usage) At(now time.Time) float64 {
	return u.count * math.Exp2(-float64(now.Sub(u.at))/float64(halfLife))
}

// With returns the usage after one more use by a request of a rank.
func (u Usage) With(now time.Time, rank int) Usage {
	weight := 1.0
	if rank <= 0 {
		weight = urgentWeight
	}
	return Usage{count: u.At(now) + weight, at: now}
}

// Waiting is a request that waits for a connection.
type Waiting struct {
	Account string
	Since   time.Time
}

// State is the state of a host's connections to an instance.
type State struct {
	// Waiting are the requests for which no connection is idle, in the order in which they are served.
	Waiting []Waiting
	// Idle are the usages of the idle connections. All are of accounts for which nothing waits.
	Idle []Usage
	// Busy and Opening are the numbers of connections by account that are in use and being opened.
	Busy, Opening map[string]int
	// Open is the number of connections that are idle or in use.
	Open int
	// Share is the number of connections that the host may keep, and Max the number up to which it may open
	// more while none is idle.
	Share, Max int
	// Slots is the number of requests that the instance runs at once, and Latency the mean time to an answer.
	Slots   int
	Latency time.Duration
}

// Decision is what to do next.
type Decision struct {
	// Open is set if a connection for Account is to be opened.
	Open    bool
	Account string
	// Close is the index of the idle connection to close before that, or -1.
	Close int
}

// Next returns the next connection to open for the requests that wait. The caller applies the decision to the
// state and asks again until none is to be opened.
func Next(now time.Time, s State) Decision {
	none := Decision{Close: -1}
	opening := 0
	for _, n := range s.Opening {
		opening += n
	}
	if opening >= MaxOpening(s.Slots) {
		return none
	}
	waiting := map[string]int{}
	for _, w := range s.Waiting {
		waiting[w.Account]++
		if waiting[w.Account] <= s.Opening[w.Account] {
			continue
		}
		switch {
		case s.Open+opening < s.Share:
			return Decision{Open: true, Account: w.Account, Close: -1}
		case s.returnsSoon(now, w, waiting[w.Account]):
			continue
		case len(s.Idle) > 0:
			return Decision{Open: true, Account: w.Account, Close: Least(now, s.Idle)}
		case s.Open+opening < s.Max:
			return Decision{Open: true, Account: w.Account, Close: -1}
		}
		return none
	}
	return none
}

// MaxOpening returns how many connections a host opens at the same time to an instance with a number of slots.
func MaxOpening(slots int) int { return max(1, slots/openingSlotsDivisor) }

// returnsSoon reports whether the request is likely to get a connection in use of its account before another
// one would be open. It is the n-th that waits for the account.
func (s State) returnsSoon(now time.Time, w Waiting, n int) bool {
	busy := s.Busy[w.Account]
	if busy < minBusy || now.Sub(w.Since) >= OpeningCost {
		return false
	}
	return s.Latency*time.Duration(n)/time.Duration(busy) <= OpeningCost
}

// Least returns the index of the usage that is worth least, or -1 if there is none. Of equal ones it is the
// first.
func Least(now time.Time, list []Usage) int {
	least := -1
	for i, u := range list {
		if least < 0 || u.At(now) < list[least].At(now) {
			least = i
		}
	}
	return least
}

// Demand is the observed demand of accounts at an instance. The zero value has none.
type Demand struct {
	accounts map[string]Usage
}

// Record records a request of an account.
func (d *Demand) Record(now time.Time, account string, rank int) {
	if d.accounts == nil {
		d.accounts = map[string]Usage{}
	}
	d.accounts[account] = d.accounts[account].With(now, rank)
}

// Foremost returns the account with the highest demand that has no connection, for which one is to be opened
// ahead of its next request. It forgets accounts without demand.
func (d *Demand) Foremost(now time.Time, connected func(account string) bool) (string, bool) {
	best, most := "", 0.0
	for account, u := range d.accounts {
		n := u.At(now)
		switch {
		case n < forgottenBelow:
			delete(d.accounts, account)
		case n >= minDemand && !connected(account) && (n > most || n == most && account < best):
			best, most = account, n
		}
	}
	return best, most > 0
}
