package queue

import (
	"slices"
	"time"
)

// classQueue is the waiting tickets of one class, one list for each caller; callers take turns.
type classQueue struct {
	callers  []string
	byCaller map[string][]Ticket
	count    int
}

func (l *classQueue) push(t Ticket) {
	if l.byCaller == nil {
		l.byCaller = map[string][]Ticket{}
	}
	if len(l.byCaller[t.Caller]) == 0 {
		l.callers = append(l.callers, t.Caller)
	}
	l.byCaller[t.Caller] = append(l.byCaller[t.Caller], t)
	l.count++
}

// pop takes the first ticket of the caller whose turn it is.
func (l *classQueue) pop() Ticket {
	caller := l.callers[0]
	l.callers = l.callers[1:]
	list := l.byCaller[caller]
	t := list[0]
	l.count--
	if len(list) == 1 {
		delete(l.byCaller, caller)
		return t
	}
	l.byCaller[caller] = list[1:]
	l.callers = append(l.callers, caller)
	return t
}

func (l *classQueue) remove(id uint64) {
	l.removeIf(func(t Ticket) bool { return t.ID == id })
}

func (l *classQueue) removeExpired(now time.Time) []Ticket {
	return l.removeIf(func(t Ticket) bool { return !now.Before(t.Deadline) })
}

// removeIf takes out all tickets that match, in the order of callers.
func (l *classQueue) removeIf(match func(Ticket) bool) []Ticket {
	var out []Ticket
	for _, caller := range slices.Clone(l.callers) {
		var rest []Ticket
		for _, t := range l.byCaller[caller] {
			if match(t) {
				out = append(out, t)
			} else {
				rest = append(rest, t)
			}
		}
		l.byCaller[caller] = rest
		if len(rest) == 0 {
			delete(l.byCaller, caller)
			l.callers = slices.DeleteFunc(l.callers, func(c string) bool { return c == caller })
		}
	}
	l.count -= len(out)
	return out
}
