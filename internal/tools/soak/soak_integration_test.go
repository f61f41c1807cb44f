package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

var (
	seed    = flag.Uint64("soak.seed", 1, "first seed")
	seeds   = flag.Uint64("soak.seeds", 2, "number of seeds")
	length  = flag.Duration("soak.length", 5*time.Second, "how long faults come")
	control = flag.Int("soak.control", 3, "control hosts")
	entry   = flag.Int("soak.entry", 3, "entry hosts")
	writers = flag.Int("soak.writers", 6, "callers that write")
	keep    = flag.String("soak.keep", "", "folder that keeps the logs")
)

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	2001: "a read sent to the next primary before its term opened was taken for one at the primary (with 5 control and 60 entry hosts)",
}

// TestSoak plays the seeds that once failed, and those of the command line.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "agatespindle-node")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/agatespindle/agatespindle/cmd/agatespindle-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for one := range regressions {
		play(t, binary, one)
	}
	for i := range *seeds {
		play(t, binary, *seed+i)
	}
}

func play(t *testing.T, binary string, one uint64) {
	t.Helper()
	dir := t.TempDir()
	if *keep != "" {
		dir = filepath.Join(*keep, fmt.Sprint(one))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	opt := soak.Options{
		Seed: one, Binary: binary, Dir: dir, Prefix: fmt.Sprintf("127.%d.%d.", 230+os.Getpid()%20, 1+one%250),
		Control: *control, Entry: *entry, Writers: *writers, Length: *length, Say: t.Logf,
	}
	rep, err := soak.Run(context.Background(), opt)
	if err != nil {
		t.Fatalf("seed %d: %v", one, err)
	}
	t.Log(rep)
	if len(rep.Broken) > 0 || rep.Acked < 100 {
		t.Errorf("seed %d failed", one)
	}
}
