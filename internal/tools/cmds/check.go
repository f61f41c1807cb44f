package cmds

import "fmt"

type checkCommand struct {
	base
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	cfg, err := load(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "%s: host %s in data centre %s is fine\n", c.Args.File, cfg.Host, cfg.DataCentre)
	return nil
}
