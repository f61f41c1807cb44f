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

// watchStream is one watch: the events of a kind after a revision, in order.
type watchStream struct {
	s        *Server
	w        http.ResponseWriter
	kind     spec.Kind
	name     string
	revision uint64
	inforce  uint64
	enc      *json.Encoder
}

// watch streams events as JSON lines. With from=N it goes on after revision N, or says that
// this is too old; without, it starts with what there is. The host serves it from its own
// copy, so that watches cost control nothing.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, k spec.Kind) {
	stream := &watchStream{s: s, w: w, kind: k, name: r.URL.Query().Get("name"), enc: json.NewEncoder(w)}
	from := r.URL.Query().Get("from")
	if from != "" {
		n, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			s.writeProblem(w, fault.New(fault.NotRun, fault.Invalid, "from: %q is no revision", from), nil)
			return
		}
		stream.revision = n
		if !stream.waitForRevision(r, n) {
			return
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if from == "" && stream.sendInitial() != nil {
		return
	}
	stream.run(r)
}

// waitForRevision waits until this host's copy has come to a revision, and answers where the events
// after it are gone.
func (ws *watchStream) waitForRevision(r *http.Request, revision uint64) bool {
	limit := time.After(requestTimeout)
	for {
		view, changed := ws.s.Agent.Changes()
		if view.Revision >= revision {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-limit:
			ws.s.writeProblem(ws.w, fault.New(fault.NotRun, fault.Behind, "this host has not come to revision %d", revision), nil)
			return false
		}
	}
	if _, ok := ws.s.Agent.Since(revision); !ok {
		ws.s.writeProblem(ws.w, fault.New(fault.NotRun, fault.TooOld, "events after revision %d are gone; list the resources and watch from the list's revision", revision), nil)
		return false
	}
	return true
}

// sendInitial sends all resources as added.
func (ws *watchStream) sendInitial() error {
	view := ws.s.Agent.View()
	ws.inforce = ws.s.Agent.InForce()
	for _, r := range view.List(ws.kind) {
		if err := ws.sendEvent("added", r); err != nil {
			return err
		}
	}
	ws.revision = view.Revision
	return ws.sendBookmark()
}

func (ws *watchStream) sendEvent(eventType string, r *wire.Resource) error {
	if ws.name != "" && r.Name != ws.name {
		return nil
	}
	res := newResource(r, ws.inforce)
	return ws.enc.Encode(Event{Type: eventType, Revision: r.Revision, InForce: ws.inforce, Resource: &res})
}

func (ws *watchStream) sendBookmark() error {
	if err := ws.enc.Encode(Event{Type: "bookmark", Revision: ws.revision, InForce: ws.inforce}); err != nil {
		return err
	}
	return http.NewResponseController(ws.w).Flush()
}

func (ws *watchStream) run(r *http.Request) {
	tick := time.NewTicker(bookmarkInterval)
	defer tick.Stop()
	for {
		view, changed := ws.s.Agent.Changes()
		if ws.sendEvents(view.Revision) != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-ws.s.ctx.Done():
			return
		}
	}
}

// sendEvents sends the events up to a revision, and a bookmark with what is in force.
func (ws *watchStream) sendEvents(revision uint64) error {
	events, ok := ws.s.Agent.Since(ws.revision)
	if !ok {
		return errWatchBehind
	}
	ws.inforce = ws.s.Agent.InForce()
	for _, r := range events {
		if r.Revision > revision {
			break
		}
		if r.Kind != string(ws.kind) {
			continue
		}
		eventType := "changed"
		if r.Deleted {
			eventType = "deleted"
		}
		if err := ws.sendEvent(eventType, r); err != nil {
			return err
		}
	}
	ws.revision = revision
	return ws.sendBookmark()
}

var errWatchBehind = fault.New(fault.NotRun, fault.TooOld, "watch fell behind")
