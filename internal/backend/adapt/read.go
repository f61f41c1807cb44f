package adapt

import (
	"encoding/binary"
	"fmt"
	"io"
)

// MaxMessageBytes is the largest PostgreSQL protocol message that is accepted, without its type.
const MaxMessageBytes = 64 << 20

// HeaderBytes is the size of a message header: one byte of type and four of length.
const HeaderBytes = 5

// ReadMessage reads one PostgreSQL protocol message and returns its type and body. It returns
// an error if the length is invalid or the message is truncated.
func ReadMessage(r io.Reader) (kind byte, body []byte, err error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size, ok := MessageSize(header[:])
	if !ok {
		return 0, nil, fmt.Errorf("message of type %q has invalid length %d", header[0], binary.BigEndian.Uint32(header[1:]))
	}
	body = make([]byte, size-HeaderBytes)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// AppendMessage appends a PostgreSQL protocol message of the given type to b.
func AppendMessage(b []byte, kind byte, body []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

// MessageSize returns the size in bytes, header included, of the message at the start of b. It
// returns false if b is shorter than a header or the length is invalid.
func MessageSize(b []byte) (int, bool) {
	if len(b) < HeaderBytes {
		return 0, false
	}
	n := int64(binary.BigEndian.Uint32(b[1:]))
	if n < 4 || n > MaxMessageBytes {
		return 0, false
	}
	return int(n) + 1, true
}
