// Package rest serves the HTTP API: resources, watches, announcements of backend servers,
// metrics and health checks.
package rest

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/httpd"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/control/agent"
)

const (
	maxBodyBytes    = 1 << 20         // of a request
	requestTimeout  = 8 * time.Second // of a call to the leader
	shutdownTimeout = time.Second     // for requests in progress when the server stops
	apiPrefix       = "/v1/"
)

// Server serves the API on one host. Any host can serve any request. Set the exported
// fields before Run.
type Server struct {
	Listener net.Listener
	Agent    *agent.Agent
	Log      *logs.Logger
	Meter    *meter.Meter
	// Token is the bearer token that operators must send; empty disables authentication.
	Token string
	// Ready reports whether the host can accept callers.
	Ready func(now time.Time) bool
	// Now returns the current time; tests replace it.
	Now func() time.Time

	ctx      context.Context
	inFlight pendingAnnouncements
}

// Run starts serving in the background until ctx ends. The channel gets the error with which
// serving ended, or nil after a shutdown.
func (s *Server) Run(ctx context.Context) <-chan error {
	s.ctx = ctx
	return httpd.Serve(ctx, s.Listener, s.handler(), shutdownTimeout)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("POST "+adapt.AnnouncePath, s.handleAnnounce)
	mux.HandleFunc("GET /v1/status", s.requireToken(s.status))
	mux.HandleFunc("GET /v1/{kind}", s.requireToken(s.list))
	mux.HandleFunc("GET /v1/{kind}/{name}", s.requireToken(s.get))
	mux.HandleFunc("PUT /v1/{kind}/{name}", s.requireToken(s.put))
	mux.HandleFunc("DELETE /v1/{kind}/{name}", s.requireToken(s.remove))
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

// requireToken rejects requests without the operators' token. It compares digests in constant
// time, so that the response time reveals nothing about the token.
func (s *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	wantDigest := sha256.Sum256([]byte(s.Token))
	return func(w http.ResponseWriter, r *http.Request) {
		gotDigest := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if s.Token != "" && subtle.ConstantTimeCompare(wantDigest[:], gotDigest[:]) != 1 {
			s.writeProblem(w, fault.New(fault.NotRun, fault.Unauthorized, "bearer token is missing or wrong"), nil)
			return
		}
		if r.Method != http.MethodGet {
			s.Log.WithField("operator", hex.EncodeToString(gotDigest[:4])).WithField("path", r.URL.Path).WithField("method", r.Method).Info("change requested")
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next(w, r)
	}
}

// Problem is the API representation of an error (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Verdict is NotRun, MayHaveRun or Ran.
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	// Fields are the invalid fields of a resource, as []spec.FieldError.
	Fields any `json:"fields,omitempty"`
	// Current is the current state of the resource if a change conflicted with another one.
	Current *Resource `json:"current,omitempty"`
}

// writeProblem counts an error and writes it as the response. A non-nil fill adds optional
// fields.
func (s *Server) writeProblem(w http.ResponseWriter, e *fault.Error, fill func(*Problem)) {
	s.Meter.CountRefusal(e.Reason)
	p := Problem{
		Type: "about:blank", Title: string(e.Reason), Status: httpStatus(e), Detail: e.Error(),
		Verdict: e.Verdict.String(), Reason: string(e.Reason),
	}
	if fill != nil {
		fill(&p)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func httpStatus(e *fault.Error) int {
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
