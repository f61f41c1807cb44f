package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the number of lines that wait to be written at most.
	maxBufferedLines = 4096
	// droppedReportInterval is the time between two lines that tell what was dropped.
	droppedReportInterval = time.Second
)

// BoundedWriter is a writer that never blocks: lines go through a buffer of fixed size, and what
// does not fit is dropped and counted.
type BoundedWriter struct {
	lines      chan []byte
	unreported atomic.Int64
	total      atomic.Int64
}

// NewBoundedWriter returns a bounded writer; Run must follow.
func NewBoundedWriter() *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, maxBufferedLines)}
}

// Write implements io.Writer. It takes one line and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.unreported.Add(1)
		b.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.total.Load() }

// Run writes the lines to out until ctx ends and none is left; the end is reported on the
// channel.
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
