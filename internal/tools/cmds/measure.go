package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/agatespindle/agatespindle/internal/tools/trial"
)

type measureCommand struct {
	baseCommand
	Quick  bool   `long:"quick" description:"fewer failovers and shorter loads"`
	Slopes bool   `long:"slopes" description:"measure the slopes for the target's size instead"`
	Only   string `long:"only" value-name:"NAME" description:"measure only the slopes whose name starts so"`
	JSON   string `long:"json" value-name:"FILE" description:"file for the figures" default:"measure.json"`
}

// Execute measures both deployments or, with --slopes, how resource use grows with size.
func (c *measureCommand) Execute([]string) error {
	if c.Slopes {
		t, err := trial.MeasureSlopes(c.env.ctx, c.Only, func(s trial.Slope) { fmt.Fprintf(c.env.stderr, "%s: %.4g %s per %s\n", s.Name, s.Slope, s.Unit, s.Per) })
		if err != nil {
			return err
		}
		return c.writeResults(t, func(w io.Writer) { trial.PrintSlopes(w, t) })
	}
	o := trial.Options{Failovers: 12, LoadDuration: 10 * time.Second, Sessions: 20}
	if c.Quick {
		o = trial.Options{Failovers: 2, LoadDuration: time.Second, Sessions: 20}
	}
	var results []trial.Result
	for _, site := range []trial.Site{trial.BlueMountain, trial.Forening} {
		r, err := trial.Run(c.env.ctx, site, o)
		if err != nil {
			return fmt.Errorf("%s: %w", site.Name, err)
		}
		results = append(results, r)
	}
	return c.writeResults(results, func(w io.Writer) { printResults(w, results) })
}

// writeResults prints a table to standard output and writes v as JSON to the output file.
func (c *measureCommand) writeResults(v any, table func(io.Writer)) error {
	w := tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return err
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(b, '\n'), 0o644)
}

// printResults prints the results as tab-separated table rows.
func printResults(w io.Writer, results []trial.Result) {
	fmt.Fprintln(w, "SITE\tMEASURE\tCASE\tCOUNT\tVALUE\tMORE")
	for _, r := range results {
		for _, g := range r.Gaps {
			fmt.Fprintf(w, "%s\tfailover gap\t%s\t%d\tmedian %.0f ms\tp99 %.0f ms, largest %.0f ms\n", r.Site, g.Cause, g.Count, g.MedianMS, g.P99MS, g.LargestMS)
		}
		for _, s := range r.Shares {
			fmt.Fprintf(w, "%s\treads by replicas\t%s\t%d\t%.1f %%\toracle %.1f %%, p50 %.1f ms, p99 %.1f ms, stale %d\n",
				r.Site, s.Routing, s.Reads, 100*s.ReplicaShare, 100*s.OracleShare, s.P50MS, s.P99MS, s.StaleReads)
		}
		fmt.Fprintf(w, "%s\tin force\tall hosts up\t10\tmedian %.1f ms\t\n", r.Site, r.InForceMS)
		fmt.Fprintf(w, "%s\tacknowledged writes lost\t\t\t%d\t\n", r.Site, r.LostWrites)
		for name, n := range r.Counters {
			if n > 0 {
				fmt.Fprintf(w, "%s\tcounter\t%s\t%d\t\t\n", r.Site, name, n)
			}
		}
	}
}
