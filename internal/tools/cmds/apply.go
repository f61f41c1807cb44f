package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"github.com/agatespindle/agatespindle/internal/control/rest"
)

type applyCommand struct {
	apiClient
	Wait        bool          `long:"wait" description:"wait until the change is in force everywhere"`
	WaitTimeout time.Duration `long:"limit" default:"30s" description:"bound of --wait"`
	Args        struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// resourceInput is a resource in the input file.
type resourceInput struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version *uint64         `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// Execute applies the resources of the file one after another and stops at the first error.
func (c *applyCommand) Execute([]string) error {
	list, err := c.readResources()
	if err != nil {
		return err
	}
	applied := []rest.Resource{}
	for _, d := range list {
		r, err := c.apply(d)
		if err != nil {
			return err
		}
		applied = append(applied, r)
	}
	return c.print(applied, func(w io.Writer) { printResources(w, applied) })
}

// readResources reads the input and decodes it as a list of resources or a single resource.
func (c *applyCommand) readResources() ([]resourceInput, error) {
	b, err := c.readInput()
	if err != nil {
		return nil, exitErrorf(ExitUsage, "read resources: %w", err)
	}
	b, err = hujson.Standardize(b)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%s: %w", c.Args.File, err)
	}
	var list []resourceInput
	if json.Unmarshal(b, &list) == nil {
		return list, nil
	}
	var single resourceInput
	if err := json.Unmarshal(b, &single); err != nil {
		return nil, exitErrorf(ExitUsage, `%s: expected {"kind": …, "name": …, "spec": {…}} or a list of these: %w`, c.Args.File, err)
	}
	return []resourceInput{single}, nil
}

// readInput reads the file, or standard input if the file name is "-".
func (c *applyCommand) readInput() ([]byte, error) {
	if c.Args.File == "-" {
		return io.ReadAll(c.env.stdin)
	}
	return os.ReadFile(c.Args.File)
}

// apply sends one resource to the API and, with --wait, waits until it is in force.
func (c *applyCommand) apply(d resourceInput) (rest.Resource, error) {
	if d.Kind == "" || d.Name == "" {
		return rest.Resource{}, exitErrorf(ExitUsage, "each resource needs kind and name")
	}
	body, err := json.Marshal(d)
	if err != nil {
		return rest.Resource{}, err
	}
	var r rest.Resource
	if err := c.call(http.MethodPut, d.Kind+"/"+d.Name, body, &r); err != nil {
		return r, fmt.Errorf("%s %s: %w", d.Kind, d.Name, err)
	}
	if c.Wait {
		return c.waitInForce(d.Kind, d.Name, r.Revision, c.WaitTimeout)
	}
	return r, nil
}
