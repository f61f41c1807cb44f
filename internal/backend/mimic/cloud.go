package mimic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callTimeout limits an HTTP call to a control host and the reading of request headers by Cloud.
const callTimeout = time.Second

// SendHeartbeats sends heartbeats to the control hosts (host:port) at the interval until ctx ends
// or the instance crashes; then the returned channel receives nil. The hosts are tried in order
// until one accepts the heartbeat.
func (in *Instance) SendHeartbeats(ctx context.Context, control []string, interval time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		for seq := 1; ctx.Err() == nil && in.running(); seq++ {
			in.sendHeartbeat(ctx, control, seq)
			select {
			case <-ctx.Done():
			case <-time.After(interval):
			}
		}
		done <- nil
	}()
	return done
}

// running reports whether the instance has not crashed.
func (in *Instance) running() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return !in.crashed
}

// announcedSlots returns the number of slots that the instance announces.
func (in *Instance) announcedSlots() int {
	if in.group.Slots > 0 {
		return in.group.Slots
	}
	return 2
}

// sendHeartbeat posts one heartbeat to the first control host that accepts it.
func (in *Instance) sendHeartbeat(ctx context.Context, control []string, seq int) {
	role := "replica"
	if in.group.Primary() == in.Name {
		role = "primary"
	}
	addr := in.Addr
	if in.HeartbeatAddr != "" {
		addr = in.HeartbeatAddr
	}
	state := "ready"
	in.group.mu.Lock()
	leaving := in.leaving
	in.group.mu.Unlock()
	if leaving {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service": in.group.Name, "addr": addr, "zone": in.Zone, "version": "v1", "slots": in.announcedSlots(), "state": state,
		"cold_left_ms": 0, "db_role": role, "seq": seq, "born": in.startedAtMs,
	})
	if err != nil {
		return
	}
	for _, addr := range control {
		if Post(ctx, "http://"+addr+"/instances/"+in.Name+"/heartbeat", b) == nil {
			in.acknowledged(leaving)
			return
		}
	}
}

// Post sends an HTTP POST with the body. It returns an error unless the status is 200 OK within
// callTimeout.
func Post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: status %d, want 200", url, resp.StatusCode)
	}
	return nil
}

// Cloud is an HTTP server for the platform's promotion API of one group.
type Cloud struct {
	// Addr is the host:port that the server listens on.
	Addr string
	srv  *http.Server
}

// StartCloud serves promotions of the group at addr. If dropResponses is set, every other call,
// starting with the first, is executed but gets no response.
func StartCloud(g *Group, addr string, dropResponses bool) (*Cloud, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	calls := 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		calls++
		var body struct{ Service, ID string }
		fencingToken, err := strconv.ParseUint(r.Header.Get("X-Agatespindle-Fence-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != g.Name {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ok := g.Promote(body.ID, fencingToken)
		if dropResponses && calls%2 == 1 {
			<-r.Context().Done()
			return
		}
		if !ok {
			w.WriteHeader(http.StatusConflict)
		}
	})
	c := &Cloud{Addr: ln.Addr().String(), srv: &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout}}
	go func() { _ = c.srv.Serve(ln) }()
	return c, nil
}

// Close stops the server and closes its connections.
func (c *Cloud) Close() { _ = c.srv.Close() }
