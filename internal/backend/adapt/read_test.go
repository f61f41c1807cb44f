package adapt_test

import (
	"bytes"
	"testing"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

func FuzzReadMessage(f *testing.F) {
	f.Add(adapt.AppendMessage(nil, 'Z', []byte{'I'}))
	f.Add([]byte{'D', 255, 255, 255, 255})
	f.Add([]byte{'D', 0, 0, 0, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		n, ok := adapt.MessageSize(b)
		kind, body, err := adapt.ReadMessage(bytes.NewReader(b))
		if err != nil {
			return
		}
		if !ok || n != len(body)+5 || !bytes.Equal(adapt.AppendMessage(nil, kind, body), b[:n]) {
			t.Fatalf("message of size %d differs after reading and appending it", n)
		}
	})
}
