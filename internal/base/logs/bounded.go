package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the maximum number of lines that wait to be written.
	maxBufferedLines = 4096
	// droppedReportInterval is the minimum time between two lines that report dropped lines.
	droppedReportInterval = time.Second
)

// BoundedWriter is an io.Writer that never blocks, so that a slow log output does not delay requests. Lines
// go through a buffer of fixed size; lines that do not fit are dropped and counted.
type BoundedWriter struct {
	lines      chan []byte
	unreported atomic.Int64 // lines dropped since the last report
	total      atomic.Int64 // lines dropped since the start
}

// NewBoundedWriter returns a writer without an output; Run writes the lines.
func NewBoundedWriter() *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, maxBufferedLines)}
}

// Write implements io.Writer. Each call writes one line. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.unreported.Add(1)
		b.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the writer was created.
func (b *BoundedWriter) Dropped() int64 { return b.total.Load() }

// Run writes the lines to out in the background until ctx is done and the buffer is empty. The returned
// channel receives nil at the end, or the first error of out.
func (b *BoundedWriter) Run(ctx context.Context, out io.Writer) <-chan error {
	done := make(chan error, 1)
	go func() { done <- b.copyLines(ctx, out) }()
	return done
}

func (b *BoundedWriter) copyLines(ctx context.Context, out io.Writer) error {
	lastReport := time.Now()
	for {
		select {
		case line := <-b.lines:
			if _, err := out.Write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return b.flush(out)
		}
		if n := b.unreported.Load(); n > 0 && time.Since(lastReport) > droppedReportInterval {
			lastReport = time.Now()
			b.unreported.Add(-n)
			if _, err := fmt.Fprintf(out, `{"level":"warn","message":"log lines dropped","fields":{"lines":%d}}`+"\n", n); err != nil {
				return err
			}
		}
	}
}

// flush writes the lines that are left in the buffer.
func (b *BoundedWriter) flush(out io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if _, err := out.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
