package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// leaveSlack is how long after its bound a leaving instance lives on.
const leaveSlack = 700 * time.Millisecond

// releases is the state of the planned replacements of primaries. It has a random sequence of its own,
// so that the other faults of a seed stay the same.
type releases struct {
	rng *rand.Rand
	// started counts the replacements, and active is set while one is under way.
	started int
	active  bool
}

// releasePrimary lets the primary leave in one of three calls, unless one is leaving. In half of the
// cases the other instances go silent for a while at the same time. The primary lives on past its
// bound; then another instance takes its address.
func (r *run) releasePrimary(ctx context.Context, now time.Time) {
	leaves, others := r.releases.rng.IntN(3) == 0, r.releases.rng.IntN(2) == 0
	if r.releases.active || !leaves {
		return
	}
	primary := r.group.Primary()
	i := slices.IndexFunc(r.instances[:], func(in *mimic.Instance) bool { return in.Name == primary })
	if i < 0 || r.instances[i].Crashed() {
		return
	}
	r.releases.active = true
	r.releases.started++
	r.Logf("primary %s leaves; others silent: %v", primary, others)
	r.instances[i].Leave()
	silence := time.Duration(200+r.releases.rng.IntN(3000)) * time.Millisecond
	for j, rl := range r.relays {
		if others && j != i {
			r.recordFault("")
			rl.setMode(DropAll)
			r.recoveries = append(r.recoveries, recovery{now.Add(silence), func() {
				r.recordFault("")
				rl.setMode(Forward)
			}})
		}
	}
	r.recoveries = append(r.recoveries, recovery{now.Add(leaveBound + leaveSlack), func() { r.replaceInstance(ctx, i) }})
}

// replaceInstance ends the instance behind relay i and starts another one in its place.
func (r *run) replaceInstance(ctx context.Context, i int) {
	r.releases.active = false
	r.recordFault("")
	if !r.instances[i].Crashed() {
		r.instances[i].Crash()
	}
	name := fmt.Sprintf("i-%d-%d", i, r.releases.started)
	r.Logf("start %s in the place of %s", name, r.instances[i].Name)
	if err := r.startInstance(ctx, name, i); err != nil {
		r.Logf("start of %s failed: %v", name, err)
	}
}
