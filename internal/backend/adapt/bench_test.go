package adapt_test

import (
	"net"
	"testing"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// BenchmarkPeek measures a look at a quiet connection.
func BenchmarkPeek(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		adapt.Peek(c)
	}
}
