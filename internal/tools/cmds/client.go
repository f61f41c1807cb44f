package cmds

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/control/rest"
)

// apiClient is embedded in commands that call the API. It holds their options and sends their
// requests.
type apiClient struct {
	baseCommand
	API    string `long:"api" env:"AGATESPINDLE_API" default:"127.0.0.1:6480" value-name:"ADDR" description:"API address of any host"`
	Token  string `long:"token" env:"AGATESPINDLE_TOKEN" value-name:"FILE" description:"file with the operators' token"`
	Output string `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

const (
	callTimeout      = 15 * time.Second // for each attempt
	maxAttempts      = 3                // at one request
	waitPollInterval = 50 * time.Millisecond
)

// request sends one HTTP request, with the token if there is one. The caller must close the
// response body.
func (c *apiClient) request(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.API+"/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, exitErrorf(ExitUsage, "address %q: %w", c.API, err)
	}
	for name, v := range header {
		req.Header[name] = v
	}
	if c.Token != "" {
		b, err := os.ReadFile(c.Token)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "read token: %w", err)
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(b)))
	}
	return http.DefaultClient.Do(req)
}

// call sends a request and decodes the response into out. It retries if the response is lost, up to
// maxAttempts in all. Changes carry a request ID, for which the API returns the first response again
// instead of repeating the change. If the outcome of a change stays unknown, the error has the exit
// code ExitUnknown.
func (c *apiClient) call(method, path string, body []byte, out any) error {
	header := http.Header{"Content-Type": {"application/json"}}
	if method != http.MethodGet {
		id := make([]byte, 12)
		if _, err := rand.Read(id); err != nil {
			return err
		}
		header.Set(rest.HeaderRequestID, hex.EncodeToString(id))
	}
	var err error
	for range maxAttempts {
		var retry bool
		if retry, err = c.callOnce(method, path, header, body, out); !retry {
			return err
		}
	}
	if method != http.MethodGet {
		return &exitError{ExitUnknown, fmt.Errorf("outcome unknown: %w; read the resource to see whether the change was applied", err)}
	}
	return err
}

// callOnce sends a request once. It sets retry if the request may have run but its outcome is
// unknown.
func (c *apiClient) callOnce(method, path string, header http.Header, body []byte, out any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(c.env.ctx, callTimeout)
	defer cancel()
	resp, err := c.request(ctx, method, path, header, body)
	if err != nil {
		var exitErr *exitError
		return !errors.As(err, &exitErr) && !dialFailed(err) && c.env.ctx.Err() == nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp)
	}
	return false, json.NewDecoder(resp.Body).Decode(out)
}

// dialFailed reports whether no connection was established, so that the request cannot have run.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// responseError decodes the problem in an error response. It sets retry if the request may have run;
// otherwise the error has the exit code ExitRefused.
func responseError(resp *http.Response) (retry bool, err error) {
	var p rest.Problem
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if json.Unmarshal(b, &p) != nil {
		return false, fmt.Errorf("API returned HTTP status %s", resp.Status)
	}
	text := fmt.Sprintf("%s (%s, %s)", p.Detail, p.Reason, p.Verdict)
	if p.Fields != nil {
		fields, _ := json.Marshal(p.Fields)
		text += ": " + string(fields)
	}
	if p.Verdict == fault.MayHaveRun.String() {
		return true, errors.New(text)
	}
	return false, &exitError{ExitRefused, errors.New(text)}
}

// print prints v as JSON, or calls text to print it as a table, depending on --output.
func (c *apiClient) print(v any, text func(w io.Writer)) error {
	if c.Output == "json" {
		enc := json.NewEncoder(c.env.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// printResources prints resources as tab-separated table rows.
func printResources(w io.Writer, list []rest.Resource) {
	fmt.Fprintln(w, "KIND\tNAME\tVERSION\tREVISION\tIN FORCE\tSTATUS")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%s\n", r.Kind, r.Name, r.Version, r.Revision, r.Status.InForce, summary(r))
	}
}

// summary returns the status of a resource in one line, or its spec if it has no status.
func summary(r rest.Resource) string {
	switch st := r.Status; {
	case st.Group != nil:
		g := st.Group
		text := fmt.Sprintf("%s term=%d primary=%s holder=%s", g.Phase, g.Term, g.Primary, g.Holder)
		if g.Failover != nil {
			text += fmt.Sprintf(" waiting: %d of %d answers, released=%v", g.Failover.Answers, g.Failover.Needed, g.Failover.Released)
		}
		return text
	case st.Backend != nil:
		return fmt.Sprintf("group=%s addr=%s center=%s %s", st.Backend.Group, st.Backend.Address, st.Backend.Center, r.Spec)
	case st.Host != nil:
		return fmt.Sprintf("center=%s roles=%s lease=%s applied=%d", st.Host.Center, strings.Join(st.Host.Roles, ","), st.Host.Lease, st.Host.Applied)
	}
	return string(r.Spec)
}

// waitInForce polls a resource until the given or a later revision is in force. It returns an error
// with the exit code ExitFailed after the timeout.
func (c *apiClient) waitInForce(kind, name string, revision uint64, timeout time.Duration) (rest.Resource, error) {
	deadline := time.Now().Add(timeout)
	for {
		var r rest.Resource
		err := c.call(http.MethodGet, kind+"/"+name, nil, &r)
		if err == nil && r.Status.InForce && r.Revision >= revision {
			return r, nil
		}
		if time.Now().After(deadline) {
			return r, exitErrorf(ExitFailed, "%s %s: revision %d was accepted but is not in force after %s", kind, name, revision, timeout)
		}
		select {
		case <-c.env.ctx.Done():
			return r, c.env.ctx.Err()
		case <-time.After(waitPollInterval):
		}
	}
}
