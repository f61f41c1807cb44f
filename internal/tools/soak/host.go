package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/agatespindle/agatespindle/platform"
)

// Ports that the hosts listen on, depending on their role.
const (
	portControl = 8782
	portCallers = 8784
	portReady   = 8785
	portLink    = 7440
	// restartPause is the delay before an ended process is restarted.
	restartPause = 200 * time.Millisecond
	// graceSeconds is the time from SIGTERM to SIGKILL that is set in the settings file.
	graceSeconds = 6
)

// host is a proxy host running as a process, which is restarted whenever it ends.
type host struct {
	name string
	ip   string
	// role is "control" or "edge".
	role   string
	dir    string
	binary string

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
}

// writeSettings writes the host's settings file. cloud is the address of the platform's API.
func (h *host) writeSettings(seeds []string, cloud string, bootstrap bool) error {
	var s platform.Settings
	s.Host, s.IP, s.Center, s.InternalPorts, s.Seeds, s.Bootstrap = h.name, h.ip, "a", []int{portLink, portLink + 15}, seeds, bootstrap
	s.Serves, s.Bounds.GraceSeconds = []string{h.role}, graceSeconds
	drainMillis := float64(leaveBound.Milliseconds())
	s.Bounds.DrainMillis = &drainMillis
	if h.role == "control" {
		s.Listen.Control, s.DataDir, s.Cloud.Addr = addr(h.ip, portControl), filepath.Join(h.dir, h.name), cloud
	} else {
		s.Listen.Callers, s.Listen.Ready = addr(h.ip, portCallers), addr(h.ip, portReady)
	}
	b, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", h.name, err)
	}
	return os.WriteFile(h.path("toml"), b, 0o600)
}

// path returns the path of the host's file with the extension.
func (h *host) path(extension string) string { return filepath.Join(h.dir, h.name+"."+extension) }

// touches returns the host whose statements a fault of this host affects; it is empty if a fault may
// affect all.
func (h *host) touches() string {
	if h.role == "control" {
		return ""
	}
	return h.name
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// supervise starts the process in the background, restarts it whenever it ends, and kills it when
// ctx is canceled. It closes h.done after the process has ended.
func (h *host) supervise(ctx context.Context) error {
	out, err := os.OpenFile(h.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func() {
		defer close(h.done)
		defer out.Close()
		for ctx.Err() == nil {
			cmd := exec.Command(h.binary, "run", "--config", h.path("toml"))
			cmd.Stdout, cmd.Stderr = out, out
			if err := cmd.Start(); err != nil {
				fmt.Fprintln(out, "soak: cannot start process:", err)
				return
			}
			h.setProcess(cmd.Process)
			stop := context.AfterFunc(ctx, func() {
				_ = cmd.Process.Signal(syscall.SIGCONT)
				_ = cmd.Process.Kill()
			})
			_ = cmd.Wait()
			stop()
			h.setProcess(nil)
			time.Sleep(restartPause)
		}
	}()
	return nil
}

func (h *host) setProcess(p *os.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = p
}

// signal sends a signal to the process, if it is running.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(sig)
	}
}

// current returns the running process, or nil.
func (h *host) current() *os.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// kill kills the process p if it is still running, and reports whether it was.
func (h *host) kill(p *os.Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process == p && p.Kill() == nil
}
