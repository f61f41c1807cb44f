// Package crowd_test plays callers, operators and hosts that do not behave against the system's own
// processes. The checks do not depend on the speed of the machine: the processes live, their memory and
// descriptors stay under their bounds, and an ordinary request is answered afterwards.
package crowd_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// bound is what a process may take: its settings say so, and it must keep it.
type bound struct {
	// memoryMB is its resident memory in MiB, and files the number of its descriptors.
	memoryMB, files int
}

// The bounds of the processes that face a crowd, and those of the platform's example.
var (
	lowered = bound{memoryMB: 96, files: maxFiles}
	usual   = bound{memoryMB: 284, files: 4600}
)

// maxFiles is the number of descriptors of processes that face a crowd.
const maxFiles = 700

const (
	// startTimeout limits the start of a deployment, and answerTimeout the wait for the ordinary request.
	startTimeout  = 60 * time.Second
	answerTimeout = 60 * time.Second
	// pollInterval is the interval at which descriptors are counted and conditions checked.
	pollInterval = 20 * time.Millisecond
	// stopTimeout limits the end of a process after SIGTERM. A process ends only once its last write is on the
	// disk, which may take long on a busy machine.
	stopTimeout = time.Minute
)

// binaries are the paths of the programs that are built, by package.
var (
	buildMu  sync.Mutex
	binaries = map[string]string{}
)

// program replaces the host program on the platform, to show a fault of an earlier one.
var program = flag.String("crowd.program", "", "host program on the platform; it is built if this is empty")

// build builds a program of this module and returns its path.
func build(t *testing.T, pkg string) string {
	t.Helper()
	if *program != "" && strings.HasSuffix(pkg, "-node") {
		return *program
	}
	buildMu.Lock()
	defer buildMu.Unlock()
	if path, ok := binaries[pkg]; ok {
		return path
	}
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "program")
	if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", pkg, err, out)
	}
	binaries[pkg] = path
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	for _, path := range binaries {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// oneAtATime holds a lock that other processes' crowds respect until the end of the test.
func oneAtATime(t *testing.T) {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(os.TempDir(), "agatespindle-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
}

// process is one running process of the system.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// bound is what it may take.
	bound bound
	// ended is closed when the process has ended.
	ended chan struct{}

	mu        sync.Mutex
	peakFiles int
}

// startProcess starts a program under the limit of descriptors, and stops it at the end of the test.
func startProcess(t *testing.T, most bound, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, bound: most, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, most.files)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", script, program}, args...)...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		defer out.Close()
		_ = p.cmd.Wait()
	}()
	go p.watchFiles()
	t.Cleanup(func() { p.stop(t) })
	return p
}

// stop ends the process. It is a failure if it does not end by itself.
func (p *process) stop(t *testing.T) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		t.Errorf("%s did not stop; its threads: %s", p.name, p.threads())
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if t.Failed() {
		b, _ := os.ReadFile(p.log)
		t.Logf("end of the log of %s:\n%s", p.name, b[max(0, len(b)-1500):])
	}
}

// threads returns the state of each thread of the process, for the log of a failed test.
func (p *process) threads() string {
	var list []string
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", p.cmd.Process.Pid))
	for _, path := range paths {
		b, _ := os.ReadFile(path)
		if m := stateLine.FindSubmatch(b); m != nil {
			list = append(list, string(m[1]))
		}
	}
	return strings.Join(list, ", ")
}

// stateLine is the line of /proc/PID/status with the state of a thread.
var stateLine = regexp.MustCompile(`State:\s+(.*)`)

// running reports whether the process lives.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// watchFiles records the highest number of open descriptors until the process ends.
func (p *process) watchFiles() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(pollInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.peakFiles = max(p.peakFiles, len(entries))
		p.mu.Unlock()
	}
}

// peakFileCount returns the highest number of descriptors seen.
func (p *process) peakFileCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakFiles
}

// peakLine is the line of /proc/PID/status with the highest resident memory.
var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemoryMB returns the highest resident memory of the process so far, in MiB.
func (p *process) peakMemoryMB() (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	m := peakLine.FindSubmatch(b)
	if m == nil {
		return 0, errors.New("no peak of resident memory in the status")
	}
	kb, err := strconv.Atoi(string(m[1]))
	return kb >> 10, err
}

// fault returns what the process has done that it must not, or "".
func (p *process) fault() string {
	if !p.running() {
		return p.name + " has ended"
	}
	mb, err := p.peakMemoryMB()
	if err != nil {
		return fmt.Sprintf("%s: %v", p.name, err)
	}
	if mb > p.bound.memoryMB {
		return fmt.Sprintf("%s has taken %d MiB of memory, limit %d", p.name, mb, p.bound.memoryMB)
	}
	if n := p.peakFileCount(); n >= p.bound.files {
		return fmt.Sprintf("%s has had %d descriptors, limit %d", p.name, n, p.bound.files)
	}
	return ""
}

// eventually polls check until it returns nil, and fails the test after limit.
func eventually(t *testing.T, limit time.Duration, check func() error) {
	t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %s: %v", limit, err)
		}
	}
}

// receiveBuffer is the size in bytes of the receive buffers of a crowd: what it does not read stays with the
// host.
const receiveBuffer = 8 << 10

// dial opens a connection to addr.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if failed := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); failed != nil {
			return failed
		}
		return err
	}}
	return d.DialContext(ctx, "tcp", addr)
}

// caller is a connection of the crowd to the callers' listener.
type caller struct {
	net.Conn
	r *bufio.Reader
}

// openSession connects and opens a session on the database.
func openSession(ctx context.Context, addr, database string) (*caller, error) {
	conn, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	c := &caller{conn, bufio.NewReader(conn)}
	if _, err = fmt.Fprintf(c, "STARTUP %s crowd\r\n", database); err == nil {
		var line string
		if line, err = c.readLine(); err == nil && !strings.HasPrefix(line, "READY") {
			err = errors.New(line)
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

// readLine reads a line, which ends at CR LF only.
func (c *caller) readLine() (string, error) {
	line := ""
	for {
		part, err := c.r.ReadString('\n')
		if err != nil {
			return "", err
		}
		line += part
		if whole, ok := strings.CutSuffix(line, "\r\n"); ok {
			return whole, nil
		}
	}
}

// readAnswer reads an answer up to its READY line. It returns its DONE or ERR line.
func (c *caller) readAnswer() (string, error) {
	result := ""
	for {
		line, err := c.readLine()
		if err != nil {
			return result, err
		}
		word, _, _ := strings.Cut(line, " ")
		switch word {
		case "DONE", "ERR":
			result = line
		case "READY":
			return result, nil
		}
	}
}

// ask sends a statement and reads its answer.
func (c *caller) ask(limit time.Duration, text string) (string, error) {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c, "QUERY q1 %s\r\n", text); err != nil {
		return "", err
	}
	return c.readAnswer()
}
