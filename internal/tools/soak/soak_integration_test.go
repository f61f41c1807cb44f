package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

var (
	seed       = flag.Uint64("soak.seed", 1, "first seed")
	seeds      = flag.Uint64("soak.seeds", 2, "number of seeds")
	length     = flag.Duration("soak.length", 5*time.Second, "how long faults are injected")
	control    = flag.Int("soak.control", 3, "control hosts")
	entry      = flag.Int("soak.entry", 3, "entry hosts")
	writers    = flag.Int("soak.writers", 6, "callers that write")
	oddCallers = flag.Int("soak.odd", 3, "callers whose texts hold any bytes")
	stutter    = flag.Float64("soak.stutter", 0.05, "share of instances' answers that is sent a second time, in one run of three")
	binaryPath = flag.String("soak.binary", "", "host program; it is built if this is empty")
	keepDir    = flag.String("soak.keep", "", "folder for settings, data and logs that is kept")
)

// The flags of runs with planned work.
var (
	plannedLength  = flag.Duration("soak.planned.length", 8*time.Second, "how long hosts are signaled")
	plannedControl = flag.Bool("soak.planned.control", true, "signal control hosts too")
	plannedEntry   = flag.Int("soak.planned.entry", 4, "entry hosts")
	plannedRepeat  = flag.Bool("soak.planned.repeat", false, "signal hosts that are stopping")
	plannedPause   = flag.Bool("soak.planned.pause", false, "pause control hosts")
	plannedCallers = flag.Int("soak.planned.callers", 18, "callers that stay connected")
	plannedWriters = flag.Int("soak.planned.writers", 2, "callers that write")
	plannedKinds   = flag.String("soak.planned.kinds", "", "kinds of callers, separated by commas")
	plannedSlots   = flag.Int("soak.planned.slots", 0, "statements that an instance runs at once; 0 is drawn from the seed")
	statementTime  = flag.Duration("soak.planned.statement", 0, "time of a statement; 0 is drawn from the seed")
)

// TestSoak runs the seeds of the command line. Seed 2001 with 5 control and 60 entry hosts, 30
// writers and 10 s once failed because the check reported a stale read when a write that may have
// run took effect late; TestChecksDetectViolations covers that case.
func TestSoak(t *testing.T) {
	binary := build(t)
	for i := range *seeds {
		opt := soak.Options{ControlHosts: *control, EntryHosts: *entry, Writers: *writers, FaultDuration: *length, OddCallers: *oddCallers}
		if (*seed+i)%3 == 1 {
			opt.Stutter = *stutter
		}
		runSeed(t, binary, *seed+i, opt)
	}
}

// TestNoAnswerIsCutAtAShutdown guards against answers that are cut when a host stops or reloads.
func TestNoAnswerIsCutAtAShutdown(t *testing.T) {
	binary := build(t)
	p := soak.Planned{Control: *plannedControl, Repeat: *plannedRepeat, Pause: *plannedPause, Callers: *plannedCallers, StatementTime: *statementTime, Slots: *plannedSlots}
	if *plannedKinds != "" {
		p.Kinds = strings.Split(*plannedKinds, ",")
	}
	for i := range *seeds {
		runSeed(t, binary, *seed+i, soak.Options{ControlHosts: *control, EntryHosts: *plannedEntry, Writers: *plannedWriters, FaultDuration: *plannedLength, Planned: &p})
	}
}

// TestStatementsAndRowsKeepTheirBytes guards against statements and rows that are cut or split at a byte of their
// own.
func TestStatementsAndRowsKeepTheirBytes(t *testing.T) {
	binary := build(t)
	for i := range *seeds {
		rep := runSeed(t, binary, *seed+i, soak.Options{ControlHosts: *control, EntryHosts: *entry, Writers: *writers, FaultDuration: *length, Calm: true, OddCallers: 5})
		if failed := rep.OddFailed(); rep.Odd < 500 || failed*100 > rep.Odd {
			t.Errorf("seed %d: %d odd statements succeeded, want 500, and %d failed, at most a hundredth may", rep.Seed, rep.Odd, failed)
		}
	}
}

// TestSecondAnswersReachNobody guards against the second answer of an instance that is taken for the answer to
// another statement.
func TestSecondAnswersReachNobody(t *testing.T) {
	binary := build(t)
	for i := range *seeds {
		rep := runSeed(t, binary, *seed+i, soak.Options{ControlHosts: *control, EntryHosts: *entry, Writers: *writers, FaultDuration: *length, Calm: true, Stutter: 0.1, PlainCallers: 4})
		if rep.SecondAnswers < 100 {
			t.Errorf("seed %d: %d second answers were sent, want 100", rep.Seed, rep.SecondAnswers)
		}
	}
}

// build builds the host program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	if *binaryPath != "" {
		return *binaryPath
	}
	binary := filepath.Join(t.TempDir(), "agatespindle-node")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/agatespindle/agatespindle/cmd/agatespindle-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func runSeed(t *testing.T, binary string, seedNumber uint64, opt soak.Options) soak.Report {
	t.Helper()
	dir := t.TempDir()
	if *keepDir != "" {
		dir = filepath.Join(*keepDir, fmt.Sprint(seedNumber))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	opt.Seed, opt.Binary, opt.Dir, opt.Logf = seedNumber, binary, dir, t.Logf
	opt.AddrPrefix = fmt.Sprintf("127.%d.%d.", 230+os.Getpid()%20, 1+seedNumber%250)
	rep, err := soak.Run(context.Background(), opt)
	if err != nil {
		t.Fatalf("seed %d: %v", seedNumber, err)
	}
	t.Log(rep)
	work := rep.Acked
	if opt.Planned != nil {
		work = rep.Answered
	}
	for _, s := range rep.Excused {
		t.Log(s)
	}
	if len(rep.Violations) > 0 || work < 100 {
		t.Errorf("seed %d failed", seedNumber)
	}
	return rep
}
