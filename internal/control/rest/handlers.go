package rest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// Request headers of PUT and DELETE.
const (
	// HeaderRequestID carries the idempotency key of a change: a repeated change gets the
	// outcome of the first one.
	HeaderRequestID = "Request-Id"
	// HeaderIfMatch carries the version that a change expects; 0 means that the resource must
	// not exist.
	HeaderIfMatch = "If-Match"
)

const maxRequestIDBytes = 128

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	reply, err := s.fetch(r.Context(), &wire.ControlRequest{Kind: "none"})
	if err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	quorum := Quorum{
		Leader: reply.Leader, Term: reply.Term, Revision: reply.Revision, InForce: reply.Inforce,
		Voters: reply.Voters, Margin: reply.Margin,
	}
	for _, m := range reply.Members.GetMembers() {
		quorum.Members = append(quorum.Members, Member{ID: m.Id, Address: m.Addr, Learner: m.Learner})
	}
	writeJSON(w, http.StatusOK, quorum)
}

// fetch reads from the leader.
func (s *Server) fetch(ctx context.Context, req *wire.ControlRequest) (*wire.ControlReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req.Method = leader.MethodFetch
	return s.Agent.Call(ctx, req)
}

// kindFromPath returns the kind in the request path. If it is unknown, it writes the error
// response and returns false.
func (s *Server) kindFromPath(w http.ResponseWriter, r *http.Request) (spec.Kind, bool) {
	k := spec.Kind(r.PathValue("kind"))
	if !k.Valid() {
		s.writeProblem(w, fault.New(fault.NotRun, fault.NotFound, "kind %q does not exist; use one of %v", k, spec.Kinds), nil)
		return "", false
	}
	return k, true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kindFromPath(w, r)
	if !ok {
		return
	}
	if watch := r.URL.Query().Get("watch"); watch == "1" || watch == "true" {
		s.watch(w, r, k)
		return
	}
	reply, err := s.fetch(r.Context(), &wire.ControlRequest{Kind: string(k)})
	if err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	list := List{Kind: string(k), Revision: reply.Revision, InForce: reply.Inforce, Items: []Resource{}}
	for _, res := range reply.Resources {
		list.Items = append(list.Items, newResource(res, reply.Inforce).withLeaderStatus(reply))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kindFromPath(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	reply, err := s.fetch(r.Context(), &wire.ControlRequest{Kind: string(k), Name: name})
	if err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	if len(reply.Resources) == 0 {
		s.writeProblem(w, fault.New(fault.NotRun, fault.NotFound, "%s %q does not exist", k, name), nil)
		return
	}
	s.writeResource(w, http.StatusOK, newResource(reply.Resources[0], reply.Inforce).withLeaderStatus(reply))
}

// writeResource writes a resource, with its version as the ETag.
func (s *Server) writeResource(w http.ResponseWriter, status int, r Resource) {
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(r.Version, 10)))
	writeJSON(w, status, r)
}

// putBody is the body of a PUT. All fields but Spec are optional; Kind and Name must match the
// path, Revision and Status are ignored.
type putBody struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  *uint64         `json:"version"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kindFromPath(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	b, err := decodePutBody(r.Body, k, name)
	if err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	canonical, fieldErrors := spec.Validate(k, name, b.Spec)
	if len(fieldErrors) > 0 {
		s.writeProblem(w, fault.New(fault.NotRun, fault.Invalid, "%s %q is invalid", k, name), func(p *Problem) { p.Fields = fieldErrors })
		return
	}
	put := &wire.PutResource{Kind: string(k), Name: name, Spec: canonical}
	if put.Checked, put.Expect, err = expectedVersion(r, b.Version); err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	s.submitCommand(w, r, &wire.Command{Body: &wire.Command_Put{Put: put}})
}

// decodePutBody decodes the body of a PUT and checks that it matches the path.
func decodePutBody(r io.Reader, k spec.Kind, name string) (putBody, error) {
	var b putBody
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return b, fault.New(fault.NotRun, fault.Invalid, "body is not a resource: %v; use {\"spec\": {…}}", err)
	}
	if b.Kind != "" && b.Kind != string(k) {
		return b, fault.New(fault.NotRun, fault.Invalid, "kind %q in the body does not match kind %q in the path", b.Kind, k)
	}
	if b.Name != "" && b.Name != name {
		return b, fault.New(fault.NotRun, fault.Invalid, "name %q in the body does not match name %q in the path", b.Name, name)
	}
	return b, nil
}

// expectedVersion returns the version that a change expects, from the If-Match header or else
// from the body. The bool is false if neither has one.
func expectedVersion(r *http.Request, inBody *uint64) (bool, uint64, error) {
	header := strings.Trim(r.Header.Get(HeaderIfMatch), `"`)
	if header == "" || header == "*" {
		if inBody == nil {
			return false, 0, nil
		}
		return true, *inBody, nil
	}
	n, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return false, 0, fault.New(fault.NotRun, fault.Invalid, "%s: %q is not a version number", HeaderIfMatch, header)
	}
	return true, n, nil
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kindFromPath(w, r)
	if !ok {
		return
	}
	if k == spec.Hosts {
		s.writeProblem(w, fault.New(fault.NotRun, fault.Unsupported, "hosts cannot be deleted; set spec.leaving to take one out of service"), nil)
		return
	}
	del := &wire.DeleteResource{Kind: string(k), Name: r.PathValue("name")}
	var err error
	if del.Checked, del.Expect, err = expectedVersion(r, nil); err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	s.submitCommand(w, r, &wire.Command{Body: &wire.Command_Delete{Delete: del}})
}

// submitCommand sends a command to the leader and writes the outcome as the response.
func (s *Server) submitCommand(w http.ResponseWriter, r *http.Request, cmd *wire.Command) {
	cmd.Request = r.Header.Get(HeaderRequestID)
	if len(cmd.Request) > maxRequestIDBytes {
		s.writeProblem(w, fault.New(fault.NotRun, fault.Invalid, "%s is longer than %d bytes", HeaderRequestID, maxRequestIDBytes), nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := s.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd})
	if err != nil {
		s.writeProblem(w, fault.From(err), nil)
		return
	}
	outcome := reply.Outcome
	if !outcome.Ok {
		s.writeProblem(w, fault.New(fault.NotRun, fault.Reason(outcome.Reason), "%s", outcome.Text), func(p *Problem) {
			if outcome.Resource != nil {
				current := newResource(outcome.Resource, s.Agent.InForce())
				p.Current = &current
			}
		})
		return
	}
	s.writeResource(w, http.StatusOK, newResource(outcome.Resource, s.Agent.InForce()))
}
