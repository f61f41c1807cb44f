package cmds

import "fmt"

type checkCommand struct {
	baseCommand
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks the settings file and prints its host and data centre.
func (c *checkCommand) Execute([]string) error {
	cfg, err := loadConfig(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "%s: valid settings for host %s in data centre %s\n", c.Args.File, cfg.Host, cfg.DataCentre)
	return nil
}
