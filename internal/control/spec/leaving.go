package spec

import "time"

// inFlightAllowance is the part of the bound for requests that were sent before the deadline and have
// not reached the instance yet: a retransmission between regions.
const inFlightAllowance = 500 * time.Millisecond

// LeaveBound is how long after the announcement that it leaves an instance may get new requests.
type LeaveBound time.Duration

// Deadline returns the time from which nothing new is sent to an instance that announced at since or
// later that it leaves. If since is the zero time, which means unknown, the deadline has passed.
func (b LeaveBound) Deadline(since time.Time) time.Time {
	bound := time.Duration(b)
	return since.Add(bound - min(inFlightAllowance, bound/2))
}
