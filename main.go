// Command agatespindle is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/agatespindle/agatespindle/internal/tools/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
