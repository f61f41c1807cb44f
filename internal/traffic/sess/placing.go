package sess

import (
	"time"

	"github.com/apex/log"

	"github.com/agatespindle/agatespindle/internal/traffic/even"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/route"
	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

// place returns the name of the instance for the next try: by reported loads if there are any, and
// otherwise by the costs that this host knows for itself. It reports false if no instance may serve the
// statement.
func (e *execution) place(now time.Time) (string, bool) {
	mgr := e.session.mgr
	e.placement = even.Choice{}
	required := route.Requirement{Primary: e.needsPrimary, MinPosition: e.minPosition}
	candidates := e.group.Candidates(now, e.excluded)
	if mgr.Placer == nil || e.needsPrimary {
		return mgr.Costs.Pick(required, candidates)
	}
	names, options := e.options(now, required, candidates)
	if !even.Informed(options) {
		return mgr.Costs.Pick(required, candidates)
	}
	e.placement = mgr.Placer.Pick(options)
	for i, avoided := range even.Avoidances(options) {
		e.group.Member(names[i]).RecordAvoidance(now, avoided)
	}
	mgr.Meter.AddCounter("placed.by_load", 1)
	return names[e.placement.Index], true
}

// options returns the instances that may serve the statement, by name and as the placer sees them.
func (e *execution) options(now time.Time, required route.Requirement, candidates []route.Candidate) ([]string, []even.Option) {
	var names []string
	var options []even.Option
	for _, c := range candidates {
		if !required.Allows(c) {
			continue
		}
		names = append(names, c.Name)
		options = append(options, even.Option{
			Primary: c.Primary, Local: c.Local, Slots: c.Slots, Declined: e.declined[c.Name], News: e.group.Member(c.Name).LoadNews(now, e.db.Name),
		})
	}
	return names, options
}

// placementFields adds to the fields of a log line why the instance of the latest try was chosen.
func (e *execution) placementFields(fields log.Fields) log.Fields {
	if e.placement.Expected > 0 {
		fields["expected"], fields["newsage"], fields["moved"] = e.placement.Expected.String(), e.placement.Age.String(), len(e.declined)
	}
	return fields
}

// decline records that the lender of an instance declined the statement, which then moves on. It counts as
// no try.
func (e *execution) decline(m *topo.Member) {
	if e.declined == nil {
		e.declined = map[string]bool{}
	}
	e.declined[m.Instance] = true
	e.tries--
	e.lastVerdict = flow.VerdictFor(flow.Answered, flow.Reads, flow.Overloaded)
	e.session.mgr.Meter.AddCounter("placed.moved", 1)
}
