package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/agatespindle/agatespindle/internal/control/rest"
)

type watchCommand struct {
	apiClient
	From string `long:"from" value-name:"REVISION" description:"go on after this revision"`
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints the changes of resources until it is interrupted.
func (c *watchCommand) Execute([]string) error {
	query := url.Values{"watch": {"1"}}
	if c.From != "" {
		query.Set("from", c.From)
	}
	if c.Args.Name != "" {
		query.Set("name", c.Args.Name)
	}
	resp, err := c.request(c.env.ctx, http.MethodGet, c.Args.Kind+"?"+query.Encode(), nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		_, err := responseError(resp)
		return err
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			if c.env.ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("watch stream ended: %w", err)
		}
		if err := c.printEvent(line); err != nil {
			return err
		}
	}
}

// printEvent prints one event, which is a line of JSON. In text output it skips events without a
// resource.
func (c *watchCommand) printEvent(line []byte) error {
	if c.Output == "json" {
		_, err := c.env.stdout.Write(line)
		return err
	}
	var e rest.Event
	if err := json.Unmarshal(line, &e); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if e.Resource == nil {
		return nil
	}
	_, err := fmt.Fprintf(c.env.stdout, "%-8s revision=%d %s %s %s\n", e.Type, e.Revision, e.Resource.Kind, e.Resource.Name, summary(*e.Resource))
	return err
}
