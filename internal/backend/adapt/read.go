package adapt

import (
	"encoding/binary"
	"fmt"
	"io"
)

// MaxMessage is the largest message of the PostgreSQL protocol in bytes that is accepted.
const MaxMessage = 64 << 20

const headerBytes = 5

// ReadMessage reads one message of the PostgreSQL protocol: its type and its body.
func ReadMessage(r io.Reader) (kind byte, body []byte, err error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > MaxMessage {
		return 0, nil, fmt.Errorf("message of type %q has length %d", head[0], n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// AppendMessage appends a message of the PostgreSQL protocol to b.
func AppendMessage(b []byte, kind byte, body []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

// MessageSize returns the size of the message that b starts with, its header included. It
// reports false while the header is not whole or its length is impossible.
func MessageSize(b []byte) (int, bool) {
	if len(b) < headerBytes {
		return 0, false
	}
	n := int64(binary.BigEndian.Uint32(b[1:]))
	if n < 4 || n > MaxMessage {
		return 0, false
	}
	return int(n) + 1, true
}
