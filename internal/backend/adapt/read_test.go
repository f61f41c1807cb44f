package adapt_test

import (
	"bytes"
	"testing"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// TestLargestMessageIsTheSameForAll guards against a message that can be read, but has no size for those who pass
// it on.
func TestLargestMessageIsTheSameForAll(t *testing.T) {
	for extra, want := range map[int]bool{-4: true, -3: false, 0: false, 1: false} {
		m := adapt.AppendMessage(nil, 'D', make([]byte, adapt.MaxMessageBytes+extra))
		_, sized := adapt.MessageSize(m)
		_, _, err := adapt.ReadMessage(bytes.NewReader(m))
		if sized != want || (err == nil) != want {
			t.Errorf("%d bytes beyond the limit: size known %t, read %t, want %t", extra, sized, err == nil, want)
		}
	}
}

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
