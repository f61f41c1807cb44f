package cmds

import (
	"errors"
	"fmt"

	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/tools/host"
)

type runCommand struct {
	baseCommand
	Config        string `long:"config" short:"c" value-name:"FILE" description:"settings file"`
	PrintDefaults bool   `long:"print-defaults" description:"print a commented settings file and exit"`
}

// Execute runs the host until it is interrupted, or prints the default settings.
func (c *runCommand) Execute([]string) error {
	if c.PrintDefaults {
		fmt.Fprint(c.env.stdout, conf.CommentedDefaults)
		return nil
	}
	cfg, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	h, err := host.New(host.Options{Config: cfg, Log: c.env.stderr})
	if err != nil {
		return err
	}
	return h.Run(c.env.ctx)
}

// loadConfig reads and checks a settings file. All errors have the exit code ExitUsage.
func loadConfig(path string) (conf.Config, error) {
	if path == "" {
		return conf.Config{}, exitErrorf(ExitUsage, "no settings file given: use --config FILE; --print-defaults prints an example")
	}
	cfg, err := conf.Load(path)
	var issues conf.Issues
	if errors.As(err, &issues) {
		return cfg, &exitError{ExitUsage, withFileName(path, issues)}
	}
	if err != nil {
		return cfg, &exitError{ExitUsage, err}
	}
	return cfg, nil
}

// withFileName joins the issues into one error, each prefixed with path:line:column, as compilers
// do.
func withFileName(path string, issues conf.Issues) error {
	var errs []error
	for _, issue := range issues {
		errs = append(errs, fmt.Errorf("%s:%d:%d: %s", path, issue.Line, issue.Column, issue.Text))
	}
	return errors.Join(errs...)
}
