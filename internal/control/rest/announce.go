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

// announcements keeps the announcements that are on their way to control, one for each
// backend server. Those that control knows already stay on this host.
type announcements struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (a *announcements) begin(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy == nil {
		a.busy = map[string]bool{}
	}
	if a.busy[name] {
		return false
	}
	a.busy[name] = true
	return true
}

func (a *announcements) end(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.busy, name)
}

// announce takes a backend server's word of itself. Only news go to control.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var a adapt.Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&a)
	if err != nil || a.Name == "" || a.Group == "" || a.Addr == "" {
		s.problem(w, fault.New(fault.NotRun, fault.Invalid, "announcement needs name, group and addr"), nil)
		return
	}
	if _, broken := spec.Check(spec.Backends, a.Name, []byte("{}")); len(broken) > 0 {
		s.problem(w, fault.New(fault.NotRun, fault.Invalid, "announcement has mistakes"), func(p *Problem) { p.Fields = broken })
		return
	}
	s.pass(a)
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) pass(a adapt.Announcement) {
	have := s.Agent.View().Get(spec.Backends, a.Name).GetBackend()
	if have != nil && have.Instance == a.Instance && have.Addr == a.Addr && have.Group == a.Group {
		return
	}
	if !s.announced.begin(a.Name) {
		return
	}
	run := &wire.BackendState{Group: a.Group, Addr: a.Addr, Center: a.Center, Instance: a.Instance}
	cmd := &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: a.Name, Run: run}}}
	go func() {
		defer s.announced.end(a.Name)
		ctx, cancel := context.WithTimeout(s.ctx, requestLimit)
		defer cancel()
		if _, err := s.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
			s.Log.WithError(err).WithField("instance", a.Name).Warn("announcement not passed on")
			return
		}
		time.Sleep(announcePause)
	}()
}

// announcePause lets the change come back to this host before the next announcement.
const announcePause = 200 * time.Millisecond
