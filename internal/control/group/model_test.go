package group_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// entry is one write in an instance's log; its value is unique.
type entry struct {
	term  uint64
	value int
}

// instance is a fake backend server with the published orders.
type instance struct {
	name      string
	disk      string
	up        bool
	log       []entry
	term      uint64
	primary   bool
	following bool
	source    string
}

func (in *instance) last() uint64 {
	if len(in.log) == 0 {
		return 0
	}
	return in.log[len(in.log)-1].term
}

func (in *instance) report() group.Report {
	return group.Report{Disk: in.disk, Term: in.term, Last: in.last(), Position: uint64(len(in.log)), Primary: in.primary}
}

func (in *instance) accept(term uint64) bool {
	if term < in.term {
		return false
	}
	if term > in.term {
		in.term, in.primary, in.following = term, false, false
	}
	return true
}

// guards are the guards of the design; a test removes one to see that the check notices.
type guards struct {
	noSeal, noCut, anyTerm, oneAnswer, anyDisk bool
}

// holder is the host that acknowledges writes: what it knows may be old.
type holder struct {
	run    *wire.GroupState
	valid  bool
	copies map[string]group.Copy
	wrote  map[int]mark
}

type mark struct {
	term, position uint64
}

// world is a group with its instances, the replicated state, a leader and a holder.
type world struct {
	now       time.Time
	guards    guards
	instances []*instance
	state     *state.State
	index     uint64
	machine   *group.Group
	reports   map[string]group.Report
	failed    bool
	holder    holder
	expired   bool
	released  uint64
	acked     map[int]bool
	lost      int
	nextValue int
	faults    []string
}

func newWorld(g guards) *world {
	w := &world{now: time.Unix(1000, 0), guards: g, state: state.New(), acked: map[int]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		w.instances = append(w.instances, &instance{name: name, disk: name + "1", up: true})
	}
	w.holder = holder{valid: true, copies: map[string]group.Copy{}, wrote: map[int]mark{}}
	w.apply(&wire.Command{Body: &wire.Command_Put{Put: &wire.PutResource{Kind: string(spec.Groups), Name: "g", Spec: []byte(`{"size":3,"acks":2}`)}}})
	w.newLeader()
	w.learn()
	return w
}

func (w *world) apply(cmd *wire.Command) {
	w.index++
	w.state.Apply(w.index, cmd)
}

func (w *world) run() *wire.GroupState { return w.state.Get(spec.Groups, "g").Group }

// newLeader is another leader that knows only what is in the log.
func (w *world) newLeader() {
	w.machine = &group.Group{Options: group.DefaultOptions()}
	w.reports = map[string]group.Report{}
	w.failed = false
}

// learn brings the holder's view up to date; it stops the work of earlier terms.
func (w *world) learn() {
	w.holder.run = w.run()
	w.released = w.run().Term
	w.holder.wrote = map[int]mark{}
}

func (w *world) view() group.View {
	v := group.View{Name: "g", Run: w.run(), Size: 3, Acks: 2, Reports: w.reports, Failed: w.failed}
	for _, in := range w.instances {
		v.Instances = append(v.Instances, group.Instance{Name: in.name})
	}
	if w.guards.anyDisk {
		v.Reports = w.withKnownDisks()
	}
	v.Released = w.expired || w.released >= w.run().Term || w.guards.noSeal
	if w.guards.oneAnswer {
		v.Accept = w.run().Term
	}
	return v
}

// withKnownDisks returns the reports as if no disk had been lost.
func (w *world) withKnownDisks() map[string]group.Report {
	all := map[string]group.Report{}
	for name, r := range w.reports {
		if disk := w.run().Disks[name]; disk != "" {
			r.Disk = disk
		}
		all[name] = r
	}
	return all
}

// lead lets the leader take one step; orders to instances that are down are lost.
func (w *world) lead() {
	w.now = w.now.Add(200 * time.Millisecond)
	for _, a := range w.machine.Step(w.now, w.view()) {
		switch a := a.(type) {
		case group.Propose:
			w.apply(a.Command)
		case group.Fence:
			w.order(a.Instance, func(in *instance) { in.accept(a.Term) })
		case group.Promote:
			w.order(a.Instance, func(in *instance) { w.promote(in, a) })
		}
	}
}

func (w *world) order(name string, do func(*instance)) {
	in := w.find(name)
	if !in.up {
		return
	}
	do(in)
	w.reports[name] = in.report()
}

func (w *world) find(name string) *instance {
	i := slices.IndexFunc(w.instances, func(in *instance) bool { return in.name == name })
	return w.instances[i]
}

func (w *world) promote(in *instance, a group.Promote) {
	if !in.accept(a.Term) || in.primary || in.following || uint64(len(in.log)) != a.Start || in.last() >= a.Term {
		return
	}
	for value := range w.acked {
		if !slices.ContainsFunc(in.log, func(e entry) bool { return e.value == value }) {
			w.fault("%s was promoted in term %d without acknowledged write %d", in.name, a.Term, value)
		}
	}
	in.log = append(in.log, entry{term: a.Term})
	in.primary = true
}

// follow orders an instance to follow the primary of the open term.
func (w *world) follow(name string) {
	run, in := w.run(), w.find(name)
	if run.Phase != wire.Phase_OPEN || name == run.Primary || !in.up || !in.accept(run.Term) || in.primary || in.following {
		return
	}
	if !w.guards.noCut {
		in.log = in.log[:group.Cut(run.Forks, in.last(), uint64(len(in.log)))]
	}
	in.following, in.source = true, run.Primary
}

// loseDisk takes everything from an instance; it comes back with another disk.
func (w *world) loseDisk(name string) {
	w.lost++
	*w.find(name) = instance{name: name, disk: fmt.Sprint(name, w.lost+1), up: true}
}

// admit lets a new disk count once it holds all that the primary of the open term does.
func (w *world) admit(name string) {
	in := w.find(name)
	if !in.following {
		return
	}
	src := w.find(in.source)
	if src.primary && src.term == in.term && len(in.log) == len(src.log) {
		w.apply(&wire.Command{Body: &wire.Command_Admit{Admit: &wire.AdmitDisk{Group: "g", Term: in.term, Instance: name, Disk: in.disk}}})
	}
}

// replicate ships one entry from the source to an instance that follows.
func (w *world) replicate(name string) {
	in := w.find(name)
	if !in.up || !in.following {
		return
	}
	src := w.find(in.source)
	if !src.up || !src.primary || src.term != in.term || len(src.log) <= len(in.log) {
		return
	}
	in.log = append(in.log, src.log[len(in.log)])
}

// write writes at the instance that the holder takes for the primary.
func (w *world) write() {
	run := w.holder.run
	if run.GetPhase() != wire.Phase_OPEN || !w.holder.valid {
		return
	}
	in := w.find(run.Primary)
	if !in.up || !in.primary || in.term != run.Term {
		return
	}
	w.nextValue++
	in.log = append(in.log, entry{in.term, w.nextValue})
	w.holder.wrote[w.nextValue] = mark{in.term, uint64(len(in.log))}
}

// report lets the holder see an instance's status.
func (w *world) report(name string) {
	if in := w.find(name); in.up {
		w.holder.copies[name] = group.Copy{Name: name, Term: in.term, Position: uint64(len(in.log)), Following: in.following}
	}
}

// acknowledge acknowledges what enough instances hold, by what the holder knows.
func (w *world) acknowledge() {
	run := w.holder.run
	if run.GetPhase() != wire.Phase_OPEN || !w.holder.valid {
		return
	}
	for value, m := range w.holder.wrote {
		var list []group.Copy
		for _, c := range w.holder.copies {
			if w.guards.anyTerm {
				c.Term, c.Following = m.term, true
			}
			list = append(list, c)
		}
		if m.term != run.Term || group.Copies(run.Primary, m.term, m.position, list) < 2 {
			continue
		}
		delete(w.holder.wrote, value)
		w.acked[value] = true
		w.checkAck(value, m)
	}
}

// checkAck checks that the primary which acknowledges was not replaced: no later term has one.
func (w *world) checkAck(value int, m mark) {
	run := w.run()
	replaced := run.Term > m.term && (run.Phase == wire.Phase_CHOSEN || run.Phase == wire.Phase_OPEN)
	if replaced {
		w.fault("write %d of term %d was acknowledged while term %d had a primary", value, m.term, run.Term)
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}
