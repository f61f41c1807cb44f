package front_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// FuzzListener sends arbitrary bytes in two pieces to a listener whose limits are low, then asks it for an
// ordinary answer.
func FuzzListener(f *testing.F) {
	for _, s := range []string{
		"STARTUP stock u\r\nQUERY 1 BEGIN\r\nQUERY 2 ROLLBACK\r\nQUIT\r\n", "STARTUP stock u\r\nQUERY 1 SET a b\r\nQUERY 2 PREPARE p READ x\r\nQUERY 3 CLOSE p\r\n",
		"QUERY 1 READ a\r\n", "\n\n\n", "STARTUP stock u\r\nQUERY 1\n SET a\r b\nQUIT\r\r\nQUERY 2 CLOSE a\n\r\n", "STARTUP stock\n u\r\n", "STARTUP", "STARTUP x y\r\n\x00",
	} {
		f.Add([]byte(s), uint16(7))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := newServer(freeAddr(f), func(s *front.Server) {
		s.Limits = front.Limits{Callers: 8, MessageTimeout: time.Second, UnreadBytes: 4 << 10, SessionBytes: 8 << 10}
		s.Memory = &bounds.Budget{Total: 64 << 10, Share: 1 << 10, Meter: meter.New(), Name: "memory"}
	})
	done, err := s.Run(ctx)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		cancel()
		<-done
	})
	f.Fuzz(func(t *testing.T, b []byte, cut uint16) {
		c, err := net.DialTimeout("tcp", s.Addr, answerTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		at := min(int(cut), len(b))
		if _, err = c.Write(b[:at]); err == nil {
			_, _ = c.Write(b[at:])
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
		out, _ := io.ReadAll(c)
		if len(out) > 0 && !bytes.HasSuffix(out, []byte("\r\n")) {
			t.Fatalf("answers %q do not end at a line end", out)
		}
		if line, err := ask(s.Addr, "SET a b"); err != nil || line != "DONE -\r\n" {
			t.Fatalf("ordinary answer is %q: %v", line, err)
		}
	})
}
