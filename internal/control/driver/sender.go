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
	// sendQueueSize is the maximum number of messages queued for one control host.
	sendQueueSize = 256
	// redialDelay is the pause after a failed attempt to connect, and between bootstrap polls.
	redialDelay = 50 * time.Millisecond
	// sendTimeout bounds the write of one message.
	sendTimeout = 2 * time.Second
	// dialTimeout bounds connecting to a control host: three round trips between regions. A host
	// that is still starting answers the next attempt; votes must not queue behind this one.
	dialTimeout = 120 * time.Millisecond
)

// sender sends messages to one control host. Messages that do not fit in its queue are dropped.
type sender struct {
	addr  string
	queue chan *wire.QuorumMessage
}

// queueMessage queues a message for its recipient, and starts a sender if there is none for the
// recipient's address.
func (d *Driver) queueMessage(ctx context.Context, m *wire.QuorumMessage) {
	d.Meter.AddCounter("log.sent."+strings.ToLower(m.Kind.String()), 1)
	addr := d.peerAddr(m.To)
	if addr == "" {
		d.Meter.AddCounter("log.strangers", 1)
		return
	}
	s := d.senders[m.To]
	if s == nil || s.addr != addr {
		s = &sender{addr: addr, queue: make(chan *wire.QuorumMessage, sendQueueSize)}
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

// peerAddr returns the address of a control host from the membership, or else the address that
// the leader announced: a joining host has no membership yet but must answer the leader. It
// returns "" if the address is unknown.
func (d *Driver) peerAddr(id string) string {
	if addr := memberAddr(d.core.Members(), id); addr != "" {
		return addr
	}
	if announced := d.announcedLeader.Load(); announced.GetId() == id {
		return announced.GetAddr()
	}
	return ""
}

// recordLeaderAddr stores the sender's address if the message has one; only leaders send theirs.
func (d *Driver) recordLeaderAddr(m *wire.QuorumMessage) {
	announced := d.announcedLeader.Load()
	if m.Addr == "" || (announced.GetId() == m.From && announced.GetAddr() == m.Addr) {
		return
	}
	d.announcedLeader.Store(&wire.Member{Id: m.From, Addr: m.Addr})
}

// runSender sends the messages in the queue of s until ctx ends.
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

// sendMessage sends a message and returns the stream for the next one, or nil on failure. It
// reuses c unless that fails: other users of the underlying session may have closed it. It then
// sends the message over a new stream.
func (d *Driver) sendMessage(ctx context.Context, s *sender, c *link.Conn, m *wire.QuorumMessage) *link.Conn {
	if c != nil && sendOrClose(c, m) {
		return c
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Dialer.Open(dialCtx, s.addr, QuorumService)
	if err != nil {
		clock.Sleep(ctx, redialDelay)
		return nil
	}
	if !sendOrClose(c, m) {
		d.Meter.AddCounter("log.unsent", 1)
		return nil
	}
	return c
}

// sendOrClose sends a message and reports whether that succeeded. On failure it closes the stream.
func sendOrClose(c *link.Conn, m *wire.QuorumMessage) bool {
	err := c.SetDeadline(time.Now().Add(sendTimeout))
	if err == nil {
		err = c.Send(m)
	}
	if err != nil {
		c.Close()
	}
	return err == nil
}

// Serve receives messages from another control host on a stream. It is a link.Handler.
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
		d.recordLeaderAddr(m)
		d.enqueue(request{event: quorum.Received{Message: m}})
	}
}
