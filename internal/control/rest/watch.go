package rest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// bookmarkInterval is the time between two bookmarks of a quiet watch.
const bookmarkInterval = 500 * time.Millisecond

// watcher is one watch: the events of a kind after a revision, in order.
type watcher struct {
	s       *Server
	w       http.ResponseWriter
	kind    spec.Kind
	name    string
	at      uint64
	inforce uint64
	enc     *json.Encoder
}

// watch streams events as JSON lines. With from=N it goes on after revision N, or says that
// this is too old; without, it starts with what there is. The host serves it from its own
// copy, so that watches cost control nothing.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, k spec.Kind) {
	at := &watcher{s: s, w: w, kind: k, name: r.URL.Query().Get("name"), enc: json.NewEncoder(w)}
	from := r.URL.Query().Get("from")
	if from != "" {
		n, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			s.problem(w, fault.New(fault.NotRun, fault.Invalid, "from: %q is no revision", from), nil)
			return
		}
		at.at = n
		if !at.reach(r, n) {
			return
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if from == "" && at.first() != nil {
		return
	}
	at.stream(r)
}

// reach waits until this host's copy has come to a revision, and answers where the events
// after it are gone.
func (at *watcher) reach(r *http.Request, n uint64) bool {
	limit := time.After(requestLimit)
	for {
		view, changed := at.s.Agent.Changes()
		if view.Revision >= n {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-limit:
			at.s.problem(at.w, fault.New(fault.NotRun, fault.Behind, "this host has not come to revision %d", n), nil)
			return false
		}
	}
	if _, ok := at.s.Agent.ChangesSince(n); !ok {
		at.s.problem(at.w, fault.New(fault.NotRun, fault.TooOld, "events after revision %d are gone; list the resources and watch from the list's revision", n), nil)
		return false
	}
	return true
}

// first sends all resources as added.
func (at *watcher) first() error {
	view := at.s.Agent.View()
	at.inforce = at.s.Agent.InForce()
	for _, r := range view.List(at.kind) {
		if err := at.event("added", r); err != nil {
			return err
		}
	}
	at.at = view.Revision
	return at.bookmark()
}

func (at *watcher) event(kind string, r *wire.Resource) error {
	if at.name != "" && r.Name != at.name {
		return nil
	}
	shownNow := shown(r, at.inforce)
	return at.enc.Encode(Event{Type: kind, Revision: r.Revision, InForce: at.inforce, Resource: &shownNow})
}

func (at *watcher) bookmark() error {
	if err := at.enc.Encode(Event{Type: "bookmark", Revision: at.at, InForce: at.inforce}); err != nil {
		return err
	}
	return http.NewResponseController(at.w).Flush()
}

func (at *watcher) stream(r *http.Request) {
	tick := time.NewTicker(bookmarkInterval)
	defer tick.Stop()
	for {
		view, changed := at.s.Agent.Changes()
		if at.send(view.Revision) != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-at.s.ctx.Done():
			return
		}
	}
}

// send sends the events up to a revision, and a bookmark with what is in force.
func (at *watcher) send(revision uint64) error {
	events, ok := at.s.Agent.ChangesSince(at.at)
	if !ok {
		return errTooOld
	}
	at.inforce = at.s.Agent.InForce()
	for _, r := range events {
		if r.Revision > revision {
			break
		}
		if r.Kind != string(at.kind) {
			continue
		}
		kind := "changed"
		if r.Deleted {
			kind = "deleted"
		}
		if err := at.event(kind, r); err != nil {
			return err
		}
	}
	at.at = revision
	return at.bookmark()
}

var errTooOld = fault.New(fault.NotRun, fault.TooOld, "watch fell behind")
