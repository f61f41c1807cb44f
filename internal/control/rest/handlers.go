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

// Headers of a change.
const (
	// HeaderRequest carries the request id: a resent change gets its first answer.
	HeaderRequest = "Request-Id"
	// HeaderMatch carries the version that a change expects; 0 expects no resource.
	HeaderMatch = "If-Match"
)

const maxRequestID = 128

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	reply, err := s.fetch(r.Context(), &wire.ControlRequest{Kind: "none"})
	if err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	q := Quorum{
		Leader: reply.Leader, Term: reply.Term, Revision: reply.Revision, InForce: reply.Inforce,
		Voters: reply.Voters, Margin: reply.Margin,
	}
	for _, m := range reply.Members.GetMembers() {
		q.Members = append(q.Members, Member{ID: m.Id, Address: m.Addr, Learner: m.Learner})
	}
	writeJSON(w, http.StatusOK, q)
}

func (s *Server) fetch(ctx context.Context, call *wire.ControlRequest) (*wire.ControlReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	call.Method = leader.MethodFetch
	return s.Agent.Call(ctx, call)
}

// kind returns the kind that the path names; it answers where there is none.
func (s *Server) kind(w http.ResponseWriter, r *http.Request) (spec.Kind, bool) {
	k := spec.Kind(r.PathValue("kind"))
	if !k.Valid() {
		s.problem(w, fault.New(fault.NotRun, fault.NotFound, "kind %q does not exist; there are %v", k, spec.Kinds), nil)
		return "", false
	}
	return k, true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kind(w, r)
	if !ok {
		return
	}
	if watch := r.URL.Query().Get("watch"); watch == "1" || watch == "true" {
		s.watch(w, r, k)
		return
	}
	reply, err := s.fetch(r.Context(), &wire.ControlRequest{Kind: string(k)})
	if err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	list := List{Kind: string(k), Revision: reply.Revision, InForce: reply.Inforce, Items: []Resource{}}
	for _, one := range reply.Resources {
		list.Items = append(list.Items, shown(one, reply.Inforce).withViews(reply))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kind(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	reply, err := s.fetch(r.Context(), &wire.ControlRequest{Kind: string(k), Name: name})
	if err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	if len(reply.Resources) == 0 {
		s.problem(w, fault.New(fault.NotRun, fault.NotFound, "%s %q does not exist", k, name), nil)
		return
	}
	s.answer(w, http.StatusOK, shown(reply.Resources[0], reply.Inforce).withViews(reply))
}

func (s *Server) answer(w http.ResponseWriter, status int, r Resource) {
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(r.Version, 10)))
	writeJSON(w, status, r)
}

// body is what a PUT carries; everything but the spec is optional and must fit the path.
type body struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  *uint64         `json:"version"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kind(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	b, err := readBody(r.Body, k, name)
	if err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	canonical, broken := spec.Check(k, name, b.Spec)
	if len(broken) > 0 {
		s.problem(w, fault.New(fault.NotRun, fault.Invalid, "%s %q has mistakes", k, name), func(p *Problem) { p.Fields = broken })
		return
	}
	put := &wire.PutResource{Kind: string(k), Name: name, Spec: canonical}
	if put.Checked, put.Expect, err = expected(r, b.Version); err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	s.change(w, r, &wire.Command{Body: &wire.Command_Put{Put: put}})
}

func readBody(r io.Reader, k spec.Kind, name string) (body, error) {
	var b body
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return b, fault.New(fault.NotRun, fault.Invalid, "body is no resource: %v; write {\"spec\": {…}}", err)
	}
	if b.Kind != "" && b.Kind != string(k) {
		return b, fault.New(fault.NotRun, fault.Invalid, "kind %q in the body is not %q of the path", b.Kind, k)
	}
	if b.Name != "" && b.Name != name {
		return b, fault.New(fault.NotRun, fault.Invalid, "name %q in the body is not %q of the path", b.Name, name)
	}
	return b, nil
}

// expected returns the version that a change expects, from the header or the body.
func expected(r *http.Request, inBody *uint64) (bool, uint64, error) {
	h := strings.Trim(r.Header.Get(HeaderMatch), `"`)
	if h == "" || h == "*" {
		if inBody == nil {
			return false, 0, nil
		}
		return true, *inBody, nil
	}
	n, err := strconv.ParseUint(h, 10, 64)
	if err != nil {
		return false, 0, fault.New(fault.NotRun, fault.Invalid, "%s: %q is no version", HeaderMatch, h)
	}
	return true, n, nil
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	k, ok := s.kind(w, r)
	if !ok {
		return
	}
	if k == spec.Hosts {
		s.problem(w, fault.New(fault.NotRun, fault.Unsupported, "hosts leave by themselves; set spec.leaving"), nil)
		return
	}
	d := &wire.DeleteResource{Kind: string(k), Name: r.PathValue("name")}
	var err error
	if d.Checked, d.Expect, err = expected(r, nil); err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	s.change(w, r, &wire.Command{Body: &wire.Command_Delete{Delete: d}})
}

// change puts a command into the log and shows the outcome.
func (s *Server) change(w http.ResponseWriter, r *http.Request, cmd *wire.Command) {
	cmd.Request = r.Header.Get(HeaderRequest)
	if len(cmd.Request) > maxRequestID {
		s.problem(w, fault.New(fault.NotRun, fault.Invalid, "%s is longer than %d bytes", HeaderRequest, maxRequestID), nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestLimit)
	defer cancel()
	reply, err := s.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd})
	if err != nil {
		s.problem(w, fault.From(err), nil)
		return
	}
	out := reply.Outcome
	if !out.Ok {
		s.problem(w, fault.New(fault.NotRun, fault.Reason(out.Reason), "%s", out.Text), func(p *Problem) {
			if out.Resource != nil {
				current := shown(out.Resource, s.Agent.InForce())
				p.Current = &current
			}
		})
		return
	}
	s.answer(w, http.StatusOK, shown(out.Resource, s.Agent.InForce()))
}
