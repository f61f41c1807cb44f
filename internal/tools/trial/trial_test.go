package trial_test

import (
	"testing"

	"github.com/agatespindle/agatespindle/internal/tools/trial"
)

// BenchmarkStatement compares the paths of a statement: straight to a replica, through the
// group's holder, and through another host to it.
func BenchmarkStatement(b *testing.B) {
	for _, path := range []struct {
		name    string
		through int
	}{{"direct", -1}, {"holder", 1}, {"forwarded", 2}} {
		b.Run(path.name, func(b *testing.B) {
			run, stop, err := trial.Statement(b.Context(), path.through)
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
