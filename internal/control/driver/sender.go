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
	// sendQueueSize is the number of messages that wait for one control host.
	sendQueueSize = 256
	redialDelay   = 50 * time.Millisecond
	sendTimeout   = 2 * time.Second
	// dialTimeout bounds the opening of a connection to a control host, three round trips between
	// regions. One that is starting up answers the next try; votes must not wait behind this one.
	dialTimeout = 120 * time.Millisecond
)

// sender passes messages to one control host; what does not fit its queue is lost.
type sender struct {
	addr  string
	queue chan *wire.Message
}

func (d *Driver) queueMessage(ctx context.Context, m *wire.Message) {
	d.Meter.Add("log.sent."+strings.ToLower(m.Kind.String()), 1)
	addr := d.peerAddr(m.To)
	if addr == "" {
		d.Meter.Add("log.strangers", 1)
		return
	}
	s := d.senders[m.To]
	if s == nil || s.addr != addr {
		s = &sender{addr: addr, queue: make(chan *wire.Message, sendQueueSize)}
		d.senders[m.To] = s
		d.wg.Add(1)
		go d.runSender(ctx, s)
	}
	select {
	case s.queue <- m:
	default:
		d.Meter.Add("log.dropped", 1)
	}
}

// peerAddr returns where a control host listens: by the membership, or by what it said itself. A
// host that joins knows no membership yet, and must answer the leader all the same.
func (d *Driver) peerAddr(id string) string {
	if addr := memberAddr(d.core.Members(), id); addr != "" {
		return addr
	}
	if announced := d.announcedLeader.Load(); announced.GetId() == id {
		return announced.GetAddr()
	}
	return ""
}

// recordLeaderAddr keeps what a leader says of its address.
func (d *Driver) recordLeaderAddr(m *wire.Message) {
	announced := d.announcedLeader.Load()
	if m.Addr == "" || (announced.GetId() == m.From && announced.GetAddr() == m.Addr) {
		return
	}
	d.announcedLeader.Store(&wire.Member{Id: m.From, Addr: m.Addr})
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
			c = d.sendMessage(ctx, s, c, m)
		}
	}
}

// sendMessage sends a message and returns the stream for the next one, or nil. The session of a
// kept stream may have been closed by other users of it; then a new one carries the message.
func (d *Driver) sendMessage(ctx context.Context, s *sender, c *link.Conn, m *wire.Message) *link.Conn {
	if c != nil && sendOrClose(c, m) {
		return c
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Dialer.Open(dialCtx, s.addr, Service)
	if err != nil {
		clock.Sleep(ctx, redialDelay)
		return nil
	}
	if !sendOrClose(c, m) {
		d.Meter.Add("log.unsent", 1)
		return nil
	}
	return c
}

// sendOrClose sends a message, or closes the stream.
func sendOrClose(c *link.Conn, m *wire.Message) bool {
	err := c.SetDeadline(time.Now().Add(sendTimeout))
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
		m := &wire.Message{}
		if c.Recv(m) != nil {
			return
		}
		if m.To != d.ID {
			d.Meter.Add("log.strangers", 1)
			continue
		}
		d.recordLeaderAddr(m)
		d.enqueue(request{event: quorum.Received{Message: m}})
	}
}
