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

const (
	portControl = 8782
	portFront   = 8784
	portReady   = 8785
	portLink    = 7440
	// restartPause is the time until the platform starts a process again.
	restartPause = 200 * time.Millisecond
	// graceSeconds is the time between SIGTERM and SIGKILL.
	graceSeconds = 6
)

// host is one host: its settings and its process, which is started again when it ends.
type host struct {
	name   string
	ip     string
	serves string
	dir    string
	binary string

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
}

// settings writes the host's settings file.
func (h *host) settings(seeds []string, cloud string, first bool) error {
	var s platform.Settings
	s.Host, s.IP, s.Center, s.InternalPorts, s.Seeds, s.Bootstrap = h.name, h.ip, "a", []int{portLink, portLink + 15}, seeds, first
	s.Serves, s.Bounds.GraceSeconds = []string{h.serves}, graceSeconds
	if h.serves == "control" {
		s.Listen.Control, s.DataDir, s.Cloud.Addr = addr(h.ip, portControl), filepath.Join(h.dir, h.name), cloud
	} else {
		s.Listen.Callers, s.Listen.Ready = addr(h.ip, portFront), addr(h.ip, portReady)
	}
	b, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", h.name, err)
	}
	return os.WriteFile(h.file("toml"), b, 0o600)
}

func (h *host) file(kind string) string { return filepath.Join(h.dir, h.name+"."+kind) }

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// run keeps the process running until ctx ends, and ends it then.
func (h *host) run(ctx context.Context) error {
	out, err := os.OpenFile(h.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func() {
		defer close(h.done)
		defer out.Close()
		for ctx.Err() == nil {
			cmd := exec.Command(h.binary, "run", "--config", h.file("toml"))
			cmd.Stdout, cmd.Stderr = out, out
			if err := cmd.Start(); err != nil {
				fmt.Fprintln(out, "soak: process does not start:", err)
				return
			}
			h.set(cmd.Process)
			stop := context.AfterFunc(ctx, func() {
				_ = cmd.Process.Signal(syscall.SIGCONT)
				_ = cmd.Process.Kill()
			})
			_ = cmd.Wait()
			stop()
			h.set(nil)
			time.Sleep(restartPause)
		}
	}()
	return nil
}

func (h *host) set(p *os.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = p
}

// signal sends a signal to the process, if it runs.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(sig)
	}
}
