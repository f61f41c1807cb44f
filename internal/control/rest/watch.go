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

// bookmarkInterval is the time between two bookmarks of a watch without events.
const bookmarkInterval = 500 * time.Millisecond

// watchStream writes the events of one watch: changes of a kind after a revision, in order.
type watchStream struct {
	s    *Server
	w    http.ResponseWriter
	kind spec.Kind
	// name limits the watch to one resource; empty means all of the kind.
	name string
	// revision is the latest revision whose events were sent.
	revision uint64
	inForce  uint64
	enc      *json.Encoder
}

// watch streams events as JSON lines. With from=N it starts after revision N, or fails with reason
// TooOld if those events are no longer kept. Without it, all current resources are sent first. The
// host serves watches from its own copy of the resources, so that they put no load on the control
// hosts.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, k spec.Kind) {
	stream := &watchStream{s: s, w: w, kind: k, name: r.URL.Query().Get("name"), enc: json.NewEncoder(w)}
	from := r.URL.Query().Get("from")
	if from != "" {
		n, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			s.writeProblem(w, fault.New(fault.NotRun, fault.Invalid, "from: %q is not a revision", from), nil)
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

// waitForRevision waits until this host's copy of the resources has reached a revision. It returns
// false, after writing an error response, if that takes longer than requestTimeout or if the
// events after the revision are no longer kept.
func (ws *watchStream) waitForRevision(r *http.Request, revision uint64) bool {
	timeout := time.After(requestTimeout)
	for {
		view, changed := ws.s.Agent.Changes()
		if view.Revision >= revision {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-timeout:
			ws.s.writeProblem(ws.w, fault.New(fault.NotRun, fault.Behind, "this host has not reached revision %d", revision), nil)
			return false
		}
	}
	if _, ok := ws.s.Agent.ChangesSince(revision); !ok {
		ws.s.writeProblem(ws.w, fault.New(fault.NotRun, fault.TooOld, "events after revision %d are no longer kept; list the resources and watch from the list's revision", revision), nil)
		return false
	}
	return true
}

// sendInitial sends all current resources as added events, and a bookmark.
func (ws *watchStream) sendInitial() error {
	view := ws.s.Agent.View()
	ws.inForce = ws.s.Agent.InForce()
	for _, r := range view.List(ws.kind) {
		if err := ws.sendEvent("added", r); err != nil {
			return err
		}
	}
	ws.revision = view.Revision
	return ws.sendBookmark()
}

// sendEvent sends one event unless the watch is for a resource with another name.
func (ws *watchStream) sendEvent(eventType string, r *wire.Resource) error {
	if ws.name != "" && r.Name != ws.name {
		return nil
	}
	res := newResource(r, ws.inForce)
	return ws.enc.Encode(Event{Type: eventType, Revision: r.Revision, InForce: ws.inForce, Resource: &res})
}

// sendBookmark sends the revision reached and the one in force, and flushes the response.
func (ws *watchStream) sendBookmark() error {
	if err := ws.enc.Encode(Event{Type: "bookmark", Revision: ws.revision, InForce: ws.inForce}); err != nil {
		return err
	}
	return http.NewResponseController(ws.w).Flush()
}

// run sends events and bookmarks until the client disconnects or the server shuts down.
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

// sendEvents sends the events up to a revision, and a bookmark. It fails with errWatchBehind if
// events that were not sent yet are no longer kept.
func (ws *watchStream) sendEvents(upTo uint64) error {
	events, ok := ws.s.Agent.ChangesSince(ws.revision)
	if !ok {
		return errWatchBehind
	}
	ws.inForce = ws.s.Agent.InForce()
	for _, r := range events {
		if r.Revision > upTo {
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
	ws.revision = upTo
	return ws.sendBookmark()
}

var errWatchBehind = fault.New(fault.NotRun, fault.TooOld, "watch is too far behind: its next events are no longer kept")
