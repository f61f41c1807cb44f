// Package soak runs the real programs as separate processes on loopback, injects faults with signals
// and relays, and checks the consistency guarantees against what callers and instances observe. The
// seed determines the sequence of faults; their timing relative to requests depends on the machine.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
)

const (
	// notesAge and partsAge are the maximum staleness of reads from the databases "notes" and "parts".
	notesAge = 2500 * time.Millisecond
	partsAge = 1500 * time.Millisecond
	// healthyTimeout limits waiting for the first start and for recovery after the last fault.
	healthyTimeout = 20 * time.Second
	// maxConnections is the number of connections that an instance accepts.
	maxConnections = 16
	// leaveBound is how long after its announcement an instance that leaves may get new requests. It is
	// short, so that it passes several times in a run.
	leaveBound = 2 * time.Second
	// maxListed is the number of violations of each kind that a report lists.
	maxListed = 8
	// stutterDelay limits how late a second answer comes.
	stutterDelay = 400 * time.Millisecond
	// statementTime is how long a statement takes, except in runs with planned work.
	statementTime = 2 * time.Millisecond
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// Options configures a soak run.
type Options struct {
	// Seed determines the sequence of faults.
	Seed uint64
	// Binary is the path of the host program.
	Binary string
	// Dir is the folder for settings files, data folders and logs.
	Dir string
	// AddrPrefix is the first three numbers of the run's loopback addresses with a trailing dot, for
	// instance "127.0.1.".
	AddrPrefix string
	// ControlHosts, EntryHosts and Writers are the numbers of hosts and of callers that write.
	ControlHosts int
	EntryHosts   int
	Writers      int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// OddCallers is the number of callers whose texts hold any bytes that the protocol allows.
	OddCallers int
	// PlainCallers is the number of callers that run the same operations with plain texts.
	PlainCallers int
	// Stutter is the share of the instances' answers that is sent a second time. If it is set, instances also
	// refuse all work for a moment now and then.
	Stutter float64
	// Calm has no other faults injected.
	Calm bool
	// Planned, if set, replaces the random faults by planned work.
	Planned *Planned
	// Logf, if set, logs each fault.
	Logf func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Faults is the number of injected faults.
	Faults int
	// Acked, NotRun and MayHaveRun are the numbers of writes with each outcome.
	Acked      int
	NotRun     int
	MayHaveRun int
	// Reads is the number of successful reads.
	Reads int
	// Answered is the number of statements with a complete answer.
	Answered int
	// Odd is the number of successful statements of callers whose texts hold any bytes.
	Odd int
	// OddErrors are the numbers of their errors by code, OddMissing is the number of missing answers.
	OddErrors  map[string]int
	OddMissing int
	// SecondAnswers is the number of answers that instances sent a second time.
	SecondAnswers int
	// Excused describes the answers cut around planned work for which an exception holds.
	Excused []string
	// Violations describes each violated guarantee.
	Violations []string
}

// run is the state of a soak run.
type run struct {
	Options
	rng      *rand.Rand
	releases releases
	accounts *accounts
	plan     plan
	control  []*host
	entry    []*host
	group    *mimic.Group
	cloud    *mimic.Cloud
	relays   []*relay
	// instances are the instances behind the relays, the latest one behind each.
	instances [3]*mimic.Instance
	// started are all instances that were started.
	started       []*mimic.Instance
	workload      workload
	configVersion uint64 // version of the configuration sent last
	faults        int
	// refusals draws which instances refuse work.
	refusals       *rand.Rand
	primaryCrashed bool
	recoveries     []recovery
}

// recovery is the scheduled end of a fault.
type recovery struct {
	at  time.Time
	end func()
}

// Run runs the programs with the faults of opt.Seed. It returns an error if the deployment does not
// start; violations and a failed recovery are in the report.
func Run(ctx context.Context, opt Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0)), releases: releases{rng: rand.New(rand.NewPCG(opt.Seed, 1))}}
	r.plan = plan{rng: rand.New(rand.NewPCG(opt.Seed, 2)), stopping: map[*host]*os.Process{}}
	r.refusals = rand.New(rand.NewPCG(opt.Seed, 5))
	r.accounts = newAccounts(opt.Seed)
	r.workload.accounts = r.accounts != nil
	defer r.shutDown(cancel)
	if r.Logf == nil {
		r.Logf = func(string, ...any) {}
	}
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	if err := r.waitHealthy(ctx); err != nil {
		return Report{}, err
	}
	workloadCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.workload.stay = r.Planned != nil
	r.workload.start(workloadCtx, opt.Seed, opt.Writers)
	r.workload.startOdd(workloadCtx, opt.Seed, opt.OddCallers, opt.PlainCallers)
	if r.accounts != nil {
		r.declareAccounts(ctx)
		r.workload.startHot(workloadCtx, opt.Seed)
	}
	if r.Planned != nil {
		r.workload.startPlanned(workloadCtx, opt.Seed, *r.Planned)
		r.runPlan(ctx)
		stop()
		r.workload.wg.Wait()
	} else {
		r.injectFaults(ctx)
	}
	err := r.waitHealthy(ctx)
	stop()
	r.workload.wg.Wait()
	rep := r.report()
	if err != nil {
		rep.Violations = append(rep.Violations, "no recovery after the last fault: "+err.Error())
	}
	return rep, nil
}

// start starts the simulated database group and the host processes.
func (r *run) start(ctx context.Context) error {
	r.group = &mimic.Group{
		Name: "ledger", Lag: 30 * time.Millisecond, PromotionDelay: 150 * time.Millisecond, MaxConns: maxConnections,
		Slots: 2, QueueLimit: 16, StatementTime: statementTime, LeaveBound: leaveBound, RecordRuns: true,
	}
	if r.OddCallers+r.PlainCallers > 0 {
		r.workload.initial = oddItems(r.Seed)
		r.group.Initial = r.workload.initial
	}
	if r.Planned != nil {
		r.Planned.slowDown(r.group, r.plan.rng)
	}
	var err error
	if r.cloud, err = mimic.StartCloud(r.group, r.AddrPrefix+"250:8783", r.rng.IntN(2) == 0); err != nil {
		return err
	}
	for i := range r.ControlHosts {
		h := &host{name: fmt.Sprint("core-", i), ip: fmt.Sprint(r.AddrPrefix, 1+i), role: "control", dir: r.Dir, binary: r.Binary}
		r.control = append(r.control, h)
	}
	seeds := r.controlAddrs()[:min(3, r.ControlHosts)]
	for i := range r.EntryHosts {
		h := &host{name: fmt.Sprint("edge-", i), ip: fmt.Sprint(r.AddrPrefix, 50+i), role: "edge", dir: r.Dir, binary: r.Binary}
		r.entry = append(r.entry, h)
		r.workload.callerAddrs, r.workload.hostNames = append(r.workload.callerAddrs, addr(h.ip, portCallers)), append(r.workload.hostNames, h.name)
	}
	if err := r.startInstances(ctx); err != nil {
		return err
	}
	for _, h := range r.allHosts() {
		if err := h.writeSettings(seeds, r.cloud.Addr, true); err != nil {
			return err
		}
		if err := h.supervise(ctx); err != nil {
			return err
		}
	}
	return r.disableBootstrap(seeds)
}

// disableBootstrap rewrites the settings so that a restarted process does not bootstrap a new
// deployment.
func (r *run) disableBootstrap(seeds []string) error {
	time.Sleep(time.Second)
	for _, h := range r.allHosts() {
		if err := h.writeSettings(seeds, r.cloud.Addr, false); err != nil {
			return err
		}
	}
	return nil
}

// startInstances starts three instances, each behind a relay. They announce the relay's address.
func (r *run) startInstances(ctx context.Context) error {
	for i := range 3 {
		target := fmt.Sprintf("%s%d:8069", r.AddrPrefix, 200+i)
		rl, err := startRelay(ctx, fmt.Sprintf("%s%d:8069", r.AddrPrefix, 210+i), target)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, rl)
		if err := r.startInstance(ctx, fmt.Sprint("i-", i), i); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts an instance behind relay i, which sends its heartbeats to the control hosts.
func (r *run) startInstance(ctx context.Context, name string, i int) error {
	instance, err := r.group.Start(name, r.relays[i].target, "a")
	if err != nil {
		return err
	}
	instance.HeartbeatAddr = r.relays[i].ln.Addr().String()
	instance.SetStutter(mimic.Stutter{Share: r.Stutter, MaxDelay: stutterDelay}, r.Seed+uint64(i))
	r.instances[i] = instance
	r.started = append(r.started, instance)
	control := r.controlAddrs()
	instance.SendHeartbeats(ctx, append(control[i%len(control):len(control):len(control)], control...), 200*time.Millisecond)
	return nil
}

// controlAddrs returns the addresses at which control hosts serve instances and operators.
func (r *run) controlAddrs() []string {
	var list []string
	for _, h := range r.control {
		list = append(list, addr(h.ip, portControl))
	}
	return list
}

func (r *run) allHosts() []*host { return append(append([]*host(nil), r.control...), r.entry...) }

// configBody returns the JSON of a configuration with the given version, connections per instance and client
// accounts.
func configBody(version uint64, maxConns int, accounts []map[string]any) []byte {
	route := func(host, kind string, maxStaleness time.Duration) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": routeTimeout.Milliseconds(), "target_latency_ms": 200,
			"prio": 1, "service": "ledger", "max_attempts": 2, "max_staleness_ms": maxStaleness.Milliseconds(),
		}
	}
	b, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("orders", "primary", 0), route("notes", "read_your_writes", notesAge), route("parts", "bounded_staleness", partsAge)},
		"services": []map[string]any{{"name": "ledger", "max_conns": maxConns, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
		"tenants":  accounts,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// replaceConfig sends a configuration with the next version to a control host and reports whether it
// was accepted.
func (r *run) replaceConfig(ctx context.Context, h *host) bool {
	r.configVersion++
	sentAt := time.Now()
	if mimic.Post(ctx, "http://"+addr(h.ip, portControl)+"/config/replace", configBody(r.configVersion, r.group.MaxConns, r.accounts.declaration())) != nil {
		return false
	}
	r.workload.mu.Lock()
	defer r.workload.mu.Unlock()
	r.workload.history.AckedConfigs = append(r.workload.history.AckedConfigs, ConfigVersion{h.name, r.configVersion, sentAt, time.Now()})
	return true
}

// readConfig records the version of the configuration that a control host returns, if it answers.
func (r *run) readConfig(h *host) {
	client := http.Client{Timeout: time.Second}
	sentAt := time.Now()
	resp, err := client.Get("http://" + addr(h.ip, portControl) + "/config/get")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var body struct {
		Version uint64 `json:"version"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&body) != nil {
		return
	}
	r.workload.mu.Lock()
	defer r.workload.mu.Unlock()
	r.workload.history.ReadConfigs = append(r.workload.history.ReadConfigs, ConfigVersion{h.name, body.Version, sentAt, time.Now()})
}

// waitHealthy waits until the first control host accepts a configuration and every entry host accepts
// a write.
func (r *run) waitHealthy(ctx context.Context) error {
	deadline := time.Now().Add(healthyTimeout)
	for !r.replaceConfig(ctx, r.control[0]) {
		if time.Now().After(deadline) {
			return fmt.Errorf("no configuration accepted within %s", healthyTimeout)
		}
		time.Sleep(pollInterval)
	}
	for i := range r.entry {
		for n := 0; !r.workload.acceptsWrite(i, fmt.Sprintf("s%d-%d-%d", r.configVersion, i, n)); n++ {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s acknowledged no write within %s", r.entry[i].name, healthyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// acceptsWrite reports whether an entry host acknowledges a write.
func (wl *workload) acceptsWrite(host int, id string) bool {
	s, err := wl.openSession(host, "orders", "probe")
	if err != nil {
		return false
	}
	defer s.conn.Close()
	_, out, _ := s.query(id, "WRITE settle 1")
	return out == Acked
}

// injectFaults injects faults and ends them until FaultDuration has passed.
func (r *run) injectFaults(ctx context.Context) {
	end := time.Now().Add(r.FaultDuration)
	for time.Now().Before(end) && ctx.Err() == nil {
		if r.Stutter > 0 {
			r.refuseWork(ctx)
		}
		if r.Calm {
			clock.Sleep(ctx, pollInterval)
			continue
		}
		r.injectFault(ctx)
		r.releasePrimary(ctx, time.Now())
		r.changeAccounts(ctx)
		clock.Sleep(ctx, time.Duration(100+r.rng.IntN(700))*time.Millisecond)
		r.runDueRecoveries(time.Now())
		r.readConfig(r.control[r.rng.IntN(len(r.control))])
	}
	r.runDueRecoveries(time.Now().Add(time.Hour))
}

// refuseWork has one instance refuse all work for a moment.
func (r *run) refuseWork(ctx context.Context) {
	in := r.instances[r.refusals.IntN(len(r.instances))]
	in.SetOverloaded(true)
	clock.Sleep(ctx, time.Duration(r.refusals.Int64N(int64(pollInterval))))
	in.SetOverloaded(false)
}

// runDueRecoveries ends the faults whose recovery is due at now.
func (r *run) runDueRecoveries(now time.Time) {
	var pending []recovery
	for _, rec := range r.recoveries {
		if now.Before(rec.at) {
			pending = append(pending, rec)
			continue
		}
		rec.end()
	}
	r.recoveries = pending
}

// scheduleRecovery schedules the end of a fault of a host, or of any if it is empty, after 200 to
// 1500 ms.
func (r *run) scheduleRecovery(host string, end func()) {
	r.recoveries = append(r.recoveries, recovery{time.Now().Add(time.Duration(200+r.rng.IntN(1300)) * time.Millisecond), func() {
		r.recordFault(host)
		end()
	}})
}

// recordFault adds the start or the end of a fault to the history. host is empty if it may affect every
// statement.
func (r *run) recordFault(host string) {
	r.workload.mu.Lock()
	defer r.workload.mu.Unlock()
	r.workload.history.Faults = append(r.workload.history.Faults, Fault{host, time.Now()})
}

// pause pauses a host for a while.
func (r *run) pause(h *host) {
	r.faults++
	r.Logf("pause %s with SIGSTOP", h.name)
	r.recordFault(h.touches())
	h.signal(syscall.SIGSTOP)
	r.scheduleRecovery(h.touches(), func() { h.signal(syscall.SIGCONT) })
}

// injectFault injects one random fault. It affects at most one host, so fewer than half of three or
// more control hosts; faults that have not ended yet may affect others.
func (r *run) injectFault(ctx context.Context) {
	hosts := r.allHosts()
	h := hosts[r.rng.IntN(len(hosts))]
	rl := r.relays[r.rng.IntN(len(r.relays))]
	r.faults++
	switch kind := r.rng.IntN(10); kind {
	case 0, 1:
		r.Logf("send SIGKILL to %s", h.name)
		r.recordFault(h.touches())
		h.signal(syscall.SIGKILL)
	case 2:
		r.pause(h)
	case 3:
		r.Logf("send SIGTERM to %s", h.name)
		r.workload.recordSignal(Signal{h.name, syscall.SIGTERM, time.Now()})
		h.signal(syscall.SIGTERM)
	case 4:
		r.Logf("reload %s with SIGHUP", h.name)
		r.workload.recordSignal(Signal{h.name, syscall.SIGHUP, time.Now()})
		h.signal(syscall.SIGHUP)
	case 5, 6:
		mode := RelayMode(1 + r.rng.IntN(3))
		r.Logf("relay to %s: mode %d", rl.target, mode)
		r.recordFault("")
		rl.setMode(mode)
		r.scheduleRecovery("", func() { rl.setMode(Forward) })
	case 7:
		r.Logf("reset connections to %s", rl.target)
		r.recordFault("")
		rl.resetConns()
	case 8:
		r.Logf("replace configuration with version %d at %s", r.configVersion+1, h.name)
		r.replaceConfig(ctx, r.control[r.rng.IntN(len(r.control))])
	case 9:
		r.injectPrimaryFault()
	}
}

// injectPrimaryFault makes the primary drop answers or, at most once in a run, crash.
func (r *run) injectPrimaryFault() {
	primary := r.group.Instance(r.group.Primary())
	if r.primaryCrashed || r.rng.IntN(2) == 0 {
		r.Logf("drop answers of primary %s", primary.Name)
		primary.DropResponses(2)
		return
	}
	r.recordFault("")
	r.Logf("crash primary %s", primary.Name)
	r.primaryCrashed = true
	primary.Crash()
}

// report checks the history and returns the counts and the violations.
func (r *run) report() Report {
	h := r.workload.history
	rep := Report{Seed: r.Seed, Faults: r.faults, Reads: len(h.Reads), OddErrors: map[string]int{}}
	for i, s := range h.Statements {
		if s.Ending == Answered {
			rep.Answered++
		}
		if s.Caller == kindOdd {
			rep.countOdd(s)
		}
		h.Statements[i].Runs = r.group.Runs(s.ID)
	}
	h.Runs, h.Committed, h.Strays = r.group.AllRuns(), r.group.Committed(), r.group.Strays()
	for _, in := range r.started {
		rep.SecondAnswers += in.SecondAnswers()
	}
	rep.Violations = h.Check(r.group.WriteCount, r.group.WriteIndex)
	_, rep.Excused = h.judgeCuts()
	for _, w := range h.Writes {
		switch w.Outcome {
		case Acked:
			rep.Acked++
		case NotRun:
			rep.NotRun++
		default:
			rep.MayHaveRun++
		}
	}
	rep.Violations = append(rep.Violations, r.group.LateRequests()...)
	rep.Violations = append(rep.Violations, r.leakedKeys()...)
	if n := r.group.PeakConns(); n > r.group.MaxConns {
		rep.Violations = append(rep.Violations, fmt.Sprintf("%d simultaneous connections to an instance exceed its limit", n))
	}
	return rep
}

// countOdd counts a statement of a caller whose texts hold any bytes.
func (r *Report) countOdd(s Statement) {
	switch {
	case s.Ending != Answered:
		r.OddMissing++
	case s.Outcome == Acked:
		r.Odd++
	default:
		r.OddErrors[s.Error]++
	}
}

// OddFailed returns how many statements of callers whose texts hold any bytes got no answer or an error, except
// BUSY.
func (r Report) OddFailed() int {
	n := r.OddMissing - r.OddErrors["BUSY"]
	for _, m := range r.OddErrors {
		n += m
	}
	return n
}

// shutDown stops everything that the run started.
func (r *run) shutDown(cancel context.CancelFunc) {
	cancel()
	for _, h := range r.allHosts() {
		if h.done != nil {
			<-h.done
		}
	}
	if r.cloud != nil {
		r.cloud.Close()
	}
	if r.group != nil {
		for _, instance := range r.instances {
			if instance != nil && !instance.Crashed() {
				instance.Crash()
			}
		}
	}
}

// String returns the counts on one line, followed by the violations, one a line: the first of each kind, up to
// maxListed, and how many more there are.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d acknowledged, %d not run, %d may have run, %d reads, %d statements answered, %d odd ones acknowledged, %d missing, errors %v, %d second answers, %d answers cut with an excuse, %d violations",
		r.Seed, r.Faults, r.Acked, r.NotRun, r.MayHaveRun, r.Reads, r.Answered, r.Odd, r.OddMissing, r.OddErrors, r.SecondAnswers, len(r.Excused), len(r.Violations))
	counts := map[string]int{}
	for _, v := range r.Violations {
		kind := v[:strings.IndexAny(v+":", ":\"0123456789")]
		if counts[kind]++; counts[kind] <= maxListed {
			text += "\n  " + v
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		if counts[kind] > maxListed {
			text += fmt.Sprintf("\n  %s: %d in all", kind, counts[kind])
		}
	}
	return text
}
