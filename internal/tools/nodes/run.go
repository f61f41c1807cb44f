package nodes

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/tools/node"
	"github.com/agatespindle/agatespindle/platform"
)

// settingsPollInterval is the time between two checks of the settings file's modification time: the
// file may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// runCommand runs a node until SIGTERM or SIGINT.
type runCommand struct {
	streams
	Config  string `long:"config" description:"settings file; by default the one that the platform names"`
	Metrics string `long:"metrics" description:"port of the metrics; empty serves none"`
	Level   string `long:"level" default:"info" description:"least level that is logged"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	// Before anything that takes time: without a handler, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path := c.Config
	if path == "" {
		path = os.Getenv(platform.SettingsEnv)
	}
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{err}
	}
	bounds.LimitHeap(cfg.MemoryLimit())
	logOut := logs.NewBoundedWriter()
	writeCtx, stopWriting := context.WithCancel(context.Background())
	writerDone := logOut.Run(writeCtx, c.out)
	defer func() {
		stopWriting()
		<-writerDone
	}()
	opt := node.Options{
		Settings: cfg, Log: logOut, Dropped: logOut.Dropped, Level: c.Level, SettingsChanged: watchSettings(ctx, hup, path),
		Reload: func() (platform.Settings, error) { return platform.ReadSettings(path) },
	}
	if c.Metrics != "" {
		opt.Metrics = cfg.IP + ":" + c.Metrics
	}
	n, err := node.New(opt)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// watchSettings returns a channel that receives a value on a signal of hup and when the file's
// modification time changes, until ctx ends.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	go func() {
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		last := modTime(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-tick.C:
				if modified := modTime(path); modified.Equal(last) {
					continue
				}
			}
			last = modTime(path)
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()
	return changed
}

// modTime returns the file's modification time, or the zero time if the file cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
