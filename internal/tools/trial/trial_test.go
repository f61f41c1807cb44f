package trial_test

import (
	"testing"

	"github.com/agatespindle/agatespindle/internal/tools/trial"
)

// BenchmarkStatement compares the paths of a statement: directly to a replica, through the group's
// holder, and through another host that forwards to the holder.
func BenchmarkStatement(b *testing.B) {
	for _, path := range []struct {
		name string
		hops int
	}{{"direct", -1}, {"holder", 1}, {"forwarded", 2}} {
		b.Run(path.name, func(b *testing.B) {
			run, stop, err := trial.StartStatementPath(b.Context(), path.hops)
			if err != nil {
				b.Fatal(err)
			}
			defer stop()
			for b.Loop() {
				if err := run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
