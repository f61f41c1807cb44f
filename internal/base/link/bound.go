package link

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
)

const (
	// maxHelloBytes is the maximum size of a Hello message: the names of a service and of a host.
	maxHelloBytes = 4 << 10
	// keptBytes is the size of a buffer that a stream keeps after a message. Streams are kept for later
	// requests, and most of those are short.
	keptBytes = 64 << 10
	// frameCopies is how many times a message is held at once while it is decoded.
	frameCopies = 2
	// roomTimeout is how long a large message may wait for memory, and roomInterval the time between two looks.
	roomTimeout  = time.Second
	roomInterval = 5 * time.Millisecond
)

// errNoRoom is returned for a message that this host had no memory for in time.
var errNoRoom = errors.New("no memory for the message")

// errHelloTooLarge is returned for a Hello message that no host would send.
var errHelloTooLarge = errors.New("hello message is too large")

// recvHello reads the Hello message of a new stream.
func (c *Conn) recvHello(m proto.Message) error {
	b, err := readFrame(c.r, maxHelloBytes, admitAll)
	if err != nil {
		return errors.Join(errHelloTooLarge, err)
	}
	return proto.Unmarshal(b, m)
}

// SetMaxBytes sets the maximum size of the messages that Recv reads, by default MaxMessageBytes. It is called
// before the first Recv.
func (c *Conn) SetMaxBytes(n int) { c.maxBytes = uint64(n) }

// SetBudget has messages wait for memory before they are read, if they are large: the other host then waits to
// send them. It is called before the first Recv.
func (c *Conn) SetBudget(b *bounds.Budget) { c.budget = b }

// admitAll admits a message of any size.
func admitAll(uint64) error { return nil }

// admit waits until there is memory for a message of n bytes. c.received holds it until the next message.
func (c *Conn) admit(n uint64) error {
	if n <= keptBytes || c.budget == nil {
		return nil
	}
	c.received = c.budget.Open(func() {})
	for end := time.Now().Add(roomTimeout); !c.received.Set(bounds.Received, int64(frameCopies*n)); time.Sleep(roomInterval) {
		if time.Now().After(end) {
			return errNoRoom
		}
	}
	return nil
}

// giveBack gives back the memory of a decoded message.
func (c *Conn) giveBack() {
	if c.received != nil {
		c.received.Close()
		c.received = nil
	}
}

// dropBuffer drops a large buffer for sending. c.mu must be held.
func (c *Conn) dropBuffer() {
	if cap(c.buf) > keptBytes {
		c.buf = nil
	}
}

// shrink drops the buffer for receiving of the stream after a message of n bytes, if that was large.
func (c *Conn) shrink(n int) {
	if n > keptBytes {
		c.raw.raw.Shrink()
	}
}
