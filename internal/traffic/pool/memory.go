package pool

import (
	"net"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

const (
	// maxKept is the number of bytes that an idle connection may keep: its buffer, and the session values and
	// statements that are set and prepared on it.
	maxKept = 256 << 10
	// largeAnswer is the number of bytes of an answer from which it is counted.
	largeAnswer = 64 << 10
	// answerCopies is how many times an answer is held at once: as read, and encoded.
	answerCopies = 2
)

// forget drops what the connection keeps if that is much. The next request then resets the connection first.
func (c *Conn) forget() {
	if cap(c.buf) > maxKept {
		c.buf = nil
	}
	kept := c.preparedBytes
	c.values.Each(func(name, value string) { kept += len(name) + len(value) })
	if kept > maxKept {
		c.values, c.preparedNames, c.preparedBytes, c.stale = flow.Values{}, nil, 0, true
	}
}

// counted counts the bytes of the answer that is being read, if it is large.
type counted struct {
	net.Conn
	claim *bounds.Claim
	n     int64
}

// Read implements io.Reader.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.n += int64(n); c.n > largeAnswer {
		c.claim.Force(bounds.Received, answerCopies*c.n)
	}
	return n, err
}

// reset starts the count of another answer.
func (c *counted) reset() {
	if c.n > largeAnswer {
		c.claim.Force(bounds.Received, 0)
	}
	c.n = 0
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.claim.Close()
	return c.Conn.Close()
}

// startAnswer starts the count of another answer.
func (c *Conn) startAnswer() {
	if counted, ok := c.raw.(*counted); ok {
		counted.reset()
	}
}

// meter has the answers on a new connection counted.
func (p *Pool) meter(raw net.Conn) *counted {
	return &counted{Conn: raw, claim: p.Memory.Open(func() {})}
}

// lacksMemory reports whether a request is not started because large answers have used up the host's memory.
func (c *Conn) lacksMemory(op flow.Op) bool {
	if op == flow.RollbackTx || !c.pool.Memory.Over() {
		return false
	}
	c.pool.Meter.AddCounter("refused.answers", 1)
	return true
}

// network returns the network connection itself.
func (c *Conn) network() net.Conn {
	if counted, ok := c.raw.(*counted); ok {
		return counted.Conn
	}
	return c.raw
}
