package even

import "time"

// Why an instance gets fewer requests than its peers.
const (
	// AvoidedFailing is an instance that fails a part of this host's requests.
	AvoidedFailing = "failing"
	// AvoidedSlow is an instance that takes much longer than its peers for the same kind of request.
	AvoidedSlow = "slow"
)

// Avoidance tells why an instance gets fewer requests, with the evidence.
type Avoidance struct {
	// Reason is empty if it gets its share.
	Reason string
	// FailureShare is the share of this host's latest requests that it failed.
	FailureShare float64
	// Service is its service time as far as it still counts, and Typical that of its peers.
	Service, Typical time.Duration
	// Age is how old the report about its service time is.
	Age time.Duration
}

// Avoidances returns for each option why Placer.Pick gives it fewer requests. Those that are down, drain or
// lag are no options.
func Avoidances(options []Option) []Avoidance {
	peers := peersOf(options)
	list := make([]Avoidance, len(options))
	for i, o := range options {
		a := Avoidance{FailureShare: o.News.FailureShare, Service: kindTime(o, peers), Typical: known(peers.KindService), Age: o.News.KindAge}
		switch {
		case a.FailureShare >= minFailureShare:
			a.Reason = AvoidedFailing
		case a.Service > slowFactor*a.Typical:
			a.Reason = AvoidedSlow
		}
		list[i] = a
	}
	return list
}
