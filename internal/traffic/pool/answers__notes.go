package pool

import (
	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// Log messages about answers that nobody waits for.
const (
	// EventWrongAnswer is an answer that is not, or may not be, the one to the request for which it came.
	EventWrongAnswer = "answer may belong to another request"
	// EventSurplus is a connection on which data arrived while no request was outstanding.
	EventSurplus = "connection received an answer to no request"
)

// wrongAnswerLines returns the rate limit of a pool's lines about such answers.
func wrongAnswerLines() *logs.RateLimiter { return &logs.RateLimiter{PerSecond: 1, Burst: 10} }

// noteAnswer counts and logs an answer that is not known to be genuine.
func (c *Conn) noteAnswer(f Finding, req flow.Request, a flow.Answer) {
	if f == Genuine || f == Uncertain && a.Code == flow.OK {
		return
	}
	c.pool.Meter.AddCounter("answers."+f.String(), 1)
	fields := log.Fields{"request": req.ID, "finding": f.String(), "code": a.Code.String()}
	if id, ago, ok := c.answers.origin(c.pool.Now(), a); ok {
		fields["belongs"], fields["before"] = id, ago.String()
	}
	c.pool.logAnswer(EventWrongAnswer, fields)
}

// noteUnreadable counts and logs an answer that no instance sends.
func (c *Conn) noteUnreadable(req flow.Request, err error) {
	c.pool.Meter.AddCounter("answers."+Unfit.String(), 1)
	c.pool.logAnswer(EventWrongAnswer, log.Fields{"request": req.ID, "finding": Unfit.String(), "error": err.Error()})
}

// noteSurplus counts and logs data that arrived while no request was outstanding.
func (c *Conn) noteSurplus() {
	c.pool.Meter.AddCounter("connections.surplus", 1)
	fields := log.Fields{}
	if id, ago, ok := c.answers.latest(c.pool.Now()); ok {
		fields["belongs"], fields["before"] = id, ago.String()
	}
	c.pool.logAnswer(EventSurplus, fields)
}

// logAnswer writes a line about the instance unless there are too many.
func (p *Pool) logAnswer(event string, fields log.Fields) {
	p.linesOnce.Do(func() { p.lines = wrongAnswerLines() })
	skipped, ok := p.lines.Allow(p.Now())
	if !ok {
		p.Meter.AddCounter("log.skipped", 1)
		return
	}
	fields["group"], fields["instance"] = p.Group, p.Instance
	if skipped > 0 {
		fields["skipped"] = skipped
	}
	p.Log.WithFields(fields).Warn(event)
}
