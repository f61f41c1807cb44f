// Package nodes provides the command line of agatespindle on the users' platform, one file a
// command.
package nodes

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage tells of mistakes in settings or usage; nothing was started.
	exitUsage = 2
)

// usageError is a mistake in settings or usage.
type usageError struct{ error }

// streams are where commands write.
type streams struct{ out, errOut io.Writer }

// Execute runs the command that args name and returns the exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	st := streams{out, errOut}
	p := flags.NewNamedParser("agatespindle-node", flags.HelpFlag|flags.PassDoubleDash)
	add(p, "run", "Run this host's roles by the platform's settings", &runCommand{streams: st})
	add(p, "check", "List all mistakes of a settings file", &checkCommand{streams: st})
	add(p, "explain", "Tell from log lines on standard input what became of a request", &explainCommand{streams: st, in: in})
	add(p, "version", "Print the version", &versionCommand{streams: st})
	_, err := p.ParseArgs(args)
	return report(err, errOut, out)
}

func add(p *flags.Parser, name, short string, cmd any) {
	if _, err := p.AddCommand(name, short, short+".", cmd); err != nil {
		panic(err)
	}
}

func report(err error, errOut, out io.Writer) int {
	var usageErr usageError
	var parseErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, parseErr.Message)
		return exitOK
	case errors.As(err, &usageErr), errors.As(err, &parseErr):
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	fmt.Fprintln(errOut, err)
	return exitFailed
}
