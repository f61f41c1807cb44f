package driver

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

// diskRetryInterval is the time between two attempts to write to the disk after a write failed.
const diskRetryInterval = 250 * time.Millisecond

// runWithDiskRecovery runs the loop until ctx ends. When a write fails, for example because the
// disk is full, this host leaves the quorum until writes succeed again. Everything else on the
// host keeps running.
func (d *Driver) runWithDiskRecovery(ctx context.Context) error {
	for {
		err := d.loop(ctx)
		if err == nil || d.Store.Err() == nil {
			return err
		}
		d.stepDown(err)
		if !d.awaitWritableDisk(ctx) {
			return nil
		}
		if err := d.startCore(); err != nil {
			return err
		}
		d.Meter.SetGauge("control.disk.failed", 0)
		d.Log.WithField("index", d.Restored.Snapshot.Index).WithField("entries", len(d.Restored.Entries)).Info("disk is writable again; host takes part in the quorum again")
	}
}

// stepDown makes this host an inactive follower and answers all pending requests. Pending
// proposals may still be committed, since they may be in other hosts' logs or in the part of the
// failed write that reached the disk; so the verdict is MayHaveRun.
func (d *Driver) stepDown(cause error) {
	d.Meter.SetGauge("control.disk.failed", 1)
	d.Meter.AddCounter("control.disk.failures", 1)
	d.Log.WithError(cause).Error("disk write failed; host is out of the quorum until writes succeed")
	failure := result{err: fault.New(fault.MayHaveRun, fault.NoQuorum, "disk write failed on this control host").WithCause(cause)}
	for id := range d.pendingRequests {
		d.complete(id, failure)
	}
	for index, pending := range d.pendingCommits {
		delete(d.pendingCommits, index)
		if pending.result != nil {
			pending.result <- failure
		}
	}
	previous := d.Status()
	d.storeStatus(&Status{Role: quorum.Follower, Term: previous.Term, CommitIndex: previous.CommitIndex, Members: previous.Members})
}

// awaitWritableDisk rejects requests until the log could be read and rewritten. It reports false
// if ctx ended first.
func (d *Driver) awaitWritableDisk(ctx context.Context) bool {
	tick := time.NewTicker(diskRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case r := <-d.inbox:
			if r.result != nil {
				r.result <- result{err: notLeaderError()}
			}
		case <-tick.C:
			restored, err := d.Store.Reopen()
			if err == nil {
				d.Restored = restored
				return true
			}
			d.Meter.AddCounter("control.disk.retries", 1)
			d.Log.WithError(err).Debug("log could not be reopened; will retry")
		}
	}
}

// startCore creates the state and the quorum core from d.Restored, as after a process restart.
func (d *Driver) startCore() error {
	if err := d.restoreState(d.Restored.Snapshot); err != nil {
		return err
	}
	d.bytesSinceSnapshot = 0
	d.core = quorum.New(d.Now(), d.Options, d.Restored)
	d.publishStatus()
	return nil
}
