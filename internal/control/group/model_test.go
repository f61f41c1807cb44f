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

// logEntry is a write in an instance's log. Values are unique; 0 marks the start of a term.
type logEntry struct {
	term  uint64
	value int
}

// instance is a fake backend server that accepts fence, promote and follow requests.
type instance struct {
	name      string
	diskID    string
	up        bool
	log       []logEntry
	term      uint64
	primary   bool
	following bool
	source    string
}

func (in *instance) lastTerm() uint64 {
	if len(in.log) == 0 {
		return 0
	}
	return in.log[len(in.log)-1].term
}

func (in *instance) report() group.Report {
	return group.Report{DiskID: in.diskID, Term: in.term, LastTerm: in.lastTerm(), Position: uint64(len(in.log)), Primary: in.primary}
}

func (in *instance) acceptTerm(term uint64) bool {
	if term < in.term {
		return false
	}
	if term > in.term {
		in.term, in.primary, in.following = term, false, false
	}
	return true
}

// disabledSafeguards selects the safeguards to disable, to test that the simulation notices.
type disabledSafeguards struct {
	sealWait, truncation, termCheck, quorum, diskCheck bool
}

// holder is the host that sends and acknowledges the group's writes. Its view of the group may be
// stale.
type holder struct {
	lastSeen      *wire.GroupState
	leaseValid    bool
	replicas      map[string]group.ReplicaStatus
	pendingWrites map[int]writePosition
}

// writePosition is the log position of a write that is not yet acknowledged.
type writePosition struct {
	term, position uint64
}

// simulation is a group with its instances, the replicated state, a leader and a holder. Its
// violations are breaches of the guarantee that no acknowledged write is lost.
type simulation struct {
	now           time.Time
	disabled      disabledSafeguards
	instances     []*instance
	state         *state.State
	index         uint64
	decisions     *group.Failover
	reports       map[string]group.Report
	primaryFailed bool
	holder        holder
	leaseExpired  bool
	sealConfirmed uint64
	acked         map[int]bool
	lostDisks     int
	nextValue     int
	violations    []string
}

func newSimulation(disabled disabledSafeguards) *simulation {
	s := &simulation{now: time.Unix(1000, 0), disabled: disabled, state: state.New(), acked: map[int]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		s.instances = append(s.instances, &instance{name: name, diskID: name + "1", up: true})
	}
	s.holder = holder{leaseValid: true, replicas: map[string]group.ReplicaStatus{}, pendingWrites: map[int]writePosition{}}
	s.apply(&wire.Command{Body: &wire.Command_Put{Put: &wire.PutResource{Kind: string(spec.Groups), Name: "g", Spec: []byte(`{"size":3,"acks":2}`)}}})
	s.newLeader()
	s.refreshHolder()
	return s
}

func (s *simulation) apply(cmd *wire.Command) {
	s.index++
	s.state.Apply(s.index, cmd)
}

func (s *simulation) groupState() *wire.GroupState { return s.state.Get(spec.Groups, "g").Group }

// newLeader replaces the leader by a new one that knows only the replicated state.
func (s *simulation) newLeader() {
	s.decisions = &group.Failover{Options: group.DefaultOptions()}
	s.reports = map[string]group.Report{}
	s.primaryFailed = false
}

// refreshHolder brings the holder's view up to date. The holder confirms the seal and drops the
// pending writes of earlier terms.
func (s *simulation) refreshHolder() {
	s.holder.lastSeen = s.groupState()
	s.sealConfirmed = s.groupState().Term
	s.holder.pendingWrites = map[int]writePosition{}
}

func (s *simulation) view() group.View {
	v := group.View{Name: "g", State: s.groupState(), Size: 3, Acks: 2, Reports: s.reports, PrimaryFailed: s.primaryFailed}
	for _, in := range s.instances {
		v.Instances = append(v.Instances, group.Instance{Name: in.name})
	}
	if s.disabled.diskCheck {
		v.Reports = s.reportsWithTrustedDisks()
	}
	v.SealInForce = s.leaseExpired || s.sealConfirmed >= s.groupState().Term || s.disabled.sealWait
	if s.disabled.quorum {
		v.AcceptLossInTerm = s.groupState().Term
	}
	return v
}

// reportsWithTrustedDisks returns the reports as if no disk had been lost.
func (s *simulation) reportsWithTrustedDisks() map[string]group.Report {
	all := map[string]group.Report{}
	for name, r := range s.reports {
		if disk := s.groupState().Disks[name]; disk != "" {
			r.DiskID = disk
		}
		all[name] = r
	}
	return all
}

// stepLeader runs one step of the leader. Requests to instances that are down are lost.
func (s *simulation) stepLeader() {
	s.now = s.now.Add(200 * time.Millisecond)
	for _, a := range s.decisions.Step(s.now, s.view()) {
		switch a := a.(type) {
		case group.Propose:
			s.apply(a.Command)
		case group.Fence:
			s.send(a.Instance, func(in *instance) { in.acceptTerm(a.Term) })
		case group.Promote:
			s.send(a.Instance, func(in *instance) { s.promote(in, a) })
		}
	}
}

// send delivers a request to an instance, which answers with a report.
func (s *simulation) send(name string, do func(*instance)) {
	in := s.find(name)
	if !in.up {
		return
	}
	do(in)
	s.reports[name] = in.report()
}

func (s *simulation) find(name string) *instance {
	i := slices.IndexFunc(s.instances, func(in *instance) bool { return in.name == name })
	return s.instances[i]
}

// promote makes an instance the primary unless a check of the backend server prevents it. It
// records a violation if the instance lacks an acknowledged write.
func (s *simulation) promote(in *instance, a group.Promote) {
	if !in.acceptTerm(a.Term) || in.primary || in.following || uint64(len(in.log)) != a.Start || in.lastTerm() >= a.Term {
		return
	}
	for value := range s.acked {
		if !slices.ContainsFunc(in.log, func(e logEntry) bool { return e.value == value }) {
			s.addViolation("%s was promoted in term %d without acknowledged write %d", in.name, a.Term, value)
		}
	}
	in.log = append(in.log, logEntry{term: a.Term})
	in.primary = true
}

// follow makes an instance follow the primary of the open term.
func (s *simulation) follow(name string) {
	gs, in := s.groupState(), s.find(name)
	if gs.Phase != wire.Phase_OPEN || name == gs.Primary || !in.up || !in.acceptTerm(gs.Term) || in.primary || in.following {
		return
	}
	if !s.disabled.truncation {
		in.log = in.log[:group.TruncatePosition(gs.Forks, in.lastTerm(), uint64(len(in.log)))]
	}
	in.following, in.source = true, gs.Primary
}

// loseDisk makes an instance lose all its data; it restarts with a new disk.
func (s *simulation) loseDisk(name string) {
	s.lostDisks++
	*s.find(name) = instance{name: name, diskID: fmt.Sprint(name, s.lostDisks+1), up: true}
}

// admit admits a new disk once it holds the whole log of the primary in the same term.
func (s *simulation) admit(name string) {
	in := s.find(name)
	if !in.following {
		return
	}
	src := s.find(in.source)
	if src.primary && src.term == in.term && len(in.log) == len(src.log) {
		s.apply(&wire.Command{Body: &wire.Command_Admit{Admit: &wire.AdmitDisk{Group: "g", Term: in.term, Instance: name, Disk: in.diskID}}})
	}
}

// replicate copies one log entry from the primary to an instance that follows it.
func (s *simulation) replicate(name string) {
	in := s.find(name)
	if !in.up || !in.following {
		return
	}
	src := s.find(in.source)
	if !src.up || !src.primary || src.term != in.term || len(src.log) <= len(in.log) {
		return
	}
	in.log = append(in.log, src.log[len(in.log)])
}

// write appends a write on the instance that is the primary in the holder's view.
func (s *simulation) write() {
	gs := s.holder.lastSeen
	if gs.GetPhase() != wire.Phase_OPEN || !s.holder.leaseValid {
		return
	}
	in := s.find(gs.Primary)
	if !in.up || !in.primary || in.term != gs.Term {
		return
	}
	s.nextValue++
	in.log = append(in.log, logEntry{in.term, s.nextValue})
	s.holder.pendingWrites[s.nextValue] = writePosition{in.term, uint64(len(in.log))}
}

// report sends an instance's current log status to the holder.
func (s *simulation) report(name string) {
	if in := s.find(name); in.up {
		s.holder.replicas[name] = group.ReplicaStatus{Name: name, Term: in.term, Position: uint64(len(in.log)), Following: in.following}
	}
}

// acknowledge acknowledges the pending writes that enough instances hold, according to the
// replicas' last reports to the holder.
func (s *simulation) acknowledge() {
	gs := s.holder.lastSeen
	if gs.GetPhase() != wire.Phase_OPEN || !s.holder.leaseValid {
		return
	}
	for value, position := range s.holder.pendingWrites {
		var replicas []group.ReplicaStatus
		for _, r := range s.holder.replicas {
			if s.disabled.termCheck {
				r.Term, r.Following = position.term, true
			}
			replicas = append(replicas, r)
		}
		if position.term != gs.Term || group.CopyCount(gs.Primary, position.term, position.position, replicas) < 2 {
			continue
		}
		delete(s.holder.pendingWrites, value)
		s.acked[value] = true
		s.checkAck(value, position)
	}
}

// checkAck records a violation if a later term already had a primary when the write was
// acknowledged.
func (s *simulation) checkAck(value int, position writePosition) {
	gs := s.groupState()
	replaced := gs.Term > position.term && (gs.Phase == wire.Phase_CHOSEN || gs.Phase == wire.Phase_OPEN)
	if replaced {
		s.addViolation("write %d of term %d was acknowledged while term %d had a primary", value, position.term, gs.Term)
	}
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
