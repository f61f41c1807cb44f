// Package nodes provides the agatespindle-node command line, for hosts on the users' platform. Each
// command has a file of its own.
package nodes

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage means invalid settings or usage; nothing was started.
	exitUsage = 2
)

// usageError wraps an error in the settings or the usage; the process exits with exitUsage.
type usageError struct{ error }

// streams are the standard output and standard error of a command.
type streams struct{ out, errOut io.Writer }

// Execute runs the command that args name (without the program's name) and returns the exit code:
// 0 on success, 1 if the command failed, 2 for invalid settings or usage.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	st := streams{out, errOut}
	p := flags.NewNamedParser("agatespindle-node", flags.HelpFlag|flags.PassDoubleDash)
	add(p, "run", "Run this host with the roles from the platform's settings", &runCommand{streams: st})
	add(p, "check", "Check a settings file and list all errors", &checkCommand{streams: st})
	add(p, "explain", "Explain the outcome of a request from log lines on standard input", &explainCommand{streams: st, in: in})
	add(p, "losses", "Count refused and failed requests by time, group and reason from log lines on standard input", &lossesCommand{streams: st, in: in})
	add(p, "version", "Print the version", &versionCommand{streams: st})
	_, err := p.ParseArgs(args)
	return report(err, errOut, out)
}

// add registers a command. It panics if the command's struct tags are invalid.
func add(p *flags.Parser, name, short string, cmd any) {
	if _, err := p.AddCommand(name, short, short+".", cmd); err != nil {
		panic(err)
	}
}

// report prints the error of a command, or the help that was asked for, and returns the exit code.
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
