package driver

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

// diskRetry is the time between two tries to write to a disk that refused a write.
const diskRetry = 250 * time.Millisecond

// run serves until ctx ends. A disk that refuses a write, because it is full for one, takes this
// host out of the quorum until it takes writes again; everything else on the host goes on.
func (d *Driver) run(ctx context.Context) error {
	for {
		err := d.loop(ctx)
		if err == nil || d.Store.Failed() == nil {
			return err
		}
		d.stepDown(err)
		if !d.awaitDisk(ctx) {
			return nil
		}
		if err := d.resume(); err != nil {
			return err
		}
		d.Meter.SetGauge("control.disk.failed", 0)
		d.Log.WithField("index", d.Restored.Snapshot.Index).WithField("entries", len(d.Restored.Entries)).Info("disk takes writes again; host votes again")
	}
}

// stepDown ends this host's part in the quorum. What was proposed may stand in the logs of others,
// or in what the disk kept of the failed write.
func (d *Driver) stepDown(cause error) {
	d.Meter.SetGauge("control.disk.failed", 1)
	d.Meter.AddCounter("control.disk.failures", 1)
	d.Log.WithError(cause).Error("disk refused a write; host leaves its part in the quorum until it takes one")
	lost := answer{err: fault.New(fault.MayHaveRun, fault.NoQuorum, "disk of this control host failed").WithCause(cause)}
	for id := range d.asked {
		d.reply(id, lost)
	}
	for index, w := range d.waiting {
		delete(d.waiting, index)
		if w.answer != nil {
			w.answer <- lost
		}
	}
	last := d.Status()
	d.status.Store(&Status{Role: quorum.Follower, Term: last.Term, Commit: last.Commit, Members: last.Members})
}

// awaitDisk refuses what comes until the log was read and written anew. It reports false where ctx
// ended before.
func (d *Driver) awaitDisk(ctx context.Context) bool {
	tick := time.NewTicker(diskRetry)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case r := <-d.inbox:
			if r.answer != nil {
				r.answer <- answer{err: noLeader()}
			}
		case <-tick.C:
			restored, err := d.Store.Reopen()
			if err == nil {
				d.Restored = restored
				return true
			}
			d.Meter.AddCounter("control.disk.retries", 1)
			d.Log.WithError(err).Debug("disk still refuses writes")
		}
	}
}

// resume starts from what is on disk, as after a restart of the process.
func (d *Driver) resume() error {
	if err := d.adopt(d.Restored.Snapshot); err != nil {
		return err
	}
	d.logged = 0
	d.core = quorum.New(d.Now(), d.Options, d.Restored)
	d.publish()
	return nil
}
