package cmds

import (
	"errors"
	"fmt"

	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/tools/host"
)

type runCommand struct {
	base
	Config        string `long:"config" short:"c" value-name:"FILE" description:"settings file"`
	PrintDefaults bool   `long:"print-defaults" description:"print a commented settings file and exit"`
}

// Execute runs the host.
func (c *runCommand) Execute([]string) error {
	if c.PrintDefaults {
		fmt.Fprint(c.env.stdout, conf.CommentedDefaults)
		return nil
	}
	cfg, err := load(c.Config)
	if err != nil {
		return err
	}
	h, err := host.New(host.Options{Config: cfg, Log: c.env.stderr})
	if err != nil {
		return err
	}
	return h.Run(c.env.ctx)
}

// load reads a settings file; mistakes in it are the user's.
func load(path string) (conf.Config, error) {
	if path == "" {
		return conf.Config{}, exit(ExitUsage, "name a settings file with --config FILE; --print-defaults shows one")
	}
	cfg, err := conf.Load(path)
	var faults conf.Issues
	if errors.As(err, &faults) {
		return cfg, &exitError{ExitUsage, prefixed(path, faults)}
	}
	if err != nil {
		return cfg, &exitError{ExitUsage, err}
	}
	return cfg, nil
}

// prefixed puts the file's name in front of each mistake, as compilers do.
func prefixed(path string, faults conf.Issues) error {
	var all []error
	for _, f := range faults {
		all = append(all, fmt.Errorf("%s:%d:%d: %s", path, f.Line, f.Column, f.Text))
	}
	return errors.Join(all...)
}
