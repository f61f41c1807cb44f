// Package rest provides the resource API over HTTP: resources, watches, announcements,
// metrics and health.
package rest

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/control/agent"
)

const (
	maxBody       = 1 << 20
	headerLimit   = 5 * time.Second
	requestLimit  = 8 * time.Second
	shutdownLimit = time.Second
	apiPrefix     = "/v1/"
)

// Server serves the API on one host; every host can answer every request. The exported
// fields are set before Run.
type Server struct {
	Listener net.Listener
	Agent    *agent.Agent
	Log      *logs.Logger
	Meter    *meter.Meter
	// Token is what operators present; empty leaves the API open.
	Token string
	// Ready reports whether the host may get callers.
	Ready func(now time.Time) bool
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	ctx       context.Context
	announced announcements
}

// Run serves until ctx ends; the end is reported on the channel.
func (s *Server) Run(ctx context.Context) <-chan error {
	s.ctx = ctx
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerLimit}
	done := make(chan error, 1)
	go func() {
		err := srv.Serve(s.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	context.AfterFunc(ctx, func() {
		limit, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		if srv.Shutdown(limit) != nil {
			srv.Close()
		}
	})
	return done
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("POST "+adapt.AnnouncePath, s.announce)
	mux.HandleFunc("GET /v1/status", s.guard(s.status))
	mux.HandleFunc("GET /v1/{kind}", s.guard(s.list))
	mux.HandleFunc("GET /v1/{kind}/{name}", s.guard(s.get))
	mux.HandleFunc("PUT /v1/{kind}/{name}", s.guard(s.put))
	mux.HandleFunc("DELETE /v1/{kind}/{name}", s.guard(s.remove))
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready(s.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte("not ready\n"))
		return
	}
	w.Write([]byte("ready\n"))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.Meter.WriteText(w)
}

// guard lets only operators with the token in. Digests are compared, so that the time taken
// tells nothing.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte(s.Token))
	return func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if s.Token != "" && subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			s.problem(w, fault.New(fault.NotRun, fault.Unauthorized, "token is missing or wrong"), nil)
			return
		}
		if r.Method != http.MethodGet {
			s.Log.WithField("operator", hex.EncodeToString(got[:4])).WithField("path", r.URL.Path).WithField("method", r.Method).Info("change asked for")
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next(w, r)
	}
}

// Problem is an error as the API shows it (RFC 9457).
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	// Fields are the mistakes in a resource.
	Fields any `json:"fields,omitempty"`
	// Current is the resource as it is, where a change met another one.
	Current *Resource `json:"current,omitempty"`
}

func (s *Server) problem(w http.ResponseWriter, e *fault.Error, fill func(*Problem)) {
	s.Meter.CountRefusal(e.Reason)
	p := Problem{
		Type: "about:blank", Title: string(e.Reason), Status: statusOf(e), Detail: e.Error(),
		Verdict: e.Verdict.String(), Reason: string(e.Reason),
	}
	if fill != nil {
		fill(&p)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func statusOf(e *fault.Error) int {
	if e.Verdict == fault.MayHaveRun {
		return http.StatusGatewayTimeout
	}
	switch e.Reason {
	case fault.Conflict:
		return http.StatusConflict
	case fault.Invalid:
		return http.StatusUnprocessableEntity
	case fault.NotFound:
		return http.StatusNotFound
	case fault.TooOld:
		return http.StatusGone
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.RequestKeyReused:
		return http.StatusUnprocessableEntity
	case fault.Unsupported:
		return http.StatusMethodNotAllowed
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
