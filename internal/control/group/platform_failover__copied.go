package group

import "time"

const (
	// endedDelay is how long after its withdrawal an instance that has ended is taken to run on, unless its
	// address refuses connections: it may receive writes, and so have them acknowledged. No other instance
	// uses its address sooner.
	endedDelay = 2 * time.Second
	// copyCheckInterval is the minimum interval between two queries of an instance that check for copies.
	copyCheckInterval = 200 * time.Millisecond
)

// RecordCopied records that enough replicas hold everything that an ended instance may have received.
type RecordCopied struct{ Instance EndedInstance }

func (RecordCopied) action() {}

// endedLog is the log of an instance that has ended, while it is checked for copies.
type endedLog struct {
	// seen is when the instance was first seen to have ended.
	seen time.Time
	// end is a position that a primary has reported when the instance could receive nothing more: no
	// acknowledged write in its log is after it. It is nil while there is none.
	end *LogPosition
	// recorded is when the log was last proposed to be recorded as copied.
	recorded time.Time
}

// finalAt returns a time from which the instance receives nothing more, and whether it has passed.
func (l endedLog) finalAt(now time.Time, e EndedInstance) (time.Time, bool) {
	if e.StoppedAt.After(l.seen) {
		return e.StoppedAt, true
	}
	at := l.seen.Add(endedDelay)
	return at, !now.Before(at)
}

// checkCopied finds out whether the logs of ended instances are copied: whether RequiredCopies replicas hold
// everything that a primary had when the instance could receive nothing more. Each acknowledged write is then
// in the log of a replica whose answer a choice waits for.
func (f *PlatformFailover) checkCopied(now time.Time, v PlatformView) []Action {
	if v.RequiredCopies == 0 || len(v.Ended) == 0 {
		f.ended = nil
		return nil
	}
	var actions []Action
	logs, final := map[string]endedLog{}, false
	for _, e := range v.Ended {
		log, known := f.ended[e.Name]
		if !known {
			log.seen = now
		}
		at, passed := log.finalAt(now, e)
		switch {
		case !passed:
			actions = f.queryStatus(now, e.Name, actions)
		case log.end == nil:
			log.end = v.primaryEnd(at)
		}
		if log.end != nil && v.copies(*log.end) >= v.RequiredCopies && now.Sub(log.recorded) >= f.Options.ProposalInterval {
			log.recorded = now
			actions = append(actions, RecordCopied{e})
		}
		final = final || passed
		logs[e.Name] = log
	}
	f.ended = logs
	if final {
		actions = f.queryCopies(now, v, actions)
	}
	return actions
}

// queryCopies queries the ends of the logs of all instances.
func (f *PlatformFailover) queryCopies(now time.Time, v PlatformView, actions []Action) []Action {
	for _, c := range v.Candidates {
		if now.Sub(f.lastQueried[c.Name]) >= copyCheckInterval {
			actions = f.queryStatus(now, c.Name, actions)
		}
	}
	return actions
}

// primaryEnd returns the end of the log of the open term's primary, as reported to a query at or after a
// time, or nil.
func (v PlatformView) primaryEnd(since time.Time) *LogPosition {
	status := v.Statuses[v.State.Primary]
	if !status.Primary || status.PrimaryTerm != v.State.Reign || status.QueriedAt.Before(since) {
		return nil
	}
	return &status.Received
}

// copies returns how many replicas have received the log up to a position.
func (v PlatformView) copies(end LogPosition) int {
	n := 0
	for _, c := range v.Candidates {
		if c.Name != v.State.Primary && !v.Statuses[c.Name].Received.Before(end) {
			n++
		}
	}
	return n
}
