// Command agatespindle-node runs an agatespindle host on the users' platform.
package main

import (
	"os"

	"github.com/agatespindle/agatespindle/internal/tools/nodes"
)

func main() {
	os.Exit(nodes.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
