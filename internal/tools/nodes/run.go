package nodes

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/tools/node"
	"github.com/agatespindle/agatespindle/platform"
)

// settingsLooked is the interval at which the settings file is looked at: it may change
// without a signal.
const settingsLooked = 2 * time.Second

type runCommand struct {
	streams
	Config  string `long:"config" description:"settings file; by default the one that the platform names"`
	Metrics string `long:"metrics" description:"port of the metrics; empty serves none"`
	Level   string `long:"level" default:"info" description:"least level that is logged"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	path := c.Config
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := logs.NewBoundedWriter()
	writing, ended := context.WithCancel(context.Background())
	written := out.Run(writing, c.out)
	defer func() {
		ended()
		<-written
	}()
	opt := node.Options{
		Settings: cfg, Log: out, Dropped: out.Dropped, Level: c.Level, Changed: changes(ctx, path),
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

// changes brings a value on SIGHUP and when the file has another time of change.
func changes(ctx context.Context, path string) <-chan struct{} {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		tick := time.NewTicker(settingsLooked)
		defer tick.Stop()
		last := changedAt(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-tick.C:
				if at := changedAt(path); at.Equal(last) {
					continue
				}
			}
			last = changedAt(path)
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}

func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
