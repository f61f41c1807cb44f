// Package state provides the state machine of the replicated log: resources with their specs and
// run-time state, and the outcomes of past commands by request ID.
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

// Limits on the retained outcomes and changes.
const (
	// maxStoredOutcomes is the number of request IDs whose outcomes are kept for deduplication.
	maxStoredOutcomes = 8192
	// maxHistoryChanges is the maximum number of past changes that a watch can resume from.
	maxHistoryChanges = 16384
)

// Key identifies a resource.
type Key struct {
	Kind spec.Kind
	Name string
}

// State is the replicated state. Resources in it are never modified, only replaced. Reads may run
// concurrently; changes need exclusive access.
type State struct {
	// mu guards lists, because concurrent reads fill it.
	mu        sync.Mutex
	revision  uint64
	resources map[Key]*wire.Resource
	// lists caches the results of List by kind. A change to a resource drops the list of its kind.
	lists map[spec.Kind][]*wire.Resource
	// outcomes has the outcomes by request ID, and requestOrder the IDs, oldest first.
	outcomes     map[string]storedOutcome
	requestOrder []string
	// history has the changes after revision historyStart, oldest first.
	history      []*wire.Resource
	historyStart uint64
}

// storedOutcome is the outcome of a request with the digest of its command.
type storedOutcome struct {
	outcome *wire.Outcome
	digest  uint64
}

// New returns an empty state.
func New() *State {
	return &State{resources: map[Key]*wire.Resource{}, lists: map[spec.Kind][]*wire.Resource{}, outcomes: map[string]storedOutcome{}}
}

// Revision returns the log index of the last applied entry.
func (s *State) Revision() uint64 { return s.revision }

// Get returns a resource, or nil if there is none. It must not be modified.
func (s *State) Get(k spec.Kind, name string) *wire.Resource {
	return s.resources[Key{k, name}]
}

// List returns the resources of a kind, sorted by name. An empty kind returns all resources,
// sorted by kind and name. The list must not be modified.
func (s *State) List(k spec.Kind) []*wire.Resource {
	if list, ok := s.cachedList(k); ok {
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

// cachedList returns the cached list of a kind and whether there is one.
func (s *State) cachedList(k spec.Kind) ([]*wire.Resource, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, ok := s.lists[k]
	return list, ok
}

// invalidateLists drops the cached lists that include resources of kind k.
func (s *State) invalidateLists(k spec.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lists, k)
	delete(s.lists, "")
}

// ChangesSince returns the changes after a revision, in order. It reports false if the history
// does not go back to that revision.
func (s *State) ChangesSince(revision uint64) ([]*wire.Resource, bool) {
	if revision < s.historyStart {
		return nil, false
	}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > revision })
	return s.history[i:len(s.history):len(s.history)], true
}

// Skip sets the revision to the index of an entry without a command.
func (s *State) Skip(index uint64) { s.revision = index }

// Apply applies the command at a log index and returns its outcome. Commands with a request ID are
// idempotent: one that was applied before has no effect and gets its first outcome, and a
// different command with the same ID is rejected.
func (s *State) Apply(index uint64, cmd *wire.Command) *wire.Outcome {
	s.revision = index
	if cmd.Request == "" {
		return s.execute(index, cmd)
	}
	digest := commandDigest(cmd)
	if stored, known := s.outcomes[cmd.Request]; known {
		if stored.digest != digest {
			return rejection(fault.RequestKeyReused, "request id was used for another change")
		}
		return stored.outcome
	}
	out := s.execute(index, cmd)
	s.storeOutcome(cmd.Request, storedOutcome{out, digest})
	return out
}

// commandDigest returns a hash of a command, to tell a resent command from a different one.
func commandDigest(cmd *wire.Command) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(cmd)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// storeOutcome keeps the outcome of a request, and drops the oldest one beyond the limit.
func (s *State) storeOutcome(request string, stored storedOutcome) {
	s.outcomes[request] = stored
	s.requestOrder = append(s.requestOrder, request)
	if len(s.requestOrder) > maxStoredOutcomes {
		delete(s.outcomes, s.requestOrder[0])
		s.requestOrder = s.requestOrder[1:]
	}
}

func rejection(r fault.Reason, text string) *wire.Outcome {
	return &wire.Outcome{Reason: string(r), Text: text}
}

// storeResource stores the new value of a resource, or removes a deleted one, and returns the
// outcome of the change.
func (s *State) storeResource(index uint64, r *wire.Resource) *wire.Outcome {
	r.Revision = index
	key := Key{spec.Kind(r.Kind), r.Name}
	if r.Deleted {
		delete(s.resources, key)
	} else {
		s.resources[key] = r
	}
	s.invalidateLists(key.Kind)
	if key.Kind == spec.Manifests || key.Kind == spec.ManifestSources {
		s.dropFromHistory(key)
	}
	s.history = append(s.history, r)
	if len(s.history) > maxHistoryChanges {
		drop := len(s.history) - maxHistoryChanges/2
		s.historyStart = s.history[drop-1].Revision
		s.history = append([]*wire.Resource(nil), s.history[drop:]...)
	}
	return &wire.Outcome{Ok: true, Revision: index, Resource: r}
}

// dropFromHistory removes the earlier values of a large resource from the history, since a watch
// that resumes needs only the latest one.
func (s *State) dropFromHistory(key Key) {
	s.history = slices.DeleteFunc(s.history, func(r *wire.Resource) bool {
		return r.Kind == string(key.Kind) && r.Name == key.Name
	})
}

// cloneOrNew returns a modifiable copy of a resource, or a new one if there is none.
func (s *State) cloneOrNew(k spec.Kind, name string) *wire.Resource {
	if existing := s.Get(k, name); existing != nil {
		return proto.Clone(existing).(*wire.Resource)
	}
	return &wire.Resource{Kind: string(k), Name: name}
}

// Snapshot returns the state in a deterministic encoding, without the history of changes.
func (s *State) Snapshot() []byte {
	m := &wire.Snapshot{Revision: s.revision, Resources: s.List("")}
	for _, request := range s.requestOrder {
		stored := s.outcomes[request]
		m.Answered = append(m.Answered, &wire.RecordedOutcome{Request: request, Outcome: stored.outcome, Digest: stored.digest})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("encode state: " + err.Error())
	}
	return b
}

// Restore returns the state from a snapshot. Its history starts at the snapshot's revision. The
// error is the decoding error.
func Restore(b []byte) (*State, error) {
	m := &wire.Snapshot{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, err
	}
	s := New()
	s.revision = m.Revision
	s.historyStart = m.Revision
	for _, r := range m.Resources {
		s.resources[Key{spec.Kind(r.Kind), r.Name}] = r
	}
	for _, recorded := range m.Answered {
		s.storeOutcome(recorded.Request, storedOutcome{recorded.Outcome, recorded.Digest})
	}
	return s, nil
}
