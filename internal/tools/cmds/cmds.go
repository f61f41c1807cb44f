// Package cmds implements the agatespindle command line, with one file for each command.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// The exit codes of all commands.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed and that the failed request had no effect. With
	// apply --wait it may also mean that an accepted change was not in force in time.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid; nothing was started.
	ExitUsage = 2
	// ExitRefused means that the API refused a change, which has no effect.
	ExitRefused = 3
	// ExitUnknown means that a change may or may not have been accepted.
	ExitUnknown = 4
)

// env holds the context and the standard streams of a command.
type env struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// exitError is an error with the exit code that the command returns for it.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitErrorf returns a formatted error with an exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// rootCommand holds all subcommands. Each has a type of its own for its options.
type rootCommand struct {
	Run     runCommand     `command:"run" description:"Run this host's roles" long-description:"Runs the host that the settings describe, until SIGINT, SIGTERM or SIGHUP; then it drains.\n\nExample: agatespindle run --config /etc/agatespindle.json"`
	Check   checkCommand   `command:"check" description:"Check a settings file" long-description:"Lists every mistake with line and column; exit code 2 if there is one.\n\nExample: agatespindle check /etc/agatespindle.json"`
	Get     getCommand     `command:"get" description:"Show resources" long-description:"Kinds: services, groups, callers, backendservers, hosts.\n\nExamples:\n  agatespindle get groups\n  agatespindle get groups parts-ledger -o json"`
	Apply   applyCommand   `command:"apply" description:"Declare resources from a file" long-description:"The file holds one resource or a list, as JSON with comments; - reads standard input. A version in it is the one that the change expects.\n\nExample: agatespindle apply --wait groups.json"`
	Delete  deleteCommand  `command:"delete" description:"Delete a resource" long-description:"Example: agatespindle delete callers reports"`
	Watch   watchCommand   `command:"watch" description:"Watch resources" long-description:"Prints each change until interrupted.\n\nExample: agatespindle watch groups parts-ledger"`
	Status  statusCommand  `command:"status" description:"Show the control quorum" long-description:"Example: agatespindle status"`
	Dev     devCommand     `command:"dev" description:"Run a whole deployment in one process" long-description:"Runs three control hosts, two entry hosts and a group of three stand-in backend servers on loopback, with the database parts-ledger. Prints one JSON line once callers are served.\n\nExample: agatespindle dev --caller-port 6432"`
	Standin standinCommand `command:"standin" description:"Run one stand-in backend server" long-description:"Serves development and tests.\n\nExample: agatespindle standin --name a --group parts-ledger --listen 127.0.0.1:7001 --data /tmp/a --host 127.0.0.1:6480"`
	Measure measureCommand `command:"measure" description:"Measure failover gap, replica reads and slopes" long-description:"Runs the users' two deployments in one process, with stand-ins and latencies, and prints a table; the figures also go to a file.\n\nExample: agatespindle measure --quick"`
	Version versionCommand `command:"version" description:"Show version and build" long-description:"Example: agatespindle version -o json"`
}

// stopSignals returns the signals that end a command. A process that was started with SIGHUP ignored, as by
// nohup, goes on ignoring it.
func stopSignals() []os.Signal {
	list := []os.Signal{syscall.SIGINT, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) {
		list = append(list, syscall.SIGHUP)
	}
	return list
}

// Execute runs the command line in args, without the program name, until it ends or the process
// gets one of the signals that end it; further ones have no effect. It prints any error to stderr and
// returns the exit code.
func Execute(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), stopSignals()...)
	defer stop()
	e := &env{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	r := &rootCommand{}
	for _, c := range []interface{ setEnv(*env) }{&r.Run, &r.Check, &r.Get, &r.Apply, &r.Delete, &r.Watch, &r.Status, &r.Dev, &r.Standin, &r.Measure, &r.Version} {
		c.setEnv(e)
	}
	parser := flags.NewNamedParser("agatespindle", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 done; 1 failed; 2 invalid settings or usage; 3 refused by the API; 4 outcome unknown."
	if _, err := parser.AddGroup("Commands", "", r); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

// report prints an error or the requested help and returns the exit code.
func report(err error, stdout, stderr io.Writer) int {
	var parseErr *flags.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, parseErr.Message)
		return ExitOK
	case errors.As(err, &parseErr):
		fmt.Fprintln(stderr, parseErr.Message)
		return ExitUsage
	case errors.As(err, &exitErr):
		fmt.Fprintln(stderr, exitErr.Error())
		return exitErr.code
	}
	fmt.Fprintln(stderr, err)
	return ExitFailed
}

// baseCommand is embedded in each command and holds its environment.
type baseCommand struct{ env *env }

func (b *baseCommand) setEnv(e *env) { b.env = e }
