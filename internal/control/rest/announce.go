package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// pendingAnnouncements tracks the backend servers whose announcement is being forwarded to the
// leader, so that at most one per server is in flight.
type pendingAnnouncements struct {
	mu sync.Mutex
	// pending is the set of backend servers with an announcement in flight, by name.
	pending map[string]bool
}

// begin marks a server's announcement as in flight. It reports false if one already is.
func (a *pendingAnnouncements) begin(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[string]bool{}
	}
	if a.pending[name] {
		return false
	}
	a.pending[name] = true
	return true
}

// end marks a server's announcement as no longer in flight.
func (a *pendingAnnouncements) end(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, name)
}

// handleAnnounce accepts a backend server's announcement of itself. It replies before the
// announcement is forwarded.
func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a adapt.Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&a)
	if err != nil || a.Name == "" || a.Group == "" || a.Addr == "" {
		s.writeProblem(w, fault.New(fault.NotRun, fault.Invalid, "announcement must have name, group and addr"), nil)
		return
	}
	if _, fieldErrors := spec.Validate(spec.Backends, a.Name, []byte("{}")); len(fieldErrors) > 0 {
		s.writeProblem(w, fault.New(fault.NotRun, fault.Invalid, "announcement is invalid"), func(p *Problem) { p.Fields = fieldErrors })
		return
	}
	s.forwardAnnouncement(a)
	w.WriteHeader(http.StatusAccepted)
}

// forwardAnnouncement sends an announcement to the leader in the background, unless this host's
// copy of the resources already has it or one from the same server is in flight.
func (s *Server) forwardAnnouncement(a adapt.Announcement) {
	known := s.Agent.View().Get(spec.Backends, a.Name).GetBackend()
	if known != nil && known.Instance == a.Incarnation && known.Addr == a.Addr && known.Group == a.Group {
		return
	}
	if !s.inFlight.begin(a.Name) {
		return
	}
	state := &wire.BackendState{Group: a.Group, Addr: a.Addr, Center: a.Center, Instance: a.Incarnation}
	cmd := &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: a.Name, Run: state}}}
	go func() {
		defer s.inFlight.end(a.Name)
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		defer cancel()
		if _, err := s.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
			s.Log.WithError(err).WithField("instance", a.Name).Warn("announcement not forwarded to the leader")
			return
		}
		time.Sleep(announceCooldown)
	}()
}

// announceCooldown gives the committed change time to reach this host's copy of the resources, so
// that the next announcement is not forwarded again.
const announceCooldown = 200 * time.Millisecond
