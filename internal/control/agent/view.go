package agent

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// View is an immutable copy of the resources at a revision. It is safe for concurrent use.
type View struct {
	Revision  uint64
	resources map[state.Key]*wire.Resource
	byGroup   map[string][]*wire.Resource
	byKind    map[spec.Kind][]*wire.Resource
	// leavingSince has a lower bound of the time at which each leaving instance announced that it
	// leaves; the zero time if none is known.
	leavingSince map[incarnation]time.Time
}

// incarnation identifies one start of a backend server.
type incarnation struct {
	name string
	born int64
}

// NewView returns a view of the resources in list at a revision.
func NewView(revision uint64, list []*wire.Resource) *View {
	v := &View{Revision: revision, resources: map[state.Key]*wire.Resource{}}
	for _, r := range list {
		v.resources[state.Key{Kind: spec.Kind(r.Kind), Name: r.Name}] = r
	}
	v.index()
	return v
}

// With returns a view at a later revision with changes applied. Resources marked as deleted are
// removed. v is not modified.
func (v *View) With(revision uint64, changes []*wire.Resource) *View {
	next := &View{Revision: revision, resources: v.resources, byGroup: v.byGroup, byKind: v.byKind, leavingSince: v.leavingSince}
	if len(changes) == 0 {
		return next
	}
	next.resources = maps.Clone(v.resources)
	for _, r := range changes {
		key := state.Key{Kind: spec.Kind(r.Kind), Name: r.Name}
		if r.Deleted {
			delete(next.resources, key)
		} else {
			next.resources[key] = r
		}
	}
	next.index()
	return next
}

func (v *View) index() {
	v.byGroup = map[string][]*wire.Resource{}
	v.byKind = map[spec.Kind][]*wire.Resource{}
	for key, r := range v.resources {
		v.byKind[key.Kind] = append(v.byKind[key.Kind], r)
	}
	for _, list := range v.byKind {
		slices.SortFunc(list, func(a, b *wire.Resource) int { return strings.Compare(a.Name, b.Name) })
	}
	for _, r := range v.byKind[spec.Backends] {
		if r.Backend != nil {
			v.byGroup[r.Backend.Group] = append(v.byGroup[r.Backend.Group], r)
		}
	}
}

// withLeaving returns the view with a lower bound of the time of each leaving instance's announcement:
// the one that previous has for the incarnation, or else confirmed, the time up to which previous has
// all changes. It also returns the instances that previous does not have as leaving.
func (v *View) withLeaving(previous *View, confirmed time.Time) (*View, []*wire.Resource) {
	next := *v
	next.leavingSince = map[incarnation]time.Time{}
	var added []*wire.Resource
	for _, r := range v.byKind[spec.Backends] {
		if r.Backend.GetStanding() != wire.LifecycleState_DRAINING {
			continue
		}
		key := incarnation{r.Name, r.Backend.Born}
		since, known := previous.leavingSince[key]
		if !known {
			since = confirmed
			added = append(added, r)
		}
		next.leavingSince[key] = since
	}
	return &next, added
}

// LeavingSince returns the earliest time at which an instance that started at born (Unix
// milliseconds) can have announced that it leaves, the zero time if that is not known. It reports
// false if the instance is not leaving.
func (v *View) LeavingSince(name string, born int64) (time.Time, bool) {
	since, ok := v.leavingSince[incarnation{name, born}]
	return since, ok
}

// Get returns the resource of a kind and name, or nil.
func (v *View) Get(k spec.Kind, name string) *wire.Resource {
	return v.resources[state.Key{Kind: k, Name: name}]
}

// List returns the resources of a kind, sorted by name. The list must not be modified.
func (v *View) List(k spec.Kind) []*wire.Resource { return v.byKind[k] }

// Instances returns the backend servers of a group. The list must not be modified.
func (v *View) Instances(group string) []*wire.Resource { return v.byGroup[group] }

// Group returns the group that a database name refers to: the group of that name, or the only
// group of the service of that name. It returns nil if there is none.
func (v *View) Group(database string) *wire.Resource {
	if r := v.Get(spec.Groups, database); r != nil {
		return r
	}
	s := v.Get(spec.Services, database)
	if s == nil {
		return nil
	}
	if groups := spec.DecodeService(s.Spec).Groups; len(groups) == 1 {
		return v.Get(spec.Groups, groups[0])
	}
	return nil
}

// Caller returns the caller settings for a user name, or the defaults if there are none.
func (v *View) Caller(user string) spec.Caller {
	return spec.DecodeCaller(v.Get(spec.Callers, user).GetSpec())
}
