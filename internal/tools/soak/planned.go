package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
)

// Planned configures a run whose faults are planned work: SIGTERM and SIGHUP, in series and
// overlapping. Callers stay on their connections and send the next statement at once.
type Planned struct {
	// Control has control hosts signaled too, one at a time.
	Control bool
	// Repeat has hosts signaled that are stopping already.
	Repeat bool
	// Pause has control hosts paused now and then, which is not planned work.
	Pause bool
	// Callers is the number of callers, beside the writers.
	Callers int
	// Kinds are the kinds of the first callers, from which the seed draws the further ones; nil means all.
	Kinds []string
	// StatementTime is how long a statement takes; if it is zero, the seed draws 20 to 700 ms, more often few.
	StatementTime time.Duration
	// Slots is the number of statements that an instance runs concurrently; if it is zero, the seed
	// draws 4 to 12.
	Slots int
}

// Kinds of callers.
const (
	// kindSingle sends one statement at a time.
	kindSingle = "single"
	// kindAhead sends statements together and waits for all answers.
	kindAhead = "ahead"
	// kindRolling sends a further statement after each answer.
	kindRolling = "rolling"
	// kindTransaction runs transactions with pauses.
	kindTransaction = "transaction"
	// kindLarge reads answers larger than both socket buffers slowly, some with a statement sent ahead.
	kindLarge = "large"
	// kindNear sends statements that take nearly as long as their route allows.
	kindNear = "near"
)

const (
	// plannedConnections is the number of connections that an instance accepts.
	plannedConnections = 48
	// aheadDepth is the number of statements that are sent ahead.
	aheadDepth = 4
	// largeKilobytes is the size of a large answer, and largePause the mean pause between two chunks.
	largeKilobytes = 8 << 10
	largePause     = 2 * time.Millisecond
	// maxPause limits the pause between two statements of a transaction.
	maxPause = 800 * time.Millisecond
	// nextDelay is the maximum time between an answer and the next statement.
	nextDelay = 2 * time.Millisecond
	// refusedDelay replaces nextDelay after an error.
	refusedDelay = 40 * time.Millisecond
	// controlInterval is the minimum time between two signals to control hosts.
	controlInterval = grace + time.Second
)

// plan is the state of the planned work of a run.
type plan struct {
	rng *rand.Rand
	// stopping has the process of each host that was sent SIGTERM last.
	stopping    map[*host]*os.Process
	controlFrom time.Time
}

// slowDown sets the slots of the group's instances and how long their statements take.
func (p *Planned) slowDown(g *mimic.Group, rng *rand.Rand) {
	slots, length := 4+rng.IntN(9), time.Duration(20+rng.IntN(1+rng.IntN(680)))*time.Millisecond
	if p.Slots > 0 {
		slots = p.Slots
	}
	if p.StatementTime > 0 {
		length = p.StatementTime
	}
	g.Slots, g.MaxConns = slots, plannedConnections
	g.ExtraTime = func(text string) time.Duration {
		// A read may begin with the position that it requires.
		if _, millis, ok := strings.Cut(text, "READ slow:"); ok {
			n, _ := strconv.Atoi(millis)
			return time.Duration(n) * time.Millisecond
		}
		if text == "STAT" || strings.Contains(text, "READ large:") {
			return 0
		}
		return length - statementTime
	}
}

// runPlan signals hosts until FaultDuration has passed, and waits until all that stop have stopped.
func (r *run) runPlan(ctx context.Context) {
	end := time.Now().Add(r.FaultDuration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.runStep(time.Now())
		clock.Sleep(ctx, time.Duration(100+r.plan.rng.IntN(2400))*time.Millisecond)
		r.runDueRecoveries(time.Now())
	}
	r.runDueRecoveries(time.Now().Add(time.Hour))
	clock.Sleep(ctx, grace)
}

// runStep signals one host.
func (r *run) runStep(now time.Time) {
	h, sig := r.entry[r.plan.rng.IntN(len(r.entry))], syscall.SIGTERM
	control, pause := r.control[r.plan.rng.IntN(len(r.control))], r.plan.rng.IntN(3) == 0
	if r.plan.rng.IntN(4) == 0 {
		sig = syscall.SIGHUP
	}
	if r.Planned.Control && r.plan.rng.IntN(3) == 0 && !now.Before(r.plan.controlFrom) {
		h, r.plan.controlFrom = control, now.Add(controlInterval)
		if r.Planned.Pause && pause {
			r.pause(h)
			return
		}
	}
	p := h.current()
	if p == nil || !r.Planned.Repeat && r.plan.stopping[h] == p {
		return
	}
	if sig == syscall.SIGTERM && r.plan.stopping[h] != p {
		r.plan.stopping[h] = p
		time.AfterFunc(grace, func() {
			if h.kill(p) {
				r.Logf("planned: %s still ran at the end of grace", h.name)
			}
		})
	}
	r.faults++
	r.Logf("planned: %s to %s", sig, h.name)
	r.workload.recordSignal(Signal{h.name, sig, now})
	h.signal(sig)
}

// startPlanned starts the callers of a run with planned work.
func (wl *workload) startPlanned(ctx context.Context, seed uint64, p Planned) {
	kinds := p.Kinds
	if kinds == nil {
		kinds = []string{kindSingle, kindAhead, kindRolling, kindTransaction, kindLarge, kindNear}
	}
	for i := range p.Callers {
		rng := rand.New(rand.NewPCG(seed, uint64(2000+i)))
		kind := kinds[rng.IntN(len(kinds))]
		if i < len(kinds) {
			kind = kinds[i]
		}
		wl.wg.Add(1)
		go func() {
			defer wl.wg.Done()
			wl.runPlanned(ctx, rng, kind, i)
		}()
	}
}

// runPlanned runs a caller that stays on each connection until its host ends it, and then connects to
// a random host, stopping or not, until ctx is canceled.
func (wl *workload) runPlanned(ctx context.Context, rng *rand.Rand, kind string, i int) {
	databases := []string{"orders", "parts", "notes"}
	for n := 1; ctx.Err() == nil; n++ {
		s, err := wl.openSession(rng.IntN(len(wl.callerAddrs)), databases[rng.IntN(len(databases))], kind)
		if err != nil {
			clock.Sleep(ctx, nextDelay)
			continue
		}
		id := fmt.Sprintf("p%d-%d", i, n)
		switch kind {
		case kindTransaction:
			s.runTransactions(ctx, rng, id)
		case kindLarge:
			s.pause = time.Duration(rng.Int64N(int64(2 * largePause)))
			s.runReads(ctx, rng, id, fmt.Sprint("READ large:", largeKilobytes), 1+rng.IntN(2))
		case kindNear:
			s.runReads(ctx, rng, id, fmt.Sprint("READ slow:", rng.IntN(700)), 1)
		case kindSingle:
			s.runReads(ctx, rng, id, "READ item0", 1)
		default:
			s.runReads(ctx, rng, id, "READ item0", aheadDepth)
		}
		s.conn.Close()
	}
}

// runReads sends reads until the host ends the connection or ctx is canceled, and then receives the
// answers that are due.
func (s *session) runReads(ctx context.Context, rng *rand.Rand, id, text string, depth int) {
	usable := true
	for n := 0; usable && ctx.Err() == nil; n++ {
		missing := depth - len(s.pending)
		if s.template.Caller == kindAhead && missing < depth {
			missing = 0
		}
		var ids []string
		for i := range missing {
			ids = append(ids, fmt.Sprintf("%s-%d-%d", id, n, i))
		}
		if missing > 0 && !s.send(ids, text) {
			break
		}
		var out Outcome
		_, out, usable = s.receive()
		delay := nextDelay
		if out != Acked {
			delay = refusedDelay
		}
		time.Sleep(time.Duration(rng.Int64N(int64(delay))))
	}
	for len(s.pending) > 0 {
		s.receive()
	}
}

// runTransactions runs transactions with pauses until the host ends the connection or ctx is canceled.
func (s *session) runTransactions(ctx context.Context, rng *rand.Rand, id string) {
	for n := 0; ctx.Err() == nil; n++ {
		end := "COMMIT"
		if rng.IntN(4) == 0 {
			end = "ROLLBACK"
		}
		texts := []string{"BEGIN", "READ item0", fmt.Sprintf("WRITE %s %d", id, n), "READ " + id, end}
		for i, text := range texts {
			if _, out, usable := s.query(fmt.Sprintf("%s-%d-%d", id, n, i), text); !usable || i == 0 && out != Acked {
				return
			}
			clock.Sleep(ctx, time.Duration(rng.Int64N(int64(maxPause))))
		}
	}
}

// recordSignal adds a planned signal to the history.
func (wl *workload) recordSignal(sig Signal) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.history.Signals = append(wl.history.Signals, sig)
}
