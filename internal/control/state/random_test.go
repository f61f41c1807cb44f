package state_test

import (
	"math/rand/v2"
	"testing"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/state"
	"github.com/agatespindle/agatespindle/internal/tools/random"
)

// TestRandomCommandsDoNotPanic guards against commands that make Apply panic. Every control host
// applies each command in the log, and again after each restart, so such a command would stop all
// of them permanently.
func TestRandomCommandsDoNotPanic(t *testing.T) {
	r := rand.New(rand.NewPCG(20261204, 5))
	s := state.New()
	for n := range 20_000 {
		cmd := &wire.Command{}
		random.Fill(r, cmd.ProtoReflect(), 4)
		func() {
			defer func() {
				if v := recover(); v != nil {
					t.Fatalf("command %d (%v) panicked: %v", n, cmd, v)
				}
			}()
			s.Apply(uint64(n+1), cmd)
		}()
	}
	if _, err := state.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
}
