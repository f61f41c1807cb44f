package nodes

import (
	"errors"
	"io"
	"time"

	"github.com/agatespindle/agatespindle/internal/tools/story"
)

// lossesCommand counts refused and failed requests from log lines.
type lossesCommand struct {
	streams
	in       io.Reader
	Interval time.Duration `long:"interval" default:"1s" description:"length of the intervals by which losses are counted, at least 1ms"`
	Most     int           `long:"most" default:"10" description:"number of rows per interval, the largest first; 0 prints all"`
	Output   string        `short:"o" long:"output" default:"table" choice:"table" choice:"json" description:"output format"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	if c.Interval < time.Millisecond {
		return usageError{errors.New("--interval must be at least 1ms")}
	}
	if c.Most < 0 {
		return usageError{errors.New("--most must not be negative")}
	}
	return story.Losses(c.out, c.in, story.LossOptions{Interval: c.Interval, Most: c.Most, JSON: c.Output == "json"})
}
