package nodes

import (
	"io"

	"github.com/agatespindle/agatespindle/internal/tools/story"
)

// explainCommand explains the outcome of the request with the given ID from log lines.
type explainCommand struct {
	streams
	in   io.Reader
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	return story.Explain(c.out, c.in, c.Args.ID)
}
