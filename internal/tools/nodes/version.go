package nodes

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the module and Go versions of the build.
type versionCommand struct{ streams }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	build := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(c.out, "agatespindle-node", build)
	return nil
}
