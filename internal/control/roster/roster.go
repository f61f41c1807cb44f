// Package roster decides the membership of the control quorum: which hosts join it, and when a voter
// that is silent makes room. It does no I/O; the leader proposes what it decides.
//
// The deployment declares how many hosts may lose their disks at the same time (losses). Two
// conditions follow, at each step of a replacement:
//
//   - Every commit is on more than that many disks: once the quorum has 2*losses voters or more, no
//     step lets its majority fall to losses or less.
//   - Every majority can be had without them: a voter that is gone for good does not stay beside its
//     successor, since it would count as a further loss.
//
// Each step changes one voter, and the next one follows from the membership alone. So a new leader
// continues where the previous one stopped.
package roster

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Options are the settings of a Planner.
type Options struct {
	// Losses is the number of control hosts that may lose their disks at the same time; 0 if it is
	// unknown.
	Losses int
	// ReplaceDelay is how long a voter must be silent before it counts as gone. A host that only
	// restarts within it keeps its vote; a successor waits that long for one.
	ReplaceDelay time.Duration
}

// NewOptions returns the options for a deployment in which a host counts as lost until recovery after
// its start, and is to vote by then. Meanwhile as many leaders may be lost as there may be losses:
// each leaves half of its share of that time for the election of the next one.
func NewOptions(losses int, recovery time.Duration) Options {
	return Options{Losses: losses, ReplaceDelay: recovery / time.Duration(2*max(losses, 1))}
}

// View is what the leader knows about the members at one moment.
type View struct {
	// Members is the membership in use.
	Members *wire.Members
	// Healthy maps member ID to whether the member has confirmed a recent heartbeat.
	Healthy map[string]bool
	// CaughtUp maps member ID to whether the member's log has all committed entries.
	CaughtUp map[string]bool
	// HostOf returns the name of the host to which a member ID belongs.
	HostOf func(id string) string
}

// Planner decides one membership change at a time. It is used for one term of a leader, and is not
// safe for concurrent use.
type Planner struct {
	Options Options

	// silentSince is the time since which a member has confirmed no heartbeat, by ID.
	silentSince map[string]time.Time
	// leaving is the time until which a member counts as gone because it said that it stops, by ID.
	leaving map[string]time.Time
}

// MarkLeaving records that a member is about to stop. It counts as gone for ReplaceDelay, so that a
// successor that is already there takes its place before it stops.
func (p *Planner) MarkLeaving(now time.Time, id string) {
	if p.leaving == nil {
		p.leaving = map[string]time.Time{}
	}
	p.leaving[id] = now.Add(p.Options.ReplaceDelay)
}

// Next returns the membership that should follow, and the ID of the member that it concerns. It
// returns nil if there is nothing to change, or not yet. The hosts in joining have asked to become
// members.
func (p *Planner) Next(now time.Time, v View, joining []*wire.Member) (*wire.Members, string) {
	p.trackSilence(now, v)
	gone := p.goneVoters(now, v)
	if id := p.surplus(v, gone); id != "" {
		return without(v.Members, id), id
	}
	if id := p.goneLearner(now, v); id != "" {
		return without(v.Members, id), id
	}
	for _, m := range joining {
		if now.Before(p.leaving[m.Id]) {
			continue
		}
		i := indexOf(v.Members, m.Id)
		if i < 0 {
			return withLearner(v.Members, m), m.Id
		}
		if !v.Members.Members[i].Learner || !v.CaughtUp[m.Id] || !v.Healthy[m.Id] {
			continue
		}
		if !p.takesOver(v) {
			return withVoter(v.Members, i), m.Id
		}
		if len(gone) > 0 && !v.Healthy[gone[0]] {
			return without(v.Members, gone[0]), gone[0]
		}
	}
	return nil, ""
}

// trackSilence records when each member stopped confirming heartbeats.
func (p *Planner) trackSilence(now time.Time, v View) {
	if p.silentSince == nil {
		p.silentSince = map[string]time.Time{}
	}
	for _, m := range v.Members.GetMembers() {
		if v.Healthy[m.Id] {
			delete(p.silentSince, m.Id)
		} else if _, known := p.silentSince[m.Id]; !known {
			p.silentSince[m.Id] = now
		}
	}
}

// gone reports whether a member is taken to be gone: it has been silent for ReplaceDelay, its host has
// another identity by now, or it said that it stops.
func (p *Planner) gone(now time.Time, v View, id string) bool {
	if now.Before(p.leaving[id]) {
		return true
	}
	since, silent := p.silentSince[id]
	return silent && (now.Sub(since) >= p.Options.ReplaceDelay || hostLives(v, id))
}

// hostLives reports whether another member of the same host is healthy.
func hostLives(v View, id string) bool {
	return slices.ContainsFunc(v.Members.Members, func(m *wire.Member) bool {
		return m.Id != id && v.Healthy[m.Id] && v.HostOf(m.Id) == v.HostOf(id)
	})
}

// goneVoters returns the voters that are gone, those first that have been silent longest.
func (p *Planner) goneVoters(now time.Time, v View) []string {
	var ids []string
	for _, m := range v.Members.GetMembers() {
		if !m.Learner && p.gone(now, v, m.Id) {
			ids = append(ids, m.Id)
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return p.silence(now, b) - p.silence(now, a) })
	return ids
}

// silence returns how long a member has been silent, in milliseconds.
func (p *Planner) silence(now time.Time, id string) int {
	if since, silent := p.silentSince[id]; silent {
		return int(now.Sub(since).Milliseconds())
	}
	return 0
}

// goneLearner returns a learner that is gone, or "". It asks to join again should it come back.
func (p *Planner) goneLearner(now time.Time, v View) string {
	for _, m := range v.Members.GetMembers() {
		if m.Learner && p.gone(now, v, m.Id) {
			return m.Id
		}
	}
	return ""
}

// surplus returns a voter that is gone and to be removed without a successor, or "". That is so while
// there are more voters than the losses require. If these are unknown, it is so for an even number of
// voters, which bears no more losses than one voter fewer.
func (p *Planner) surplus(v View, gone []string) string {
	voters := voterCount(v.Members)
	more := voters > 2*p.Options.Losses+1
	if p.Options.Losses == 0 {
		more = voters >= 4 && voters%2 == 0
	}
	if len(gone) == 0 || !more {
		return ""
	}
	return gone[0]
}

// takesOver reports whether a learner is to take the place of a voter, and not to join beside all
// voters. With an odd number of voters, one more makes the majority larger. If one of them is silent,
// nothing is won by that, and should it never come back, the quorum bears one loss less. With fewer
// voters than the losses require, each further one counts. A voter that only says that it stops makes
// room after its successor has joined.
func (p *Planner) takesOver(v View) bool {
	voters := voterCount(v.Members)
	if voters%2 == 0 || voters <= 2*p.Options.Losses {
		return false
	}
	return slices.ContainsFunc(v.Members.Members, func(m *wire.Member) bool {
		return !m.Learner && !v.Healthy[m.Id]
	})
}

func voterCount(m *wire.Members) int {
	n := 0
	for _, member := range m.GetMembers() {
		if !member.Learner {
			n++
		}
	}
	return n
}

func indexOf(m *wire.Members, id string) int {
	return slices.IndexFunc(m.GetMembers(), func(member *wire.Member) bool { return member.Id == id })
}

func without(m *wire.Members, id string) *wire.Members {
	next := proto.Clone(m).(*wire.Members)
	next.Members = slices.DeleteFunc(next.Members, func(member *wire.Member) bool { return member.Id == id })
	return next
}

func withLearner(m *wire.Members, joining *wire.Member) *wire.Members {
	next := proto.Clone(m).(*wire.Members)
	next.Members = append(next.Members, &wire.Member{Id: joining.Id, Addr: joining.Addr, Learner: true})
	return next
}

func withVoter(m *wire.Members, i int) *wire.Members {
	next := proto.Clone(m).(*wire.Members)
	next.Members[i].Learner = false
	return next
}
