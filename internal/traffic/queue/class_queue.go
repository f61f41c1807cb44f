package queue

import (
	"slices"
)

// classQueue holds the waiting tickets of one class: a FIFO list for each caller, served round
// robin. In a queue that shares its slots between accounts, the callers are the accounts.
type classQueue struct {
	// callers are the callers with waiting tickets; the first one is served next.
	callers  []string
	byCaller map[string][]Ticket
	// count is the number of tickets of all callers.
	count int
}

func (q *classQueue) push(t Ticket) {
	if q.byCaller == nil {
		q.byCaller = map[string][]Ticket{}
	}
	if len(q.byCaller[t.turn]) == 0 {
		q.callers = append(q.callers, t.turn)
	}
	q.byCaller[t.turn] = append(q.byCaller[t.turn], t)
	q.count++
}

// pop removes and returns the first ticket of the next caller. The queue must not be empty.
func (q *classQueue) pop() Ticket { return q.popOf(q.callers[0]) }

// popOf removes and returns the first ticket of a caller, which must have one. The caller's next turn
// comes last.
func (q *classQueue) popOf(caller string) Ticket {
	i := slices.Index(q.callers, caller)
	q.callers = slices.Delete(q.callers, i, i+1)
	list := q.byCaller[caller]
	t := list[0]
	q.count--
	if len(list) == 1 {
		delete(q.byCaller, caller)
		return t
	}
	q.byCaller[caller] = list[1:]
	q.callers = append(q.callers, caller)
	return t
}

// oldest returns the ticket that has waited longest. The queue must not be empty.
func (q *classQueue) oldest() Ticket {
	var oldest Ticket
	for i, caller := range q.callers {
		if t := q.byCaller[caller][0]; i == 0 || t.arrivedAt.Before(oldest.arrivedAt) {
			oldest = t
		}
	}
	return oldest
}

// popOldest removes and returns the ticket that has waited longest. The queue must not be empty.
func (q *classQueue) popOldest() Ticket { return q.popOf(q.oldest().turn) }

func (q *classQueue) remove(id uint64) {
	q.removeIf(func(t Ticket) bool { return t.ID == id })
}

// removeIf removes all tickets that match and returns them in the order of callers.
func (q *classQueue) removeIf(match func(Ticket) bool) []Ticket {
	if !slices.ContainsFunc(q.callers, func(caller string) bool { return slices.ContainsFunc(q.byCaller[caller], match) }) {
		return nil
	}
	var out []Ticket
	for _, caller := range slices.Clone(q.callers) {
		if !slices.ContainsFunc(q.byCaller[caller], match) {
			continue
		}
		var rest []Ticket
		for _, t := range q.byCaller[caller] {
			if match(t) {
				out = append(out, t)
			} else {
				rest = append(rest, t)
			}
		}
		q.byCaller[caller] = rest
		if len(rest) == 0 {
			delete(q.byCaller, caller)
			q.callers = slices.DeleteFunc(q.callers, func(c string) bool { return c == caller })
		}
	}
	q.count -= len(out)
	return out
}
