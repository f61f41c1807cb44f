package queue

import "time"

// CurrentServiceTime returns the mean time that a request occupies a slot. If every running request has
// occupied its slot for longer, it returns the shortest of these times: the backend server has become slow
// or hangs, which the mean only shows once requests end.
func (q *Queue) CurrentServiceTime(now time.Time) time.Duration {
	return max(q.meanService, q.youngestAge(now))
}

// CallerServiceTime is CurrentServiceTime for the requests of a caller account. If they are not known it
// returns that of all requests.
func (q *Queue) CallerServiceTime(now time.Time, caller string) time.Duration {
	return max(q.serviceTime(caller), q.youngestAge(now))
}

// youngestAge returns how long the request that got its slot last has been running, zero if none is.
func (q *Queue) youngestAge(now time.Time) time.Duration {
	youngest, found := time.Duration(0), false
	for _, r := range q.running {
		if age := now.Sub(r.startedAt); !found || age < youngest {
			youngest, found = age, true
		}
	}
	return youngest
}
