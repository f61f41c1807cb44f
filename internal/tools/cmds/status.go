package cmds

import (
	"fmt"
	"io"
	"net/http"

	"github.com/agatespindle/agatespindle/internal/control/rest"
)

type statusCommand struct{ apiClient }

// Execute prints the status of the control quorum.
func (c *statusCommand) Execute([]string) error {
	var q rest.Quorum
	if err := c.call(http.MethodGet, "status", nil, &q); err != nil {
		return err
	}
	return c.print(q, func(w io.Writer) {
		fmt.Fprintf(w, "leader\t%s\nterm\t%d\nrevision\t%d\nin force\t%d\nvoters\t%d\nmargin\t%d\n",
			q.Leader, q.Term, q.Revision, q.InForce, q.Voters, q.Margin)
		for _, m := range q.Members {
			fmt.Fprintf(w, "member\t%s at %s learner=%v\n", m.ID, m.Address, m.Learner)
		}
	})
}
