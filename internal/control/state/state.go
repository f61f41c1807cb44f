// Package state provides the replicated state: resources, what the system decided about
// them, and the answers given to requests.
package state

import (
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// Bounds of what the state remembers.
const (
	// maxAnswered is the number of request ids whose answers are kept.
	maxAnswered = 8192
	// maxHistory is the number of changes that a watch can resume over.
	maxHistory = 16384
)

// Key names a resource.
type Key struct {
	Kind spec.Kind
	Name string
}

// State is the replicated state. Resources in it are never changed, only replaced.
// Reads may run side by side; changes need the state alone.
type State struct {
	// mu guards lists, which reads fill.
	mu        sync.Mutex
	revision  uint64
	resources map[Key]*wire.Resource
	// lists are the resources of a kind by name; a change drops its kind's.
	lists    map[spec.Kind][]*wire.Resource
	answered map[string]answer
	order    []string
	history  []*wire.Resource
	oldest   uint64
}

type answer struct {
	outcome *wire.Outcome
	digest  uint64
}

// New returns an empty state.
func New() *State {
	return &State{resources: map[Key]*wire.Resource{}, lists: map[spec.Kind][]*wire.Resource{}, answered: map[string]answer{}}
}

// Revision returns the index of the last entry that was applied.
func (s *State) Revision() uint64 { return s.revision }

// Get returns a resource, or nil.
func (s *State) Get(k spec.Kind, name string) *wire.Resource {
	return s.resources[Key{k, name}]
}

// List returns the resources of a kind by name; an empty kind lists all. The list must not
// be changed.
func (s *State) List(k spec.Kind) []*wire.Resource {
	if list, ok := s.cached(k); ok {
		return list
	}
	var list []*wire.Resource
	for key, r := range s.resources {
		if k == "" || key.Kind == k {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[k] = list
	return list
}

func (s *State) cached(k spec.Kind) ([]*wire.Resource, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, ok := s.lists[k]
	return list, ok
}

// forget drops the lists that a change of a kind makes old.
func (s *State) forget(k spec.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lists, k)
	delete(s.lists, "")
}

// Since returns the changes after a revision, in order. It reports false where that
// revision is too old for the history.
func (s *State) Since(revision uint64) ([]*wire.Resource, bool) {
	if revision < s.oldest {
		return nil, false
	}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > revision })
	return s.history[i:len(s.history):len(s.history)], true
}

// Skip moves the revision over an entry that carries no command.
func (s *State) Skip(index uint64) { s.revision = index }

// Apply applies the command at an index of the log. A command whose request id is known
// has no effect and gets the first answer.
func (s *State) Apply(index uint64, cmd *wire.Command) *wire.Outcome {
	s.revision = index
	if cmd.Request == "" {
		return s.run(index, cmd)
	}
	digest := commandDigest(cmd)
	if a, known := s.answered[cmd.Request]; known {
		if a.digest != digest {
			return refusal(fault.RequestKeyReused, "request id was used for another change")
		}
		return a.outcome
	}
	out := s.run(index, cmd)
	s.remember(cmd.Request, answer{out, digest})
	return out
}

func commandDigest(cmd *wire.Command) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(cmd)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func (s *State) remember(request string, a answer) {
	s.answered[request] = a
	s.order = append(s.order, request)
	if len(s.order) > maxAnswered {
		delete(s.answered, s.order[0])
		s.order = s.order[1:]
	}
}

func refusal(r fault.Reason, text string) *wire.Outcome {
	return &wire.Outcome{Reason: string(r), Text: text}
}

// change stores the next value of a resource and returns the outcome with it.
func (s *State) change(index uint64, r *wire.Resource) *wire.Outcome {
	r.Revision = index
	key := Key{spec.Kind(r.Kind), r.Name}
	if r.Deleted {
		delete(s.resources, key)
	} else {
		s.resources[key] = r
	}
	s.forget(key.Kind)
	if key.Kind == spec.Manifests || key.Kind == spec.Sources {
		s.supersede(key)
	}
	s.history = append(s.history, r)
	if len(s.history) > maxHistory {
		drop := len(s.history) - maxHistory/2
		s.oldest = s.history[drop-1].Revision
		s.history = append([]*wire.Resource(nil), s.history[drop:]...)
	}
	return &wire.Outcome{Ok: true, Revision: index, Resource: r}
}

// supersede drops the earlier values of a large resource from the history: who resumes over
// them needs the latest one only.
func (s *State) supersede(key Key) {
	s.history = slices.DeleteFunc(s.history, func(r *wire.Resource) bool {
		return r.Kind == string(key.Kind) && r.Name == key.Name
	})
}

// next returns a copy of a resource to change, or a new one.
func (s *State) next(k spec.Kind, name string) *wire.Resource {
	if have := s.Get(k, name); have != nil {
		return proto.Clone(have).(*wire.Resource)
	}
	return &wire.Resource{Kind: string(k), Name: name}
}

// Snapshot returns the whole state in a deterministic encoding.
func (s *State) Snapshot() []byte {
	m := &wire.Snapshot{Revision: s.revision, Resources: s.List("")}
	for _, request := range s.order {
		a := s.answered[request]
		m.Answered = append(m.Answered, &wire.RecordedOutcome{Request: request, Outcome: a.outcome, Digest: a.digest})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("state does not encode: " + err.Error())
	}
	return b
}

// Restore returns the state of a snapshot. Its history starts there.
func Restore(b []byte) (*State, error) {
	m := &wire.Snapshot{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, err
	}
	s := New()
	s.revision = m.Revision
	s.oldest = m.Revision
	for _, r := range m.Resources {
		s.resources[Key{spec.Kind(r.Kind), r.Name}] = r
	}
	for _, a := range m.Answered {
		s.remember(a.Request, answer{a.Outcome, a.Digest})
	}
	return s, nil
}
