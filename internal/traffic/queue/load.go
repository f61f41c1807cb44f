package queue

import "time"

// CurrentServiceTime returns the mean time that a request occupies a slot, with the running requests counted
// as far as they have come: a backend server that has become slow or hangs shows it before any request
// ends. It is zero before the first request.
func (q *Queue) CurrentServiceTime(now time.Time) time.Duration {
	return q.meanService + q.unfinished(now)
}

// CallerServiceTime is CurrentServiceTime with the mean of the requests of a caller account. If that is not
// known it returns that of all requests.
func (q *Queue) CallerServiceTime(now time.Time, caller string) time.Duration {
	return q.serviceTime(caller) + q.unfinished(now)
}

// unfinished returns what the running requests add to a mean over the last smoothingDivisor requests: the
// time that they have taken counts, and their end does not yet. (It is the maximum likelihood estimate
// of the mean of exponential times, some of which are censored.)
func (q *Queue) unfinished(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, r := range q.running {
		sum += now.Sub(r.startedAt)
	}
	return sum / smoothingDivisor
}
