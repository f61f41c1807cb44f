package nodes

import (
	"fmt"

	"github.com/agatespindle/agatespindle/platform"
)

// checkCommand reads and validates a settings file.
type checkCommand struct {
	streams
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	cfg, err := platform.ReadSettings(c.Args.File)
	if err != nil {
		return usageError{err}
	}
	fmt.Fprintln(c.out, "settings are valid:", cfg)
	return nil
}
