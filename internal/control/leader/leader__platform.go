package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/place"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

const (
	// statusQueryTimeout bounds one status query. An instance answers within a few milliseconds.
	statusQueryTimeout = 400 * time.Millisecond
	// promoteTimeout bounds one promotion request to the platform. A request without an answer is
	// repeated under a higher fencing token, so a short timeout costs no more than another call.
	promoteTimeout = time.Second
	// primaryProbeInterval is the interval at which the leader itself probes a primary on which no
	// host reports.
	primaryProbeInterval = 500 * time.Millisecond
	// primaryProbeTimeout is how long such a primary may leave probes unanswered before it counts
	// as failed.
	primaryProbeTimeout = 1500 * time.Millisecond
)

// ErrPromotionRefused is returned by Platform.Promote for a request that was refused and won't be
// carried out: its fencing token is outdated, or the instance is not running.
var ErrPromotionRefused = errors.New("platform refused the promotion")

// ErrInstanceOverloaded is returned by Platform.QueryStatus for an instance that answers but is
// too busy to report its status. The instance is alive; its log position is not known.
var ErrInstanceOverloaded = errors.New("instance is overloaded and did not report its status")

// ErrNotListening is returned by Platform.QueryStatus if the instance's address refuses connections, so that
// no process listens there.
var ErrNotListening = errors.New("instance does not listen")

// Instance identifies an instance of a group and its address.
type Instance struct {
	Group string
	Name  string
	Addr  string
}

// Platform has the functions that talk to instances that manage their own replication and to the
// platform that promotes them.
type Platform struct {
	// QueryStatus asks an instance for its status. It also makes a replica stop or resume
	// replication, or a primary step down, if the query says so. It returns ErrInstanceOverloaded if the instance answers
	// without its status, and ErrNotListening if its address refuses connections.
	QueryStatus func(ctx context.Context, in Instance, q group.QueryStatus) (group.InstanceStatus, error)
	// Promote asks the platform to promote an instance under a fencing token. It returns
	// ErrPromotionRefused if the platform refuses; after other errors the promotion may still
	// happen.
	Promote func(ctx context.Context, in Instance, fence uint64) error
	// LeaveDeadline returns the time from which a leaving instance that started at born (Unix
	// milliseconds) gets no new requests.
	LeaveDeadline func(name string, born int64) time.Time
}

// promotionRequest is the fencing token and state of a group's promotion request.
type promotionRequest struct {
	fence uint64
	state group.PromotionState
}

// stepPlatformFailovers advances the failovers of the groups in a manifest. The caller holds mu.
func (l *Leader) stepPlatformFailovers(ctx context.Context, now time.Time, s *state.State, groups []*wire.Resource) {
	byGroup := map[string][]*wire.Resource{}
	for _, r := range s.List(spec.Backends) {
		if r.Backend != nil {
			byGroup[r.Backend.Group] = append(byGroup[r.Backend.Group], r)
		}
	}
	silent := l.countSilentControlHosts()
	for _, r := range groups {
		if r.Group == nil {
			continue
		}
		if r.Group.Phase != wire.Phase_OPEN {
			l.failingOver[r.Name] = true
		}
		failover := l.platformFailovers[r.Name]
		if failover == nil {
			failover = &group.PlatformFailover{Options: group.DefaultPlatformOptions()}
			l.platformFailovers[r.Name] = failover
		}
		v := l.platformView(ctx, now, s, r, byGroup[r.Name])
		v.SilentControlHosts = silent
		for _, a := range failover.Step(now, v) {
			l.executePlatformAction(ctx, now, v, byGroup[r.Name], a)
		}
	}
}

// platformView returns what the leader knows of a group. The caller holds mu.
func (l *Leader) platformView(ctx context.Context, now time.Time, s *state.State, r *wire.Resource, instances []*wire.Resource) group.PlatformView {
	v := group.PlatformView{
		Name: r.Name, State: r.Group, ControlHost: l.Host, RequiredCopies: l.declaredCopies(s)[r.Name],
		Statuses: l.statuses[r.Name], OverloadedAt: l.overloadedAt,
	}
	for _, in := range instances {
		ended := in.Backend.Standing == wire.LifecycleState_GONE
		awaited := !ended || v.RequiredCopies > 0 && !in.Backend.Copied
		if !awaited && in.Name != r.Group.Primary {
			continue
		}
		successor := state.Successor(instances, in)
		if in.Name == r.Group.Primary {
			v.PrimaryLog = successor.Name
		}
		switch {
		case successor != in || !awaited:
		case ended:
			v.Ended = append(v.Ended, group.EndedInstance{Name: in.Name, Born: in.Backend.Born, StoppedAt: l.stoppedAt[in.Name]})
		default:
			v.Candidates = append(v.Candidates, l.candidate(in))
		}
	}
	if promotion := l.promotions[r.Name]; promotion.fence == r.Group.Fence && promotion.fence != 0 {
		v.Promotion = promotion.state
	}
	if r.Group.Phase == wire.Phase_SEALED {
		v.SealInForce = l.inForceOnEntryHosts(now, s, r.Group.Sealed)
	}
	if r.Group.Phase == wire.Phase_OPEN {
		v.PrimaryFailed = l.hostsReportFailure(ctx, now, r, instances)
	}
	return v
}

// countSilentControlHosts returns the number of control hosts that have not confirmed a recent heartbeat.
func (l *Leader) countSilentControlHosts() int {
	n := 0
	for _, healthy := range l.Driver.Status().Healthy {
		if !healthy {
			n++
		}
	}
	return n
}

// candidate returns what an instance that has not ended announces.
func (l *Leader) candidate(in *wire.Resource) group.Candidate {
	c := group.Candidate{Name: in.Name, AnnouncedPrimary: in.Backend.Primary}
	if in.Backend.Standing == wire.LifecycleState_DRAINING {
		c.Draining, c.LeaveDeadline = true, l.Platform.LeaveDeadline(in.Name, in.Backend.Born)
	}
	return c
}

// declaredCopies returns the number of copies that the manifest declares, by group, zeros left
// out. The caller holds mu.
func (l *Leader) declaredCopies(s *state.State) map[string]int {
	l.loadManifest(s)
	return l.copiesByGroup
}

// loadManifest reads the manifest if it has changed. The caller holds mu.
func (l *Leader) loadManifest(s *state.State) {
	r := s.Get(spec.Manifests, spec.CurrentManifest)
	if r == nil || r == l.manifest {
		return
	}
	m, err := spec.DecodeManifest(r.Spec)
	if err != nil {
		l.Log.WithError(err).WithField("number", r.Version).Error("cannot decode manifest; keeping the numbers of copies and the accounts of the previous one")
		return
	}
	l.manifest, l.copiesByGroup, l.accounts = r, map[string]int{}, m.Accounts
	for _, g := range m.Groups {
		if g.SyncReplicas > 0 {
			l.copiesByGroup[g.Name] = g.SyncReplicas
		}
	}
	l.shares.SetAccounts(l.Now(), l.accounts)
}

// inForceOnEntryHosts reports whether each entry host has confirmed a revision or has no lease. The
// caller holds mu.
func (l *Leader) inForceOnEntryHosts(now time.Time, s *state.State, revision uint64) bool {
	for _, h := range place.EntryHosts(s.List(spec.Hosts)) {
		if !l.grantor.InForceOn(now, h.Name, revision) {
			return false
		}
	}
	return true
}

// hostsReportFailure reports whether more of the hosts that use the primary report it as failed
// than as healthy. If no host reports on it, the leader probes the primary itself. The caller
// holds mu.
func (l *Leader) hostsReportFailure(ctx context.Context, now time.Time, r *wire.Resource, instances []*wire.Resource) bool {
	healthy, failed := 0, 0
	for host, list := range l.primaryHealth {
		report := list[r.Name]
		if report == nil || report.Term != r.Group.Term || report.Primary != r.Group.Primary || !l.grantor.HasLease(now, host) {
			continue
		}
		if report.Well {
			healthy++
		} else {
			failed++
		}
	}
	if healthy+failed > 0 {
		delete(l.unavailableSince, primaryKey(r.Name, r.Group.Primary))
		return failed > healthy
	}
	return l.probePrimary(ctx, now, r, instances)
}

// probePrimary probes the primary and reports whether it has not answered for primaryProbeTimeout.
// The caller holds mu.
func (l *Leader) probePrimary(ctx context.Context, now time.Time, r *wire.Resource, instances []*wire.Resource) bool {
	key := primaryKey(r.Name, r.Group.Primary)
	lastAnswer := l.statuses[r.Name][r.Group.Primary].QueriedAt
	since, known := l.unavailableSince[key]
	if !known || lastAnswer.After(since) {
		l.unavailableSince[key] = now
		since = now
	}
	if now.Sub(l.probedAt[key]) >= primaryProbeInterval {
		l.probedAt[key] = now
		l.queryStatus(ctx, now, r.Name, instances, group.QueryStatus{Instance: r.Group.Primary})
	}
	return now.Sub(since) > primaryProbeTimeout
}

// executePlatformAction performs one action of a group.PlatformFailover. The caller holds mu.
func (l *Leader) executePlatformAction(ctx context.Context, now time.Time, v group.PlatformView, instances []*wire.Resource, a group.Action) {
	entry := l.Log.WithField("group", v.Name).WithField("term", v.State.Term)
	switch a := a.(type) {
	case group.Propose:
		entry = entry.WithField("phase", v.State.Phase.String()).WithField("change", a.Command.String())
		if a.Command.GetChoose() != nil || a.Command.GetSeal().GetRevoke() {
			entry = entry.WithField("logs", describeLogs(now, v))
		}
		if a.Command.GetSeal().GetRevoke() {
			l.Meter.AddCounter("failover.revoked", 1)
		}
		entry.Info("failover step")
		l.propose(ctx, "group "+v.Name, a.Command)
	case group.QueryStatus:
		l.queryStatus(ctx, now, v.Name, instances, a)
	case group.Waiting:
		l.Meter.AddCounter("failover.waits."+a.Reason, 1)
		entry.WithField("reason", a.Reason).WithField("logs", describeLogs(now, v)).Warn("no primary can be chosen yet")
	case group.IncompleteChoice:
		l.Meter.AddCounter("failover.incomplete", 1)
		entry.WithField("instance", a.Instance).WithField("logs", describeLogs(now, v)).
			Error("logs that may alone hold acknowledged writes are taken to be lost")
	case group.RecordCopied:
		entry.WithField("instance", a.Instance.Name).WithField("logs", describeLogs(now, v)).Info("log of an ended instance is copied")
		l.propose(ctx, "copied "+a.Instance.Name, &wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{
			Name: a.Instance.Name, Born: a.Instance.Born, Copied: true,
		}}})
	case group.RequestPromotion:
		l.requestPromotion(ctx, v.Name, a, instances)
	}
}

// describeLogs returns what a decision knows of the logs of a group's instances, by instance: the last position
// reported, how long ago it was asked for, whether the instance led or was held then, and how long ago it was too busy to
// tell.
func describeLogs(now time.Time, v group.PlatformView) map[string]string {
	logs := map[string]string{}
	describe := func(name, standing string) {
		logs[name] = standing + "no answer"
		if status, ok := v.Statuses[name]; ok {
			logs[name] = fmt.Sprintf("%s%d.%d %s ago", standing, status.Received.Term, status.Received.Number, now.Sub(status.QueriedAt).Round(time.Millisecond))
			switch {
			case status.Primary:
				logs[name] += ", leads"
			case status.Held:
				logs[name] += ", held"
			}
		}
		if at, ok := v.OverloadedAt[name]; ok {
			logs[name] += fmt.Sprintf(", busy %s ago", now.Sub(at).Round(time.Millisecond))
		}
	}
	for _, c := range v.Candidates {
		describe(c.Name, "")
	}
	for _, e := range v.Ended {
		describe(e.Name, "ended ")
	}
	return logs
}

func findInstance(name, instance string, instances []*wire.Resource) (Instance, bool) {
	for _, r := range instances {
		if r.Name == instance {
			return Instance{Group: name, Name: instance, Addr: r.Backend.Addr}, true
		}
	}
	return Instance{}, false
}

// queryStatus asks an instance of a group for its status in the background and stores the answer. The
// caller holds mu.
func (l *Leader) queryStatus(ctx context.Context, now time.Time, name string, instances []*wire.Resource, query group.QueryStatus) {
	in, ok := findInstance(name, query.Instance, instances)
	if !ok {
		return
	}
	term := l.term
	l.background("ask "+in.Name, func() {
		ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
		defer cancel()
		status, err := l.Platform.QueryStatus(ctx, in, query)
		if errors.Is(err, ErrInstanceOverloaded) {
			l.recordAlive(term, in, now)
			return
		}
		if err != nil {
			l.Log.WithError(err).WithField("instance", in.Name).Debug("status query failed")
		}
		status.QueriedAt, status.Resumed = now, query.ResumeReplication
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case l.term != term:
		case errors.Is(err, ErrNotListening):
			l.stoppedAt[in.Name] = l.Now()
		case err == nil:
			l.storeStatus(in, status)
		}
	})
}

// storeStatus stores the latest status of an instance. The caller holds mu.
func (l *Leader) storeStatus(in Instance, status group.InstanceStatus) {
	delete(l.stoppedAt, in.Name)
	if l.statuses[in.Group] == nil {
		l.statuses[in.Group] = map[string]group.InstanceStatus{}
	}
	l.statuses[in.Group][in.Name] = status
}

// recordAlive records that an instance answered a status query, unless the quorum term has changed
// since the query was sent. To a probe, an overloaded primary that answers is healthy.
func (l *Leader) recordAlive(term uint64, in Instance, queriedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.overloadedAt[in.Name] = queriedAt
		l.unavailableSince[primaryKey(in.Group, in.Name)] = queriedAt
	}
}

// primaryKey is the key of a primary in unavailableSince and probedAt.
func primaryKey(group, primary string) string { return group + " " + primary }

// requestPromotion sends a promotion request in the background, once for each fencing token. It
// sends nothing after this host's own leader lease has expired, so that a replaced leader requests
// no promotion. The caller holds mu.
func (l *Leader) requestPromotion(ctx context.Context, name string, a group.RequestPromotion, instances []*wire.Resource) {
	in, ok := findInstance(name, a.Instance, instances)
	if !ok {
		l.promotions[name] = promotionRequest{a.FenceToken, group.PromotionDeclined}
		return
	}
	if !l.Now().Before(l.Driver.Status().LeaseUntil) {
		return
	}
	l.promotions[name] = promotionRequest{a.FenceToken, group.PromotionPending}
	promotions := l.promotions
	l.background(fmt.Sprintf("promote %s under %d", name, a.FenceToken), func() {
		ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
		defer cancel()
		err := l.Platform.Promote(ctx, in, a.FenceToken)
		l.Log.WithField("group", name).WithField("instance", in.Name).WithField("fence", a.FenceToken).WithField("error", errText(err)).Info("promotion requested")
		l.mu.Lock()
		defer l.mu.Unlock()
		promotions[name] = promotionRequest{a.FenceToken, promotionState(err)}
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func promotionState(err error) group.PromotionState {
	switch {
	case err == nil:
		return group.PromotionConfirmed
	case errors.Is(err, ErrPromotionRefused):
		return group.PromotionDeclined
	}
	return group.PromotionUnknown
}
