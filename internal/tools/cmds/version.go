package cmds

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
)

// Version is the version of agatespindle.
const Version = "0.1.0"

type versionCommand struct {
	baseCommand
	Output string `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// Execute prints the version and the Go version of the build.
func (c *versionCommand) Execute([]string) error {
	build := map[string]string{"version": Version}
	if info, ok := debug.ReadBuildInfo(); ok {
		build["go"] = info.GoVersion
	}
	if c.Output == "json" {
		return json.NewEncoder(c.env.stdout).Encode(build)
	}
	_, err := fmt.Fprintf(c.env.stdout, "agatespindle %s (%s)\n", build["version"], build["go"])
	return err
}
