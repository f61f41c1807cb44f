package cmds

import (
	"io"
	"net/http"

	"github.com/agatespindle/agatespindle/internal/control/rest"
)

type getCommand struct {
	apiClient
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints one resource or all resources of a kind.
func (c *getCommand) Execute([]string) error {
	if c.Args.Name != "" {
		var r rest.Resource
		if err := c.call(http.MethodGet, c.Args.Kind+"/"+c.Args.Name, nil, &r); err != nil {
			return err
		}
		return c.print(r, func(w io.Writer) { printResources(w, []rest.Resource{r}) })
	}
	var list rest.List
	if err := c.call(http.MethodGet, c.Args.Kind, nil, &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) { printResources(w, list.Items) })
}
