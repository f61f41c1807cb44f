// Package soak runs the real programs as processes of their own on loopback, harms them from
// outside by signals and relays, and checks what callers and instances see of the promises. A
// seed gives the order of faults; what falls between them depends on the machine.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/clock"
)

const (
	// notesAge and partsAge are how old answers of the databases may be.
	notesAge = 2500 * time.Millisecond
	partsAge = 1500 * time.Millisecond
	// settleLimit bounds the first start, and the recovery at the end.
	settleLimit = 20 * time.Second
	// maxConnections is the number of connections that an instance accepts.
	maxConnections = 16
	// poll is the interval at which conditions are looked at.
	poll = 50 * time.Millisecond
)

// Options are those of a run.
type Options struct {
	Seed uint64
	// Binary is the program of a host.
	Binary string
	// Dir takes settings, disks and logs.
	Dir string
	// Prefix is the first three numbers of the run's loopback addresses, with a dot at the end.
	Prefix  string
	Control int
	Entry   int
	Writers int
	// Length is how long faults come.
	Length time.Duration
	// Say, where set, is told of each fault.
	Say func(format string, args ...any)
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Faults   int
	Acked    int
	Promised int
	Doubt    int
	Reads    int
	// Broken are the promises that were broken.
	Broken []string
}

// run is a run under way.
type run struct {
	Options
	rng     *rand.Rand
	control []*host
	entry   []*host
	group   *mimic.Group
	cloud   *mimic.Cloud
	relays  []*relay
	crowd   crowd
	number  uint64
	faults  int
	crashed bool
	undo    []undo
}

// undo ends a fault at a moment.
type undo struct {
	at time.Time
	do func()
}

// Run plays one seed.
func Run(ctx context.Context, opt Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0))}
	defer r.end(cancel)
	if r.Say == nil {
		r.Say = func(string, ...any) {}
	}
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	if err := r.settle(ctx); err != nil {
		return Report{}, err
	}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	r.crowd.start(calls, opt.Seed, opt.Writers)
	r.play(ctx)
	err := r.settle(ctx)
	stop()
	r.crowd.wg.Wait()
	rep := r.report()
	if err != nil {
		rep.Broken = append(rep.Broken, "no recovery after the last fault: "+err.Error())
	}
	return rep, nil
}

func (r *run) start(ctx context.Context) error {
	r.group = &mimic.Group{
		Name: "ledger", Lag: 30 * time.Millisecond, PromotionDelay: 150 * time.Millisecond, MaxConns: maxConnections,
		Slots: 2, QueueLimit: 16, StatementTime: 2 * time.Millisecond,
	}
	var err error
	if r.cloud, err = mimic.StartCloud(r.group, r.Prefix+"250:8783", r.rng.IntN(2) == 0); err != nil {
		return err
	}
	var seeds, control []string
	for i := range r.Control {
		h := &host{name: fmt.Sprint("core-", i), ip: fmt.Sprint(r.Prefix, 1+i), serves: "control", dir: r.Dir, binary: r.Binary}
		r.control = append(r.control, h)
		control = append(control, addr(h.ip, portControl))
	}
	seeds = control[:min(3, len(control))]
	for i := range r.Entry {
		h := &host{name: fmt.Sprint("edge-", i), ip: fmt.Sprint(r.Prefix, 50+i), serves: "edge", dir: r.Dir, binary: r.Binary}
		r.entry = append(r.entry, h)
		r.crowd.fronts = append(r.crowd.fronts, addr(h.ip, portFront))
	}
	if err := r.instances(ctx, control); err != nil {
		return err
	}
	for _, h := range r.hosts() {
		if err := h.settings(seeds, r.cloud.Addr, true); err != nil {
			return err
		}
		if err := h.run(ctx); err != nil {
			return err
		}
	}
	return r.restartable(seeds)
}

// restartable rewrites the settings: a process that starts again founds nothing.
func (r *run) restartable(seeds []string) error {
	time.Sleep(time.Second)
	for _, h := range r.hosts() {
		if err := h.settings(seeds, r.cloud.Addr, false); err != nil {
			return err
		}
	}
	return nil
}

// instances starts three instances, each behind a relay, whose address it announces.
func (r *run) instances(ctx context.Context, control []string) error {
	for i := range 3 {
		in, err := r.group.Start(fmt.Sprint("i-", i), fmt.Sprintf("%s%d:8069", r.Prefix, 200+i), "a")
		if err != nil {
			return err
		}
		in.AnnouncedAddr = fmt.Sprintf("%s%d:8069", r.Prefix, 210+i)
		one, err := startRelay(ctx, in.AnnouncedAddr, in.Addr)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, one)
		in.Announce(ctx, append(control[i%len(control):len(control):len(control)], control...), 200*time.Millisecond)
	}
	return nil
}

func (r *run) hosts() []*host { return append(append([]*host(nil), r.control...), r.entry...) }

// declaration returns a body with a number.
func declaration(number uint64) []byte {
	route := func(host, kind string, stale time.Duration) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": 800, "target_latency_ms": 200,
			"prio": 1, "service": "ledger", "max_attempts": 2, "max_staleness_ms": stale.Milliseconds(),
		}
	}
	b, err := json.Marshal(map[string]any{
		"version":  number,
		"routes":   []map[string]any{route("orders", "primary", 0), route("notes", "read_your_writes", notesAge), route("parts", "bounded_staleness", partsAge)},
		"services": []map[string]any{{"name": "ledger", "max_conns": maxConnections, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// declare sends the next declaration to a control host.
func (r *run) declare(ctx context.Context, h *host) bool {
	r.number++
	began := time.Now()
	if mimic.Post(ctx, "http://"+addr(h.ip, portControl)+"/config/replace", declaration(r.number)) != nil {
		return false
	}
	r.crowd.mu.Lock()
	defer r.crowd.mu.Unlock()
	r.crowd.history.Declared = append(r.crowd.history.Declared, Version{h.name, r.number, began, time.Now()})
	return true
}

// readBack reads the declaration that a control host holds.
func (r *run) readBack(h *host) {
	client := http.Client{Timeout: time.Second}
	began := time.Now()
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
	r.crowd.mu.Lock()
	defer r.crowd.mu.Unlock()
	r.crowd.history.Held = append(r.crowd.history.Held, Version{h.name, body.Version, began, time.Now()})
}

// settle waits until every entry host serves a write and a declaration is taken.
func (r *run) settle(ctx context.Context) error {
	end := time.Now().Add(settleLimit)
	for !r.declare(ctx, r.control[0]) {
		if time.Now().After(end) {
			return fmt.Errorf("no declaration was taken within %s", settleLimit)
		}
		time.Sleep(poll)
	}
	for i, front := range r.crowd.fronts {
		for n := 0; !serves(front, fmt.Sprintf("s%d-%d-%d", r.number, i, n)); n++ {
			if time.Now().After(end) {
				return fmt.Errorf("host %s serves no write within %s", r.entry[i].name, settleLimit)
			}
			time.Sleep(poll)
		}
	}
	return nil
}

func serves(front, id string) bool {
	s, err := openSession(front, "orders")
	if err != nil {
		return false
	}
	defer s.conn.Close()
	_, out, _ := s.ask(id, "WRITE settle 1")
	return out == Acked
}

// play lets faults come and go until the run's length is over.
func (r *run) play(ctx context.Context) {
	end := time.Now().Add(r.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.fault(ctx)
		clock.Sleep(ctx, time.Duration(100+r.rng.IntN(700))*time.Millisecond)
		r.expire(time.Now())
		r.readBack(r.control[r.rng.IntN(len(r.control))])
	}
	r.expire(time.Now().Add(time.Hour))
}

// expire ends the faults whose time is over.
func (r *run) expire(now time.Time) {
	var rest []undo
	for _, u := range r.undo {
		if now.Before(u.at) {
			rest = append(rest, u)
			continue
		}
		u.do()
	}
	r.undo = rest
}

// after ends a fault within a second and a half.
func (r *run) after(do func()) {
	r.undo = append(r.undo, undo{time.Now().Add(time.Duration(200+r.rng.IntN(1300)) * time.Millisecond), do})
}

// fault draws one fault. Fewer than half of the control hosts are harmed by one draw.
func (r *run) fault(ctx context.Context) {
	hosts := r.hosts()
	h := hosts[r.rng.IntN(len(hosts))]
	one := r.relays[r.rng.IntN(len(r.relays))]
	r.faults++
	switch kind := r.rng.IntN(10); kind {
	case 0, 1:
		r.Say("kill %s", h.name)
		h.signal(syscall.SIGKILL)
	case 2:
		r.Say("pause %s", h.name)
		h.signal(syscall.SIGSTOP)
		r.after(func() { h.signal(syscall.SIGCONT) })
	case 3:
		r.Say("stop %s", h.name)
		h.signal(syscall.SIGTERM)
	case 4:
		r.Say("reload %s", h.name)
		h.signal(syscall.SIGHUP)
	case 5, 6:
		mode := Mode(1 + r.rng.IntN(3))
		r.Say("relay to %s: mode %d", one.target, mode)
		one.set(mode)
		r.after(func() { one.set(Pass) })
	case 7:
		r.Say("reset connections to %s", one.target)
		one.reset()
	case 8:
		r.Say("declare %d at %s", r.number+1, h.name)
		r.declare(ctx, r.control[r.rng.IntN(len(r.control))])
	case 9:
		r.harm()
	}
}

// harm lets the primary lose answers, or crash once.
func (r *run) harm() {
	leader := r.group.Instance(r.group.Primary())
	if r.crashed || r.rng.IntN(2) == 0 {
		r.Say("%s loses answers", leader.Name)
		leader.DropResponses(2)
		return
	}
	r.Say("%s crashes", leader.Name)
	r.crashed = true
	leader.Crash()
}

func (r *run) report() Report {
	h := r.crowd.history
	rep := Report{Seed: r.Seed, Faults: r.faults, Reads: len(h.Reads), Broken: h.Check(r.group.WriteCount, r.group.WriteIndex)}
	for _, w := range h.Writes {
		switch w.Outcome {
		case Acked:
			rep.Acked++
		case Promised:
			rep.Promised++
		default:
			rep.Doubt++
		}
	}
	if n := r.group.PeakConns(); n > maxConnections {
		rep.Broken = append(rep.Broken, fmt.Sprintf("%d connections to an instance", n))
	}
	return rep
}

// end ends all that the run started.
func (r *run) end(cancel context.CancelFunc) {
	cancel()
	for _, h := range r.hosts() {
		if h.done != nil {
			<-h.done
		}
	}
	if r.cloud != nil {
		r.cloud.Close()
	}
	if r.group != nil {
		for i := range r.relays {
			if in := r.group.Instance(fmt.Sprint("i-", i)); in != nil && !in.Crashed() {
				in.Crash()
			}
		}
	}
}

// String returns the report on one line.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d acknowledged, %d refused as not run, %d in doubt, %d reads, %d promises broken",
		r.Seed, r.Faults, r.Acked, r.Promised, r.Doubt, r.Reads, len(r.Broken))
	if len(r.Broken) > 0 {
		text += "\n  " + strings.Join(r.Broken[:min(len(r.Broken), 10)], "\n  ")
	}
	return text
}
