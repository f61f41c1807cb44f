package queue

import (
	"slices"
	"time"
)

// line is the waiting tickets of one class, one list for each caller; callers take turns.
type line struct {
	callers []string
	lists   map[string][]Ticket
	count   int
}

func (l *line) push(t Ticket) {
	if l.lists == nil {
		l.lists = map[string][]Ticket{}
	}
	if len(l.lists[t.Caller]) == 0 {
		l.callers = append(l.callers, t.Caller)
	}
	l.lists[t.Caller] = append(l.lists[t.Caller], t)
	l.count++
}

// pop takes the first ticket of the caller whose turn it is.
func (l *line) pop() Ticket {
	caller := l.callers[0]
	l.callers = l.callers[1:]
	list := l.lists[caller]
	t := list[0]
	l.count--
	if len(list) == 1 {
		delete(l.lists, caller)
		return t
	}
	l.lists[caller] = list[1:]
	l.callers = append(l.callers, caller)
	return t
}

func (l *line) remove(id uint64) {
	l.take(func(t Ticket) bool { return t.ID == id })
}

func (l *line) expired(now time.Time) []Ticket {
	return l.take(func(t Ticket) bool { return !now.Before(t.Deadline) })
}

// take takes out all tickets that match, in the order of callers.
func (l *line) take(match func(Ticket) bool) []Ticket {
	var out []Ticket
	for _, caller := range slices.Clone(l.callers) {
		var rest []Ticket
		for _, t := range l.lists[caller] {
			if match(t) {
				out = append(out, t)
			} else {
				rest = append(rest, t)
			}
		}
		l.lists[caller] = rest
		if len(rest) == 0 {
			delete(l.lists, caller)
			l.callers = slices.DeleteFunc(l.callers, func(c string) bool { return c == caller })
		}
	}
	l.count -= len(out)
	return out
}
