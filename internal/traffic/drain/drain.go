// Package drain holds the rules by which a host that shuts down ends the work of its callers. They are the
// same for all protocols.
//
// A connection is closed only once nothing is owed on it: no request runs, each request that was read has
// been answered, and each answer has been sent. A request is started only if its own timeout ends it in
// time; otherwise it is refused at once as not run. A running request is ended by its own timeout or by its
// caller; one that still runs at the limit for answers is answered as possibly run.
package drain

import "time"

const (
	// answerMargin is the part of a drain that is reserved for sending the last answers.
	answerMargin = 300 * time.Millisecond
	// answerMarginDivisor bounds answerMargin in short drains.
	answerMarginDivisor = 10
	// startupPeriod is how long a new connection counts as in use: its first messages are on their way.
	startupPeriod = 250 * time.Millisecond
)

// Schedule is the course of a drain. The zero value means that the host does not drain.
type Schedule struct {
	// Started is when the drain began.
	Started time.Time
	// Idle is when idle connections begin to be closed. Until then the load balancer still sends callers.
	Idle time.Time
	// Transactions is when connections with an open transaction are closed between two requests.
	Transactions time.Time
	// Answers is when requests that still run are answered as possibly run, and further ones are refused.
	// It is zero if the drain has no limit.
	Answers time.Time
}

// New returns the schedule of a drain that begins now. Idle connections are closed after idle, or half of the
// drain if that is less, those with an open transaction after transactions. The drain ends at end; the zero
// time means that it has no limit.
func New(now time.Time, idle, transactions time.Duration, end time.Time) Schedule {
	s := Schedule{Started: now, Idle: now.Add(idle), Transactions: now.Add(max(idle, transactions))}
	if !end.IsZero() {
		length := end.Sub(now)
		s.Answers = end.Add(-min(answerMargin, length/answerMarginDivisor))
		s.Idle, s.Transactions = earlier(s.Idle, now.Add(length/2)), earlier(s.Transactions, s.Answers)
	}
	return s
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Active reports whether the host drains.
func (s Schedule) Active() bool { return !s.Started.IsZero() }

// ClosesIdle reports whether idle connections are closed.
func (s Schedule) ClosesIdle(now time.Time) bool { return s.Active() && !now.Before(s.Idle) }

// StartsRequest reports whether a request with a timeout is started. While callers still arrive, every
// request is, and so is every request of an open transaction while that may go on; after that, only one
// that ends in time even if it takes its whole timeout.
func (s Schedule) StartsRequest(now time.Time, timeout time.Duration, inTransaction bool) bool {
	if !s.ClosesIdle(now) || s.Answers.IsZero() || inTransaction && now.Before(s.Transactions) {
		return true
	}
	return !now.Add(timeout).After(s.Answers)
}

// StartsTransaction reports whether a transaction is opened. Later ones would not get the time that open
// transactions have.
func (s Schedule) StartsTransaction(now time.Time) bool { return !s.ClosesIdle(now) }

// Overdue reports whether requests that still run are answered as possibly run.
func (s Schedule) Overdue(now time.Time) bool {
	return s.Active() && !s.Answers.IsZero() && !now.Before(s.Answers)
}

// Conn is the state of a caller's connection.
type Conn struct {
	// Opened is when the connection was accepted.
	Opened time.Time
	// Used is set once the connection has carried a request.
	Used bool
	// Running is set while a request has not been answered.
	Running bool
	// Received is the number of bytes of further messages, complete or not, that have arrived.
	Received int
	// Unsent is the number of bytes of answers that may not reach the caller if the connection is closed.
	Unsent int
	// InTransaction is set while a transaction is open.
	InTransaction bool
}

// Idle reports whether nothing is owed on the connection and no transaction is open.
func (c Conn) Idle(now time.Time) bool { return !c.owes(now) && !c.InTransaction }

// owes reports whether the connection cannot be closed without cutting a request or an answer.
func (c Conn) owes(now time.Time) bool {
	starting := !c.Used && now.Sub(c.Opened) < startupPeriod
	return c.Running || c.Received > 0 || c.Unsent > 0 || starting
}

// Closes reports whether the host closes a connection.
func (s Schedule) Closes(now time.Time, c Conn) bool {
	if !s.ClosesIdle(now) || c.owes(now) {
		return false
	}
	return !c.InTransaction || !now.Before(s.Transactions)
}
