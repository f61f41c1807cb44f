package driver

import (
	"context"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

const (
	// queueSize is the number of messages that wait for one control host.
	queueSize   = 256
	redialPause = 50 * time.Millisecond
	sendLimit   = 2 * time.Second
	// dialLimit bounds the opening of a connection to a control host, three round trips between
	// regions. One that is starting up answers the next try; votes must not wait behind this one.
	dialLimit = 120 * time.Millisecond
)

// sender passes messages to one control host; what does not fit its queue is lost.
type sender struct {
	addr  string
	queue chan *wire.QuorumMessage
}

func (d *Driver) sendTo(ctx context.Context, m *wire.QuorumMessage) {
	d.Meter.AddCounter("log.sent."+strings.ToLower(m.Kind.String()), 1)
	addr := d.addr(m.To)
	if addr == "" {
		d.Meter.AddCounter("log.strangers", 1)
		return
	}
	s := d.senders[m.To]
	if s == nil || s.addr != addr {
		s = &sender{addr: addr, queue: make(chan *wire.QuorumMessage, queueSize)}
		d.senders[m.To] = s
		d.wg.Add(1)
		go d.runSender(ctx, s)
	}
	select {
	case s.queue <- m:
	default:
		d.Meter.AddCounter("log.dropped", 1)
	}
}

// addr returns where a control host listens: by the membership, or by what it said itself. A
// host that joins knows no membership yet, and must answer the leader all the same.
func (d *Driver) addr(id string) string {
	if addr := addrOf(d.core.Members(), id); addr != "" {
		return addr
	}
	if said := d.said.Load(); said.GetId() == id {
		return said.GetAddr()
	}
	return ""
}

// note keeps what a leader says of its address.
func (d *Driver) note(m *wire.QuorumMessage) {
	said := d.said.Load()
	if m.Addr == "" || (said.GetId() == m.From && said.GetAddr() == m.Addr) {
		return
	}
	d.said.Store(&wire.Member{Id: m.From, Addr: m.Addr})
}

func (d *Driver) runSender(ctx context.Context, s *sender) {
	defer d.wg.Done()
	var c *link.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			c = d.deliver(ctx, s, c, m)
		}
	}
}

// deliver sends a message and returns the stream for the next one, or nil. The session of a
// kept stream may have been closed by other users of it; then a new one carries the message.
func (d *Driver) deliver(ctx context.Context, s *sender, c *link.Conn, m *wire.QuorumMessage) *link.Conn {
	if c != nil && put(c, m) {
		return c
	}
	dial, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	c, err := d.Dialer.Open(dial, s.addr, Service)
	if err != nil {
		clock.Sleep(ctx, redialPause)
		return nil
	}
	if !put(c, m) {
		d.Meter.AddCounter("log.unsent", 1)
		return nil
	}
	return c
}

// put sends a message, or closes the stream.
func put(c *link.Conn, m *wire.QuorumMessage) bool {
	err := c.SetDeadline(time.Now().Add(sendLimit))
	if err == nil {
		err = c.Send(m)
	}
	if err != nil {
		c.Close()
	}
	return err == nil
}

// Serve takes messages of another control host from a stream; it is a link.Handler.
func (d *Driver) Serve(ctx context.Context, _ string, c *link.Conn) {
	for ctx.Err() == nil {
		m := &wire.QuorumMessage{}
		if c.Recv(m) != nil {
			return
		}
		if m.To != d.ID {
			d.Meter.AddCounter("log.strangers", 1)
			continue
		}
		d.note(m)
		d.post(request{event: quorum.Received{Message: m}})
	}
}
