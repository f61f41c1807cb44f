package cmds

import (
	"fmt"
	"io"
	"net/http"

	"github.com/agatespindle/agatespindle/internal/control/rest"
)

type deleteCommand struct {
	apiClient
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute deletes the resource and prints the revision of the change.
func (c *deleteCommand) Execute([]string) error {
	var r rest.Resource
	if err := c.call(http.MethodDelete, c.Args.Kind+"/"+c.Args.Name, nil, &r); err != nil {
		return err
	}
	return c.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "%s %s deleted at revision %d\n", c.Args.Kind, c.Args.Name, r.Revision)
	})
}
